#include <glib.h>
#include <string.h>

#include "request/jobtask.h"
#include "runner.h"

#define N_STEPS	   3
#define N_WORKERS  4
#define N_CHANGES  20000
#define FIXED_SEED 7

static const uint32_t counts[N_STEPS] = {5, 40, 1};

/* Three steps, the last after the first. */
static struct jt_job *
new_job(void)
{
	struct wk_job *spec = g_new0(struct wk_job, 1);
	struct rts_queue queue = {
	    .name = (char *)"q", .service = (char *)"desk", .max_attempts = 1};
	uint32_t i;

	spec->id = g_strdup("j");
	spec->spec = g_bytes_new(NULL, 0);
	spec->steps = g_new0(struct wk_step, N_STEPS);
	spec->n_steps = N_STEPS;
	for (i = 0; i < N_STEPS; i++)
		spec->steps[i].count = counts[i];
	spec->steps[2].after = g_new0(uint32_t, 1);
	spec->steps[2].n_after = 1;
	return jt_new(spec, &queue);
}

static uint32_t
scan_next_ready(const struct jt_job *job, uint32_t from)
{
	while (from < job->n_tasks && job->tasks[from].state != JT_READY)
		from++;
	return from;
}

static uint32_t
scan_n_on(
    const struct jt_job *job, uint32_t step, const struct wks_worker *worker)
{
	uint32_t i, n = 0;

	for (i = 0; i < job->n_tasks; i++) {
		const struct jt_task *task = &job->tasks[i];

		n += task->step == step && task->worker == worker &&
		     (task->state == JT_SENT || task->state == JT_UNRESOLVED);
	}
	return n;
}

static void
check_job(struct jt_job *job, struct wks_worker *workers, GRand *rand)
{
	uint32_t from = (uint32_t)g_rand_int_range(rand, 0, 50);
	uint32_t n_in_state[JT_N_STATES] = {0};
	uint32_t i, step;

	for (i = 0; i < job->n_tasks; i++)
		n_in_state[job->tasks[i].state]++;
	for (i = 0; i < JT_N_STATES; i++)
		ck_assert_uint_eq(job->n_in_state[i], n_in_state[i]);
	from = MIN(from, job->n_tasks);
	ck_assert_uint_eq(jt_next_ready(job, from), scan_next_ready(job, from));
	ck_assert_uint_eq(jt_next_ready(job, 0), scan_next_ready(job, 0));
	for (step = 0; step < N_STEPS; step++) {
		for (i = 0; i < N_WORKERS; i++)
			ck_assert_uint_eq(jt_n_on(job, step, &workers[i]),
			    scan_n_on(job, step, &workers[i]));
	}
}

static void
change_task(struct jt_task *task, struct wks_worker *workers, GRand *rand)
{
	switch (task->state) {
	case JT_READY:
		task->worker = &workers[g_rand_int_range(rand, 0, N_WORKERS)];
		jt_set_state(task, JT_SENT);
		break;
	case JT_SENT:
	case JT_UNRESOLVED:
		jt_set_state(
		    task, g_rand_boolean(rand) ? JT_READY : JT_UNRESOLVED);
		break;
	case JT_BLOCKED:
	case JT_DONE:
	case JT_N_STATES:
		break;
	}
}

/*
 * Guards what the job keeps beside the states of its tasks against differing
 * from them: a task that is not found would never be started, and one that is
 * counted twice would hold back the others of its step.
 */
START_TEST(kept_numbers_follow_states)
{
	static struct wks_worker workers[N_WORKERS];
	struct jt_job *job = new_job();
	GRand *rand = g_rand_new_with_seed(FIXED_SEED);
	int i;

	for (i = 0; i < N_CHANGES; i++) {
		change_task(&job->tasks[g_rand_int_range(
				rand, 0, (gint32)job->n_tasks)],
		    workers, rand);
		check_job(job, workers, rand);
	}
	g_rand_free(rand);
	jt_free(job);
}
END_TEST

START_TEST(step_is_ready_after_the_one_before)
{
	struct jt_job *job = new_job();
	uint32_t i, last = job->n_tasks - 1;

	ck_assert_int_eq(job->tasks[last].state, JT_BLOCKED);
	for (i = 0; i < counts[0]; i++) {
		ck_assert_int_eq(job->tasks[last].state, JT_BLOCKED);
		ck_assert(!jt_mark_done(&job->tasks[i]));
	}
	ck_assert_int_eq(job->tasks[last].state, JT_READY);
	ck_assert_uint_eq(jt_next_ready(job, last), last);
	for (; i < job->n_tasks; i++)
		ck_assert(jt_mark_done(&job->tasks[i]) == (i == last));
	ck_assert_uint_eq(jt_next_ready(job, 0), job->n_tasks);
	jt_free(job);
}
END_TEST

/* A worker is remembered for the whole job until it is removed. */
START_TEST(failed_workers_are_remembered)
{
	static struct wks_worker workers[N_WORKERS];
	struct jt_job *job = new_job();

	jt_remember_failed_on(&job->tasks[1], &workers[1]);
	ck_assert(jt_job_has_failed_on(job, &workers[1]));
	ck_assert(!jt_job_has_failed_on(job, &workers[0]));
	ck_assert(jt_has_failed_on(&job->tasks[1], &workers[1]));
	ck_assert(!jt_has_failed_on(&job->tasks[0], &workers[1]));
	jt_forget_worker(job, &workers[1]);
	ck_assert(!jt_job_has_failed_on(job, &workers[1]));
	ck_assert(!jt_has_failed_on(&job->tasks[1], &workers[1]));
	jt_free(job);
}
END_TEST

TEST_MAIN("jobtask", 0, kept_numbers_follow_states,
    step_is_ready_after_the_one_before, failed_workers_are_remembered)
