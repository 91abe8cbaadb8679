#include <math.h>

#include "request/slowness.h"

/* Smallest weight of a new sample. */
#define MIN_WEIGHT (1.0 / 10)
/* With this many samples their mean gets half the weight. */
#define PRIOR_SAMPLES 4.0
/* A run time further off than this factor counts as off by this factor. */
#define MAX_FACTOR 10.0
/* Half-life of the mean after the last sample. */
#define HALF_LIFE_MS	3000.0
#define FACTOR_PERMILLE 1000.0

static double
decayed(const struct slw *slw, int64_t now_ms)
{
	return slw->log_ratio *
	       exp2(-(double)(now_ms - slw->measured_ms) / HALF_LIFE_MS);
}

void
slw_measure(struct slw *slw, int64_t run_ms, int64_t nominal_ms, int64_t now_ms)
{
	double mean = decayed(slw, now_ms);
	double ratio, weight;

	if (run_ms <= 0 || nominal_ms <= 0)
		return;
	slw->samples++;
	weight = fmax(1.0 / slw->samples, MIN_WEIGHT);
	ratio = log((double)run_ms / (double)nominal_ms);
	ratio = fmax(fmin(ratio, log(MAX_FACTOR)), -log(MAX_FACTOR));
	slw->log_ratio = mean + weight * (ratio - mean);
	slw->measured_ms = now_ms;
}

uint32_t
slw_permille(const struct slw *slw, int64_t now_ms)
{
	double n = slw->samples;
	double log_ratio = decayed(slw, now_ms) * n / (n + PRIOR_SAMPLES);

	if (slw->samples == 0)
		return 0;
	return (uint32_t)lround(FACTOR_PERMILLE * exp(log_ratio));
}
