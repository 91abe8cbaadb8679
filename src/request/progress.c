#include <glib.h>
#include <stdbool.h>

#include "request/progress.h"

/*
 * A run is stalled when its progress has not changed for this share of its
 * expected run time, but at least STALL_MIN_MS, or for STALL_UNKNOWN_MS when no
 * run time is expected.  The time grows with the run time because progress is
 * reported in whole percent, which change less often in long tasks.
 */
#define STALL_MIN_MS	     300
#define STALL_EXPECTED_SHARE 0.06
#define STALL_UNKNOWN_MS     10000
/*
 * A run whose projected run time is more than SLOW_FACTOR times the expected
 * one and at least SLOW_MIN_MS longer is too slow, so that another worker can
 * still finish the task in time.  The projection needs SLOW_MIN_PERCENT of
 * progress.
 */
#define SLOW_FACTOR	 3
#define SLOW_MIN_MS	 200
#define SLOW_MIN_PERCENT 3

void
prg_init(struct prg *prg, int64_t expected_ms)
{
	*prg = (struct prg){.expected_ms = expected_ms, .percent = -1};
}

static int64_t
stall_ms(const struct prg *prg)
{
	if (prg->expected_ms == 0)
		return STALL_UNKNOWN_MS;
	return MAX(STALL_MIN_MS,
	    (int64_t)((double)prg->expected_ms * STALL_EXPECTED_SHARE));
}

/*
 * Projects the run time from the progress since the first report, and compares
 * it with the expected one.
 */
static bool
is_too_slow(struct prg *prg, int64_t clock_ms)
{
	int64_t gained = prg->percent - prg->first_percent;

	if (prg->expected_ms == 0 || gained < SLOW_MIN_PERCENT)
		return false;
	prg->projected_ms = (clock_ms - prg->first_ms) * 100 / gained;
	return prg->projected_ms > prg->expected_ms * SLOW_FACTOR &&
	       prg->projected_ms > prg->expected_ms + SLOW_MIN_MS;
}

enum prg_verdict
prg_report(struct prg *prg, int64_t percent, int64_t clock_ms)
{
	if (prg->percent < 0) {
		prg->first_percent = percent;
		prg->first_ms = clock_ms;
	}
	if (percent != prg->percent) {
		prg->percent = percent;
		prg->changed_ms = clock_ms;
		return is_too_slow(prg, clock_ms) ? PRG_TOO_SLOW : PRG_USUAL;
	}
	return clock_ms - prg->changed_ms >= stall_ms(prg) ? PRG_STALLED
							   : PRG_USUAL;
}
