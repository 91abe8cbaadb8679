#ifndef SP_ANSWERTIME_H
#define SP_ANSWERTIME_H

#include <stdint.h>

/*
 * Adaptive timeout for the answers of a peer: the smoothed mean of earlier
 * answer times plus four mean deviations, as TCP computes its retransmission
 * timeout (RFC 6298).  Measured times include delays of this process, so the
 * timeout grows on an overloaded machine.  Initialize with zeros.
 */
struct ans {
	double mean_ms;
	double deviation_ms;
	uint32_t samples;
	uint32_t consecutive_misses;
};

void ans_received(struct ans *ans, int64_t took_ms);
/* No answer came within the timeout. */
void ans_missed(struct ans *ans);
int64_t ans_timeout_ms(const struct ans *ans);

#endif
