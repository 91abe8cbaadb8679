#ifndef SP_ANSWERTIME_H
#define SP_ANSWERTIME_H

#include <stdint.h>

/*
 * How long to wait for an answer, from the times that earlier ones took: mean
 * plus four mean deviations, as TCP computes its retransmission timeout (RFC
 * 6298).  Times include this process's own delays, so a slow machine waits
 * longer.  Plain data, zeroed at first.
 */
struct ans {
	double mean_ms;
	double deviation_ms;
	uint32_t samples;
	uint32_t missed; /* in a row */
};

void ans_received(struct ans *ans, int64_t took_ms);
void ans_missed(struct ans *ans);
int64_t ans_timeout_ms(const struct ans *ans);

#endif
