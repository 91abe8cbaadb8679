#include <math.h>

#include "request/answertime.h"

#define MIN_MS		 25
#define MAX_MS		 250
#define MEAN_WEIGHT	 (1.0 / 8)
#define DEVIATION_WEIGHT (1.0 / 4)
/* Single answers are lost at random; more in a row mean a slow peer. */
#define MISSES_BEFORE_BACKOFF 2

void
ans_received(struct ans *ans, int64_t took_ms)
{
	double error = (double)took_ms - ans->mean_ms;

	ans->missed = 0;
	if (ans->samples++ == 0) {
		ans->mean_ms = (double)took_ms;
		ans->deviation_ms = (double)took_ms / 2;
		return;
	}
	ans->mean_ms += MEAN_WEIGHT * error;
	ans->deviation_ms +=
	    DEVIATION_WEIGHT * (fabs(error) - ans->deviation_ms);
}

void
ans_missed(struct ans *ans)
{
	ans->missed++;
}

int64_t
ans_timeout_ms(const struct ans *ans)
{
	double timeout_ms = ans->mean_ms + 4 * ans->deviation_ms;

	if (ans->samples == 0)
		return MAX_MS;
	timeout_ms = fmax(timeout_ms, MIN_MS);
	if (ans->missed >= MISSES_BEFORE_BACKOFF)
		timeout_ms *= exp2(ans->missed - MISSES_BEFORE_BACKOFF + 1);
	return (int64_t)fmin(timeout_ms, MAX_MS);
}
