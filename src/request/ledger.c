#include <glib.h>
#include <string.h>

#include "request/ledgerrun.h"
#include "request/reportindex.h"

/*
 * A stop that the worker has not confirmed is sent again after this time.  The
 * first ones without an answer are repeated at once.
 */
#define STOP_REPEAT_MS	 400
#define MAX_PROMPT_STOPS 5
/*
 * A run that its entry has given up takes the lease from the worker if it has
 * not ended within this time.  With the lease of HOLD_MAX_LEASE_MS after it,
 * the run is over before its job is sent again, 1.3 s after it was given up.
 */
#define STOP_PATIENCE_MS 400
/*
 * The lease is not renewed when the entry of a run has sent nothing for this
 * long.  With the lease of HOLD_MAX_LEASE_MS after it, the run is over 1.3 s
 * after the entry's last message, also if its stop is not carried out then.
 */
#define SILENT_ENTRY_MS 650
/* Run numbers skipped when the worker has already seen higher ones. */
#define RUN_NUMBER_SKIP 10000
#define MAX_RENUMBERS	3
/*
 * A start is sent this often under one run number.  The worker executes a run
 * number once at most and tells if it is there already, so that a call that is
 * executed late does nothing.  When none is answered, a report and a stop
 * settle the run.
 */
#define MAX_START_CALLS 5

struct led {
	struct led_options opts;
	struct rlm *limits;
	struct wk_size capacity;
	struct wk_size used; /* by active runs */
	struct wk_size queued;
	int64_t last_run;
	uint64_t next_order;
	GSequence *queue;    /* struct run, by priority and order */
	GHashTable *active;  /* run number to struct run */
	GHashTable *by_task; /* task to active struct run */
	bool starting_queued;
	bool waits_for_place; /* a queued start, in the last pass */
};

struct led *
led_new(const struct led_options *opts)
{
	struct led *led = g_new0(struct led, 1);

	led->opts = *opts;
	led->limits = rlm_new(&opts->limits);
	led->queue = g_sequence_new(NULL);
	led->active = g_hash_table_new(g_int64_hash, g_int64_equal);
	led->by_task = g_hash_table_new(g_str_hash, g_str_equal);
	return led;
}

/* Frees the ledger without stopping its runs.  NULL is allowed. */
void
led_free(struct led *led)
{
	GHashTableIter iter;
	GSequenceIter *it;
	gpointer value;

	if (led == NULL)
		return;
	for (it = g_sequence_get_begin_iter(led->queue);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		lrn_free(g_sequence_get(it));
	g_sequence_free(led->queue);
	g_hash_table_iter_init(&iter, led->active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lrn_free(value);
	g_hash_table_unref(led->by_task);
	g_hash_table_unref(led->active);
	rlm_free(led->limits);
	g_free(led);
}

void
led_set_run_floor(struct led *led, int64_t run)
{
	led->last_run = MAX(led->last_run, run);
}

static void
report_result(struct led *led, const struct run *run, enum led_outcome outcome,
    int64_t run_ms, const char *reason)
{
	struct led_result result = {
	    .session = run->session,
	    .seq = run->seq,
	    .outcome = outcome,
	    .run_ms = run_ms,
	    .nominal_ms = run->nominal_ms,
	    .reason = reason,
	    .task = run->task,
	    .queue = run->queue,
	    .run = run->number,
	};

	led->opts.result(&result, led->opts.ctx);
}

/* Frees an active run and the capacity that it holds. */
static void
release(struct led *led, struct run *run)
{
	wk_subtract(&led->used, &run->size);
	rlm_end_run(led->limits, run->session);
	g_hash_table_remove(led->active, &run->number);
	g_hash_table_remove(led->by_task, run->task);
	lrn_free(run);
}

static void
finish(struct led *led, struct run *run, enum led_outcome outcome,
    const char *reason, int64_t now_ms)
{
	int64_t run_ms = run->sent_ms == 0 ? 0 : now_ms - run->sent_ms;

	if (outcome == LED_STALLED)
		run_ms = run->progress.projected_ms;

	report_result(led, run, outcome, run_ms, reason);
	release(led, run);
}

static void
refuse_queued(struct led *led, GSequenceIter *it, const char *reason)
{
	struct run *run = g_sequence_get(it);

	g_sequence_remove(it);
	wk_subtract(&led->queued, &run->size);
	rlm_unqueue(led->limits, run->session);
	report_result(led, run, LED_NOT_STARTED, 0, reason);
	lrn_free(run);
}

/* Returns why a new start can't be queued, or NULL if it can. */
static const char *
reason_to_refuse(struct led *led, const struct run *run)
{
	bool has_room = rlm_receive(led->limits, run->session);

	if (run->spec == NULL)
		return "without its spec";
	if (!wk_fits(&run->size, &led->capacity))
		return "larger than the worker";
	return has_room ? NULL : "queue full";
}

static void
queue_start(struct led *led, const struct led_start *start)
{
	struct run *run = lrn_new(start, led->next_order++);
	const char *reason = reason_to_refuse(led, run);

	if (reason != NULL) {
		report_result(led, run, LED_NOT_STARTED, 0, reason);
		lrn_free(run);
		return;
	}
	wk_add(&led->queued, &run->size);
	rlm_queue(led->limits, run->session);
	g_sequence_insert_sorted(led->queue, run, lrn_compare, NULL);
}

void
led_submit(struct led *led, const struct led_start *starts, size_t n_starts,
    int64_t now_ms)
{
	size_t i;

	for (i = 0; i < n_starts; i++)
		queue_start(led, &starts[i]);
	led_start_queued(led, now_ms);
}

static void
send_stop(struct led *led, struct run *run, int64_t now_ms)
{
	run->stop_sent_ms = now_ms;
	run->stop_calls++;
	rlm_stop_called(led->limits);
	led->opts.stop(run->task, run->number, led->opts.ctx);
}

static void
begin_stop(
    struct led *led, struct run *run, const char *stop_reason, int64_t now_ms)
{
	if (run->state == STOPPING)
		return;
	run->state = STOPPING;
	run->stop_reason = stop_reason;
	if (rlm_may_call_stop(led->limits))
		send_stop(led, run, now_ms);
}

/* Sends the first stops of runs that waited for a call. */
static void
send_waiting_stops(struct led *led, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, led->active);
	while (rlm_may_call_stop(led->limits) &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->state == STOPPING && run->stop_calls == 0)
			send_stop(led, run, now_ms);
	}
}

/*
 * Returns as not started the queued start with this session and seq, or all
 * those of the session when seq is 0.
 */
static void
refuse_matching(
    struct led *led, uint64_t session, uint64_t seq, const char *reason)
{
	GSequenceIter *it = g_sequence_get_begin_iter(led->queue);

	while (!g_sequence_iter_is_end(it)) {
		GSequenceIter *next = g_sequence_iter_next(it);
		const struct run *run = g_sequence_get(it);

		if (run->session == session && (seq == 0 || run->seq == seq))
			refuse_queued(led, it, reason);
		it = next;
	}
}

static void
stop_matching(struct led *led, uint64_t session, uint64_t seq,
    const char *reason, int64_t given_up_ms, int64_t now_ms)
{
	g_autoptr(GList) runs = g_hash_table_get_values(led->active);
	GList *l;

	for (l = runs; l != NULL; l = l->next) {
		struct run *run = l->data;

		if (run->session != session || (seq != 0 && run->seq != seq))
			continue;
		if (!run->given_up)
			run->given_up_ms = given_up_ms;
		run->given_up = true;
		begin_stop(led, run, reason, now_ms);
	}
}

void
led_cancel(struct led *led, uint64_t session, uint64_t seq, int64_t given_up_ms,
    int64_t now_ms)
{
	refuse_matching(led, session, seq, "cancelled");
	stop_matching(led, session, seq, "cancelled", given_up_ms, now_ms);
}

void
led_end_session(
    struct led *led, uint64_t session, int64_t given_up_ms, int64_t now_ms)
{
	refuse_matching(led, session, 0, "session ended");
	stop_matching(led, session, 0, "session ended", given_up_ms, now_ms);
	rlm_end_session(led->limits, session);
}

void
led_return_queue(struct led *led, const char *reason, int64_t now_ms)
{
	(void)now_ms;
	while (g_sequence_get_length(led->queue) > 0)
		refuse_queued(
		    led, g_sequence_get_begin_iter(led->queue), reason);
}

/*
 * A smaller capacity returns the queue, since entries sent it for the former
 * one: the first start might never fit and hold back the others.
 */
void
led_set_capacity(
    struct led *led, const struct wk_size *capacity, int64_t now_ms)
{
	bool shrunk = !wk_fits(&led->capacity, capacity);

	led->capacity = *capacity;
	if (shrunk)
		led_return_queue(
		    led, "capacity of the worker has shrunk", now_ms);
}

static void
call_start(struct led *led, struct run *run, int64_t now_ms)
{
	run->sent_ms = now_ms;
	run->start_calls++;
	rlm_start_called(led->limits);
	led->opts.start(run->task, run->spec, run->number, led->opts.ctx);
}

static void
send_start(struct led *led, struct run *run, int64_t now_ms)
{
	run->number = ++led->last_run;
	run->state = STARTING;
	run->first_sent_ms = now_ms;
	run->start_calls = 0;
	g_hash_table_insert(led->active, &run->number, run);
	g_hash_table_insert(led->by_task, run->task, run);
	call_start(led, run, now_ms);
}

/*
 * A call that is repeated is subject to the same checks as the first one.  None
 * is sent to a worker that answers no call: it may have crashed, and its next
 * incarnation would carry out the start when the task runs elsewhere.
 */
static bool
may_send_again(const struct led *led, const struct run *run, int64_t now_ms)
{
	const char *reason;

	return now_ms <= run->start_by_ms &&
	       led->opts.worker_answers(led->opts.ctx) &&
	       led->opts.may_start(run->session, &reason, led->opts.ctx);
}

static bool
may_repeat_start(const struct led *led, const struct run *run, int64_t now_ms)
{
	return run->start_calls < MAX_START_CALLS && !run->repeat_refused &&
	       may_send_again(led, run, now_ms);
}

static bool
is_entry_silent(const struct led *led, const struct run *run, int64_t now_ms)
{
	int64_t sent_ms = led->opts.last_sent_ms(run->session, led->opts.ctx);

	return now_ms - sent_ms >= SILENT_ENTRY_MS;
}

/* What the queued starts of one session have in common during a pass. */
struct session_check {
	uint64_t session;
	bool known;
	const char *reason; /* why they are to be returned, or NULL */
};

/* The answer takes a pass over the runs, and neighbours in the queue share it. */
static const char *
check_session(struct session_check *check, const struct led *led,
    const struct run *run, int64_t now_ms)
{
	const char *reason = "not accepting";

	if (check->known && check->session == run->session)
		return check->reason;
	check->session = run->session;
	check->known = true;
	if (is_entry_silent(led, run, now_ms))
		check->reason = "entry is silent";
	else if (led->opts.may_start(run->session, &reason, led->opts.ctx))
		check->reason = NULL;
	else
		check->reason = reason;
	return check->reason;
}

static void
start_first_time(struct led *led, GSequenceIter *it, int64_t now_ms)
{
	struct run *run = g_sequence_get(it);

	g_sequence_remove(it);
	wk_subtract(&led->queued, &run->size);
	wk_add(&led->used, &run->size);
	rlm_begin_run(led->limits, run->session);
	rlm_unqueue(led->limits, run->session);
	send_start(led, run, now_ms);
}

/*
 * Strict order of priority: the first start that does not fit the free capacity
 * holds back those behind it, and so does one that finds no place or no call
 * left.  A task that still has an active run is skipped, and so is a start
 * whose session has its share of the places.  All wait while the worker answers
 * no call, as repeated starts do.
 */
void
led_start_queued(struct led *led, int64_t now_ms)
{
	struct session_check check = {0};
	GSequenceIter *it;

	if (led->starting_queued)
		return;
	led->starting_queued = true;
	led->waits_for_place = false;
	it = g_sequence_get_begin_iter(led->queue);
	while (!g_sequence_iter_is_end(it)) {
		GSequenceIter *next = g_sequence_iter_next(it);
		struct run *run = g_sequence_get(it);
		struct wk_size room = led->capacity;
		const char *reason =
		    now_ms > run->start_by_ms
			? "not started in time"
			: check_session(&check, led, run, now_ms);

		wk_subtract(&room, &led->used);
		if (reason != NULL) {
			refuse_queued(led, it, reason);
		} else if (led->opts.worker_answers(led->opts.ctx) &&
			   !g_hash_table_contains(led->by_task, run->task)) {
			enum rlm_verdict verdict =
			    rlm_check_start(led->limits, run->session);

			led->waits_for_place |=
			    rlm_lacks_place(led->limits, run->session);
			if (verdict == RLM_FULL || !wk_fits(&run->size, &room))
				break;
			if (verdict == RLM_MAY_START)
				start_first_time(led, it, now_ms);
		}
		it = next;
	}
	led->starting_queued = false;
}

void
led_tick(struct led *led, int64_t now_ms)
{
	g_autoptr(GList) runs = NULL;
	GList *l;

	send_waiting_stops(led, now_ms);
	runs = g_hash_table_get_values(led->active);
	for (l = runs; l != NULL; l = l->next) {
		struct run *run = l->data;

		if (run->state == STOPPING && run->stop_confirmed_ms == 0 &&
		    now_ms - run->stop_sent_ms >= STOP_REPEAT_MS &&
		    rlm_may_call_stop(led->limits))
			send_stop(led, run, now_ms);
	}
	led_start_queued(led, now_ms);
}

static struct run *
find_run(const struct led *led, int64_t number)
{
	return g_hash_table_lookup(led->active, &number);
}

/*
 * Starts the task again with a higher run number, since the worker has seen a
 * higher one than this agent has assigned.
 */
static void
renumber(struct led *led, struct run *run, int64_t now_ms)
{
	g_hash_table_remove(led->active, &run->number);
	g_hash_table_remove(led->by_task, run->task);
	run->renumbers++;
	led->last_run += RUN_NUMBER_SKIP;
	send_start(led, run, now_ms);
}

/* Leaves it to a later report whether the run is there. */
static void
await_report(struct led *led, struct run *run, int64_t now_ms)
{
	run->no_answer_ms = now_ms;
	led->opts.request_report(led->opts.ctx);
}

static void
start_unanswered(struct led *led, struct run *run, int64_t now_ms)
{
	if (may_repeat_start(led, run, now_ms))
		call_start(led, run, now_ms);
	else
		await_report(led, run, now_ms);
}

static void
start_refused(struct led *led, struct run *run, const struct wp_answer *answer,
    int64_t now_ms)
{
	/*
	 * The refusal says nothing about earlier calls, which were not
	 * answered: the run may be there, or may have ended.
	 */
	if (run->start_calls > 1) {
		run->repeat_refused = true;
		if (run->state == STARTING && run->no_answer_ms == 0)
			await_report(led, run, now_ms);
		return;
	}
	if (answer->verdict == WP_STALE_RUN && run->state == STARTING &&
	    run->renumbers < MAX_RENUMBERS &&
	    may_send_again(led, run, now_ms)) {
		renumber(led, run, now_ms);
		return;
	}
	finish(led, run, LED_NOT_STARTED,
	    answer->reason == NULL ? "refused by the worker" : answer->reason,
	    now_ms);
	led_start_queued(led, now_ms);
}

static void
settle_start(struct led *led, struct run *run, const struct wp_answer *answer,
    int64_t now_ms)
{
	switch (answer->verdict) {
	case WP_DONE:
		lrn_set_started(run);
		if (run->state == STARTING)
			run->state = RUNNING;
		return;
	case WP_NO_ANSWER:
		if (run->state == STARTING)
			start_unanswered(led, run, now_ms);
		return;
	case WP_STALE_RUN:
	case WP_DEADLINE_PASSED:
	case WP_FENCED:
	case WP_REFUSED:
	case WP_REPLACED:
		start_refused(led, run, answer, now_ms);
		return;
	}
}

void
led_started(struct led *led, int64_t number, const struct wp_answer *answer,
    int64_t now_ms)
{
	struct run *run = find_run(led, number);

	rlm_start_answered(led->limits);
	if (run != NULL)
		settle_start(led, run, answer, now_ms);
	led_start_queued(led, now_ms);
}

static void
settle_stop(
    struct led *led, struct run *run, enum wp_verdict verdict, int64_t now_ms)
{
	if (verdict == WP_NO_ANSWER) {
		if (run->stop_calls < MAX_PROMPT_STOPS)
			send_stop(led, run, now_ms);
		return;
	}
	if (verdict != WP_DONE && verdict != WP_STALE_RUN)
		return;
	run->stop_confirmed_ms = now_ms;
	led->opts.request_report(led->opts.ctx);
}

void
led_stopped(
    struct led *led, int64_t number, enum wp_verdict verdict, int64_t now_ms)
{
	struct run *run = find_run(led, number);

	rlm_stop_answered(led->limits);
	if (run != NULL && run->state == STOPPING)
		settle_stop(led, run, verdict, now_ms);
	send_waiting_stops(led, now_ms);
}

static void
record_end(struct led *led, const struct wp_ended *end, int64_t now_ms)
{
	struct run *run = find_run(led, end->run);

	if (run == NULL || strcmp(run->task, end->task) != 0)
		return;
	switch (end->end_kind) {
	case WP_ENDED_DONE:
		finish(led, run, LED_DONE, "", now_ms);
		return;
	case WP_ENDED_FAILED:
		finish(led, run, LED_FAILED, "", now_ms);
		return;
	case WP_ENDED_STOPPED:
	case WP_ENDED_LEASE_EXPIRED:
		break;
	}
	finish(led, run, run->stalled ? LED_STALLED : LED_LOST,
	    run->stop_reason != NULL ? run->stop_reason
				     : "lease of the worker lapsed",
	    now_ms);
}

static void
stop_slow(
    struct led *led, struct run *run, const char *stop_reason, int64_t now_ms)
{
	run->stalled = true;
	begin_stop(led, run, stop_reason, now_ms);
}

/*
 * Records a run's progress and stops the run when it has stalled or is too
 * slow.
 */
static void
record_progress(struct led *led, const struct wp_running *row, int64_t clock_ms,
    int64_t now_ms)
{
	struct run *run = find_run(led, row->run);

	if (run == NULL || run->state != RUNNING ||
	    strcmp(run->task, row->task) != 0)
		return;
	switch (pgr_report(&run->progress, row->percent, clock_ms)) {
	case PGR_USUAL:
		return;
	case PGR_STALLED:
		stop_slow(led, run, "no progress", now_ms);
		return;
	case PGR_TOO_SLOW:
		stop_slow(led, run, "too slow", now_ms);
		return;
	}
}

/*
 * A run whose stop was confirmed will never run when a report requested after
 * that does not list it.
 */
static void
release_stopped(
    struct led *led, const struct rpi *rows, int64_t sent_ms, int64_t now_ms)
{
	g_autoptr(GList) runs = g_hash_table_get_values(led->active);
	GList *l;

	for (l = runs; l != NULL; l = l->next) {
		struct run *run = l->data;

		if (run->state == STOPPING && run->stop_confirmed_ms != 0 &&
		    run->stop_confirmed_ms <= sent_ms &&
		    !rpi_lists(rows, run->task, run->number))
			finish(led, run, run->stalled ? LED_STALLED : LED_LOST,
			    run->stop_reason, now_ms);
	}
}

/* Without a call left, the start waits for the next report. */
static void
settle_unlisted(struct led *led, struct run *run, int64_t now_ms)
{
	if (may_repeat_start(led, run, now_ms)) {
		if (!rlm_may_call_start(led->limits))
			return;
		run->no_answer_ms = 0;
		call_start(led, run, now_ms);
	} else {
		begin_stop(led, run, "start without an answer", now_ms);
	}
}

/*
 * Settles starts that got no answer.  One that a later report lists is running.
 * Any other may still be carried out.  It is repeated, since the worker answers
 * again, or a stop is sent, after which the worker refuses its run number.
 */
static void
settle_unanswered(
    struct led *led, const struct rpi *rows, int64_t sent_ms, int64_t now_ms)
{
	g_autoptr(GList) runs = g_hash_table_get_values(led->active);
	GList *l;

	for (l = runs; l != NULL; l = l->next) {
		struct run *run = l->data;

		if (run->state != STARTING || run->no_answer_ms == 0 ||
		    run->no_answer_ms > sent_ms)
			continue;
		if (rpi_lists(rows, run->task, run->number)) {
			lrn_set_started(run);
			run->state = RUNNING;
		} else {
			settle_unlisted(led, run, now_ms);
		}
	}
}

void
led_report(struct led *led, const struct wp_report *report, int64_t sent_ms,
    int64_t now_ms)
{
	struct rpi *rows = rpi_new(report);
	size_t i;

	for (i = 0; i < report->n_ended; i++)
		record_end(led, &report->ended[i], now_ms);
	for (i = 0; i < report->n_running; i++)
		record_progress(
		    led, &report->running[i], report->answer.clock_ms, now_ms);
	settle_unanswered(led, rows, sent_ms, now_ms);
	release_stopped(led, rows, sent_ms, now_ms);
	rpi_free(rows);
	led_start_queued(led, now_ms);
}

void
led_worker_lost(struct led *led, const char *reason, int64_t now_ms)
{
	g_autoptr(GList) runs = g_hash_table_get_values(led->active);
	GList *l;

	for (l = runs; l != NULL; l = l->next)
		finish(led, l->data, LED_LOST, reason, now_ms);
	led_return_queue(led, reason, now_ms);
}

/* What is to be done with the lease if there were no other run. */
static enum wp_lease
lease_of_run(const struct led *led, const struct run *run, int64_t now_ms)
{
	if (run->given_up)
		return now_ms - run->given_up_ms >= STOP_PATIENCE_MS
			   ? WP_LEASE_WITHHOLD
			   : WP_LEASE_UNNEEDED;
	if (is_entry_silent(led, run, now_ms))
		return WP_LEASE_PAUSE;
	return run->state == STOPPING ? WP_LEASE_UNNEEDED : WP_LEASE_RENEW;
}

enum wp_lease
led_lease(const struct led *led, int64_t now_ms)
{
	enum wp_lease lease = WP_LEASE_UNNEEDED;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, led->active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lease = MAX(lease, lease_of_run(led, value, now_ms));
	return lease;
}

void
led_room(const struct led *led, struct wk_size *room)
{
	*room = led->capacity;
	wk_subtract(room, &led->used);
	wk_subtract(room, &led->queued);
}

uint64_t
led_start_limit(const struct led *led, uint64_t session, uint32_t n_sessions)
{
	return rlm_start_limit(led->limits, session, n_sessions);
}

uint32_t
led_queued(const struct led *led)
{
	return (uint32_t)g_sequence_get_length(led->queue);
}

bool
led_waits_for_place(const struct led *led)
{
	return led->waits_for_place;
}

uint32_t
led_active(const struct led *led)
{
	return g_hash_table_size(led->active);
}

void
led_count_states(const struct led *led, struct led_states *states)
{
	GHashTableIter iter;
	gpointer value;

	*states = (struct led_states){.queued = led_queued(led)};
	g_hash_table_iter_init(&iter, led->active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lrn_count_state(value, states);
}

const char *
led_queue_of(const struct led *led, int64_t number)
{
	const struct run *run = find_run(led, number);

	return run == NULL ? NULL : run->queue;
}

void
led_each_active(const struct led *led,
    void (*fn)(const struct led_active_run *run, void *ctx), void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, led->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;
		struct led_active_run active = {
		    .task = run->task,
		    .queue = run->queue,
		    /* Any of the calls without an answer may be in effect. */
		    .sent_ms = run->started ? run->sent_ms : run->first_sent_ms,
		    .started = run->started,
		};

		fn(&active, ctx);
	}
}
