#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/holder.h"
#include "process/clock.h"
#include "runner.h"

/* The commands are listed in tests/cases/holder.txt. */

#define LEASE_MS     1000 /* above HOLD_MAX_LEASE_MS */
#define MAX_ROWS     8
#define STATEMENT_MS 3000
/* Less than the pause after a request for a report that failed at once. */
#define SOON_MS 30
/* Checks differ from other requests for a report by their fixed timeout. */
#define CHECK_TIMEOUT_MS 60

/* A call that is not answered yet. */
struct call {
	wp_report_fn report;
	wp_answer_fn answer;
	void *ctx;
	uint64_t born_ms; /* of the worker that was called */
};

/* A simulated worker, which answers when a command says so. */
struct fixture {
	struct wp wp;
	struct hold *hold;
	int64_t token; /* of the last request for a report */
	enum wp_lease lease;
	bool shows_answering; /* with each report */
	uint64_t born_ms;     /* of the worker that answers */
	const char *address;  /* in heartbeats */
	GQueue reports;	      /* struct call */
	GQueue checks;	      /* struct call */
	GQueue starts;
	GString *actual;
};

static int64_t now_ms;

/* These replace the library's clock by a simulated one. */
int64_t
clk_now_ms(void)
{
	return now_ms;
}

int64_t
clk_now_ns(void)
{
	return now_ms * 1000000;
}

int64_t
clk_wall_ms(void)
{
	return now_ms;
}

static void
append(struct fixture *w, const char *fmt, ...)
{
	va_list ap;

	if (w->actual == NULL)
		return;
	if (w->actual->len > 0)
		g_string_append_c(w->actual, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(w->actual, fmt, ap);
	va_end(ap);
}

static const char *
lease_text(int64_t deadline_ms)
{
	static char text[16];

	if (deadline_ms == 0)
		return "-";
	g_snprintf(text, sizeof(text), "%d", (int)(deadline_ms - now_ms));
	return text;
}

static void
push_call(struct fixture *w, GQueue *calls, wp_report_fn report,
    wp_answer_fn answer, void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->born_ms = w->born_ms;
	call->report = report;
	call->answer = answer;
	call->ctx = ctx;
	g_queue_push_tail(calls, call);
}

static void
on_start(void *port, const struct wp_target *target,
    const struct wp_start *start, wp_answer_fn fn, void *ctx)
{
	struct fixture *w = port;

	(void)target;
	append(w, "start(%s,%d,lease=%s)", start->task, (int)start->run,
	    lease_text(start->deadline_ms));
	push_call(w, &w->starts, NULL, fn, ctx);
}

static void
on_stop(void *port, const struct wp_target *target, const char *task,
    int64_t run, wp_answer_fn fn, void *ctx)
{
	struct wp_answer done = {.verdict = WP_DONE, .clock_ms = now_ms};
	struct fixture *w = port;

	(void)target;
	append(w, "stop(%s,%d)", task, (int)run);
	fn(&done, ctx);
}

static void
on_hold(void *port, const struct wp_target *target, const struct wp_hold *hold,
    wp_report_fn fn, void *ctx)
{
	struct fixture *w = port;

	w->token = target->token;
	if (target->timeout_ms == CHECK_TIMEOUT_MS) {
		push_call(w, &w->checks, fn, NULL, ctx);
		return;
	}
	append(w, "hold(wait=%d,lease=%s)", (int)hold->wait_ms,
	    lease_text(hold->deadline_ms));
	push_call(w, &w->reports, fn, NULL, ctx);
}

static enum wp_lease
on_lease(void *ctx)
{
	const struct fixture *w = ctx;

	return w->lease;
}

static void
show_answering(struct fixture *w)
{
	append(w, hold_is_answering(w->hold) ? "answering" : "unanswered");
}

static void
on_report(const struct wp_report *report, int64_t sent_ms, void *ctx)
{
	struct fixture *w = ctx;

	(void)report;
	(void)sent_ms;
	append(w, "report");
	if (w->shows_answering)
		show_answering(w);
}

static void
on_runs_lost(const struct hold_lost *lost, void *ctx)
{
	(void)lost;
	append(ctx, "lost");
}

static void
on_described(const struct wp_worker *worker, void *ctx)
{
	append(ctx, "described(%d,%d)", (int)worker->seq, (int)worker->born_ms);
}

static void
on_left(const char *instance, void *ctx)
{
	append(ctx, "left(%s)", instance);
}

static void
on_changed(void *ctx)
{
	append(ctx, "changed");
}

static void
on_started(const struct wp_answer *answer, void *ctx)
{
	if (answer->verdict == WP_FENCED)
		append(ctx, "fenced");
	else
		append(
		    ctx, answer->verdict == WP_DONE ? "started" : "unanswered");
}

static void *
start(void)
{
	struct fixture *w = g_new0(struct fixture, 1);
	struct hold_options opts = {
	    .wp = &w->wp,
	    .lease_ms = LEASE_MS,
	    .token = 10,
	    .statement_ms = STATEMENT_MS,
	    .lease = on_lease,
	    .report = on_report,
	    .runs_lost = on_runs_lost,
	    .described = on_described,
	    .left = on_left,
	    .changed = on_changed,
	    .ctx = w,
	};

	now_ms = 0;
	w->lease = WP_LEASE_RENEW;
	w->address = "127.0.0.1:1";
	w->wp = (struct wp){w, on_start, on_stop, on_hold};
	g_queue_init(&w->reports);
	g_queue_init(&w->checks);
	g_queue_init(&w->starts);
	w->hold = hold_new(&opts);
	return w;
}

/* Completes a call; reports are of the incarnation that was called. */
static void
complete(struct call *call, struct wp_report *report)
{
	ck_assert_ptr_nonnull(call);
	report->born_ms = call->born_ms;
	if (call->report != NULL)
		call->report(report, call->ctx);
	else
		call->answer(&report->answer, call->ctx);
	g_free(call);
}

/* Completes the oldest call in the queue. */
static void
end_call(GQueue *calls, struct wp_report *report)
{
	complete(g_queue_pop_head(calls), report);
}

static void
end_calls(GQueue *calls, struct wp_report *report)
{
	while (!g_queue_is_empty(calls))
		end_call(calls, report);
}

static void
end(void *ctx)
{
	struct wp_report none = {.answer = {.verdict = WP_NO_ANSWER}};
	struct fixture *w = ctx;

	w->actual = NULL;
	hold_close(w->hold);
	end_calls(&w->reports, &none);
	end_calls(&w->checks, &none);
	end_calls(&w->starts, &none);
	hold_free(w->hold);
	g_free(w);
}

static void
heartbeat(struct fixture *w, char **words)
{
	struct wp_worker worker = {
	    .instance = "i",
	    .address = w->address,
	    .seq = atoi(words[1]),
	    .born_ms = (uint64_t)atoi(words[2]),
	    .clock_ms = words[3] == NULL ? now_ms : atoi(words[3]),
	};

	hold_heartbeat(w->hold, &worker);
}

/* suggest BORN CLOCK */
static void
suggest(struct fixture *w, char **words)
{
	struct wp_worker worker = {
	    .instance = "i",
	    .address = w->address,
	    .born_ms = (uint64_t)atoi(words[1]),
	    .clock_ms = atoi(words[2]),
	};

	hold_suggest(w->hold, &worker);
}

/* A heartbeat of a new worker, which answers the check of it. */
static void
register_worker(struct fixture *w, char **words)
{
	struct wp_report report = {
	    .answer = {.verdict = WP_DONE, .clock_ms = now_ms}};

	w->born_ms = (uint64_t)atoi(words[2]);
	heartbeat(w, words);
	complete(g_queue_pop_tail(&w->reports), &report);
}

/* answer [running TASK RUN]... [ended N TASK RUN]... */
static void
answer(GQueue *calls, char **words)
{
	struct wp_running running[MAX_ROWS] = {0};
	struct wp_ended ended[MAX_ROWS] = {0};
	struct wp_report report = {
	    .answer = {.verdict = WP_DONE, .clock_ms = now_ms},
	    .running = running,
	    .ended = ended,
	};
	int i = 1;

	while (words[i] != NULL) {
		if (strcmp(words[i], "running") == 0) {
			running[report.n_running].task = words[i + 1];
			running[report.n_running++].run = atoi(words[i + 2]);
			i += 3;
		} else {
			ended[report.n_ended].number = atoi(words[i + 1]);
			ended[report.n_ended].task = words[i + 2];
			ended[report.n_ended].end_kind = WP_ENDED_STOPPED;
			ended[report.n_ended++].run = atoi(words[i + 3]);
			i += 4;
		}
	}
	end_call(calls, &report);
}

static void
wait_for_call(GQueue *calls)
{
	while (g_queue_is_empty(calls))
		g_main_context_iteration(NULL, TRUE);
}

static void
wait_for_another(GQueue *calls)
{
	guint n_calls = g_queue_get_length(calls);

	while (g_queue_get_length(calls) == n_calls)
		g_main_context_iteration(NULL, TRUE);
}

static gboolean
on_expired(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Shows if no request for a report comes before a failed one is repeated. */
static void
wait_shortly(struct fixture *w)
{
	guint n_calls = g_queue_get_length(&w->reports);
	bool expired = false;

	g_timeout_add(SOON_MS, on_expired, &expired);
	while (!expired)
		g_main_context_iteration(NULL, TRUE);
	if (g_queue_get_length(&w->reports) == n_calls)
		append(w, "none");
}

static void
step_calls(struct fixture *w, char **words)
{
	struct wp_report none = {.answer = {.verdict = WP_NO_ANSWER}};
	struct wp_report late = {.answer = {.verdict = WP_DONE}};
	struct wp_report done = {
	    .answer = {.verdict = WP_DONE, .clock_ms = now_ms}};
	struct wp_report fenced = {
	    .answer = {.verdict = WP_FENCED, .clock_ms = now_ms}};

	if (strcmp(words[0], "answer") == 0)
		answer(&w->reports, words);
	else if (strcmp(words[0], "late_answer") == 0) {
		late.answer.clock_ms = atoi(words[1]);
		end_call(&w->reports, &late);
	} else if (strcmp(words[0], "answer_check") == 0)
		answer(&w->checks, words);
	else if (strcmp(words[0], "drop_checks") == 0)
		end_calls(&w->checks, &none);
	else if (strcmp(words[0], "drop") == 0)
		end_call(&w->reports, &none);
	else if (strcmp(words[0], "drop_last") == 0)
		complete(g_queue_pop_tail(&w->reports), &none);
	else if (strcmp(words[0], "started") == 0)
		end_call(&w->starts, &done);
	else if (strcmp(words[0], "fenced_start") == 0)
		end_call(&w->starts, &fenced);
	else if (strcmp(words[0], "drop_start") == 0)
		end_call(&w->starts, &none);
	else
		ck_abort_msg("command %s", words[0]);
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct fixture *w = ctx;

	w->actual = actual;
	if (strcmp(words[0], "at") == 0) {
		now_ms = atoi(words[1]);
		hold_tick(w->hold);
	} else if (strcmp(words[0], "heartbeat") == 0)
		heartbeat(w, words);
	else if (strcmp(words[0], "suggest") == 0)
		suggest(w, words);
	else if (strcmp(words[0], "stated") == 0)
		append(w, hold_is_stated(w->hold) ? "yes" : "no");
	else if (strcmp(words[0], "register") == 0)
		register_worker(w, words);
	else if (strcmp(words[0], "worker") == 0)
		w->born_ms = (uint64_t)atoi(words[1]);
	else if (strcmp(words[0], "move") == 0)
		w->address = "127.0.0.1:2";
	else if (strcmp(words[0], "token") == 0)
		append(w, "%d", (int)w->token);
	else if (strcmp(words[0], "left") == 0)
		hold_worker_left(w->hold, "i");
	else if (strcmp(words[0], "next") == 0)
		wait_for_call(&w->reports);
	else if (strcmp(words[0], "another") == 0)
		wait_for_another(&w->reports);
	else if (strcmp(words[0], "request") == 0)
		hold_request_report(w->hold);
	else if (strcmp(words[0], "soon") == 0)
		wait_shortly(w);
	else if (strcmp(words[0], "checks") == 0)
		append(w, "%d", (int)g_queue_get_length(&w->checks));
	else if (strcmp(words[0], "next_check") == 0)
		wait_for_call(&w->checks);
	else if (strcmp(words[0], "withhold") == 0)
		w->lease = WP_LEASE_WITHHOLD;
	else if (strcmp(words[0], "pause") == 0)
		w->lease = WP_LEASE_PAUSE;
	else if (strcmp(words[0], "ready") == 0)
		append(w, hold_is_ready(w->hold) ? "yes" : "no");
	else if (strcmp(words[0], "answering") == 0)
		show_answering(w);
	else if (strcmp(words[0], "show_answering") == 0)
		w->shows_answering = true;
	else if (strcmp(words[0], "start") == 0)
		hold_start(
		    w->hold, words[1], NULL, atoi(words[2]), on_started, w);
	else
		step_calls(w, words);
}

/*
 * The cases guard against tasks that stay with a dead worker, against treating
 * a lease as expired too early, against runs of a living worker that are taken
 * as over when a call of its former life arrives, against heartbeats of another
 * writer, and against starts on a worker where runs of an earlier agent may be
 * left.
 */
REPLAY_MAIN("holder", 0, start, end, step)
