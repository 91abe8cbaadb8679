#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "connection/endpoint.h"
#include "process/clock.h"
#include "process/executor.h"
#include "process/log.h"
#include "request/runqueue.h"

#define DEADLINE_CHECK_MS 20 /* interval of checks for passed deadlines */
#define DEADLINE_MAX_MS	  86400000
#define NS_PER_MS	  1000000
#define NS_PER_US	  1000
#define US_PER_MS	  1000
#define QUEUE_MAX_BYTES	  67108864

enum { N_OUTCOMES = WIRE_UNKNOWN + 1, N_REASONS = WIRE_REASON_TOO_LARGE + 1 };

struct task {
	struct rq_task rq; /* must be first: pointers to it are cast */
	struct ex *ex;
	struct wire_start start;
	struct trc_context span;
	struct trc_context call_span;
	int64_t accepted_ns;
	int64_t accepted_wall_ms;
	int64_t call_start_ns;
	int64_t call_start_wall_ms;
};

struct ex {
	struct ex_options opts;
	struct rq *rq;
	struct ep *ep;
	GHashTable *tasks; /* set of struct task, queued and running */
	bool draining;
	guint tick_id;
	int64_t *calls;
	int64_t *outcomes[N_OUTCOMES];
	int64_t *reasons[N_REASONS];
};

static void
task_free(struct task *task)
{
	g_hash_table_remove(task->ex->tasks, task);
	xdr_free((xdrproc_t)xdr_wire_start, &task->start);
	g_free(task);
}

static int64_t *
labelled_counter(struct ctr_registry *reg, const char *name, const char *label,
    const char *value, const char *help)
{
	char *full = g_strdup_printf("%s{%s=\"%s\"}", name, label, value);
	int64_t *counter = ctr_counter(reg, full, help);

	g_free(full);
	return counter;
}

static void
make_counters(struct ex *ex)
{
	static const char *const outcomes[N_OUTCOMES] = {
	    "done", "not_started", "unknown"};
	static const char *const reasons[N_REASONS] = {"none", "stale", "out",
	    "draining", "deadline", "withdrawn", "sealed", "queue_full",
	    "no_endpoint", "connect", "broken", "too_large"};
	struct ctr_registry *reg = ex->opts.counters;
	size_t i;

	ex->calls = ctr_counter(
	    reg, "sp_endpoint_calls_total", "Calls made to the endpoint.");
	for (i = 0; i < N_OUTCOMES; i++)
		ex->outcomes[i] = labelled_counter(reg, "sp_results_total",
		    "outcome", outcomes[i], "Starts by their outcome.");
	for (i = 0; i < N_REASONS; i++)
		ex->reasons[i] =
		    labelled_counter(reg, "sp_result_reasons_total", "reason",
			reasons[i], "Starts by the reason of their outcome.");
}

struct ex *
ex_new(const struct ex_options *opts)
{
	struct rq_options rq = {opts->max_queue, QUEUE_MAX_BYTES};
	struct ep_options ep = {opts->max_answer_bytes};
	struct ex *ex = g_new0(struct ex, 1);

	ex->opts = *opts;
	ex->rq = rq_new(&rq);
	ex->ep = ep_new(&ep);
	ex->tasks = g_hash_table_new(NULL, NULL);
	make_counters(ex);
	return ex;
}

void
ex_free(struct ex *ex)
{
	GHashTableIter iter;
	gpointer key;

	if (ex == NULL)
		return;
	g_clear_handle_id(&ex->tick_id, g_source_remove);
	ep_free(ex->ep);
	g_hash_table_iter_init(&iter, ex->tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct task *task = key;

		g_hash_table_iter_remove(&iter);
		xdr_free((xdrproc_t)xdr_wire_start, &task->start);
		g_free(task);
	}
	g_hash_table_unref(ex->tasks);
	rq_free(ex->rq);
	g_free(ex);
}

static void
fill_conditions(struct ex *ex, struct rq_conditions *cond, int64_t now_ms)
{
	const struct ann_state *ann = ann_state(ex->opts.ann, now_ms);
	struct cfg *cfg = fresh_config(ex->opts.fresh);

	cond->fresh = cfg != NULL && fresh_is_current(ex->opts.fresh, now_ms);
	cond->draining = ex->draining || ann->draining;
	cond->service = ann->service;
	cond->slots = MIN(ann->slots, ann->connections);
	cond->slots_in_use = ann->slots_in_use;
	cond->out =
	    cfg != NULL &&
	    (cfg_is_out(cfg, CFG_FAILURE_DOMAIN, ex->opts.failure_domain) ||
		cfg_is_out(cfg, CFG_WORKER, ex->opts.worker) ||
		(ann->service != NULL &&
		    cfg_is_out(cfg, CFG_SERVICE, ann->service)));
}

static void
count_outcome(struct ex *ex, enum wire_outcome outcome, enum wire_reason reason)
{
	(*ex->outcomes[outcome])++;
	if (reason != WIRE_REASON_NONE)
		(*ex->reasons[reason])++;
}

static void
finish_span(struct task *task, bool ok)
{
	trc_finish(task->ex->opts.traces, &task->span, "agent",
	    task->accepted_wall_ms * US_PER_MS,
	    (clk_now_ns() - task->accepted_ns) / NS_PER_US, ok,
	    task->start.task_id);
}

/* Records an accepted task as not started and frees it. */
static void
return_not_started(struct task *task, enum wire_reason reason)
{
	struct ex *ex = task->ex;

	out_not_started(ex->opts.out, task->rq.entry, task->rq.seq, reason);
	count_outcome(ex, WIRE_NOT_STARTED, reason);
	finish_span(task, false);
	ex->opts.on_results(task->rq.entry, ex->opts.ctx);
	task_free(task);
}

static void
on_call_done(struct wire_result *result, void *ctx)
{
	struct task *task = ctx;
	struct ex *ex = task->ex;
	bool ok = result->outcome == WIRE_DONE && result->status / 100 == 2;

	rq_finished(ex->rq);
	ann_call_ended(ex->opts.ann, clk_now_ms());
	count_outcome(ex, result->outcome, result->reason);
	trc_finish(ex->opts.traces, &task->call_span, "endpoint",
	    task->call_start_wall_ms * US_PER_MS,
	    (clk_now_ns() - task->call_start_ns) / NS_PER_US, ok,
	    task->start.task_id);
	finish_span(task, ok);
	result->queued_us =
	    (task->call_start_ns - task->accepted_ns) / NS_PER_US;
	out_finish(ex->opts.out, task->rq.entry, result);
	ex->opts.on_results(task->rq.entry, ex->opts.ctx);
	task_free(task);
	ex_run_queue(ex);
}

/* Calls the endpoint for a task whose conditions were checked at now_ms. */
static void
call_endpoint(struct task *task, int64_t now_ms)
{
	struct ex *ex = task->ex;
	const struct ann_state *ann = ann_state(ex->opts.ann, now_ms);
	char traceparent[TRC_PARENT_LEN + 1], parent[TRC_PARENT_LEN + 1];
	int64_t fresh_until_ms = now_ms + ex->opts.freshness_ms -
				 fresh_age_ms(ex->opts.fresh, now_ms);
	struct ep_request request = {
	    .address = ann->address,
	    .start = &task->start,
	    .deadline_ms = task->rq.deadline_ms,
	    .start_by_ns =
		MIN(fresh_until_ms, task->rq.deadline_ms) * NS_PER_MS,
	    .traceparent = traceparent,
	};

	trc_format_traceparent(&task->span, parent);
	trc_start(&task->call_span, parent);
	trc_format_traceparent(&task->call_span, traceparent);
	task->call_start_ns = clk_now_ns();
	task->call_start_wall_ms = clk_wall_ms();
	(*ex->calls)++;
	out_running(ex->opts.out, task->rq.entry, task->rq.seq);
	ep_call(ex->ep, &request, on_call_done, task);
}

static gboolean
on_tick(gpointer data)
{
	struct ex *ex = data;

	ex->tick_id = 0;
	ex_run_queue(ex);
	return G_SOURCE_REMOVE;
}

void
ex_run_queue(struct ex *ex)
{
	enum wire_reason reason;
	struct rq_conditions cond;
	struct rq_task *task;
	int64_t now_ms;

	for (;;) {
		/* Each start is checked against the current conditions. */
		now_ms = clk_now_ms();
		fill_conditions(ex, &cond, now_ms);
		task = rq_next(ex->rq, &cond, now_ms, &reason);
		if (task == NULL)
			break;
		if (reason == WIRE_REASON_NONE)
			call_endpoint((struct task *)task, now_ms);
		else
			return_not_started((struct task *)task, reason);
	}
	if (rq_queued(ex->rq) > 0 && ex->tick_id == 0)
		ex->tick_id = g_timeout_add(DEADLINE_CHECK_MS, on_tick, ex);
}

/* Takes over the contents of start, which is zeroed. */
static struct task *
task_new(struct ex *ex, uint64_t entry, struct wire_start *start)
{
	struct task *task = g_new0(struct task, 1);
	int64_t left_ms = CLAMP(start->deadline_ms, 0, DEADLINE_MAX_MS);

	task->ex = ex;
	task->start = *start;
	memset(start, 0, sizeof(*start));
	task->accepted_ns = clk_now_ns();
	task->accepted_wall_ms = clk_wall_ms();
	task->rq.entry = entry;
	task->rq.seq = task->start.seq;
	task->rq.service = task->start.service;
	task->rq.deadline_ms = task->accepted_ns / NS_PER_MS + left_ms;
	task->rq.bytes = task->start.payload.wire_payload_len;
	trc_start(&task->span, task->start.traceparent);
	g_hash_table_add(ex->tasks, task);
	return task;
}

static void
queue_task(struct ex *ex, uint64_t entry, struct wire_start *start)
{
	struct task *task = task_new(ex, entry, start);
	int64_t now_ms = clk_now_ms();
	enum wire_reason reason;
	struct rq_conditions cond;

	fill_conditions(ex, &cond, now_ms);
	reason = rq_push(ex->rq, &task->rq, &cond, now_ms);
	if (reason != WIRE_REASON_NONE)
		return_not_started(task, reason);
}

bool
ex_start(struct ex *ex, uint64_t entry, struct wire_start_args *args)
{
	enum out_verdict verdict = OUT_ACCEPTED;
	u_int i;

	for (i = 0; i < args->starts.starts_len; i++) {
		struct wire_start *start = &args->starts.starts_val[i];

		verdict = out_start(ex->opts.out, entry, start->seq);
		if (verdict == OUT_ACCEPTED)
			queue_task(ex, entry, start);
		else if (verdict == OUT_REFUSED)
			ex->opts.on_results(entry, ex->opts.ctx);
		else if (verdict == OUT_OVERFLOW)
			break;
	}
	ex_run_queue(ex);
	return verdict != OUT_OVERFLOW;
}

void
ex_withdraw(
    struct ex *ex, uint64_t entry, const struct wire_withdraw_args *args)
{
	u_int i;

	for (i = 0; i < args->seqs.seqs_len; i++) {
		struct rq_task *task =
		    rq_withdraw(ex->rq, entry, args->seqs.seqs_val[i]);

		if (task != NULL)
			return_not_started(
			    (struct task *)task, WIRE_REASON_WITHDRAWN);
	}
}

void
ex_query(struct ex *ex, uint64_t entry, const struct wire_query_args *args,
    wire_state *states)
{
	u_int i;

	out_seal(ex->opts.out, entry, args->next_seq);
	for (i = 0; i < args->seqs.seqs_len; i++)
		states[i] =
		    out_state(ex->opts.out, entry, args->seqs.seqs_val[i]);
	ex->opts.on_results(entry, ex->opts.ctx);
}

void
ex_return_queued(struct ex *ex, uint64_t entry)
{
	struct rq_task *task;

	while ((task = rq_take_of_entry(ex->rq, entry)) != NULL)
		return_not_started((struct task *)task, WIRE_REASON_WITHDRAWN);
}

void
ex_drain(struct ex *ex)
{
	ex->draining = true;
	ex_run_queue(ex);
}

void
ex_get_load(struct ex *ex, struct wire_load *load)
{
	struct rq_conditions cond;

	fill_conditions(ex, &cond, clk_now_ms());
	rq_load(ex->rq, &cond, load);
}

uint32_t
ex_running(const struct ex *ex)
{
	return rq_running(ex->rq);
}
