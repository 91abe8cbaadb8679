#include <string.h>

#include "request/job_private.h"

struct waiter {
	uint64_t number;
	job_done_fn fn;
	void *ctx;
};

/* Adds to the bytes held by the job and its table. */
void
job_add_bytes(struct job *job, uint64_t bytes)
{
	job->bytes += bytes;
	if (job->table != NULL)
		job->table->bytes += bytes;
}

static void
drop_bytes(struct job *job, uint64_t bytes)
{
	job->bytes -= bytes;
	if (job->table != NULL)
		job->table->bytes -= bytes;
}

static struct job_header *
copy_headers(const struct job_header *headers, uint32_t n)
{
	struct job_header *copy = g_new0(struct job_header, n + 1);
	uint32_t i;

	for (i = 0; i < n; i++) {
		copy[i].name = g_strdup(headers[i].name);
		copy[i].value = g_strdup(headers[i].value);
	}
	return copy;
}

static void
free_headers(struct job_header *headers, uint32_t n)
{
	uint32_t i;

	for (i = 0; headers != NULL && i < n; i++) {
		g_free(headers[i].name);
		g_free(headers[i].value);
	}
	g_free(headers);
}

static void
free_payload(struct job *job, struct job_task *task)
{
	if (task->spec.payload == NULL)
		return;
	drop_bytes(job, g_bytes_get_size(task->spec.payload));
	g_clear_pointer(&task->spec.payload, g_bytes_unref);
}

static void
free_result(struct job *job, struct job_task *task)
{
	if (task->body != NULL)
		drop_bytes(job, g_bytes_get_size(task->body));
	g_clear_pointer(&task->body, g_bytes_unref);
	free_headers(task->headers, task->n_headers);
	task->headers = NULL;
	task->n_headers = 0;
}

struct job *
job_ref(struct job *job)
{
	job->refs++;
	return job;
}

void
job_unref(struct job *job)
{
	uint32_t i;

	if (--job->refs > 0)
		return;
	for (i = 0; i < job->spec.n_tasks; i++) {
		free_payload(job, &job->tasks[i]);
		free_result(job, &job->tasks[i]);
	}
	g_free(job->tasks);
	g_free(job->order);
	free_headers(
	    (struct job_header *)job->spec.headers, job->spec.n_headers);
	g_free((char *)job->spec.id);
	g_free((char *)job->spec.service);
	g_free((char *)job->spec.team);
	g_free((char *)job->spec.traceparent);
	g_free((char *)job->spec.method);
	g_free((char *)job->spec.path);
	g_array_unref(job->waiters);
	g_free(job);
}

/* Makes a job whose tasks all wait.  Returns one reference. */
struct job *
job_new(struct job_table *table, const struct job_spec *spec)
{
	struct job *job = g_new0(struct job, 1);
	uint32_t i;

	job->refs = 1;
	job->table = table;
	job->spec = *spec;
	job->spec.id = g_strdup(spec->id);
	job->spec.service = g_strdup(spec->service);
	job->spec.team = g_strdup(spec->team);
	job->spec.traceparent = g_strdup(spec->traceparent);
	job->spec.method = g_strdup(spec->method);
	job->spec.path = g_strdup(spec->path);
	job->spec.headers = copy_headers(spec->headers, spec->n_headers);
	job->spec.tasks = NULL;
	job->tasks = g_new0(struct job_task, spec->n_tasks);
	job->order = g_new(uint32_t, spec->n_tasks);
	for (i = 0; i < spec->n_tasks; i++) {
		job->tasks[i].spec = spec->tasks[i];
		g_bytes_ref(job->tasks[i].spec.payload);
		job->tasks[i].rank = job->order[i] = i;
	}
	job->n_waiting = spec->n_tasks;
	job->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	job->next_waiter = 1;
	return job;
}

const char *
job_id(const struct job *job)
{
	return job->spec.id;
}

const char *
job_service(const struct job *job)
{
	return job->spec.service;
}

const char *
job_team(const struct job *job)
{
	return job->spec.team;
}

/* Returns the specification without the tasks. */
const struct job_spec *
job_request(const struct job *job)
{
	return &job->spec;
}

enum job_state
job_state(const struct job *job)
{
	return job->state;
}

bool
job_is_finished(const struct job *job)
{
	return job->state == JOB_COMPLETE || job->state == JOB_FAILED;
}

enum job_cause
job_cause(const struct job *job)
{
	return job->cause;
}

/* Returns the error code that callers see. */
const char *
job_cause_name(enum job_cause cause)
{
	switch (cause) {
	case JOB_CAUSE_NONE:
		break;
	case JOB_CAUSE_TASK_FAILED:
		return "task_failed";
	case JOB_CAUSE_TASK_UNKNOWN:
		return "task_unknown";
	case JOB_CAUSE_DEADLINE:
		return "deadline";
	case JOB_CAUSE_CANCELLED:
		return "cancelled";
	case JOB_CAUSE_ANSWER_TOO_LARGE:
		return "answer_too_large";
	}
	return "none";
}

/*
 * Returns whether tasks of a failed job have run: JOB_RAN_NOT only when every
 * task certainly has not started.
 */
enum job_ran
job_ran(const struct job *job)
{
	enum job_ran ran = JOB_RAN_NOT;
	uint32_t i;

	for (i = 0; i < job->spec.n_tasks; i++) {
		switch (job->tasks[i].state) {
		case JOB_TASK_PLACED:
		case JOB_TASK_UNKNOWN:
			return JOB_RAN_UNKNOWN;
		case JOB_TASK_DONE:
		case JOB_TASK_FAILED:
			ran = JOB_RAN_FAILED;
			break;
		case JOB_TASK_WAITING:
		case JOB_TASK_NOT_RUN:
			break;
		}
	}
	return ran;
}

/* Returns the value that callers see. */
const char *
job_ran_name(enum job_ran ran)
{
	switch (ran) {
	case JOB_RAN_NOT:
		return "not_run";
	case JOB_RAN_FAILED:
		return "failed";
	case JOB_RAN_UNKNOWN:
		break;
	}
	return "unknown";
}

uint32_t
job_n_tasks(const struct job *job)
{
	return job->spec.n_tasks;
}

const struct job_task *
job_task(const struct job *job, uint32_t index)
{
	return &job->tasks[index];
}

/* Returns the number of tasks that wait at the entry. */
uint32_t
job_n_waiting(const struct job *job)
{
	return job->n_waiting;
}

/* Returns the number of tasks that were sent and have no outcome yet. */
uint32_t
job_n_placed(const struct job *job)
{
	return job->n_placed;
}

static int
compare_costs(gconstpointer a, gconstpointer b, gpointer data)
{
	const uint32_t *x = a, *y = b;
	const int64_t *cost = data;

	if (cost[*x] != cost[*y])
		return cost[*x] > cost[*y] ? -1 : 1;
	return (*x > *y) - (*x < *y);
}

/* Only for a job of which no task was placed yet. */
void
job_sort(struct job *job, const int64_t *cost)
{
	uint32_t i;

	g_qsort_with_data(job->order, (gint)job->spec.n_tasks,
	    sizeof(*job->order), compare_costs, (gpointer)cost);
	for (i = 0; i < job->spec.n_tasks; i++)
		job->tasks[job->order[i]].rank = i;
	job->first_rank = 0;
}

uint32_t
job_next_waiting(struct job *job, uint32_t rank)
{
	if (job->n_waiting == 0)
		return JOB_NO_TASK;
	while (
	    job->tasks[job->order[job->first_rank]].state != JOB_TASK_WAITING)
		job->first_rank++;
	for (rank = MAX(rank, job->first_rank); rank < job->spec.n_tasks;
	     rank++) {
		if (job->tasks[job->order[rank]].state == JOB_TASK_WAITING)
			return job->order[rank];
	}
	return JOB_NO_TASK;
}

/* Records that a waiting task was sent to an agent under seq. */
void
job_placed(struct job *job, uint32_t index, uint64_t seq)
{
	struct job_task *task = &job->tasks[index];

	g_return_if_fail(task->state == JOB_TASK_WAITING);
	task->state = JOB_TASK_PLACED;
	task->seq = seq;
	task->attempts++;
	job->n_waiting--;
	job->n_placed++;
}

static void
notify_waiters(struct job *job)
{
	struct waiter w;

	/* A callback may remove other waiters. */
	while (job->waiters->len > 0) {
		w = g_array_index(job->waiters, struct waiter, 0);
		g_array_remove_index(job->waiters, 0);
		w.fn(job, w.ctx);
	}
}

static void
finish(struct job *job, enum job_state state, int64_t now_ms)
{
	struct job_table *table = job->table;
	uint32_t i;

	g_assert(job->refs > 0);
	job_ref(job);
	job->state = state;
	job->finished_ms = now_ms;
	for (i = 0; i < job->spec.n_tasks; i++) {
		free_payload(job, &job->tasks[i]);
		/*
		 * The answer of a failed job has no results, unless it was a
		 * passed-through request.
		 */
		if (state == JOB_FAILED && job->spec.method == NULL)
			free_result(job, &job->tasks[i]);
	}
	if (table != NULL)
		job_table_finished(table, job);
	notify_waiters(job);
	if (table != NULL)
		job_table_trim(table, job);
	job_unref(job);
}

static void
finish_if_done(struct job *job, int64_t now_ms)
{
	if (job_is_finished(job) || job->n_placed > 0)
		return;
	if (job->state == JOB_FAILING)
		finish(job, JOB_FAILED, now_ms);
	else if (job->n_waiting == 0)
		finish(job, JOB_COMPLETE, now_ms);
}

/*
 * Makes the job fail.  Its waiting tasks will not run.  It ends when every
 * start in progress has an outcome, or by job_give_up().
 */
void
job_fail(struct job *job, enum job_cause cause, int64_t now_ms)
{
	uint32_t i;

	if (job->state != JOB_RUNNING)
		return;
	job->state = JOB_FAILING;
	job->cause = cause;
	for (i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == JOB_TASK_WAITING)
			job->tasks[i].state = JOB_TASK_NOT_RUN;
	}
	job->n_waiting = 0;
	finish_if_done(job, now_ms);
}

void
job_give_up(struct job *job, int64_t now_ms)
{
	uint32_t i;

	if (job->state != JOB_FAILING)
		return;
	for (i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == JOB_TASK_PLACED)
			job->tasks[i].state = JOB_TASK_UNKNOWN;
	}
	job->n_placed = 0;
	finish(job, JOB_FAILED, now_ms);
}

/* Returns the task if seq is its start in progress, else NULL. */
static struct job_task *
placed_task(struct job *job, uint32_t index, uint64_t seq)
{
	struct job_task *task;

	if (index >= job->spec.n_tasks || job_is_finished(job))
		return NULL;
	task = &job->tasks[index];
	return task->state == JOB_TASK_PLACED && task->seq == seq ? task : NULL;
}

static void
requeue_task(struct job *job, uint32_t index)
{
	job->tasks[index].state = JOB_TASK_WAITING;
	job->n_waiting++;
	job->first_rank = MIN(job->first_rank, job->tasks[index].rank);
}

/* Records that a start certainly did not happen; the task waits again. */
bool
job_not_started(struct job *job, uint32_t index, uint64_t seq, int64_t now_ms)
{
	struct job_task *task = placed_task(job, index, seq);

	if (task == NULL)
		return false;
	job->n_placed--;
	if (job->state == JOB_FAILING)
		task->state = JOB_TASK_NOT_RUN;
	else
		requeue_task(job, index);
	finish_if_done(job, now_ms);
	return true;
}

bool
job_retry(struct job *job, uint32_t index, uint64_t seq)
{
	if (job->state != JOB_RUNNING || placed_task(job, index, seq) == NULL)
		return false;
	job->n_placed--;
	requeue_task(job, index);
	return true;
}

/* Records that the outcome of a start can't be known; the job fails. */
bool
job_unknown(struct job *job, uint32_t index, uint64_t seq, int64_t now_ms)
{
	struct job_task *task = placed_task(job, index, seq);

	if (task == NULL)
		return false;
	job->n_placed--;
	task->state = JOB_TASK_UNKNOWN;
	if (job->state == JOB_RUNNING)
		job_fail(job, JOB_CAUSE_TASK_UNKNOWN, now_ms);
	else
		finish_if_done(job, now_ms);
	return true;
}

static bool
is_success(const struct job *job, uint32_t status)
{
	/* A passed-through request returns the endpoint's own status. */
	return job->spec.method != NULL || (status >= 200 && status < 300);
}

static void
store_result(
    struct job *job, struct job_task *task, const struct job_result *result)
{
	task->body = g_bytes_new(result->body, result->body_len);
	task->headers = copy_headers(result->headers, result->n_headers);
	task->n_headers = result->n_headers;
	job_add_bytes(job, result->body_len);
	job->answer_bytes += result->body_len;
}

/* Records the result of a task; a failed task makes the job fail. */
bool
job_done(struct job *job, uint32_t index, uint64_t seq,
    const struct job_result *result, int64_t now_ms)
{
	struct job_task *task = placed_task(job, index, seq);
	enum job_cause cause = JOB_CAUSE_NONE;

	if (task == NULL)
		return false;
	job->n_placed--;
	task->status = result->status;
	task->state =
	    is_success(job, result->status) ? JOB_TASK_DONE : JOB_TASK_FAILED;
	if (task->state == JOB_TASK_FAILED)
		cause = JOB_CAUSE_TASK_FAILED;
	else if (job->table != NULL && job->answer_bytes + result->body_len >
					   job->table->opts.max_answer_bytes)
		cause = JOB_CAUSE_ANSWER_TOO_LARGE;
	else if (job->state == JOB_RUNNING)
		store_result(job, task, result);
	if (cause != JOB_CAUSE_NONE && job->state == JOB_RUNNING)
		job_fail(job, cause, now_ms);
	else
		finish_if_done(job, now_ms);
	return true;
}

void
job_set_delivered(struct job *job)
{
	if (job->delivered || !job_is_finished(job))
		return;
	job->delivered = true;
	if (job->table != NULL)
		job->table->n_undelivered--;
}

uint64_t
job_wait(struct job *job, job_done_fn fn, void *ctx)
{
	struct waiter waiter = {.fn = fn, .ctx = ctx};

	if (job_is_finished(job) || job->table == NULL ||
	    job->waiters->len >= job->table->opts.max_waiters)
		return 0;
	waiter.number = job->next_waiter++;
	g_array_append_val(job->waiters, waiter);
	return waiter.number;
}

/* Removes a callback that has not run yet. */
void
job_unwait(struct job *job, uint64_t waiter)
{
	guint i;

	for (i = 0; i < job->waiters->len; i++) {
		if (g_array_index(job->waiters, struct waiter, i).number ==
		    waiter) {
			g_array_remove_index(job->waiters, i);
			return;
		}
	}
}
