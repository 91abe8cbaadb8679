#include <glib.h>
#include <string.h>

#include "connection/claim.h"
#include "connection/holder.h"
#include "connection/liveness.h"
#include "connection/workerlease.h"
#include "process/clock.h"
#include "process/events.h"

/*
 * Wait of a long poll.  Each poll renews the lease, so two more renewals can be
 * sent before a lease of HOLD_MAX_LEASE_MS expires.
 */
#define POLL_WAIT_MS 160
/*
 * Wait of polls for some time after a call got no answer.  If a longer poll is
 * lost too, the runs that ended meanwhile are noticed only after its timeout.
 */
#define SHORT_POLL_WAIT_MS 30
/*
 * Where many calls are lost, polls wait for LOSSY_POLL_WAIT_MS and are sent at
 * that interval, without waiting for the timeout of those before.
 */
#define LOSSY_POLL_WAIT_MS 20
#define MAX_OPEN_POLLS	   4
/* Delay before the next poll, so that one poll reports several ended runs. */
#define POLL_DELAY_MS 4
#define POLL_RETRY_MS 50
/* A report lists all runs: with many of them the next poll comes later. */
#define RUNS_PER_POLL_DELAY_MS 16
#define MAX_POLL_DELAY_MS      40
/* Stops of runs left on the worker that are sent for one report. */
#define MAX_CLEARING_STOPS 64
/*
 * A deregistration names its worker by the id alone.  One that was held up on
 * its way may be of a former incarnation, while another one works under the
 * same id.  A worker that answers a call sent LEAVE_CHECK_MS after it has not
 * ended; one that answers none for LEAVE_LIMIT_MS has.
 */
#define LEAVE_CHECK_MS 100
#define LEAVE_LIMIT_MS 400
/*
 * Calls to a worker that is silent or may have restarted, so that its next
 * incarnation sees the raised fencing token soon after its start.  At most three
 * of them wait for an answer, and they end after CHECK_LIMIT_MS; polls go on.
 */
#define CHECK_INTERVAL_MS 20
#define CHECK_TIMEOUT_MS  60
#define CHECK_LIMIT_MS	  10000
/* How far a heartbeat may be ahead of the worker's clock as known: rounding. */
#define CLOCK_SLACK_MS 50
/* Added to the fencing token when the worker refused it as too low. */
#define FENCED_TOKEN_STEP 1000000

enum phase {
	ABSENT,	  /* no worker known, or it was deregistered */
	CLEARING, /* stops runs started earlier; no new starts yet */
	READY,
};

struct hold {
	struct hold_options opts;
	struct wls lease;
	struct lvn liveness;
	struct clm *claims; /* heartbeats that are being checked */
	enum phase phase;
	char *instance;
	char *address;
	uint64_t born_ms;
	/*
	 * Start time in an answer under the same id that is not born_ms: the
	 * worker has restarted, if the answer to a later call confirms it.  0:
	 * none.
	 */
	uint64_t other_born_ms;
	uint64_t described_born_ms; /* incarnation of its last heartbeat */
	int64_t seq;		    /* of its last heartbeat */
	int64_t stated_ms;	    /* the worker's clock in that */
	int64_t token;		    /* fencing token */
	int64_t last_end;	    /* highest number of a reported end */
	int64_t sent_ms; /* of the last poll if it is open, 0: it is not */
	uint32_t open_polls;
	int64_t leaving_since_ms; /* of its deregistration, 0: none */
	/* Counts worker changes; answers to earlier calls are ignored. */
	uint64_t generation;
	/* Runs to be reported as lost after clearing; incarnation 0: none. */
	struct hold_lost replaced;
	bool replaced_elsewhere; /* they were on a worker at another address */
	/* A call of hold_request_report(), or the pause before its repetition. */
	bool extra_in_progress;
	bool extra_pending; /* requested meanwhile */
	guint extra_id;	    /* the pause */
	guint poll_id;
	guint check_id;
	int64_t check_since_ms; /* first of the present checks, 0: none */
	bool was_ready;
};

/* What a request for a report is for. */
enum call_kind {
	POLL,
	EXTRA, /* hold_request_report() */
	CHECK, /* whether another incarnation answers */
};

struct call {
	struct hold *hold;
	enum call_kind kind;
	uint64_t generation;
	int64_t token;
	int64_t sent_ms;
	int64_t wait_ms;
	int64_t timeout_ms; /* after the wait */
};

/* A start or stop call, whose answer is passed to the caller. */
struct relayed_call {
	struct hold *hold;
	uint64_t generation;
	int64_t token;
	int64_t sent_ms;
	wp_answer_fn fn;
	void *ctx;
};

static void poll_worker(struct hold *hold);
static void adopt_worker(struct hold *hold, const struct wp_worker *worker);
static void on_report(const struct wp_report *report, void *ctx);
static void update_checks(struct hold *hold);

static void
forget_extra(struct hold *hold)
{
	hold->extra_in_progress = hold->extra_pending = false;
	g_clear_handle_id(&hold->extra_id, g_source_remove);
}

/* The worker port must not deliver any answer after this. */
void
hold_free(struct hold *hold)
{
	if (hold == NULL)
		return;
	clm_free(hold->claims);
	forget_extra(hold);
	g_clear_handle_id(&hold->poll_id, g_source_remove);
	g_clear_handle_id(&hold->check_id, g_source_remove);
	g_free(hold->instance);
	g_free(hold->address);
	g_free(hold);
}

void
hold_close(struct hold *hold)
{
	hold->generation++;
	hold->phase = ABSENT;
	clm_close(hold->claims);
	forget_extra(hold);
	g_clear_handle_id(&hold->poll_id, g_source_remove);
	g_clear_handle_id(&hold->check_id, g_source_remove);
}

static bool
is_silent(const struct hold *hold)
{
	return lvn_is_silent(&hold->liveness, clk_now_ms());
}

bool
hold_is_ready(const struct hold *hold)
{
	return hold->phase == READY && hold->leaving_since_ms == 0 &&
	       hold->other_born_ms == 0 &&
	       lvn_has_reported(&hold->liveness, clk_now_ms()) &&
	       !is_silent(hold);
}

bool
hold_is_answering(const struct hold *hold)
{
	if (hold->phase != READY || hold->replaced.incarnation != 0)
		return false;
	return lvn_is_answering(&hold->liveness, clk_now_ms());
}

/* Whether a heartbeat of the present incarnation is known. */
static bool
is_described(const struct hold *hold)
{
	return hold->described_born_ms == hold->born_ms;
}

int64_t
hold_stated_ms(const struct hold *hold)
{
	return hold->phase != ABSENT && is_described(hold) ? hold->stated_ms
							   : -1;
}

bool
hold_is_stated(const struct hold *hold)
{
	int64_t stated_ms = hold_stated_ms(hold);
	int64_t clock_ms = wls_clock_ms(&hold->lease, clk_now_ms());

	return stated_ms >= 0 &&
	       clock_ms - stated_ms <= hold->opts.statement_ms;
}

uint64_t
hold_incarnation(const struct hold *hold)
{
	return hold->phase == ABSENT ? 0 : hold->born_ms;
}

static void
update_ready(struct hold *hold)
{
	bool ready = hold_is_ready(hold);

	if (ready == hold->was_ready)
		return;
	hold->was_ready = ready;
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_bool("ready", ready),
	    evt_int(
		"answer_age_ms", clk_now_ms() - hold->liveness.reported_ms));
	hold->opts.changed(hold->opts.ctx);
}

static struct wp_target
current_target(const struct hold *hold)
{
	return (struct wp_target){
	    .address = hold->address,
	    .instance = hold->instance,
	    .token = hold->token,
	    .timeout_ms = ans_timeout_ms(&hold->liveness.answers),
	};
}

/*
 * Raises the fencing token.  An unanswered call may still be executed, also by
 * a new incarnation under the same name, until the worker sees a higher token.
 */
static void
raise_token(struct hold *hold)
{
	hold->token++;
}

/*
 * The worker refused a call with this token.  Of several calls with the same
 * token, the first that is refused raises it.
 */
static void
skip_token(struct hold *hold, int64_t token)
{
	if (token == hold->token)
		hold->token += FENCED_TOKEN_STEP;
}

static void
record_answer(struct hold *hold, enum wp_verdict verdict, int64_t sent_ms)
{
	if (verdict == WP_NO_ANSWER)
		lvn_missed(&hold->liveness, sent_ms, clk_now_ms());
	else
		lvn_answered(&hold->liveness, sent_ms, clk_now_ms());
}

/*
 * Returns the lease deadline to send with a start.  While calls are unanswered,
 * the lease is extended only when at most half of it is left: an unanswered
 * call may have been executed, so if each start extended the lease, its upper
 * bound would move on and the runs would not be reported as lost.  A start that
 * is numbered anew may reach a worker that is being cleared; without a deadline
 * the worker refuses it.
 */
static int64_t
start_deadline_ms(struct hold *hold)
{
	enum wp_lease lease = hold->opts.lease(hold->opts.ctx);

	if (hold->phase != READY || hold->leaving_since_ms != 0 ||
	    lease == WP_LEASE_PAUSE || lease == WP_LEASE_WITHHOLD)
		return hold->lease.deadline_ms;
	if (lvn_is_unanswered(&hold->liveness) &&
	    wls_is_long(&hold->lease, clk_now_ms()))
		return hold->lease.deadline_ms;
	return wls_extend(&hold->lease, clk_now_ms());
}

static gboolean
on_poll_due(gpointer data)
{
	struct hold *hold = data;

	hold->poll_id = 0;
	poll_worker(hold);
	return G_SOURCE_REMOVE;
}

static void
schedule_poll(struct hold *hold, guint pause_ms)
{
	if (hold->poll_id == 0 && hold->phase != ABSENT)
		hold->poll_id = g_timeout_add(pause_ms, on_poll_due, hold);
}

static void
ignore_answer(const struct wp_answer *answer, void *ctx)
{
	(void)answer;
	(void)ctx;
}

/*
 * Stops the runs left on the worker, since their resource use is unknown; those
 * beyond MAX_CLEARING_STOPS with the next report.
 */
static void
stop_left_runs(struct hold *hold, const struct wp_report *report)
{
	struct wp_target target = current_target(hold);
	size_t i;

	for (i = 0; i < MIN(report->n_running, MAX_CLEARING_STOPS); i++)
		hold->opts.wp->stop(hold->opts.wp->port, &target,
		    report->running[i].task, report->running[i].run,
		    ignore_answer, NULL);
	evt_write("clear", evt_text("instance", hold->instance),
	    evt_int("runs", report->n_running));
}

/*
 * Whether no run is left on the worker that was replaced.  One at the same
 * address has ended, if both answers and a heartbeat tell so; otherwise its
 * runs may go on until its lease ends.
 */
static bool
has_replaced_ended(const struct hold *hold)
{
	return hold->replaced.incarnation == 0 ||
	       (!hold->replaced_elsewhere && is_described(hold)) ||
	       clk_now_ms() > hold->lease.ends_ms;
}

/*
 * The worker becomes ready when none of its runs is left, nor one of the worker
 * that it replaced: the loss of those applies to all runs.
 */
static void
clear_runs(struct hold *hold, const struct wp_report *report)
{
	if (report->n_running > 0)
		stop_left_runs(hold, report);
	else if (has_replaced_ended(hold) && is_described(hold))
		hold->phase = READY;
}

static void
report_runs_lost(struct hold *hold, const struct hold_lost *lost)
{
	struct hold_lost copy = *lost;

	wls_drop(&hold->lease);
	hold->replaced.incarnation = 0;
	hold->replaced_elsewhere = false;
	hold->opts.runs_lost(&copy, hold->opts.ctx);
}

static struct hold_lost
current_runs_lost(const struct hold *hold, enum hold_loss why)
{
	return (struct hold_lost){
	    .why = why,
	    .incarnation = hold->born_ms,
	    .heard_ms = hold->liveness.heard_ms,
	};
}

static void
process_report(
    struct hold *hold, const struct wp_report *report, int64_t sent_ms)
{
	int64_t now_ms = clk_now_ms();
	size_t i;

	lvn_report(&hold->liveness, now_ms);
	wls_read_clock(&hold->lease, report->answer.clock_ms, now_ms);
	for (i = 0; i < report->n_ended; i++)
		hold->last_end = MAX(hold->last_end, report->ended[i].number);
	if (hold->phase == CLEARING) {
		if (hold->lease.stray_ends_ms != 0)
			wls_record_stray(&hold->lease, clk_now_ms());
		clear_runs(hold, report);
	}
	/* The present worker knows nothing of runs on the one elsewhere. */
	if (!hold->replaced_elsewhere || has_replaced_ended(hold))
		hold->opts.report(report, sent_ms, hold->opts.ctx);
	if (hold->replaced.incarnation != 0 && report->n_running == 0 &&
	    has_replaced_ended(hold))
		report_runs_lost(hold, &hold->replaced);
	update_ready(hold);
}

/* Whether the answer is a report, and of the current incarnation. */
static bool
is_report_of(const struct hold *hold, const struct wp_report *report)
{
	return report->answer.verdict == WP_DONE &&
	       report->born_ms == hold->born_ms;
}

/* A worker that answers after it was deregistered has not ended. */
static void
settle_leave(struct hold *hold, int64_t sent_ms)
{
	if (hold->leaving_since_ms == 0 ||
	    sent_ms - hold->leaving_since_ms < LEAVE_CHECK_MS)
		return;
	hold->leaving_since_ms = 0;
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_uint("born_ms", hold->born_ms), evt_text("state", "stays"));
}

/*
 * A poll that timed out is repeated at once, since the ends of runs stay
 * unknown meanwhile; its timeout limits the rate.  Other failures may come at
 * once, and a new incarnation is known only when its heartbeat arrives.
 */
static guint
poll_pause_ms(const struct hold *hold, const struct call *call,
    const struct wp_report *report)
{
	int64_t open_ms = clk_now_ms() - call->sent_ms;
	bool timed_out = report->answer.verdict == WP_NO_ANSWER &&
			 open_ms >= call->wait_ms + call->timeout_ms / 2;
	bool usual = is_report_of(hold, report) && is_described(hold);

	if (!timed_out && !usual)
		return POLL_RETRY_MS;
	return CLAMP((guint)report->n_running / RUNS_PER_POLL_DELAY_MS,
	    POLL_DELAY_MS, MAX_POLL_DELAY_MS);
}

static void
open_poll(struct hold *hold, const struct call *call)
{
	hold->sent_ms = call->sent_ms;
	hold->open_polls++;
}

static void
close_poll(struct hold *hold, const struct call *call)
{
	hold->open_polls--;
	if (call->sent_ms == hold->sent_ms)
		hold->sent_ms = 0;
}

static void
send_hold(struct hold *hold, const struct wp_hold *args, enum call_kind kind)
{
	struct wp_target target = current_target(hold);
	struct call *call = g_new0(struct call, 1);

	call->hold = hold;
	call->kind = kind;
	call->generation = hold->generation;
	call->token = hold->token;
	call->sent_ms = clk_now_ms();
	call->wait_ms = args->wait_ms;
	if (kind == CHECK)
		target.timeout_ms = CHECK_TIMEOUT_MS;
	call->timeout_ms = target.timeout_ms;
	if (kind == EXTRA)
		hold->extra_in_progress = true;
	else if (kind == POLL)
		open_poll(hold, call);
	hold->opts.wp->hold(
	    hold->opts.wp->port, &target, args, on_report, call);
}

/*
 * Acknowledges no ends: another incarnation would take the number of the last
 * one for one of its own.
 */
static void
send_check(struct hold *hold)
{
	struct wp_hold args = {0};

	send_hold(hold, &args, CHECK);
}

static gboolean
on_check_due(gpointer data)
{
	struct hold *hold = data;

	update_checks(hold);
	if (hold->check_id == 0)
		return G_SOURCE_REMOVE;
	send_check(hold);
	return G_SOURCE_CONTINUE;
}

/*
 * Starts or ends the checks.  The token is raised when they start: unanswered
 * starts of the former incarnation must have a lower one.
 */
static void
update_checks(struct hold *hold)
{
	int64_t now_ms = clk_now_ms();

	if (hold->phase == ABSENT ||
	    (hold->other_born_ms == 0 && !is_silent(hold))) {
		hold->check_since_ms = 0;
		g_clear_handle_id(&hold->check_id, g_source_remove);
		return;
	}
	if (hold->check_since_ms == 0) {
		hold->check_since_ms = now_ms;
		raise_token(hold);
		hold->check_id =
		    g_timeout_add(CHECK_INTERVAL_MS, on_check_due, hold);
	} else if (now_ms - hold->check_since_ms > CHECK_LIMIT_MS) {
		g_clear_handle_id(&hold->check_id, g_source_remove);
	}
}

/*
 * An answer names another incarnation.  The token is raised and sent at once,
 * so that the worker refuses what was meant for the former incarnation.
 */
static void
suspect_restart(struct hold *hold, uint64_t born_ms)
{
	hold->other_born_ms = born_ms;
	raise_token(hold);
	wls_record_stray(&hold->lease, clk_now_ms());
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_uint("born_ms", born_ms), evt_text("state", "suspected"));
	update_ready(hold);
	update_checks(hold);
	send_check(hold);
}

/*
 * Takes up an incarnation that has answered twice, before its heartbeat, which
 * any number and time is newer than.
 */
static void
adopt_restarted(struct hold *hold, const struct wp_report *report)
{
	struct wp_worker worker = {
	    .instance = hold->instance,
	    .address = hold->address,
	    .born_ms = report->born_ms,
	    .clock_ms = report->answer.clock_ms,
	    .seq = -1,
	};

	adopt_worker(hold, &worker);
	hold->seq = hold->stated_ms = -1;
	hold->opts.changed(hold->opts.ctx);
	poll_worker(hold);
}

/*
 * A single answer with another start time may be false.  The worker has
 * restarted when the answer to a call with the token raised since confirms it.
 */
static void
check_incarnation(
    struct hold *hold, const struct wp_report *report, int64_t token)
{
	if (report->answer.verdict != WP_DONE || report->born_ms == 0)
		return;
	if (report->born_ms != hold->other_born_ms)
		suspect_restart(hold, report->born_ms);
	else if (token == hold->token)
		adopt_restarted(hold, report);
}

static void
handle_report(
    struct hold *hold, const struct wp_report *report, const struct call *call)
{
	if (!is_report_of(hold, report)) {
		check_incarnation(hold, report, call->token);
		return;
	}
	if (call->token == hold->token)
		hold->other_born_ms = 0;
	settle_leave(hold, call->sent_ms);
	process_report(hold, report, call->sent_ms);
}

static void
mark_answered(struct hold *hold, const struct call *call)
{
	if (call->kind == EXTRA)
		hold->extra_in_progress = false;
	else if (call->kind == POLL)
		close_poll(hold, call);
}

static gboolean
on_extra_due(gpointer data)
{
	struct hold *hold = data;

	hold->extra_id = 0;
	forget_extra(hold);
	hold_request_report(hold);
	return G_SOURCE_REMOVE;
}

/* An unanswered call is repeated after a pause: a refused one fails at once. */
static void
repeat_extra(struct hold *hold, bool answered)
{
	bool pending = hold->extra_pending;

	hold->extra_pending = false;
	if (answered && pending) {
		hold_request_report(hold);
	} else if (!answered && hold->phase == READY) {
		hold->extra_in_progress = true;
		hold->extra_id =
		    g_timeout_add(POLL_DELAY_MS, on_extra_due, hold);
	}
}

static void
on_report(const struct wp_report *report, void *ctx)
{
	g_autofree struct call *call = ctx;
	struct hold *hold = call->hold;

	if (call->generation != hold->generation)
		return;
	mark_answered(hold, call);
	/*
	 * An answered poll with a wait is not recorded: it may return before
	 * the wait is over, and so does not show the worker's answer time.  Nor
	 * does a check that got none, whose timeout is fixed.
	 */
	if (report->answer.verdict == WP_NO_ANSWER ? call->kind != CHECK
						   : call->wait_ms == 0)
		record_answer(hold, report->answer.verdict,
		    call->sent_ms + call->wait_ms);
	else if (report->answer.verdict != WP_NO_ANSWER)
		ans_heard(&hold->liveness.answers, clk_now_ms());
	if (report->answer.verdict == WP_FENCED)
		skip_token(hold, call->token);
	handle_report(hold, report, call);
	if (call->kind == EXTRA)
		repeat_extra(hold, report->answer.verdict != WP_NO_ANSWER);
	if (hold->sent_ms == 0 && is_report_of(hold, report))
		g_clear_handle_id(&hold->poll_id, g_source_remove);
	schedule_poll(hold, poll_pause_ms(hold, call, report));
}

static bool
polls_overlap(const struct hold *hold)
{
	return hold->phase == READY && ans_is_lossy(&hold->liveness.answers);
}

static int64_t
poll_wait_ms(const struct hold *hold)
{
	if (polls_overlap(hold))
		return LOSSY_POLL_WAIT_MS;
	return lvn_misses_calls(&hold->liveness, clk_now_ms())
		   ? SHORT_POLL_WAIT_MS
		   : POLL_WAIT_MS;
}

static bool
may_poll(const struct hold *hold)
{
	if (hold->sent_ms == 0)
		return true;
	return polls_overlap(hold) && hold->open_polls < MAX_OPEN_POLLS &&
	       clk_now_ms() - hold->sent_ms >= LOSSY_POLL_WAIT_MS;
}

static void
poll_worker(struct hold *hold)
{
	struct wp_hold args = {.last_end = hold->last_end};

	if (hold->phase == ABSENT || !may_poll(hold))
		return;
	if (hold->phase == READY && hold->other_born_ms == 0) {
		args.wait_ms = poll_wait_ms(hold);
		if (!lvn_is_unanswered(&hold->liveness) &&
		    hold->leaving_since_ms == 0 &&
		    hold->opts.lease(hold->opts.ctx) == WP_LEASE_RENEW)
			args.deadline_ms =
			    wls_extend(&hold->lease, clk_now_ms());
	}
	send_hold(hold, &args, POLL);
	if (polls_overlap(hold))
		schedule_poll(hold, LOSSY_POLL_WAIT_MS);
}

void
hold_request_report(struct hold *hold)
{
	struct wp_hold args = {.last_end = hold->last_end};

	if (hold->phase != READY)
		return;
	if (hold->extra_in_progress)
		hold->extra_pending = true;
	else
		send_hold(hold, &args, EXTRA);
}

static void
record_statement(struct hold *hold, const struct wp_worker *worker)
{
	hold->described_born_ms = worker->born_ms;
	hold->seq = worker->seq;
	hold->stated_ms = worker->clock_ms;
}

/* text may be the present one. */
static void
set_text(char **to, const char *text)
{
	char *copy = g_strdup(text);

	g_free(*to);
	*to = copy;
}

static void
adopt_worker(struct hold *hold, const struct wp_worker *worker)
{
	int64_t now_ms = clk_now_ms();
	bool had_worker = hold->phase != ABSENT;
	bool had_calls = hold->born_ms != 0;
	bool has_same_id = had_calls &&
			   strcmp(worker->instance, hold->instance) == 0 &&
			   strcmp(worker->address, hold->address) == 0;

	if (had_worker && hold->replaced.incarnation == 0)
		hold->replaced = current_runs_lost(hold, HOLD_REPLACED);
	if (had_worker && strcmp(worker->address, hold->address) != 0)
		hold->replaced_elsewhere = true;
	hold->generation++;
	hold->phase = CLEARING;
	hold->born_ms = worker->born_ms;
	hold->other_born_ms = 0;
	hold->last_end = 0;
	hold->sent_ms = 0;
	hold->open_polls = 0;
	hold->leaving_since_ms = 0;
	forget_extra(hold);
	lvn_adopt(&hold->liveness, now_ms);
	wls_adopt(&hold->lease, worker->clock_ms, now_ms);
	if (has_same_id)
		wls_record_stray(&hold->lease, now_ms);
	hold->was_ready = false;
	g_clear_handle_id(&hold->poll_id, g_source_remove);
	set_text(&hold->instance, worker->instance);
	set_text(&hold->address, worker->address);
	if (had_calls) {
		/*
		 * The new incarnation may have executed a start sent to a
		 * former one, which may have left before.  The runs are
		 * reported lost, so that their tasks restart elsewhere, only
		 * after it was cleared.
		 */
		raise_token(hold);
	}
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_uint("born_ms", hold->born_ms),
	    evt_text("address", hold->address),
	    evt_text("state", "registered"));
}

/* Whether worker is the current incarnation, also after it has left. */
static bool
is_current(const struct hold *hold, const struct wp_worker *worker)
{
	return worker->born_ms == hold->born_ms &&
	       g_strcmp0(worker->instance, hold->instance) == 0 &&
	       g_strcmp0(worker->address, hold->address) == 0;
}

/*
 * Heartbeats are ordered by the worker's clock, which its answers bear out,
 * rather than by their numbers: one of another writer with a high number would
 * hide all later ones of the worker.
 */
static bool
is_newer(const struct hold *hold, const struct wp_worker *worker)
{
	if (worker->clock_ms != hold->stated_ms)
		return worker->clock_ms > hold->stated_ms;
	return worker->seq > hold->seq;
}

/* Whether the heartbeat is of a time that the worker's clock has not reached. */
static bool
is_ahead(const struct hold *hold, const struct wp_worker *worker)
{
	return worker->clock_ms >
	       wls_clock_ms(&hold->lease, clk_now_ms()) + CLOCK_SLACK_MS;
}

static void
apply_statement(struct hold *hold, const struct wp_worker *worker)
{
	bool adopted = hold->phase == ABSENT || !is_current(hold, worker);
	bool was_described;

	if (adopted)
		adopt_worker(hold, worker);
	was_described = !adopted && is_described(hold);
	record_statement(hold, worker);
	hold->opts.described(worker, hold->opts.ctx);
	if (adopted)
		hold->opts.changed(hold->opts.ctx);
	if (!was_described)
		poll_worker(hold);
}

/*
 * The worker that has just answered is the one that is there, also if it began
 * before the present one: the latter may have been named by another writer, or
 * the time of day may have jumped.
 */
static void
on_claim_confirmed(const struct wp_worker *worker, void *ctx)
{
	struct hold *hold = ctx;

	if (!is_current(hold, worker) || is_newer(hold, worker))
		apply_statement(hold, worker);
}

static void
fill_claim_target(struct wp_target *target, void *ctx)
{
	const struct hold *hold = ctx;

	target->token = hold->token;
	target->timeout_ms = ans_timeout_ms(&hold->liveness.answers);
}

static void
on_claim_fenced(int64_t token, void *ctx)
{
	skip_token(ctx, token);
}

/* Processes a statement; check is called for one that needs an answer. */
static void
take_statement(struct hold *hold, const struct wp_worker *worker,
    void (*check)(struct clm *clm, const struct wp_worker *worker))
{
	bool current = is_current(hold, worker);

	if (current && !is_newer(hold, worker))
		return;
	if (current && hold->phase != ABSENT && !is_ahead(hold, worker))
		apply_statement(hold, worker);
	else
		check(hold->claims, worker);
}

void
hold_heartbeat(struct hold *hold, const struct wp_worker *worker)
{
	take_statement(hold, worker, clm_check);
}

void
hold_suggest(struct hold *hold, const struct wp_worker *worker)
{
	if (hold->phase == ABSENT || is_current(hold, worker))
		take_statement(hold, worker, clm_suggest);
}

struct hold *
hold_new(const struct hold_options *opts)
{
	struct hold *hold = g_new0(struct hold, 1);
	struct clm_options claims = {
	    .wp = opts->wp,
	    .fill_target = fill_claim_target,
	    .fenced = on_claim_fenced,
	    .confirmed = on_claim_confirmed,
	    .ctx = hold,
	};

	hold->opts = *opts;
	hold->lease.granted_ms = opts->lease_ms;
	hold->lease.lease_ms = MIN(opts->lease_ms, HOLD_MAX_LEASE_MS);
	hold->token = opts->token;
	hold->claims = clm_new(&claims);
	return hold;
}

bool
hold_worker_left(struct hold *hold, const char *instance)
{
	if (hold->phase == ABSENT || g_strcmp0(instance, hold->instance) != 0)
		return false;
	if (hold->leaving_since_ms != 0)
		return true;
	hold->leaving_since_ms = clk_now_ms();
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_uint("born_ms", hold->born_ms),
	    evt_text("state", "deregistered"));
	update_ready(hold);
	return true;
}

/* The worker has ended and its lease has expired. */
static void
forget_worker(struct hold *hold)
{
	struct hold_lost lost = current_runs_lost(hold, HOLD_LEFT);

	hold->generation++;
	hold->phase = ABSENT;
	hold->sent_ms = 0;
	hold->open_polls = 0;
	hold->leaving_since_ms = 0;
	forget_extra(hold);
	hold->was_ready = false;
	g_clear_handle_id(&hold->poll_id, g_source_remove);
	report_runs_lost(hold, &lost);
	evt_write("worker", evt_text("instance", hold->instance),
	    evt_text("state", "left"));
	hold->opts.left(hold->instance, hold->opts.ctx);
	hold->opts.changed(hold->opts.ctx);
}

static void
check_leave(struct hold *hold)
{
	int64_t now_ms = clk_now_ms();
	int64_t leaving_ms = now_ms - hold->leaving_since_ms;

	if (leaving_ms > LEAVE_LIMIT_MS &&
	    now_ms > wls_last_end_ms(&hold->lease))
		forget_worker(hold);
	else if (leaving_ms >= LEAVE_CHECK_MS && !hold->extra_in_progress)
		hold_request_report(hold);
}

/*
 * Whether a worker that replaced another one reports what runs on it.  The runs
 * of the former are lost once it is cleared.
 */
static bool
is_being_cleared(const struct hold *hold)
{
	return hold->replaced.incarnation != 0 &&
	       lvn_has_reported(&hold->liveness, clk_now_ms());
}

static void
check_lease(struct hold *hold)
{
	struct hold_lost lost = hold->replaced.incarnation != 0
				    ? hold->replaced
				    : current_runs_lost(hold, HOLD_SILENT);

	if (hold->lease.ends_ms == 0 ||
	    clk_now_ms() <= wls_last_end_ms(&hold->lease) ||
	    hold_is_ready(hold) || is_being_cleared(hold))
		return;
	hold->phase = CLEARING;
	raise_token(hold);
	report_runs_lost(hold, &lost);
}

/*
 * Updates the readiness of the worker, and reports its runs as lost when it
 * stopped answering and its lease has certainly expired.
 */
void
hold_tick(struct hold *hold)
{
	if (hold->phase == ABSENT)
		return;
	update_ready(hold);
	update_checks(hold);
	if (hold->leaving_since_ms != 0)
		check_leave(hold);
	else
		check_lease(hold);
	schedule_poll(hold, POLL_DELAY_MS);
}

static struct relayed_call *
relayed_call_new(struct hold *hold, wp_answer_fn fn, void *ctx)
{
	struct relayed_call *relayed_call = g_new0(struct relayed_call, 1);

	relayed_call->hold = hold;
	relayed_call->generation = hold->generation;
	relayed_call->token = hold->token;
	relayed_call->sent_ms = clk_now_ms();
	relayed_call->fn = fn;
	relayed_call->ctx = ctx;
	return relayed_call;
}

static void
on_relayed_answer(const struct wp_answer *answer, void *ctx)
{
	g_autofree struct relayed_call *relayed_call = ctx;
	struct hold *hold = relayed_call->hold;

	if (relayed_call->generation == hold->generation) {
		record_answer(hold, answer->verdict, relayed_call->sent_ms);
		if (answer->verdict == WP_FENCED)
			skip_token(hold, relayed_call->token);
	}
	relayed_call->fn(answer, relayed_call->ctx);
}

void
hold_start(struct hold *hold, const char *task, GBytes *spec, int64_t run,
    wp_answer_fn fn, void *ctx)
{
	struct wp_target target = current_target(hold);
	struct wp_start start = {
	    .task = task,
	    .spec = spec,
	    .run = run,
	    .deadline_ms = start_deadline_ms(hold),
	};

	hold->opts.wp->start(hold->opts.wp->port, &target, &start,
	    on_relayed_answer, relayed_call_new(hold, fn, ctx));
}

void
hold_stop(struct hold *hold, const char *task, int64_t run, wp_answer_fn fn,
    void *ctx)
{
	struct wp_target target = current_target(hold);

	hold->opts.wp->stop(hold->opts.wp->port, &target, task, run,
	    on_relayed_answer, relayed_call_new(hold, fn, ctx));
}
