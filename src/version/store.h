#ifndef SP_STORE_H
#define SP_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Interface to the key-value store that holds the configuration and the
 * registrations of entries.  Every call is asynchronous and runs its callback
 * exactly once from the main loop, unless it was cancelled.  Status codes:
 * ST_OK; ST_UNAVAILABLE or ST_TIMEOUT for a read without an answer;
 * ST_UNAVAILABLE for a write that can't have taken effect; ST_UNKNOWN for a
 * write that may or may not have taken effect; ST_CONFLICT for a
 * compare-and-swap whose mod revision does not match; ST_NOT_FOUND for a call
 * with a lease that no longer exists.
 */
struct store;

/* Valid during the callback only. */
struct store_value {
	const char *key;
	const char *data;
	size_t len;
	int64_t mod_revision;
};

/* total: number of matching keys, including those left out as unchanged. */
typedef void (*store_read_fn)(const struct status *st,
    const struct store_value *values, size_t n, size_t total, void *ctx);
/* mod_revision: the key's revision after the write. */
typedef void (*store_write_fn)(
    const struct status *st, int64_t mod_revision, void *ctx);
typedef void (*store_lease_fn)(
    const struct status *st, int64_t lease, int64_t ttl_s, void *ctx);

/* Keys are NUL-terminated; keys and data are copied before a call returns. */
struct store_ops {
	/* Leaves out a key whose mod revision is below min_mod_revision. */
	void (*read)(struct store *store, const char *key,
	    int64_t min_mod_revision, store_read_fn fn, void *ctx);
	void (*read_prefix)(struct store *store, const char *prefix,
	    store_read_fn fn, void *ctx);
	/*
	 * Writes the key if it has this mod revision; 0: if it does not exist.
	 */
	void (*compare_and_swap)(struct store *store, const char *key,
	    int64_t mod_revision, const char *data, size_t len,
	    store_write_fn fn, void *ctx);
	/* The store removes the key when the lease expires; 0: no lease. */
	void (*put)(struct store *store, const char *key, const char *data,
	    size_t len, int64_t lease, store_write_fn fn, void *ctx);
	void (*remove)(
	    struct store *store, const char *key, store_write_fn fn, void *ctx);
	void (*grant)(
	    struct store *store, int64_t ttl_s, store_lease_fn fn, void *ctx);
	void (*keepalive)(
	    struct store *store, int64_t lease, store_lease_fn fn, void *ctx);
	void (*revoke)(
	    struct store *store, int64_t lease, store_lease_fn fn, void *ctx);
	/*
	 * Drops the callbacks with this ctx; writes already sent may succeed.
	 */
	void (*cancel)(struct store *store, const void *ctx);
	void (*free)(struct store *store);
};

/* Each adapter's struct starts with this as its first member. */
struct store {
	const struct store_ops *ops;
};

#define STORE_CONFIG_KEY     "sequoiaplank/config"
#define STORE_ENTRIES_PREFIX "sequoiaplank/entries/"

#endif
