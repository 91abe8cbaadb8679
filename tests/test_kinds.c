#include <math.h>

#include "request/kinds.h"
#include "runner.h"

#define FAST   0
#define SLOW   1
#define BIT(i) (1U << (i))

static const struct wk_size capacity = {.cpu_milli = 8000};
static const struct wk_size task_size = {.cpu_milli = 4000};
static struct spd_worker fast_kind, slow_kind;

/* Two fast workers, of which n_free are idle, and an idle slow one. */
static struct knd
fleet(int n_free)
{
	struct wk_size none = {0};
	struct knd knd;
	int i;

	fast_kind.log_slowness.value = log(0.7);
	slow_kind.log_slowness.value = log(1.7);
	knd_clear(&knd);
	for (i = 0; i < 2; i++)
		knd_add(&knd, "desk", &fast_kind, &capacity,
		    i < n_free ? &capacity : &none);
	knd_add(&knd, "desk", &slow_kind, &capacity, &capacity);
	return knd;
}

static struct knd_plan
plan(const struct knd *knd, double run_ms, double left_ms)
{
	struct knd_task task = {
	    .service = "desk",
	    .size = task_size,
	    .may_run = UINT32_MAX,
	    .average_run_ms = run_ms,
	    .left_ms = left_ms,
	};

	return knd_plan_of(knd, &task);
}

/*
 * Load: a burst of long tasks on a fleet with a slow kind.  Guards against
 * tasks of 900 ms that begin on a slow worker, where they end after 1,530 ms,
 * although a fast one is free in time.
 */
START_TEST(long_tasks_wait_for_the_fast_kind)
{
	struct knd knd = fleet(0);

	ck_assert_uint_eq(plan(&knd, 900, 1500).allowed, ~BIT(SLOW));
	ck_assert_uint_eq(plan(&knd, 900, 1500).fast, BIT(FAST));
	/* It is in time on the slow kind. */
	ck_assert_uint_eq(plan(&knd, 900, 1540).allowed, UINT32_MAX);
	/* It would be late on both, at the latest after the next pass. */
	ck_assert_uint_eq(plan(&knd, 900, 681).allowed, ~BIT(SLOW));
	ck_assert_uint_eq(plan(&knd, 900, 679).allowed, UINT32_MAX);
}
END_TEST

/*
 * Load: a burst of short tasks while fast capacity is scarce.  Guards against
 * short tasks that take the last fast workers, and against slow ones being
 * taken without a margin.
 */
START_TEST(short_tasks_spare_scarce_fast_workers)
{
	struct knd knd = fleet(1);

	ck_assert_uint_eq(plan(&knd, 100, 1000).spare, 0);
	knd_record_sent(&knd, FAST, &(struct wk_size){.cpu_milli = 4001});
	ck_assert_uint_eq(plan(&knd, 100, 1000).spare, BIT(SLOW));
	ck_assert_uint_eq(plan(&knd, 100, 256).spare, BIT(SLOW));
	ck_assert_uint_eq(plan(&knd, 100, 254).spare, 0);
	ck_assert_uint_eq(plan(&knd, 100, 254).allowed, UINT32_MAX);
}
END_TEST

/* Guards against waiting behind more tasks than the fast workers can end. */
START_TEST(tasks_held_before_count_as_a_wait)
{
	struct knd knd = fleet(0);
	struct knd_plan p = plan(&knd, 900, 1000);
	struct knd_task held = {.size = task_size, .average_run_ms = 900};

	/* Four of them run at once, for 630 ms. */
	ck_assert_uint_eq(p.allowed, ~BIT(SLOW));
	knd_record_held(&knd, &p, &held, 4);
	ck_assert_uint_eq(plan(&knd, 900, 1000).allowed, UINT32_MAX);
	ck_assert_uint_eq(plan(&knd, 900, 1315).allowed, ~BIT(SLOW));
}
END_TEST

/*
 * Failure: a kind that has disappeared, or that the task can't use, is not
 * waited for.
 */
START_TEST(a_kind_that_is_away_is_not_waited_for)
{
	struct knd knd = fleet(0);
	struct knd_task task = {.service = "desk",
	    .size = task_size,
	    .may_run = BIT(SLOW),
	    .average_run_ms = 900,
	    .left_ms = 1500};

	ck_assert_uint_eq(knd_plan_of(&knd, &task).allowed, UINT32_MAX);
	task.may_run = UINT32_MAX;
	task.size.cpu_milli = 8001;
	ck_assert_uint_eq(knd_plan_of(&knd, &task).allowed, UINT32_MAX);
	task.size = task_size;
	task.service = "other";
	ck_assert_uint_eq(knd_plan_of(&knd, &task).allowed, UINT32_MAX);
	knd_clear(&knd);
	knd_add(&knd, "desk", &slow_kind, &capacity, &capacity);
	task.service = "desk";
	ck_assert_uint_eq(knd_plan_of(&knd, &task).allowed, UINT32_MAX);
}
END_TEST

/*
 * Failure: wrong estimates.  Whatever is expected, a task waits no longer than
 * its objective, less the time until the next pass.
 */
START_TEST(no_estimate_makes_a_task_wait_past_its_objective)
{
	static const double runs_ms[] = {0, 1, 60, 900, 1e6, 1e12};
	struct knd knd = fleet(0);
	size_t i;

	for (i = 0; i < sizeof(runs_ms) / sizeof(runs_ms[0]); i++) {
		ck_assert_uint_eq(
		    plan(&knd, runs_ms[i], 49).allowed, UINT32_MAX);
		ck_assert_uint_eq(
		    plan(&knd, runs_ms[i], -1).allowed, UINT32_MAX);
	}
}
END_TEST

/* Guards against a search for each of many tasks that wait for one kind. */
START_TEST(a_blocked_task_blocks_those_that_need_as_much)
{
	struct knd knd = fleet(0);
	struct knd_plan p = plan(&knd, 900, 1000), any = KND_ANY;
	struct wk_size smaller = {.cpu_milli = 3999};

	ck_assert(!knd_is_blocked(&knd, &p, &task_size));
	knd_record_blocked(&knd, &p, &task_size);
	ck_assert(knd_is_blocked(&knd, &p, &task_size));
	ck_assert(!knd_is_blocked(&knd, &p, &smaller));
	ck_assert(!knd_is_blocked(&knd, &any, &task_size));
}
END_TEST

/* Guards against an index out of range on a fleet of very many kinds. */
START_TEST(classes_beyond_the_limit_restrict_nothing)
{
	struct spd_worker kinds[KND_MAX + 1] = {0};
	struct knd knd;
	uint32_t i;

	knd_clear(&knd);
	for (i = 0; i <= KND_MAX; i++)
		ck_assert_uint_eq(
		    knd_add(&knd, "desk", &kinds[i], &capacity, &capacity), i);
	knd_record_sent(&knd, KND_NONE, &task_size);
	ck_assert_uint_eq(plan(&knd, 900, 1500).allowed, UINT32_MAX);
}
END_TEST

TEST_MAIN("kinds", 0, long_tasks_wait_for_the_fast_kind,
    short_tasks_spare_scarce_fast_workers, tasks_held_before_count_as_a_wait,
    a_kind_that_is_away_is_not_waited_for,
    no_estimate_makes_a_task_wait_past_its_objective,
    a_blocked_task_blocks_those_that_need_as_much,
    classes_beyond_the_limit_restrict_nothing)
