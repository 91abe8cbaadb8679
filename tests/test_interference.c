#include <check.h>
#include <glib.h>
#include <math.h>

#include "request/interference.h"
#include "request/overlap.h"
#include "runner.h"

#define STEP_MS	    5
#define N_QUEUES    3
#define N_TASKS	    4 /* of a job */
#define MAX_RUNS    64
#define JOB_CHANCE  0.012 /* of each queue in a step */
#define ESTIMATE_MS 200
#define SPREAD	    0.4
#define N_SEEDS	    20

enum { A, B, C };
static const char *const names[] = {"a", "b", "c"};

struct active {
	bool used;
	int queue;
	double left_ms;
	int64_t started_ms;
	char task[32];
};

/* A worker that three queues share; a run of A or B is slowed by the other. */
struct world {
	GRand *rand;
	struct ovl *overlap;
	struct itf *itf;
	int64_t now_ms;
	double mutual; /* factor of A by B, and of B by A */
	double slow;   /* factor of the worker from slow_ms on */
	int64_t slow_ms;
	double estimates;   /* spread of their errors, which a job shares */
	int n_tasks;	    /* of a job */
	double accompanied; /* share of the jobs of B that bring one of C */
	uint32_t n_runs[N_QUEUES];
	bool found[N_QUEUES][N_QUEUES]; /* at any time */
	uint32_t n_jobs;
	struct active active[MAX_RUNS];
};

static void
world_open(struct world *w, guint32 seed)
{
	struct ovl_options opts = {0};

	*w = (struct world){.mutual = 1, .slow = 1, .n_tasks = 1};
	w->rand = g_rand_new_with_seed(seed);
	w->overlap = ovl_new(&opts);
	w->itf = itf_new();
}

static void
world_close(struct world *w)
{
	ovl_free(w->overlap);
	itf_free(w->itf);
	g_rand_free(w->rand);
}

static double
factor(struct world *w, double spread)
{
	double u = g_rand_double_range(w->rand, 1e-9, 1);
	double v = g_rand_double(w->rand);

	return exp(spread * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

static void
start_job(struct world *w, int queue)
{
	double job_ms = ESTIMATE_MS * factor(w, w->estimates);
	int i, n = 0;

	w->n_jobs++;
	for (i = 0; i < MAX_RUNS && n < w->n_tasks; i++) {
		struct active *run = &w->active[i];

		if (run->used)
			continue;
		run->used = true;
		run->queue = queue;
		run->left_ms = job_ms * factor(w, SPREAD) *
			       (g_rand_double(w->rand) < 0.03 ? 7 : 1);
		run->started_ms = w->now_ms;
		g_snprintf(run->task, sizeof(run->task), "job%u.0.0.%d",
		    w->n_jobs, n++);
		ovl_start(w->overlap, run->task, names[queue], w->now_ms);
	}
}

static void
end_run(struct world *w, struct active *run)
{
	struct itf_run done;

	run->used = false;
	w->n_runs[run->queue]++;
	if (ovl_end(w->overlap, run->task, w->now_ms, &done)) {
		done.run_ms = w->now_ms - run->started_ms;
		done.nominal_ms = ESTIMATE_MS;
		itf_add(w->itf, &done, w->now_ms);
	}
}

static void
step(struct world *w)
{
	uint32_t active[] = {ovl_active(w->overlap, "a"),
	    ovl_active(w->overlap, "b"), ovl_active(w->overlap, "c")};
	int i;

	for (i = 0; i < N_QUEUES; i++) {
		if (g_rand_double(w->rand) >= JOB_CHANCE)
			continue;
		start_job(w, i);
		if (i == B && g_rand_double(w->rand) < w->accompanied)
			start_job(w, C);
	}
	for (i = 0; i < MAX_RUNS; i++) {
		struct active *run = &w->active[i];
		double slowed = w->now_ms >= w->slow_ms ? w->slow : 1;

		if (!run->used)
			continue;
		if ((run->queue == A && active[B] > 0) ||
		    (run->queue == B && active[A] > 0))
			slowed *= w->mutual;
		run->left_ms -= STEP_MS / slowed;
		if (run->left_ms <= 0)
			end_run(w, run);
	}
	w->now_ms += STEP_MS;
	if (w->now_ms % 1000 == 0)
		itf_refresh(w->itf, w->now_ms);
}

static uint32_t
number_of(const struct world *w, int queue)
{
	uint32_t i;

	for (i = 0; i < ITF_QUEUES; i++) {
		if (g_strcmp0(ovl_queue(w->overlap, i), names[queue]) == 0)
			return i;
	}
	return 0;
}

/* Returns -INFINITY if there is no estimate. */
static double
sigma_of(struct world *w, int queue, int other)
{
	struct itf_row row;

	itf_refresh(w->itf, w->now_ms);
	if (!itf_estimate(w->itf, number_of(w, queue), number_of(w, other),
		w->now_ms, &row))
		return -INFINITY;
	return itf_sigma(row.mean, row.variance);
}

/* Lets each queue have n more runs, and records which pairs are found. */
static void
run_all(struct world *w, uint32_t n)
{
	uint32_t until[] = {
	    w->n_runs[A] + n, w->n_runs[B] + n, w->n_runs[C] + n};
	int q, o;

	while (w->n_runs[A] < until[A] || w->n_runs[B] < until[B] ||
	       w->n_runs[C] < until[C]) {
		step(w);
		if (w->now_ms % 1000 != 0)
			continue;
		for (q = A; q <= C; q++)
			for (o = A; o <= C; o++)
				if (sigma_of(w, q, o) >= ITF_FOUND_SIGMA)
					w->found[q][o] = true;
	}
}

static bool
is_c_implicated(const struct world *w)
{
	return w->found[A][C] || w->found[B][C] || w->found[C][A] ||
	       w->found[C][B];
}

/*
 * Guards against interference that is not detected, against a queue being
 * implicated that only ran on the same worker, and against a pair that is kept
 * after the effect has ended.
 */
START_TEST(finds_the_pair_and_forgets_it)
{
	struct world w;

	world_open(&w, (guint32)_i);
	w.mutual = 2;
	run_all(&w, 200);
	ck_assert_msg(w.found[A][B] && w.found[B][A], "seed %d", _i);
	run_all(&w, 800);
	ck_assert_msg(!is_c_implicated(&w), "seed %d", _i);
	w.mutual = 1;
	run_all(&w, 1000);
	ck_assert_double_lt(sigma_of(&w, A, B), ITF_FORGOTTEN_SIGMA);
	ck_assert_double_lt(sigma_of(&w, B, A), ITF_FORGOTTEN_SIGMA);
	world_close(&w);
}
END_TEST

/*
 * Guards against attributing to queues that the worker is slow, or turns slow,
 * where the tasks of a job share a wrong estimate.
 */
START_TEST(finds_no_pair_on_a_slow_worker)
{
	struct world w;
	int64_t since_ms;

	for (since_ms = 0; since_ms <= 30000; since_ms += 30000) {
		world_open(&w, (guint32)_i);
		w.slow = 1.7;
		w.slow_ms = since_ms;
		w.estimates = SPREAD;
		w.n_tasks = N_TASKS;
		run_all(&w, 1000);
		ck_assert_msg(
		    !is_c_implicated(&w) && !w.found[A][B] && !w.found[B][A],
		    "seed %d", _i);
		world_close(&w);
	}
}
END_TEST

/* Guards against implicating a queue that often runs beside the cause. */
START_TEST(finds_no_pair_for_concurrent_bystander)
{
	struct world w;

	world_open(&w, (guint32)_i);
	w.mutual = 2;
	w.accompanied = 0.7;
	run_all(&w, 1000);
	ck_assert_msg(w.found[A][B] && w.found[B][A], "seed %d", _i);
	ck_assert_msg(!is_c_implicated(&w), "seed %d", _i);
	world_close(&w);
}
END_TEST

/*
 * Guards against estimates that outlive the evidence for them, or the queue whose
 * number another one takes over.
 */
START_TEST(forgets_with_time_and_number)
{
	struct world w;

	world_open(&w, 1);
	w.mutual = 2;
	run_all(&w, 1000);
	itf_reset(w.itf, number_of(&w, B));
	ck_assert(sigma_of(&w, A, B) == -INFINITY);
	ck_assert(sigma_of(&w, A, C) > -INFINITY);
	w.now_ms += 10 * (int64_t)ITF_HALF_LIFE_MS;
	ck_assert(sigma_of(&w, A, C) == -INFINITY);
	world_close(&w);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("interference");

	tcase_add_loop_test(tc, finds_the_pair_and_forgets_it, 1, N_SEEDS + 1);
	tcase_add_loop_test(tc, finds_no_pair_on_a_slow_worker, 1, N_SEEDS + 1);
	tcase_add_loop_test(
	    tc, finds_no_pair_for_concurrent_bystander, 1, N_SEEDS + 1);
	tcase_add_test(tc, forgets_with_time_and_number);
	return run_tcase("interference", tc, 60);
}
