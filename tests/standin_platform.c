/*
 * Test platform: a key-value store, and workers that run tasks under leases.
 * It counts violations of guarantees: "limit" counts starts beyond a worker's
 * capacity, "twice" starts of a task that is already running, "evacuated" starts
 * in a zone that is to get none.
 *
 * The spec of a task is its run time in milliseconds, "fail" for a task that
 * fails at once, or "crash" for one that crashes its worker: the worker is
 * silent for CRASH_MS and then starts again.
 *
 * PUT    /control/key?key=K      writes the body to the store, as an operator
 * DELETE /control/key?key=K      removes the key from the store
 * GET    /control/counts         counters since the process started
 * GET    /control/starts?job=ID  starts of the job's tasks, the last one's time and
 *                                spec
 * GET    /control/worker?index=N what worker N says of itself; 0: the first
 * GET    /control/mode?...       injects faults; worker -1 means none:
 *   store=down|up  while down, the store answers 503 and leaves watches open
 *   late=PERCENT   of the run-start and run-stop calls get no answer and are
 *                  executed 300 to 1500 ms later
 *   late_stops=MS  every run-stop call gets no answer and is executed MS later;
 *                  0: at once
 *   fail=N         all tasks of worker N fail
 *   stall=N        tasks of worker N make no progress
 *   odd=N          worker N reports progress of -2^63 and 2^63 - 1 by turns
 *   drain=N        worker N reports itself as draining
 *   mute=N         worker N answers no calls and sends no heartbeats
 *   crash=N        worker N loses its state and restarts at once
 *   down=N         worker N crashes and is silent for down_ms
 *   down_ms=MS
 *   keep_start=1   the next run-start call gets no answer, and is executed by
 *                  the worker's next life at the age of late_start_ms
 *   late_start_ms=MS
 *   beats=0        no worker sends heartbeats
 *   capacity=MILLI CPU of every worker from now on
 *   keep_id=1      a worker that a task has crashed returns under its id
*/
#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jsonreply.h"
#include "kvstandin.h"
#include "process/clock.h"

#define MAX_WORKERS	    8
#define CAPACITY_MILLI	    8000
#define TASK_MILLI	    1000 /* CPU that each test task asks for */
#define LEASE_MAX_MS	    1000 /* longest lease granted by one call */
#define WORKER_HEARTBEAT_MS 200
#define RUN_TICK_MS	    5
#define RUN_STOP_MS	    20 /* from a run-stop call to the run's end */
/* After a worker has shrunk, starts beyond its capacity count from then on. */
#define SHRINK_GRACE_MS 3200
#define CRASH_MS	1000
#define CRASH_AFTER_MS	10 /* from the start of the task */
#define DEFERRED_MIN_MS 300
#define DEFERRED_MAX_MS 1500
#define INSTANCES	"/sequoiaplank/instances/"
#define EVACUATE_KEY	"op/evacuate/" /* followed by a zone */
/* After its evacuation a zone may get starts for this long. */
#define EVACUATE_MS	    5000
#define HEARTBEAT_TIMEOUT_S 2

struct run {
	char *task;
	int64_t number;
	int64_t remaining_ms;
	int64_t total_ms;
	int64_t stop_at_ms; /* 0: not being stopped */
	bool fails;
	bool crashes;
};

struct worker {
	int index;
	guint app_port;	    /* serves hold, run-start and run-stop */
	guint control_port; /* of the agent that heartbeats go to */
	char *zone;
	int64_t born_ms;       /* start of this incarnation, wall clock */
	int64_t seq;	       /* of the last heartbeat */
	int64_t fencing_token; /* highest fencing token received */
	int64_t deadline_ms;   /* end of the lease, on the worker's clock */
	int64_t last_end_seq;
	GPtrArray *runs;	   /* struct run */
	struct json_object *ended; /* ended runs to report */
	GHashTable *closed_runs;   /* task -> highest run ended or stopped */
	GPtrArray *holds;	   /* struct hold of hold calls */
	int64_t back_at_ms;	   /* end of a crash; 0: the worker is up */
	struct deferred_call *late_start; /* for its next life */
	int64_t former_token; /* highest fencing token of its former life */
	int64_t fenced_ms; /* age at which it saw a higher one, -1: not yet */
	char id[16];
	int n_ids; /* ids that it has had before */
};

/* A call that can extend the worker's lease and waits for ended runs. */
struct hold {
	SoupServerMessage *msg;
	int64_t until_ms; /* answered then at the latest */
};

static struct worker workers[MAX_WORKERS];
static int n_workers;
static guint store_port;
static SoupSession *session;
static struct {
	int starts, done, failed, limit, twice, lapsed, malformed, crashes;
	int evacuated;
} counts;
static GHashTable *evacuations; /* zone to the time, int64_t */
static struct {
	int deferred_percent;
	int late_stops_ms;
	int keep_start, late_start_ms, down_ms;
	int fail, stall, drain, mute, odd;
	int beats;
	int keep_id;
	int capacity_milli;
	int64_t capacity_since_ms;
} mode = {.fail = -1,
    .stall = -1,
    .drain = -1,
    .mute = -1,
    .odd = -1,
    .beats = 1,
    .capacity_milli = CAPACITY_MILLI};
/* The starts of one job's tasks on all workers. */
struct job_starts {
	int n;
	int64_t last_ms;
	struct json_object *spec; /* of the last one */
};
static GHashTable *starts_of_jobs; /* id to struct job_starts */

/* The workers. */

static int64_t
worker_clock(const struct worker *w)
{
	return clk_wall_ms() - w->born_ms;
}

static void
run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static struct run *
find_run(const struct worker *w, const char *task, int64_t number)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->number == number)
			return run;
	}
	return NULL;
}

static void
close_run(struct worker *w, const char *task, int64_t number)
{
	int64_t *highest = g_hash_table_lookup(w->closed_runs, task);

	if (highest != NULL && *highest >= number)
		return;
	g_hash_table_replace(
	    w->closed_runs, g_strdup(task), g_memdup2(&number, sizeof(number)));
}

static int64_t
percent_of(const struct worker *w, const struct run *run)
{
	static bool turn;

	turn = !turn;
	if (mode.odd == w->index)
		return turn ? INT64_MIN : INT64_MAX;
	return 100 - run->remaining_ms * 100 / MAX(run->total_ms, 1);
}

static void
answer_hold(struct worker *w, struct hold *hold)
{
	struct json_object *body = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	struct json_object *ended = json_object_new_array();
	size_t i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int64(run->number));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(
		    row, json_object_new_int64(percent_of(w, run)));
		json_object_array_add(rows, row);
	}
	for (i = 0; i < json_object_array_length(w->ended); i++)
		json_object_array_add(ended,
		    json_object_get(json_object_array_get_idx(w->ended, i)));
	json_object_object_add(body, "running", rows);
	json_object_object_add(body, "ended", ended);
	jrep_add_int(body, "clock_ms", worker_clock(w));
	jrep_add_int(body, "born", w->born_ms);
	jrep_send(hold->msg, 200, body);
	soup_server_message_unpause(hold->msg);
	g_object_unref(hold->msg);
	g_free(hold);
}

static void
check_holds(struct worker *w)
{
	guint i = 0;

	while (i < w->holds->len) {
		struct hold *hold = w->holds->pdata[i];

		if (json_object_array_length(w->ended) == 0 &&
		    clk_now_ms() < hold->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(w->holds, i);
		answer_hold(w, hold);
	}
}

static void
end_run(struct worker *w, guint index, const char *how)
{
	struct run *run = w->runs->pdata[index];
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_int64(++w->last_end_seq));
	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int64(run->number));
	json_object_array_add(row, json_object_new_string(how));
	json_object_array_add(row, json_object_new_string(""));
	json_object_array_add(w->ended, row);
	close_run(w, run->task, run->number);
	g_ptr_array_remove_index(w->runs, index);
}

static void
free_job_starts(gpointer data)
{
	struct job_starts *starts = data;

	json_object_put(starts->spec);
	g_free(starts);
}

static void
count_start(const char *task, struct json_object *body)
{
	char *job = g_strndup(task, strcspn(task, "."));
	struct job_starts *starts = g_hash_table_lookup(starts_of_jobs, job);

	if (starts == NULL) {
		starts = g_new0(struct job_starts, 1);
		g_hash_table_insert(starts_of_jobs, g_strdup(job), starts);
	}
	starts->n++;
	starts->last_ms = clk_now_ms();
	json_object_put(starts->spec);
	starts->spec = json_object_get(json_object_object_get(body, "spec"));
	g_free(job);
}

/* The worker that has a run of the task, or NULL. */
static const struct worker *
worker_of(const char *task)
{
	guint j;
	int i;

	for (i = 0; i < n_workers; i++) {
		for (j = 0; j < workers[i].runs->len; j++) {
			const struct run *run = workers[i].runs->pdata[j];
			if (strcmp(run->task, task) == 0)
				return &workers[i];
		}
	}
	return NULL;
}

static const char *
up_text(const struct worker *w)
{
	return w->back_at_ms == 0 ? "up" : "crashed";
}

/* Notes that an operator evacuates a zone, or takes that back. */
static void
note_evacuation(const char *key, bool begins)
{
	const char *zone = key + strlen(EVACUATE_KEY);
	int64_t now_ms = clk_now_ms();

	if (!g_str_has_prefix(key, EVACUATE_KEY))
		return;
	if (begins)
		g_hash_table_replace(evacuations, g_strdup(zone),
		    g_memdup2(&now_ms, sizeof(now_ms)));
	else
		g_hash_table_remove(evacuations, zone);
}

static bool
is_evacuated(const char *zone)
{
	const int64_t *since_ms = g_hash_table_lookup(evacuations, zone);

	return since_ms != NULL && clk_now_ms() - *since_ms > EVACUATE_MS;
}

static void
add_run(struct worker *w, struct json_object *body)
{
	struct run *run = g_new0(struct run, 1);
	const struct worker *other;

	counts.starts++;
	run->task = g_strdup(jrep_string(body, "task"));
	run->number = jrep_int(body, "run");
	run->total_ms = run->remaining_ms = atoll(jrep_string(body, "spec"));
	run->fails = strcmp(jrep_string(body, "spec"), "fail") == 0;
	run->crashes = strcmp(jrep_string(body, "spec"), "crash") == 0;
	if (run->crashes)
		run->remaining_ms = run->total_ms = CRASH_AFTER_MS;
	other = worker_of(run->task);
	if (other != NULL) {
		counts.twice++;
		printf("%" G_GINT64_FORMAT " twice: %s on worker %d (%s) and "
		       "%d (%s)\n",
		    clk_wall_ms(), run->task, w->index, up_text(w),
		    other->index, up_text(other));
		fflush(stdout);
	}
	count_start(run->task, body);
	g_ptr_array_add(w->runs, run);
	if ((int)w->runs->len * TASK_MILLI > mode.capacity_milli &&
	    clk_now_ms() - mode.capacity_since_ms > SHRINK_GRACE_MS)
		counts.limit++;
	if (is_evacuated(w->zone))
		counts.evacuated++;
}

static void
see_token(struct worker *w, int64_t token)
{
	w->fencing_token = MAX(w->fencing_token, token);
	if (w->fenced_ms < 0 && token > w->former_token)
		w->fenced_ms = worker_clock(w);
}

/*
 * Starts a run unless it is running.  Returns NULL or the reason for a refusal:
 * "fence" (a higher fencing token was received before), "late" (the deadline
 * has passed) or "old" (this or a later run of the task ended or was stopped).
 */
static const char *
start_run(struct worker *w, struct json_object *body)
{
	const char *task = jrep_string(body, "task");
	const int64_t *highest = g_hash_table_lookup(w->closed_runs, task);
	int64_t deadline_ms = jrep_int(body, "deadline_ms");

	if (jrep_int(body, "fencing_token") < w->fencing_token)
		return "fence";
	see_token(w, jrep_int(body, "fencing_token"));
	if (deadline_ms <= worker_clock(w))
		return "late";
	w->deadline_ms = MAX(
	    w->deadline_ms, MIN(deadline_ms, worker_clock(w) + LEASE_MAX_MS));
	if (highest != NULL && *highest >= jrep_int(body, "run"))
		return "old";
	if (find_run(w, task, jrep_int(body, "run")) == NULL)
		add_run(w, body);
	return NULL;
}

static const char *
stop_run(struct worker *w, struct json_object *body)
{
	const char *task = jrep_string(body, "task");
	int64_t number = jrep_int(body, "run");
	guint i;

	if (jrep_int(body, "fencing_token") < w->fencing_token)
		return "fence";
	close_run(w, task, number);
	for (i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->number <= number &&
		    run->stop_at_ms == 0)
			run->stop_at_ms = clk_now_ms() + RUN_STOP_MS;
	}
	return NULL;
}

static const char *
execute_call(struct worker *w, const char *path, struct json_object *body)
{
	return g_str_has_suffix(path, "run-start") ? start_run(w, body)
						   : stop_run(w, body);
}

/* A call that gets no answer but is executed later. */
struct deferred_call {
	struct worker *worker;
	char *id; /* of the worker that it is meant for */
	char *path;
	struct json_object *body;
};

static gboolean
on_deferred_call(gpointer data)
{
	struct deferred_call *deferred_call =
	    data; /* A crashed worker does nothing, and another one refuses the call. */
	if (deferred_call->worker->back_at_ms == 0 &&
	    strcmp(deferred_call->id, deferred_call->worker->id) == 0)
		execute_call(deferred_call->worker, deferred_call->path,
		    deferred_call->body);
	g_free(deferred_call->id);
	g_free(deferred_call->path);
	json_object_put(deferred_call->body);
	g_free(deferred_call);
	return G_SOURCE_REMOVE;
}

/* Delay after which a call is executed without an answer; 0: with one. */
static guint
deferral_ms(const char *path)
{
	if (g_str_has_suffix(path, "hold"))
		return 0;
	if (mode.late_stops_ms > 0 && g_str_has_suffix(path, "run-stop"))
		return (guint)mode.late_stops_ms;
	if (g_random_int_range(0, 100) >= mode.deferred_percent)
		return 0;
	return (guint)g_random_int_range(DEFERRED_MIN_MS, DEFERRED_MAX_MS);
}

static struct deferred_call *
deferred_call_new(struct worker *w, const char *path, struct json_object *body)
{
	struct deferred_call *deferred_call = g_new0(struct deferred_call, 1);

	deferred_call->worker = w;
	deferred_call->id = g_strdup(w->id);
	deferred_call->path = g_strdup(path);
	deferred_call->body = json_object_get(body);
	return deferred_call;
}

static void
defer_call(struct worker *w, SoupServerMessage *msg, const char *path,
    struct json_object *body, guint delay_ms)
{
	g_timeout_add(
	    delay_ms, on_deferred_call, deferred_call_new(w, path, body));
	soup_server_message_pause(msg); /* until the caller closes */
}

static void
set_id(struct worker *w)
{
	if (w->n_ids == 0)
		g_snprintf(w->id, sizeof(w->id), "w%d", w->index);
	else
		g_snprintf(w->id, sizeof(w->id), "w%d-%d", w->index, w->n_ids);
}

/* Calls in progress get no answer.  What runs ends at once. */
static void
crash_worker(struct worker *w, int64_t down_ms)
{
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->holds, 0);
	w->back_at_ms = clk_now_ms() + down_ms;
	w->n_ids += mode.keep_id == 0;
	set_id(w);
	counts.crashes++;
}

static void
take_hold(struct worker *w, SoupServerMessage *msg, struct json_object *body)
{
	struct hold *hold = g_new0(struct hold, 1);
	int64_t last = jrep_int(body, "last_seen");
	int64_t deadline_ms = jrep_int(body, "deadline_ms");
	size_t i = 0;

	see_token(w, jrep_int(body, "fencing_token"));
	if (deadline_ms > 0)
		w->deadline_ms = MAX(w->deadline_ms,
		    MIN(deadline_ms, worker_clock(w) + LEASE_MAX_MS));
	while (i < json_object_array_length(w->ended)) {
		struct json_object *row =
		    json_object_array_get_idx(w->ended, i);

		if (json_object_get_int64(json_object_array_get_idx(row, 0)) <=
		    last)
			json_object_array_del_idx(w->ended, i, 1);
		else
			i++;
	}
	hold->msg = g_object_ref(msg);
	hold->until_ms = clk_now_ms() + jrep_int(body, "wait_ms");
	soup_server_message_pause(msg);
	g_ptr_array_add(w->holds, hold);
	check_holds(w);
}

/* Whether the call is meant for this worker. */
static bool
is_expected(const struct worker *w, SoupServerMessage *msg)
{
	const char *id = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg),
	    "X-Expected-Instance");

	return id == NULL || strcmp(id, w->id) == 0;
}

static void
on_worker(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct worker *w = data;
	struct json_object *body = jrep_body(msg);
	struct json_object *answer;
	const char *reason;
	guint delay_ms;

	(void)server;
	(void)query;
	if (mode.mute == w->index || w->back_at_ms != 0) {
		g_clear_pointer(&body, json_object_put);
		soup_server_message_pause(msg); /* until the caller closes */
		return;
	}
	if (!is_expected(w, msg)) {
		g_clear_pointer(&body, json_object_put);
		jrep_send(msg, 421, json_object_new_object());
		return;
	}
	if (body == NULL) {
		counts.malformed++;
		jrep_send(msg, 400, json_object_new_object());
		return;
	}
	delay_ms = deferral_ms(path);
	if (mode.keep_start != 0 && g_str_has_suffix(path, "run-start")) {
		mode.keep_start = 0;
		w->late_start = deferred_call_new(w, path, body);
		soup_server_message_pause(msg); /* until the caller closes */
	} else if (delay_ms > 0) {
		defer_call(w, msg, path, body, delay_ms);
	} else if (g_str_has_suffix(path, "hold")) {
		take_hold(w, msg, body);
	} else {
		reason = execute_call(w, path, body);
		answer = json_object_new_object();
		jrep_add_int(answer, "clock_ms", worker_clock(w));
		if (reason != NULL)
			json_object_object_add(
			    answer, "reason", json_object_new_string(reason));
		jrep_send(msg, reason == NULL ? 200 : 409, answer);
	}
	json_object_put(body);
}

static void
reset_worker(struct worker *w)
{
	w->born_ms = clk_wall_ms();
	w->former_token = MAX(w->former_token, w->fencing_token);
	w->fenced_ms = -1;
	w->seq = w->fencing_token = w->deadline_ms = w->last_end_seq = 0;
	g_ptr_array_set_size(w->runs, 0);
	json_object_put(w->ended);
	w->ended = json_object_new_array();
	g_hash_table_remove_all(w->closed_runs);
	w->back_at_ms = 0;
	if (w->late_start != NULL)
		g_timeout_add((guint)mode.late_start_ms, on_deferred_call,
		    g_steal_pointer(&w->late_start));
}

static void
advance_run(struct worker *w, guint index, int64_t elapsed_ms)
{
	struct run *run = w->runs->pdata[index];

	if (mode.stall != w->index)
		run->remaining_ms -= elapsed_ms;
	if (run->stop_at_ms != 0 && clk_now_ms() >= run->stop_at_ms) {
		end_run(w, index, "stopped");
	} else if (run->fails || mode.fail == w->index) {
		counts.failed++;
		end_run(w, index, "failed");
	} else if (run->remaining_ms <= 0 && run->crashes) {
		crash_worker(w, CRASH_MS);
	} else if (run->remaining_ms <= 0) {
		counts.done++;
		end_run(w, index, "done");
	}
}

static gboolean
on_tick(gpointer data)
{
	static int64_t last_ms;
	int64_t now_ms = clk_now_ms();
	int64_t elapsed_ms = last_ms == 0 ? 0 : now_ms - last_ms;
	guint j;
	int i;

	(void)data;
	last_ms = now_ms;
	for (i = 0; i < n_workers; i++) {
		struct worker *w = &workers[i];
		bool lapsed = worker_clock(w) > w->deadline_ms;

		if (w->back_at_ms != 0 && now_ms >= w->back_at_ms)
			reset_worker(w);
		for (j = w->runs->len; j > 0; j--) {
			if (j > w->runs->len)
				continue; /* the worker has crashed */
			if (lapsed) {
				counts.lapsed++;
				end_run(w, j - 1, "lapsed");
			} else {
				advance_run(w, j - 1, elapsed_ms);
			}
		}
		check_holds(w);
	}
	kvs_check_watches();
	return G_SOURCE_CONTINUE;
}

static void
send_heartbeat(struct worker *w)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%u" INSTANCES "%s", w->control_port, w->id);
	g_autofree char *text = g_strdup_printf(
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
	    "\"mem_mb\":4096,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
	    "\"clock_ms\":%" G_GINT64_FORMAT ",\"seq\":%" G_GINT64_FORMAT
	    ",\"born\":%" G_GINT64_FORMAT "}",
	    w->app_port, w->zone, mode.drain == w->index ? "draining" : "ready",
	    mode.capacity_milli, worker_clock(w), ++w->seq, w->born_ms);
	SoupMessage *msg = soup_message_new("PUT", url);
	GBytes *body = g_bytes_new(text, strlen(text));

	soup_message_set_request_body_from_bytes(msg, "application/json", body);
	soup_session_send_and_read_async(
	    session, msg, G_PRIORITY_DEFAULT, NULL, NULL, NULL);
	g_bytes_unref(body);
	g_object_unref(msg);
}

static gboolean
on_heartbeat(gpointer data)
{
	int i;

	(void)data;
	for (i = 0; i < n_workers; i++) {
		if (mode.mute != i && mode.beats != 0 &&
		    workers[i].back_at_ms == 0)
			send_heartbeat(&workers[i]);
	}
	return G_SOURCE_CONTINUE;
}

/* Control. */

static void
set_number(GHashTable *query, const char *key, int *to)
{
	const char *text = jrep_param(query, key);

	if (*text != '\0')
		*to = atoi(text);
}

static void
set_mode(GHashTable *query)
{
	int crash = -1, down = -1, capacity_milli = mode.capacity_milli;

	if (*jrep_param(query, "store") != '\0')
		kvs_set_down(strcmp(jrep_param(query, "store"), "down") == 0);
	set_number(query, "late", &mode.deferred_percent);
	set_number(query, "late_stops", &mode.late_stops_ms);
	set_number(query, "keep_start", &mode.keep_start);
	set_number(query, "late_start_ms", &mode.late_start_ms);
	set_number(query, "down_ms", &mode.down_ms);
	set_number(query, "fail", &mode.fail);
	set_number(query, "stall", &mode.stall);
	set_number(query, "drain", &mode.drain);
	set_number(query, "mute", &mode.mute);
	set_number(query, "odd", &mode.odd);
	set_number(query, "beats", &mode.beats);
	set_number(query, "keep_id", &mode.keep_id);
	set_number(query, "capacity", &mode.capacity_milli);
	if (mode.capacity_milli < capacity_milli)
		mode.capacity_since_ms = clk_now_ms();
	set_number(query, "crash", &crash);
	if (crash >= 0 && crash < n_workers)
		reset_worker(&workers[crash]);
	set_number(query, "down", &down);
	if (down >= 0 && down < n_workers)
		crash_worker(&workers[down], mode.down_ms);
	on_heartbeat(NULL);
}

static struct json_object *
starts_json(const char *job)
{
	struct json_object *body = json_object_new_object();
	const struct job_starts *starts =
	    g_hash_table_lookup(starts_of_jobs, job);

	jrep_add_int(body, "starts", starts != NULL ? starts->n : 0);
	jrep_add_int(body, "last_ms", starts != NULL ? starts->last_ms : 0);
	json_object_object_add(body, "spec",
	    starts != NULL ? json_object_get(starts->spec) : NULL);
	return body;
}

static struct json_object *
counts_json(void)
{
	struct json_object *body = json_object_new_object();
	int i, running = 0;

	for (i = 0; i < n_workers; i++)
		running += (int)workers[i].runs->len;
	jrep_add_int(body, "starts", counts.starts);
	jrep_add_int(body, "done", counts.done);
	jrep_add_int(body, "failed", counts.failed);
	jrep_add_int(body, "limit", counts.limit);
	jrep_add_int(body, "twice", counts.twice);
	jrep_add_int(body, "evacuated", counts.evacuated);
	jrep_add_int(body, "lapsed", counts.lapsed);
	jrep_add_int(body, "malformed", counts.malformed);
	jrep_add_int(body, "crashes", counts.crashes);
	jrep_add_int(body, "running", running);
	return body;
}

static struct json_object *
worker_json(const struct worker *w)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "id", json_object_new_string(w->id));
	jrep_add_int(body, "app_port", w->app_port);
	jrep_add_int(body, "born", w->born_ms);
	jrep_add_int(body, "seq", w->seq);
	jrep_add_int(body, "clock_ms", worker_clock(w));
	jrep_add_int(body, "capacity_milli", mode.capacity_milli);
	jrep_add_int(body, "fenced_ms", w->fenced_ms);
	jrep_add_int(body, "kept_start", w->late_start != NULL);
	return body;
}

static struct json_object *
control_json(const char *path, GHashTable *query)
{
	int index = atoi(jrep_param(query, "index"));

	if (g_str_has_suffix(path, "starts"))
		return starts_json(jrep_param(query, "job"));
	if (g_str_has_suffix(path, "worker"))
		return worker_json(&workers[CLAMP(index, 0, n_workers - 1)]);
	return counts_json();
}

static void
on_store(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	(void)server;
	(void)data;
	kvs_handle(msg, path, query);
}

static void
on_control(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	const char *method = soup_server_message_get_method(msg);

	(void)server;
	(void)data;
	if (g_str_has_suffix(path, "key")) {
		kvs_write(jrep_param(query, "key"),
		    strcmp(method, "DELETE") == 0
			? NULL
			: g_bytes_new(body->data, (gsize)body->length));
		note_evacuation(
		    jrep_param(query, "key"), strcmp(method, "DELETE") != 0);
	} else if (g_str_has_suffix(path, "mode"))
		set_mode(query);
	jrep_send(msg, 200, control_json(path, query));
}

static void
serve(guint port, SoupServerCallback handler, gpointer data)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GError *error = NULL;

	soup_server_add_handler(server, NULL, handler, data, NULL);
	if (data == NULL)
		soup_server_add_handler(
		    server, "/control", on_control, NULL, NULL);
	if (!soup_server_listen(server, address, 0, &error)) {
		fprintf(stderr, "standin_platform: %s\n", error->message);
		exit(EXIT_FAILURE);
	}
	g_object_unref(address);
}

/* APP_PORT:CONTROL_PORT:ZONE */
static bool
add_worker(const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, ":", 3);
	struct worker *w = &workers[n_workers];

	if (g_strv_length(parts) != 3 || n_workers == MAX_WORKERS)
		return false;
	w->index = n_workers++;
	w->app_port = (guint)atoi(parts[0]);
	w->control_port = (guint)atoi(parts[1]);
	w->zone = g_strdup(parts[2]);
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->closed_runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->holds = g_ptr_array_new();
	set_id(w);
	reset_worker(w);
	serve(w->app_port, on_worker, w);
	return true;
}

static const struct argp_option options[] = {
    {"store", 's', "PORT", 0, "Port of the store and of /control", 0},
    {"worker", 'w', "APP:CONTROL:ZONE", 0, "Adds a worker", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 's':
		store_port = (guint)atoi(arg);
		return 0;
	case 'w':
		if (!add_worker(arg))
			argp_error(state, "invalid worker \"%s\"", arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	const struct argp parser = {options, parse_option, 0, 0, 0, 0, 0};

	signal(SIGPIPE, SIG_IGN);
	evacuations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	kvs_open();
	starts_of_jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_job_starts);
	session = soup_session_new_with_options(
	    "proxy-resolver", NULL, "timeout", HEARTBEAT_TIMEOUT_S, NULL);
	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	serve(store_port, on_store, NULL);
	g_timeout_add(RUN_TICK_MS, on_tick, NULL);
	g_timeout_add(WORKER_HEARTBEAT_MS, on_heartbeat, NULL);
	on_heartbeat(NULL);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return EXIT_SUCCESS;
}
