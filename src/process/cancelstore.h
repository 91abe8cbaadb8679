#ifndef SP_CANCELSTORE_H
#define SP_CANCELSTORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/keyspace.h"

/*
 * Cancelled jobs in the store, where they outlive all processes: writes those of
 * this entry, several to an item, reads those of all entries, and removes old
 * items.  Jobs are named by the keys of request/cancelled.h.
 */
struct cst;

#define CST_PREFIX "sequoiaplank/cancelled/"
/* Jobs of one write at most. */
#define CST_WRITE_MAX 64

struct cst_options {
	const struct ks *ks; /* borrowed */
	/* The write in progress has ended; if not ok it may have taken effect. */
	void (*written)(bool ok, void *ctx);
	/* A job is in the store; may be repeated. */
	void (*cancelled)(uint64_t key, void *ctx);
	/* Runs once, when all that was in the store at the start was told. */
	void (*loaded)(void *ctx);
	void *ctx;
};

struct cst *cst_new(const struct cst_options *opts);
/* NULL is allowed.  written() does not run any more. */
void cst_free(struct cst *cst);

/* Writes up to CST_WRITE_MAX jobs; one write at a time. */
void cst_write(struct cst *cst, const uint64_t *keys, size_t n);
bool cst_is_loaded(const struct cst *cst);
/* Removes old items; to be called every second or more often. */
void cst_tick(struct cst *cst);

#endif
