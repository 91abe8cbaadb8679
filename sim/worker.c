#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "process/clock.h"
#include "sim/check.h"
#include "sim/worker.h"

#define MAX_LEASE_MS	   1000
#define MAX_CLOCK_SLOWNESS 0.02
#define MUTANT_SLOWNESS	   0.2
#define MUTANT_EXPIRY_MS   500
/* Time after its lease at which a worker ends the runs. */
#define LEASE_CHECK_MS	 3
#define FIRST_CLOCK_MS	 1000
#define HEARTBEAT_MIN_MS 200
/*
 * After a worker has shrunk, starts beyond its capacity count from then on: a
 * description holds for two heartbeats, and a start is on its way.
 */
#define SHRINK_GRACE_MS	     1500
#define CALL_MAX_MS	     4 /* one way */
#define STOP_MIN_MS	     1
#define STOP_MAX_MS	     60
#define FAILED_RUNS_PERCENT  3
#define LOST_ANSWERS_PERCENT 60
#define FIRST_PORT	     20000

struct run {
	int refs;
	struct worker *worker;
	char *task;
	int64_t number;
	int64_t cpu_milli;
	int64_t started_ms;
	int64_t run_ms;
	bool stopping;
	bool over;
};

struct end {
	int64_t number;
	char *task;
	int64_t run;
	enum wp_end_kind end_kind;
};

struct worker {
	uint32_t index;
	uint32_t life; /* counts incarnations */
	bool up;
	char *instance;
	char *address;
	int64_t born_ms;
	double clock_rate; /* of its clock, against virtual time */
	int64_t token;	   /* highest fencing token seen */
	int64_t lease_ms;  /* its end, on the worker's clock */
	int64_t last_end;
	int64_t heartbeat_seq;
	GPtrArray *runs;    /* struct run */
	GPtrArray *ends;    /* struct end, not acknowledged */
	GHashTable *sealed; /* task to the highest run that ended there */
	GPtrArray *polls;   /* struct call that waits for an end */
	int64_t late_until_ms, max_delay_ms;
	int late_percent;
	int64_t lost_until_ms;
	int64_t silent_until_ms;
	int64_t capacity_milli, former_milli;
	int64_t shrunk_ms; /* since when capacity_milli is below former_milli */
	int64_t slow_stops_until_ms, stop_ms;
};

enum call_kind { START, STOP, REPORT };

struct port {
	struct wp wp; /* first member */
	struct worker *worker;
	struct slp_proc *agent;
	GPtrArray *calls; /* struct call without an answer yet, referenced */
};

struct call {
	int refs;
	struct port *port; /* NULL: answered, or given up */
	struct worker *worker;
	struct slp_proc *agent;
	enum call_kind kind;
	char *address;
	char *instance;
	int64_t token;
	char *task;
	int64_t run;
	char *spec;
	int64_t deadline_ms;
	int64_t last_end;
	int64_t wait_ms;
	bool answer_lost;
	wp_answer_fn answer_fn;
	wp_report_fn report_fn;
	void *ctx;
	/* The answer. */
	struct wp_answer answer;
	uint64_t born_ms;
	GArray *running; /* struct wp_running, texts owned */
	GArray *ended;	 /* struct wp_ended, texts owned */
};

static struct {
	struct sop opts;
	swk_heartbeat_fn heartbeat;
	GPtrArray *workers; /* struct worker */
} model;

static void
run_unref(gpointer data)
{
	struct run *run = data;

	if (--run->refs > 0)
		return;
	g_free(run->task);
	g_free(run);
}

static struct run *
run_ref(struct run *run)
{
	run->refs++;
	return run;
}

static void
end_free(gpointer data)
{
	struct end *end = data;

	g_free(end->task);
	g_free(end);
}

static void
running_clear(gpointer data)
{
	g_free((char *)((struct wp_running *)data)->task);
}

static void
ended_clear(gpointer data)
{
	g_free((char *)((struct wp_ended *)data)->task);
}

static void
call_unref(gpointer data)
{
	struct call *call = data;

	if (--call->refs > 0)
		return;
	g_free(call->address);
	g_free(call->instance);
	g_free(call->task);
	g_free(call->spec);
	g_array_unref(call->running);
	g_array_unref(call->ended);
	g_free(call);
}

static struct call *
call_ref(struct call *call)
{
	call->refs++;
	return call;
}

static void
worker_free(gpointer data)
{
	struct worker *w = data;

	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ends);
	g_ptr_array_unref(w->polls);
	g_hash_table_unref(w->sealed);
	g_free(w->instance);
	g_free(w->address);
	g_free(w);
}

static int64_t
random_ms(int64_t min_ms, int64_t max_ms)
{
	return g_random_int_range((gint32)min_ms, (gint32)max_ms + 1);
}

static bool
happens(int percent)
{
	return g_random_int_range(0, 100) < percent;
}

static int64_t
clock_of(const struct worker *w)
{
	return FIRST_CLOCK_MS +
	       (int64_t)((double)(slp_now_ms() - w->born_ms) * w->clock_rate);
}

static void send_heartbeat(struct worker *w, int64_t delay_ms);

/* An event of one incarnation of a worker. */
struct life_event {
	struct worker *worker;
	uint32_t life;
};

static struct life_event *
life_event_new(struct worker *w)
{
	struct life_event *event = g_new0(struct life_event, 1);

	event->worker = w;
	event->life = w->life;
	return event;
}

static void
on_heartbeat_due(void *data)
{
	const struct life_event *event = data;
	struct worker *w = event->worker;

	if (event->life != w->life || !w->up)
		return;
	if (slp_now_ms() >= w->silent_until_ms)
		send_heartbeat(w, random_ms(0, CALL_MAX_MS));
	slp_at(NULL,
	    slp_now_ms() + random_ms(HEARTBEAT_MIN_MS, SWK_HEARTBEAT_MAX_MS),
	    on_heartbeat_due, life_event_new(w), g_free);
}

/* A new incarnation: runs nothing, and has seen no fencing token. */
static void
begin_life(struct worker *w, enum swk_rebirth rebirth)
{
	double slowness = model.opts.mutant == SOP_SLOW_CLOCK
			      ? MUTANT_SLOWNESS
			      : MAX_CLOCK_SLOWNESS;

	w->life++;
	w->up = true;
	w->born_ms = slp_now_ms();
	w->clock_rate = 1 - slowness * g_random_double_range(0, 1);
	if (model.opts.mutant == SOP_SLOW_CLOCK)
		w->clock_rate = 1 - slowness;
	w->token = w->lease_ms = w->last_end = w->heartbeat_seq = 0;
	if (rebirth != SWK_SAME_ID || w->instance == NULL) {
		g_free(w->instance);
		w->instance = g_strdup_printf("w%u-%u", w->index, w->life);
	}
	if (rebirth == SWK_OTHER_ADDRESS || w->address == NULL) {
		g_free(w->address);
		w->address = g_strdup_printf(
		    "10.0.1.%u:%u", w->index + 1, FIRST_PORT + w->life);
	}
	sck_note(NULL, "worker %u is up as %s at %s, clock rate %.3f", w->index,
	    w->instance, w->address, w->clock_rate);
	on_heartbeat_due(&(struct life_event){w, w->life});
}

void
swk_reset(const struct sop *opts, swk_heartbeat_fn heartbeat)
{
	uint32_t i;

	if (model.workers == NULL)
		model.workers = g_ptr_array_new_with_free_func(worker_free);
	g_ptr_array_set_size(model.workers, 0);
	model.opts = *opts;
	model.heartbeat = heartbeat;
	for (i = 0; i < opts->n_agents; i++) {
		struct worker *w = g_new0(struct worker, 1);

		w->index = i;
		w->capacity_milli = w->former_milli = SWK_CAPACITY_MILLI;
		w->runs = g_ptr_array_new_with_free_func(run_unref);
		w->ends = g_ptr_array_new_with_free_func(end_free);
		w->polls = g_ptr_array_new_with_free_func(call_unref);
		w->sealed = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_ptr_array_add(model.workers, w);
	}
}

void
swk_start_all(void)
{
	guint i;

	for (i = 0; i < model.workers->len; i++)
		begin_life(model.workers->pdata[i], SWK_OTHER_ADDRESS);
}

char *
swk_spec(int64_t run_ms, int64_t cpu_milli)
{
	return g_strdup_printf(
	    "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT, run_ms, cpu_milli);
}

/* The start of an incarnation, which identifies it, on the wall clock. */
static uint64_t
born_of(const struct worker *w)
{
	return (uint64_t)(clk_wall_ms() - slp_now_ms() + w->born_ms);
}

static void
send_heartbeat(struct worker *w, int64_t delay_ms)
{
	struct slp_proc *former = slp_enter(NULL);
	struct wp_worker worker = {
	    .instance = w->instance,
	    .born_ms = born_of(w),
	    .clock_ms = clock_of(w),
	    .seq = ++w->heartbeat_seq,
	    .service = SWK_SERVICE,
	    .address = w->address,
	    .failure_domain = "zone",
	    .capacity = {.cpu_milli = w->capacity_milli, .memory_mb = 1024},
	};

	model.heartbeat(w->index, &worker, delay_ms);
	slp_enter(former);
}

/* Answers. */

/* Runs the callback of a call that its port has given up. */
static void
deliver(struct call *call)
{
	struct wp_report report = {
	    .answer = call->answer,
	    .born_ms = call->born_ms,
	    .running = (const struct wp_running *)call->running->data,
	    .n_running = call->running->len,
	    .ended = (const struct wp_ended *)call->ended->data,
	    .n_ended = call->ended->len,
	};

	call->port = NULL;
	if (call->kind == REPORT)
		call->report_fn(&report, call->ctx);
	else
		call->answer_fn(&call->answer, call->ctx);
}

static void
deliver_nothing(struct call *call)
{
	call->answer = (struct wp_answer){
	    .verdict = WP_NO_ANSWER,
	    .reason = "worker did not answer",
	};
	call->born_ms = 0;
	g_array_set_size(call->running, 0);
	g_array_set_size(call->ended, 0);
	deliver(call);
}

/* The events of a call hold references of their own. */
static void
forget_call(struct call *call)
{
	g_ptr_array_remove_fast(call->port->calls, call);
}

static void
on_answer(void *data)
{
	struct call *call = data;

	if (call->port == NULL)
		return;
	forget_call(call);
	deliver(call);
}

static void
on_timeout(void *data)
{
	struct call *call = data;

	if (call->port == NULL)
		return;
	if (call->kind != REPORT)
		sck_note(call->task, "%s of run %d got no answer",
		    call->kind == START ? "start" : "stop",
		    (int)(call->run % 1000000));
	forget_call(call);
	deliver_nothing(call);
}

static void
send_answer(struct worker *w, struct call *call, enum wp_verdict verdict,
    const char *reason)
{
	call->answer = (struct wp_answer){
	    .verdict = verdict,
	    .clock_ms = clock_of(w),
	    .reason = reason,
	};
	if (!call->answer_lost)
		slp_at(call->agent, slp_now_ms() + random_ms(1, CALL_MAX_MS),
		    on_answer, call_ref(call), call_unref);
}

static int64_t
percent_of(const struct run *run)
{
	int64_t percent =
	    (slp_now_ms() - run->started_ms) * 100 / MAX(run->run_ms, 1);

	return CLAMP(percent, 0, 100);
}

static void
answer_report(struct worker *w, struct call *call)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];
		struct wp_running row = {
		    .task = g_strdup(run->task),
		    .run = run->number,
		    .percent = percent_of(run),
		};

		if (run->stopping && model.opts.mutant == SOP_HIDDEN_STOPS)
			g_free((char *)row.task);
		else
			g_array_append_val(call->running, row);
	}
	for (i = 0; i < w->ends->len; i++) {
		const struct end *end = w->ends->pdata[i];
		struct wp_ended row = {
		    .number = end->number,
		    .task = g_strdup(end->task),
		    .run = end->run,
		    .end_kind = end->end_kind,
		};

		g_array_append_val(call->ended, row);
	}
	call->born_ms = born_of(w);
	send_answer(w, call, WP_DONE, NULL);
}

/* Runs. */

static void
seal(struct worker *w, const char *task, int64_t number)
{
	const int64_t *highest = g_hash_table_lookup(w->sealed, task);

	if (highest == NULL || *highest < number)
		g_hash_table_replace(w->sealed, g_strdup(task),
		    g_memdup2(&number, sizeof(number)));
}

static bool
is_sealed(const struct worker *w, const char *task, int64_t number)
{
	const int64_t *highest = g_hash_table_lookup(w->sealed, task);

	return highest != NULL && *highest >= number;
}

static struct run *
find_run(const struct worker *w, const char *task, int64_t number)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->number == number && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void
answer_polls(struct worker *w)
{
	while (w->polls->len > 0) {
		struct call *call = g_ptr_array_steal_index(w->polls, 0);

		answer_report(w, call);
		call_unref(call);
	}
}

static void
end_run(struct worker *w, struct run *run, enum wp_end_kind end_kind)
{
	static const char *const names[] = {[WP_ENDED_DONE] = "done",
	    [WP_ENDED_FAILED] = "failed",
	    [WP_ENDED_STOPPED] = "stopped",
	    [WP_ENDED_LEASE_EXPIRED] = "ended by the lease"};
	struct end *end = g_new0(struct end, 1);

	end->number = ++w->last_end;
	end->task = g_strdup(run->task);
	end->run = run->number;
	end->end_kind = end_kind;
	g_ptr_array_add(w->ends, end);
	seal(w, run->task, run->number);
	run->over = true;
	sck_note(run->task, "run %d on worker %u %s",
	    (int)(run->number % 1000000), w->index, names[end_kind]);
	sck_run_ended(run->task);
	g_ptr_array_remove(w->runs, run);
	answer_polls(w);
}

static void
on_run_time_over(void *data)
{
	struct run *run = data;

	if (!run->over && !run->stopping)
		end_run(run->worker, run,
		    happens(FAILED_RUNS_PERCENT) ? WP_ENDED_FAILED
						 : WP_ENDED_DONE);
}

static void
on_stop_over(void *data)
{
	struct run *run = data;

	if (!run->over)
		end_run(run->worker, run, WP_ENDED_STOPPED);
}

static int64_t
used_milli(const struct worker *w)
{
	int64_t used = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++)
		used += ((const struct run *)w->runs->pdata[i])->cpu_milli;
	return used;
}

/* A smaller capacity counts some time after the worker has shrunk. */
static int64_t
capacity_in_force(const struct worker *w)
{
	return slp_now_ms() - w->shrunk_ms > SHRINK_GRACE_MS
		   ? w->capacity_milli
		   : MAX(w->capacity_milli, w->former_milli);
}

static void
begin_run(struct worker *w, const struct call *call)
{
	struct run *run = g_new0(struct run, 1);
	char *rest;

	run->refs = 1;
	run->worker = w;
	run->task = g_strdup(call->task);
	run->number = call->run;
	run->run_ms = g_ascii_strtoll(call->spec, &rest, 10);
	run->cpu_milli = g_ascii_strtoll(rest, NULL, 10);
	run->started_ms = slp_now_ms();
	g_ptr_array_add(w->runs, run);
	sck_note(run->task, "run %d begins on worker %u (%s), lease to %d",
	    (int)(run->number % 1000000), w->index, w->instance,
	    (int)(slp_now_ms() + w->lease_ms - clock_of(w)));
	sck_run_started(
	    run->task, w->index, used_milli(w), capacity_in_force(w));
	slp_at(NULL, slp_now_ms() + run->run_ms, on_run_time_over, run_ref(run),
	    run_unref);
}

/* The lease. */

/* End of the runs, on the worker's clock. */
static int64_t
expiry_ms(const struct worker *w)
{
	return model.opts.mutant == SOP_LATE_EXPIRY
		   ? w->lease_ms + MUTANT_EXPIRY_MS
		   : w->lease_ms;
}

/* A lease that was extended meanwhile has an event of its own. */
static void
on_lease_due(void *data)
{
	const struct life_event *event = data;
	struct worker *w = event->worker;

	if (event->life != w->life || !w->up || clock_of(w) <= expiry_ms(w))
		return;
	while (w->runs->len > 0)
		end_run(w, w->runs->pdata[0], WP_ENDED_LEASE_EXPIRED);
}

static void
extend_lease(struct worker *w, int64_t deadline_ms)
{
	double left_ms;

	deadline_ms = MIN(deadline_ms, clock_of(w) + MAX_LEASE_MS);
	if (deadline_ms <= w->lease_ms)
		return;
	w->lease_ms = deadline_ms;
	left_ms = (double)(expiry_ms(w) - clock_of(w)) / w->clock_rate;
	slp_at(NULL, slp_now_ms() + (int64_t)left_ms + LEASE_CHECK_MS,
	    on_lease_due, life_event_new(w), g_free);
}

/* Calls. */

static void
execute_start(struct worker *w, struct call *call)
{
	if (clock_of(w) > call->deadline_ms) {
		send_answer(w, call, WP_DEADLINE_PASSED, "late");
		return;
	}
	extend_lease(w, call->deadline_ms);
	if (find_run(w, call->task, call->run) == NULL) {
		if (is_sealed(w, call->task, call->run)) {
			send_answer(w, call, WP_STALE_RUN, "old");
			return;
		}
		begin_run(w, call);
	}
	send_answer(w, call, WP_DONE, NULL);
}

static void
execute_stop(struct worker *w, struct call *call)
{
	struct run *run = find_run(w, call->task, call->run);
	int64_t stop_ms = slp_now_ms() < w->slow_stops_until_ms
			      ? w->stop_ms
			      : random_ms(STOP_MIN_MS, STOP_MAX_MS);

	if (run != NULL || model.opts.mutant != SOP_NO_SEAL)
		seal(w, call->task, call->run);
	if (run != NULL && !run->stopping) {
		run->stopping = true;
		sck_note(call->task, "worker %u begins to stop run %d",
		    w->index, (int)(call->run % 1000000));
		slp_at(NULL, slp_now_ms() + stop_ms, on_stop_over, run_ref(run),
		    run_unref);
	}
	send_answer(w, call, WP_DONE, NULL);
}

static void
acknowledge_ends(struct worker *w, int64_t last_end)
{
	while (w->ends->len > 0 &&
	       ((const struct end *)w->ends->pdata[0])->number <= last_end)
		g_ptr_array_remove_index(w->ends, 0);
}

static void
on_poll_over(void *data)
{
	struct call *call = data;
	struct worker *w = call->worker;

	if (!g_ptr_array_find(w->polls, call, NULL))
		return;
	answer_report(w, call);
	g_ptr_array_remove(w->polls, call);
}

static void
execute_report(struct worker *w, struct call *call)
{
	if (call->deadline_ms > 0)
		extend_lease(w, call->deadline_ms);
	acknowledge_ends(w, call->last_end);
	if (call->wait_ms == 0 || w->ends->len > 0) {
		answer_report(w, call);
		return;
	}
	g_ptr_array_add(w->polls, call_ref(call));
	slp_at(NULL, slp_now_ms() + call->wait_ms, on_poll_over, call_ref(call),
	    call_unref);
}

static void
on_execution(void *data)
{
	struct call *call = data;
	struct worker *w = call->worker;

	if (!w->up || strcmp(call->address, w->address) != 0)
		return;
	if (slp_now_ms() < w->silent_until_ms) {
		slp_at(NULL, w->silent_until_ms, on_execution, call_ref(call),
		    call_unref);
		return;
	}
	if (strcmp(call->instance, w->instance) != 0) {
		send_answer(w, call, WP_REPLACED, "worker was replaced");
		return;
	}
	if (call->token < w->token) {
		send_answer(w, call, WP_FENCED, "fence");
		return;
	}
	w->token = call->token;
	if (call->kind == START)
		execute_start(w, call);
	else if (call->kind == STOP)
		execute_stop(w, call);
	else
		execute_report(w, call);
}

static struct call *
call_new(struct port *port, enum call_kind kind, const struct wp_target *target,
    void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->port = port;
	call->worker = port->worker;
	call->agent = port->agent;
	call->kind = kind;
	call->address = g_strdup(target->address);
	call->instance = g_strdup(target->instance);
	call->token = target->token;
	call->ctx = ctx;
	call->running = g_array_new(FALSE, FALSE, sizeof(struct wp_running));
	g_array_set_clear_func(call->running, running_clear);
	call->ended = g_array_new(FALSE, FALSE, sizeof(struct wp_ended));
	g_array_set_clear_func(call->ended, ended_clear);
	call->refs = 1;
	g_ptr_array_add(port->calls, call);
	return call;
}

static void
send_call(struct call *call, int64_t timeout_ms)
{
	const struct worker *w = call->worker;
	int64_t now_ms = slp_now_ms(), delay_ms = random_ms(1, CALL_MAX_MS);

	if (now_ms < w->late_until_ms && happens(w->late_percent)) {
		delay_ms += random_ms(0, w->max_delay_ms);
		call->answer_lost = delay_ms >= timeout_ms;
	}
	if (now_ms < w->lost_until_ms && happens(LOST_ANSWERS_PERCENT))
		call->answer_lost = true;
	slp_at(
	    NULL, now_ms + delay_ms, on_execution, call_ref(call), call_unref);
	slp_at(call->agent, now_ms + timeout_ms, on_timeout, call_ref(call),
	    call_unref);
}

static void
start(void *data, const struct wp_target *target, const struct wp_start *args,
    wp_answer_fn fn, void *ctx)
{
	struct call *call = call_new(data, START, target, ctx);
	gsize len;
	const char *spec = g_bytes_get_data(args->spec, &len);

	call->answer_fn = fn;
	call->task = g_strdup(args->task);
	call->run = args->run;
	call->spec = g_strndup(spec, len);
	call->deadline_ms = args->deadline_ms;
	sck_note(call->task, "agent %u sends start of run %d",
	    call->worker->index, (int)(call->run % 1000000));
	send_call(call, target->timeout_ms);
}

static void
stop(void *data, const struct wp_target *target, const char *task, int64_t run,
    wp_answer_fn fn, void *ctx)
{
	struct call *call = call_new(data, STOP, target, ctx);

	call->answer_fn = fn;
	call->task = g_strdup(task);
	call->run = run;
	sck_note(task, "agent %u sends stop of run %d", call->worker->index,
	    (int)(run % 1000000));
	send_call(call, target->timeout_ms);
}

static void
report(void *data, const struct wp_target *target, const struct wp_hold *args,
    wp_report_fn fn, void *ctx)
{
	struct call *call = call_new(data, REPORT, target, ctx);

	call->report_fn = fn;
	call->deadline_ms = args->deadline_ms;
	call->last_end = args->last_end;
	call->wait_ms = args->wait_ms;
	send_call(call, target->timeout_ms + args->wait_ms);
}

struct wp *
swk_port_new(uint32_t index, struct slp_proc *agent)
{
	struct port *port = g_new0(struct port, 1);

	port->wp = (struct wp){port, start, stop, report};
	port->worker = model.workers->pdata[index];
	port->agent = agent;
	port->calls = g_ptr_array_new_with_free_func(call_unref);
	return &port->wp;
}

void
swk_port_free(struct wp *wp)
{
	struct port *port = wp->port;

	while (port->calls->len > 0) {
		struct call *call =
		    g_ptr_array_steal_index_fast(port->calls, 0);

		deliver_nothing(call);
		call_unref(call);
	}
	g_ptr_array_unref(port->calls);
	g_free(port);
}

/* Faults. */

static struct worker *
worker_at(uint32_t index)
{
	return model.workers->pdata[index];
}

struct rebirth {
	struct worker *worker;
	enum swk_rebirth kind;
};

static void
on_rebirth(void *data)
{
	const struct rebirth *rebirth = data;

	begin_life(rebirth->worker, rebirth->kind);
}

void
swk_crash(uint32_t index, int64_t back_ms, enum swk_rebirth kind)
{
	struct worker *w = worker_at(index);
	struct rebirth *rebirth;

	if (!w->up)
		return;
	w->up = false;
	while (w->runs->len > 0) {
		struct run *run = w->runs->pdata[0];

		run->over = true;
		sck_note(run->task, "run %d is lost with worker %u",
		    (int)(run->number % 1000000), index);
		sck_run_ended(run->task);
		g_ptr_array_remove_index(w->runs, 0);
	}
	g_ptr_array_set_size(w->ends, 0);
	g_ptr_array_set_size(w->polls, 0);
	g_hash_table_remove_all(w->sealed);
	rebirth = g_new0(struct rebirth, 1);
	rebirth->worker = w;
	rebirth->kind = kind;
	slp_at(NULL, slp_now_ms() + back_ms, on_rebirth, rebirth, g_free);
}

void
swk_delay_calls(
    uint32_t index, int64_t until_ms, int64_t max_delay_ms, int percent)
{
	worker_at(index)->late_percent = percent;
	worker_at(index)->late_until_ms = until_ms;
	worker_at(index)->max_delay_ms = max_delay_ms;
}

void
swk_lose_answers(uint32_t index, int64_t until_ms)
{
	worker_at(index)->lost_until_ms = until_ms;
}

void
swk_silence(uint32_t index, int64_t until_ms)
{
	worker_at(index)->silent_until_ms = until_ms;
}

void
swk_set_capacity(uint32_t index, int64_t cpu_milli)
{
	struct worker *w = worker_at(index);

	if (cpu_milli < w->capacity_milli) {
		w->former_milli = capacity_in_force(w);
		w->shrunk_ms = slp_now_ms();
	}
	w->capacity_milli = cpu_milli;
}

void
swk_slow_stops(uint32_t index, int64_t until_ms, int64_t stop_ms)
{
	worker_at(index)->slow_stops_until_ms = until_ms;
	worker_at(index)->stop_ms = stop_ms;
}

void
swk_repeat_heartbeat(uint32_t index, int64_t delay_ms)
{
	struct worker *w = worker_at(index);

	if (w->up)
		send_heartbeat(w, delay_ms);
}
