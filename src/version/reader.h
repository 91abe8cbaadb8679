#ifndef SP_READER_H
#define SP_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "fresh.h"
#include "store.h"

/* Polls the configuration key of the store and updates a struct fresh. */
struct rdr;

typedef void (*rdr_done_fn)(const struct status *st, void *ctx);

struct rdr_options {
	struct store *store; /* both must outlive the reader */
	struct fresh *fresh;
	int64_t poll_ms;
};

struct rdr *rdr_new(const struct rdr_options *opts);
void rdr_free(struct rdr *rdr);

/* Reads at once instead of at the next poll; fn runs once with the outcome. */
void rdr_read(struct rdr *rdr, rdr_done_fn fn, void *ctx);
/* Drops the callbacks with this ctx. */
void rdr_cancel(struct rdr *rdr, const void *ctx);
/* Mod revision of the newest document read from the store; 0: none. */
int64_t rdr_mod_revision(const struct rdr *rdr);
/* The newest document read from the store, borrowed; NULL: none. */
struct cfg *rdr_config(const struct rdr *rdr);
/* Time since the last successful read was sent; -1: never. */
int64_t rdr_store_age_ms(const struct rdr *rdr, int64_t now_ms);

#endif
