#ifndef SP_MEMBERS_H
#define SP_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store.h"

/*
 * Registration of this entry under a lease, and the list of the registered
 * entries.  While the store gives no answer the last list stays.
 */
struct mem;

struct mem_entry {
	uint64_t incarnation;
	const char *name;
	const char *failure_domain;
	const char *address; /* rpc */
	const char *operator_address;
};

typedef void (*mem_changed_fn)(void *ctx);

struct mem_options {
	struct store *store;   /* must outlive the object */
	struct mem_entry self; /* strings are copied */
	int64_t lease_s;
	int64_t poll_ms;
	mem_changed_fn on_changed; /* the list changed */
	void *ctx;
};

struct mem *mem_new(const struct mem_options *opts);
void mem_free(struct mem *mem);
/* Removes the registration and stops polling; fn runs once. */
void mem_deregister(struct mem *mem, mem_changed_fn fn, void *ctx);

/* Sorted by incarnation, valid until the next change; never includes one
 * that was not read from the store, so self is missing at first. */
const struct mem_entry *mem_list(const struct mem *mem, size_t *n);
const struct mem_entry *mem_find(const struct mem *mem, uint64_t incarnation);
/* Differs for different lists; 0 until the first list was read. */
uint64_t mem_digest(const struct mem *mem);
bool mem_is_registered(const struct mem *mem);
/*
 * Whether an incarnation is certainly gone: it is not in the list and the
 * list was read without a gap for as long as a live entry needs to register
 * again after it lost its lease.
 */
bool mem_is_deregistered(
    const struct mem *mem, uint64_t incarnation, int64_t now_ms);

#endif
