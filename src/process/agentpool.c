#include <glib.h>
#include <string.h>

#include "connection/address.h"
#include "process/agentpool.h"
#include "process/clock.h"
#include "process/enlist.h"
#include "process/events.h"
#include "process/interpool.h"
#include "request/subset.h"
#include "version/mirror.h"

/* Interval of the choice of agents, which notices links that stay down. */
#define CHOOSE_INTERVAL_MS 200
/* Delay of the choice after a change, so that one covers several. */
#define CHOOSE_DELAY_MS 50
/*
 * Pause between watches of the registrations while they change, so that one
 * answer holds many of them.  A new agent is known within it.
 */
#define WATCH_PAUSE_MS 500
/* Interval at which the number of chosen agents is adapted. */
#define ADAPT_INTERVAL_MS 1000
/* New links a choice makes; more wait for the next one. */
#define MAX_NEW_LINKS 64
/*
 * A link that has been down for longer counts as not usable; one that never
 * was up gets more time, since agents may start at the same time as the entry.
 */
#define LINK_DOWN_MS 300
#define LINK_NEW_MS  1500
/* An idle link to an agent that is no longer chosen is closed after this. */
#define SURPLUS_MS 10000

struct agp_agent {
	struct agp *pool;
	struct wlk *link;
	struct wks_worker *worker;
	char *address;	/* key in pool->agents */
	uint64_t id;	/* key in pool->by_id */
	bool listed;	/* in the store */
	bool connected; /* described by its agent since the link opened */
	bool was_connected;
	uint32_t sessions;
	int64_t surplus_since_ms; /* 0: chosen */
	struct pwr_pace pace;	  /* of what the agent is sent */
};

struct agp {
	struct agp_options opts;
	struct mir *mirror;
	struct sub *sub;
	struct itp *interference; /* NULL: not used */
	GHashTable *agents;	  /* address to struct agp_agent */
	GHashTable *by_id;	  /* the same by id */
	uint64_t last_id;
	GHashTable *revisions; /* address to the revision that was parsed */
	int64_t choose_at_ms;
	int64_t adapt_at_ms;
	int64_t *n_registered, *n_linked;
	int64_t *malformed; /* counts registrations, also under such keys */
};

static struct agp_agent *
find_agent(const struct agp *pool, const char *address)
{
	return g_hash_table_lookup(pool->agents, address);
}

static void
choose_soon(struct agp *pool)
{
	pool->choose_at_ms =
	    MIN(pool->choose_at_ms, clk_now_ms() + CHOOSE_DELAY_MS);
}

static void
on_worker(struct wlk *link, const struct run_worker_args *args, void *ctx)
{
	struct agp *pool = ctx;
	struct agp_agent *agent = find_agent(pool, wlk_address(link));
	const run_statement *w = &args->worker;
	struct wks_description d = {
	    .name = wlk_address(link),
	    .incarnation = w->incarnation,
	    .service = w->service,
	    .failure_domain = w->failure_domain,
	    .labels = (const char *const *)w->labels.labels_val,
	    .n_labels = w->labels.labels_len,
	    .capacity = {w->capacity.cpu_milli, w->capacity.memory_mb,
		w->capacity.gpus},
	    .draining = args->shutting_down || w->draining,
	    .local =
		g_strcmp0(w->failure_domain, pool->opts.failure_domain) == 0,
	};

	evt_write("agent", evt_text("agent", d.name),
	    evt_uint("incarnation", d.incarnation),
	    evt_text("service", d.service),
	    evt_text("failure_domain", d.failure_domain),
	    evt_bool("draining", d.draining));
	agent->connected = agent->was_connected = true;
	wks_describe(sch_workers(pool->opts.sch), agent->worker, &d);
}

static void
on_update(struct wlk *link, const struct run_update_args *args, void *ctx)
{
	struct agp *pool = ctx;
	struct agp_agent *agent = find_agent(pool, wlk_address(link));
	struct wk_size room = {
	    args->free.cpu_milli, args->free.memory_mb, args->free.gpus};

	agent->sessions = args->sessions;
	agent->worker->speed.reported_permille = args->slowness_permille;
	itp_update(pool->interference, agent->worker, args);
	wks_set_room(agent->worker, &room, args->accepting, clk_now_ms());
	pool->opts.update(args, pool->opts.ctx);
}

static void
on_crash(struct wlk *link, const struct run_crash_args *args, void *ctx)
{
	struct agp *pool = ctx;
	uint32_t i, n = args->suspects.suspects_len;
	g_autofree struct crl_suspect *suspects =
	    g_new0(struct crl_suspect, n + 1);
	struct crl_crash crash = {
	    .id = args->id,
	    .crashed_ms = clk_now_ms() - MAX(args->age_ms, 0),
	    .state = (enum crl_state)args->state,
	    .suspects = suspects,
	    .n_suspects = n,
	};

	for (i = 0; i < n; i++) {
		const run_suspect *s = &args->suspects.suspects_val[i];

		suspects[i].task = s->task;
		suspects[i].queue = s->queue;
		suspects[i].weight_permille = s->weight_permille;
		suspects[i].started = s->started;
	}
	sch_report_crash(
	    pool->opts.sch, wlk_address(link), &crash, clk_now_ms());
}

static void
on_cancelled(struct wlk *link, const struct run_cancelled_args *args,
    bool is_new, void *ctx)
{
	const struct agp *pool = ctx;
	const struct agp_cancels *cancels = &pool->opts.cancels;

	cancels->relay_up(
	    find_agent(pool, wlk_address(link))->id, is_new, cancels->ctx);
	cancels->cancelled(args, cancels->ctx);
}

static void
on_cancels_known(
    struct wlk *link, const struct run_cancels_known_args *args, void *ctx)
{
	struct agp *pool = ctx;

	pool->opts.cancels.known(find_agent(pool, wlk_address(link))->id, args,
	    pool->opts.cancels.ctx);
}

static void
on_interference(
    struct wlk *link, const struct run_interference_args *args, void *ctx)
{
	struct agp *pool = ctx;

	itp_receive(pool->interference, wlk_address(link), args);
}

static void
on_link_closed(struct wlk *link, const struct status *why, void *ctx)
{
	struct agp *pool = ctx;
	struct agp_agent *agent = find_agent(pool, wlk_address(link));

	if (agent == NULL)
		return;
	evt_write("agent", evt_text("agent", wlk_address(link)),
	    evt_text("state", "lost"), evt_text("reason", why->message));
	agent->connected = false;
	agent->pace = (struct pwr_pace){0};
	pool->opts.cancels.relay_down(agent->id, pool->opts.cancels.ctx);
	sch_disconnect(pool->opts.sch, agent->worker, clk_now_ms());
}

static void
fill_heartbeat(struct run_heartbeat_args *args, void *ctx)
{
	struct agp *pool = ctx;

	pool->opts.fill_heartbeat(args, pool->opts.ctx);
}

static int64_t
noticed_ms(void *ctx)
{
	struct agp *pool = ctx;

	return pool->opts.noticed_ms(pool->opts.ctx);
}

static void
agent_free(gpointer data)
{
	struct agp_agent *agent = data;
	const struct agp_cancels *cancels = &agent->pool->opts.cancels;

	sch_remove_worker(agent->pool->opts.sch, agent->worker, clk_now_ms());
	wlk_free(agent->link);
	cancels->relay_down(agent->id, cancels->ctx);
	g_hash_table_remove(agent->pool->by_id, &agent->id);
	g_free(agent->address);
	g_free(agent);
}

static void
add_agent(struct agp *pool, const char *address)
{
	struct wlk_options opts = {
	    .address = address,
	    .name = pool->opts.name,
	    .incarnation = pool->opts.incarnation,
	    .fill_heartbeat = fill_heartbeat,
	    .noticed_ms = noticed_ms,
	    .worker = on_worker,
	    .update = on_update,
	    .crash = on_crash,
	    .cancelled = on_cancelled,
	    .interference = on_interference,
	    .cancels_known = on_cancels_known,
	    .closed = on_link_closed,
	    .ctx = pool,
	};
	struct wlk *link = wlk_new(&opts);
	struct agp_agent *agent;

	if (link == NULL)
		return;
	agent = g_new0(struct agp_agent, 1);
	agent->pool = pool;
	agent->link = link;
	agent->worker = wks_add(sch_workers(pool->opts.sch), agent);
	agent->address = g_strdup(address);
	agent->listed = true;
	agent->id = ++pool->last_id;
	g_hash_table_insert(pool->agents, agent->address, agent);
	g_hash_table_insert(pool->by_id, &agent->id, agent);
}

/*
 * An agent whose link has been down for a while, or whose worker leaves, keeps
 * its link, since it may return; another one is chosen beside it.
 */
static enum sub_state
agent_state(const char *address, const char *failure_domain, void *ctx)
{
	const struct agp *pool = ctx;
	const struct agp_agent *agent = find_agent(pool, address);
	bool out = *failure_domain != '\0' &&
		   pool->opts.is_out(failure_domain, pool->opts.ctx);
	int64_t down_ms;

	if (agent == NULL)
		return out ? SUB_UNUSABLE : SUB_USABLE;
	down_ms = clk_now_ms() - wlk_last_open_ms(agent->link);
	if (out || (agent->connected && agent->worker->draining) ||
	    down_ms > (agent->was_connected ? LINK_DOWN_MS : LINK_NEW_MS))
		return SUB_CONNECTED;
	return SUB_USABLE;
}

static void
mark_surplus(struct agp *pool, GHashTable *chosen)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agp_agent *agent = value;

		if (g_hash_table_contains(chosen, agent->address))
			agent->surplus_since_ms = 0;
		else if (agent->surplus_since_ms == 0)
			agent->surplus_since_ms = clk_now_ms();
	}
}

static gboolean
is_removable(gpointer key, gpointer value, gpointer data)
{
	const struct agp_agent *agent = value;

	(void)key;
	(void)data;
	if (agent->surplus_since_ms == 0)
		return FALSE;
	if (!wlk_is_open(agent->link))
		return TRUE;
	return agent->listed && agent->worker->open == 0 &&
	       clk_now_ms() - agent->surplus_since_ms > SURPLUS_MS;
}

/* Makes links to chosen agents; returns false when some are left for later. */
static bool
add_links(struct agp *pool, GHashTable *chosen)
{
	GHashTableIter iter;
	gpointer address;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, chosen);
	while (g_hash_table_iter_next(&iter, &address, NULL)) {
		if (find_agent(pool, address) != NULL)
			continue;
		if (n++ == MAX_NEW_LINKS)
			return false;
		add_agent(pool, address);
	}
	return true;
}

static void
choose_agents(struct agp *pool)
{
	GHashTable *chosen = sub_choose(pool->sub, clk_now_ms());

	pool->choose_at_ms = clk_now_ms() + CHOOSE_INTERVAL_MS;
	if (!add_links(pool, chosen))
		choose_soon(pool);
	mark_surplus(pool, chosen);
	g_hash_table_unref(chosen);
	g_hash_table_foreach_remove(pool->agents, is_removable, NULL);
	*pool->n_registered = sub_count(pool->sub);
	*pool->n_linked = g_hash_table_size(pool->agents);
}

/* Receives the parsed registration of an agent. */
struct registration {
	struct agp *pool;
	const char *address;
};

static void
put_worker(const struct wp_worker *worker, void *ctx)
{
	const struct registration *r = ctx;
	struct sub_agent agent = {
	    .address = r->address,
	    .service = worker->service,
	    .failure_domain = worker->failure_domain,
	    .labels = worker->labels,
	    .n_labels = worker->n_labels,
	};

	sub_put(r->pool->sub, &agent);
}

static void
parse_registration(
    struct agp *pool, const char *address, const struct mir_item *item)
{
	struct registration r = {.pool = pool, .address = address};
	struct sub_agent unknown = {
	    .address = address, .service = "", .failure_domain = ""};
	int64_t *revision = g_hash_table_lookup(pool->revisions, address);
	struct status st;
	const char *data;
	gsize len;

	if (revision != NULL && *revision == item->revision)
		return;
	g_hash_table_replace(pool->revisions, g_strdup(address),
	    g_memdup2(&item->revision, sizeof(item->revision)));
	if (!addr_is_valid(address)) {
		++*pool->malformed;
		evt_write("agent", evt_text("agent", address),
		    evt_text("state", "ignored"),
		    evt_text("reason", "key without a valid address"));
		return;
	}
	data = g_bytes_get_data(item->data, &len);
	switch (enl_parse(data, len, put_worker, &r, &st)) {
	case ENL_WORKER:
		return;
	case ENL_MALFORMED:
		++*pool->malformed;
		evt_write("agent", evt_text("agent", address),
		    evt_text("state", "malformed"),
		    evt_text("reason", st.message));
		break;
	case ENL_NO_WORKER:
		break;
	}
	/* The agent itself may be there, and tells of its worker. */
	sub_put(pool->sub, &unknown);
}

static void
forget_unlisted(struct agp *pool, GHashTable *items)
{
	GHashTableIter iter;
	gpointer address;

	g_hash_table_iter_init(&iter, pool->revisions);
	while (g_hash_table_iter_next(&iter, &address, NULL)) {
		g_autofree char *key = g_strconcat(ENL_PREFIX, address, NULL);
		struct agp_agent *agent = find_agent(pool, address);

		if (agent != NULL)
			agent->listed = g_hash_table_contains(items, key);
		if (g_hash_table_contains(items, key))
			continue;
		sub_remove(pool->sub, address);
		g_hash_table_iter_remove(&iter);
	}
}

static void
on_agents_changed(struct mir *mir, void *ctx)
{
	struct agp *pool = ctx;
	GHashTableIter iter;
	gpointer key, item;

	g_hash_table_iter_init(&iter, mir_items(mir));
	while (g_hash_table_iter_next(&iter, &key, &item))
		parse_registration(
		    pool, (const char *)key + strlen(ENL_PREFIX), item);
	forget_unlisted(pool, mir_items(mir));
	/* After a start the first agents are wanted at once. */
	if (g_hash_table_size(pool->agents) == 0)
		choose_agents(pool);
	else
		choose_soon(pool);
}

static void
on_store_state(
    struct mir *mir, bool reachable, const struct status *st, void *ctx)
{
	struct agp *pool = ctx;

	pool->opts.store_state(
	    reachable, st, mir_revision(mir), pool->opts.ctx);
}

struct agp *
agp_new(const struct agp_options *opts)
{
	struct agp *pool = g_new0(struct agp, 1);
	struct sub_options sub = {
	    .entry = opts->name,
	    .failure_domain = opts->failure_domain,
	    .size = opts->n_chosen,
	    .state = agent_state,
	    .ctx = pool,
	};
	struct mir_options mirror = {
	    .ks = opts->ks,
	    .prefix = ENL_PREFIX,
	    .wait_ms = opts->watch_ms,
	    .pause_ms = WATCH_PAUSE_MS,
	    .changed = on_agents_changed,
	    .reachable = on_store_state,
	    .ctx = pool,
	};

	pool->opts = *opts;
	pool->malformed = ctr_counter(opts->counters,
	    "sp_messages_refused_total{source=\"registration\"}",
	    "Messages from outside that are malformed or out of range.");
	pool->n_registered = ctr_gauge(
	    opts->counters, "sp_agents_registered", "Agents in the store.");
	pool->n_linked = ctr_gauge(opts->counters, "sp_agents_chosen",
	    "Agents that this entry has a link to.");
	pool->interference = itp_new(opts->interference, opts->counters);
	pool->sub = sub_new(&sub);
	pool->agents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, agent_free);
	pool->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->mirror = mir_new(&mirror);
	return pool;
}

void
agp_free(struct agp *pool)
{
	/* Freeing an agent closes its link, whose callback uses the table. */
	g_hash_table_remove_all(pool->agents);
	g_hash_table_unref(pool->agents);
	g_hash_table_unref(pool->by_id);
	g_hash_table_unref(pool->revisions);
	mir_free(pool->mirror);
	sub_free(pool->sub);
	itp_free(pool->interference);
	g_free(pool);
}

static void
adapt(struct agp *pool)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;
	uint32_t n = 0;

	pool->adapt_at_ms = clk_now_ms() + ADAPT_INTERVAL_MS;
	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct agp_agent *agent = value;

		if (!agent->connected || agent->sessions == 0)
			continue;
		sum += agent->sessions;
		n++;
	}
	if (n > 0)
		sub_adapt(pool->sub, sum / n);
}

void
agp_tick(struct agp *pool)
{
	int64_t now_ms = clk_now_ms();
	GHashTableIter iter;
	gpointer value;

	if (now_ms >= pool->adapt_at_ms)
		adapt(pool);
	if (now_ms >= pool->choose_at_ms)
		choose_agents(pool);
	itp_tick(pool->interference);
	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agp_agent *agent = value;

		wlk_tick(agent->link);
		itp_send(pool->interference, agent->link, &agent->pace);
	}
}

void
agp_domains_changed(struct agp *pool)
{
	GHashTableIter iter;
	gpointer agent;

	choose_soon(pool);
	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &agent))
		wlk_send_heartbeat(((struct agp_agent *)agent)->link);
}

void
agp_reconnect(struct agp *pool, const char *why)
{
	GHashTableIter iter;
	gpointer agent;

	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &agent))
		wlk_reconnect(((struct agp_agent *)agent)->link, why);
}

void
agp_tell_cancelled(
    struct agp *pool, uint64_t relay, const run_cancelled *jobs, uint32_t n)
{
	struct agp_agent *agent = g_hash_table_lookup(pool->by_id, &relay);

	if (agent != NULL)
		wlk_tell_cancelled(agent->link, jobs, n);
}

uint32_t
agp_n_agents(const struct agp *pool)
{
	return sub_count(pool->sub);
}

bool
agp_want(struct agp *pool, const char *service, const struct wk_job *job)
{
	int64_t now_ms = clk_now_ms();
	bool known = true;
	uint32_t i;

	for (i = 0; i < job->n_steps; i++) {
		const struct wk_step *step = &job->steps[i];

		if (step->preferred_rack != NULL)
			sub_want_label(
			    pool->sub, service, step->preferred_rack, now_ms);
		if (step->required_label != NULL &&
		    !sub_want_label(
			pool->sub, service, step->required_label, now_ms))
			known = false;
	}
	return known;
}

struct wlk *
agp_link(const struct agp_agent *agent)
{
	return agent->link;
}
