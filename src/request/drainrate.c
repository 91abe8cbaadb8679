#include <math.h>

#include "request/drainrate.h"

/* Bursts last some seconds, and the capacity may change with each. */
#define HALF_LIFE_MS 1000.0
/* Over a shorter time the rate is that of a few tasks that happened to end. */
#define MIN_WAITED_MS 200.0

void
drt_record_sent(struct drt *drt, double work)
{
	drt->sent += work;
}

void
drt_record_unplaced(struct drt *drt)
{
	drt->unplaced = true;
}

/*
 * What was sent after a pass that left nothing waiting was limited by the
 * demand, and tells nothing of the capacity.
 */
void
drt_end_pass(struct drt *drt, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - drt->last_ms);
	double kept = exp2(-fmax(passed_ms, 0) / HALF_LIFE_MS);

	drt->work *= kept;
	drt->waited_ms *= kept;
	if (drt->waiting && passed_ms >= 0) {
		drt->work += drt->sent;
		drt->waited_ms += passed_ms;
	}
	drt->sent = 0;
	drt->waiting = drt->unplaced;
	drt->unplaced = false;
	drt->last_ms = now_ms;
}

double
drt_rate(const struct drt *drt)
{
	return drt->waited_ms < MIN_WAITED_MS ? 0 : drt->work / drt->waited_ms;
}
