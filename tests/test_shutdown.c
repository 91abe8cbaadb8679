/*
 * Guarantees 7 and 8: an endpoint that stops or crashes gets no new work after
 * a few seconds, and a graceful shutdown interrupts no request in progress.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "system.h"

#define ANNOUNCEMENT_TTL_MS 3000 /* the default of standin_endpoint */

struct run {
	struct sys sys;
	struct sys_load *load[2];
};

static void
start(struct run *run)
{
	int i;

	sys_start(&run->sys,
	    &(struct sys_options){
		.entries = 2, .agents = 3, .domains = 3, .slots = 4});
	for (i = 0; i < 2; i++)
		run->load[i] =
		    sys_load_start(&run->sys, i, 6, 4, "{\"run_ms\":300}");
	ck_assert(hn_wait_until(sys_load_counts(run->load[0]).complete > 3 &&
				    sys_endpoint_starts(&run->sys, 0) > 3,
	    HN_LIMIT_MS));
}

/* After SIGTERM an entry completes its open jobs and refuses new ones. */
START_TEST(terminated_entry_completes_jobs)
{
	struct sys_load_counts counts;
	struct run run = {0};
	struct hn_http *late, *slow;
	const char *id;
	int code;

	start(&run);
	id = sys_new_job_id(&run.sys, 0);
	slow = sys_submit(&run.sys, 0, id, sys_body(2, "{\"run_ms\":2500}"));
	ck_assert(hn_wait_until(
	    sys_job_starts(&run.sys, id).total == 2, HN_LIMIT_MS));
	id = sys_new_job_id(&run.sys, 0);
	hn_signal(run.sys.entry[0].proc, SIGTERM);
	/* /readyz fails first, so that load balancers choose other entries. */
	ck_assert(hn_wait_until(
	    hn_http("GET", sys_url(&run.sys, 0, "/readyz"), NULL)->status !=
		200,
	    HN_LIMIT_MS));
	late = hn_http_wait(
	    sys_submit(&run.sys, 0, id, sys_body(1, "{}")), HN_LIMIT_MS);
	if (late->status != 0) {
		ck_assert_int_eq(late->status, 503);
		ck_assert_str_eq(hn_json_str(late, "error"), "shutting_down");
		ck_assert_str_eq(hn_json_str(late, "ran"), "not_run");
	}
	ck_assert_int_eq(sys_job_starts(&run.sys, id).total, 0);
	hn_http_wait(slow, HN_LIMIT_MS);
	ck_assert_msg(slow->status == 200, "%d %s", slow->status, slow->body);
	code = hn_wait_exit(run.sys.entry[0].proc, 2 * HN_LIMIT_MS);
	ck_assert_int_eq(code, 0);
	counts = sys_load_stop(run.load[0]);
	ck_assert_msg(counts.failed + counts.unknown == 0,
	    "%d complete, %d failed, %d unknown, %d not run, %d without answer",
	    counts.complete, counts.failed, counts.unknown, counts.not_run,
	    counts.none);
	ck_assert(sys_wait_job_completes(&run.sys, 1, HN_LIMIT_MS));
	counts = sys_load_stop(run.load[1]);
	ck_assert_int_eq(
	    counts.failed + counts.unknown + counts.not_run + counts.none, 0);
	hn_finish();
}
END_TEST

static void
term_agent(struct run *run)
{
	hn_signal(run->sys.agent[0].proc, SIGTERM);
}

static void
term_endpoint(struct run *run)
{
	hn_signal(run->sys.agent[0].endpoint, SIGTERM);
}

static void
stop_announcing(struct run *run)
{
	sys_set_endpoint_mode(&run->sys, 0, "silent=1");
}

static void
crash_endpoint(struct run *run)
{
	hn_kill(run->sys.agent[0].endpoint);
}

static void
kill_agent(struct run *run)
{
	hn_kill(run->sys.agent[0].proc);
}

static void
kill_both(struct run *run)
{
	kill_agent(run);
	crash_endpoint(run);
}

static const struct {
	const char *name;
	void (*stop_worker)(struct run *run);
	bool graceful;			  /* no request may fail */
	bool agent_exits, endpoint_exits; /* must exit with status 0 */
} rows[] = {
    {"agent terminated", term_agent, true, true, false},
    {"endpoint terminated", term_endpoint, true, false, true},
    {"announcement stops", stop_announcing, true, false, false},
    {"endpoint crashes", crash_endpoint, false, false, false},
    {"agent killed", kill_agent, false, false, false},
    {"both killed", kill_both, false, false, false},
};

static struct sys_load_counts
sum_counts(const struct run *run)
{
	struct sys_load_counts a = sys_load_counts(run->load[0]);
	struct sys_load_counts b = sys_load_counts(run->load[1]);

	return (struct sys_load_counts){.complete = a.complete + b.complete,
	    .failed = a.failed + b.failed,
	    .not_run = a.not_run + b.not_run,
	    .unknown = a.unknown + b.unknown,
	    .none = a.none + b.none};
}

/*
 * A worker that stops or crashes gets no new tasks once its announcement has
 * expired and SYS_CONFIG_BOUND_MS has passed.  Only jobs with tasks running at
 * this worker may fail.
 */
START_TEST(stopped_worker_gets_no_work)
{
	struct sys_load_counts at_bound, later;
	struct run run = {0};
	int64_t total;
	int n_failed;

	start(&run);
	rows[_i].stop_worker(&run);
	if (rows[_i].agent_exits)
		ck_assert_int_eq(
		    hn_wait_exit(run.sys.agent[0].proc, 2 * HN_LIMIT_MS), 0);
	hn_sleep(ANNOUNCEMENT_TTL_MS + SYS_CONFIG_BOUND_MS);
	total = sys_endpoint_starts(&run.sys, 0);
	at_bound = sum_counts(&run);
	n_failed = at_bound.failed + at_bound.unknown;
	if (rows[_i].graceful)
		ck_assert_msg(n_failed + at_bound.not_run + at_bound.none == 0,
		    "%s: %d complete, %d failed, %d unknown, %d not run, %d "
		    "without answer",
		    rows[_i].name, at_bound.complete, at_bound.failed,
		    at_bound.unknown, at_bound.not_run, at_bound.none);
	hn_sleep(4000);
	ck_assert_msg(sys_endpoint_starts(&run.sys, 0) == total,
	    "%s: the stopped worker still started tasks", rows[_i].name);
	/* Only jobs with tasks at that worker fail; all have failed by now. */
	later = sum_counts(&run);
	ck_assert_msg(later.failed + later.unknown == n_failed,
	    "%s: %d more jobs failed after the time limit", rows[_i].name,
	    later.failed + later.unknown - n_failed);
	ck_assert_int_gt(later.complete, at_bound.complete);
	if (rows[_i].endpoint_exits)
		ck_assert_int_eq(
		    hn_wait_exit(run.sys.agent[0].endpoint, 2 * HN_LIMIT_MS),
		    0);
	sys_load_stop(run.load[0]);
	sys_load_stop(run.load[1]);
	hn_finish();
}
END_TEST

/* A worker whose agent and endpoint were killed and restarted gets work. */
START_TEST(restarted_worker_gets_work)
{
	struct run run = {0};

	start(&run);
	kill_both(&run);
	hn_sleep(2000);
	hn_restart(run.sys.agent[0].proc);
	hn_restart(run.sys.agent[0].endpoint);
	ck_assert(
	    hn_wait_until(sys_endpoint_starts(&run.sys, 0) > 0, HN_LIMIT_MS));
	sys_load_stop(run.load[0]);
	sys_load_stop(run.load[1]);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    terminated_entry_completes_jobs, restarted_worker_gets_work};
	int exit_code = 0;

	exit_code |= run_table("shutdown workers", stopped_worker_gets_no_work,
	    sizeof(rows) / sizeof(rows[0]), 240);
	exit_code |= run_tests("shutdown", tests, 2, 240);
	return exit_code;
}
