#ifndef SP_PROGRESS_H
#define SP_PROGRESS_H

#include <stdint.h>

/*
 * Whether a run makes progress, and as fast as expected, judged by the percent
 * that its worker reports.  Times are by the worker's clock.  Plain data; reads
 * no clock.
 */
struct pgr {
	int64_t expected_ms;  /* run time, 0: unknown */
	int64_t projected_ms; /* run time, by the progress so far, 0: unknown */
	int64_t percent;      /* as last reported, -1: never */
	int64_t changed_ms;   /* when it was first reported */
	int64_t first_ms;     /* of the first report */
	int64_t first_percent;
};

enum pgr_verdict {
	PGR_USUAL,
	PGR_STALLED,  /* no progress */
	PGR_TOO_SLOW, /* by projected_ms */
};

/*
 * A run whose projected run time is more than this many times the expected one
 * is too slow.
 */
#define PGR_SLOW_FACTOR 3

void pgr_init(struct pgr *pgr, int64_t expected_ms);
/* A report that is older than the last change is ignored. */
enum pgr_verdict pgr_report(struct pgr *pgr, int64_t percent, int64_t clock_ms);

#endif
