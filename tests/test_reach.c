#include "request/reach.h"
#include "runner.h"

#define WAIT_MS 5000

static struct wk_step step = {.count = 1, .size = {.cpu_milli = 5}};
static const struct wk_job job = {.steps = &step, .n_steps = 1};

/* Workers of one service with 8 cores, none of which is usable. */
static struct wks *
described(void)
{
	static const char *const labels[] = {"kind"};
	struct wks_description d = {
	    .name = "w",
	    .incarnation = 1,
	    .service = "desk",
	    .failure_domain = "z1",
	    .labels = labels,
	    .n_labels = 1,
	    .capacity = {.cpu_milli = 8},
	};
	struct wks *set = wks_new();

	wks_describe(set, wks_add(set, NULL), &d);
	return set;
}

static enum rch_result
check(const struct wks *set, int64_t age_ms, int64_t startup_wait_ms)
{
	struct rch_query query = {
	    .workers = set,
	    .service = "desk",
	    .job = &job,
	    .age_ms = age_ms,
	    .startup_wait_ms = startup_wait_ms,
	};

	return rch_check(&query, 100000);
}

/*
 * Load: jobs that arrive while the power returns.  Guards against refusing them
 * before any worker could be connected.
 */
START_TEST(known_workers_are_expected_after_the_start)
{
	struct wks *set = described();

	ck_assert_int_eq(check(set, 0, WAIT_MS), RCH_EXPECTED);
	ck_assert_int_eq(check(set, WAIT_MS - 1, WAIT_MS), RCH_EXPECTED);
	ck_assert_int_eq(check(set, 0, 0), RCH_NONE);
	wks_set_room(
	    wks_get(set, 0), &(struct wk_size){.cpu_milli = 8}, true, 100000);
	ck_assert_int_eq(check(set, 0, WAIT_MS), RCH_USABLE);
	wks_free(set);
}
END_TEST

/*
 * Failure: workers that do not return are expected for a while only, and a task
 * that fits none of them is refused at once.
 */
START_TEST(workers_are_not_expected_for_ever)
{
	struct wks *set = described(), *empty = wks_new();

	ck_assert_int_eq(check(set, WAIT_MS, WAIT_MS), RCH_NONE);
	ck_assert_int_eq(check(empty, 2999, 0), RCH_EXPECTED);
	ck_assert_int_eq(check(empty, 3000, 0), RCH_NONE);
	step.size.cpu_milli = 9;
	ck_assert_int_eq(check(set, 0, WAIT_MS), RCH_TOO_LARGE);
	step.size.cpu_milli = 5;
	wks_free(set);
	wks_free(empty);
}
END_TEST

TEST_MAIN("reach", 0, known_workers_are_expected_after_the_start,
    workers_are_not_expected_for_ever)
