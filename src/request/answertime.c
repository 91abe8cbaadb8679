#include <math.h>

#include "request/answertime.h"

#define MIN_TIMEOUT_MS 25
#define MAX_TIMEOUT_MS 250
/*
 * Least timeout where many calls are lost.  Calm workers exceed it in up to
 * 0.045 of the calls, so a peer counts as lossy only from LOSSY_SHARE on.
 */
#define MIN_LOSSY_TIMEOUT_MS 10
#define LOSSY_SHARE	     0.06
#define SHARE_WEIGHT	     (1.0 / 32)
#define MEAN_WEIGHT	     (1.0 / 8)
#define DEVIATION_WEIGHT     (1.0 / 4)
/* One lost answer may be chance; several in a row indicate a slow peer. */
#define MISSES_BEFORE_BACKOFF 2

/*
 * Misses count as lost calls when an answer follows soon: a peer that has ended
 * or was slow loses no calls on their way.
 */
static void
count_lost_calls(struct ans *ans)
{
	if (ans->consecutive_misses >= MISSES_BEFORE_BACKOFF)
		ans->misses = 0;
	for (; ans->misses > 0; ans->misses--)
		ans->missed_share += SHARE_WEIGHT * (1 - ans->missed_share);
	ans->missed_share -= SHARE_WEIGHT * ans->missed_share;
}

void
ans_heard(struct ans *ans, int64_t now_ms)
{
	ans->heard_ms = now_ms;
	count_lost_calls(ans);
	ans->consecutive_misses = 0;
}

void
ans_received(struct ans *ans, int64_t sent_ms, int64_t now_ms)
{
	double took_ms = (double)(now_ms - sent_ms);
	double error = took_ms - ans->mean_ms;

	ans_heard(ans, now_ms);
	if (ans->samples++ == 0) { /* initial values of RFC 6298 */
		ans->mean_ms = took_ms;
		ans->deviation_ms = took_ms / 2;
		return;
	}
	ans->mean_ms += MEAN_WEIGHT * error;
	ans->deviation_ms +=
	    DEVIATION_WEIGHT * (fabs(error) - ans->deviation_ms);
}

/*
 * A miss counts only if the peer answered nothing while the call was open: an
 * answer shows that the call was lost, not that the peer is slow.  Of calls
 * that were open at the same time one counts, so that a batch of lost calls
 * doubles the timeout once.
 */
void
ans_missed(struct ans *ans, int64_t sent_ms, int64_t now_ms)
{
	ans->misses++;
	if (ans->heard_ms > sent_ms || ans->missed_ms > sent_ms)
		return;
	ans->consecutive_misses++;
	ans->missed_ms = now_ms;
}

bool
ans_is_lossy(const struct ans *ans)
{
	return ans->missed_share >= LOSSY_SHARE;
}

int64_t
ans_timeout_ms(const struct ans *ans)
{
	double timeout_ms = ans->mean_ms + 4 * ans->deviation_ms;

	if (ans->samples == 0)
		return MAX_TIMEOUT_MS;
	timeout_ms = fmax(timeout_ms,
	    ans_is_lossy(ans) ? MIN_LOSSY_TIMEOUT_MS : MIN_TIMEOUT_MS);
	if (ans->consecutive_misses >= MISSES_BEFORE_BACKOFF)
		timeout_ms *=
		    exp2(ans->consecutive_misses - MISSES_BEFORE_BACKOFF + 1);
	return (int64_t)fmin(timeout_ms, MAX_TIMEOUT_MS);
}
