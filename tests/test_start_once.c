/*
 * Guarantees 1 and 6: a task starts at most once, and a request marked as not
 * idempotent runs at most once, whichever process or connection fails and
 * however often the caller resubmits.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "system.h"

#define N_TASKS	 6
#define PAUSE_MS 4500 /* longer than freshness_ms and than silence_ms */

struct run {
	struct sys sys;
	const char *id, *body;
	struct hn_http *http; /* the job's first submission or the request */
};

typedef void (*step_fn)(struct run *run);

static void
resubmit_in_parallel(struct run *run)
{
	struct hn_http *again[10];
	int i;

	for (i = 0; i < 10; i++)
		again[i] = sys_submit(&run->sys, i % 2, run->id, run->body);
	for (i = 0; i < 10; i++) {
		hn_http_wait(again[i], HN_LIMIT_MS);
		ck_assert_msg(again[i]->status == 200, "resubmission %d: %d %s",
		    i, again[i]->status, again[i]->body);
	}
}

static void
drop_caller_reply(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_listen,
	    "action=drop&direction=down&match=PUT");
}

static void
freeze_caller_connection(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_listen,
	    "action=freeze&scope=existing");
}

static void
freeze_agent_connections(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=freeze&scope=existing");
}

/* Holds back START; both ends time out meanwhile and the agent reconnects. */
static void
freeze_starts(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=freeze&scope=existing&direction=down");
}

static void
freeze_results(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=freeze&scope=existing&direction=up");
}

static void
release_late(struct run *run)
{
	hn_sleep(PAUSE_MS);
	sys_set_proxy_rule(&run->sys, 0, "action=release");
}

static void
drop_results(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=drop&direction=up");
}

static void
cut_agent_connections(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=cut&scope=existing");
}

static void
restart_entry(struct run *run)
{
	hn_kill(run->sys.entry[0].proc);
	hn_restart(run->sys.entry[0].proc);
}

static void
pause_process(struct run *run, struct hn_proc *proc)
{
	(void)run;
	hn_signal(proc, SIGSTOP);
	hn_sleep(PAUSE_MS);
	hn_signal(proc, SIGCONT);
}

static void
pause_agents(struct run *run)
{
	hn_signal(run->sys.agent[1].proc, SIGSTOP);
	pause_process(run, run->sys.agent[0].proc);
	hn_signal(run->sys.agent[1].proc, SIGCONT);
}

static void
pause_entry(struct run *run)
{
	pause_process(run, run->sys.entry[0].proc);
}

static void
restart_agent(struct run *run)
{
	hn_kill(run->sys.agent[0].proc);
	hn_restart(run->sys.agent[0].proc);
}

static void
freeze_agents_and_pause_entry(struct run *run)
{
	freeze_agent_connections(run);
	pause_entry(run);
	sys_set_proxy_rule(&run->sys, 0, "action=release");
}

static void
restart_agent_and_release(struct run *run)
{
	restart_agent(run);
	release_late(run);
}

static void
restart_entry_and_release(struct run *run)
{
	restart_entry(run);
	release_late(run);
}

/* The connection between entries stays: resubmissions pass through it. */
static void
cut_and_resubmit(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_rpc,
	    "action=cut&scope=existing&match=worker-");
	resubmit_in_parallel(run);
}

static const struct {
	const char *name;
	step_fn before; /* before the first submission */
	step_fn during; /* after the job was accepted */
	bool started;	/* call during() only after the first start */
	bool completes; /* the job must complete in spite of the fault */
} rows[] = {
    {"resubmitted in parallel", NULL, resubmit_in_parallel, false, true},
    {"reply lost", drop_caller_reply, NULL, false, true},
    {"caller's connection frozen", NULL, freeze_caller_connection, true, true},
    {"agents' connections frozen", NULL, freeze_agent_connections, true, true},
    {"agents' connections frozen before START", freeze_agent_connections, NULL,
	false, true},
    {"START delivered late", freeze_starts, release_late, false, true},
    {"results delivered late", freeze_results, release_late, true, true},
    {"results lost", NULL, drop_results, true, true},
    {"agents' connections cut", NULL, cut_agent_connections, true, true},
    {"entry killed and restarted", NULL, restart_entry, true, false},
    {"entry paused", NULL, pause_entry, true, false},
    {"agents paused", NULL, pause_agents, true, false},
    {"agent killed and restarted", NULL, restart_agent, true, false},
    {"agents' connections frozen, entry paused", NULL,
	freeze_agents_and_pause_entry, true, false},
    {"START late and agent restarted", freeze_starts, restart_agent_and_release,
	false, false},
    {"START late and entry restarted", freeze_starts, restart_entry_and_release,
	false, false},
    {"connections cut, resubmitted", NULL, cut_and_resubmit, true, true},
};

static void
check_results(const struct run *run, const struct hn_http *http)
{
	int i;

	for (i = 0; i < N_TASKS; i++)
		ck_assert_str_eq(
		    sys_result_task(http, i), hn_str("%s/%d", run->id, i));
}

/* Both entries' answers must agree with the starts that endpoints counted. */
static void
check_job(struct run *run, int row)
{
	const char *name = rows[row].name;
	struct hn_http *http;
	struct sys_count count;
	int e;

	for (e = 0; e < 2; e++) {
		http = sys_submit_until_final(&run->sys, e, run->id, run->body);
		count = sys_job_starts(&run->sys, run->id);
		ck_assert_msg(count.most <= 1, "%s: a task started %d times",
		    name, count.most);
		ck_assert_msg(!rows[row].completes || http->status == 200,
		    "%s: entry %d: %d %s", name, e, http->status, http->body);
		if (http->status == 200) {
			ck_assert_int_eq(count.tasks, N_TASKS);
			check_results(run, http);
		} else {
			ck_assert_msg(http->status == 502, "%s: %d %s", name,
			    http->status, http->body);
			ck_assert_ptr_null(
			    json_object_object_get(http->json, "results"));
			ck_assert_msg(
			    strcmp(hn_json_str(http, "ran"), "not_run") != 0 ||
				count.total == 0,
			    "%s: not_run but %d starts", name, count.total);
		}
	}
	/* No task may start after the answer. */
	hn_sleep(1000);
	ck_assert_int_eq(sys_job_starts(&run->sys, run->id).most, count.most);
	ck_assert_int_eq(sys_job_starts(&run->sys, run->id).total, count.total);
}

START_TEST(job_starts_once)
{
	struct run run = {0};

	sys_start(&run.sys,
	    &(struct sys_options){.entries = 2, .agents = 2, .domains = 2});
	run.id = sys_new_job_id(&run.sys, 0);
	run.body = sys_body(N_TASKS, "{\"run_ms\":600}");
	if (rows[_i].before != NULL)
		rows[_i].before(&run);
	run.http = hn_http_start("PUT",
	    sys_proxied_url(
		&run.sys, 0, hn_str("/v1/jobs/%s?wait_ms=20000", run.id)),
	    NULL, run.body);
	ck_assert(hn_wait_until(
	    hn_http("GET", sys_url(&run.sys, 0, hn_str("/v1/jobs/%s", run.id)),
		NULL)
		    ->status != 404,
	    HN_LIMIT_MS));
	if (rows[_i].started)
		ck_assert(hn_wait_until(
		    sys_job_starts(&run.sys, run.id).total > 0, HN_LIMIT_MS));
	if (rows[_i].during != NULL)
		rows[_i].during(&run);
	check_job(&run, _i);
	hn_finish();
}
END_TEST

/* A request that is not idempotent is never sent to a second endpoint. */
START_TEST(non_idempotent_request_runs_once)
{
	static const char *const headers[] = {"Sequoiaplank-Team: " SYS_TEAM,
	    "Sequoiaplank-Idempotent: false", NULL};
	struct run run = {0};
	int64_t before, after;

	sys_start(&run.sys,
	    &(struct sys_options){.entries = 2, .agents = 2, .domains = 2});
	run.id = sys_new_job_id(&run.sys, 0);
	run.body = "{\"run_ms\":600}";
	before =
	    sys_endpoint_starts(&run.sys, 0) + sys_endpoint_starts(&run.sys, 1);
	/* drop_caller_reply has no effect: this request bypasses the proxy. */
	if (rows[_i].before != NULL && rows[_i].before != drop_caller_reply)
		rows[_i].before(&run);
	run.http = hn_http_start("POST",
	    sys_url(&run.sys, 0, "/v1/services/" SYS_SERVICE "/order"), headers,
	    run.body);
	if (rows[_i].started)
		ck_assert(
		    hn_wait_until(sys_endpoint_starts(&run.sys, 0) +
					  sys_endpoint_starts(&run.sys, 1) >
				      before,
			HN_LIMIT_MS));
	else
		hn_sleep(100);
	if (rows[_i].during != NULL &&
	    rows[_i].during != resubmit_in_parallel &&
	    rows[_i].during != cut_and_resubmit)
		rows[_i].during(&run);
	hn_http_wait(run.http, HN_LIMIT_MS);
	hn_sleep(1000);
	after =
	    sys_endpoint_starts(&run.sys, 0) + sys_endpoint_starts(&run.sys, 1);
	ck_assert_msg(after - before <= 1, "%s: ran %d times", rows[_i].name,
	    (int)(after - before));
	if (run.http->status == 200)
		ck_assert_int_eq(after - before, 1);
	if (strcmp(hn_json_str(run.http, "ran"), "not_run") == 0)
		ck_assert_int_eq(after, before);
	hn_finish();
}
END_TEST

/*
 * A job that is resubmitted after job_retention_s is refused: the owning entry
 * has dropped the outcome and must not start the job a second time.
 */
START_TEST(expired_id_is_refused)
{
	struct sys sys;
	struct hn_http *http;
	const char *id, *unused, *body = sys_body(2, "{}");
	int e;

	sys_start(&sys, &(struct sys_options){.entries = 2,
			    .agents = 2,
			    .domains = 2,
			    .entry_settings = ",\"job_retention_s\":1"});
	id = sys_new_job_id(&sys, 0);
	unused = sys_new_job_id(&sys, 0);
	ck_assert_int_eq(
	    sys_submit_until_final(&sys, 0, id, body)->status, 200);
	ck_assert(hn_wait_until(
	    hn_http("GET", sys_url(&sys, 0, hn_str("/v1/jobs/%s", id)), NULL)
		    ->status != 200,
	    HN_LIMIT_MS));
	for (e = 0; e < 2; e++) {
		http = sys_submit_until_final(&sys, e, id, body);
		ck_assert_int_eq(http->status, 410);
		ck_assert_str_eq(hn_json_str(http, "error"), "expired");
		ck_assert_str_ne(hn_json_str(http, "ran"), "not_run");
	}
	ck_assert_int_eq(sys_job_starts(&sys, id).most, 1);
	/* An unused id issued later is still accepted. */
	ck_assert_int_eq(
	    sys_submit_until_final(&sys, 1, unused, body)->status, 200);
	hn_finish();
}
END_TEST

/* A second job with the id of an existing job but another body is refused. */
START_TEST(other_body_conflicts)
{
	struct sys sys;
	struct hn_http *first, *second;
	const char *id, *body = sys_body(2, "{\"run_ms\":500}");
	int e;

	sys_start(&sys,
	    &(struct sys_options){.entries = 2, .agents = 2, .domains = 2});
	id = sys_new_job_id(&sys, 0);
	first = sys_submit(&sys, 0, id, body);
	ck_assert(
	    hn_wait_until(sys_job_starts(&sys, id).total > 0, HN_LIMIT_MS));
	for (e = 0; e < 4; e++) {
		second = sys_submit_until_final(
		    &sys, e % 2, id, sys_body(5, "{\"run_ms\":1}"));
		ck_assert_int_eq(second->status, 409);
		ck_assert_str_eq(hn_json_str(second, "ran"), "not_run");
		hn_http_wait(first, HN_LIMIT_MS);
	}
	ck_assert_int_eq(first->status, 200);
	ck_assert_int_eq(sys_job_starts(&sys, id).tasks, 2);
	ck_assert_int_eq(sys_job_starts(&sys, id).most, 1);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    expired_id_is_refused, other_body_conflicts};
	int n = sizeof(rows) / sizeof(rows[0]), exit_code = 0;

	exit_code |= run_table("start_once jobs", job_starts_once, n, 240);
	exit_code |= run_table(
	    "start_once requests", non_idempotent_request_runs_once, n, 240);
	exit_code |= run_tests("start_once ids", tests, 2, 240);
	return exit_code;
}
