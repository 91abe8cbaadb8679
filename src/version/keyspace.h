#ifndef SP_KEYSPACE_H
#define SP_KEYSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Interface to the platform's key-value store for mirrors: lists, watches and
 * single writes.  Every call is asynchronous and runs its callback exactly once
 * from the main loop.  Status codes: ST_OK; ST_UNAVAILABLE or ST_TIMEOUT
 * without an answer; ST_INVALID for a malformed page; ST_NOT_FOUND for a watch
 * from a revision whose later changes the store no longer keeps; ST_UNKNOWN for
 * a write that may have taken effect; ST_CONFLICT for a write whose condition
 * does not hold.
 */
struct ks_item {
	const char *key;
	const char *data; /* NULL: deleted */
	size_t len;
	int64_t revision;
	int64_t created; /* revision of the key's first value; 0: not told */
};

/* Items are valid during the callback only. */
struct ks_page {
	const struct ks_item *items;
	size_t n_items;
	int64_t as_of; /* revision of the store at the answer */
	bool has_more; /* more keys follow: list again after the last one */
};

typedef void (*ks_page_fn)(
    const struct status *st, const struct ks_page *page, void *ctx);
typedef void (*ks_write_fn)(const struct status *st, void *ctx);

struct ks {
	void *store;
	/* Lists keys greater than after_key; "": from the first key. */
	void (*list)(void *store, const char *prefix, const char *after_key,
	    ks_page_fn fn, void *ctx);
	/*
	 * Returns the changes after a revision; waits up to wait_ms for the
	 * first.
	 */
	void (*watch)(void *store, const char *prefix, int64_t after,
	    int64_t wait_ms, ks_page_fn fn, void *ctx);
	void (*put)(void *store, const char *key, const char *data, size_t len,
	    ks_write_fn fn, void *ctx);
	/* Removes the key if it was last written at this revision. */
	void (*remove)(void *store, const char *key, int64_t revision,
	    ks_write_fn fn, void *ctx);
};

#endif
