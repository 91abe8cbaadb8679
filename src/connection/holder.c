#include <glib.h>

#include "connection/holder.h"
#include "process/clock.h"
#include "process/events.h"
#include "request/answertime.h"

/* Renews the lease with two more tries before it ends. */
#define WAIT_MS 160
/*
 * While calls stay unanswered, one that waits for long would hide the ends of
 * runs until it times out.
 */
#define DOUBT_WAIT_MS 30
#define DOUBT_MS      3000
/* Ends that come together are fetched by one call. */
#define GATHER_MS 4
#define RETRY_MS  50
/*
 * No task is sent to the worker while it has not answered for this long, a
 * waiting call included, or while calls since this long went unanswered.
 */
#define SILENT_MS     700
#define UNANSWERED_MS 250
/* The worker's clock may be slow by 2%; rounding and the kill take more. */
#define LEASE_SLACK_PERCENT 3
#define LEASE_SLACK_MS	    60
/* Added to a token that turned out to be too low. */
#define TOKEN_SKIP 1000000

enum phase {
	ABSENT,	  /* no heartbeat yet, or the worker left */
	CLEARING, /* stops what runs there already */
	READY,
};

struct hold {
	struct hold_options opts;
	enum phase phase;
	char *instance;
	char *address;
	uint64_t born_ms;
	int64_t seq;
	int64_t token;
	int64_t last_end;
	int64_t clock_ms; /* of the worker at clock_at_ms */
	int64_t clock_at_ms;
	int64_t sent_ms;	 /* the call in progress, 0: none */
	int64_t answered_ms;	 /* last answer of this incarnation */
	int64_t deadline_ms;	 /* of the lease, on the worker's clock */
	int64_t lease_ends_ms;	 /* upper bound, 0: no lease was given */
	int64_t silent_since_ms; /* first call without an answer, 0: none */
	uint64_t generation;	 /* of the target; older answers are dropped */
	int64_t doubt_until_ms;	 /* calls went unanswered recently */
	const char *replaced;	 /* why runs are lost once cleared, or NULL */
	struct ans answers;
	bool looking; /* a call of hold_request_report() is in progress */
	bool look_again;
	guint next_id;
	bool was_ready;
};

/* A call for a report. */
struct call {
	struct hold *hold;
	uint64_t generation;
	int64_t sent_ms;
	int64_t wait_ms;
	bool look;
};

/* A start or stop; its answer goes on to the caller. */
struct order {
	struct hold *hold;
	uint64_t generation;
	int64_t sent_ms;
	wp_answer_fn fn;
	void *ctx;
};

static void call_hold(struct hold *hold);

struct hold *
hold_new(const struct hold_options *opts)
{
	struct hold *hold = g_new0(struct hold, 1);

	hold->opts = *opts;
	hold->opts.lease_ms = MIN(opts->lease_ms, HOLD_LEASE_MS);
	hold->token = opts->token;
	return hold;
}

/* The port must not answer any more after this. */
void
hold_free(struct hold *hold)
{
	if (hold == NULL)
		return;
	g_clear_handle_id(&hold->next_id, g_source_remove);
	g_free(hold->instance);
	g_free(hold->address);
	g_free(hold);
}

void
hold_close(struct hold *hold)
{
	hold->generation++;
	hold->phase = ABSENT;
	g_clear_handle_id(&hold->next_id, g_source_remove);
}

bool
hold_is_ready(const struct hold *hold)
{
	int64_t now_ms = clk_now_ms();

	return hold->phase == READY &&
	       now_ms - hold->answered_ms <= SILENT_MS &&
	       (hold->silent_since_ms == 0 ||
		   now_ms - hold->silent_since_ms <= UNANSWERED_MS);
}

uint64_t
hold_incarnation(const struct hold *hold)
{
	return hold->phase == ABSENT ? 0 : hold->born_ms;
}

static void
check_ready(struct hold *hold)
{
	bool ready = hold_is_ready(hold);

	if (ready == hold->was_ready)
		return;
	hold->was_ready = ready;
	evt_write("worker",
	    "\"instance\":\"%s\",\"ready\":%s,"
	    "\"answer_age_ms\":%" G_GINT64_FORMAT,
	    hold->instance, ready ? "true" : "false",
	    clk_now_ms() - hold->answered_ms);
	hold->opts.changed(hold->opts.ctx);
}

static struct wp_target
target_of(const struct hold *hold)
{
	return (struct wp_target){
	    .address = hold->address,
	    .instance = hold->instance,
	    .token = hold->token,
	    .timeout_ms = ans_timeout_ms(&hold->answers),
	};
}

/* Takes the answer of a call that could be answered since sent_ms, or its lack. */
static void
note_answer(struct hold *hold, enum wp_verdict verdict, int64_t sent_ms)
{
	int64_t now_ms = clk_now_ms();

	if (verdict != WP_NO_ANSWER) {
		ans_received(&hold->answers, now_ms - sent_ms);
		hold->silent_since_ms = 0;
		return;
	}
	ans_missed(&hold->answers);
	hold->doubt_until_ms = now_ms + DOUBT_MS;
	if (hold->silent_since_ms == 0)
		hold->silent_since_ms = sent_ms;
}

/* Extends the lease to its full length; returns its end. */
static int64_t
extend_lease(struct hold *hold)
{
	int64_t now_ms = clk_now_ms();

	hold->lease_ends_ms =
	    now_ms + hold->opts.lease_ms * (100 + LEASE_SLACK_PERCENT) / 100 +
	    LEASE_SLACK_MS;
	hold->deadline_ms =
	    hold->clock_ms + (now_ms - hold->clock_at_ms) + hold->opts.lease_ms;
	return hold->deadline_ms;
}

/*
 * The end of the lease for a start.  A call without an answer may have been
 * carried out, so a lease that each of them extends would never be known to
 * have ended while the worker is silent.
 */
static int64_t
start_deadline_ms(struct hold *hold)
{
	if (hold->silent_since_ms != 0 &&
	    hold->lease_ends_ms - clk_now_ms() > hold->opts.lease_ms / 2)
		return hold->deadline_ms;
	return extend_lease(hold);
}

static gboolean
on_next(gpointer data)
{
	struct hold *hold = data;

	hold->next_id = 0;
	call_hold(hold);
	return G_SOURCE_REMOVE;
}

static void
call_later(struct hold *hold, guint pause_ms)
{
	if (hold->next_id == 0 && hold->phase != ABSENT)
		hold->next_id = g_timeout_add(pause_ms, on_next, hold);
}

static void
forget_answer(const struct wp_answer *answer, void *ctx)
{
	(void)answer;
	(void)ctx;
}

/* Ends the runs of an earlier process, whose room is not known. */
static void
clear_runs(struct hold *hold, const struct wp_report *report)
{
	struct wp_target target = target_of(hold);
	size_t i;

	for (i = 0; i < report->n_running; i++)
		hold->opts.wp->stop(hold->opts.wp->port, &target,
		    report->running[i].task, report->running[i].run,
		    forget_answer, NULL);
	if (report->n_running == 0)
		hold->phase = READY;
	else
		evt_write("clear", "\"instance\":\"%s\",\"runs\":%zu",
		    hold->instance, report->n_running);
}

/*
 * A call without an answer may still be carried out, also by a worker that was
 * born anew under the same name, unless that has seen a higher token.
 */
static void
fence(struct hold *hold)
{
	hold->token++;
}

static void
lose(struct hold *hold, const char *reason)
{
	hold->lease_ends_ms = 0;
	hold->replaced = NULL;
	hold->opts.runs_lost(reason, hold->opts.ctx);
}

static void
take_report(struct hold *hold, const struct wp_report *report, int64_t sent_ms)
{
	size_t i;

	hold->answered_ms = clk_now_ms();
	hold->silent_since_ms = 0;
	hold->clock_ms = report->answer.clock_ms;
	hold->clock_at_ms = hold->answered_ms;
	for (i = 0; i < report->n_ended; i++)
		hold->last_end = MAX(hold->last_end, report->ended[i].number);
	if (hold->phase == CLEARING)
		clear_runs(hold, report);
	hold->opts.report(report, sent_ms, hold->opts.ctx);
	if (hold->phase == READY && hold->replaced != NULL)
		lose(hold, hold->replaced);
	check_ready(hold);
}

/* False when the report is of another incarnation, or there is none. */
static bool
is_report_of(const struct hold *hold, const struct wp_report *report)
{
	return report->answer.verdict == WP_DONE &&
	       (report->born_ms == 0 || report->born_ms == hold->born_ms);
}

static void
on_report(const struct wp_report *report, void *ctx)
{
	g_autofree struct call *call = ctx;
	struct hold *hold = call->hold;

	if (call->generation != hold->generation)
		return;
	if (call->look)
		hold->looking = false;
	else
		hold->sent_ms = 0;
	/* The wait ends early when a run ends, so only misses count. */
	if (report->answer.verdict == WP_NO_ANSWER || call->wait_ms == 0)
		note_answer(hold, report->answer.verdict,
		    call->sent_ms + call->wait_ms);
	if (report->answer.verdict == WP_FENCED)
		hold->token += TOKEN_SKIP;
	if (is_report_of(hold, report))
		take_report(hold, report, call->sent_ms);
	if (call->look &&
	    (hold->look_again || report->answer.verdict == WP_NO_ANSWER)) {
		hold->look_again = false;
		hold_request_report(hold);
	}
	/* The heartbeat of another incarnation tells the rest of it. */
	call_later(hold, is_report_of(hold, report) ? GATHER_MS : RETRY_MS);
}

static void
send_hold(struct hold *hold, const struct wp_hold *args, bool look)
{
	struct wp_target target = target_of(hold);
	struct call *call = g_new0(struct call, 1);

	call->hold = hold;
	call->generation = hold->generation;
	call->sent_ms = clk_now_ms();
	call->wait_ms = args->wait_ms;
	call->look = look;
	if (look)
		hold->looking = true;
	else
		hold->sent_ms = call->sent_ms;
	hold->opts.wp->hold(
	    hold->opts.wp->port, &target, args, on_report, call);
}

static void
call_hold(struct hold *hold)
{
	struct wp_hold args = {.last_end = hold->last_end};

	if (hold->phase == ABSENT || hold->sent_ms != 0)
		return;
	if (hold->phase == READY) {
		args.wait_ms = clk_now_ms() < hold->doubt_until_ms
				   ? DOUBT_WAIT_MS
				   : WAIT_MS;
		if (hold->silent_since_ms == 0 &&
		    hold->opts.lease_needed(hold->opts.ctx))
			args.deadline_ms = extend_lease(hold);
	}
	send_hold(hold, &args, false);
}

void
hold_request_report(struct hold *hold)
{
	struct wp_hold args = {.last_end = hold->last_end};

	if (hold->phase != READY)
		return;
	if (hold->looking)
		hold->look_again = true;
	else
		send_hold(hold, &args, true);
}

static void
begin(struct hold *hold, const struct wp_worker *worker)
{
	bool had = hold->phase != ABSENT;

	hold->generation++;
	hold->phase = CLEARING;
	hold->born_ms = worker->born_ms;
	hold->last_end = 0;
	hold->sent_ms = 0;
	hold->silent_since_ms = 0;
	hold->looking = hold->look_again = false;
	hold->answered_ms = clk_now_ms();
	hold->was_ready = false;
	g_clear_handle_id(&hold->next_id, g_source_remove);
	g_free(hold->instance);
	hold->instance = g_strdup(worker->instance);
	g_free(hold->address);
	hold->address = g_strdup(worker->address);
	if (had) {
		/*
		 * A start to the former incarnation may run on this one until
		 * it is stopped; its task must not go elsewhere before.
		 */
		fence(hold);
		hold->replaced = "worker was replaced";
	}
	evt_write("worker",
	    "\"instance\":\"%s\",\"born_ms\":%" G_GUINT64_FORMAT
	    ",\"address\":\"%s\",\"state\":\"registered\"",
	    hold->instance, hold->born_ms, hold->address);
	hold->opts.changed(hold->opts.ctx);
	call_hold(hold);
}

bool
hold_heartbeat(struct hold *hold, const struct wp_worker *worker)
{
	bool same = worker->born_ms == hold->born_ms &&
		    g_strcmp0(worker->instance, hold->instance) == 0;

	if (same && worker->seq <= hold->seq)
		return false;
	if (!same && worker->born_ms != 0 && worker->born_ms <= hold->born_ms)
		return false;
	hold->seq = worker->seq;
	if (!same || hold->phase == ABSENT)
		begin(hold, worker);
	return true;
}

void
hold_worker_left(struct hold *hold, const char *instance)
{
	if (hold->phase == ABSENT || g_strcmp0(instance, hold->instance) != 0)
		return;
	hold->generation++;
	hold->phase = ABSENT;
	hold->sent_ms = 0;
	hold->was_ready = false;
	g_clear_handle_id(&hold->next_id, g_source_remove);
	lose(hold, "worker left");
	evt_write(
	    "worker", "\"instance\":\"%s\",\"state\":\"left\"", hold->instance);
	hold->opts.changed(hold->opts.ctx);
}

/* Notices a silent worker, and when its lease must have ended. */
void
hold_tick(struct hold *hold)
{
	int64_t now_ms = clk_now_ms();

	if (hold->phase == ABSENT)
		return;
	check_ready(hold);
	if (hold->lease_ends_ms != 0 && now_ms > hold->lease_ends_ms &&
	    !hold_is_ready(hold)) {
		hold->phase = CLEARING;
		fence(hold);
		lose(hold, "worker is silent and its lease has ended");
	}
	call_later(hold, GATHER_MS);
}

static struct order *
new_order(struct hold *hold, wp_answer_fn fn, void *ctx)
{
	struct order *order = g_new0(struct order, 1);

	order->hold = hold;
	order->generation = hold->generation;
	order->sent_ms = clk_now_ms();
	order->fn = fn;
	order->ctx = ctx;
	return order;
}

static void
on_order(const struct wp_answer *answer, void *ctx)
{
	g_autofree struct order *order = ctx;

	if (order->generation == order->hold->generation)
		note_answer(order->hold, answer->verdict, order->sent_ms);
	order->fn(answer, order->ctx);
}

void
hold_start(struct hold *hold, const char *task, const char *spec, int64_t run,
    wp_answer_fn fn, void *ctx)
{
	struct wp_target target = target_of(hold);
	struct wp_start start = {
	    .task = task,
	    .spec = spec,
	    .run = run,
	    .deadline_ms = start_deadline_ms(hold),
	};

	hold->opts.wp->start(hold->opts.wp->port, &target, &start, on_order,
	    new_order(hold, fn, ctx));
}

void
hold_stop(struct hold *hold, const char *task, int64_t run, wp_answer_fn fn,
    void *ctx)
{
	struct wp_target target = target_of(hold);

	hold->opts.wp->stop(hold->opts.wp->port, &target, task, run, on_order,
	    new_order(hold, fn, ctx));
}
