#include "process/drain.h"

/* Part of the shutdown during which jobs are accepted. */
#define ACCEPT_PERCENT 55
/* A job may take this many times as long as estimated. */
#define PATH_FACTOR 3
#define SPARE_MS    500
/* Time for the last answers to be sent before the process exits. */
#define FLUSH_MS 200

void
drn_begin(struct drn *drn, int64_t now_ms)
{
	if (drn->active)
		return;
	drn->active = true;
	drn->since_ms = now_ms;
}

bool
drn_accepts_all(const struct drn *drn, int64_t now_ms)
{
	return !drn->active ||
	       now_ms - drn->since_ms < drn->limit_ms * ACCEPT_PERCENT / 100;
}

bool
drn_accepts(const struct drn *drn, int64_t path_ms, int64_t now_ms)
{
	return drn_accepts_all(drn, now_ms) ||
	       (path_ms > 0 &&
		   now_ms - drn->since_ms + PATH_FACTOR * path_ms + SPARE_MS <=
		       drn->limit_ms);
}

bool
drn_is_late(const struct drn *drn, int64_t now_ms)
{
	return drn->active && !drn->ended &&
	       now_ms - drn->since_ms >= drn->limit_ms;
}

bool
drn_tick(struct drn *drn, uint32_t open_jobs, int64_t now_ms)
{
	if (drn->ended || drn_accepts_all(drn, now_ms))
		return false;
	if (open_jobs > 0)
		drn->idle_since_ms = 0;
	else if (drn->idle_since_ms == 0)
		drn->idle_since_ms = now_ms;
	drn->ended =
	    drn->idle_since_ms != 0 && now_ms - drn->idle_since_ms >= FLUSH_MS;
	return drn->ended;
}
