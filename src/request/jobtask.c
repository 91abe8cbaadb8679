#include "request/jobtask.h"

static void
make_ready(struct jt_job *job, uint32_t step)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].step == step &&
		    job->tasks[i].state == JT_BLOCKED)
			job->tasks[i].state = JT_READY;
	}
}

static void
init_tasks(struct jt_job *job)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct wk_step *step = &job->spec->steps[i];

		job->steps[i].n_left = step->count;
		job->steps[i].n_blocking = step->n_after;
		for (j = 0; j < step->count; j++) {
			job->tasks[n].job = job;
			job->tasks[n].step = i;
			job->tasks[n].index = j;
			n++;
		}
	}
	for (i = 0; i < job->spec->n_steps; i++) {
		if (job->steps[i].n_blocking == 0)
			make_ready(job, i);
	}
}

struct jt_job *
jt_new(struct wk_job *spec, const struct rts_queue *queue)
{
	struct jt_job *job = g_new0(struct jt_job, 1);

	job->spec = spec;
	job->queue = g_strdup(queue->name);
	job->service = g_strdup(queue->service);
	job->priority = queue->priority;
	job->max_attempts = MAX(queue->max_attempts, 1);
	job->n_tasks = job->n_left = wk_job_n_tasks(spec);
	job->steps = g_new0(struct jt_step, spec->n_steps);
	job->tasks = g_new0(struct jt_task, job->n_tasks);
	job->link.data = job;
	init_tasks(job);
	return job;
}

/* Frees the job with its spec. */
void
jt_free(struct jt_job *job)
{
	wk_job_free(job->spec);
	g_free(job->queue);
	g_free(job->service);
	g_free(job->steps);
	g_free(job->tasks);
	g_free(job);
}

static void
unblock_steps(struct jt_job *job, uint32_t done)
{
	uint32_t i, j;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct wk_step *step = &job->spec->steps[i];

		for (j = 0; j < step->n_after; j++) {
			if (step->after[j] == done &&
			    --job->steps[i].n_blocking == 0)
				make_ready(job, i);
		}
	}
}

const struct wk_step *
jt_step_of(const struct jt_task *task)
{
	return &task->job->spec->steps[task->step];
}

bool
jt_mark_done(struct jt_task *task)
{
	struct jt_job *job = task->job;

	task->state = JT_DONE;
	job->n_left--;
	if (--job->steps[task->step].n_left == 0)
		unblock_steps(job, task->step);
	return job->n_left == 0;
}

uint32_t
jt_n_on(const struct jt_job *job, uint32_t step, const struct wks_worker *w)
{
	uint32_t i, n = 0;

	for (i = 0; i < job->n_tasks; i++) {
		const struct jt_task *task = &job->tasks[i];

		if (task->step == step && task->worker == w &&
		    (task->state == JT_SENT || task->state == JT_UNRESOLVED))
			n++;
	}
	return n;
}

void
jt_count(const struct jt_job *job, uint32_t *counts)
{
	uint32_t i;

	for (i = 0; i < JT_N_STATES; i++)
		counts[i] = 0;
	for (i = 0; i < job->n_tasks; i++)
		counts[job->tasks[i].state]++;
}

bool
jt_has_failed_on(const struct jt_task *task, const struct wks_worker *w)
{
	int i;

	for (i = 0; i < JT_MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == w)
			return true;
	}
	return false;
}

bool
jt_job_has_failed_on(const struct jt_job *job, const struct wks_worker *w)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (jt_has_failed_on(&job->tasks[i], w))
			return true;
	}
	return false;
}

/* Remembers the first JT_MAX_FAILED_ON workers only. */
void
jt_remember_failed_on(struct jt_task *task, struct wks_worker *w)
{
	int i;

	for (i = 0; i < JT_MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == NULL) {
			task->failed_on[i] = w;
			return;
		}
	}
}

static void
forget_worker(struct jt_task *task, const struct wks_worker *w)
{
	int i;

	for (i = 0; i < JT_MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == w)
			task->failed_on[i] = NULL;
	}
	if (task->worker == w)
		task->worker = NULL;
}

void
jt_forget_worker(struct jt_job *job, const struct wks_worker *w)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		forget_worker(&job->tasks[i], w);
}

enum blm_status
jt_blame_status(const struct jt_task *task, struct blm *blame, int64_t now_ms)
{
	g_autofree char *name = NULL;

	if (!task->was_lost || !blm_is_needed(blame))
		return BLM_CLEAR;
	name = wk_task_name(task->job->spec->id, task->step, task->index);
	return blm_status_of(blame, name, now_ms);
}
