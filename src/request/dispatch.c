#include <stdio.h>
#include <string.h>

#include "request/dispatch.h"

#define BATCH_BYTES    (1024 * 1024) /* well under the record limit */
#define START_OVERHEAD 512
#define SCAN_JOBS      16 /* jobs tried behind one that fits no worker */
#define HOLD_MS	       100
#define HOLD_MAX_MS    2000

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

struct dagent {
	void *agent;
	uint32_t place_id;
	char *name;
	char *failure_domain;
	char *service;
	uint32_t cores;
	uint64_t memory_mb;
	bool up;
	int64_t hold_ms;       /* length of the next hold */
	int64_t held_until_ms; /* 0: not held */
	GArray *batch;	       /* wire_start being collected */
	GPtrArray *batch_ids;
	size_t batch_bytes;
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
	GHashTable *agents; /* agent -> struct dagent */
	GHashTable *places; /* place id -> struct dagent */
	GHashTable *outs;   /* &seq -> struct out */
	GSequence *timers;  /* struct djob by at_ms */
	uint64_t next_seq;
	int64_t *started, *not_started, *unknown, *done, *dropped, *retried;
	int64_t *batches;
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
free_agent(gpointer data)
{
	struct dagent *da = data;

	g_free(da->name);
	g_free(da->failure_domain);
	g_free(da->service);
	g_array_unref(da->batch);
	g_ptr_array_unref(da->batch_ids);
	g_free(da);
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
	dsp->batches =
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
	dsp->agents = g_hash_table_new_full(NULL, NULL, NULL, free_agent);
	dsp->places = g_hash_table_new(NULL, NULL);
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
	g_hash_table_unref(dsp->places);
	g_hash_table_unref(dsp->agents);
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

/* Queues a job that was admitted; the dispatcher takes a reference. */
void
dsp_submit(struct dispatch *dsp, struct job *job, int64_t now_ms)
{
	struct djob *dj = g_new0(struct djob, 1);

	(void)now_ms;
	dj->job = job_ref(job);
	dj->queue = get_queue(dsp, job_service(job));
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
	GHashTable *agents = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	const struct job_task *task;
	struct out *out;
	gpointer agent;
	uint32_t i;

	for (i = 0; i < job_n_tasks(job); i++) {
		task = job_task(job, i);
		if (task->state != JOB_TASK_PLACED)
			continue;
		out = g_hash_table_lookup(dsp->outs, &task->seq);
		if (out != NULL)
			g_hash_table_add(agents, out->agent);
	}
	g_hash_table_iter_init(&iter, agents);
	while (g_hash_table_iter_next(&iter, &agent, NULL))
		withdraw_from(dsp, job, agent);
	g_hash_table_unref(agents);
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
	dsp_run(dsp, now_ms);
}

static void
fill_start(struct dispatch *dsp, struct dagent *da, struct job *job,
    uint32_t index, wire_start *start, int64_t now_ms)
{
	const struct job_spec *spec = job_request(job);
	const struct job_task *task = job_task(job, index);
	char *id;
	gsize len;

	id = g_strdup_printf("%s/%u", spec->id, index);
	g_ptr_array_add(da->batch_ids, id);
	memset(start, 0, sizeof(*start));
	start->seq = dsp->next_seq++;
	start->task_id = id;
	start->service = (char *)spec->service;
	start->deadline_ms = MAX(spec->deadline_ms - now_ms, 1);
	start->method = (char *)(spec->method != NULL ? spec->method : "");
	start->path = (char *)(spec->path != NULL ? spec->path : "");
	/* struct job_header has the layout of wire_header. */
	start->headers.headers_val = (wire_header *)spec->headers;
	start->headers.headers_len = spec->n_headers;
	start->payload.wire_payload_val =
	    (char *)g_bytes_get_data(task->spec.payload, &len);
	start->payload.wire_payload_len = len;
	start->traceparent =
	    (char *)(spec->traceparent != NULL ? spec->traceparent : "");
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

/* Undoes starts of a batch that was not sent. */
static void
return_batch(
    struct dispatch *dsp, struct dagent *da, struct djob *dj, int64_t now_ms)
{
	struct place_task need;
	struct out *out;
	uint64_t *seq;
	guint i;

	for (i = 0; i < da->batch->len; i++) {
		seq = &g_array_index(da->batch, wire_start, i).seq;
		out = g_hash_table_lookup(dsp->outs, seq);
		task_need(out->job, out->task, &need);
		place_finished(dsp->opts.place, da->place_id, &need,
		    PLACE_NOT_STARTED, 0, now_ms);
		job_not_started(dj->job, out->task, *seq, now_ms);
		g_hash_table_remove(dsp->outs, seq);
	}
	place_set_usable(dsp->opts.place, da->place_id, false);
	da->held_until_ms = now_ms + HOLD_MS;
	update_queue(dj, true);
}

static void
send_batch(
    struct dispatch *dsp, struct dagent *da, struct djob *dj, int64_t now_ms)
{
	if (da->batch->len == 0)
		return;
	if (dsp->opts.start(da->agent, (wire_start *)(void *)da->batch->data,
		da->batch->len, dsp->opts.ctx)) {
		*dsp->started += da->batch->len;
		(*dsp->batches)++;
	} else {
		return_batch(dsp, da, dj, now_ms);
	}
	g_array_set_size(da->batch, 0);
	g_ptr_array_set_size(da->batch_ids, 0);
	da->batch_bytes = 0;
}

static void
add_start(struct dispatch *dsp, struct dagent *da, struct djob *dj,
    uint32_t index, int64_t now_ms)
{
	struct out *out = g_new0(struct out, 1);
	wire_start start;
	size_t bytes;

	bytes = g_bytes_get_size(job_task(dj->job, index)->spec.payload) +
		START_OVERHEAD;
	if (da->batch_bytes + bytes > BATCH_BYTES ||
	    da->batch->len >= WIRE_BATCH_MAX)
		send_batch(dsp, da, dj, now_ms);
	fill_start(dsp, da, dj->job, index, &start, now_ms);
	out->job = job_ref(dj->job);
	out->task = index;
	out->agent = da->agent;
	out->place_id = da->place_id;
	g_hash_table_insert(
	    dsp->outs, g_memdup2(&start.seq, sizeof(start.seq)), out);
	job_placed(dj->job, index, start.seq);
	g_array_append_val(da->batch, start);
	da->batch_bytes += bytes;
}

static void
flush_batches(
    struct dispatch *dsp, GPtrArray *touched, struct djob *dj, int64_t now_ms)
{
	guint i;

	for (i = 0; i < touched->len; i++)
		send_batch(dsp, touched->pdata[i], dj, now_ms);
	g_ptr_array_set_size(touched, 0);
}

/* Places tasks of one job; returns false when some task fits no worker now. */
static bool
run_job(
    struct dispatch *dsp, struct djob *dj, GPtrArray *touched, int64_t now_ms)
{
	struct place_task need;
	struct dagent *da;
	uint32_t index, id;
	bool all = true;

	while ((index = job_next_waiting(dj->job)) != JOB_NO_TASK) {
		task_need(dj->job, index, &need);
		id = g_hash_table_size(dsp->outs) < dsp->opts.max_outstanding
			 ? place_choose(dsp->opts.place, &need, now_ms)
			 : PLACE_NONE;
		da = id == PLACE_NONE ? NULL
				      : g_hash_table_lookup(
					    dsp->places, GUINT_TO_POINTER(id));
		if (da == NULL) {
			all = false;
			break;
		}
		place_dispatched(dsp->opts.place, id, &need, now_ms);
		if (da->batch->len == 0)
			g_ptr_array_add(touched, da);
		add_start(dsp, da, dj, index, now_ms);
	}
	flush_batches(dsp, touched, dj, now_ms);
	update_queue(dj, true);
	return all && job_n_waiting(dj->job) == 0;
}

static void
run_queue(struct dispatch *dsp, struct queue *queue, GPtrArray *touched,
    int64_t now_ms)
{
	GList *link = queue->jobs.head, *next;
	struct djob *dj;
	int scanned = 0;

	while (link != NULL && scanned < SCAN_JOBS) {
		next = link->next;
		dj = link->data;
		if (!run_job(dsp, dj, touched, now_ms)) {
			scanned++;
			if (place_free_slots(
				dsp->opts.place, job_service(dj->job)) == 0)
				break;
		}
		link = next;
	}
}

static bool
is_usable(const struct dispatch *dsp, const struct dagent *da)
{
	const struct cfg *cfg = fresh_config(dsp->opts.fresh);

	return da->up && da->held_until_ms == 0 && cfg != NULL &&
	       !cfg_is_out(cfg, CFG_FAILURE_DOMAIN, da->failure_domain) &&
	       !cfg_is_out(cfg, CFG_WORKER, da->name) &&
	       !cfg_is_out(cfg, CFG_SERVICE, da->service);
}

static void
end_holds(struct dispatch *dsp, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dsp->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dagent *da = value;

		if (da->held_until_ms == 0 || da->held_until_ms > now_ms)
			continue;
		da->held_until_ms = 0;
		place_set_usable(
		    dsp->opts.place, da->place_id, is_usable(dsp, da));
	}
}

/*
 * Places waiting tasks.  Does nothing while the configuration is not
 * confirmed, since a domain may have been taken out meanwhile.
 */
void
dsp_run(struct dispatch *dsp, int64_t now_ms)
{
	GHashTableIter iter;
	GPtrArray *touched;
	gpointer value;

	end_holds(dsp, now_ms);
	if (!fresh_is_current(dsp->opts.fresh, now_ms))
		return;
	touched = g_ptr_array_new();
	g_hash_table_iter_init(&iter, dsp->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		run_queue(dsp, value, touched, now_ms);
	g_ptr_array_unref(touched);
}

static struct dagent *
new_agent(struct dispatch *dsp, void *agent, const struct place_worker *worker,
    int64_t now_ms)
{
	struct dagent *da = g_new0(struct dagent, 1);

	da->agent = agent;
	da->name = g_strdup(worker->name);
	da->failure_domain = g_strdup(worker->failure_domain);
	da->service = g_strdup(worker->service);
	da->place_id = place_add(dsp->opts.place, worker, now_ms);
	da->hold_ms = HOLD_MS;
	da->batch = g_array_new(FALSE, FALSE, sizeof(wire_start));
	da->batch_ids = g_ptr_array_new_with_free_func(g_free);
	da->cores = worker->cores;
	da->memory_mb = worker->memory_mb;
	g_hash_table_insert(dsp->agents, agent, da);
	g_hash_table_insert(dsp->places, GUINT_TO_POINTER(da->place_id), da);
	return da;
}

/*
 * Makes an agent usable.  A change of its service or size starts its history
 * anew; worker->name and failure_domain never change for an agent.
 */
void
dsp_agent_up(struct dispatch *dsp, void *agent,
    const struct place_worker *worker, int64_t now_ms)
{
	struct dagent *da = g_hash_table_lookup(dsp->agents, agent);

	if (da != NULL && (strcmp(da->service, worker->service) != 0 ||
			      da->cores != worker->cores ||
			      da->memory_mb != worker->memory_mb)) {
		dsp_agent_gone(dsp, agent);
		da = NULL;
	}
	if (da == NULL)
		da = new_agent(dsp, agent, worker, now_ms);
	da->up = true;
	place_set_usable(dsp->opts.place, da->place_id, is_usable(dsp, da));
	dsp->opts.wake(dsp->opts.ctx);
}

/* Stops placing on an agent; its starts stay open. */
void
dsp_agent_down(struct dispatch *dsp, void *agent)
{
	struct dagent *da = g_hash_table_lookup(dsp->agents, agent);

	if (da == NULL)
		return;
	da->up = false;
	place_set_usable(dsp->opts.place, da->place_id, false);
}

/* Forgets an agent. */
void
dsp_agent_gone(struct dispatch *dsp, void *agent)
{
	struct dagent *da = g_hash_table_lookup(dsp->agents, agent);

	if (da == NULL)
		return;
	place_remove(dsp->opts.place, da->place_id);
	g_hash_table_remove(dsp->places, GUINT_TO_POINTER(da->place_id));
	g_hash_table_remove(dsp->agents, agent);
}

/* Takes the load that an agent reported. */
void
dsp_agent_load(struct dispatch *dsp, void *agent, const struct place_load *load,
    uint32_t unseen, int64_t now_ms)
{
	struct dagent *da = g_hash_table_lookup(dsp->agents, agent);

	if (da == NULL)
		return;
	place_report(dsp->opts.place, da->place_id, load, unseen, now_ms);
	dsp->opts.wake(dsp->opts.ctx);
}

/* Checks the out marks of a new configuration. */
void
dsp_config_changed(struct dispatch *dsp)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dsp->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dagent *da = value;

		place_set_usable(
		    dsp->opts.place, da->place_id, is_usable(dsp, da));
	}
	dsp->opts.wake(dsp->opts.ctx);
}

/*
 * An agent that returns work at once would be chosen again at once; it gets
 * a pause that doubles.
 */
static void
hold_agent(
    struct dispatch *dsp, struct dagent *da, wire_reason reason, int64_t now_ms)
{
	if (reason == WIRE_REASON_WITHDRAWN || reason == WIRE_REASON_DEADLINE ||
	    reason == WIRE_REASON_SEALED || da->held_until_ms != 0)
		return;
	da->held_until_ms = now_ms + da->hold_ms;
	da->hold_ms = MIN(da->hold_ms * 2, HOLD_MAX_MS);
	place_set_usable(dsp->opts.place, da->place_id, false);
}

static void
note_place(struct dispatch *dsp, struct dagent *da, const struct out *out,
    const wire_result *result, int64_t now_ms)
{
	enum place_outcome outcome = PLACE_FAILED;
	struct place_task need;

	if (da == NULL)
		return;
	if (result->outcome == WIRE_NOT_STARTED) {
		outcome = PLACE_NOT_STARTED;
		hold_agent(dsp, da, result->reason, now_ms);
	} else if (result->outcome == WIRE_DONE) {
		da->hold_ms = HOLD_MS;
		if (result->status < 500)
			outcome = PLACE_OK;
	}
	if (da->place_id != out->place_id)
		return; /* the agent changed its service or size meanwhile */
	task_need(out->job, out->task, &need);
	place_finished(dsp->opts.place, da->place_id, &need, outcome,
	    result->run_us, now_ms);
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
	note_place(dsp, g_hash_table_lookup(dsp->agents, agent), &copy, result,
	    now_ms);
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
