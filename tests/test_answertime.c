#include "request/answertime.h"
#include "runner.h"

/* Without samples nothing is known: the longest timeout. */
START_TEST(unknown)
{
	struct ans ans = {0};

	ck_assert_int_eq((int)ans_timeout_ms(&ans), 250);
}
END_TEST

/* Lost answers of a fast peer must be noticed early. */
START_TEST(fast_peer)
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

/* A slow machine must not take its own delays for lost answers. */
START_TEST(slow_machine)
{
	struct ans ans = {0};
	int i;

	for (i = 0; i < 50; i++)
		ans_received(&ans, i % 2 == 0 ? 20 : 60);
	ck_assert_int_gt((int)ans_timeout_ms(&ans), 60);
}
END_TEST

/* Misses in a row mean a slow peer; the timeout grows up to its bound. */
START_TEST(misses_in_a_row)
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

TEST_MAIN("answertime", 0, unknown, fast_peer, slow_machine, misses_in_a_row)
