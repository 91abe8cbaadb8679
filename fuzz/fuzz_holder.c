/*
 * The holder under sequences of events, before workers that carry out calls
 * late, or not at all, or without an answer, that crash and come back under the
 * same id or another one, that answer at two addresses, and beside heartbeats
 * and deregistrations of other writers.  When the holder reports runs as lost,
 * none of them is at work or begins later; no two runs of a task are at work at
 * once; the lease is renewed only when it is asked for; and a worker that answers
 * is followed in the end.
 *
 * One case is left out, since it is known (docs/FINDINGS.md, Open): a start that
 * is carried out by another incarnation than the one it was meant for.
 */
#include <glib.h>
#include <string.h>

#include "connection/holder.h"
#include "fuzz/check.h"
#include "fuzz/simtime.h"
#include "process/clock.h"

#define FIRST_MS     INT64_C(1000000)
#define MAX_LEASE_MS INT64_C(1000) /* granted by the worker */
#define STEP_MS	     10
#define N_TASKS	     4
#define N_ADDRESSES  2
#define N_IDS	     3
#define MAX_LIVES    16
#define MAX_RUNS     64
#define MAX_CALLS    64
#define ANSWER_MS    2
/* Of an input, whose time it bounds. */
#define MAX_EVENTS 64
/* Of the worker that is to be followed at the end. */
#define HEARTBEAT_MS	200
#define TRUE_HEARTBEATS 8

enum mode {
	ANSWERS, /* after ANSWER_MS */
	SILENT,	 /* carries out calls when an event says so */
	MUTE,	 /* carries out calls at once, without an answer */
	N_MODES
};

enum run_state { SENT, RUNNING, ENDED };

/* An incarnation of a worker. */
struct life {
	const char *id;
	int address;
	int64_t born_ms;
	int64_t clock_percent;
	int64_t token;
	int64_t lease_ends_ms; /* on its clock */
	int64_t last_end;
	int64_t seq;
	bool alive;
};

struct run {
	int task;
	enum run_state state;
	struct life *life; /* that it began at */
	int64_t end_number;
	enum wp_end_kind end_kind;
	bool sealed;   /* was stopped before it began */
	bool given_up; /* reported as lost */
};

enum call_kind { UNUSED, START, STOP, HOLD };

struct call {
	enum call_kind kind;
	int address;
	const char *id;
	uint64_t incarnation; /* that the holder knew when it was sent */
	int64_t token;
	int64_t sent_ms;
	int64_t times_out_ms;
	int64_t deadline_ms; /* 0: none */
	int64_t last_end;
	size_t run;	 /* index */
	bool is_pending; /* its callback has not run */
	wp_answer_fn answer;
	wp_report_fn report;
	void *ctx;
};

struct world {
	struct wp wp;
	struct hold *hold;
	struct life lives[MAX_LIVES + 1]; /* one for the end */
	size_t n_lives;
	struct life *at[N_ADDRESSES];
	enum mode modes[N_ADDRESSES];
	struct run runs[MAX_RUNS];
	size_t n_runs;
	size_t busy[N_TASKS]; /* 1 + index of the task's run, 0: none */
	struct call calls[MAX_CALLS];
	enum wp_lease lease;
};

/* A start whose answer is expected. */
struct started {
	struct world *world;
	size_t run;
};

static const char *const addresses[N_ADDRESSES] = {"10.0.0.1:1", "10.0.0.1:2"};
static const char *const ids[N_IDS] = {"i0", "i1", "i2"};
static const char *const tasks[N_TASKS] = {"a", "b", "c", "d"};

static int64_t
clock_of(const struct life *life)
{
	return (clk_now_ms() - life->born_ms) * life->clock_percent / 100;
}

static bool
is_at_work(const struct run *run)
{
	return run->state == RUNNING && run->life->alive;
}

static void
end_run(struct run *run, enum wp_end_kind kind)
{
	run->state = ENDED;
	run->end_kind = kind;
	run->end_number = ++run->life->last_end;
}

/* Ends the runs whose lease has expired. */
static void
update_leases(struct world *w)
{
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		struct run *run = &w->runs[i];

		if (is_at_work(run) &&
		    clock_of(run->life) >= run->life->lease_ends_ms)
			end_run(run, WP_ENDED_LEASE_EXPIRED);
	}
}

static int
index_of(const char *text, const char *const *texts, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		if (strcmp(text, texts[i]) == 0)
			return i;
	}
	abort();
}

/* An unused call; one that timed out is not carried out any more then. */
static struct call *
make_room(struct world *w)
{
	size_t i;

	for (i = 0; i < MAX_CALLS; i++) {
		if (w->calls[i].kind == UNUSED)
			return &w->calls[i];
	}
	for (i = 0; i < MAX_CALLS; i++) {
		if (!w->calls[i].is_pending)
			return &w->calls[i];
	}
	abort();
}

static struct call *
add_call(struct world *w, enum call_kind kind, const struct wp_target *target,
    int64_t wait_ms, void *ctx)
{
	struct call *call = make_room(w);
	int address = index_of(target->address, addresses, N_ADDRESSES);

	fz_check(target->timeout_ms > 0);
	*call = (struct call){
	    .kind = kind,
	    .address = address,
	    .id = ids[index_of(target->instance, ids, N_IDS)],
	    .incarnation = hold_incarnation(w->hold),
	    .token = target->token,
	    .sent_ms = clk_now_ms(),
	    .times_out_ms = clk_now_ms() + wait_ms + target->timeout_ms,
	    .is_pending = true,
	    .ctx = ctx,
	};
	return call;
}

static void
on_start(void *port, const struct wp_target *target,
    const struct wp_start *start, wp_answer_fn fn, void *ctx)
{
	struct call *call = add_call(port, START, target, 0, ctx);

	call->deadline_ms = start->deadline_ms;
	call->run = (size_t)start->run - 1;
	call->answer = fn;
}

static void
on_stop(void *port, const struct wp_target *target, const char *task,
    int64_t run, wp_answer_fn fn, void *ctx)
{
	struct call *call = add_call(port, STOP, target, 0, ctx);

	(void)task;
	call->run = (size_t)run - 1;
	call->answer = fn;
}

static void
on_hold(void *port, const struct wp_target *target, const struct wp_hold *args,
    wp_report_fn fn, void *ctx)
{
	struct world *w = port;
	struct call *call = add_call(w, HOLD, target, args->wait_ms, ctx);

	fz_check(args->deadline_ms == 0 || w->lease == WP_LEASE_RENEW);
	call->deadline_ms = args->deadline_ms;
	call->last_end = args->last_end;
	call->report = fn;
}

/* A deadline never shortens the lease. */
static void
extend_lease(struct life *life, int64_t deadline_ms)
{
	int64_t max_ms = clock_of(life) + MAX_LEASE_MS;

	life->lease_ends_ms =
	    MAX(life->lease_ends_ms, MIN(deadline_ms, max_ms));
}

static bool
is_task_at_work(const struct world *w, int task)
{
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		if (w->runs[i].task == task && is_at_work(&w->runs[i]))
			return true;
	}
	return false;
}

static enum wp_verdict
start_run(struct world *w, struct life *life, const struct call *call)
{
	struct run *run = &w->runs[call->run];

	if (call->deadline_ms <= clock_of(life))
		return WP_DEADLINE_PASSED;
	extend_lease(life, call->deadline_ms);
	if (run->state == ENDED || run->sealed)
		return WP_STALE_RUN;
	if (run->state == SENT) {
		fz_check(!run->given_up);
		fz_check(!is_task_at_work(w, run->task));
		run->state = RUNNING;
		run->life = life;
	}
	return WP_DONE;
}

static enum wp_verdict
stop_run(struct world *w, struct life *life, const struct call *call)
{
	struct run *run = &w->runs[call->run];

	if (run->state == RUNNING && run->life == life)
		end_run(run, WP_ENDED_STOPPED);
	run->sealed = true;
	return WP_DONE;
}

/* What the worker does for a call, as its protocol says. */
static enum wp_verdict
carry_out(struct world *w, const struct call *call)
{
	struct life *life = w->at[call->address];

	if (life == NULL)
		return WP_NO_ANSWER;
	if (call->kind == START && call->incarnation != (uint64_t)life->born_ms)
		return WP_NO_ANSWER;
	if (life->id != call->id)
		return WP_REPLACED;
	if (call->token < life->token)
		return WP_FENCED;
	life->token = call->token;
	if (call->kind == START)
		return start_run(w, life, call);
	if (call->kind == STOP)
		return stop_run(w, life, call);
	if (call->deadline_ms > 0)
		extend_lease(life, call->deadline_ms);
	return WP_DONE;
}

static void
answer_hold(struct world *w, const struct call *call, struct wp_report *report)
{
	struct wp_running running[MAX_RUNS] = {0};
	struct wp_ended ended[MAX_RUNS] = {0};
	const struct life *life = w->at[call->address];
	size_t i;

	for (i = 0; i < w->n_runs && report->answer.verdict == WP_DONE; i++) {
		const struct run *run = &w->runs[i];

		if (run->life != life)
			continue;
		if (run->state == RUNNING)
			running[report->n_running++] =
			    (struct wp_running){.task = tasks[run->task],
				.run = (int64_t)i + 1,
				.percent = 50};
		else if (run->end_number > call->last_end)
			ended[report->n_ended++] =
			    (struct wp_ended){.number = run->end_number,
				.task = tasks[run->task],
				.run = (int64_t)i + 1,
				.end_kind = run->end_kind};
	}
	report->running = running;
	report->ended = ended;
	call->report(report, call->ctx);
}

/* Runs the callback of a call.  The call is free for others before that. */
static void
answer(struct world *w, struct call *call, enum wp_verdict verdict)
{
	struct call copy = *call;
	const struct life *life = w->at[copy.address];
	struct wp_report report = {.answer = {.verdict = verdict}};

	if (verdict != WP_NO_ANSWER)
		report.answer.clock_ms = clock_of(life);
	if (verdict == WP_DONE)
		report.born_ms = (uint64_t)life->born_ms;
	call->is_pending = false;
	if (verdict != WP_NO_ANSWER)
		call->kind = UNUSED;
	if (copy.kind == HOLD)
		answer_hold(w, &copy, &report);
	else
		copy.answer(&report.answer, copy.ctx);
}

static void
serve(struct world *w, struct call *call)
{
	enum mode mode = w->modes[call->address];
	bool reachable = w->at[call->address] != NULL;

	if (!call->is_pending)
		return;
	if (reachable && mode == ANSWERS &&
	    clk_now_ms() >= call->sent_ms + ANSWER_MS) {
		answer(w, call, carry_out(w, call));
	} else if (!reachable || clk_now_ms() >= call->times_out_ms) {
		if (mode == MUTE)
			carry_out(w, call);
		answer(w, call, WP_NO_ANSWER);
	}
}

static void
serve_calls(struct world *w)
{
	size_t i;

	update_leases(w);
	for (i = 0; i < MAX_CALLS; i++) {
		if (w->calls[i].kind != UNUSED)
			serve(w, &w->calls[i]);
	}
}

static void
advance(struct world *w, int64_t ms)
{
	int64_t end_ms = clk_now_ms() + ms;

	while (clk_now_ms() < end_ms) {
		sim_advance(MIN(STEP_MS, end_ms - clk_now_ms()));
		serve_calls(w);
		hold_tick(w->hold);
	}
}

/* Carries out a call that was held up on its way, also after its timeout. */
static void
carry_out_late(struct world *w, uint8_t byte)
{
	struct call *call = &w->calls[byte % MAX_CALLS];
	enum wp_verdict verdict;

	if (call->kind == UNUSED)
		return;
	update_leases(w);
	verdict = carry_out(w, call);
	if (call->is_pending && byte >= MAX_CALLS)
		answer(w, call, verdict);
	else if (!call->is_pending)
		call->kind = UNUSED;
}

/* The callbacks of the holder. */

static enum wp_lease
on_lease(void *ctx)
{
	const struct world *w = ctx;

	return w->lease;
}

static void
on_report(const struct wp_report *report, int64_t sent_ms, void *ctx)
{
	struct world *w = ctx;
	size_t i;

	fz_check(sent_ms <= clk_now_ms());
	fz_check(report->born_ms == hold_incarnation(w->hold));
	for (i = 0; i < report->n_ended; i++) {
		size_t number = (size_t)report->ended[i].run;
		int task = w->runs[number - 1].task;

		if (w->busy[task] == number)
			w->busy[task] = 0;
	}
}

static void
on_runs_lost(const struct hold_lost *lost, void *ctx)
{
	struct world *w = ctx;
	size_t i;

	(void)lost;
	update_leases(w);
	for (i = 0; i < w->n_runs; i++) {
		fz_check(!is_at_work(&w->runs[i]));
		w->runs[i].given_up = true;
	}
	memset(w->busy, 0, sizeof(w->busy));
}

static void
on_described(const struct wp_worker *worker, void *ctx)
{
	const struct world *w = ctx;

	fz_check(hold_incarnation(w->hold) == worker->born_ms);
}

static void
on_left(const char *instance, void *ctx)
{
	(void)instance;
	(void)ctx;
}

static void
on_changed(void *ctx)
{
	(void)ctx;
}

/* Only a refusal that a worker spoke out says that the run does not begin. */
static void
on_started(const struct wp_answer *done, void *ctx)
{
	g_autofree struct started *started = ctx;
	struct world *w = started->world;
	int task = w->runs[started->run].task;

	if (done->verdict != WP_DONE && done->verdict != WP_NO_ANSWER &&
	    w->busy[task] == started->run + 1)
		w->busy[task] = 0;
}

static void
on_stopped(const struct wp_answer *done, void *ctx)
{
	g_autofree struct started *stopped = ctx;
	struct world *w = stopped->world;
	int task = w->runs[stopped->run].task;

	if (done->verdict == WP_DONE && w->busy[task] == stopped->run + 1)
		w->busy[task] = 0;
}

/* The events. */

static struct started *
started_new(struct world *w, size_t run)
{
	struct started *started = g_new0(struct started, 1);

	started->world = w;
	started->run = run;
	return started;
}

static void
start_task(struct world *w, uint8_t byte)
{
	g_autoptr(GBytes) spec = g_bytes_new_static("s", 1);
	int task = byte % N_TASKS;
	size_t number = w->n_runs + 1;

	if (w->n_runs == MAX_RUNS || w->busy[task] != 0 ||
	    !hold_is_ready(w->hold))
		return;
	w->runs[w->n_runs++] = (struct run){.task = task};
	w->busy[task] = number;
	hold_start(w->hold, tasks[task], spec, (int64_t)number, on_started,
	    started_new(w, number - 1));
}

/* Whether there is room for the calls that the holder makes by itself. */
static bool
may_add_stop(const struct world *w)
{
	size_t i, n_pending = 0;

	for (i = 0; i < MAX_CALLS; i++) {
		if (w->calls[i].kind != UNUSED && w->calls[i].is_pending)
			n_pending++;
	}
	return n_pending < MAX_CALLS / 2;
}

static void
stop_task(struct world *w, uint8_t byte)
{
	int task = byte % N_TASKS;
	size_t number = w->busy[task];

	if (number != 0 && hold_incarnation(w->hold) != 0 && may_add_stop(w))
		hold_stop(w->hold, tasks[task], (int64_t)number, on_stopped,
		    started_new(w, number - 1));
}

/* A run ends by itself. */
static void
finish_run(struct world *w, uint8_t byte)
{
	struct run *run = &w->runs[byte % MAX_RUNS];

	update_leases(w);
	if (is_at_work(run))
		end_run(run, WP_ENDED_DONE);
}

static void
crash(struct world *w, int address)
{
	if (w->at[address] != NULL)
		w->at[address]->alive = false;
	w->at[address] = NULL;
}

static void
send_heartbeat(struct world *w, int address)
{
	struct life *life = w->at[address];
	struct wp_worker worker = {.address = addresses[address]};

	if (life == NULL)
		return;
	worker.instance = life->id;
	worker.born_ms = (uint64_t)life->born_ms;
	worker.clock_ms = clock_of(life);
	worker.seq = ++life->seq;
	hold_heartbeat(w->hold, &worker);
}

/* Takes the place of the worker at an address. */
static void
begin_life(struct world *w, uint8_t byte)
{
	int address = byte % N_ADDRESSES;
	struct life *life = &w->lives[w->n_lives];

	crash(w, address);
	advance(w, 1);
	*life = (struct life){
	    .id = ids[(byte / 2) % N_IDS],
	    .address = address,
	    .born_ms = clk_now_ms(),
	    .clock_percent = byte & 128 ? 98 : 100,
	    .alive = true,
	};
	w->n_lives++;
	w->at[address] = life;
}

/* A heartbeat of another writer. */
static void
send_false_heartbeat(struct world *w, uint8_t byte)
{
	const struct life *life = &w->lives[byte % MAX_LIVES];
	struct wp_worker worker = {
	    .instance = ids[byte % N_IDS],
	    .address = addresses[byte / 4 % N_ADDRESSES],
	    .born_ms = (uint64_t)(life->born_ms + (byte & 1)),
	    .clock_ms = byte * INT64_C(100),
	    .seq = byte,
	};

	if (worker.born_ms > 1)
		hold_heartbeat(w->hold, &worker);
}

/* This process is stopped for some time. */
static void
pause_process(struct world *w, int64_t ms)
{
	sim_skip(ms);
	advance(w, STEP_MS);
}

static void
step(struct world *w, uint8_t op, uint8_t byte)
{
	switch (op % 12) {
	case 0:
		advance(w, 4 * (int64_t)byte);
		break;
	case 1:
		send_heartbeat(w, byte % N_ADDRESSES);
		break;
	case 2:
		send_false_heartbeat(w, byte);
		break;
	case 3:
		if (w->n_lives < MAX_LIVES)
			begin_life(w, byte);
		break;
	case 4:
		hold_worker_left(w->hold, ids[byte % N_IDS]);
		break;
	case 5:
		start_task(w, byte);
		break;
	case 6:
		stop_task(w, byte);
		break;
	case 7:
		finish_run(w, byte);
		break;
	case 8:
		w->modes[byte % N_ADDRESSES] = byte / N_ADDRESSES % N_MODES;
		break;
	case 9:
		carry_out_late(w, byte);
		break;
	case 10:
		w->lease = byte % (WP_LEASE_WITHHOLD + 1);
		break;
	case 11:
		if (byte % 4 == 0)
			crash(w, byte / 4 % N_ADDRESSES);
		else
			pause_process(w, 4 * (int64_t)byte);
		break;
	}
}

/*
 * Whatever came before, a worker that answers and sends heartbeats is the one
 * that is followed, and gets starts.
 */
static void
check_follows(struct world *w)
{
	int i;

	crash(w, 1);
	begin_life(w, 0);
	w->modes[0] = ANSWERS;
	w->lease = WP_LEASE_RENEW;
	for (i = 0; i < TRUE_HEARTBEATS; i++) {
		send_heartbeat(w, 0);
		advance(w, HEARTBEAT_MS);
	}
	fz_check(hold_is_ready(w->hold));
	fz_check(hold_incarnation(w->hold) == (uint64_t)w->at[0]->born_ms);
}

/* Ends the calls that are in progress, whose callbacks free their context. */
static void
end(struct world *w)
{
	size_t i;

	hold_close(w->hold);
	for (i = 0; i < MAX_CALLS; i++) {
		if (w->calls[i].kind != UNUSED && w->calls[i].is_pending)
			answer(w, &w->calls[i], WP_NO_ANSWER);
	}
	hold_free(w->hold);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world *w = g_new0(struct world, 1);
	struct hold_options opts = {
	    .wp = &w->wp,
	    .lease_ms = MAX_LEASE_MS,
	    .token = 10,
	    .statement_ms = INT64_MAX,
	    .lease = on_lease,
	    .report = on_report,
	    .runs_lost = on_runs_lost,
	    .described = on_described,
	    .left = on_left,
	    .changed = on_changed,
	    .ctx = w,
	};
	size_t i;

	sim_reset(FIRST_MS);
	w->wp = (struct wp){w, on_start, on_stop, on_hold};
	w->lease = WP_LEASE_RENEW;
	w->hold = hold_new(&opts);
	size = MIN(size, (size_t)2 * MAX_EVENTS);
	for (i = 0; i + 1 < size; i += 2)
		step(w, data[i], data[i + 1]);
	check_follows(w);
	end(w);
	g_free(w);
	return 0;
}
