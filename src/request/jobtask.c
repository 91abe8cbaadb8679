#include "request/jobtask.h"

static bool
is_active(enum jt_state state)
{
	return state == JT_SENT || state == JT_UNRESOLVED;
}

static void
add_active(struct jt_task *task)
{
	task->active_index = task->job->active->len;
	g_ptr_array_add(task->job->active, task);
}

static void
remove_active(struct jt_task *task)
{
	GPtrArray *active = task->job->active;
	struct jt_task *last = active->pdata[active->len - 1];

	last->active_index = task->active_index;
	g_ptr_array_remove_index_fast(active, task->active_index);
}

void
jt_set_state(struct jt_task *task, enum jt_state state)
{
	struct jt_job *job = task->job;
	bool was_active = is_active(task->state);

	job->n_in_state[task->state]--;
	job->n_in_state[state]++;
	if (task->state == JT_READY)
		job->steps[task->step].n_ready--;
	if (state == JT_READY)
		job->steps[task->step].n_ready++;
	task->state = state;
	if (state == JT_READY)
		job->first_ready =
		    MIN(job->first_ready, (uint32_t)(task - job->tasks));
	if (is_active(state) && !was_active)
		add_active(task);
	else if (!is_active(state) && was_active)
		remove_active(task);
}

uint32_t
jt_next_ready(struct jt_job *job, uint32_t from)
{
	uint32_t i;

	if (job->n_in_state[JT_READY] == 0)
		return job->n_tasks;
	i = MAX(from, job->first_ready);
	while (i < job->n_tasks && job->tasks[i].state != JT_READY)
		i++;
	if (from <= job->first_ready)
		job->first_ready = i;
	return i;
}

/* A step comes after those that it waits for. */
void
jt_set_run_times(struct jt_job *job)
{
	double ratio = spd_queue_ratio(job->speed);
	uint32_t i, j;

	for (i = job->spec->n_steps; i-- > 0;) {
		const struct wk_step *step = &job->spec->steps[i];
		int64_t tail_ms = job->steps[i].tail_ms + step->estimate_ms;

		job->steps[i].tail_ms = tail_ms;
		job->steps[i].task_work =
		    (double)step->size.cpu_milli *
		    spd_average_ms(job->speed, step->estimate_ms);
		for (j = 0; j < step->n_after; j++) {
			struct jt_step *former = &job->steps[step->after[j]];

			former->tail_ms = MAX(former->tail_ms, tail_ms);
		}
	}
	for (i = 0; i < job->spec->n_steps; i++)
		job->steps[i].tail_ms =
		    (int64_t)((double)job->steps[i].tail_ms * ratio);
}

int64_t
jt_remaining_ms(const struct jt_job *job)
{
	int64_t longest_ms = 0;
	uint32_t i;

	for (i = 0; i < job->spec->n_steps; i++) {
		if (job->steps[i].n_ready > 0)
			longest_ms = MAX(longest_ms, job->steps[i].tail_ms);
	}
	return longest_ms;
}

double
jt_waiting_work(const struct jt_job *job)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < job->spec->n_steps; i++)
		work += job->steps[i].n_ready * job->steps[i].task_work;
	return work;
}

static void
make_ready(struct jt_job *job, uint32_t step)
{
	struct jt_task *tasks = &job->tasks[job->steps[step].first_task];
	uint32_t i;

	for (i = 0; i < job->spec->steps[step].count; i++)
		jt_set_state(&tasks[i], JT_READY);
}

static void
init_tasks(struct jt_job *job)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct wk_step *step = &job->spec->steps[i];

		job->steps[i].first_task = n;
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
	job->n_in_state[JT_BLOCKED] = job->n_tasks;
	job->first_ready = job->n_tasks;
	job->active = g_ptr_array_new();
	job->failed_on = g_hash_table_new(NULL, NULL);
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
	g_ptr_array_unref(job->active);
	g_hash_table_unref(job->failed_on);
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

	jt_set_state(task, JT_DONE);
	job->n_left--;
	if (--job->steps[task->step].n_left == 0)
		unblock_steps(job, task->step);
	return job->n_left == 0;
}

uint32_t
jt_n_on(const struct jt_job *job, uint32_t step, const struct wks_worker *w)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < job->active->len; i++) {
		const struct jt_task *task = job->active->pdata[i];

		if (task->step == step && task->worker == w)
			n++;
	}
	return n;
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
	return g_hash_table_contains(job->failed_on, w);
}

/* Remembers the first JT_MAX_FAILED_ON workers only. */
void
jt_remember_failed_on(struct jt_task *task, struct wks_worker *w)
{
	int i;

	g_hash_table_add(task->job->failed_on, w);
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

	g_hash_table_remove(job->failed_on, w);
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

enum blm_status
jt_recall_crashes(struct jt_job *job, struct blm *blame, int64_t now_ms)
{
	enum blm_status worst = BLM_CLEAR;
	uint32_t i;

	for (i = 0; i < job->n_tasks && blm_is_needed(blame); i++) {
		struct jt_task *task = &job->tasks[i];
		enum blm_status status;

		task->was_lost = true;
		status = jt_blame_status(task, blame, now_ms);
		task->was_lost = status != BLM_CLEAR;
		worst = MAX(worst, status);
	}
	return worst;
}

enum blm_status
jt_worst_status(struct jt_job *job, struct blm *blame, int64_t now_ms)
{
	enum blm_status worst = BLM_CLEAR;
	uint32_t i;

	for (i = jt_next_ready(job, 0); i < job->n_tasks;
	     i = jt_next_ready(job, i + 1))
		worst =
		    MAX(worst, jt_blame_status(&job->tasks[i], blame, now_ms));
	return worst;
}
