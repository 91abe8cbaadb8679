#ifndef SP_ANSWERTIME_H
#define SP_ANSWERTIME_H

#include <stdbool.h>
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
	uint32_t consecutive_misses; /* without an answer between them */
	uint32_t misses;	     /* since the last answer */
	double missed_share;	     /* of recent calls */
	int64_t heard_ms;	     /* last answer to any call */
	int64_t missed_ms;	     /* when a miss was last counted */
};

/* A call that could be answered from sent_ms on was answered. */
void ans_received(struct ans *ans, int64_t sent_ms, int64_t now_ms);
/* The peer has answered a call whose answer time is not known. */
void ans_heard(struct ans *ans, int64_t now_ms);
/* A call that could be answered from sent_ms on has timed out. */
void ans_missed(struct ans *ans, int64_t sent_ms, int64_t now_ms);
int64_t ans_timeout_ms(const struct ans *ans);
/* Whether more calls are lost than delays of a sound peer explain. */
bool ans_is_lossy(const struct ans *ans);

#endif
