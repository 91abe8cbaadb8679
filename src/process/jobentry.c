#include <glib.h>
#include <string.h>
#include <sys/random.h>

#include "connection/worklink.h"
#include "process/agentpool.h"
#include "process/clock.h"
#include "process/drain.h"
#include "process/entryconfig.h"
#include "process/events.h"
#include "process/histogram.h"
#include "process/jobcancel.h"
#include "process/jobentry.h"
#include "process/pause.h"
#include "request/cancelled.h"
#include "request/jobsize.h"
#include "request/sched.h"
#include "version/formerroutes.h"

#define JE_TICK_MS 50
/* A longer gap between ticks means that this process was paused. */
#define ENTRY_PAUSE_MS 700
/*
 * The same for the thread that serves the callers.  With the end of the lease it
 * is below the time after which a caller sends its job again.
 */
#define CLIENTS_PAUSE_MS 600
#define JE_MAX_JOBS	 20000
/*
 * Runs of an agent whose connection was lost are taken as stopped when both the
 * worker's lease and the silence limit of jobagent.c have passed, plus a margin
 * for the stop call at the worker and one message in each direction.
 */
#define ENTRY_SILENCE_MS   800
#define STOP_MARGIN_MS	   300
#define RETRY_AFTER_MIN_MS 1000

/* A call waiting for its job to end. */
struct waiter {
	uint64_t ticket;
	char *job;
	je_answer_fn fn;
	void *ctx;
	int64_t submitted_ms;
};

struct je {
	struct je_options opts;
	uint64_t incarnation;
	struct sch *sch;
	struct ecf *config;
	struct agp *agents;
	struct jcn *cancels;
	GHashTable *waiters; /* ticket to struct waiter */
	uint64_t next_ticket;
	struct pau pause;
	struct pau clients_pause; /* of the thread that serves the callers */
	struct drn drain;
	struct jsz_options sizes;
	guint tick_id;
	guint placement_id;
	int64_t *ended_counters[SCH_BROKEN + 1];
	int64_t *refused, *too_large, *accepted, *gone;
	int64_t *tasks_done, *tasks_failed, *tasks_lost;
	int64_t *open_jobs, *confined_queues;
	int64_t *tasks_held, *jobs_overtaken, *refused_by_wait;
	struct hst *job_times;
};

static void
waiter_free(gpointer data)
{
	struct waiter *waiter = data;

	g_free(waiter->job);
	g_free(waiter);
}

static gboolean
place_waiting_tasks(gpointer data)
{
	struct je *je = data;

	je->placement_id = 0;
	sch_place_tasks(je->sch, clk_now_ms());
	return G_SOURCE_REMOVE;
}

/*
 * An idle source of default priority runs after all sources that are ready now,
 * so that one placement serves the news of the same loop iteration; at a lower
 * priority it would wait until there is no input.
 */
static void
schedule_placement(struct je *je)
{
	if (je->placement_id == 0 && sch_has_waiting_tasks(je->sch))
		je->placement_id = g_idle_add_full(
		    G_PRIORITY_DEFAULT, place_waiting_tasks, je, NULL);
}

static bool
is_domain_out(const char *domain, void *ctx)
{
	struct je *je = ctx;

	return ecf_is_out(je->config, domain);
}

static bool
start_task(void *data, const struct sch_start *start, void *ctx)
{
	struct je *je = ctx;
	struct agp_agent *agent = data;
	g_autofree char *task =
	    wk_task_name(start->job, start->step, start->index);
	run_start message = {
	    .seq = start->seq,
	    .task = task,
	    .job_key = jcn_key_of(je->cancels, start->job),
	    .service = (char *)start->service,
	    .queue = (char *)start->queue,
	    .size = {start->size.cpu_milli, start->size.memory_mb,
		start->size.gpus},
	    .priority = start->priority,
	    .expected_ms = start->expected_ms,
	    .nominal_ms = start->nominal_ms,
	    .start_within_ms = start->start_within_ms,
	};

	return wlk_start(agp_link(agent), &message, start->spec);
}

static void
flush_agent(void *data, void *ctx)
{
	struct agp_agent *agent = data;

	(void)ctx;
	wlk_flush(agp_link(agent));
}

static void
cancel_task(void *data, uint64_t seq, void *ctx)
{
	struct agp_agent *agent = data;

	(void)ctx;
	wlk_cancel(agp_link(agent), seq);
}

static enum je_result
je_result_of(enum sch_job_end end)
{
	switch (end) {
	case SCH_COMPLETED:
		return JE_COMPLETED;
	case SCH_JOB_FAILED:
		return JE_JOB_FAILED;
	case SCH_EXPIRED:
		return JE_TIMEOUT;
	case SCH_NOT_RUN:
		return JE_OVERLOADED;
	case SCH_BROKEN:
		break;
	}
	return JE_ABORTED;
}

static const char *
job_end_name(enum sch_job_end end)
{
	static const char *const names[] = {[SCH_COMPLETED] = "completed",
	    [SCH_JOB_FAILED] = "failed",
	    [SCH_EXPIRED] = "expired",
	    [SCH_NOT_RUN] = "not_run",
	    [SCH_BROKEN] = "broken"};

	return names[end];
}

static void
answer_waiter(struct je *je, struct waiter *waiter, const struct je_answer *a)
{
	je_answer_fn fn = waiter->fn;
	void *ctx = waiter->ctx;

	g_hash_table_remove(je->waiters, &waiter->ticket);
	fn(a, ctx);
}

static void
on_job_ended(void *data, const char *job, enum sch_job_end end,
    const char *reason, void *ctx)
{
	struct je *je = ctx;
	struct waiter *waiter = data;
	struct je_answer a = {
	    .result = je_result_of(end),
	    .reason = reason,
	};

	jcn_closed(je->cancels, job);
	++*je->ended_counters[end];
	if (end == SCH_NOT_RUN)
		a.retry_ms = sch_retry_ms(je->sch, clk_now_ms());
	if (end == SCH_COMPLETED)
		hst_add(je->job_times, clk_now_ms() - waiter->submitted_ms);
	evt_write(end == SCH_COMPLETED ? "job" : "job_unserved",
	    evt_text("job", job), evt_text("end", job_end_name(end)),
	    evt_text("reason", reason),
	    evt_int("ms_held", clk_now_ms() - waiter->submitted_ms),
	    evt_int("config", ecf_routes(je->config) == NULL
				  ? 0
				  : rts_version(ecf_routes(je->config))));
	answer_waiter(je, waiter, &a);
}

static void
fill_heartbeat(struct run_heartbeat_args *args, void *ctx)
{
	struct je *je = ctx;

	args->revision = ecf_revision(je->config);
	args->age_ms = ecf_age_ms(je->config);
	args->out.out_len = g_strv_length(ecf_out_domains(je->config));
	args->out.out_val = ecf_out_domains(je->config);
}

static int64_t
noticed_ms(void *ctx)
{
	struct je *je = ctx;
	int64_t now_ms = clk_now_ms();

	return MIN(pau_noticed_ms(&je->pause, now_ms),
	    pau_noticed_ms(&je->clients_pause, now_ms));
}

static void
count_result(struct je *je, const run_result *result)
{
	if (result->outcome == RUN_DONE)
		++*je->tasks_done;
	else if (result->outcome == RUN_FAILED)
		++*je->tasks_failed;
	else if (result->outcome != RUN_NOT_STARTED)
		++*je->tasks_lost;
}

static void
on_start_failed(void *data, const struct sch_failed_start *s, void *ctx)
{
	static const char *const names[] = {[SCH_DONE] = "done",
	    [SCH_FAILED] = "failed",
	    [SCH_NOT_STARTED] = "not_started",
	    [SCH_LOST] = "lost",
	    [SCH_STALLED] = "stalled"};
	struct agp_agent *agent = data;
	g_autofree char *task = wk_task_name(s->job, s->step, s->index);

	(void)ctx;
	evt_write("task", evt_text("task", task),
	    evt_text("agent", wlk_address(agp_link(agent))),
	    evt_uint("seq", s->seq), evt_text("outcome", names[s->outcome]),
	    evt_text("reason", s->reason), evt_int("failures", s->failures),
	    evt_int("max_attempts", s->max_attempts),
	    evt_int("sent_ms_ago", clk_now_ms() - s->sent_ms));
}

static void
on_confined(const char *queue, bool confined, double caused, void *ctx)
{
	struct je *je = ctx;

	*je->confined_queues += confined ? 1 : -1;
	evt_write("queue", evt_text("queue", queue),
	    evt_bool("confined", confined),
	    evt_int("crashes_permille", (int64_t)(caused * 1000)));
}

static void
on_delayed(const char *job, enum plg_delay why, uint32_t n_tasks, void *ctx)
{
	struct je *je = ctx;

	if (why == PLG_HELD)
		*je->tasks_held += n_tasks;
	else
		++*je->jobs_overtaken;
	evt_write("delayed", evt_text("job", job),
	    evt_text("why", why == PLG_HELD ? "held" : "overtaken"),
	    evt_uint("tasks", n_tasks));
}

static void
on_update(const struct run_update_args *args, void *ctx)
{
	static const enum sch_outcome outcomes[] = {[RUN_DONE] = SCH_DONE,
	    [RUN_FAILED] = SCH_FAILED,
	    [RUN_NOT_STARTED] = SCH_NOT_STARTED,
	    [RUN_LOST] = SCH_LOST,
	    [RUN_STALLED] = SCH_STALLED};
	struct je *je = ctx;
	uint32_t i;

	for (i = 0; i < args->results.results_len; i++) {
		const run_result *r = &args->results.results_val[i];

		count_result(je, r);
		sch_result(je->sch, r->seq, outcomes[r->outcome], r->run_ms,
		    r->reason, clk_now_ms());
	}
	schedule_placement(je);
}

/*
 * Callers may come when the configuration is known, and the jobs that were
 * cancelled before this process began.
 */
static void
open_if_known(struct je *je)
{
	if (ecf_routes(je->config) != NULL && jcn_is_loaded(je->cancels))
		je->opts.configured(je->opts.ctx);
}

static void
on_cancels_loaded(void *ctx)
{
	open_if_known(ctx);
}

static void
on_config_changed(bool first, void *ctx)
{
	struct je *je = ctx;

	if (first)
		open_if_known(je);
	jcn_routes_changed(je->cancels, ecf_routes(je->config));
	agp_domains_changed(je->agents);
	schedule_placement(je);
}

static void
on_agents_store_state(
    bool reachable, const struct status *st, int64_t revision, void *ctx)
{
	(void)ctx;
	ecf_log_store("agents", reachable, st, revision);
}

/*
 * While this process was paused, callers may have timed out and submitted
 * their jobs to another entry.  After a pause, all open jobs are given up and
 * all connections to agents are replaced.
 */
static void
handle_pause(struct je *je)
{
	int64_t now_ms = clk_now_ms();
	int64_t paused_ms = now_ms - je->pause.tick_ms;

	if (paused_ms > ENTRY_PAUSE_MS) {
		evt_write("pause", evt_int("paused_ms", paused_ms),
		    evt_int("jobs", sch_n_jobs(je->sch)));
		sch_abort_all(je->sch, "entry was paused");
		agp_reconnect(je->agents, "process was paused");
	}
	pau_tick(&je->pause, now_ms);
}

/* The same for a pause of the thread that serves the callers alone. */
static void
handle_clients_pause(struct je *je)
{
	int64_t paused_ms = clk_now_ms() - je->clients_pause.tick_ms;

	if (je->clients_pause.tick_ms == 0 || paused_ms <= CLIENTS_PAUSE_MS ||
	    sch_n_jobs(je->sch) == 0)
		return;
	evt_write("pause", evt_text("thread", "clients"),
	    evt_int("paused_ms", paused_ms),
	    evt_int("jobs", sch_n_jobs(je->sch)));
	sch_abort_all(je->sch, "callers were not served");
}

static void
finish_drain(struct je *je)
{
	if (drn_is_late(&je->drain, clk_now_ms()))
		sch_abort_all(je->sch, "entry is shutting down");
	if (drn_tick(&je->drain, sch_n_jobs(je->sch), clk_now_ms()))
		je->opts.drained(je->opts.ctx);
}

static gboolean
on_tick(gpointer data)
{
	struct je *je = data;

	handle_pause(je);
	handle_clients_pause(je);
	agp_tick(je->agents);
	jcn_tick(je->cancels);
	sch_tick(je->sch, clk_now_ms());
	*je->open_jobs = sch_n_jobs(je->sch);
	finish_drain(je);
	return G_SOURCE_CONTINUE;
}

static void
make_counters(struct je *je)
{
	struct ctr_registry *reg = je->opts.counters;
	int i;

	for (i = 0; i <= SCH_BROKEN; i++) {
		g_autofree char *name = g_strdup_printf(
		    "sp_jobs_ended_total{end=\"%s\"}", job_end_name(i));

		je->ended_counters[i] =
		    ctr_counter(reg, name, "Jobs by their end.");
	}
	je->accepted =
	    ctr_counter(reg, "sp_jobs_accepted_total", "Jobs accepted.");
	je->refused =
	    ctr_counter(reg, "sp_jobs_refused_total", "Jobs refused.");
	je->too_large = ctr_counter(reg, "sp_jobs_too_large_total",
	    "Jobs refused for their size, or for their queue's name.");
	je->gone = ctr_counter(reg, "sp_requests_gone_total",
	    "Requests dropped since their connection had ended.");
	je->confined_queues = ctr_gauge(reg, "sp_queues_confined",
	    "Queues kept to few workers since their tasks crash workers.");
	je->tasks_held = ctr_counter(reg, "sp_tasks_held_total",
	    "Tasks that waited for a faster kind of worker.");
	je->jobs_overtaken = ctr_counter(reg, "sp_jobs_overtaken_total",
	    "Late jobs that others after them were placed before.");
	je->refused_by_wait = ctr_counter(reg, "sp_jobs_refused_by_wait_total",
	    "Jobs refused since their predicted wait was too long.");
	je->open_jobs = ctr_gauge(reg, "sp_jobs_open", "Jobs in progress.");
	je->job_times = hst_new(
	    reg, "sp_job_ms", "Time from a job's arrival to its completion.");
	je->tasks_done = ctr_counter(reg, "sp_tasks_done_total", "Tasks done.");
	je->tasks_failed =
	    ctr_counter(reg, "sp_tasks_failed_total", "Tasks failed.");
	je->tasks_lost = ctr_counter(
	    reg, "sp_tasks_lost_total", "Tasks whose run was lost or stalled.");
}

static struct ecf *
make_config(struct je *je)
{
	struct ecf_options opts = {
	    .ks = je->opts.ks,
	    .layout = je->opts.layout,
	    .changed = on_config_changed,
	    .ctx = je,
	};

	return ecf_new(&opts);
}

/* Cancels a job that is open here, and answers its call. */
static void
cancel_open_job(const char *job, void *ctx)
{
	struct je_answer gone = {
	    .result = JE_ABORTED, .reason = "the job was cancelled"};
	struct je *je = ctx;
	struct waiter *waiter;

	jcn_closed(je->cancels, job);
	waiter = sch_replace_waiter(je->sch, job, NULL);
	sch_cancel(je->sch, job);
	if (waiter != NULL)
		answer_waiter(je, waiter, &gone);
}

static struct agp *
make_agents(struct je *je)
{
	struct agp_options opts = {
	    .name = je->opts.name,
	    .failure_domain = je->opts.failure_domain,
	    .incarnation = je->incarnation,
	    .ks = je->opts.ks,
	    .counters = je->opts.counters,
	    .sch = je->sch,
	    .n_chosen = je->opts.agent_connections,
	    .interference = je->opts.interference,
	    .watch_ms = ECF_STORE_WATCH_MS,
	    .is_out = is_domain_out,
	    .fill_heartbeat = fill_heartbeat,
	    .noticed_ms = noticed_ms,
	    .update = on_update,
	    .cancels = jcn_receiver(je->cancels),
	    .store_state = on_agents_store_state,
	    .ctx = je,
	};

	return agp_new(&opts);
}

struct je *
je_new(const struct je_options *opts)
{
	struct je *je = g_new0(struct je, 1);
	struct sch_options sch = {
	    .choice =
		{
		    .cross_rack_factor = opts->cross_rack_factor,
		    .scan_offset = g_random_int(),
		},
	    .policy = opts->policy,
	    .lost_run_timeout_ms =
		MAX(opts->lease_ms, ENTRY_SILENCE_MS) + STOP_MARGIN_MS,
	    .max_jobs = JE_MAX_JOBS,
	    .start = start_task,
	    .flush = flush_agent,
	    .cancel = cancel_task,
	    .start_failed = on_start_failed,
	    .ended = on_job_ended,
	    .confined = on_confined,
	    .delayed = on_delayed,
	    .ctx = je,
	};

	je->opts = *opts;
	je->drain.limit_ms = opts->drain_ms;
	je->sizes = jsz_options(opts->max_open_tasks, opts->max_runs);
	if (getrandom(&je->incarnation, sizeof(je->incarnation), 0) < 0)
		je->incarnation = (uint64_t)clk_now_ns();
	je->sch = sch_new(&sch);
	wks_set_out_check(sch_workers(je->sch), is_domain_out, je);
	je->waiters = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, waiter_free);
	make_counters(je);
	je->cancels = jcn_new(&(struct jcn_options){
	    .ks = opts->ks,
	    .counters = opts->counters,
	    .max_jobs = opts->cancelled_jobs,
	    .cancel_open = cancel_open_job,
	    .loaded = on_cancels_loaded,
	    .ctx = je,
	});
	je->agents = make_agents(je);
	jcn_set_agents(je->cancels, je->agents);
	je->config = make_config(je);
	pau_tick(&je->pause, clk_now_ms());
	je->tick_id = g_timeout_add(JE_TICK_MS, on_tick, je);
	return je;
}

void
je_free(struct je *je)
{
	if (je == NULL)
		return;
	g_clear_handle_id(&je->tick_id, g_source_remove);
	g_clear_handle_id(&je->placement_id, g_source_remove);
	agp_free(je->agents);
	ecf_free(je->config);
	sch_free(je->sch);
	jcn_free(je->cancels);
	g_hash_table_unref(je->waiters);
	hst_free(je->job_times);
	g_free(je);
}

bool
je_is_ready(const struct je *je)
{
	return ecf_routes(je->config) != NULL && jcn_is_loaded(je->cancels) &&
	       !je->drain.active;
}

bool
je_is_draining(const struct je *je)
{
	return je->drain.active;
}

const struct rts *
je_routes(const struct je *je)
{
	return ecf_routes(je->config);
}

static void
answer_now(je_answer_fn fn, void *ctx, enum je_result result,
    const char *reason, int64_t retry_ms)
{
	struct je_answer a = {
	    .result = result, .reason = reason, .retry_ms = retry_ms};

	fn(&a, ctx);
}

/*
 * Returns the queue of a request for a job, or for the queue if the id is "".  If
 * there is none, answers the request and returns NULL.
 */
static const struct rts_queue *
find_queue(struct je *je, const char *host, const char *path, const char *id,
    je_answer_fn fn, void *ctx)
{
	const struct rts_queue *queue;

	if (ecf_routes(je->config) == NULL) {
		evt_write(
		    "refusal", evt_text("reason", "no configuration yet"));
		answer_now(fn, ctx, JE_NOT_READY, "no configuration yet",
		    RETRY_AFTER_MIN_MS);
		return NULL;
	}
	queue = rts_find(ecf_routes(je->config), host, path);
	if (queue == NULL) {
		answer_now(fn, ctx, JE_NO_QUEUE, "no such queue", 0);
		return NULL;
	}
	/* A longer path is another name, which must not meet this job. */
	if (!rts_is_path_of(queue, path, id)) {
		answer_now(fn, ctx, JE_NO_QUEUE,
		    "the path is not the prefix of a queue and a job id", 0);
		return NULL;
	}
	return queue;
}

/* Without a prediction: as long as the first job of the queue has waited. */
static int64_t
retry_ms(struct je *je, const struct sch_request *request,
    enum sch_submit_result verdict)
{
	if (je->opts.policy.refuse_by_wait && verdict != SCH_CONFINED)
		return sch_retry_ms(je->sch, clk_now_ms());
	return MAX(RETRY_AFTER_MIN_MS, request->wait_ms);
}

static void
refuse(struct je *je, const struct sch_request *request,
    enum sch_submit_result verdict, je_answer_fn fn, void *ctx)
{
	static const char *const reasons[] = {
	    [SCH_NO_WORKERS] = "no usable worker of the service",
	    [SCH_TOO_LARGE] = "a task is larger than any worker",
	    [SCH_OVERLOADED] = "too many open jobs",
	    [SCH_BACKLOG] = "the queue's backlog is too long",
	    [SCH_CONFINED] = "tasks of the queue have crashed its workers",
	    [SCH_UNSUPPORTED] = "queues with advice are not served"};
	bool overloaded = verdict == SCH_OVERLOADED || verdict == SCH_BACKLOG ||
			  verdict == SCH_CONFINED;

	++*je->refused;
	*je->refused_by_wait += request->by_prediction;
	evt_write("refusal", evt_text("job", request->job->id),
	    evt_text("queue", request->queue->name),
	    evt_text("reason", reasons[verdict]),
	    evt_int("wait_ms", request->wait_ms),
	    evt_bool("predicted", request->by_prediction),
	    evt_int("jobs", sch_n_jobs(je->sch)),
	    evt_int("config", rts_version(ecf_routes(je->config))));
	answer_now(fn, ctx, overloaded ? JE_OVERLOADED : JE_REFUSED,
	    reasons[verdict], retry_ms(je, request, verdict));
}

static void
refuse_at_once(struct je *je, const struct wk_job *job, const char *reason,
    je_answer_fn fn, void *ctx)
{
	++*je->refused;
	evt_write("refusal", evt_text("job", job->id),
	    evt_text("reason", reason), evt_int("jobs", sch_n_jobs(je->sch)));
	answer_now(fn, ctx, JE_REFUSED, reason, RETRY_AFTER_MIN_MS);
}

/* Workers have crashed under the job, maybe at the hands of another entry. */
static void
answer_crashing(
    struct je *je, const struct wk_job *job, je_answer_fn fn, void *ctx)
{
	static const char reason[] = "its task crashes workers";

	++*je->ended_counters[SCH_JOB_FAILED];
	evt_write("job_unserved", evt_text("job", job->id),
	    evt_text("end", job_end_name(SCH_JOB_FAILED)),
	    evt_text("reason", reason));
	answer_now(fn, ctx, JE_JOB_FAILED, reason, 0);
}

static struct waiter *
add_waiter(struct je *je, const char *job, je_answer_fn fn, void *ctx)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->ticket = ++je->next_ticket;
	waiter->job = g_strdup(job);
	waiter->fn = fn;
	waiter->ctx = ctx;
	waiter->submitted_ms = clk_now_ms();
	g_hash_table_insert(je->waiters, &waiter->ticket, waiter);
	return waiter;
}

/*
 * Handles a job that is submitted again while it is open: the new call will
 * get its result, and the former call is answered at once.
 */
static uint64_t
replace_waiter(struct je *je, const char *job, je_answer_fn fn, void *ctx)
{
	struct waiter *waiter = add_waiter(je, job, fn, ctx);
	struct waiter *former = sch_replace_waiter(je->sch, job, waiter);
	struct je_answer a = {
	    .result = JE_ABORTED, .reason = "the job was sent again"};

	evt_write("resend", evt_text("job", job));
	if (former != NULL)
		answer_waiter(je, former, &a);
	return waiter->ticket;
}

uint64_t
je_submit(struct je *je, const char *host, const char *path, struct wk_job *job,
    int64_t deadline_ms, je_answer_fn fn, void *ctx)
{
	const struct rts_queue *queue;
	struct sch_request request = {.job = job, .deadline_ms = deadline_ms};
	enum sch_submit_result verdict;
	const char *too_large;
	uint64_t key = ccl_key(host, path);
	struct waiter *waiter;
	uint64_t ticket = 0;

	handle_pause(je);
	if (jcn_is_cancelled(je->cancels, key)) {
		answer_now(fn, ctx, JE_UNKNOWN_JOB, "the job was cancelled", 0);
		wk_job_free(job);
		return 0;
	}
	queue = find_queue(je, host, path, job->id, fn, ctx);
	if (queue == NULL) {
		wk_job_free(job);
		return 0;
	}
	if (!jcn_is_loaded(je->cancels)) {
		answer_now(fn, ctx, JE_NOT_READY,
		    "cancelled jobs are not known yet", RETRY_AFTER_MIN_MS);
		wk_job_free(job);
		return 0;
	}
	if (je->drain.active &&
	    !drn_accepts(
		&je->drain, wk_job_critical_path_ms(job), clk_now_ms())) {
		refuse_at_once(je, job, "entry is shutting down", fn, ctx);
		wk_job_free(job);
		return 0;
	}
	if (sch_has_job(je->sch, job->id)) {
		/* Tasks are told apart by the id of their job, not by its path. */
		if (!jcn_is_open(je->cancels, key, job->id))
			refuse_at_once(je, job,
			    "a job of another path has this id", fn, ctx);
		else
			ticket = replace_waiter(je, job->id, fn, ctx);
		wk_job_free(job);
		return ticket;
	}
	too_large =
	    jsz_reason_to_refuse(&je->sizes, queue, job, sch_workers(je->sch),
		sch_n_tasks(je->sch), deadline_ms - clk_now_ms());
	if (too_large != NULL) {
		++*je->too_large;
		refuse_at_once(je, job, too_large, fn, ctx);
		wk_job_free(job);
		return 0;
	}
	waiter = add_waiter(je, job->id, fn, ctx);
	request.queue = queue;
	request.waiter = waiter;
	request.workers_known = agp_want(je->agents, queue->service, job);
	verdict = sch_submit(je->sch, &request, clk_now_ms());
	if (verdict == SCH_ACCEPTED) {
		++*je->accepted;
		jcn_opened(je->cancels, job->id, key);
		evt_write("accepted", evt_text("job", job->id),
		    evt_text("queue", queue->name),
		    evt_int("jobs", sch_n_jobs(je->sch)));
		schedule_placement(je);
		return waiter->ticket;
	}
	g_hash_table_remove(je->waiters, &waiter->ticket);
	if (verdict == SCH_CRASHING)
		answer_crashing(je, job, fn, ctx);
	else
		refuse(je, &request, verdict, fn, ctx);
	wk_job_free(job);
	return 0;
}

static void
log_abandoned(const struct je *je, const struct waiter *waiter)
{
	struct sch_progress at;

	if (!sch_progress(je->sch, waiter->job, &at))
		return;
	evt_write("abandoned", evt_text("job", waiter->job),
	    evt_int("ms_held", clk_now_ms() - waiter->submitted_ms),
	    evt_text("queue", at.queue), evt_int("tasks", at.n_tasks),
	    evt_int("ready", at.n_ready), evt_int("sent", at.n_sent),
	    evt_int("unresolved", at.n_unresolved), evt_int("done", at.n_done),
	    evt_int("jobs", sch_n_jobs(je->sch)));
}

void
je_abandon(struct je *je, uint64_t ticket)
{
	struct waiter *waiter = g_hash_table_lookup(je->waiters, &ticket);

	if (waiter == NULL)
		return;
	log_abandoned(je, waiter);
	jcn_closed(je->cancels, waiter->job);
	sch_cancel(je->sch, waiter->job);
	g_hash_table_remove(je->waiters, &ticket);
}

void
je_clients_tick(struct je *je, int64_t at_ms)
{
	pau_tick(&je->clients_pause, at_ms);
}

void
je_record_gone(struct je *je, const char *job)
{
	++*je->gone;
	evt_write("gone", evt_text("job", job));
}

void
je_query_state(struct je *je, const char *host, const char *path,
    const char *job, je_answer_fn fn, void *ctx)
{
	if (jcn_is_open(je->cancels, ccl_key(host, path), job)) {
		answer_now(fn, ctx, JE_RUNNING, "", 0);
		return;
	}
	if (find_queue(je, host, path, job, fn, ctx) != NULL)
		answer_now(fn, ctx, JE_UNKNOWN_JOB, "no such job here", 0);
}

/*
 * Whether another entry may have a job of this path open, by a configuration
 * that is no longer in force or that this process has not seen.
 */
static bool
may_be_open(struct je *je, const char *host, const char *path, const char *job)
{
	return jcn_may_have_had_route(je->cancels, host, path, job) ||
	       !ecf_has_seen_all(je->config, FRT_KEEP_MS);
}

/* A job is cancelled by the key of its path, for which no queue is needed. */
void
je_cancel(struct je *je, const char *host, const char *path, const char *job,
    je_answer_fn fn, void *ctx)
{
	uint64_t key = ccl_key(host, path);

	if (!jcn_is_open(je->cancels, key, job) &&
	    !may_be_open(je, host, path, job) &&
	    find_queue(je, host, path, job, fn, ctx) == NULL)
		return;
	jcn_cancel(je->cancels, key, job, fn, ctx);
}

void
je_count_pending(struct je *je, const char *host, const char *path,
    je_answer_fn fn, void *ctx)
{
	const struct rts_queue *queue = find_queue(je, host, path, "", fn, ctx);
	struct je_answer a = {.result = JE_PENDING_COUNT, .reason = ""};

	if (queue == NULL)
		return;
	a.pending = sch_n_unsent_jobs(je->sch, queue->name);
	fn(&a, ctx);
}

/* From now on je_is_ready() is false, which the load balancer checks. */
void
je_drain(struct je *je)
{
	drn_begin(&je->drain, clk_now_ms());
}
