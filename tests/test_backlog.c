#include "request/backlog.h"
#include "runner.h"

/* Tasks of 60 ms on 5 cores, which are placed at 5 cores' time in each ms. */
#define WORK 300000.0
#define RATE 5000.0

/* An objective of 200 ms. */
static const struct bkl_limits limits = {
    .critical_path_ms = 60, .start_ms = 140, .useful_ms = 600};

static bool
is_hopeless(double n_timely, double n_late, int64_t *wait_ms)
{
	struct bkl_ahead ahead = {
	    .timely = n_timely * WORK, .all = (n_timely + n_late) * WORK};

	return bkl_is_hopeless(&ahead, RATE, &limits, wait_ms);
}

/*
 * Load: sustained overload.  Guards against accepting a job that will be given
 * up, and against refusing one that can be served in time.
 */
START_TEST(a_job_is_refused_by_the_work_before_it)
{
	int64_t wait_ms;

	/* It begins after 60 ms, before the late ones. */
	ck_assert(!is_hopeless(1, 100, &wait_ms));
	ck_assert_int_eq(wait_ms, 60);
	/* It begins after 120 ms if no other comes, else after the late ones. */
	ck_assert(is_hopeless(2, 8, &wait_ms));
	ck_assert_int_eq(wait_ms, 600);
	ck_assert(!is_hopeless(2, 7, &wait_ms));
	ck_assert(is_hopeless(10, 0, &wait_ms));
}
END_TEST

/* Failure: a job without an estimate has no prediction. */
START_TEST(a_job_without_an_estimate_is_not_refused)
{
	struct bkl_limits unknown = limits;
	struct bkl_ahead ahead = {.timely = 1e18, .all = 1e18};
	int64_t wait_ms;

	unknown.critical_path_ms = 0;
	ck_assert(!bkl_is_hopeless(&ahead, 1e-9, &unknown, &wait_ms));
	ck_assert(bkl_is_hopeless(&ahead, 1e-9, &limits, &wait_ms));
	ck_assert_int_eq(wait_ms, INT32_MAX);
}
END_TEST

TEST_MAIN("backlog", 0, a_job_is_refused_by_the_work_before_it,
    a_job_without_an_estimate_is_not_refused)
