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
 * A run whose projected run time is more than PGR_SLOW_FACTOR times the expected
 * one and at least SLOW_MIN_MS longer is too slow, so that another worker can
 * still finish the task in time.  The projection needs SLOW_MIN_PERCENT of
 * progress.
 */
#define SLOW_MIN_MS	 200
#define SLOW_MIN_PERCENT 3

void
pgr_init(struct pgr *pgr, int64_t expected_ms)
{
	*pgr = (struct pgr){.expected_ms = expected_ms, .percent = -1};
}

static int64_t
stall_ms(const struct pgr *pgr)
{
	if (pgr->expected_ms == 0)
		return STALL_UNKNOWN_MS;
	return MAX(STALL_MIN_MS,
	    (int64_t)((double)pgr->expected_ms * STALL_EXPECTED_SHARE));
}

/*
 * Projects the run time from the progress since the first report, and compares
 * it with the expected one.
 */
static bool
is_too_slow(struct pgr *pgr, int64_t clock_ms)
{
	int64_t gained = pgr->percent - pgr->first_percent;

	if (pgr->expected_ms == 0 || gained < SLOW_MIN_PERCENT)
		return false;
	pgr->projected_ms = (clock_ms - pgr->first_ms) * 100 / gained;
	return pgr->projected_ms > pgr->expected_ms * PGR_SLOW_FACTOR &&
	       pgr->projected_ms > pgr->expected_ms + SLOW_MIN_MS;
}

enum pgr_verdict
pgr_report(struct pgr *pgr, int64_t percent, int64_t clock_ms)
{
	/* Responses of the worker may overtake each other. */
	if (clock_ms < pgr->changed_ms)
		return PGR_USUAL;
	if (pgr->percent < 0) {
		pgr->first_percent = percent;
		pgr->first_ms = clock_ms;
	}
	if (percent != pgr->percent) {
		pgr->percent = percent;
		pgr->changed_ms = clock_ms;
		return is_too_slow(pgr, clock_ms) ? PGR_TOO_SLOW : PGR_USUAL;
	}
	return clock_ms - pgr->changed_ms >= stall_ms(pgr) ? PGR_STALLED
							   : PGR_USUAL;
}
