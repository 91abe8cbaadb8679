#include <glib.h>
#include <string.h>

#include "request/pool.h"

/*
 * First and longest pause of an agent that returns tasks without running them.
 * The pauses double until the agent runs a task.
 */
#define MIN_PAUSE_MS 100
#define MAX_PAUSE_MS 2000

struct member {
	void *agent;
	uint32_t place_id;
	char *name;
	char *failure_domain;
	char *service;
	uint32_t cores;
	uint64_t memory_mb;
	bool connected;
	int64_t pause_ms;	 /* length of the next pause */
	int64_t paused_until_ms; /* 0: not paused */
};

struct pool {
	struct pool_options opts;
	GHashTable *agents; /* agent -> struct member */
	GHashTable *places; /* place id -> struct member */
};

static void
free_member(gpointer data)
{
	struct member *m = data;

	g_free(m->name);
	g_free(m->failure_domain);
	g_free(m->service);
	g_free(m);
}

struct pool *
pool_new(const struct pool_options *opts)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->opts = *opts;
	pool->agents = g_hash_table_new_full(NULL, NULL, NULL, free_member);
	pool->places = g_hash_table_new(NULL, NULL);
	return pool;
}

void
pool_free(struct pool *pool)
{
	g_hash_table_unref(pool->places);
	g_hash_table_unref(pool->agents);
	g_free(pool);
}

static bool
is_usable(const struct pool *pool, const struct member *m, int64_t now_ms)
{
	const struct cfg *cfg = fresh_config(pool->opts.fresh);

	return m->connected && m->paused_until_ms == 0 && cfg != NULL &&
	       !cfg_is_out(cfg, CFG_FAILURE_DOMAIN, m->failure_domain) &&
	       !cfg_is_out(cfg, CFG_WORKER, m->name) &&
	       !cfg_is_out(cfg, CFG_SERVICE, m->service) &&
	       ej_may_start(pool->opts.eject, m->place_id, now_ms);
}

static void
update_usable(struct pool *pool, struct member *m, int64_t now_ms)
{
	place_set_usable(
	    pool->opts.place, m->place_id, is_usable(pool, m, now_ms));
}

void
pool_refresh(struct pool *pool, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (m->paused_until_ms <= now_ms)
			m->paused_until_ms = 0;
		update_usable(pool, m, now_ms);
	}
}

static struct member *
add_member(struct pool *pool, void *agent, const struct place_worker *worker,
    int64_t now_ms)
{
	struct member *m = g_new0(struct member, 1);

	m->agent = agent;
	m->name = g_strdup(worker->name);
	m->failure_domain = g_strdup(worker->failure_domain);
	m->service = g_strdup(worker->service);
	m->cores = worker->cores;
	m->memory_mb = worker->memory_mb;
	m->pause_ms = MIN_PAUSE_MS;
	m->place_id = place_add(pool->opts.place, worker, now_ms);
	ej_add(pool->opts.eject, m->place_id, worker->service);
	g_hash_table_insert(pool->agents, agent, m);
	g_hash_table_insert(pool->places, GUINT_TO_POINTER(m->place_id), m);
	return m;
}

static bool
is_same(const struct member *m, const struct place_worker *worker)
{
	return strcmp(m->service, worker->service) == 0 &&
	       m->cores == worker->cores && m->memory_mb == worker->memory_mb;
}

void
pool_set_connected(struct pool *pool, void *agent,
    const struct place_worker *worker, int64_t now_ms)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m != NULL && !is_same(m, worker)) {
		pool_remove(pool, agent);
		m = NULL;
	}
	if (m == NULL)
		m = add_member(pool, agent, worker, now_ms);
	m->connected = true;
	update_usable(pool, m, now_ms);
}

void
pool_set_disconnected(struct pool *pool, void *agent)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m == NULL)
		return;
	m->connected = false;
	place_set_usable(pool->opts.place, m->place_id, false);
}

void
pool_remove(struct pool *pool, void *agent)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m == NULL)
		return;
	place_remove(pool->opts.place, m->place_id);
	ej_remove(pool->opts.eject, m->place_id);
	g_hash_table_remove(pool->places, GUINT_TO_POINTER(m->place_id));
	g_hash_table_remove(pool->agents, agent);
}

void
pool_set_load(struct pool *pool, void *agent, const struct place_load *load,
    uint32_t outstanding, int64_t now_ms)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m != NULL)
		place_report(
		    pool->opts.place, m->place_id, load, outstanding, now_ms);
}

void *
pool_choose(struct pool *pool, const struct place_task *task,
    uint32_t *place_id, int64_t now_ms)
{
	struct member *m;

	*place_id = place_choose(pool->opts.place, task, now_ms);
	m = *place_id == PLACE_NONE ? NULL
				    : g_hash_table_lookup(pool->places,
					  GUINT_TO_POINTER(*place_id));
	if (m == NULL)
		return NULL;
	place_dispatched(pool->opts.place, *place_id, task, now_ms);
	ej_record_start(pool->opts.eject, *place_id, now_ms);
	/* After its probe an ejected agent gets nothing until the outcome. */
	update_usable(pool, m, now_ms);
	return m->agent;
}

/*
 * Returns NULL when the agent's service or size has changed since place_id was
 * assigned.
 */
static struct member *
find_member(struct pool *pool, void *agent, uint32_t place_id)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	return m != NULL && m->place_id == place_id ? m : NULL;
}

/*
 * Pauses an agent that returned a task, since it would be chosen again at once.
 */
static void
pause_agent(struct member *m, int64_t now_ms)
{
	if (m->paused_until_ms != 0)
		return;
	m->paused_until_ms = now_ms + m->pause_ms;
	m->pause_ms = MIN(m->pause_ms * 2, MAX_PAUSE_MS);
}

static void
undo_dispatch(struct pool *pool, struct member *m,
    const struct place_task *task, int64_t now_ms)
{
	place_finished(
	    pool->opts.place, m->place_id, task, PLACE_NOT_STARTED, 0, now_ms);
	ej_undo_start(pool->opts.eject, m->place_id);
}

void
pool_undo_choice(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, int64_t now_ms)
{
	struct member *m = find_member(pool, agent, place_id);

	if (m == NULL)
		return;
	undo_dispatch(pool, m, task, now_ms);
	pause_agent(m, now_ms);
	update_usable(pool, m, now_ms);
}

static bool
is_agents_fault(wire_reason reason)
{
	return reason != WIRE_REASON_WITHDRAWN &&
	       reason != WIRE_REASON_DEADLINE && reason != WIRE_REASON_SEALED;
}

static void
record_run(struct pool *pool, struct member *m, const struct place_task *task,
    const wire_result *result, int64_t now_ms)
{
	/* A 4xx status is the caller's fault, not the worker's. */
	bool ok = result->outcome == WIRE_DONE && result->status < 500;

	place_finished(pool->opts.place, m->place_id, task,
	    ok ? PLACE_OK : PLACE_FAILED, result->run_us, now_ms);
	ej_record_outcome(pool->opts.eject, m->place_id, !ok, now_ms);
	m->pause_ms = MIN_PAUSE_MS;
}

void
pool_record_outcome(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, const wire_result *result, int64_t now_ms)
{
	struct member *m = find_member(pool, agent, place_id);

	if (m == NULL)
		return;
	if (result->outcome == WIRE_NOT_STARTED) {
		undo_dispatch(pool, m, task, now_ms);
		if (is_agents_fault(result->reason))
			pause_agent(m, now_ms);
	} else {
		record_run(pool, m, task, result, now_ms);
	}
	update_usable(pool, m, now_ms);
}
