#include <glib.h>
#include <string.h>

#include "connection/holder.h"
#include "connection/sessions.h"
#include "connection/startspecs.h"
#include "connection/statement.h"
#include "process/cancelrelay.h"
#include "process/clock.h"
#include "process/crashwatch.h"
#include "process/enlist.h"
#include "process/events.h"
#include "process/histogram.h"
#include "process/interwatch.h"
#include "process/jobagent.h"
#include "process/outdomains.h"
#include "process/runstates.h"
#include "request/ledger.h"
#include "request/slowness.h"
#include "request/statedroom.h"
#include "request/updates.h"

#define JA_TICK_MS 50
/* A heartbeat is answered if the last update was sent longer ago than this. */
#define HEARTBEAT_REPLY_MS 200
/*
 * A session without input for this long is closed.  If this process was paused
 * for that time, the entry may have given up the session, so that its buffered
 * calls must not be processed.
 */
#define ENTRY_SILENCE_MS 800
/* Results of an update; more follow in another one. */
#define MAX_UPDATE_RESULTS 1024
/* A description of the worker is too old when this many heartbeats are due. */
#define MAX_MISSED_HEARTBEATS 2
/* Results and the worker's description that an entry has yet to be sent. */
struct outbox {
	GArray *results; /* run_result, strings owned */
	bool worker_due; /* send the worker's description first */
	bool near;	 /* the value of ses_is_near() that was sent last */
};

struct ja {
	struct ja_options opts;
	struct led *led;
	struct hold *hold;
	struct ses *ses;
	struct enl *enlist;
	struct crw *crashwatch;
	struct itw *interference; /* NULL: not measured */
	struct cry *cancels;
	GHashTable *outboxes;	  /* session to struct outbox */
	struct slw slowness;	  /* of the worker */
	uint64_t slowness_of;	  /* incarnation that it was measured with */
	struct upd *updates;	  /* when the sessions are sent updates */
	struct odm *out_domains;  /* failure domains out of service */
	struct srm stated_room;	  /* capacity by its descriptions */
	struct wp_worker *worker; /* as it last described itself */
	bool heard;    /* the worker itself has called; none is recalled */
	bool unstated; /* as last logged */
	bool draining;
	bool drained;
	bool calls_disabled; /* no calls to the worker */
	int64_t drain_deadline_ms;
	guint tick_id;
	guint update_id;
	int64_t update_due_ms; /* when update_id runs */
	bool accepting;	       /* as last marked for updates */
	bool withheld;	       /* the lease, as last logged */
	int64_t *starts, *done, *failed, *runs_lost, *refused, *stalled;
	int64_t *sessions_lost, *leases_withheld, *unstated_total;
	struct rst *states;
	struct hst *run_times;
};

static void
result_clear(gpointer data)
{
	run_result *result = data;

	g_free(result->reason);
}

static void
outbox_free(gpointer data)
{
	struct outbox *box = data;

	g_array_unref(box->results);
	g_free(box);
}

static struct wk_size
size_from_wire(const run_size *size)
{
	return (struct wk_size){
	    .cpu_milli = size->cpu_milli,
	    .memory_mb = size->memory_mb,
	    .gpus = size->gpus,
	};
}

static run_size
size_to_wire(const struct wk_size *size)
{
	return (run_size){
	    .cpu_milli = size->cpu_milli,
	    .memory_mb = size->memory_mb,
	    .gpus = size->gpus,
	};
}

/* Tells whether starts are accepted; if not, sets *reason. */
static bool
is_accepting(const struct ja *ja, const char **reason)
{
	if (ja->draining)
		*reason = "agent is shutting down";
	else if (ja->worker->draining)
		*reason = "worker is draining";
	else if (!hold_is_ready(ja->hold))
		*reason = "worker is not ready";
	else if (!hold_is_stated(ja->hold))
		*reason = "worker has not described itself lately";
	else if (led_lease(ja->led, clk_now_ms()) == WP_LEASE_WITHHOLD)
		*reason = "worker does not carry out stops";
	else if (!odm_is_known(ja->out_domains))
		*reason = "failure domains that are out are not known";
	else if (odm_is_out(ja->out_domains, ja->worker->failure_domain))
		*reason = "failure domain is out";
	else
		return true;
	return false;
}

static void
send_worker(struct ja *ja, uint64_t session)
{
	run_worker_args args = {.shutting_down = ja->draining};

	stm_to_wire(ja->worker, &args.worker);
	args.worker.incarnation = hold_incarnation(ja->hold);
	args.worker.stated_ms = hold_stated_ms(ja->hold);
	ses_send(ja->ses, session, RUN_WORKER, (xdrproc_t)xdr_run_worker_args,
	    &args);
}

/* Sends an update with the results that it may hold, and removes those. */
static void
send_results(struct ja *ja, uint64_t session, struct outbox *box)
{
	uint32_t n_sessions = g_hash_table_size(ja->outboxes);
	uint32_t n_results = MIN(box->results->len, MAX_UPDATE_RESULTS);
	const char *reason = NULL;
	struct wk_size room;
	run_update_args args;

	led_room(ja->led, &room);
	args = (run_update_args){
	    .results = {n_results, (run_result *)box->results->data},
	    .free = size_to_wire(&room),
	    .accepting = box->near && is_accepting(ja, &reason),
	    .sessions = n_sessions,
	    .slowness_permille = slw_permille(&ja->slowness, clk_now_ms()),
	    .clock_ms = clk_now_ms(),
	    .stated_ms = hold_stated_ms(ja->hold),
	    .start_limit = led_start_limit(ja->led, session, n_sessions),
	};
	itw_fill_update(ja->interference, &args);
	ses_send(ja->ses, session, RUN_UPDATE, (xdrproc_t)xdr_run_update_args,
	    &args);
	g_array_remove_range(box->results, 0, n_results);
}

static void
send_update(struct ja *ja, uint64_t session)
{
	struct outbox *box = g_hash_table_lookup(ja->outboxes, &session);

	if (box == NULL)
		return;
	if (box->worker_due)
		send_worker(ja, session);
	box->worker_due = false;
	box->near = ses_is_near(ja->ses, session);
	do {
		send_results(ja, session, box);
	} while (box->results->len > 0);
	upd_record_sent(ja->updates, session, clk_now_ms());
}

static void schedule_updates(struct ja *ja);

static gboolean
on_updates_due(gpointer data)
{
	struct ja *ja = data;
	uint64_t session;

	ja->update_id = 0;
	while ((session = upd_take(ja->updates, clk_now_ms())) != 0)
		send_update(ja, session);
	schedule_updates(ja);
	return G_SOURCE_REMOVE;
}

static void
schedule_updates(struct ja *ja)
{
	int64_t next_ms = upd_next_ms(ja->updates);
	int64_t pause_ms = next_ms - clk_now_ms();

	g_clear_handle_id(&ja->update_id, g_source_remove);
	if (next_ms >= 0)
		ja->update_id =
		    g_timeout_add((guint)MAX(pause_ms, 0), on_updates_due, ja);
}

/*
 * Plans updates after a change of the free capacity.  Entries must not miss
 * that starts are no longer accepted, or are again.
 */
static void
plan_updates(struct ja *ja)
{
	const char *reason;
	bool accepting = is_accepting(ja, &reason);

	upd_mark_room(ja->updates, clk_now_ms());
	if (accepting != ja->accepting)
		upd_mark_all_urgent(ja->updates, clk_now_ms());
	ja->accepting = accepting;
	schedule_updates(ja);
}

/* Tells the entries if starts are accepted, or no longer. */
static void
announce_accepting(struct ja *ja)
{
	const char *reason;

	if (is_accepting(ja, &reason) != ja->accepting)
		plan_updates(ja);
}

static void
resend_worker(struct ja *ja)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ja->outboxes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct outbox *)value)->worker_due = true;
	upd_mark_all_urgent(ja->updates, clk_now_ms());
	plan_updates(ja);
}

/*
 * Serves a worker that an earlier process served, as its registration or an
 * entry describes it.
 */
static void
recall_worker(struct ja *ja, const struct wp_worker *worker, const char *from)
{
	if (ja->heard)
		return;
	evt_write("worker", evt_text("instance", worker->instance),
	    evt_text("state", "recalled"), evt_text("from", from),
	    evt_int("stated_ms", worker->clock_ms));
	hold_suggest(ja->hold, worker);
}

static void
on_opened(uint64_t session, const char *entry,
    const struct run_statement *statement, void *ctx)
{
	struct wp_worker worker;
	struct ja *ja = ctx;
	struct outbox *box = g_new0(struct outbox, 1);

	evt_write("entry", evt_text("entry", entry),
	    evt_uint("session", session), evt_text("state", "connected"));
	box->results = g_array_new(FALSE, FALSE, sizeof(run_result));
	g_array_set_clear_func(box->results, result_clear);
	box->worker_due = true;
	g_hash_table_insert(
	    ja->outboxes, g_memdup2(&session, sizeof(session)), box);
	crw_send_all(ja->crashwatch, session);
	upd_open(ja->updates, session, clk_now_ms());
	schedule_updates(ja);
	if (statement != NULL && stm_from_wire(statement, &worker))
		recall_worker(ja, &worker, entry);
}

static void
on_closed(
    uint64_t session, int64_t last_sent_ms, const struct status *why, void *ctx)
{
	struct ja *ja = ctx;

	evt_write("entry", evt_uint("session", session),
	    evt_text("state", "lost"), evt_text("reason", why->message));
	++*ja->sessions_lost;
	led_end_session(ja->led, session, last_sent_ms, clk_now_ms());
	g_hash_table_remove(ja->outboxes, &session);
	upd_close(ja->updates, session);
	plan_updates(ja);
}

static struct led_start
start_from_wire(const run_start *s, const GPtrArray *specs)
{
	return (struct led_start){
	    .seq = s->seq,
	    .task = s->task,
	    .queue = s->queue,
	    .spec = s->spec < specs->len ? specs->pdata[s->spec] : NULL,
	    .size = size_from_wire(&s->size),
	    .priority = s->priority,
	    .expected_ms = s->expected_ms,
	    .nominal_ms = s->nominal_ms,
	};
}

static void
on_start(uint64_t session, const struct run_start_args *args, void *ctx)
{
	struct ja *ja = ctx;
	g_autoptr(GPtrArray) specs = ssp_from_wire(args);
	uint32_t i, n = args->starts.starts_len;
	struct led_start *starts = g_new0(struct led_start, n);
	int64_t now_ms = clk_now_ms();
	int64_t sent_ms = MIN(args->agent_ms, now_ms);

	for (i = 0; i < n; i++) {
		const run_start *s = &args->starts.starts_val[i];

		starts[i] = start_from_wire(s, specs);
		starts[i].session = session;
		starts[i].start_by_ms = sent_ms + s->start_within_ms;
		if (g_strcmp0(s->service, ja->worker->service) != 0 ||
		    cry_has(ja->cancels, s))
			starts[i].start_by_ms = now_ms - 1;
	}
	led_submit(ja->led, starts, n, now_ms);
	g_free(starts);
	plan_updates(ja);
}

static void
on_cancel(uint64_t session, const struct run_cancel_args *args, void *ctx)
{
	struct ja *ja = ctx;
	int64_t given_up_ms = MIN(args->given_up_ms, clk_now_ms());
	uint32_t i;

	for (i = 0; i < args->seqs.seqs_len; i++)
		led_cancel(ja->led, session, args->seqs.seqs_val[i],
		    given_up_ms, clk_now_ms());
	plan_updates(ja);
}

static void
on_cancels_seen(uint64_t session, uint64_t source, uint64_t position, void *ctx)
{
	struct ja *ja = ctx;

	cry_opened(ja->cancels, session, source, position);
}

static void
on_cancelled(uint64_t session, const struct run_cancelled_args *args, void *ctx)
{
	struct ja *ja = ctx;

	cry_receive(ja->cancels, session, args);
}

/*
 * Entries disconnect from an agent that sends nothing for too long, and wait
 * for its word that it accepts their starts.
 */
static void
answer_heartbeat(struct ja *ja, uint64_t session)
{
	const struct outbox *box = g_hash_table_lookup(ja->outboxes, &session);
	int64_t silent_ms = clk_now_ms() - upd_sent_ms(ja->updates, session);

	if (silent_ms > HEARTBEAT_REPLY_MS ||
	    (box != NULL && box->near != ses_is_near(ja->ses, session)))
		send_update(ja, session);
}

static void
on_interference(
    uint64_t session, const struct run_interference_args *args, void *ctx)
{
	struct ja *ja = ctx;

	itw_receive(ja->interference, session, args);
}

static void
on_heartbeat(uint64_t session, const struct run_heartbeat_args *args, void *ctx)
{
	struct ja *ja = ctx;
	struct odm_news news = {
	    .revision = args->revision,
	    .domains = args->out.out_val,
	    .n_domains = args->out.out_len,
	};

	answer_heartbeat(ja, session);
	if (args->agent_ms != 0 && args->age_ms >= 0)
		news.confirmed_ms =
		    MIN(args->agent_ms, clk_now_ms()) - args->age_ms;
	odm_tell(ja->out_domains, &news);
}

static void
on_out_domains_changed(void *ctx)
{
	plan_updates(ctx);
}

static bool
may_start(uint64_t session, const char **reason, void *ctx)
{
	struct ja *ja = ctx;

	if (!ses_is_near(ja->ses, session)) {
		*reason = "messages of the entry are too long on their way";
		return false;
	}
	return is_accepting(ja, reason);
}

static bool
worker_answers(void *ctx)
{
	const struct ja *ja = ctx;

	return hold_is_answering(ja->hold);
}

static int64_t
last_sent_ms(uint64_t session, void *ctx)
{
	struct ja *ja = ctx;

	return ses_last_sent_ms(ja->ses, session);
}

/* Callback context of a call to the worker about one run. */
struct run_context {
	struct ja *ja;
	int64_t run;
};

static struct run_context *
run_context(struct ja *ja, int64_t run)
{
	struct run_context *call = g_new0(struct run_context, 1);

	call->ja = ja;
	call->run = run;
	return call;
}

static void
on_started(const struct wp_answer *answer, void *ctx)
{
	struct run_context *call = ctx;
	struct ja *ja = call->ja;
	uint32_t n_queued = led_queued(ja->led);

	led_started(ja->led, call->run, answer, clk_now_ms());
	/* The entries may send more starts when the queue is shorter. */
	if (led_queued(ja->led) != n_queued)
		plan_updates(ja);
	g_free(call);
}

static void
on_stopped(const struct wp_answer *answer, void *ctx)
{
	struct run_context *call = ctx;

	led_stopped(call->ja->led, call->run, answer->verdict, clk_now_ms());
	g_free(call);
}

static void
start_run(const char *task, GBytes *spec, int64_t run, void *ctx)
{
	struct ja *ja = ctx;

	if (ja->calls_disabled)
		return;
	++*ja->starts;
	evt_write("run", evt_text("task", task), evt_int("run", run));
	itw_started(ja->interference, task, led_queue_of(ja->led, run));
	hold_start(ja->hold, task, spec, run, on_started, run_context(ja, run));
}

static void
stop_run(const char *task, int64_t run, void *ctx)
{
	struct ja *ja = ctx;

	if (ja->calls_disabled)
		return;
	evt_write("stop", evt_text("task", task), evt_int("run", run));
	hold_stop(ja->hold, task, run, on_stopped, run_context(ja, run));
}

static void
request_worker_report(void *ctx)
{
	struct ja *ja = ctx;

	hold_request_report(ja->hold);
}

static void
count_result(struct ja *ja, const struct led_result *result)
{
	static const char *const names[] = {[LED_DONE] = "done",
	    [LED_FAILED] = "failed",
	    [LED_NOT_STARTED] = "not_started",
	    [LED_LOST] = "lost",
	    [LED_STALLED] = "stalled"};
	int64_t *counters[] = {[LED_DONE] = ja->done,
	    [LED_FAILED] = ja->failed,
	    [LED_NOT_STARTED] = ja->refused,
	    [LED_LOST] = ja->runs_lost,
	    [LED_STALLED] = ja->stalled};

	++*counters[result->outcome];
	if (result->outcome == LED_DONE) {
		hst_add(ja->run_times, result->run_ms);
		return;
	}
	evt_write(names[result->outcome], evt_text("task", result->task),
	    evt_text("queue", result->queue), evt_int("run", result->run),
	    evt_int("run_ms", result->run_ms),
	    evt_text("reason", result->reason),
	    evt_int("out_revision", odm_revision(ja->out_domains)));
}

/* A new incarnation of the worker may run on another machine. */
static void
measure_worker(struct ja *ja, const struct led_result *result)
{
	uint64_t incarnation = hold_incarnation(ja->hold);

	if (ja->slowness_of != incarnation)
		ja->slowness = (struct slw){0};
	ja->slowness_of = incarnation;
	if (result->outcome == LED_DONE || result->outcome == LED_STALLED)
		slw_measure(&ja->slowness, result->run_ms, result->nominal_ms,
		    clk_now_ms());
}

static void
on_result(const struct led_result *result, void *ctx)
{
	static const run_outcome outcomes[] = {[LED_DONE] = RUN_DONE,
	    [LED_FAILED] = RUN_FAILED,
	    [LED_NOT_STARTED] = RUN_NOT_STARTED,
	    [LED_LOST] = RUN_LOST,
	    [LED_STALLED] = RUN_STALLED};
	struct ja *ja = ctx;
	struct outbox *box =
	    g_hash_table_lookup(ja->outboxes, &result->session);
	run_result message = {
	    .seq = result->seq,
	    .outcome = outcomes[result->outcome],
	    .run_ms = result->run_ms,
	};

	count_result(ja, result);
	measure_worker(ja, result);
	itw_ended(ja->interference, result);
	if (box != NULL) {
		message.reason = g_strndup(result->reason, RUN_NAME_MAX);
		g_array_append_val(box->results, message);
		upd_mark_urgent(ja->updates, result->session, clk_now_ms());
	}
	plan_updates(ja);
}

static enum wp_lease
decide_lease(void *ctx)
{
	struct ja *ja = ctx;

	return led_lease(ja->led, clk_now_ms());
}

static void
on_report(const struct wp_report *report, int64_t sent_ms, void *ctx)
{
	struct ja *ja = ctx;

	led_report(ja->led, report, sent_ms, clk_now_ms());
}

static void
on_runs_lost(const struct hold_lost *lost, void *ctx)
{
	static const char *const reasons[] = {
	    [HOLD_SILENT] = "worker is silent and its lease has ended",
	    [HOLD_REPLACED] = "worker was replaced",
	    [HOLD_LEFT] = "worker left"};
	struct ja *ja = ctx;

	/* A worker that has announced its end has not crashed. */
	if (lost->why != HOLD_LEFT && !ja->worker->draining)
		crw_record(ja->crashwatch, lost);
	led_worker_lost(ja->led, reasons[lost->why], clk_now_ms());
}

/*
 * A heartbeat of another writer may name a service of its own: the starts in the
 * queue were not sent for that one.
 */
static void
apply_capacity(struct ja *ja, const struct wp_worker *worker)
{
	struct wk_size capacity;

	if (srm_describe(&ja->stated_room, worker->service, &worker->capacity,
		&capacity)) {
		evt_write("worker", evt_text("instance", worker->instance),
		    evt_text("state", "other service"),
		    evt_text("service", worker->service));
		led_return_queue(
		    ja->led, "worker serves another service", clk_now_ms());
	}
	led_set_capacity(ja->led, &capacity, clk_now_ms());
}

static void
on_described(const struct wp_worker *worker, void *ctx)
{
	struct ja *ja = ctx;
	bool changed = !wp_worker_serves_as(worker, ja->worker);

	wp_worker_free(ja->worker);
	ja->worker = wp_worker_copy(worker);
	apply_capacity(ja, worker);
	enl_update(ja->enlist, worker);
	if (changed)
		resend_worker(ja);
	else
		announce_accepting(ja);
	led_start_queued(ja->led, clk_now_ms());
}

static void
on_worker_left(const char *instance, void *ctx)
{
	struct ja *ja = ctx;

	enl_worker_left(ja->enlist, instance);
}

static void
on_worker_changed(void *ctx)
{
	struct ja *ja = ctx;

	crw_settle(ja->crashwatch);
	resend_worker(ja);
	led_start_queued(ja->led, clk_now_ms());
}

static void
send_all_updates(struct ja *ja)
{
	uint32_t i, n;
	g_autofree uint64_t *ids = ses_ids(ja->ses, &n);

	for (i = 0; i < n; i++)
		send_update(ja, ids[i]);
}

static void
finish_drain(struct ja *ja)
{
	if (!ja->draining || ja->drained)
		return;
	if (led_active(ja->led) > 0 && clk_now_ms() < ja->drain_deadline_ms)
		return;
	ja->drained = true;
	send_all_updates(ja);
	ja->opts.drained(ja->opts.ctx);
}

/* The lease is withheld, or no longer, as time passes. */
static void
check_lease(struct ja *ja)
{
	bool withheld = decide_lease(ja) == WP_LEASE_WITHHOLD;

	if (withheld == ja->withheld)
		return;
	ja->withheld = withheld;
	if (withheld)
		++*ja->leases_withheld;
	evt_write("lease", evt_bool("withheld", withheld),
	    evt_uint("runs", led_active(ja->led)));
	plan_updates(ja);
}

/*
 * Reports when the description of a worker that answers becomes too old, and
 * when it is no longer so.
 */
static void
check_statement(struct ja *ja)
{
	bool unstated = hold_is_ready(ja->hold) && !hold_is_stated(ja->hold);

	if (unstated == ja->unstated)
		return;
	ja->unstated = unstated;
	if (unstated)
		++*ja->unstated_total;
	evt_write("worker", evt_text("instance", ja->worker->instance),
	    evt_bool("unstated", unstated),
	    evt_int("stated_ms", hold_stated_ms(ja->hold)));
}

static gboolean
on_tick(gpointer data)
{
	struct ja *ja = data;

	ses_tick(ja->ses);
	hold_tick(ja->hold);
	led_tick(ja->led, clk_now_ms());
	check_lease(ja);
	check_statement(ja);
	odm_tick(ja->out_domains);
	announce_accepting(ja);
	crw_tick(ja->crashwatch);
	itw_tick(ja->interference);
	rst_tick(ja->states, ja->led);
	finish_drain(ja);
	return G_SOURCE_CONTINUE;
}

static void
make_counters(struct ja *ja)
{
	struct ctr_registry *reg = ja->opts.counters;

	ja->starts = ctr_counter(reg, "sp_runs_started_total", "Starts sent.");
	ja->done = ctr_counter(reg, "sp_runs_done_total", "Runs done.");
	ja->failed = ctr_counter(reg, "sp_runs_failed_total", "Runs failed.");
	ja->runs_lost = ctr_counter(
	    reg, "sp_runs_lost_total", "Runs lost, with an unknown outcome.");
	ja->sessions_lost = ctr_counter(
	    reg, "sp_sessions_lost_total", "Entry connections lost.");
	ja->leases_withheld = ctr_counter(reg, "sp_leases_withheld_total",
	    "Times that the worker's lease was left to expire, since a run did "
	    "not end.");
	ja->unstated_total = ctr_counter(reg, "sp_worker_unstated_total",
	    "Times that a worker that answers had no description of itself "
	    "recent enough to start tasks by it.");
	ja->run_times =
	    hst_new(reg, "sp_run_ms", "Time from start to end of done runs.");
	ja->stalled = ctr_counter(reg, "sp_runs_stalled_total",
	    "Runs stopped since they made no progress.");
	ja->refused = ctr_counter(
	    reg, "sp_runs_refused_total", "Starts returned as not started.");
	ja->states = rst_new(reg);
}

static void
make_run_state(struct ja *ja)
{
	struct led_options led = {
	    .limits =
		rlm_defaults(ja->opts.max_runs, ja->opts.max_queued_starts),
	    .may_start = may_start,
	    .worker_answers = worker_answers,
	    .last_sent_ms = last_sent_ms,
	    .start = start_run,
	    .stop = stop_run,
	    .request_report = request_worker_report,
	    .result = on_result,
	    .ctx = ja,
	};
	struct hold_options hold = {
	    .wp = ja->opts.wp,
	    .lease_ms = ja->opts.lease_ms,
	    .token = clk_wall_ms(),
	    .statement_ms =
		MAX_MISSED_HEARTBEATS * ja->opts.worker_heartbeat_ms,
	    .lease = decide_lease,
	    .report = on_report,
	    .runs_lost = on_runs_lost,
	    .described = on_described,
	    .left = on_worker_left,
	    .changed = on_worker_changed,
	    .ctx = ja,
	};

	ja->led = led_new(&led);
	led_set_run_floor(ja->led, clk_wall_ms());
	ja->hold = hold_new(&hold);
	ja->crashwatch = crw_new(&(struct crw_options){ja->led, ja->hold});
}

static void
on_recalled(const struct wp_worker *worker, void *ctx)
{
	recall_worker(ctx, worker, "registration");
}

static void
register_agent(struct ja *ja)
{
	struct enl_options opts = {
	    .ks = ja->opts.ks,
	    .address = ja->opts.advertise,
	    .recalled = on_recalled,
	    .ctx = ja,
	};

	ja->enlist = enl_new(&opts);
}

struct ja *
ja_new(const struct ja_options *opts, struct status *st)
{
	struct ja *ja = g_new0(struct ja, 1);
	struct wp_worker unknown = {
	    .service = "",
	    .failure_domain = opts->failure_domain,
	};
	struct ses_options ses = {
	    .listen = opts->listen,
	    .silence_ms = ENTRY_SILENCE_MS,
	    .opened = on_opened,
	    .closed = on_closed,
	    .start = on_start,
	    .cancel = on_cancel,
	    .interference = on_interference,
	    .cancels_seen = on_cancels_seen,
	    .cancelled = on_cancelled,
	    .on_heartbeat = on_heartbeat,
	    .ctx = ja,
	};
	struct odm_options out = {
	    .ks = opts->ks,
	    .layout = opts->layout,
	    .changed = on_out_domains_changed,
	    .ctx = ja,
	};

	ja->opts = *opts;
	ja->worker = wp_worker_copy(&unknown);
	ja->outboxes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, outbox_free);
	ja->out_domains = odm_new(&out);
	ja->updates = upd_new();
	ja->cancels = cry_new(opts->cancelled_jobs, opts->counters);
	make_counters(ja);
	ja->interference = itw_new(opts->interference, opts->counters);
	make_run_state(ja);
	ja->ses = ses_new(&ses, st);
	if (ja->ses == NULL) {
		ja_free(ja);
		return NULL;
	}
	crw_set_sessions(ja->crashwatch, ja->ses);
	itw_set_sessions(ja->interference, ja->ses);
	cry_set_sessions(ja->cancels, ja->ses);
	ja->tick_id = g_timeout_add(JA_TICK_MS, on_tick, ja);
	register_agent(ja);
	return ja;
}

void
ja_close(struct ja *ja)
{
	ja->calls_disabled = true;
	hold_close(ja->hold);
}

void
ja_free(struct ja *ja)
{
	if (ja == NULL)
		return;
	g_clear_handle_id(&ja->tick_id, g_source_remove);
	g_clear_handle_id(&ja->update_id, g_source_remove);
	ses_free(ja->ses);
	enl_free(ja->enlist);
	srm_clear(&ja->stated_room);
	hold_free(ja->hold);
	led_free(ja->led);
	crw_free(ja->crashwatch);
	itw_free(ja->interference);
	cry_free(ja->cancels);
	g_hash_table_unref(ja->outboxes);
	upd_free(ja->updates);
	odm_free(ja->out_domains);
	wp_worker_free(ja->worker);
	hst_free(ja->run_times);
	rst_free(ja->states);
	g_free(ja);
}

void
ja_heartbeat(struct ja *ja, const struct wp_worker *worker)
{
	ja->heard = true;
	hold_heartbeat(ja->hold, worker);
}

void
ja_worker_left(struct ja *ja, const char *instance)
{
	ja->heard = true;
	if (!hold_worker_left(ja->hold, instance))
		enl_worker_left(ja->enlist, instance);
}

void
ja_drain(struct ja *ja)
{
	if (ja->draining)
		return;
	ja->draining = true;
	ja->drain_deadline_ms = clk_now_ms() + ja->opts.drain_ms;
	led_return_queue(ja->led, "agent is shutting down", clk_now_ms());
	resend_worker(ja);
}
