#include <glib.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/random.h>

#include "connection/announce.h"
#include "connection/connlimit.h"
#include "connection/entryset.h"
#include "connection/limitshares.h"
#include "connection/localhttp.h"
#include "connection/rpc.h"
#include "process/agent.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/executor.h"
#include "process/log.h"
#include "process/trace.h"
#include "process/signals.h"
#include "request/outcome.h"
#include "version/fresh.h"

#define AGENT_TICK_MS  100
#define MAX_MESSAGE_KB 4096 /* of a link */
/* Shorter delays of a tick occur on a busy machine and are not a pause. */
#define PAUSE_MIN_MS 500
/*
 * Results in one RPC record, which is limited to 4 MB; the remainder is for the
 * load and the call header.
 */
#define RESULTS_MESSAGE_MAX_BYTES 3145728
#define MIN_RESULT_RECORDS	  4096	   /* per entry; more if max_queue is */
#define MAX_UNACKED_RESULT_BYTES  33554432 /* per entry */
/* Above this, records of disconnected entries are dropped. */
#define MAX_RECORDED_ENTRIES 32
/*
 * Records of an entry are dropped this long after it disconnected, unless a
 * connected entry lists it as a member.
 */
#define ENDED_ENTRY_RETENTION_MS 60000

struct agent {
	const struct set_agent *set;
	uint64_t incarnation;
	GMainLoop *loop;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	struct fresh *fresh;
	struct ann *ann;
	struct out *out;
	struct ex *ex;
	struct es *es;
	struct lh *lh;
	struct ann_state announced; /* state in the last heartbeats */
	char *announced_service;    /* owned copy of its service */
	guint tick_id;
	guint term_id;
	guint int_id;
	int64_t last_tick_ms;
	int64_t drain_deadline_ms;
	bool draining;
	bool drained_in_time;
	int64_t *busy_gauge;
	int64_t *queued_gauge;
	int64_t *links_gauge;
	int64_t *version_gauge;
	int64_t *age_gauge;
};

static void
fill_hello(struct wire_hello_args *args, void *ctx)
{
	struct agent *agent = ctx;
	const struct ann_state *ann = ann_state(agent->ann, clk_now_ms());

	args->worker = agent->set->worker;
	args->failure_domain = agent->set->failure_domain;
	args->region = agent->set->region;
	args->rack = agent->set->rack;
	args->service = (char *)(ann->service == NULL ? "" : ann->service);
	args->slots = MIN(ann->slots, ann->connections);
	args->connections = ann->connections;
	args->cores = ann->cores;
	args->memory_mb = ann->memory_mb;
	ex_get_load(agent->ex, &args->load);
}

static bool
on_opened(struct el *el, const struct wire_member *entry, uint64_t previous,
    void *ctx)
{
	struct agent *agent = ctx;

	(void)el;
	if (es_find(agent->es, entry->incarnation) != NULL)
		return false;
	/* A new process listens at the address, so the former one has ended. */
	if (previous != 0 && previous != entry->incarnation &&
	    es_find(agent->es, previous) == NULL) {
		ex_return_queued(agent->ex, previous);
		out_forget(agent->out, previous);
	}
	out_connected(agent->out, entry->incarnation);
	es_reselect(agent->es);
	return true;
}

static void
on_closed(struct el *el, uint64_t entry, void *ctx)
{
	struct agent *agent = ctx;

	(void)el;
	out_disconnected(agent->out, entry, clk_now_ms());
	if (agent->es != NULL)
		es_reselect(agent->es);
}

static void
on_members(struct el *el, void *ctx)
{
	struct agent *agent = ctx;

	(void)el;
	es_reselect(agent->es);
}

static void
on_confirmed(struct el *el, void *ctx)
{
	struct agent *agent = ctx;

	(void)el;
	ex_run_queue(agent->ex);
}

static void quit_if_drained(struct agent *agent);

static void
on_acked(struct el *el, uint64_t number, void *ctx)
{
	struct agent *agent = ctx;

	out_ack(agent->out, el_entry_incarnation(el), number);
	quit_if_drained(agent);
}

/* Tells whether this process was paused since the last tick. */
static bool
was_process_paused(const struct agent *agent)
{
	return clk_now_ms() - agent->last_tick_ms >
	       MAX(agent->set->silence_ms, PAUSE_MIN_MS);
}

/*
 * Starts that were buffered in the sockets while this process was paused may
 * be outdated, and the entries have given up these connections.  False closes
 * the connection without processing them.
 */
static bool
on_start(struct el *el, struct wire_start_args *args, void *ctx)
{
	struct agent *agent = ctx;

	return !was_process_paused(agent) &&
	       ex_start(agent->ex, el_entry_incarnation(el), args);
}

static void
on_withdraw(struct el *el, const struct wire_withdraw_args *args, void *ctx)
{
	struct agent *agent = ctx;

	ex_withdraw(agent->ex, el_entry_incarnation(el), args);
}

static void
on_query(struct el *el, const struct wire_query_args *args, wire_state *states,
    void *ctx)
{
	struct agent *agent = ctx;

	ex_query(agent->ex, el_entry_incarnation(el), args, states);
}

static bool
next_results(struct el *el, struct wire_results_args *args, void *ctx)
{
	struct agent *agent = ctx;

	if (!out_batch(agent->out, el_entry_incarnation(el),
		RESULTS_MESSAGE_MAX_BYTES, args)) {
		/* The reply to a heartbeat acknowledges the last results. */
		if (agent->draining)
			el_request_heartbeat(el);
		return false;
	}
	ex_get_load(agent->ex, &args->load);
	return true;
}

static const struct el_handlers handlers = {
    .hello = fill_hello,
    .opened = on_opened,
    .closed = on_closed,
    .members = on_members,
    .confirmed = on_confirmed,
    .acked = on_acked,
    .start = on_start,
    .withdraw = on_withdraw,
    .query = on_query,
    .results = next_results,
};

static void
on_results(uint64_t entry, void *ctx)
{
	struct agent *agent = ctx;
	struct el *el = agent->es == NULL ? NULL : es_find(agent->es, entry);

	if (el != NULL)
		el_flush(el);
	quit_if_drained(agent);
}

static bool
is_idle(uint64_t entry, void *ctx)
{
	struct agent *agent = ctx;

	return out_record_count(agent->out, entry) == 0;
}

static void
request_heartbeat(struct el *el, void *ctx)
{
	(void)ctx;
	el_request_heartbeat(el);
}

/* Sends heartbeats at once when the endpoint's announcement has changed. */
static void
announce_changes(struct agent *agent)
{
	const struct ann_state *ann = ann_state(agent->ann, clk_now_ms());
	bool same = g_strcmp0(ann->service, agent->announced_service) == 0 &&
		    ann->slots == agent->announced.slots &&
		    ann->connections == agent->announced.connections &&
		    ann->cores == agent->announced.cores &&
		    ann->memory_mb == agent->announced.memory_mb &&
		    ann->draining == agent->announced.draining;

	if (same)
		return;
	log_line(LOG_INFO, "endpoint announced service \"%s\", %u slots%s",
	    ann->service == NULL ? "" : ann->service, ann->slots,
	    ann->draining ? ", draining" : "");
	agent->announced = *ann;
	g_free(agent->announced_service);
	agent->announced_service = g_strdup(ann->service);
	es_each(agent->es, request_heartbeat, NULL);
}

static void
on_announcement(void *ctx)
{
	struct agent *agent = ctx;

	announce_changes(agent);
	ex_run_queue(agent->ex);
}

static uint32_t
running_calls(void *ctx)
{
	struct agent *agent = ctx;

	return ex_running(agent->ex);
}

/* Classification of the entry incarnations that have records here. */
struct entry_scan {
	struct agent *agent;
	GArray *unlisted; /* disconnected, and listed by no connected entry */
	GArray *expired;  /* unlisted ones past the retention time */
	bool ack_pending; /* an entry not in unlisted has records */
};

static void
classify_entry(uint64_t entry, int64_t closed_ms, void *ctx)
{
	struct entry_scan *scan = ctx;
	struct agent *agent = scan->agent;

	if (closed_ms < 0 || es_open_links(agent->es) == 0 ||
	    es_is_listed(agent->es, entry)) {
		scan->ack_pending = true;
		return;
	}
	g_array_append_val(scan->unlisted, entry);
	if (clk_now_ms() - closed_ms > ENDED_ENTRY_RETENTION_MS)
		g_array_append_val(scan->expired, entry);
}

static void
classify_entries(struct agent *agent, struct entry_scan *scan)
{
	scan->agent = agent;
	scan->unlisted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	scan->expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	scan->ack_pending = false;
	out_foreach(agent->out, classify_entry, scan);
}

static void
scan_free_arrays(struct entry_scan *scan)
{
	g_array_unref(scan->unlisted);
	g_array_unref(scan->expired);
}

/*
 * Treats a disconnected entry as exited if no connected entry lists it: removes
 * its queued starts, and after the retention time its records.
 */
static void
drop_ended_entries(struct agent *agent)
{
	struct entry_scan scan;
	guint i;

	classify_entries(agent, &scan);
	for (i = 0; i < scan.unlisted->len; i++)
		ex_return_queued(
		    agent->ex, g_array_index(scan.unlisted, uint64_t, i));
	for (i = 0; i < scan.expired->len; i++)
		out_forget(
		    agent->out, g_array_index(scan.expired, uint64_t, i));
	scan_free_arrays(&scan);
}

/*
 * While draining, quits the main loop once no call is open and no connected or
 * listed entry has results to acknowledge, or at the drain deadline.  Without a
 * connection to any entry, every entry counts as listed.
 */
static void
quit_if_drained(struct agent *agent)
{
	struct entry_scan scan;

	if (!agent->draining || agent->es == NULL)
		return;
	classify_entries(agent, &scan);
	scan_free_arrays(&scan);
	agent->drained_in_time =
	    ex_running(agent->ex) == 0 && !scan.ack_pending;
	if (agent->drained_in_time || clk_now_ms() >= agent->drain_deadline_ms)
		g_main_loop_quit(agent->loop);
}

static void
reconnect_link(struct el *el, void *ctx)
{
	if (el_is_open(el))
		el_reconnect(el, ctx);
}

static void
update_gauges(struct agent *agent)
{
	struct wire_load load;

	ex_get_load(agent->ex, &load);
	*agent->busy_gauge = load.busy;
	*agent->queued_gauge = load.queued;
	*agent->links_gauge = es_open_links(agent->es);
	*agent->version_gauge = (int64_t)fresh_version(agent->fresh);
	*agent->age_gauge = fresh_age_ms(agent->fresh, clk_now_ms());
	rpc_export(agent->counters);
}

static gboolean
on_tick(gpointer data)
{
	struct agent *agent = data;

	if (was_process_paused(agent))
		es_each(agent->es, reconnect_link, "process was paused");
	agent->last_tick_ms = clk_now_ms();
	announce_changes(agent);
	drop_ended_entries(agent);
	ex_run_queue(agent->ex);
	update_gauges(agent);
	quit_if_drained(agent);
	return G_SOURCE_CONTINUE;
}

void
agent_drain(struct agent *agent)
{
	if (agent->draining)
		return;
	log_line(LOG_NOTICE, "draining");
	agent->draining = true;
	agent->drain_deadline_ms = clk_now_ms() + agent->set->drain_timeout_ms;
	ex_drain(agent->ex);
	es_each(agent->es, request_heartbeat, NULL);
	quit_if_drained(agent);
}

static gboolean
on_signal(gpointer data)
{
	agent_drain(data);
	return G_SOURCE_CONTINUE;
}

static void
make_gauges(struct agent *agent)
{
	struct ctr_registry *reg = agent->counters;

	agent->busy_gauge = ctr_gauge(reg, "sp_slots_busy", "Slots in use.");
	agent->queued_gauge =
	    ctr_gauge(reg, "sp_starts_queued", "Starts waiting.");
	agent->links_gauge =
	    ctr_gauge(reg, "sp_entries_connected", "Entries connected.");
	agent->version_gauge =
	    ctr_gauge(reg, "sp_config_version", "Configuration held.");
	agent->age_gauge = ctr_gauge(reg, "sp_config_age_ms",
	    "Time since the configuration was confirmed, -1 never.");
}

static void
make_executor(struct agent *agent)
{
	const struct set_agent *set = agent->set;
	struct out_options out = {MAX(MIN_RESULT_RECORDS, set->max_queue),
	    MAX_UNACKED_RESULT_BYTES, MAX_RECORDED_ENTRIES};
	struct ex_options ex = {
	    .worker = set->worker,
	    .failure_domain = set->failure_domain,
	    .freshness_ms = set->freshness_ms,
	    .max_queue = set->max_queue,
	    .max_answer_bytes = set->max_answer_bytes,
	    .on_results = on_results,
	    .ctx = agent,
	};

	ex.counters = agent->counters = ctr_new();
	ex.traces = agent->traces = trc_new(set->trace_spans);
	ex.fresh = agent->fresh = fresh_new(set->freshness_ms);
	ex.ann = agent->ann = ann_new();
	ex.out = agent->out = out_new(&out);
	agent->ex = ex_new(&ex);
	make_gauges(agent);
}

static void
make_links(struct agent *agent)
{
	const struct set_agent *set = agent->set;
	struct es_options opts = {
	    .seeds = (const char *const *)set->entries,
	    .worker = set->worker,
	    .failure_domain = set->failure_domain,
	    .max_links = set->entry_connections,
	    .link =
		{
		    .cluster_key = set->cluster_key,
		    .incarnation = agent->incarnation,
		    .fresh = agent->fresh,
		    .heartbeat_ms = set->heartbeat_ms,
		    .silence_ms = set->silence_ms,
		    .handlers = &handlers,
		    .ctx = agent,
		},
	    .is_idle = is_idle,
	    .ctx = agent,
	};

	agent->es = es_new(&opts);
}

struct agent *
agent_new(const struct set_agent *set, struct status *st)
{
	struct agent *agent = g_new0(struct agent, 1);
	struct lh_options lh;

	agent->set = set;
	if (getrandom(&agent->incarnation, sizeof(agent->incarnation), 0) !=
	    sizeof(agent->incarnation)) {
		g_free(agent);
		st_set(st, ST_INTERNAL, "getrandom failed");
		return NULL;
	}
	agent->loop = g_main_loop_new(NULL, FALSE);
	make_executor(agent);
	lsh_start(&set->limits, MAX_MESSAGE_KB, agent->counters);
	lh = (struct lh_options){
	    .listen = set->listen,
	    .ann = agent->ann,
	    .counters = agent->counters,
	    .traces = agent->traces,
	    .running = running_calls,
	    .changed = on_announcement,
	    .ctx = agent,
	};
	agent->lh = lh_new(&lh, st);
	if (agent->lh == NULL) {
		agent_free(agent);
		return NULL;
	}
	make_links(agent);
	agent->last_tick_ms = clk_now_ms();
	agent->tick_id = g_timeout_add(AGENT_TICK_MS, on_tick, agent);
	agent->term_id = g_unix_signal_add(SIGTERM, on_signal, agent);
	agent->int_id = g_unix_signal_add(SIGINT, on_signal, agent);
	sig_deliver();
	return agent;
}

bool
agent_run(struct agent *agent)
{
	g_main_loop_run(agent->loop);
	if (!agent->drained_in_time)
		log_line(LOG_WARNING,
		    "drain timeout passed with %u tasks running",
		    ex_running(agent->ex));
	return agent->drained_in_time;
}

void
agent_free(struct agent *agent)
{
	if (agent == NULL)
		return;
	g_clear_handle_id(&agent->tick_id, g_source_remove);
	g_clear_handle_id(&agent->term_id, g_source_remove);
	g_clear_handle_id(&agent->int_id, g_source_remove);
	lh_free(agent->lh);
	es_free(g_steal_pointer(&agent->es));
	ex_free(agent->ex);
	out_free(agent->out);
	ann_free(agent->ann);
	fresh_free(agent->fresh);
	trc_free(agent->traces);
	cnl_stop();
	ctr_free(agent->counters);
	g_main_loop_unref(agent->loop);
	g_free(agent->announced_service);
	g_free(agent);
}
