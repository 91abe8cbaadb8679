#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/ledger.h"
#include "runner.h"

#define MAX_RUNS    64
#define MAX_QUEUE   4
#define MAX_ROWS    8
#define EXPECTED_MS 1000
#define N_SESSIONS  4

struct trace {
	struct led_options led_options;
	struct led *led;
	GString *actual;
	int64_t now_ms;
	bool accepting;
	bool answering; /* the worker answers calls */
	/* Last message of each session's entry; 0: one has just arrived. */
	int64_t last_sent_ms[N_SESSIONS];
};

static const char *const leases[] = {"unneeded", "renew", "pause", "withhold"};

static const char *const verdicts[] = {
    "done", "stale", "late", "fenced", "refused", "replaced", "no_answer"};
static const char *const ends[] = {"done", "failed", "stopped", "lapsed"};
static const char *const outcomes[] = {
    "done", "failed", "not_started", "lost", "stalled"};

static int
index_of(const char *const *names, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	ck_abort_msg("unknown name %s", name);
	return -1;
}

static void
emit(struct trace *t, const char *fmt, ...)
{
	va_list ap;

	if (t->actual->len > 0)
		g_string_append_c(t->actual, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(t->actual, fmt, ap);
	va_end(ap);
}

static bool
may_start(uint64_t session, const char **reason, void *ctx)
{
	struct trace *t = ctx;

	(void)session;
	*reason = "not accepting";
	return t->accepting &&
	       led_lease(t->led, t->now_ms) != WP_LEASE_WITHHOLD;
}

static bool
worker_answers(void *ctx)
{
	const struct trace *t = ctx;

	return t->answering;
}

static int64_t
last_sent_ms(uint64_t session, void *ctx)
{
	const struct trace *t = ctx;
	int64_t sent_ms = t->last_sent_ms[session];

	return sent_ms == 0 ? t->now_ms : sent_ms;
}

static void
on_start(const char *task, GBytes *spec, int64_t run, void *ctx)
{
	(void)spec;
	emit(ctx, "start:%s.%d", task, (int)run);
}

static void
on_stop(const char *task, int64_t run, void *ctx)
{
	emit(ctx, "stop:%s.%d", task, (int)run);
}

static void
on_request_report(void *ctx)
{
	emit(ctx, "look");
}

static void
on_result(const struct led_result *result, void *ctx)
{
	emit(ctx, "%d/%d:%s", (int)result->session, (int)result->seq,
	    outcomes[result->outcome]);
}

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);
	struct led_options opts = {
	    .limits = {MAX_RUNS, MAX_RUNS, MAX_QUEUE, MAX_QUEUE},
	    .may_start = may_start,
	    .worker_answers = worker_answers,
	    .last_sent_ms = last_sent_ms,
	    .start = on_start,
	    .stop = on_stop,
	    .request_report = on_request_report,
	    .result = on_result,
	    .ctx = t,
	};

	t->accepting = true;
	t->answering = true;
	t->led_options = opts;
	t->led = led_new(&opts);
	return t;
}

/* limits RUNS CALLS: replaces the ledger. */
static void
set_limits(struct trace *t, char **w)
{
	struct led_options opts = t->led_options;

	opts.limits.max_runs = (uint32_t)atoi(w[1]);
	opts.limits.max_calls = (uint32_t)atoi(w[2]);
	led_free(t->led);
	t->led = led_new(&opts);
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	led_free(t->led);
	g_free(t);
}

static int64_t
number(const char *word)
{
	return word == NULL ? 0 : strtoll(word, NULL, 10);
}

/* submit SESSION SEQ TASK CPU PRIORITY [WITHIN | nospec] */
static void
submit(struct trace *t, char **w)
{
	g_autoptr(GBytes) spec = g_bytes_new_static("spec", 4);
	bool has_spec = g_strcmp0(w[6], "nospec") != 0;
	struct led_start s = {
	    .session = (uint64_t)number(w[1]),
	    .seq = (uint64_t)number(w[2]),
	    .task = w[3],
	    .spec = has_spec ? spec : NULL,
	    .size = {.cpu_milli = number(w[4])},
	    .priority = (uint32_t)number(w[5]),
	    .expected_ms = EXPECTED_MS,
	    .start_by_ms = t->now_ms +
			   (w[6] == NULL || !has_spec ? 1000000 : number(w[6])),
	};

	led_submit(t->led, &s, 1, t->now_ms);
}

/* report SENT[/CLOCK] (TASK.RUN | TASK.RUN@PERCENT | TASK.RUN=HOW)... */
static void
report(struct trace *t, char **w)
{
	struct wp_running running[MAX_ROWS];
	struct wp_ended ended[MAX_ROWS];
	struct wp_report r = {.running = running, .ended = ended};
	char *clock = strchr(w[1], '/');
	int i;

	r.answer.clock_ms = t->now_ms;
	if (clock != NULL) {
		*clock = '\0';
		r.answer.clock_ms = number(clock + 1);
	}
	for (i = 2; w[i] != NULL; i++) {
		char *eq = strchr(w[i], '=');
		char *dot = strchr(w[i], '.');

		ck_assert_ptr_nonnull(dot);
		*dot = '\0';
		if (eq == NULL) {
			char *percent = strchr(dot + 1, '@');

			running[r.n_running++] = (struct wp_running){
			    .task = w[i],
			    .run = number(dot + 1),
			    .percent = percent == NULL ? (int64_t)t->now_ms
						       : number(percent + 1)};
			continue;
		}
		*eq = '\0';
		ended[r.n_ended] =
		    (struct wp_ended){.number = (int64_t)r.n_ended + 1,
			.task = w[i],
			.run = number(dot + 1),
			.end_kind = index_of(ends, G_N_ELEMENTS(ends), eq + 1)};
		r.n_ended++;
	}
	led_report(t->led, &r, number(w[1]), t->now_ms);
}

static void
answer(struct trace *t, char **w)
{
	enum wp_verdict verdict =
	    index_of(verdicts, G_N_ELEMENTS(verdicts), w[2]);
	struct wp_answer a = {.verdict = verdict};

	if (strcmp(w[0], "started") == 0)
		led_started(t->led, number(w[1]), &a, t->now_ms);
	else
		led_stopped(t->led, number(w[1]), verdict, t->now_ms);
}

/* The time that a command names as its last word, or the present. */
static int64_t
given_up_ms(const struct trace *t, const char *word)
{
	return word == NULL ? t->now_ms : number(word);
}

/* Shows the states that some start is in. */
static void
show_states(struct trace *t)
{
	struct led_states states;

	led_count_states(t->led, &states);
	if (states.queued > 0)
		emit(t, "queued=%u", states.queued);
	if (states.starting > 0)
		emit(t, "starting=%u", states.starting);
	if (states.unanswered > 0)
		emit(t, "unanswered=%u", states.unanswered);
	if (states.running > 0)
		emit(t, "running=%u", states.running);
	if (states.stopping > 0)
		emit(t, "stopping=%u", states.stopping);
	if (states.stopped > 0)
		emit(t, "stopped=%u", states.stopped);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;
	struct wk_size size = {0};

	t->actual = actual;
	if (strcmp(w[0], "at") == 0) {
		t->now_ms = number(w[1]);
		led_tick(t->led, t->now_ms);
	} else if (strcmp(w[0], "capacity") == 0) {
		size.cpu_milli = number(w[1]);
		led_set_capacity(t->led, &size, t->now_ms);
	} else if (strcmp(w[0], "accepting") == 0)
		t->accepting = number(w[1]) != 0;
	else if (strcmp(w[0], "answering") == 0)
		t->answering = number(w[1]) != 0;
	else if (strcmp(w[0], "submit") == 0)
		submit(t, w);
	else if (strcmp(w[0], "started") == 0 || strcmp(w[0], "stopped") == 0)
		answer(t, w);
	else if (strcmp(w[0], "report") == 0)
		report(t, w);
	else if (strcmp(w[0], "cancel") == 0)
		led_cancel(t->led, (uint64_t)number(w[1]),
		    (uint64_t)number(w[2]), given_up_ms(t, w[3]), t->now_ms);
	else if (strcmp(w[0], "end") == 0)
		led_end_session(t->led, (uint64_t)number(w[1]),
		    given_up_ms(t, w[2]), t->now_ms);
	else if (strcmp(w[0], "silent") == 0)
		t->last_sent_ms[number(w[1])] = t->now_ms;
	else if (strcmp(w[0], "heard") == 0)
		t->last_sent_ms[number(w[1])] = 0;
	else if (strcmp(w[0], "lease") == 0)
		emit(t, "%s", leases[led_lease(t->led, t->now_ms)]);
	else if (strcmp(w[0], "lost") == 0)
		led_worker_lost(t->led, "lost", t->now_ms);
	else if (strcmp(w[0], "room") == 0) {
		led_room(t->led, &size);
		emit(t, "%d", (int)size.cpu_milli);
	} else if (strcmp(w[0], "limits") == 0)
		set_limits(t, w);
	else if (strcmp(w[0], "states") == 0)
		show_states(t);
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against starts beyond the worker's capacity, two runs of a task at
 * once, and capacity freed while a start may still be carried out.
 */
REPLAY_MAIN("ledger", 0, start, end, step)
