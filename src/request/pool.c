#include <glib.h>
#include <string.h>

#include "request/pool.h"

/* First and longest pause of an agent that returns work. */
#define HOLD_MS	    100
#define HOLD_MAX_MS 2000

struct member {
	void *agent;
	uint32_t place_id;
	char *name;
	char *failure_domain;
	char *service;
	uint32_t cores;
	uint64_t memory_mb;
	bool up;
	int64_t hold_ms;       /* length of the next pause */
	int64_t held_until_ms; /* 0: not paused */
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

/* Makes an empty pool. */
struct pool *
pool_new(const struct pool_options *opts)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->opts = *opts;
	pool->agents = g_hash_table_new_full(NULL, NULL, NULL, free_member);
	pool->places = g_hash_table_new(NULL, NULL);
	return pool;
}

/* Frees the pool, not the agents. */
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

	return m->up && m->held_until_ms == 0 && cfg != NULL &&
	       !cfg_is_out(cfg, CFG_FAILURE_DOMAIN, m->failure_domain) &&
	       !cfg_is_out(cfg, CFG_WORKER, m->name) &&
	       !cfg_is_out(cfg, CFG_SERVICE, m->service) &&
	       ej_may_start(pool->opts.eject, m->place_id, now_ms);
}

static void
refresh(struct pool *pool, struct member *m, int64_t now_ms)
{
	place_set_usable(
	    pool->opts.place, m->place_id, is_usable(pool, m, now_ms));
}

/* Applies out marks and lets agents back whose pause has ended. */
void
pool_refresh(struct pool *pool, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (m->held_until_ms <= now_ms)
			m->held_until_ms = 0;
		refresh(pool, m, now_ms);
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
	m->hold_ms = HOLD_MS;
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

/*
 * Notes a connected agent with an endpoint.  A change of its service or size
 * starts its history anew; its name and failure domain never change.
 */
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
	m->up = true;
	refresh(pool, m, now_ms);
}

/* Stops placing on an agent. */
void
pool_set_disconnected(struct pool *pool, void *agent)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m == NULL)
		return;
	m->up = false;
	place_set_usable(pool->opts.place, m->place_id, false);
}

/* Forgets an agent. */
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

/* Takes the load that an agent reported. */
void
pool_set_load(struct pool *pool, void *agent, const struct place_load *load,
    uint32_t unseen, int64_t now_ms)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	if (m != NULL)
		place_report(
		    pool->opts.place, m->place_id, load, unseen, now_ms);
}

/* Chooses the agent for a task, by the placement policy. */
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
	ej_started(pool->opts.eject, *place_id, now_ms);
	refresh(pool, m, now_ms); /* a probe is a single start */
	return m->agent;
}

/* NULL when the agent has changed its service or size meanwhile. */
static struct member *
find(struct pool *pool, void *agent, uint32_t place_id)
{
	struct member *m = g_hash_table_lookup(pool->agents, agent);

	return m != NULL && m->place_id == place_id ? m : NULL;
}

/* An agent that returns work would be chosen again at once. */
static void
hold(struct member *m, int64_t now_ms)
{
	if (m->held_until_ms != 0)
		return;
	m->held_until_ms = now_ms + m->hold_ms;
	m->hold_ms = MIN(m->hold_ms * 2, HOLD_MAX_MS);
}

static void
not_started(struct pool *pool, struct member *m, const struct place_task *task,
    int64_t now_ms)
{
	place_finished(
	    pool->opts.place, m->place_id, task, PLACE_NOT_STARTED, 0, now_ms);
	ej_not_started(pool->opts.eject, m->place_id);
}

/* Undoes pool_choose(). */
void
pool_unsent(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, int64_t now_ms)
{
	struct member *m = find(pool, agent, place_id);

	if (m == NULL)
		return;
	not_started(pool, m, task, now_ms);
	hold(m, now_ms);
	refresh(pool, m, now_ms);
}

static bool
is_agents_fault(wire_reason reason)
{
	return reason != WIRE_REASON_WITHDRAWN &&
	       reason != WIRE_REASON_DEADLINE && reason != WIRE_REASON_SEALED;
}

static void
ran(struct pool *pool, struct member *m, const struct place_task *task,
    const wire_result *result, int64_t now_ms)
{
	/* A 4xx is the caller's fault and says nothing about the worker. */
	bool ok = result->outcome == WIRE_DONE && result->status < 500;

	place_finished(pool->opts.place, m->place_id, task,
	    ok ? PLACE_OK : PLACE_FAILED, result->run_us, now_ms);
	ej_outcome(pool->opts.eject, m->place_id, !ok, now_ms);
	m->hold_ms = HOLD_MS;
}

/* Takes the outcome of a start. */
void
pool_outcome(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, const wire_result *result, int64_t now_ms)
{
	struct member *m = find(pool, agent, place_id);

	if (m == NULL)
		return;
	if (result->outcome == WIRE_NOT_STARTED) {
		not_started(pool, m, task, now_ms);
		if (is_agents_fault(result->reason))
			hold(m, now_ms);
	} else {
		ran(pool, m, task, result, now_ms);
	}
	refresh(pool, m, now_ms);
}
