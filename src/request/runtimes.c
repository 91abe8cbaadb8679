#include <math.h>

#include "request/runtimes.h"

/* Bins of a tenth cover ratios from 1/54 to 270, and what is beyond. */
#define BIN_WIDTH 0.1
#define FIRST_BIN (-4.0)
/*
 * A sample's weight falls to a third after as many others, of which five are
 * above the upper quantile.
 */
#define WINDOW 1024.0
/* The weights are scaled down beyond this. */
#define MAX_UNIT 1e9
/* With fewer samples the upper quantile is one task's. */
#define MIN_SAMPLES    200
#define USUAL_QUANTILE 0.9
#define UPPER_QUANTILE 0.995
/* The quantiles are updated with each of the first samples, then with each 8th. */
#define FIRST_SAMPLES  64
#define UPDATE_SAMPLES 8
/* Learned deviations and factors are kept within these. */
#define MIN_DEVIATION 0.25
#define MAX_FACTOR    15.0

static int
bin_of(double log_ratio)
{
	double bin = floor((log_ratio - FIRST_BIN) / BIN_WIDTH);

	return (int)fmin(fmax(bin, 0), RTM_BINS - 1);
}

/* The samples of a bin are taken as spread evenly over it. */
static double
quantile(const struct rtm *rtm, double share)
{
	double below = 0, wanted = share * rtm->total;
	int i;

	for (i = 0; i < RTM_BINS - 1 && below + rtm->bins[i] < wanted; i++)
		below += rtm->bins[i];
	return FIRST_BIN + BIN_WIDTH * i +
	       (rtm->bins[i] > 0
		       ? BIN_WIDTH * fmin((wanted - below) / rtm->bins[i], 1)
		       : 0);
}

static void
rescale(struct rtm *rtm)
{
	int i;

	for (i = 0; i < RTM_BINS; i++)
		rtm->bins[i] /= rtm->unit;
	rtm->total /= rtm->unit;
	rtm->unit = 1;
}

void
rtm_add(struct rtm *rtm, double log_ratio)
{
	if (rtm->samples == 0)
		rtm->unit = 1;
	rtm->samples++;
	rtm->unit *= 1 + 1 / WINDOW;
	rtm->bins[bin_of(log_ratio)] += rtm->unit;
	rtm->total += rtm->unit;
	if (rtm->unit > MAX_UNIT)
		rescale(rtm);
	if (rtm->samples > FIRST_SAMPLES && rtm->samples % UPDATE_SAMPLES != 0)
		return;
	rtm->median = quantile(rtm, 0.5);
	rtm->usual = quantile(rtm, USUAL_QUANTILE);
	rtm->upper = quantile(rtm, UPPER_QUANTILE);
}

bool
rtm_is_known(const struct rtm *rtm)
{
	return rtm->samples >= MIN_SAMPLES;
}

double
rtm_usual_deviation(const struct rtm *rtm)
{
	if (!rtm_is_known(rtm))
		return INFINITY;
	return fmax(rtm->usual - rtm->median, MIN_DEVIATION);
}

double
rtm_explained_factor(const struct rtm *rtm)
{
	if (!rtm_is_known(rtm))
		return 1;
	return fmin(exp(rtm->upper - rtm->median), MAX_FACTOR);
}
