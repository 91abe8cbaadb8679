/*
 * The ledger under sequences of events, before a worker that carries out calls
 * late or not at all.  No task runs twice at once, no start brings the worker
 * over its capacity, and no lease reaches beyond the time at which the job of a
 * run that its entry has given up may be sent again.
 */
#include <glib.h>
#include <string.h>

#include "fuzz/check.h"
#include "request/ledger.h"

#define N_TASKS	 6
#define MAX_RUNS 256
#define CAPACITY 10
/* Upper bound of a lease, by a clock that may be slow. */
#define LEASE_MS  575
#define RESEND_MS 1300
/* Entries, and the sessions that they can have one after the other. */
#define N_ENTRIES    3
#define MAX_SESSIONS 64

enum state { SENT, RUNNING, ENDED };

struct run {
	int64_t number;
	int64_t cpu;
	int task;
	enum state state;
	bool stop_sent;
	bool stopped; /* the worker has carried out a stop */
	bool listed;  /* its end was in a report */
};

struct world {
	struct led *led;
	struct run runs[MAX_RUNS];
	size_t n_runs;
	int64_t now_ms;
	int64_t lease_ends_ms;
	bool worker_answers;
	uint64_t seq;
	uint64_t sessions[N_ENTRIES]; /* present one of each entry */
	/* Last message in each session; 0: one has just arrived. */
	int64_t last_sent_ms[MAX_SESSIONS];
};

static const char *const tasks[N_TASKS] = {"a", "b", "c", "d", "e", "f"};

static bool
may_start(uint64_t session, const char **reason, void *ctx)
{
	struct world *w = ctx;

	(void)session;
	*reason = "lease";
	return led_lease(w->led, w->now_ms) != WP_LEASE_WITHHOLD;
}

static bool
worker_answers(void *ctx)
{
	const struct world *w = ctx;

	return w->worker_answers;
}

static int64_t
last_sent_ms(uint64_t session, void *ctx)
{
	const struct world *w = ctx;
	int64_t sent_ms = w->last_sent_ms[session];

	return sent_ms == 0 ? w->now_ms : sent_ms;
}

static int
task_index(const char *task)
{
	return task[0] - 'a';
}

static struct run *
find_run(struct world *w, int64_t number)
{
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		if (w->runs[i].number == number)
			return &w->runs[i];
	}
	return NULL;
}

/*
 * A repeated start names the same task, no stop was sent for it, and the worker
 * answers other calls.
 */
static void
check_repeated(const struct world *w, const struct run *run, const char *task)
{
	fz_check(w->worker_answers);
	fz_check(run->task == task_index(task));
	fz_check(!run->stop_sent);
}

/* A task that may still run or begin at the worker must not be started. */
static void
on_start(const char *task, GBytes *spec, int64_t number, void *ctx)
{
	struct world *w = ctx;
	struct run *run = find_run(w, number);
	size_t i;

	(void)spec;
	w->lease_ends_ms = MAX(w->lease_ends_ms, w->now_ms + LEASE_MS);
	if (run != NULL) {
		check_repeated(w, run, task);
		return;
	}
	run = &w->runs[w->n_runs];
	for (i = 0; i < w->n_runs; i++)
		fz_check(w->runs[i].task != task_index(task) ||
			 w->runs[i].state == ENDED || w->runs[i].stopped);
	if (w->n_runs == MAX_RUNS)
		return;
	*run = (struct run){.number = number, .task = task_index(task)};
	run->cpu = 1 + run->task;
	w->n_runs++;
}

static void
on_stop(const char *task, int64_t number, void *ctx)
{
	struct run *run = find_run(ctx, number);

	(void)task;
	if (run != NULL)
		run->stop_sent = true;
}

static void
on_report_wanted(void *ctx)
{
	(void)ctx;
}

static void
on_result(const struct led_result *result, void *ctx)
{
	(void)result;
	(void)ctx;
}

/* The run that an input byte selects, or NULL. */
static struct run *
pick(struct world *w, uint8_t byte)
{
	return w->n_runs == 0 ? NULL : &w->runs[byte % w->n_runs];
}

static void
check_capacity(const struct world *w)
{
	int64_t used = 0;
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		if (w->runs[i].state == RUNNING)
			used += w->runs[i].cpu;
	}
	fz_check(used <= CAPACITY);
}

/*
 * The worker carries out a start, with or without an answer.  It refuses one
 * whose run has ended, or was stopped, before the call arrived.
 */
static void
carry_out(struct world *w, struct run *run, bool answered, bool refused)
{
	struct wp_answer done = {.verdict = WP_DONE};
	struct wp_answer none = {.verdict = WP_NO_ANSWER};

	if (refused && run->state == ENDED)
		done.verdict = WP_STALE_RUN;
	w->worker_answers = answered;
	if (run->state == SENT && !run->stopped) {
		run->state = RUNNING;
		check_capacity(w);
	}
	led_started(w->led, run->number, answered ? &done : &none, w->now_ms);
}

/* A stop seals the run's number: it never begins afterwards. */
static void
stop(struct world *w, struct run *run, bool answered)
{
	run->stopped = true;
	run->state = ENDED;
	led_stopped(
	    w->led, run->number, answered ? WP_DONE : WP_NO_ANSWER, w->now_ms);
}

static void
report(struct world *w)
{
	struct wp_running running[MAX_RUNS] = {0};
	struct wp_ended ended[MAX_RUNS] = {0};
	struct wp_report r = {.running = running, .ended = ended};
	size_t i;

	for (i = 0; i < w->n_runs; i++) {
		struct run *run = &w->runs[i];

		if (run->state == RUNNING)
			running[r.n_running++] =
			    (struct wp_running){.task = tasks[run->task],
				.run = run->number,
				.percent = 50};
		if (run->state == ENDED && !run->listed)
			ended[r.n_ended++] =
			    (struct wp_ended){.number = (int64_t)i + 1,
				.task = tasks[run->task],
				.run = run->number,
				.end_kind = run->stopped ? WP_ENDED_STOPPED
							 : WP_ENDED_DONE};
		run->listed = run->state == ENDED;
	}
	r.answer.clock_ms = w->now_ms;
	w->worker_answers = true;
	led_report(w->led, &r, w->now_ms, w->now_ms);
}

/* All runs are over at the end of the lease; nothing that was sent begins. */
static void
lose_worker(struct world *w)
{
	size_t i;

	w->now_ms = MAX(w->now_ms, w->lease_ends_ms) + 1;
	for (i = 0; i < w->n_runs; i++) {
		w->runs[i].state = ENDED;
		w->runs[i].listed = true;
	}
	led_worker_lost(w->led, "lost", w->now_ms);
}

static void
submit(struct world *w, uint8_t byte)
{
	g_autoptr(GBytes) spec = g_bytes_new_static("s", 1);
	g_autofree char *queue = g_strdup_printf(
	    "%" G_GUINT64_FORMAT, w->sessions[byte % N_ENTRIES]);
	struct led_start start = {
	    .session = w->sessions[byte % N_ENTRIES],
	    .seq = ++w->seq,
	    .task = tasks[byte % N_TASKS],
	    .queue = queue,
	    .spec = spec,
	    .size = {.cpu_milli = 1 + byte % N_TASKS},
	    .expected_ms = 100,
	    .start_by_ms = w->now_ms + 1000,
	};

	if (w->n_runs < MAX_RUNS)
		led_submit(w->led, &start, 1, w->now_ms);
}

/* The queue of a run is the number of its session. */
static void
check_renewal(const struct led_active_run *run, void *ctx)
{
	const struct world *w = ctx;
	uint64_t session = g_ascii_strtoull(run->queue, NULL, 10);
	int64_t sent_ms = w->last_sent_ms[session];

	fz_check(sent_ms == 0 || w->now_ms + LEASE_MS <= sent_ms + RESEND_MS);
}

static void
renew(struct world *w)
{
	if (led_lease(w->led, w->now_ms) != WP_LEASE_RENEW)
		return;
	led_each_active(w->led, check_renewal, w);
	w->lease_ends_ms = MAX(w->lease_ends_ms, w->now_ms + LEASE_MS);
}

/*
 * The cancel of an entry that has been silent was held up: the entry may have
 * given the start up as early as just after its last message.
 */
static void
cancel(struct world *w, uint64_t session, uint64_t seq)
{
	int64_t given_up_ms = last_sent_ms(session, w);

	led_cancel(w->led, session, seq, given_up_ms, w->now_ms);
}

static void
end_session(struct world *w, unsigned entry)
{
	uint64_t session = w->sessions[entry];
	int64_t sent_ms = last_sent_ms(session, w);

	if (session + N_ENTRIES >= MAX_SESSIONS)
		return;
	w->last_sent_ms[session] = sent_ms;
	w->sessions[entry] += N_ENTRIES;
	led_end_session(w->led, session, sent_ms, w->now_ms);
}

/* An entry falls silent, or is heard again. */
static void
toggle_silence(struct world *w, unsigned entry)
{
	int64_t *sent_ms = &w->last_sent_ms[w->sessions[entry]];

	*sent_ms = *sent_ms == 0 ? w->now_ms : 0;
}

static void
step(struct world *w, uint8_t op, uint8_t byte)
{
	unsigned entry = byte % N_ENTRIES;
	struct run *run = pick(w, byte);

	if (op % 10 == 0)
		submit(w, byte);
	else if (op % 10 == 1)
		cancel(w, w->sessions[entry], 1 + byte % 16);
	else if (op % 10 == 2)
		end_session(w, entry);
	else if (op % 10 == 9 && (op & 16) != 0)
		renew(w);
	else if (op % 10 == 9)
		toggle_silence(w, entry);
	else if (op % 10 == 3)
		w->now_ms += byte;
	else if (op % 10 == 4)
		report(w);
	else if (op % 10 == 5)
		lose_worker(w);
	else if (run == NULL)
		return;
	else if (op % 10 == 6)
		carry_out(w, run, (op & 16) != 0, (op & 32) != 0);
	else if (op % 10 == 7)
		stop(w, run, (op & 16) != 0);
	else if (op % 10 == 8 && run->state == RUNNING)
		run->state = ENDED;
	led_tick(w->led, w->now_ms);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world w = {
	    .now_ms = 1000,
	    .worker_answers = true,
	    .sessions = {1, 2, 3},
	};
	struct led_options opts = {
	    .limits = {4, UINT32_MAX, 8, 8},
	    .may_start = may_start,
	    .worker_answers = worker_answers,
	    .last_sent_ms = last_sent_ms,
	    .start = on_start,
	    .stop = on_stop,
	    .request_report = on_report_wanted,
	    .result = on_result,
	    .ctx = &w,
	};
	struct wk_size capacity = {.cpu_milli = CAPACITY};
	size_t i;

	w.led = led_new(&opts);
	led_set_capacity(w.led, &capacity, w.now_ms);
	for (i = 0; i + 1 < size; i += 2)
		step(&w, data[i], data[i + 1]);
	led_free(w.led);
	return 0;
}
