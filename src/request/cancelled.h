#ifndef SP_CANCELLED_H
#define SP_CANCELLED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The state "cancelled": a set of jobs, each remembered for CCL_KEEP_MS, and the
 * order in which this process learned of them, so that a peer can be told those
 * that it has missed.  A job is named by a key, which is made of the host and
 * path of its requests: it is the same in all processes, also when they have
 * different versions of the configuration.  Reads no clock.
 */
struct ccl;

/*
 * Longer than the deadline of any job (600 s), which may be submitted once more
 * shortly before it.
 */
#define CCL_KEEP_MS 660000
struct ccl_row {
	uint64_t key;
	int64_t since_ms; /* when the job was cancelled */
};

/*
 * Remembers max jobs, some 40 bytes each.  Further ones are not accepted from
 * callers (ccl_is_full()); what other processes have accepted replaces the
 * oldest above twice as many.
 */
struct ccl *ccl_new(uint32_t max);
/* NULL is allowed. */
void ccl_free(struct ccl *ccl);

/*
 * Key of the job that is submitted and cancelled under this path; never 0.  The
 * host's port and case do not matter.  A host of NULL counts as "".
 */
uint64_t ccl_key(const char *host, const char *path);

/* Returns false if the job is remembered already, or was cancelled too long ago. */
bool ccl_add(struct ccl *ccl, uint64_t key, int64_t since_ms, int64_t now_ms);
bool ccl_has(struct ccl *ccl, uint64_t key, int64_t now_ms);
bool ccl_is_full(struct ccl *ccl, int64_t now_ms);
uint32_t ccl_count(const struct ccl *ccl);

/* Position after the job that was added last; it counts all that were added. */
uint64_t ccl_position(const struct ccl *ccl);
/*
 * Copies up to max rows from a position on, in the order of their addition, and
 * moves the position behind them.  Returns their number.
 */
size_t ccl_read(const struct ccl *ccl, uint64_t *position, struct ccl_row *rows,
    size_t max);

#endif
