#include <glib.h>
#include <string.h>

#include "process/cancelstore.h"
#include "process/clock.h"
#include "process/events.h"
#include "process/jobcancel.h"
#include "request/cancelled.h"
#include "request/confirm.h"
#include "version/formerroutes.h"

/* Cancelled jobs that a restarted agent is told by each entry. */
#define MAX_TAUGHT_ROWS 1024
/* After a refused cancel. */
#define CANCEL_RETRY_MS 1000

struct jcn {
	struct jcn_options opts;
	struct agp *agents;
	struct rts *routes; /* of the last configuration; NULL: none */
	struct frt *former_routes;
	struct ccl *cancelled;
	struct cfm *confirm;
	struct cst *store;
	GHashTable *keys; /* id of an open job to its key (uint64_t *) */
	GHashTable *jobs; /* key to the id of an open job, owned by keys */
	int64_t *confirmed, *refused, *n_stored, *n_cancelled;
};

/* A call that waits for the confirmation of its cancel. */
struct waiter {
	struct jcn *jcn;
	char *job;
	int64_t since_ms;
	je_answer_fn fn;
	void *ctx;
};

/* Keys of the tables are numbers of 64 bits, cast to pointers. */
static gpointer
pointer_of(uint64_t key)
{
	return (gpointer)(uintptr_t)key;
}

static void
waiter_free(void *data)
{
	struct waiter *waiter = data;

	g_free(waiter->job);
	g_free(waiter);
}

/* Records that a job is cancelled, and ends it if it is open here. */
static bool
record(struct jcn *jcn, uint64_t key, int64_t since_ms, const char *from)
{
	bool is_new = ccl_add(jcn->cancelled, key, since_ms, clk_now_ms());
	const char *open = g_hash_table_lookup(jcn->jobs, pointer_of(key));
	g_autofree char *job = g_strdup(open);

	*jcn->n_cancelled = ccl_count(jcn->cancelled);
	if (job == NULL)
		return is_new;
	evt_write("cancel", evt_text("job", job), evt_text("from", from),
	    evt_bool("open", true));
	jcn->opts.cancel_open(job, jcn->opts.ctx);
	return is_new;
}

static void
on_ask(uint64_t relay, uint64_t key, void *ctx)
{
	run_cancelled job = {.key = key};
	struct jcn *jcn = ctx;

	agp_tell_cancelled(jcn->agents, relay, &job, 1);
}

static void
on_write(const uint64_t *keys, size_t n, void *ctx)
{
	struct jcn *jcn = ctx;

	G_STATIC_ASSERT(CFM_WRITE_MAX <= CST_WRITE_MAX);
	++*jcn->n_stored;
	cst_write(jcn->store, keys, n);
}

static void
on_written(bool ok, void *ctx)
{
	struct jcn *jcn = ctx;

	cfm_stored(jcn->confirm, ok, clk_now_ms());
}

static void
on_stored(uint64_t key, void *ctx)
{
	record(ctx, key, clk_now_ms(), "store");
}

static void
on_loaded(void *ctx)
{
	struct jcn *jcn = ctx;

	jcn->opts.loaded(jcn->opts.ctx);
}

static void
answer(je_answer_fn fn, void *ctx, bool confirmed, const char *reason)
{
	struct je_answer a = {
	    .result = confirmed ? JE_RUNNING : JE_REFUSED,
	    .reason = reason,
	    .retry_ms = CANCEL_RETRY_MS,
	};

	fn(&a, ctx);
}

static void
on_decided(void *data, bool confirmed, void *ctx)
{
	struct waiter *waiter = data;
	struct jcn *jcn = ctx;

	++*(confirmed ? jcn->confirmed : jcn->refused);
	evt_write("cancel", evt_text("job", waiter->job),
	    evt_text("from", "client"), evt_bool("confirmed", confirmed),
	    evt_int("ms", clk_now_ms() - waiter->since_ms));
	answer(waiter->fn, waiter->ctx, confirmed,
	    confirmed ? "cancelled" : "the cancel can't be stored now");
	waiter_free(waiter);
}

static void
make_counters(struct jcn *jcn)
{
	struct ctr_registry *reg = jcn->opts.counters;
	static const char help[] = "Callers' cancels by their answer.";

	jcn->confirmed =
	    ctr_counter(reg, "sp_cancels_total{answer=\"confirmed\"}", help);
	jcn->refused =
	    ctr_counter(reg, "sp_cancels_total{answer=\"refused\"}", help);
	jcn->n_stored = ctr_counter(reg, "sp_cancels_stored_total",
	    "Writes of cancels to the store, of several cancels each.");
	jcn->n_cancelled = ctr_gauge(
	    reg, "sp_jobs_cancelled", "Cancelled jobs that are remembered.");
}

struct jcn *
jcn_new(const struct jcn_options *opts)
{
	struct jcn *jcn = g_new0(struct jcn, 1);
	struct cfm_options confirm = {
	    .ask = on_ask,
	    .write = on_write,
	    .decided = on_decided,
	    .drop = waiter_free,
	    .ctx = jcn,
	};
	struct cst_options store = {
	    .ks = opts->ks,
	    .written = on_written,
	    .cancelled = on_stored,
	    .loaded = on_loaded,
	    .ctx = jcn,
	};

	jcn->opts = *opts;
	jcn->cancelled = ccl_new(opts->max_jobs);
	jcn->former_routes = frt_new();
	jcn->confirm = cfm_new(&confirm);
	jcn->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jcn->jobs = g_hash_table_new(NULL, NULL);
	make_counters(jcn);
	jcn->store = cst_new(&store);
	return jcn;
}

void
jcn_free(struct jcn *jcn)
{
	if (jcn == NULL)
		return;
	cst_free(jcn->store);
	cfm_free(jcn->confirm);
	ccl_free(jcn->cancelled);
	frt_free(jcn->former_routes);
	rts_unref(jcn->routes);
	g_hash_table_unref(jcn->jobs);
	g_hash_table_unref(jcn->keys);
	g_free(jcn);
}

void
jcn_tick(struct jcn *jcn)
{
	int64_t now_ms = clk_now_ms();

	cfm_set_agents(jcn->confirm, agp_n_agents(jcn->agents));
	cfm_tick(jcn->confirm, now_ms);
	cst_tick(jcn->store);
}

void
jcn_opened(struct jcn *jcn, const char *job, uint64_t key)
{
	char *id = g_strdup(job);

	g_hash_table_replace(jcn->keys, id, g_memdup2(&key, sizeof(key)));
	g_hash_table_insert(jcn->jobs, pointer_of(key), id);
}

void
jcn_closed(struct jcn *jcn, const char *job)
{
	uint64_t key = jcn_key_of(jcn, job);

	if (key == 0)
		return;
	g_hash_table_remove(jcn->jobs, pointer_of(key));
	g_hash_table_remove(jcn->keys, job);
}

uint64_t
jcn_key_of(const struct jcn *jcn, const char *job)
{
	const uint64_t *key = g_hash_table_lookup(jcn->keys, job);

	return key == NULL ? 0 : *key;
}

bool
jcn_is_open(const struct jcn *jcn, uint64_t key, const char *job)
{
	return jcn_key_of(jcn, job) == key;
}

bool
jcn_is_loaded(const struct jcn *jcn)
{
	return cst_is_loaded(jcn->store);
}

bool
jcn_is_cancelled(const struct jcn *jcn, uint64_t key)
{
	return ccl_has(jcn->cancelled, key, clk_now_ms());
}

void
jcn_cancel(
    struct jcn *jcn, uint64_t key, const char *job, je_answer_fn fn, void *ctx)
{
	int64_t now_ms = clk_now_ms();
	struct waiter *waiter;

	if (!jcn_is_cancelled(jcn, key) &&
	    ccl_is_full(jcn->cancelled, now_ms)) {
		/* Its tasks end all the same if it is open here. */
		if (g_hash_table_contains(jcn->jobs, pointer_of(key)))
			jcn->opts.cancel_open(job, jcn->opts.ctx);
		++*jcn->refused;
		evt_write("cancel", evt_text("job", job),
		    evt_text("from", "client"), evt_bool("confirmed", false),
		    evt_uint("remembered", ccl_count(jcn->cancelled)));
		answer(
		    fn, ctx, false, "too many cancelled jobs are remembered");
		return;
	}
	record(jcn, key, now_ms, "client");
	waiter = g_new0(struct waiter, 1);
	waiter->jcn = jcn;
	waiter->job = g_strdup(job);
	waiter->since_ms = now_ms;
	waiter->fn = fn;
	waiter->ctx = ctx;
	cfm_set_agents(jcn->confirm, agp_n_agents(jcn->agents));
	cfm_begin(jcn->confirm, key, waiter, now_ms);
}

/* An agent that was restarted learns what its former process knew. */
static void
teach(struct jcn *jcn, uint64_t relay)
{
	uint64_t end = ccl_position(jcn->cancelled);
	uint64_t from = end > MAX_TAUGHT_ROWS ? end - MAX_TAUGHT_ROWS : 0;
	struct ccl_row rows[MAX_TAUGHT_ROWS];
	run_cancelled jobs[MAX_TAUGHT_ROWS];
	size_t i, n = ccl_read(jcn->cancelled, &from, rows, MAX_TAUGHT_ROWS);

	for (i = 0; i < n; i++) {
		jobs[i].key = rows[i].key;
		jobs[i].age_ms = clk_now_ms() - rows[i].since_ms;
	}
	if (n > 0)
		agp_tell_cancelled(jcn->agents, relay, jobs, (uint32_t)n);
}

static void
on_relay_up(uint64_t relay, bool is_new, void *ctx)
{
	struct jcn *jcn = ctx;

	cfm_relay_up(jcn->confirm, relay);
	if (is_new)
		teach(jcn, relay);
}

static void
on_relay_down(uint64_t relay, void *ctx)
{
	struct jcn *jcn = ctx;

	cfm_relay_down(jcn->confirm, relay);
}

static void
on_cancelled(const struct run_cancelled_args *args, void *ctx)
{
	struct jcn *jcn = ctx;
	int64_t now_ms = clk_now_ms();
	uint32_t i;

	for (i = 0; i < args->jobs.jobs_len; i++) {
		const run_cancelled *job = &args->jobs.jobs_val[i];

		record(jcn, job->key, now_ms - job->age_ms, "agent");
	}
}

static void
on_known(uint64_t relay, const struct run_cancels_known_args *args, void *ctx)
{
	struct jcn *jcn = ctx;
	uint32_t i;

	for (i = 0; i < args->keys.keys_len; i++)
		cfm_known(jcn->confirm, relay, args->keys.keys_val[i]);
}

struct agp_cancels
jcn_receiver(struct jcn *jcn)
{
	return (struct agp_cancels){
	    .relay_up = on_relay_up,
	    .relay_down = on_relay_down,
	    .cancelled = on_cancelled,
	    .known = on_known,
	    .ctx = jcn,
	};
}

void
jcn_set_agents(struct jcn *jcn, struct agp *agents)
{
	jcn->agents = agents;
}

void
jcn_routes_changed(struct jcn *jcn, const struct rts *routes)
{
	if (routes == jcn->routes)
		return;
	if (jcn->routes != NULL && routes != NULL)
		frt_replace(
		    jcn->former_routes, jcn->routes, routes, clk_now_ms());
	rts_unref(jcn->routes);
	jcn->routes = routes == NULL ? NULL : rts_ref((struct rts *)routes);
}

bool
jcn_may_have_had_route(
    struct jcn *jcn, const char *host, const char *path, const char *job)
{
	int64_t now_ms = clk_now_ms();

	return frt_has(jcn->former_routes, host, path, job, now_ms) ||
	       !frt_is_complete(jcn->former_routes, now_ms);
}
