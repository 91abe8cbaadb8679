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
	int i;

	for (i = 0; i < 50; i++)
		ans_received(&ans, 3);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
	ans_missed(&ans);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
}
END_TEST

/* Delays of an overloaded machine must not be taken for lost answers. */
START_TEST(timeout_exceeds_usual_delays)
{
	struct ans ans = {0};
	int i;

	for (i = 0; i < 50; i++)
		ans_received(&ans, i % 2 == 0 ? 20 : 60);
	ck_assert_int_gt((int)ans_timeout_ms(&ans), 60);
}
END_TEST

/* Consecutive misses indicate a slow peer: the timeout grows to its maximum. */
START_TEST(consecutive_misses)
{
	struct ans ans = {0};
	int i;

	ans_received(&ans, 3);
	for (i = 0; i < 2; i++)
		ans_missed(&ans);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 50);
	for (i = 0; i < 40; i++)
		ans_missed(&ans);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 250);
	ans_received(&ans, 3);
	ck_assert_int_eq((int)ans_timeout_ms(&ans), 25);
}
END_TEST

TEST_MAIN("answertime", 0, no_samples, fast_peer_has_short_timeout,
    timeout_exceeds_usual_delays, consecutive_misses)
