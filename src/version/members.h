#ifndef SP_MEMBERS_H
#define SP_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store.h"

/*
 * Registers this entry in the store under a lease, and polls the list of the
 * registered entries.  While the store does not answer, the last list is kept.
 */
struct mem;

struct mem_entry {
	uint64_t incarnation;
	const char *name;
	const char *failure_domain;
	const char *address; /* RPC */
	const char *operator_address;
};

typedef void (*mem_changed_fn)(void *ctx);

struct mem_options {
	struct store *store;   /* must outlive the object */
	struct mem_entry self; /* strings are copied */
	int64_t lease_s;
	int64_t poll_ms;
	mem_changed_fn on_changed; /* runs when the list has changed */
	void *ctx;
};

struct mem *mem_new(const struct mem_options *opts);
void mem_free(struct mem *mem);
/* Removes the registration and stops polling; fn runs once. */
void mem_deregister(struct mem *mem, mem_changed_fn fn, void *ctx);

/*
 * Sorted by incarnation, valid until the next change.  Contains only entries
 * read from the store, so this entry itself is missing at first.
 */
const struct mem_entry *mem_list(const struct mem *mem, size_t *n);
const struct mem_entry *mem_find(const struct mem *mem, uint64_t incarnation);
/*
 * Hash of the list, to detect that it has changed; 0 until the first list was
 * read.
 */
uint64_t mem_digest(const struct mem *mem);
bool mem_is_registered(const struct mem *mem);
/*
 * Returns true if an incarnation is certainly not registered any more: it is
 * not in the list, and the list was polled without a gap for as long as a live
 * entry needs to register again after it lost its lease.
 */
bool mem_is_deregistered(
    const struct mem *mem, uint64_t incarnation, int64_t now_ms);

#endif
