#ifndef SP_LIVENESS_H
#define SP_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "request/answertime.h"

/*
 * Whether a worker answers, from the calls to it that did and did not get an
 * answer.  Holds no sockets and reads no clock.  Initialize with zeros.
 */
struct lvn {
	int64_t reported_ms; /* last report of the incarnation followed */
	int64_t heard_ms;    /* last answer to any call */
	/*
	 * When the first call without an answer was sent, plus its wait; 0:
	 * none.  Reset by a report of the incarnation followed and by any
	 * answer to a call without a wait, but not by other answers to a long
	 * poll.
	 */
	int64_t unanswered_since_ms;
	int64_t missed_ms;  /* when a call was last given up, 0: never */
	struct ans answers; /* how long they take */
};

/* Another incarnation is followed from now_ms on. */
void lvn_adopt(struct lvn *lvn, int64_t now_ms);
/* A report of the incarnation that is followed has arrived. */
void lvn_report(struct lvn *lvn, int64_t now_ms);
/*
 * A call was answered, or has got no answer.  sent_ms is the earliest time at
 * which the worker could answer: that of sending, plus the wait of a poll.
 */
void lvn_answered(struct lvn *lvn, int64_t sent_ms, int64_t now_ms);
void lvn_missed(struct lvn *lvn, int64_t sent_ms, int64_t now_ms);

/* Whether a call has got no answer, and none came since. */
bool lvn_is_unanswered(const struct lvn *lvn);
/* Whether that is so for some time.  No starts are sent then. */
bool lvn_is_silent(const struct lvn *lvn, int64_t now_ms);
/* Whether the last report is recent, by the longest time between two. */
bool lvn_has_reported(const struct lvn *lvn, int64_t now_ms);
/*
 * Whether no call is unanswered, or another one was answered so lately that the
 * worker has probably not crashed.
 */
bool lvn_is_answering(const struct lvn *lvn, int64_t now_ms);
/* Whether a call got no answer lately, so that others may be lost too. */
bool lvn_misses_calls(const struct lvn *lvn, int64_t now_ms);

#endif
