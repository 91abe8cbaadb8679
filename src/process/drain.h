#ifndef SP_DRAIN_H
#define SP_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The graceful shutdown of an entry.  In its first part jobs are still
 * accepted, since callers keep using open connections until the load balancer
 * notices that the entry is not ready; after that only jobs short enough to be
 * done before its end.  Reads no clock.
 */
struct drn {
	int64_t limit_ms; /* longest time of the shutdown */
	int64_t since_ms;
	int64_t idle_since_ms; /* since which no job is open, 0: one is */
	bool active;
	bool ended;
};

void drn_begin(struct drn *drn, int64_t now_ms);
/* Whether every job is accepted. */
bool drn_accepts_all(const struct drn *drn, int64_t now_ms);
/* path_ms is the job's estimated time, 0: unknown. */
bool drn_accepts(const struct drn *drn, int64_t path_ms, int64_t now_ms);
/* Whether the jobs that are still open are to be given up. */
bool drn_is_late(const struct drn *drn, int64_t now_ms);
/* Returns true once, when no job has been open for some time at the end. */
bool drn_tick(struct drn *drn, uint32_t open_jobs, int64_t now_ms);

#endif
