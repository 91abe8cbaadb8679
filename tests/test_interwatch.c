#include <check.h>
#include <string.h>

#include "harness.h"
#include "process/clock.h"
#include "process/interpool.h"
#include "process/interwatch.h"
#include "runner.h"

#define N_RUNS 120

/* An agent and an entry that exchange rows over a connection. */
struct pair {
	struct ctr_registry *counters[2];
	struct itw *agent;
	struct itp *entry;
	struct ses *ses;
	struct wlk *link;
	struct pwr_pace pace;
	uint64_t session;
	struct wks *workers;
	struct wks_worker *worker;
	int n_messages;
};

static void
on_opened(uint64_t session, const char *entry, const struct run_statement *w,
    void *ctx)
{
	(void)entry;
	(void)w;
	((struct pair *)ctx)->session = session;
}

static void
on_session_closed(
    uint64_t session, int64_t last_sent_ms, const struct status *why, void *ctx)
{
	(void)session;
	(void)last_sent_ms;
	(void)why;
	(void)ctx;
}

static void
on_heartbeat(uint64_t session, const struct run_heartbeat_args *args, void *ctx)
{
	(void)session;
	(void)args;
	(void)ctx;
}

static void
fill_heartbeat(struct run_heartbeat_args *args, void *ctx)
{
	(void)ctx;
	memset(args, 0, sizeof(*args));
}

static void
on_merged(uint64_t session, const struct run_interference_args *args, void *ctx)
{
	struct pair *pair = ctx;

	pair->n_messages++;
	itw_receive(pair->agent, session, args);
}

static void
on_reported(
    struct wlk *link, const struct run_interference_args *args, void *ctx)
{
	struct pair *pair = ctx;

	pair->n_messages++;
	itp_receive(pair->entry, wlk_address(link), args);
}

static void
on_update(struct wlk *link, const struct run_update_args *args, void *ctx)
{
	struct pair *pair = ctx;

	(void)link;
	itp_update(pair->entry, pair->worker, args);
}

static void
on_closed(struct wlk *link, const struct status *why, void *ctx)
{
	(void)link;
	(void)why;
	(void)ctx;
}

static void
open_pair(struct pair *pair)
{
	const char *address = hn_str("127.0.0.1:%u", hn_port());
	struct ses_options ses = {.listen = address,
	    .silence_ms = HN_LIMIT_MS,
	    .opened = on_opened,
	    .closed = on_session_closed,
	    .interference = on_merged,
	    .on_heartbeat = on_heartbeat,
	    .ctx = pair};
	struct wlk_options link = {.address = address,
	    .name = "e0",
	    .fill_heartbeat = fill_heartbeat,
	    .update = on_update,
	    .interference = on_reported,
	    .closed = on_closed,
	    .ctx = pair};
	struct status st;

	pair->workers = wks_new();
	pair->worker = wks_add(pair->workers, NULL);
	pair->counters[0] = ctr_new();
	pair->counters[1] = ctr_new();
	pair->agent = itw_new(true, pair->counters[0]);
	pair->entry = itp_new(true, pair->counters[1]);
	pair->ses = ses_new(&ses, &st);
	itw_set_sessions(pair->agent, pair->ses);
	pair->link = wlk_new(&link);
	ck_assert(hn_wait_until(pair->session != 0, HN_LIMIT_MS));
}

static void
close_pair(struct pair *pair)
{
	wlk_free(pair->link);
	ses_free(pair->ses);
	itp_free(pair->entry);
	itw_free(pair->agent);
	wks_free(pair->workers);
	ctr_free(pair->counters[0]);
	ctr_free(pair->counters[1]);
	hn_finish();
}

/* What both processes do many times a second. */
static void
tick(struct pair *pair)
{
	run_update_args update = {.clock_ms = clk_now_ms()};

	itw_tick(pair->agent);
	itw_fill_update(pair->agent, &update);
	ses_send(pair->ses, pair->session, RUN_UPDATE,
	    (xdrproc_t)xdr_run_update_args, &update);
	wlk_tick(pair->link);
	itp_tick(pair->entry);
	itp_send(pair->entry, pair->link, &pair->pace);
}

/* Every other run is twice as long, beside one of the queue "other". */
static void
measure(struct pair *pair)
{
	int i;

	for (i = 0; i < N_RUNS; i++) {
		g_autofree char *task = g_strdup_printf("j%d.0.0.0", i);
		struct led_result run = {.outcome = LED_DONE,
		    .run = (int64_t)2 * i + 1,
		    .run_ms = i % 2 == 0 ? 100 : 200,
		    .nominal_ms = 100,
		    .task = task};
		struct led_result other = {.outcome = LED_LOST,
		    .run = (int64_t)2 * i + 2,
		    .task = "o.0.0.0"};

		if (i % 2 != 0)
			itw_started(pair->agent, other.task, "other");
		itw_started(pair->agent, task, "queue");
		hn_sleep(2);
		tick(pair);
		itw_ended(pair->agent, &run);
		itw_ended(pair->agent, &other);
	}
	itw_started(pair->agent, "o.0.0.0", "other");
}

static int64_t
n_pairs(struct pair *pair, int side)
{
	tick(pair);
	return *ctr_gauge(pair->counters[side], "sp_interference_pairs", "");
}

/*
 * Guards against messages without rows, against rows that are lost between the
 * agent that measures and the entry that places, and against a run that counts
 * as ended because another start of its task was never sent.
 */
START_TEST(rows_reach_the_entry_and_return)
{
	struct pair pair = {0};
	run_update_args update = {0};
	struct led_result unsent = {
	    .outcome = LED_NOT_STARTED, .task = "o.0.0.0"};

	open_pair(&pair);
	hn_sleep(100);
	ck_assert_int_eq(n_pairs(&pair, 0), 0);
	ck_assert_int_eq(pair.n_messages, 0);
	measure(&pair);
	ck_assert(hn_wait_until(n_pairs(&pair, 0) == 1, HN_LIMIT_MS));
	ck_assert(hn_wait_until(n_pairs(&pair, 1) == 1, HN_LIMIT_MS));
	ck_assert(
	    hn_wait_until((tick(&pair), pair.n_messages >= 2), HN_LIMIT_MS));
	ck_assert(hn_wait_until(
	    (tick(&pair), sld_factor(&pair.worker->slowed, "queue") > 1.5),
	    HN_LIMIT_MS));
	/* A second start of a task that runs was returned from the queue. */
	itw_ended(pair.agent, &unsent);
	itw_fill_update(pair.agent, &update);
	ck_assert_uint_eq(update.slowed.slowed_len, 1);
	/* With the setting off. */
	update = (run_update_args){0};
	itw_fill_update(itw_new(false, NULL), &update);
	ck_assert_uint_eq(update.slowed.slowed_len, 0);
	ck_assert_ptr_null(itp_new(false, NULL));
	close_pair(&pair);
}
END_TEST

TEST_MAIN(
    "interwatch", 4 * HN_LIMIT_MS / 1000.0, rows_reach_the_entry_and_return)
