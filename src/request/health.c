#include <math.h>

#include "request/health.h"

#define EJECT_FAILED_JOBS 3
#define BACKOFF_MIN_MS	  300
#define BACKOFF_MAX_MS	  2400
/* A worker that refused a start gets none for this time. */
#define REFUSED_PAUSE_MS 100
/* Weight of a new outcome in the failure rate. */
#define RATE_WEIGHT 0.25
/*
 * Half-life of the failure rate, so that a worker that gets no tasks is tried
 * again.
 */
#define RATE_HALF_LIFE_MS 3000.0

double
hlt_failure_rate(const struct hlt *health, int64_t now_ms)
{
	return health->failure_rate *
	       exp2(-(double)(now_ms - health->failure_rate_ms) /
		    RATE_HALF_LIFE_MS);
}

static void
record_outcome(struct hlt *health, double outcome, int64_t now_ms)
{
	double rate = hlt_failure_rate(health, now_ms);

	health->failure_rate = rate + RATE_WEIGHT * (outcome - rate);
	health->failure_rate_ms = now_ms;
}

void
hlt_record_success(struct hlt *health, int64_t now_ms)
{
	record_outcome(health, 0, now_ms);
	health->n_failed_jobs = 0;
	health->backoff_ms = 0;
}

void
hlt_record_failure(struct hlt *health, int64_t now_ms)
{
	record_outcome(health, 1, now_ms);
	health->n_failed_jobs++;
	/*
	 * Outcomes of tasks that were sent before the ejection do not extend
	 * it.
	 */
	if (!hlt_is_ejected(health) || now_ms < health->paused_until_ms)
		return;
	health->backoff_ms =
	    health->backoff_ms == 0 ? BACKOFF_MIN_MS : health->backoff_ms * 2;
	if (health->backoff_ms > BACKOFF_MAX_MS)
		health->backoff_ms = BACKOFF_MAX_MS;
	health->paused_until_ms = now_ms + health->backoff_ms;
}

void
hlt_record_refusal(struct hlt *health, int64_t now_ms)
{
	if (health->paused_until_ms < now_ms + REFUSED_PAUSE_MS)
		health->paused_until_ms = now_ms + REFUSED_PAUSE_MS;
}

bool
hlt_is_ejected(const struct hlt *health)
{
	return health->n_failed_jobs >= EJECT_FAILED_JOBS;
}

bool
hlt_may_start(const struct hlt *health, uint32_t open, int64_t now_ms)
{
	if (now_ms < health->paused_until_ms)
		return false;
	return !hlt_is_ejected(health) || open == 0;
}
