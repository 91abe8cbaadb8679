#ifndef SP_HEALTH_H
#define SP_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Health of one worker, from the outcomes of its tasks.  A worker that fails
 * the tasks of several jobs in a row is ejected: it gets one task at a time as
 * a probe, after pauses of growing length, until one succeeds.  The number of
 * ejected workers is not limited, since the probes find those that have
 * recovered.  Plain data, zero-initialised.
 */
struct hlt {
	uint32_t n_failed_jobs;	 /* jobs that failed in a row */
	double failure_rate;	 /* weighted towards recent outcomes */
	int64_t failure_rate_ms; /* time of its last update */
	int64_t backoff_ms;
	int64_t paused_until_ms;
};

void hlt_record_success(struct hlt *health, int64_t now_ms);
/*
 * The caller counts several failed tasks of one job once, except while the
 * worker is ejected.
 */
void hlt_record_failure(struct hlt *health, int64_t now_ms);
/* A refused start pauses the worker briefly and does not count as a failure. */
void hlt_record_refusal(struct hlt *health, int64_t now_ms);

bool hlt_is_ejected(const struct hlt *health);
/* open: number of tasks sent to the worker that have no outcome. */
bool hlt_may_start(const struct hlt *health, uint32_t open, int64_t now_ms);
/* Weighted share of failures; it decays while there are no outcomes. */
double hlt_failure_rate(const struct hlt *health, int64_t now_ms);

#endif
