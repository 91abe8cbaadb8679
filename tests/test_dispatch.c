#include <string.h>

#include "replay.h"
#include "request/dispatch.h"
#include "runner.h"

/* The commands are listed in tests/cases/dispatch.txt. */

#define MAX_JOBS   16
#define MAX_AGENTS 4
#define MAX_TASKS  128

struct agent {
	char name[4];
	bool broken; /* nothing can be sent */
};

struct world {
	struct ctr_registry *counters;
	struct ident *ids;
	struct job_table *table;
	struct fresh *fresh;
	struct place *place;
	struct eject *eject;
	struct pool *pool;
	struct retry *retry;
	struct dispatch *dispatch;
	struct job *jobs[MAX_JOBS];
	struct agent agents[MAX_AGENTS];
	int64_t now_ms;
	uint64_t version;
	GString *log; /* what was sent and ended */
};

static bool
send_starts(void *agent, const wire_start *starts, size_t n, void *ctx)
{
	struct world *w = ctx;
	struct agent *a = agent;
	size_t i;

	if (a->broken)
		return false;
	g_string_append_printf(w->log, " %s[", a->name);
	for (i = 0; i < n; i++)
		g_string_append_printf(w->log, "%s%d=%s", i == 0 ? "" : " ",
		    (int)starts[i].seq, starts[i].task_id);
	g_string_append_c(w->log, ']');
	return true;
}

static void
send_withdraw(void *agent, const uint64_t *seqs, size_t n, void *ctx)
{
	struct world *w = ctx;
	size_t i;

	g_string_append_printf(
	    w->log, " withdraw:%s", ((struct agent *)agent)->name);
	for (i = 0; i < n; i++)
		g_string_append_printf(
		    w->log, "%s%d", i == 0 ? "" : ",", (int)seqs[i]);
}

static void
on_wake(void *ctx)
{
	(void)ctx;
}

static void
on_ended(struct job *job, void *ctx)
{
	struct world *w = ctx;

	g_string_append_printf(w->log, " %s:", job_id(job));
	if (job_state(job) == JOB_COMPLETE)
		g_string_append(w->log, "complete");
	else
		g_string_append_printf(w->log, "%s,%s",
		    job_cause_name(job_cause(job)), job_ran_name(job_ran(job)));
}

/* Takes a configuration in which the given domain, if any, is out. */
static void
configure(struct world *w, const char *out)
{
	struct cfg_out mark = {CFG_FAILURE_DOMAIN, out};
	struct cfg_parts parts = {
	    .version = ++w->version,
	    .change_id = "c",
	    .text = "{\"failure_domains\": [{\"name\": \"x\", \"entries\": "
		    "true}, {\"name\": \"y\", \"entries\": true}], "
		    "\"services\": [{\"name\": \"s\"}]}",
	    .outs = &mark,
	    .n_outs = out != NULL ? 1 : 0,
	};
	char *document = cfg_write(&parts);
	struct status st;
	struct cfg *cfg = cfg_parse(document, strlen(document), &st);

	ck_assert_msg(cfg != NULL, "%s", st.message);
	fresh_update(w->fresh, cfg);
	cfg_unref(cfg);
	g_free(document);
	pool_refresh(w->pool, w->now_ms);
}

static void
make_dispatch(struct world *w)
{
	struct place_options place = {
	    .policy = PLACE_EARLIEST_FINISH, .failure_domain = "x"};
	struct pool_options pool;
	struct rty_options retry = {
	    .percent = 50, .burst = 10, .max_attempts = 3};
	struct dsp_options dispatch = {
	    .max_outstanding = 8,
	    .grace_ms = 100,
	    .start = send_starts,
	    .withdraw = send_withdraw,
	    .wake = on_wake,
	    .ended = on_ended,
	    .ctx = w,
	};

	w->place = place_new(&place);
	w->eject = ej_new();
	pool = (struct pool_options){w->place, w->eject, w->fresh};
	w->pool = pool_new(&pool);
	w->retry = rty_new(&retry);
	dispatch.place = w->place;
	dispatch.pool = w->pool;
	dispatch.fresh = w->fresh;
	dispatch.retry = w->retry;
	dispatch.counters = w->counters;
	w->dispatch = dsp_new(&dispatch);
}

static void *
start(void)
{
	static const uint8_t key[ID_KEY_BYTES];
	struct world *w = g_new0(struct world, 1);
	struct job_options jobs = {.max_jobs = 100,
	    .max_answer_bytes = 100,
	    .max_bytes = 10000,
	    .max_waiters = 1,
	    .retention_ms = 100000};

	w->ids = jobs.ids = id_new(1, key);
	w->table = job_table_new(&jobs);
	w->counters = ctr_new();
	w->fresh = fresh_new(3000);
	w->log = g_string_new(NULL);
	make_dispatch(w);
	configure(w, NULL);
	fresh_confirm(w->fresh, w->version, 0);
	return w;
}

static void
end(void *ctx)
{
	struct world *w = ctx;
	int i;

	dsp_free(w->dispatch);
	job_table_free(w->table);
	for (i = 0; i < MAX_JOBS; i++) {
		if (w->jobs[i] != NULL)
			job_unref(w->jobs[i]);
	}
	pool_free(w->pool);
	ej_free(w->eject);
	place_free(w->place);
	rty_free(w->retry);
	fresh_free(w->fresh);
	id_free(w->ids);
	ctr_free(w->counters);
	g_string_free(w->log, TRUE);
	g_free(w);
}

/* Queues a job of tasks whose times and sizes are given. */
static void
put(struct world *w, struct job_spec *spec, struct job_task_spec *tasks)
{
	struct job *job;
	uint32_t i;

	spec->service = "s";
	spec->team = "t";
	spec->tasks = tasks;
	for (i = 0; i < spec->n_tasks; i++)
		tasks[i].payload = g_bytes_new("x", 1);
	ck_assert_int_eq(job_put(w->table, spec, &job), JOB_CREATED);
	w->jobs[atoi(spec->id)] = job_ref(job);
	for (i = 0; i < spec->n_tasks; i++)
		g_bytes_unref(tasks[i].payload);
	rty_count_request(w->retry);
	dsp_submit(w->dispatch, job);
}

/* submit ID TASKS DEADLINE [get|post]: the last makes a single request. */
static void
submit(struct world *w, char **words)
{
	struct job_task_spec tasks[MAX_TASKS] = {0};
	struct job_spec spec = {.id = words[1],
	    .counter = (uint64_t)atoi(words[1]),
	    .n_tasks = (uint32_t)atoi(words[2]),
	    .deadline_ms = atoi(words[3])};

	if (words[4] != NULL) {
		spec.counter = 0;
		spec.method = words[4];
		spec.idempotent = strcmp(words[4], "get") == 0;
	}
	put(w, &spec, tasks);
}

/* tasks ID DEADLINE COUNTxRUN_MS:MEMORY_MB ... */
static void
submit_tasks(struct world *w, char **words)
{
	struct job_task_spec tasks[MAX_TASKS] = {0};
	struct job_spec spec = {.id = words[1],
	    .counter = (uint64_t)atoi(words[1]),
	    .deadline_ms = atoi(words[2])};
	int count, run_ms, memory_mb;

	for (words += 3; *words != NULL; words++) {
		ck_assert_int_eq(
		    sscanf(*words, "%dx%d:%d", &count, &run_ms, &memory_mb), 3);
		while (count-- > 0) {
			tasks[spec.n_tasks].run_ms = run_ms;
			tasks[spec.n_tasks++].memory_mb = (uint64_t)memory_mb;
		}
	}
	put(w, &spec, tasks);
}

/* done|unknown|unstarted AGENT SEQ [STATUS|REASON] */
static void
outcome(struct world *w, char **words)
{
	wire_result result;
	int last = words[3] != NULL ? atoi(words[3]) : 0;

	memset(&result, 0, sizeof(result));
	result.seq = (uint64_t)atoi(words[2]);
	if (strcmp(words[0], "done") == 0) {
		result.outcome = WIRE_DONE;
		result.status = last != 0 ? (uint32_t)last : 200;
		result.run_us = 1000;
	} else if (strcmp(words[0], "unknown") == 0) {
		result.outcome = WIRE_UNKNOWN;
		result.reason = WIRE_REASON_BROKEN;
	} else {
		result.outcome = WIRE_NOT_STARTED;
		result.reason =
		    last != 0 ? (wire_reason)last : WIRE_REASON_SEALED;
	}
	dsp_outcome(
	    w->dispatch, &w->agents[atoi(words[1])], &result, w->now_ms);
}

/* agent N DOMAIN SLOTS [MEMORY_MB] */
static void
agent_up(struct world *w, char **words)
{
	struct agent *a = &w->agents[atoi(words[1])];
	struct place_worker worker = {.name = a->name,
	    .failure_domain = words[2],
	    .service = "s",
	    .slots = (uint32_t)atoi(words[3]),
	    .cores = 1,
	    .memory_mb = words[4] != NULL ? (uint64_t)atoi(words[4]) : 1};

	g_snprintf(a->name, sizeof(a->name), "a%.1s", words[1]);
	pool_set_connected(w->pool, a, &worker, w->now_ms);
}

static bool
step_world(struct world *w, char **words)
{
	const char *name = words[0];

	if (strcmp(name, "at") == 0) {
		w->now_ms = atoi(words[1]);
		pool_refresh(w->pool, w->now_ms);
		dsp_tick(w->dispatch, w->now_ms);
	} else if (strcmp(name, "confirm") == 0) {
		fresh_confirm(w->fresh, w->version, w->now_ms);
	} else if (strcmp(name, "out") == 0) {
		configure(w, words[1]);
	} else if (strcmp(name, "agent") == 0) {
		agent_up(w, words);
	} else if (strcmp(name, "down") == 0) {
		pool_set_disconnected(w->pool, &w->agents[atoi(words[1])]);
	} else if (strcmp(name, "break") == 0) {
		w->agents[atoi(words[1])].broken = true;
	} else {
		return false;
	}
	return true;
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct world *w = ctx;

	if (strcmp(words[0], "submit") == 0)
		submit(w, words);
	else if (strcmp(words[0], "tasks") == 0)
		submit_tasks(w, words);
	else if (strcmp(words[0], "cancel") == 0)
		dsp_cancel(w->dispatch, w->jobs[atoi(words[1])], w->now_ms);
	else if (strcmp(words[0], "run") == 0)
		dsp_place_tasks(w->dispatch, w->now_ms);
	else if (strcmp(words[0], "open") == 0)
		g_string_append_printf(actual, "%u open %u waiting %d next",
		    dsp_outstanding(w->dispatch), dsp_waiting(w->dispatch, "s"),
		    (int)dsp_next_seq(w->dispatch));
	else if (!step_world(w, words))
		outcome(w, words);
	g_string_append(actual, w->log->str);
	g_string_truncate(w->log, 0);
}

/* Each case says which failure it guards against. */
START_TEST(replay_cases)
{
	static const struct replay replay = {start, end, step};
	char *error = replay_file("tests/cases/dispatch.txt", &replay);

	ck_assert_msg(error == NULL, "%s", error);
}
END_TEST

TEST_MAIN("dispatch", 0, replay_cases)
