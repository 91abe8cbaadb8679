#include <gio/gio.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/random.h>

#include "connection/agentlink.h"
#include "connection/connlimit.h"
#include "connection/limitshares.h"
#include "connection/listener.h"
#include "process/clock.h"
#include "process/entry.h"
#include "process/log.h"
#include "process/peering.h"
#include "process/signals.h"
#include "request/callers.h"
#include "request/operators.h"
#include "version/members.h"
#include "version/change.h"
#include "version/etcd.h"
#include "version/reader.h"

#define DISPATCH_TICK_MS     20	 /* deadlines, ends of pauses of agents */
#define HOUSEKEEPING_TICK_MS 200 /* expires jobs and agents, sets gauges */
#define WITHDRAWAL_GRACE_MS  250 /* to withdraw starts of a failing job */
/* Open starts get the outcome UNKNOWN this long after the agent disconnects. */
#define LOST_AGENT_OUTCOME_MS 5000
/* An agent disconnected for this long is removed. */
#define LOST_AGENT_REMOVE_MS 60000
/* Longest wait at shutdown for callers to fetch results of finished jobs. */
#define UNDELIVERED_WAIT_MS    2000
#define MAX_KNOWN_AGENTS       4096
#define MAX_OUTSTANDING_STARTS 200000U
#define MAX_WAITERS_PER_JOB    64
#define MAX_HTTP_REQUESTS      20000
#define MAX_MESSAGE_KB	       4096 /* of a link */
#define BYTES_PER_KB	       1024
#define MAX_JOB_BYTES	       (2ULL << 30) /* payloads and results */
/* Budget for retries of starts with an unknown outcome. */
#define RETRY_PERCENT	   10  /* of requests */
#define RETRY_BURST	   100 /* retries saved up */
#define RETRY_MAX_ATTEMPTS 3   /* of a task, with the first */

struct entry {
	const struct set_entry *set;
	GMainLoop *loop;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	struct ident *ids;
	wire_member self;
	/* configuration */
	struct fresh *fresh;
	struct store *store;
	struct rdr *reader;
	struct mem *members;
	struct mem_entry registration; /* of this entry */
	struct quo *quorum;
	struct chg *change;
	/* requests */
	struct place *place;
	struct eject *eject;
	struct pool *pool;
	struct retry *retry;
	struct dispatch *dispatch;
	struct job_table *jobs;
	struct admit *admit;
	struct api *api;
	struct pass *pass;
	/* connections */
	struct al_set *agents;
	struct peering *peering;
	struct ln *listener;
	struct http *http;
	struct ops *operators;
	guint dispatch_id;
	guint tick_id;
	guint housekeeping_id;
	guint term_id;
	guint int_id;
	/* shutdown */
	bool shutting_down;
	bool drained_in_time; /* no request was open at deregistration */
	bool deregistering;
	int64_t shutdown_ms;
	int64_t drained_ms; /* when the last request ended; 0: some are open */
	int64_t *jobs_gauge, *job_bytes_gauge, *version_gauge, *age_gauge;
	int64_t *outstanding_gauge;
};

static gboolean
run_dispatch(gpointer data)
{
	struct entry *entry = data;

	entry->dispatch_id = 0;
	dsp_place_tasks(entry->dispatch, clk_now_ms());
	return G_SOURCE_REMOVE;
}

/*
 * Schedules a dispatch after the pending events of this loop iteration, so
 * that starts that these events make possible are sent in one message.
 */
static void
schedule_dispatch(void *ctx)
{
	struct entry *entry = ctx;

	if (entry->dispatch_id == 0)
		entry->dispatch_id = g_idle_add_full(
		    G_PRIORITY_DEFAULT, run_dispatch, entry, NULL);
}

/* Callbacks of the dispatcher. */

static bool
send_starts(void *agent, const wire_start *starts, size_t n, void *ctx)
{
	(void)ctx;
	return al_start(agent, starts, n);
}

static void
send_withdraw(void *agent, const uint64_t *seqs, size_t n, void *ctx)
{
	(void)ctx;
	al_withdraw(agent, seqs, n);
}

static void
on_job_ended(struct job *job, void *ctx)
{
	struct entry *entry = ctx;

	api_job_ended(entry->api, job);
}

/* Callbacks of the agent connections. */

static uint64_t
next_seq(void *ctx)
{
	struct entry *entry = ctx;

	return dsp_next_seq(entry->dispatch);
}

static void
on_agent_connected(struct al *al, const struct place_worker *worker, void *ctx)
{
	struct entry *entry = ctx;

	pool_set_connected(entry->pool, al, worker, clk_now_ms());
	schedule_dispatch(entry);
}

static void
on_agent_disconnected(struct al *al, void *ctx)
{
	struct entry *entry = ctx;

	pool_set_disconnected(entry->pool, al);
}

static void
on_agent_removed(struct al *al, void *ctx)
{
	struct entry *entry = ctx;

	pool_remove(entry->pool, al);
}

static void
on_agent_load(
    struct al *al, const struct place_load *load, uint32_t unseen, void *ctx)
{
	struct entry *entry = ctx;

	pool_set_load(entry->pool, al, load, unseen, clk_now_ms());
	schedule_dispatch(entry);
}

static void
on_outcome(struct al *al, const wire_result *result, void *ctx)
{
	struct entry *entry = ctx;

	dsp_outcome(entry->dispatch, al, result, clk_now_ms());
}

/* Input of admission decisions. */

static bool
is_live(const char *service, void *ctx)
{
	struct entry *entry = ctx;

	return place_has_live_worker(entry->place, service);
}

static uint32_t
live_entries(const struct entry *entry)
{
	size_t n;

	mem_list(entry->members, &n);
	return n == 0 ? 1 : (uint32_t)n;
}

static void
fill_admission_snapshot(
    const char *service, struct adm_snapshot *snapshot, void *ctx)
{
	struct entry *entry = ctx;
	int64_t now_ms = clk_now_ms();

	snapshot->cfg = fresh_config(entry->fresh);
	snapshot->config_confirmed = fresh_is_current(entry->fresh, now_ms);
	snapshot->live_entries = live_entries(entry);
	snapshot->waiting = dsp_waiting(entry->dispatch, service);
	snapshot->service_live = place_has_live_worker(entry->place, service);
	snapshot->expected_wait_ms = place_expected_wait_ms(
	    entry->place, service, snapshot->waiting, now_ms);
	snapshot->is_live = is_live;
	snapshot->is_live_ctx = entry;
	snapshot->place = entry->place;
}

/* Communication with other entries. */

static enum api_owner
owner_state(uint64_t incarnation, void *ctx)
{
	struct entry *entry = ctx;

	return peering_owner_state(entry->peering, incarnation);
}

static bool
forward(uint64_t incarnation, const struct api_request *request,
    api_answer_fn fn, void *fn_ctx, void *ctx)
{
	struct entry *entry = ctx;

	return peering_forward(
	    entry->peering, incarnation, request, fn, fn_ctx);
}

static const wire_member *
list_members(size_t *n, uint64_t *digest, void *ctx)
{
	struct entry *entry = ctx;

	return peering_members(entry->peering, n, digest);
}

static void
on_members_changed(void *ctx)
{
	struct entry *entry = ctx;

	peering_update_members(entry->peering);
}

/* Changes of the configuration. */

static void
on_config_changed(struct cfg *cfg, void *ctx)
{
	struct entry *entry = ctx;

	log_line(LOG_NOTICE, "applied configuration version %" G_GUINT64_FORMAT,
	    cfg_version(cfg));
	pool_refresh(entry->pool, clk_now_ms());
	schedule_dispatch(entry);
}

/* Timers and shutdown. */

static gboolean
on_tick(gpointer data)
{
	struct entry *entry = data;
	int64_t now_ms = clk_now_ms();

	pool_refresh(entry->pool, now_ms);
	dsp_tick(entry->dispatch, now_ms);
	return G_SOURCE_CONTINUE;
}

static void
on_deregistered(void *ctx)
{
	struct entry *entry = ctx;

	g_main_loop_quit(entry->loop);
}

static void
deregister(struct entry *entry, bool drained_in_time)
{
	entry->deregistering = true;
	entry->drained_in_time = drained_in_time;
	if (!drained_in_time)
		log_line(LOG_WARNING,
		    "drain timeout passed with %u jobs and "
		    "%u requests in progress",
		    job_table_open(entry->jobs), http_in_progress(entry->http));
	chg_stop_voting(entry->change);
	mem_deregister(entry->members, on_deregistered, entry);
}

static void
deregister_if_drained(struct entry *entry, int64_t now_ms)
{
	if (job_table_open(entry->jobs) > 0 ||
	    http_in_progress(entry->http) > 0) {
		entry->drained_ms = 0;
		if (now_ms - entry->shutdown_ms >= entry->set->drain_timeout_ms)
			deregister(entry, false);
		return;
	}
	if (entry->drained_ms == 0)
		entry->drained_ms = now_ms;
	if (job_table_undelivered(entry->jobs) == 0 ||
	    now_ms - entry->drained_ms >= UNDELIVERED_WAIT_MS)
		deregister(entry, true);
}

static gboolean
run_housekeeping(gpointer data)
{
	struct entry *entry = data;
	int64_t now_ms = clk_now_ms();

	al_tick(entry->agents, now_ms);
	job_expire(entry->jobs, now_ms);
	*entry->jobs_gauge = job_table_count(entry->jobs);
	*entry->job_bytes_gauge = (int64_t)job_table_bytes(entry->jobs);
	*entry->outstanding_gauge = dsp_outstanding(entry->dispatch);
	*entry->version_gauge = (int64_t)fresh_version(entry->fresh);
	*entry->age_gauge = fresh_age_ms(entry->fresh, now_ms);
	rpc_export(entry->counters);
	if (entry->shutting_down && !entry->deregistering)
		deregister_if_drained(entry, now_ms);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_shutdown_signal(gpointer data)
{
	struct entry *entry = data;

	if (entry->shutting_down)
		return G_SOURCE_CONTINUE;
	log_line(LOG_NOTICE, "shutting down, %u jobs in progress",
	    job_table_open(entry->jobs));
	entry->shutting_down = true;
	entry->shutdown_ms = clk_now_ms();
	api_close(entry->api);
	return G_SOURCE_CONTINUE;
}

static bool
is_ready(void *ctx)
{
	struct entry *entry = ctx;

	return !entry->shutting_down && mem_is_registered(entry->members) &&
	       fresh_is_current(entry->fresh, clk_now_ms());
}

/* Construction. */

static void
make_configuration(struct entry *entry)
{
	const struct set_entry *set = entry->set;
	struct etcd_options etcd = {
	    .url = set->store,
	    .timeout_ms = set->store_timeout_ms,
	    .calls = ctr_counter(
		entry->counters, "sp_store_calls_total", "calls to the store"),
	};
	struct chg_options change = {.freshness_ms = set->freshness_ms};
	struct rdr_options reader = {.poll_ms = set->store_poll_ms};
	struct mem_options members = {
	    .self =
		{
		    .incarnation = id_incarnation(entry->ids),
		    .name = set->name,
		    .failure_domain = set->failure_domain,
		    .address = set->rpc_address,
		    .operator_address = set->operator_address,
		},
	    .lease_s = set->lease_s,
	    .poll_ms = set->members_poll_ms,
	    .on_changed = on_members_changed,
	    .ctx = entry,
	};

	entry->fresh = fresh_new(set->freshness_ms);
	entry->quorum = quo_new(set->freshness_ms);
	entry->store = etcd_new(&etcd);
	reader.store = members.store = entry->store;
	reader.fresh = entry->fresh;
	entry->reader = rdr_new(&reader);
	entry->members = mem_new(&members);
	change.self = entry->registration = members.self;
	change.store = entry->store;
	change.rdr = entry->reader;
	change.fresh = entry->fresh;
	change.mem = entry->members;
	change.quo = entry->quorum;
	entry->change = chg_new(&change);
}

static void
make_placement(struct entry *entry)
{
	const struct set_entry *set = entry->set;
	struct place_options place = {
	    .policy = PLACE_EARLIEST_FINISH,
	    .failure_domain = set->failure_domain,
	    .ahead = set->agent_queue,
	};
	struct pool_options pool = {.fresh = entry->fresh};
	struct rty_options retry = {
	    .percent = RETRY_PERCENT,
	    .burst = RETRY_BURST,
	    .max_attempts = RETRY_MAX_ATTEMPTS,
	};
	struct dsp_options dispatch = {
	    .fresh = entry->fresh,
	    .counters = entry->counters,
	    .max_outstanding = MAX_OUTSTANDING_STARTS,
	    .grace_ms = WITHDRAWAL_GRACE_MS,
	    .start = send_starts,
	    .withdraw = send_withdraw,
	    .wake = schedule_dispatch,
	    .ended = on_job_ended,
	    .ctx = entry,
	};

	place_policy_parse(set->policy, &place.policy);
	place.seed = (uint32_t)id_incarnation(entry->ids);
	entry->place = pool.place = dispatch.place = place_new(&place);
	entry->eject = pool.eject = ej_new();
	entry->pool = dispatch.pool = pool_new(&pool);
	entry->retry = dispatch.retry = rty_new(&retry);
	entry->dispatch = dsp_new(&dispatch);
	fresh_on_changed(entry->fresh, on_config_changed, entry);
}

static void
make_requests(struct entry *entry)
{
	const struct set_entry *set = entry->set;
	struct job_options jobs = {
	    .ids = entry->ids,
	    .max_jobs = set->max_jobs,
	    .max_answer_bytes = set->max_answer_bytes,
	    .max_bytes = MAX_JOB_BYTES,
	    .max_waiters = MAX_WAITERS_PER_JOB,
	    .retention_ms = set->job_retention_s * 1000,
	};
	struct api_options api = {
	    .ids = entry->ids,
	    .dispatch = entry->dispatch,
	    .retry = entry->retry,
	    .counters = entry->counters,
	    .traces = entry->traces,
	    .limits = {set->max_tasks, WIRE_PAYLOAD_MAX},
	    .snapshot = fill_admission_snapshot,
	    .owner = owner_state,
	    .forward = forward,
	    .ctx = entry,
	};
	struct pass_options pass = {
	    .dispatch = entry->dispatch,
	    .traces = entry->traces,
	    .incarnation = id_incarnation(entry->ids),
	};

	entry->jobs = api.jobs = job_table_new(&jobs);
	entry->admit = api.admit = adm_new();
	entry->api = pass.api = api_new(&api);
	entry->pass = pass_new(&pass);
}

static void
make_connections(struct entry *entry)
{
	const struct set_entry *set = entry->set;
	struct al_options agents = {
	    .cluster_key = set->cluster_key,
	    .self = &entry->self,
	    .fresh = entry->fresh,
	    .counters = entry->counters,
	    .max_agents = MAX_KNOWN_AGENTS,
	    .silence_ms = set->silence_ms,
	    .outcome_timeout_ms = LOST_AGENT_OUTCOME_MS,
	    .remove_after_ms = LOST_AGENT_REMOVE_MS,
	    .next_seq = next_seq,
	    .members = list_members,
	    .up = on_agent_connected,
	    .down = on_agent_disconnected,
	    .gone = on_agent_removed,
	    .load = on_agent_load,
	    .outcome = on_outcome,
	    .ctx = entry,
	};
	struct peering_options peers = {
	    .self = &entry->self,
	    .cluster_key = set->cluster_key,
	    .seeds = set->peers,
	    .counters = entry->counters,
	    .fresh = entry->fresh,
	    .quorum = entry->quorum,
	    .change = entry->change,
	    .members = entry->members,
	    .api = entry->api,
	    .silence_ms = set->silence_ms,
	    .status_ms = set->store_poll_ms,
	};

	entry->agents = al_set_new(&agents);
	entry->peering = peering_new(&peers);
}

static void
make_gauges(struct entry *entry)
{
	struct ctr_registry *reg = entry->counters;

	entry->jobs_gauge = ctr_gauge(reg, "sp_jobs", "records of jobs");
	entry->job_bytes_gauge =
	    ctr_gauge(reg, "sp_job_bytes", "payloads and results held");
	entry->outstanding_gauge = ctr_gauge(
	    reg, "sp_starts_outstanding", "starts without an outcome");
	entry->version_gauge =
	    ctr_gauge(reg, "sp_config_version", "configuration held");
	entry->age_gauge = ctr_gauge(reg, "sp_config_age_ms",
	    "time since the configuration was confirmed, -1 never");
}

static void
add_status(struct json_object *status, void *ctx)
{
	struct entry *entry = ctx;

	json_object_object_add(status, "agents",
	    json_object_new_int64(al_connected(entry->agents)));
	json_object_object_add(
	    status, "jobs", json_object_new_int64(job_table_open(entry->jobs)));
	json_object_object_add(status, "starts_outstanding",
	    json_object_new_int64(dsp_outstanding(entry->dispatch)));
	json_object_object_add(status, "shutting_down",
	    json_object_new_boolean(entry->shutting_down));
}

static char *
metrics_text(void *ctx)
{
	struct entry *entry = ctx;

	return ctr_text(entry->counters);
}

static char *
traces_text(const char *trace_id, void *ctx)
{
	struct entry *entry = ctx;

	return trc_json(entry->traces, trace_id);
}

static bool
serve_operators(struct entry *entry, struct status *st)
{
	struct ops_options opts = {
	    .listen = entry->set->operator_listen,
	    .chg = entry->change,
	    .fresh = entry->fresh,
	    .rdr = entry->reader,
	    .mem = entry->members,
	    .self = entry->registration,
	    .add_status = add_status,
	    .metrics = metrics_text,
	    .traces = traces_text,
	    .ctx = entry,
	};

	entry->operators = ops_new(&opts, st);
	return entry->operators != NULL;
}

static bool
start_serving(struct entry *entry, struct status *st)
{
	struct http_options http = {
	    .listen = entry->set->listen,
	    .api = entry->api,
	    .pass = entry->pass,
	    .counters = entry->counters,
	    .traces = entry->traces,
	    .max_body_bytes = entry->set->max_body_bytes,
	    .max_requests = MAX_HTTP_REQUESTS,
	    .is_ready = is_ready,
	    .ctx = entry,
	};
	struct ln_options listener = {
	    .listen = entry->set->rpc_listen,
	    .agents = entry->agents,
	    .silence_ms = entry->set->silence_ms,
	};

	listener.peers = peering_links(entry->peering);
	entry->listener = ln_new(&listener, st);
	if (entry->listener == NULL || !serve_operators(entry, st))
		return false;
	entry->http = http_new(&http, st);
	if (entry->http == NULL)
		return false;
	entry->tick_id = g_timeout_add(DISPATCH_TICK_MS, on_tick, entry);
	entry->housekeeping_id =
	    g_timeout_add(HOUSEKEEPING_TICK_MS, run_housekeeping, entry);
	entry->term_id = g_unix_signal_add(SIGTERM, on_shutdown_signal, entry);
	entry->int_id = g_unix_signal_add(SIGINT, on_shutdown_signal, entry);
	sig_deliver();
	return true;
}

struct entry *
entry_new(const struct set_entry *set, struct status *st)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->set = set;
	entry->loop = g_main_loop_new(NULL, FALSE);
	entry->counters = ctr_new();
	lsh_start(&set->limits,
	    MAX(MAX_MESSAGE_KB, (int64_t)(set->max_body_bytes / BYTES_PER_KB)),
	    entry->counters);
	entry->traces = trc_new(set->trace_spans);
	entry->ids = id_new_random();
	entry->self.incarnation = id_incarnation(entry->ids);
	entry->self.name = set->name;
	entry->self.failure_domain = set->failure_domain;
	entry->self.address = set->rpc_address;
	make_gauges(entry);
	make_configuration(entry);
	make_placement(entry);
	make_requests(entry);
	make_connections(entry);
	if (!start_serving(entry, st)) {
		entry_free(entry);
		return NULL;
	}
	return entry;
}

bool
entry_run(struct entry *entry)
{
	g_main_loop_run(entry->loop);
	return entry->drained_in_time;
}

static void
clear_sources(struct entry *entry)
{
	g_clear_handle_id(&entry->tick_id, g_source_remove);
	g_clear_handle_id(&entry->housekeeping_id, g_source_remove);
	g_clear_handle_id(&entry->term_id, g_source_remove);
	g_clear_handle_id(&entry->int_id, g_source_remove);
	g_clear_handle_id(&entry->dispatch_id, g_source_remove);
}

static void
close_connections(struct entry *entry)
{
	if (entry->http != NULL)
		http_free(entry->http);
	if (entry->operators != NULL)
		ops_free(entry->operators);
	ln_free(entry->listener);
	peering_free(entry->peering);
	al_set_free(entry->agents);
}

void
entry_free(struct entry *entry)
{
	clear_sources(entry);
	close_connections(entry);
	g_clear_handle_id(&entry->dispatch_id, g_source_remove);
	pass_free(entry->pass);
	api_free(entry->api);
	dsp_free(entry->dispatch);
	job_table_free(entry->jobs);
	adm_free(entry->admit);
	rty_free(entry->retry);
	pool_free(entry->pool);
	ej_free(entry->eject);
	place_free(entry->place);
	chg_free(entry->change);
	mem_free(entry->members);
	rdr_free(entry->reader);
	entry->store->ops->free(entry->store);
	quo_free(entry->quorum);
	fresh_free(entry->fresh);
	id_free(entry->ids);
	trc_free(entry->traces);
	cnl_stop();
	ctr_free(entry->counters);
	g_main_loop_unref(entry->loop);
	g_free(entry);
}
