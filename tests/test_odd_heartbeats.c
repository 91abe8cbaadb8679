/*
 * Heartbeats of another writer, with real processes: they may end no run of the
 * worker beside the agent, and two of its own heartbeats later they are without
 * effect.
 */
#include <glib.h>
#include <string.h>

#include "deployment.h"
#include "oddheartbeat.h"
#include "runner.h"

/* Two heartbeats of the stand-in's workers, and news of them to the entries. */
#define HEARTBEATS_MS 700
#define N_TASKS	      24
#define N_ODD	      8
#define N_OTHERS      16 /* tasks that fit on the other workers */

static int
max_running(struct dpl *dpl)
{
	int i, n, most = 0;

	for (i = 0; i < DPL_ENTRIES; i++) {
		n = dpl_count_running(dpl, i, N_TASKS);
		if (n < 0)
			return n;
		most = MAX(most, n);
	}
	return most;
}

START_TEST(odd_heartbeat_displaces_nobody)
{
	const struct ohb_row *row = &ohb_rows[_i];
	struct hn_http *job, *counts;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = hn_http_start("POST", dpl_url(&dpl, 0, "/q/00000000000000ee"),
	    NULL,
	    "{\"spec\":\"1500\",\"best_effort\":true,\"steps\":[{\"count\":9,"
	    "\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250}]}");
	hn_sleep(300);
	hn_http_wait(ohb_send(&dpl, 0, row), 2 * HN_LIMIT_MS);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	counts = dpl_control(&dpl, "GET", "counts", NULL);
	ck_assert_msg(hn_json_int(counts, "lapsed") == 0 &&
			  hn_json_int(counts, "twice") == 0,
	    "%s: %s", row->name, counts->body);
	hn_http_wait(ohb_send(&dpl, 0, row), 2 * HN_LIMIT_MS);
	hn_sleep(HEARTBEATS_MS);
	ck_assert_msg(hn_wait_until(max_running(&dpl) == N_TASKS, HN_LIMIT_MS),
	    "%s: the worker is not used", row->name);
	dpl_control(&dpl, "GET", "mode?drain=0", NULL);
	hn_sleep(HEARTBEATS_MS);
	ck_assert_msg(max_running(&dpl) <= N_OTHERS,
	    "%s: tasks start on a worker that drains", row->name);
	hn_finish();
}
END_TEST

static bool
has_queue(const struct dpl *dpl)
{
	return dpl_agent_metric(dpl, "sp_runs{state=\"queued\"}") > 0;
}

/*
 * Guards against starts beyond the worker's capacity: a heartbeat of another
 * writer that named a service without a route and a larger capacity started what
 * waited at the agent.
 */
START_TEST(odd_service_raises_no_capacity)
{
	static const struct ohb_row odd = {"odd service", NULL, NULL, 0, NULL,
	    NULL, NULL, ",\"version\":\"v1\",\"slots\":8,\"labels\":[\"a\"]",
	    "unnamed", 64000};
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 60000", NULL};
	struct hn_http *jobs[DPL_ENTRIES];
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < DPL_ENTRIES; i++)
		jobs[i] = hn_http_start("POST",
		    dpl_url(&dpl, i, hn_str("/q/%016x", 0xab00U + (unsigned)i)),
		    headers,
		    "{\"spec\":\"300\",\"best_effort\":true,\"steps\":[{"
		    "\"count\":300,\"cpu\":1000,\"mem_mb\":1,"
		    "\"estimate_ms\":300}]}");
	/* Both entries see the same free places, so that starts wait there. */
	for (i = 0; i < N_ODD && !jobs[0]->done && !jobs[1]->done; i++) {
		hn_wait_until(has_queue(&dpl) || jobs[0]->done, HN_LIMIT_MS);
		ck_assert_int_eq(
		    hn_http_wait(ohb_send(&dpl, 0, &odd), HN_LIMIT_MS)->status,
		    200);
	}
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert_int_eq(
		    hn_http_wait(jobs[i], 2 * HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/* Bodies that are no heartbeat must be refused, and end no process. */
START_TEST(no_heartbeat)
{
	static const char *const bodies[] = {
	    "", "{", "[]", "null", "7", "\"\\u0000\"", "[[[[[[[[[["};
	struct dpl dpl;
	size_t i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		ck_assert_msg(
		    hn_http("PUT",
			hn_str("http://127.0.0.1:%u" OHB_INSTANCES_PATH "w0",
			    dpl.control_port[0]),
			bodies[i])
			    ->status == 400,
		    "%s", bodies[i]);
	ck_assert_int_eq(hn_wait_exit(dpl.agent[0], 0), -1);
	ck_assert_int_eq(max_running(&dpl), N_TASKS);
	hn_finish();
}
END_TEST

/*
 * Progress near 2^63 overflowed, which ends a process under the sanitizer.  The
 * answer is refused, and the worker gets no tasks as long as it gives others.
 */
START_TEST(odd_answers_are_ignored)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET", "mode?odd=0", NULL);
	ck_assert_int_gt(dpl_count_running(&dpl, 0, N_TASKS), 0);
	ck_assert_int_gt(dpl_count_running(&dpl, 1, N_TASKS), 0);
	ck_assert_int_eq(hn_wait_exit(dpl.agent[0], 0), -1);
	dpl_control(&dpl, "GET", "mode?odd=-1", NULL);
	ck_assert(hn_wait_until(max_running(&dpl) == N_TASKS, HN_LIMIT_MS));
	ck_assert_int_eq(
	    hn_json_int(dpl_control(&dpl, "GET", "counts", NULL), "twice"), 0);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {no_heartbeat, odd_answers_are_ignored,
	    odd_service_raises_no_capacity};
	int red = run_table("odd_heartbeats", odd_heartbeat_displaces_nobody,
	    ohb_n_rows, 2 * HN_LIMIT_MS / 1000.0);

	if (getenv("SCENARIO") != NULL)
		return red;
	return red | run_tests("odd_heartbeats", tests, G_N_ELEMENTS(tests),
			 2 * HN_LIMIT_MS / 1000.0);
}
