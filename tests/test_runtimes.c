#include <glib.h>
#include <math.h>

#include "request/runtimes.h"
#include "request/speed.h"
#include "runner.h"

#define ESTIMATE_MS  100
#define N_WORKERS    20
#define LONG_FACTOR  7
#define LONG_MS	     700
#define VERY_LONG_MS 3000

static double
normal(void)
{
	double u = 1 - g_random_double();

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_random_double());
}

/* Run times have a spread of 0.4, and long_share of the tasks take 7 times. */
static int64_t
run_ms(double long_share)
{
	double ms = ESTIMATE_MS * exp(0.4 * normal());

	if (g_random_double() < long_share)
		ms *= LONG_FACTOR;
	return (int64_t)ms;
}

/* A queue whose tasks ran on equal workers. */
struct fleet {
	struct spd_queue queue;
	struct spd_worker workers[N_WORKERS];
	struct spd_worker kind;
};

static void
teach(struct fleet *f, int worker, int64_t ms)
{
	spd_measure(&f->queue, &f->workers[worker], &f->kind, ms, ESTIMATE_MS);
}

static double
expected_ms(const struct fleet *f, int worker)
{
	return spd_run_ms(
	    &f->queue, &f->workers[worker], &f->kind, ESTIMATE_MS);
}

static struct fleet
fleet(bool by_distribution, double long_share)
{
	struct fleet f = {.queue.by_distribution = by_distribution};
	int i;

	g_random_set_seed(1);
	for (i = 0; i < 4000; i++)
		teach(&f, i % N_WORKERS, run_ms(long_share));
	return f;
}

/*
 * Load: 3 tasks in 100 take 7 times as long.  Guards against stopping them as
 * too slow, which starts them anew elsewhere.
 */
START_TEST(long_tasks_are_explained)
{
	struct fleet with = fleet(true, 0.03), without = fleet(true, 0);

	ck_assert_double_gt(spd_explained_factor(&with.queue), LONG_FACTOR);
	ck_assert_double_lt(spd_explained_factor(&without.queue), 4);
	ck_assert_double_eq_tol(
	    spd_queue_ratio(&with.queue) * spd_kind_slowness(&with.kind), 1,
	    0.1);
}
END_TEST

/*
 * Failure: a skewed distribution, whose mean and median differ.  Guards against
 * a queue that seems to become ever faster and its workers ever slower.
 */
START_TEST(queue_and_kind_do_not_drift_apart)
{
	struct fleet f = fleet(true, 0.1);
	int i;

	for (i = 0; i < 200000; i++)
		teach(&f, i % N_WORKERS, run_ms(0.1));
	ck_assert_double_eq_tol(spd_queue_ratio(&f.queue), 1.05, 0.25);
	ck_assert_double_eq_tol(spd_kind_slowness(&f.kind), 1.1, 0.25);
}
END_TEST

/* Guards against a long task that makes its worker look slow. */
START_TEST(a_long_task_does_not_make_its_worker_slow)
{
	struct fleet robust = fleet(true, 0.03), mean = fleet(false, 0.03);
	double before = expected_ms(&robust, 0);

	teach(&robust, 0, LONG_MS);
	ck_assert_double_lt(expected_ms(&robust, 0), before * 1.08);
	before = expected_ms(&mean, 0);
	teach(&mean, 0, LONG_MS);
	ck_assert_double_gt(expected_ms(&mean, 0), before * 1.08);
}
END_TEST

/*
 * Failure: a worker that turns slow, whose tasks look like long ones at first.
 */
START_TEST(a_slow_worker_is_still_found)
{
	struct fleet f = fleet(true, 0.03);
	double before = expected_ms(&f, 0);
	int i;

	for (i = 0; i < 20; i++)
		teach(&f, 0, 4 * run_ms(0));
	ck_assert_double_gt(expected_ms(&f, 0), before * 2);
	for (i = 0; i < 20; i++)
		teach(&f, 0, run_ms(0));
	ck_assert_double_lt(expected_ms(&f, 0), before * 1.5);
}
END_TEST

/* Failure: a queue whose run times change for good. */
START_TEST(a_change_of_all_run_times_is_followed)
{
	struct fleet f = fleet(true, 0);
	int i;

	for (i = 0; i < 4000; i++)
		teach(&f, i % N_WORKERS, 3 * run_ms(0));
	ck_assert_double_eq_tol(expected_ms(&f, 0), 3 * ESTIMATE_MS, 60);
	ck_assert_double_lt(spd_explained_factor(&f.queue), 4);
}
END_TEST

/* Failure: absurd times and estimates, and too few samples. */
START_TEST(absurd_run_times_stay_bounded)
{
	static const int64_t times_ms[] = {-1, 0, 1, INT64_MAX};
	struct fleet f = {.queue.by_distribution = true};
	int i;

	ck_assert_double_eq(spd_explained_factor(&f.queue), 1);
	ck_assert_double_eq(expected_ms(&f, 0), ESTIMATE_MS);
	teach(&f, 0, VERY_LONG_MS);
	ck_assert_double_eq(spd_explained_factor(&f.queue), 1);
	for (i = 0; i < 100000; i++)
		spd_measure(&f.queue, &f.workers[0], &f.kind,
		    times_ms[i % (int)G_N_ELEMENTS(times_ms)], i % 3 - 1);
	ck_assert(isfinite(expected_ms(&f, 0)));
	ck_assert_double_le(spd_explained_factor(&f.queue), 15);
}
END_TEST

TEST_MAIN("runtimes", 0, long_tasks_are_explained,
    queue_and_kind_do_not_drift_apart,
    a_long_task_does_not_make_its_worker_slow, a_slow_worker_is_still_found,
    a_change_of_all_run_times_is_followed, absurd_run_times_stay_bounded)
