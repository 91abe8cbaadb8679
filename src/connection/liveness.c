#include "connection/liveness.h"

/*
 * The longest time between two reports of a worker that answers; includes the
 * wait of a poll.
 */
#define MAX_REPORT_AGE_MS 700
#define MAX_UNANSWERED_MS 250
/*
 * Where calls are lost, polls are sent every 20 ms, so that one is mostly
 * answered within this time even if half of them are lost.
 */
#define ANSWERING_MS 60
/* How long after a missed call more are expected to be. */
#define MISSING_PERIOD_MS 3000

void
lvn_adopt(struct lvn *lvn, int64_t now_ms)
{
	lvn->unanswered_since_ms = 0;
	lvn->reported_ms = now_ms;
}

void
lvn_report(struct lvn *lvn, int64_t now_ms)
{
	lvn->reported_ms = lvn->heard_ms = now_ms;
	lvn->unanswered_since_ms = 0;
}

void
lvn_answered(struct lvn *lvn, int64_t sent_ms, int64_t now_ms)
{
	lvn->heard_ms = now_ms;
	ans_received(&lvn->answers, sent_ms, now_ms);
	lvn->unanswered_since_ms = 0;
}

void
lvn_missed(struct lvn *lvn, int64_t sent_ms, int64_t now_ms)
{
	ans_missed(&lvn->answers, sent_ms, now_ms);
	lvn->missed_ms = now_ms;
	if (lvn->unanswered_since_ms == 0)
		lvn->unanswered_since_ms = sent_ms;
}

bool
lvn_is_unanswered(const struct lvn *lvn)
{
	return lvn->unanswered_since_ms != 0;
}

bool
lvn_is_silent(const struct lvn *lvn, int64_t now_ms)
{
	return lvn_is_unanswered(lvn) &&
	       now_ms - lvn->unanswered_since_ms > MAX_UNANSWERED_MS;
}

bool
lvn_has_reported(const struct lvn *lvn, int64_t now_ms)
{
	return now_ms - lvn->reported_ms <= MAX_REPORT_AGE_MS;
}

bool
lvn_is_answering(const struct lvn *lvn, int64_t now_ms)
{
	return !lvn_is_unanswered(lvn) ||
	       now_ms - lvn->heard_ms <= ANSWERING_MS;
}

bool
lvn_misses_calls(const struct lvn *lvn, int64_t now_ms)
{
	return lvn->missed_ms != 0 &&
	       now_ms - lvn->missed_ms < MISSING_PERIOD_MS;
}
