#include <string.h>

#include "connection/sessions.h"
#include "connection/startbatch.h"
#include "connection/worklink.h"
#include "harness.h"
#include "process/clock.h"
#include "runner.h"

#define N_STARTS   3000
#define SPEC_BYTES 4000

static GBytes *
large_spec(void)
{
	char *spec = g_malloc(SPEC_BYTES);

	memset(spec, '7', SPEC_BYTES);
	return g_bytes_new_take(spec, SPEC_BYTES);
}

static run_start
named_start(char *queue)
{
	return (run_start){.task = "0000000000000001.0.0.1",
	    .service = "desk",
	    .queue = queue};
}

/* Guards against more starts than the agent has said it takes. */
START_TEST(limit_counts_all_starts_of_the_connection)
{
	struct sbt *sbt = sbt_new();
	g_autoptr(GBytes) spec = g_bytes_new_static("1", 1);
	run_start start = named_start("q");

	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_REFUSED);
	sbt_set_limit(sbt, 2);
	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_ADDED);
	sbt_clear(sbt);
	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_ADDED);
	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_REFUSED);
	sbt_reset(sbt);
	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_REFUSED);
	sbt_free(sbt);
}
END_TEST

/* Guards against a batch that can't be encoded because of one start in it. */
START_TEST(long_names_are_refused)
{
	struct sbt *sbt = sbt_new();
	g_autoptr(GBytes) spec = g_bytes_new_static("1", 1);
	g_autofree char *longest = g_strnfill(RUN_NAME_MAX, 'q');
	g_autofree char *longer = g_strnfill(RUN_NAME_MAX + 1, 'q');
	run_start start = named_start(longest), refused = named_start(longer);

	sbt_set_limit(sbt, 10);
	ck_assert_int_eq(sbt_add(sbt, &start, spec), SBT_ADDED);
	ck_assert_int_eq(sbt_add(sbt, &refused, spec), SBT_REFUSED);
	ck_assert_uint_eq(sbt_count(sbt), 1);
	sbt_free(sbt);
}
END_TEST

/* An agent's listener and an entry's link to it. */
struct pair {
	struct ses *ses;
	struct wlk *link;
	uint32_t n_received;
	bool allowed;
	bool closed;
};

static void
on_opened(uint64_t session, const char *entry,
    const struct run_statement *worker, void *ctx)
{
	struct pair *pair = ctx;
	run_update_args args = {
	    .clock_ms = clk_now_ms(), .start_limit = N_STARTS};

	(void)entry;
	(void)worker;
	ses_send(pair->ses, session, RUN_UPDATE, (xdrproc_t)xdr_run_update_args,
	    &args);
}

static void
on_session_closed(
    uint64_t session, int64_t last_sent_ms, const struct status *why, void *ctx)
{
	(void)session;
	(void)last_sent_ms;
	(void)why;
	((struct pair *)ctx)->closed = true;
}

static void
on_start(uint64_t session, const struct run_start_args *args, void *ctx)
{
	(void)session;
	((struct pair *)ctx)->n_received += args->starts.starts_len;
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
on_update(struct wlk *link, const struct run_update_args *args, void *ctx)
{
	(void)link;
	(void)args;
	((struct pair *)ctx)->allowed = true;
}

static void
on_closed(struct wlk *link, const struct status *why, void *ctx)
{
	(void)link;
	(void)why;
	(void)ctx;
}

/*
 * Guards against batches above the size of a record, which were dropped without
 * a word, so that their tasks waited for their deadline.
 */
START_TEST(large_batches_are_split)
{
	struct pair pair = {0};
	const char *address = hn_str("127.0.0.1:%u", hn_port());
	struct ses_options ses = {.listen = address,
	    .silence_ms = HN_LIMIT_MS,
	    .opened = on_opened,
	    .closed = on_session_closed,
	    .start = on_start,
	    .on_heartbeat = on_heartbeat,
	    .ctx = &pair};
	struct wlk_options wlk = {.address = address,
	    .name = "e0",
	    .fill_heartbeat = fill_heartbeat,
	    .update = on_update,
	    .closed = on_closed,
	    .ctx = &pair};
	run_start start = named_start("q");
	struct status st;
	int i;

	pair.ses = ses_new(&ses, &st);
	ck_assert_ptr_nonnull(pair.ses);
	pair.link = wlk_new(&wlk);
	ck_assert(hn_wait_until(pair.allowed, HN_LIMIT_MS));
	for (i = 0; i < N_STARTS; i++) {
		g_autoptr(GBytes) spec = large_spec();

		start.seq++;
		ck_assert(wlk_start(pair.link, &start, spec));
	}
	wlk_flush(pair.link);
	ck_assert(hn_wait_until(
	    pair.closed || pair.n_received == N_STARTS, HN_LIMIT_MS));
	ck_assert_uint_eq(pair.n_received, N_STARTS);
	wlk_free(pair.link);
	ses_free(pair.ses);
	hn_finish();
}
END_TEST

TEST_MAIN("startbatch", HN_LIMIT_MS / 1000.0,
    limit_counts_all_starts_of_the_connection, long_names_are_refused,
    large_batches_are_split)
