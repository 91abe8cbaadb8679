#include "request/answertime.h"
#include "runner.h"

/* Without samples the longest timeout is used. */
START_TEST(no_samples)
{
	struct ans ans = {0};

	ck_assert_int_eq((int)ans_timeout_ms(&ans), 250);
}
END_TEST

/* A lost answer of a fast peer must be noticed early. */
START_TEST(fast_peer_has_short_timeout)
{
	struct ans ans = {0};
	int64_t now_ms = 1000;
	int i;

	for (i = 0; i < 50; i++, now_ms += 3)
		ans_received(&ans, now_ms, now_ms + 3);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
	ans_missed(&ans, now_ms, now_ms + 25);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
}
END_TEST

/* Delays of an overloaded machine must not be taken for lost answers. */
START_TEST(timeout_exceeds_usual_delays)
{
	struct ans ans = {0};
	int i;

	for (i = 0; i < 50; i++)
		ans_received(&ans, 1000, 1000 + (i % 2 == 0 ? 20 : 60));
	ck_assert_int_gt((int)ans_timeout_ms(&ans), 60);
}
END_TEST

/* Consecutive misses indicate a slow peer: the timeout grows to its maximum. */
START_TEST(consecutive_misses)
{
	struct ans ans = {0};
	int64_t now_ms = 1000;
	int i;

	ans_received(&ans, now_ms, now_ms + 3);
	now_ms += 3;
	for (i = 0; i < 2; i++, now_ms += 25)
		ans_missed(&ans, now_ms, now_ms + 25);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 50);
	for (i = 0; i < 40; i++, now_ms += 250)
		ans_missed(&ans, now_ms, now_ms + 250);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 250);
	ans_received(&ans, now_ms, now_ms + 3);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
}
END_TEST

/*
 * Guards against a long timeout where calls are lost: starts that were sent and
 * lost together counted as several misses in a row, and all calls to the worker
 * then had to wait for up to 250 ms.
 */
START_TEST(calls_lost_together_count_once)
{
	struct ans ans = {0};
	int i;

	ans_received(&ans, 1000, 1003);
	for (i = 0; i < 8; i++)
		ans_missed(&ans, 1010 + i, 1035 + i);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
	ans_missed(&ans, 1050, 1075);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 50);
}
END_TEST

/*
 * A peer that answers other calls meanwhile is not slow.  With a third of the
 * calls lost the timeout is shorter than the usual 25 ms.
 */
START_TEST(misses_beside_answers)
{
	struct ans ans = {0};
	int64_t now_ms = 1000;
	int i;

	for (i = 0; i < 20; i++, now_ms += 30) {
		ans_received(&ans, now_ms, now_ms + 3);
		ans_heard(&ans, now_ms + 10);
		ans_missed(&ans, now_ms + 5, now_ms + 29);
	}
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 10);
	ck_assert(ans_is_lossy(&ans));
}
END_TEST

/*
 * A calm worker that exceeds the shorter timeout now and then must get the usual
 * one back: 0.045 of the calls timed out needlessly when all had the shorter.
 */
START_TEST(sound_peer_is_not_lossy)
{
	struct ans ans = {0};
	int64_t now_ms = 1000;
	int i;

	for (i = 0; i < 8; i++, now_ms += 30) {
		ans_missed(&ans, now_ms, now_ms + 25);
		ans_received(&ans, now_ms + 26, now_ms + 29);
	}
	ck_assert(ans_is_lossy(&ans));
	for (i = 0; i < 400; i++, now_ms += 30) {
		if (i % 25 == 0)
			ans_missed(&ans, now_ms, now_ms + 10);
		ans_received(&ans, now_ms + 11, now_ms + 14);
	}
	ck_assert(!ans_is_lossy(&ans));
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
}
END_TEST

/* Calls to a peer that has ended are not lost on their way. */
START_TEST(silent_peer_is_not_lossy)
{
	struct ans ans = {0};
	int64_t now_ms = 1000;
	int i;

	for (i = 0; i < 50; i++, now_ms += 3)
		ans_received(&ans, now_ms, now_ms + 3);
	for (i = 0; i < 50; i++, now_ms += 250)
		ans_missed(&ans, now_ms, now_ms + 250);
	ck_assert(!ans_is_lossy(&ans));
}
END_TEST

TEST_MAIN("answertime", 0, no_samples, fast_peer_has_short_timeout,
    timeout_exceeds_usual_delays, consecutive_misses,
    calls_lost_together_count_once, misses_beside_answers,
    sound_peer_is_not_lossy, silent_peer_is_not_lossy)
