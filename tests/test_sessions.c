#include <check.h>
#include <gio/gio.h>

#include "connection/peerclock.h"
#include "connection/rpc.h"
#include "connection/sessions.h"
#include "harness.h"
#include "process/clock.h"
#include "runner.h"

#define SILENCE_MS 800

/* An agent's listener, and the connection of an entry to it. */
struct pair {
	struct ses *ses;
	struct rpc_conn *entry;
	int n_started;
	int n_cancelled;
	bool closed;
};

static void
on_opened(uint64_t session, const char *entry,
    const struct run_statement *worker, void *ctx)
{
	(void)session;
	(void)entry;
	(void)worker;
	(void)ctx;
}

static void
on_session_closed(
    uint64_t session, int64_t last_sent_ms, const struct status *why, void *ctx)
{
	struct pair *pair = ctx;

	(void)session;
	(void)last_sent_ms;
	(void)why;
	pair->closed = true;
}

static void
on_start(uint64_t session, const struct run_start_args *args, void *ctx)
{
	struct pair *pair = ctx;

	(void)session;
	pair->n_started += (int)args->starts.starts_len;
}

static void
on_cancels_seen(uint64_t session, uint64_t source, uint64_t position, void *ctx)
{
	(void)session;
	(void)source;
	(void)position;
	(void)ctx;
}

static void
on_cancelled(uint64_t session, const struct run_cancelled_args *args, void *ctx)
{
	struct pair *pair = ctx;

	(void)session;
	pair->n_cancelled += (int)args->jobs.jobs_len;
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	(void)conn;
	(void)call;
	(void)ctx;
}

static void
on_entry_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	(void)conn;
	(void)why;
	(void)ctx;
}

static void
connect_entry(struct pair *pair, uint16_t port)
{
	run_open_args args = {.entry = "e0", .incarnation = 1};
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) socket = g_socket_client_connect_to_host(
	    client, "127.0.0.1", port, NULL, NULL);
	struct rpc_options opts = {
	    .socket = socket,
	    .prog = RUN_PROG,
	    .on_call = on_call,
	    .on_closed = on_entry_closed,
	};

	ck_assert_ptr_nonnull(socket);
	pair->entry = rpc_new(&opts);
	rpc_send(pair->entry, RUN_OPEN, (xdrproc_t)xdr_run_open_args, &args);
}

static void
open_pair(struct pair *pair)
{
	uint16_t port = hn_port();
	struct ses_options opts = {
	    .listen = hn_str("127.0.0.1:%u", port),
	    .silence_ms = SILENCE_MS,
	    .opened = on_opened,
	    .closed = on_session_closed,
	    .start = on_start,
	    .cancels_seen = on_cancels_seen,
	    .cancelled = on_cancelled,
	    .ctx = pair,
	};
	struct status st;

	pair->ses = ses_new(&opts, &st);
	ck_assert_ptr_nonnull(pair->ses);
	connect_entry(pair, port);
}

static void
close_pair(struct pair *pair)
{
	rpc_detach(pair->entry);
	rpc_unref(pair->entry);
	ses_free(pair->ses);
}

static void
send_start(struct pair *pair, int64_t start_within_ms)
{
	char *empty = (char *)"";
	run_start start = {.task = empty,
	    .service = empty,
	    .queue = empty,
	    .start_within_ms = start_within_ms};
	run_start_args args = {.agent_ms = clk_now_ms(), .starts = {1, &start}};

	rpc_send(pair->entry, RUN_START, (xdrproc_t)xdr_run_start_args, &args);
}

static const int64_t valid_ms[] = {0, 1, -1, PCL_MAX_MS, -PCL_MAX_MS};
static const int64_t invalid_ms[] = {
    PCL_MAX_MS + 1, -PCL_MAX_MS - 1, INT64_MAX, INT64_MIN};

/* Adding such a time to that of the message overflowed. */
START_TEST(times_of_starts_have_a_range)
{
	struct pair pair;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(invalid_ms); i++) {
		pair = (struct pair){0};
		open_pair(&pair);
		send_start(&pair, invalid_ms[i]);
		ck_assert_msg(hn_wait_until(pair.closed, HN_LIMIT_MS),
		    "%" G_GINT64_FORMAT " was accepted", invalid_ms[i]);
		ck_assert_int_eq(pair.n_started, 0);
		close_pair(&pair);
	}
	pair = (struct pair){0};
	open_pair(&pair);
	for (i = 0; i < G_N_ELEMENTS(valid_ms); i++)
		send_start(&pair, valid_ms[i]);
	ck_assert(hn_wait_until(
	    pair.n_started == (int)G_N_ELEMENTS(valid_ms), HN_LIMIT_MS));
	ck_assert(!pair.closed);
	close_pair(&pair);
	hn_finish();
}
END_TEST

static void
send_cancelled(struct pair *pair, uint64_t key, int64_t age_ms)
{
	run_cancelled job = {.key = key, .age_ms = age_ms};
	run_cancelled_args args = {.jobs = {1, &job}};

	rpc_send(pair->entry, RUN_CANCELLED, (xdrproc_t)xdr_run_cancelled_args,
	    &args);
}

static const run_cancelled invalid_jobs[] = {
    {0, 1}, {1, -1}, {1, PCL_MAX_MS + 1}, {1, INT64_MIN}};

/* Guards against a cancel of the future, or for ever, and one of no job. */
START_TEST(cancelled_jobs_have_a_range)
{
	struct pair pair;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(invalid_jobs); i++) {
		pair = (struct pair){0};
		open_pair(&pair);
		send_cancelled(
		    &pair, invalid_jobs[i].key, invalid_jobs[i].age_ms);
		ck_assert(hn_wait_until(pair.closed, HN_LIMIT_MS));
		ck_assert_int_eq(pair.n_cancelled, 0);
		close_pair(&pair);
	}
	pair = (struct pair){0};
	open_pair(&pair);
	send_cancelled(&pair, 1, 0);
	send_cancelled(&pair, UINT64_MAX, PCL_MAX_MS);
	ck_assert(hn_wait_until(pair.n_cancelled == 2, HN_LIMIT_MS));
	ck_assert(!pair.closed);
	close_pair(&pair);
	hn_finish();
}
END_TEST

TEST_MAIN("sessions", 2 * HN_LIMIT_MS / 1000.0, times_of_starts_have_a_range,
    cancelled_jobs_have_a_range)
