#ifndef SP_MIRROR_H
#define SP_MIRROR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "version/keyspace.h"

/*
 * Keeps a copy of all keys with a prefix: lists them once, then watches for
 * changes.  The copy never goes back to an older revision, even if the store
 * answers from an older state.
 */
struct mir;

/* The last value of a key. */
struct mir_item {
	GBytes *data;
	int64_t revision;
	int64_t created; /* revision of its first value; 0: not known */
};

struct mir_options {
	const struct ks *ks; /* borrowed */
	const char *prefix;  /* copied */
	/*
	 * Longest time that the store delays the answer to a watch without
	 * changes.  If the answer has not arrived shortly after this time, the
	 * watch fails and the next one uses another connection.
	 */
	int64_t wait_ms;
	/*
	 * Pause before the watch that follows a change, so that one call
	 * fetches the changes of many keys; half of it is random.  0: none.
	 */
	int64_t pause_ms;
	/*
	 * Runs when the copy is complete for the first time, and after each
	 * change.
	 */
	void (*changed)(struct mir *mir, void *ctx);
	/* Runs when the store becomes unreachable or reachable. */
	void (*reachable)(struct mir *mir, bool reachable,
	    const struct status *st, void *ctx);
	void *ctx;
};

struct mir *mir_new(const struct mir_options *opts);
void mir_free(struct mir *mir);

/* Revision of the store that the copy has reached; 0: no copy yet. */
int64_t mir_revision(const struct mir *mir);
/* Time of the last answer of the store (CLOCK_BOOTTIME); 0: never. */
int64_t mir_confirmed_ms(const struct mir *mir);
/*
 * Time since which the copy has held each value of each key for a while
 * (CLOCK_BOOTTIME): not before it was last listed, nor before one answer changed
 * a key twice.  0: no copy yet.
 */
int64_t mir_followed_since_ms(const struct mir *mir);
/* NULL when there is no such key. */
const struct mir_item *mir_get(const struct mir *mir, const char *key);
/* Maps keys to struct mir_item; borrowed, unordered. */
GHashTable *mir_items(const struct mir *mir);

#endif
