#ifndef SP_SLOWNESS_H
#define SP_SLOWNESS_H

#include <stdint.h>

/*
 * How slow an agent's worker is compared with others of its kind, from the runs
 * of all entries.  Plain data; reads no clock.
 */
struct slw {
	double log_ratio; /* mean of log(run time / nominal run time) */
	uint32_t samples;
	int64_t measured_ms; /* time of the last sample */
};

/*
 * Adds the run time of a task; nominal_ms is the one expected on any worker of
 * the kind, 0: unknown.
 */
void slw_measure(
    struct slw *slw, int64_t run_ms, int64_t nominal_ms, int64_t now_ms);
/*
 * Run time in thousandths of the nominal one, 0 without samples.  Returns to
 * 1000 while there are no new samples, so that a worker that everybody avoids
 * is tried again.
 */
uint32_t slw_permille(const struct slw *slw, int64_t now_ms);

#endif
