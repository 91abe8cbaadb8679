#include <stdio.h>
#include <string.h>

#include "request/batch.h"
#include "request/dispatch.h"

/* A submitted job that is not finished. */
struct djob {
	struct job *job;
	struct queue *queue;
	GList *link; /* in the queue while tasks wait */
	GSequenceIter *timer;
	int64_t at_ms;
	uint32_t counted; /* waiting tasks counted in the queue */
};

struct queue {
	GQueue jobs; /* struct djob with waiting tasks, oldest first */
	uint32_t waiting;
};

/* A pass over the queued tasks of a service, as place.h describes it. */
struct pass {
	int64_t now_ms;
	uint32_t skipped; /* tasks that were not placed */
};

/* A start whose outcome is not known. */
struct out {
	struct job *job; /* holds a reference */
	uint32_t task;
	uint32_t place_id;
	void *agent;
};

struct dispatch {
	struct dsp_options opts;
	GHashTable *queues; /* service -> struct queue */
	GHashTable *jobs;   /* struct job -> struct djob */
	GPtrArray *batches; /* struct batch, while a job is placed */
	GHashTable *outs;   /* &seq -> struct out */
	GSequence *timers;  /* struct djob by at_ms */
	uint64_t next_seq;
	int64_t *started, *not_started, *unknown, *done, *dropped, *retried;
	int64_t *messages;
};

static void
free_queue(gpointer data)
{
	struct queue *queue = data;

	g_queue_clear(&queue->jobs);
	g_free(queue);
}

static void
free_djob(gpointer data)
{
	struct djob *dj = data;

	job_unref(dj->job);
	g_free(dj);
}

static void
free_out(gpointer data)
{
	struct out *out = data;

	job_unref(out->job);
	g_free(out);
}

static void
make_counters(struct dispatch *dsp, struct ctr_registry *reg)
{
	const char *help = "outcomes of starts";

	dsp->started = ctr_counter(reg, "sp_starts_total", "starts sent");
	dsp->messages =
	    ctr_counter(reg, "sp_start_messages_total", "START messages sent");
	dsp->done =
	    ctr_counter(reg, "sp_outcomes_total{outcome=\"done\"}", help);
	dsp->not_started = ctr_counter(
	    reg, "sp_outcomes_total{outcome=\"not_started\"}", help);
	dsp->unknown =
	    ctr_counter(reg, "sp_outcomes_total{outcome=\"unknown\"}", help);
	dsp->dropped = ctr_counter(reg, "sp_outcomes_dropped_total",
	    "late or duplicate outcomes that were dropped");
	dsp->retried = ctr_counter(reg, "sp_retries_total",
	    "second starts of idempotent requests with unknown outcome");
}

/* Makes a dispatcher without jobs and agents. */
struct dispatch *
dsp_new(const struct dsp_options *opts)
{
	struct dispatch *dsp = g_new0(struct dispatch, 1);

	dsp->opts = *opts;
	dsp->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_queue);
	dsp->jobs = g_hash_table_new_full(NULL, NULL, NULL, free_djob);
	dsp->batches = g_ptr_array_new_with_free_func(bat_free);
	dsp->outs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_out);
	dsp->timers = g_sequence_new(NULL);
	dsp->next_seq = 1;
	make_counters(dsp, opts->counters);
	return dsp;
}

/* Frees the dispatcher; jobs in progress are dropped without an answer. */
void
dsp_free(struct dispatch *dsp)
{
	g_sequence_free(dsp->timers);
	g_hash_table_unref(dsp->outs);
	g_hash_table_unref(dsp->jobs);
	g_hash_table_unref(dsp->queues);
	g_ptr_array_unref(dsp->batches);
	g_free(dsp);
}

static int
compare_timers(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct djob *x = a, *y = b;

	(void)data;
	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void
set_timer(struct dispatch *dsp, struct djob *dj, int64_t at_ms)
{
	if (dj->timer != NULL)
		g_sequence_remove(dj->timer);
	dj->at_ms = at_ms;
	dj->timer =
	    g_sequence_insert_sorted(dsp->timers, dj, compare_timers, NULL);
}

/* Brings the queue in line with the number of tasks that wait. */
static void
update_queue(struct djob *dj, bool front)
{
	uint32_t waiting = job_n_waiting(dj->job);

	dj->queue->waiting += waiting - dj->counted;
	dj->counted = waiting;
	if (waiting == 0 && dj->link != NULL) {
		g_queue_delete_link(&dj->queue->jobs, dj->link);
		dj->link = NULL;
	} else if (waiting > 0 && dj->link == NULL) {
		if (front)
			g_queue_push_head(&dj->queue->jobs, dj);
		else
			g_queue_push_tail(&dj->queue->jobs, dj);
		dj->link = front ? dj->queue->jobs.head : dj->queue->jobs.tail;
	}
}

/* Drops a finished job; returns whether it was finished. */
static bool
end_if_finished(struct dispatch *dsp, struct djob *dj)
{
	struct job *job = dj->job;

	if (!job_is_finished(job))
		return false;
	update_queue(dj, false);
	g_sequence_remove(dj->timer);
	job_ref(job);
	g_hash_table_remove(dsp->jobs, job);
	dsp->opts.ended(job, dsp->opts.ctx);
	job_unref(job);
	return true;
}

static struct queue *
get_queue(struct dispatch *dsp, const char *service)
{
	struct queue *queue = g_hash_table_lookup(dsp->queues, service);

	if (queue == NULL) {
		queue = g_new0(struct queue, 1);
		g_queue_init(&queue->jobs);
		g_hash_table_insert(dsp->queues, g_strdup(service), queue);
	}
	return queue;
}

static void
task_need(const struct job *job, uint32_t index, struct place_task *need)
{
	const struct job_task_spec *spec = &job_task(job, index)->spec;

	need->service = job_service(job);
	need->declared_ms = spec->run_ms;
	need->cores = spec->cores;
	need->memory_mb = spec->memory_mb;
}

/* The last task to end decides the answer, so long ones go first. */
static void
sort_tasks(struct dispatch *dsp, struct job *job)
{
	uint32_t i, n = job_n_tasks(job);
	struct place_task need;
	int64_t *run_us;

	if (n < 2)
		return;
	run_us = g_new(int64_t, n);
	for (i = 0; i < n; i++) {
		task_need(job, i, &need);
		run_us[i] = place_expected_run_us(dsp->opts.place, &need);
	}
	job_sort(job, run_us);
	g_free(run_us);
}

/* Queues a job that was admitted; the dispatcher takes a reference. */
void
dsp_submit(struct dispatch *dsp, struct job *job)
{
	struct djob *dj = g_new0(struct djob, 1);

	dj->job = job_ref(job);
	dj->queue = get_queue(dsp, job_service(job));
	sort_tasks(dsp, job);
	g_hash_table_insert(dsp->jobs, job, dj);
	set_timer(dsp, dj, job_request(job)->deadline_ms);
	update_queue(dj, false);
	dsp->opts.wake(dsp->opts.ctx);
}

static void
withdraw_from(struct dispatch *dsp, struct job *job, void *agent)
{
	GArray *seqs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct job_task *task;
	struct out *out;
	uint32_t i;

	for (i = 0; i < job_n_tasks(job); i++) {
		task = job_task(job, i);
		if (task->state != JOB_TASK_PLACED)
			continue;
		out = g_hash_table_lookup(dsp->outs, &task->seq);
		if (out != NULL && out->agent == agent)
			g_array_append_val(seqs, task->seq);
	}
	for (i = 0; i < seqs->len; i += WIRE_BATCH_MAX)
		dsp->opts.withdraw(agent, &g_array_index(seqs, uint64_t, i),
		    MIN(seqs->len - i, WIRE_BATCH_MAX), dsp->opts.ctx);
	g_array_unref(seqs);
}

static void
withdraw_all(struct dispatch *dsp, struct job *job)
{
	GPtrArray *agents = g_ptr_array_new();
	const struct job_task *task;
	struct out *out;
	uint32_t i;

	for (i = 0; i < job_n_tasks(job); i++) {
		task = job_task(job, i);
		if (task->state != JOB_TASK_PLACED)
			continue;
		out = g_hash_table_lookup(dsp->outs, &task->seq);
		if (out != NULL && !g_ptr_array_find(agents, out->agent, NULL))
			g_ptr_array_add(agents, out->agent);
	}
	for (i = 0; i < agents->len; i++)
		withdraw_from(dsp, job, agents->pdata[i]);
	g_ptr_array_unref(agents);
}

/* Follows a job that has just begun to fail. */
static void
begin_failing(struct dispatch *dsp, struct djob *dj, int64_t now_ms)
{
	if (end_if_finished(dsp, dj))
		return;
	update_queue(dj, false);
	set_timer(dsp, dj, now_ms + dsp->opts.grace_ms);
	withdraw_all(dsp, dj->job);
}

/* Cancels a job: what has not started never will. */
void
dsp_cancel(struct dispatch *dsp, struct job *job, int64_t now_ms)
{
	struct djob *dj = g_hash_table_lookup(dsp->jobs, job);

	if (dj == NULL || job_state(job) != JOB_RUNNING)
		return;
	job_fail(job, JOB_CAUSE_CANCELLED, now_ms);
	begin_failing(dsp, dj, now_ms);
}

/* Ends jobs that are past their time; also tries the queues again. */
void
dsp_tick(struct dispatch *dsp, int64_t now_ms)
{
	GSequenceIter *first;
	struct djob *dj;

	for (;;) {
		first = g_sequence_get_begin_iter(dsp->timers);
		if (g_sequence_iter_is_end(first))
			break;
		dj = g_sequence_get(first);
		if (dj->at_ms > now_ms)
			break;
		if (job_state(dj->job) == JOB_RUNNING) {
			job_fail(dj->job, JOB_CAUSE_DEADLINE, now_ms);
			begin_failing(dsp, dj, now_ms);
		} else {
			job_give_up(dj->job, now_ms);
			end_if_finished(dsp, dj);
		}
	}
	pool_refresh(dsp->opts.pool, now_ms);
	dsp_place_tasks(dsp, now_ms);
}

/* Undoes starts of a batch that was not sent. */
static void
return_batch(struct dispatch *dsp, struct batch *batch, int64_t now_ms)
{
	struct place_task need;
	struct out *out;
	uint64_t *seq;
	guint i;

	for (i = 0; i < batch->starts->len; i++) {
		seq = &g_array_index(batch->starts, wire_start, i).seq;
		out = g_hash_table_lookup(dsp->outs, seq);
		task_need(out->job, out->task, &need);
		pool_unsent(
		    dsp->opts.pool, out->agent, out->place_id, &need, now_ms);
		job_not_started(out->job, out->task, *seq, now_ms);
		g_hash_table_remove(dsp->outs, seq);
	}
}

static void
send_batch(struct dispatch *dsp, struct batch *batch, int64_t now_ms)
{
	if (dsp->opts.start(batch->agent,
		(wire_start *)(void *)batch->starts->data, batch->starts->len,
		dsp->opts.ctx)) {
		*dsp->started += batch->starts->len;
		(*dsp->messages)++;
	} else {
		return_batch(dsp, batch, now_ms);
	}
	bat_clear(batch);
}

static void
add_start(struct dispatch *dsp, struct djob *dj, uint32_t index, void *agent,
    uint32_t place_id, int64_t now_ms)
{
	struct batch *batch = bat_get(dsp->batches, agent);
	struct out *out = g_new0(struct out, 1);
	uint64_t seq = dsp->next_seq++;

	if (bat_is_full(batch, dj->job, index))
		send_batch(dsp, batch, now_ms);
	out->job = job_ref(dj->job);
	out->task = index;
	out->agent = agent;
	out->place_id = place_id;
	g_hash_table_insert(dsp->outs, g_memdup2(&seq, sizeof(seq)), out);
	job_placed(dj->job, index, seq);
	bat_add(batch, dj->job, index, seq, now_ms);
}

static void
flush_batches(struct dispatch *dsp, int64_t now_ms)
{
	guint i;

	for (i = 0; i < dsp->batches->len; i++)
		send_batch(dsp, dsp->batches->pdata[i], now_ms);
	g_ptr_array_set_size(dsp->batches, 0);
}

/* Whether the pass may go on after a task that was not placed. */
static bool
may_go_on(struct dispatch *dsp, struct pass *pass, const char *service)
{
	return ++pass->skipped < PLACE_PASS_MAX_SKIPPED &&
	       g_hash_table_size(dsp->outs) < dsp->opts.max_outstanding &&
	       place_has_capacity(dsp->opts.place, service);
}

/* Places tasks of one job; returns false when the pass ends. */
static bool
run_job(struct dispatch *dsp, struct djob *dj, struct pass *pass)
{
	struct place_task need;
	uint32_t index, place_id, rank = 0;
	bool go_on = true;
	void *agent;

	while (
	    go_on && (index = job_next_waiting(dj->job, rank)) != JOB_NO_TASK) {
		rank = job_task(dj->job, index)->rank + 1;
		task_need(dj->job, index, &need);
		agent = NULL;
		if (g_hash_table_size(dsp->outs) < dsp->opts.max_outstanding)
			agent = pool_choose(
			    dsp->opts.pool, &need, &place_id, pass->now_ms);
		if (agent != NULL) {
			add_start(
			    dsp, dj, index, agent, place_id, pass->now_ms);
			continue;
		}
		go_on = may_go_on(dsp, pass, need.service);
		/* Its other tasks are mostly alike and must not end the pass. */
		if (!place_fits_live(dsp->opts.place, &need))
			break;
	}
	flush_batches(dsp, pass->now_ms);
	update_queue(dj, true);
	return go_on;
}

static void
run_queue(struct dispatch *dsp, struct queue *queue, const char *service,
    int64_t now_ms)
{
	struct pass pass = {.now_ms = now_ms};
	GList *link = queue->jobs.head, *next;
	bool go_on =
	    link != NULL && place_has_capacity(dsp->opts.place, service);

	while (go_on && link != NULL) {
		next = link->next;
		go_on = run_job(dsp, link->data, &pass);
		link = next;
	}
}

/*
 * Places waiting tasks.  Does nothing while the configuration is not
 * confirmed, since a domain may have been taken out meanwhile.
 */
void
dsp_place_tasks(struct dispatch *dsp, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer key, value;

	if (!fresh_is_current(dsp->opts.fresh, now_ms))
		return;
	place_begin_pass(dsp->opts.place, now_ms);
	g_hash_table_iter_init(&iter, dsp->queues);
	while (g_hash_table_iter_next(&iter, &key, &value))
		run_queue(dsp, value, key, now_ms);
}

static bool
try_retry(struct dispatch *dsp, const struct out *out, uint64_t seq)
{
	struct rty_attempt attempt = {.outcome = RTY_UNKNOWN};

	if (job_request(out->job)->method == NULL ||
	    job_state(out->job) != JOB_RUNNING)
		return false;
	attempt.idempotent = job_request(out->job)->idempotent;
	attempt.attempts = job_task(out->job, out->task)->attempts;
	if (!rty_allow(dsp->opts.retry, &attempt))
		return false;
	(*dsp->retried)++;
	return job_retry(out->job, out->task, seq);
}

static bool
apply_outcome(struct dispatch *dsp, const struct out *out,
    const wire_result *result, int64_t now_ms)
{
	struct job_result done = {.status = result->status};

	switch (result->outcome) {
	case WIRE_NOT_STARTED:
		(*dsp->not_started)++;
		return job_not_started(
		    out->job, out->task, result->seq, now_ms);
	case WIRE_DONE:
		(*dsp->done)++;
		done.body = result->body.wire_payload_val;
		done.body_len = result->body.wire_payload_len;
		done.headers = (struct job_header *)result->headers.headers_val;
		done.n_headers = result->headers.headers_len;
		return job_done(
		    out->job, out->task, result->seq, &done, now_ms);
	case WIRE_UNKNOWN:
		break;
	}
	(*dsp->unknown)++;
	return try_retry(dsp, out, result->seq) ||
	       job_unknown(out->job, out->task, result->seq, now_ms);
}

/*
 * Takes the outcome of a start.  One that belongs to no open start of this
 * agent is late or a duplicate, and is dropped.
 */
void
dsp_outcome(struct dispatch *dsp, void *agent, const wire_result *result,
    int64_t now_ms)
{
	struct out *out = g_hash_table_lookup(dsp->outs, &result->seq);
	struct place_task need;
	enum job_state before;
	struct djob *dj;
	struct out copy;

	if (out == NULL || out->agent != agent) {
		(*dsp->dropped)++;
		return;
	}
	copy = *out;
	job_ref(copy.job);
	g_hash_table_remove(dsp->outs, &result->seq);
	task_need(copy.job, copy.task, &need);
	pool_outcome(
	    dsp->opts.pool, agent, copy.place_id, &need, result, now_ms);
	dj = g_hash_table_lookup(dsp->jobs, copy.job);
	before = job_state(copy.job);
	if (!apply_outcome(dsp, &copy, result, now_ms))
		(*dsp->dropped)++;
	if (dj != NULL && before == JOB_RUNNING &&
	    job_state(copy.job) != JOB_RUNNING)
		begin_failing(dsp, dj, now_ms);
	else if (dj != NULL && !end_if_finished(dsp, dj))
		update_queue(dj, true);
	job_unref(copy.job);
	dsp->opts.wake(dsp->opts.ctx);
}

/* Returns the seq of the next start. */
uint64_t
dsp_next_seq(const struct dispatch *dsp)
{
	return dsp->next_seq;
}

/* Returns the number of tasks of a service that wait here. */
uint32_t
dsp_waiting(const struct dispatch *dsp, const char *service)
{
	const struct queue *queue = g_hash_table_lookup(dsp->queues, service);

	return queue == NULL ? 0 : queue->waiting;
}

/* Returns the number of starts without an outcome. */
uint32_t
dsp_outstanding(const struct dispatch *dsp)
{
	return g_hash_table_size(dsp->outs);
}
