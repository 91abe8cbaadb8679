#include "request/drainrate.h"
#include "runner.h"

/* A task of so much work is sent, while others wait or not. */
static void
pass(struct drt *drt, double work, bool waiting, int64_t now_ms)
{
	drt_record_sent(drt, work);
	if (waiting)
		drt_record_unplaced(drt);
	drt_end_pass(drt, now_ms);
}

/*
 * Load: sustained overload.  Guards against a rate that is not that at which
 * waiting tasks are placed.
 */
START_TEST(rate_is_of_the_work_placed_while_tasks_wait)
{
	struct drt drt = {0};
	int64_t i;

	for (i = 0; i <= 100; i++)
		pass(&drt, 500, true, 10 * i);
	ck_assert_double_eq_tol(drt_rate(&drt), 50, 1);
	/* The capacity is halved. */
	for (i = 101; i <= 600; i++)
		pass(&drt, 250, true, 10 * i);
	ck_assert_double_eq_tol(drt_rate(&drt), 25, 1);
}
END_TEST

/* Failure: a fleet that is not busy, whose rate is that of its callers. */
START_TEST(rate_is_unknown_without_contention)
{
	struct drt drt = {0};
	int64_t i;

	for (i = 0; i < 1000; i++)
		pass(&drt, 500, false, 10 * i);
	ck_assert_double_eq(drt_rate(&drt), 0);
	/* A task that waits for a moment is no contention either. */
	for (i = 1000; i < 1010; i++)
		pass(&drt, 500, true, 10 * i);
	ck_assert_double_eq(drt_rate(&drt), 0);
}
END_TEST

/* Failure: contention that is over is forgotten, and a clock that steps back. */
START_TEST(old_contention_is_forgotten)
{
	struct drt drt = {0};
	int64_t i;

	for (i = 0; i <= 100; i++)
		pass(&drt, 500, true, 10 * i);
	drt_end_pass(&drt, 900);
	ck_assert_double_eq_tol(drt_rate(&drt), 50, 1);
	drt_end_pass(&drt, 4000);
	drt_end_pass(&drt, 8000);
	ck_assert_double_eq(drt_rate(&drt), 0);
}
END_TEST

TEST_MAIN("drainrate", 0, rate_is_of_the_work_placed_while_tasks_wait,
    rate_is_unknown_without_contention, old_contention_is_forgotten)
