#ifndef SP_RUNTIMES_H
#define SP_RUNTIMES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The distribution of a queue's run times, as logarithms of their ratio to the
 * expected ones.  Addresses queues of which some tasks are inherently long: by
 * a mean alone each of them makes its worker look slow, and is stopped as too
 * slow there.  Plain data, zero-initialised; reads no clock.
 */

#define RTM_BINS 96

struct rtm {
	double bins[RTM_BINS]; /* weight of the samples in each */
	double total;
	double unit; /* weight of the next sample; it grows */
	uint32_t samples;
	/* Of the logarithms, as of the last update. */
	double median;
	double usual; /* 0.9 are below */
	double upper; /* 0.995 are below */
};

void rtm_add(struct rtm *rtm, double log_ratio);
/* Whether there are enough samples for the upper quantiles. */
bool rtm_is_known(const struct rtm *rtm);
/*
 * How far a sample may be from what was expected, either way, before it tells
 * more of its task than of its worker.
 */
double rtm_usual_deviation(const struct rtm *rtm);
/* The factor beyond the expected run time that the distribution explains. */
double rtm_explained_factor(const struct rtm *rtm);

#endif
