/*
 * Guarantees 2, 4 and 5: a job is answered as complete or failed, never with
 * partial results; the answer belongs to the caller's own request; and no task
 * of a job that was refused as "not_run" has started.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "system.h"

#define CONFIG_TEXT                                                            \
	"{\"failure_domains\":[{\"name\":\"domain-0\",\"entries\":true},"      \
	"{\"name\":\"domain-1\",\"entries\":true}],"                           \
	"\"services\":[{\"name\":\"" SYS_SERVICE "\",\"max_cores\":64},"       \
	"{\"name\":\"absent\"},"                                               \
	"{\"name\":\"needs-absent\",\"depends_on\":[\"absent\"]}],"            \
	"\"teams\":[{\"name\":\"" SYS_TEAM "\"},"                              \
	"{\"name\":\"small\",\"max_in_flight\":4}]}"

static const struct sys_options two_domains = {
    .entries = 2, .agents = 2, .domains = 2, .text = CONFIG_TEXT};

/* Body of a job of n tasks that take 200 ms and one with the given payload. */
static const char *
mixed_body(int n, const char *payload)
{
	const char *body = sys_body(n, "{\"run_ms\":200}");

	return hn_str(
	    "%.*s,{\"payload\":%s}]}", (int)strlen(body) - 2, body, payload);
}

static const struct {
	const char *name;
	int n;
	const char *payload; /* of the last task */
	const char *entry_settings;
	int status;	 /* 0: 502, or 504 if the deadline passes first */
	const char *ran; /* NULL: any */
} failing_jobs[] = {
    {"one task fails", 20, "{\"fail\":true,\"run_ms\":50}", NULL, 502,
	"failed"},
    {"endpoint dies", 20, "{\"die\":true}", NULL, 502, "unknown"},
    {"one result too large", 20, "{\"size\":2000000}", NULL, 502, NULL},
    {"all results too large", 20, "{\"size\":3000}",
	",\"max_answer_bytes\":4096", 502, NULL},
    {"a task hangs", 20, "{\"hang\":true}", NULL, 0, "unknown"},
};

/* A job of which one task has no result fails and returns no results. */
START_TEST(failed_job_has_no_results)
{
	struct sys_options opts = two_domains;
	struct hn_http *http, *again;
	struct sys_count count;
	const char *id, *body;
	struct sys sys;

	opts.entry_settings = failing_jobs[_i].entry_settings;
	sys_start(&sys, &opts);
	id = sys_new_job_id(&sys, 0);
	body = mixed_body(failing_jobs[_i].n, failing_jobs[_i].payload);
	if (failing_jobs[_i].status == 0)
		body = hn_str("{\"deadline_ms\":3000,%s", body + 1);
	http = hn_http_wait(sys_submit(&sys, 0, id, body), HN_LIMIT_MS);
	ck_assert_msg(failing_jobs[_i].status != 0
			  ? http->status == failing_jobs[_i].status
			  : http->status == 502 || http->status == 504,
	    "%s: %d %.200s", failing_jobs[_i].name, http->status, http->body);
	ck_assert_str_eq(hn_json_str(http, "state"), "failed");
	ck_assert_ptr_null(json_object_object_get(http->json, "results"));
	ck_assert_str_ne(hn_json_str(http, "ran"), "not_run");
	if (failing_jobs[_i].ran != NULL)
		ck_assert_str_eq(
		    hn_json_str(http, "ran"), failing_jobs[_i].ran);
	count = sys_job_starts(&sys, id);
	ck_assert_int_le(count.most, 1);
	/* The other entry gives the same answer, and no more tasks start. */
	hn_sleep(500);
	again = sys_submit_until_final(&sys, 1, id, body);
	ck_assert_int_eq(again->status, http->status);
	ck_assert_str_eq(hn_json_str(again, "ran"), hn_json_str(http, "ran"));
	ck_assert_int_le(sys_job_starts(&sys, id).total, count.total);
	hn_finish();
}
END_TEST

/*
 * A cancelled job is answered, its queued tasks never start and its slots are
 * released for other jobs.
 */
START_TEST(cancelled_job_stops)
{
	struct hn_http *first;
	struct sys_count count;
	const char *id;
	struct sys sys;

	sys_start(&sys, &two_domains);
	id = sys_new_job_id(&sys, 0);
	first = sys_submit(&sys, 0, id, sys_body(200, "{\"run_ms\":1000}"));
	ck_assert(
	    hn_wait_until(sys_job_starts(&sys, id).total > 0, HN_LIMIT_MS));
	/* Cancel through the other entry: a load balancer may choose either. */
	hn_http("DELETE", sys_url(&sys, 1, hn_str("/v1/jobs/%s", id)), NULL);
	hn_http_wait(first, HN_LIMIT_MS);
	ck_assert_msg(
	    first->status == 502, "%d %.200s", first->status, first->body);
	ck_assert_str_eq(hn_json_str(first, "error"), "cancelled");
	count = sys_job_starts(&sys, id);
	ck_assert_int_lt(count.total, 200);
	ck_assert_int_eq(count.most, 1);
	hn_sleep(3000);
	ck_assert_int_eq(sys_job_starts(&sys, id).total, count.total);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	hn_finish();
}
END_TEST

static void
check_own_results(const struct hn_http *http, const char *id, int n)
{
	struct json_object *results =
	    json_object_object_get(http->json, "results");
	int i;

	ck_assert_msg(
	    http->status == 200, "%s: %d %.200s", id, http->status, http->body);
	ck_assert_str_eq(hn_json_str(http, "id"), id);
	ck_assert_uint_eq(json_object_array_length(results), n);
	for (i = 0; i < n; i++) {
		ck_assert_int_eq(
		    hn_json_int(http, hn_str("results.%d.task", i)), i);
		ck_assert_str_eq(
		    sys_result_task(http, i), hn_str("%s/%d", id, i));
	}
}

/* The largest expected job, 1300 tasks: each result once, at its index. */
START_TEST(largest_job)
{
	struct hn_http *http;
	const char *id;
	struct sys sys;

	sys_start(&sys, &two_domains);
	id = sys_new_job_id(&sys, 1);
	/* Entry 0 forwards the job to entry 1, which issued the id. */
	http = hn_http_wait(
	    sys_submit(&sys, 0, id, sys_body(1300, "{\"run_ms\":1}")),
	    2 * HN_LIMIT_MS);
	check_own_results(http, id, 1300);
	ck_assert_int_eq(sys_job_starts(&sys, id).most, 1);
	hn_finish();
}
END_TEST

/* After a caller disconnects, a resubmission returns its own job's results. */
START_TEST(caller_disconnects)
{
	const char *id[8], *body = sys_body(4, "{\"run_ms\":500}");
	struct hn_http *http;
	struct sys sys;
	int i;

	sys_start(&sys, &two_domains);
	for (i = 0; i < 8; i++) {
		id[i] = sys_new_job_id(&sys, i % 2);
		http = sys_submit(&sys, i / 4, id[i], body);
		ck_assert(hn_wait_until(
		    hn_http("GET",
			sys_url(&sys, 0, hn_str("/v1/jobs/%s", id[i])), NULL)
			    ->status != 404,
		    HN_LIMIT_MS));
		hn_http_cancel(http);
	}
	for (i = 0; i < 8; i++) {
		http = sys_submit_until_final(&sys, (i + 1) % 2, id[i], body);
		check_own_results(http, id[i], 4);
		ck_assert_int_eq(sys_job_starts(&sys, id[i]).most, 1);
	}
	hn_finish();
}
END_TEST

/*
 * Results that arrive late, out of order or a second time over a replacement
 * connection are assigned to the right job.
 */
START_TEST(answers_on_replaced_connection)
{
	enum { JOBS = 30 };
	const char *id[JOBS];
	struct hn_http *http[JOBS];
	GRand *rand = g_rand_new_with_seed(7);
	struct sys sys;
	int i;

	sys_start(&sys, &two_domains);
	for (i = 0; i < JOBS; i++) {
		id[i] = sys_new_job_id(&sys, 0);
		http[i] = sys_submit(&sys, 0, id[i],
		    sys_body(3, hn_str("{\"run_ms\":%d}",
				    g_rand_int_range(rand, 10, 800))));
		if (i == JOBS / 3)
			sys_set_proxy_rule(&sys, sys.entry[0].proxied_rpc,
			    "action=freeze&scope=existing&direction=up");
	}
	hn_sleep(4000);
	sys_set_proxy_rule(&sys, 0, "action=release");
	for (i = 0; i < JOBS; i++) {
		hn_http_wait(http[i], HN_LIMIT_MS);
		check_own_results(http[i], id[i], 3);
		ck_assert_int_eq(sys_job_starts(&sys, id[i]).most, 1);
	}
	g_rand_free(rand);
	hn_finish();
}
END_TEST

#define JOB(service, team, tasks)                                              \
	"{\"service\":\"" service "\",\"team\":\"" team "\",\"tasks\":[" tasks \
	"]}"
#define TASK "{\"payload\":{}}"

static const struct {
	const char *name, *body, *error;
} refused_jobs[] = {
    {"malformed JSON", "{\"service\":", "bad_request"},
    {"unknown key",
	"{\"service\":\"desk\",\"team\":\"blue\",\"x\":1,\"tasks\":[" TASK "]}",
	"bad_request"},
    {"no tasks", JOB("desk", "blue", ""), "bad_request"},
    {"unknown service", JOB("nobody", "blue", TASK), "unknown_service"},
    {"unknown team", JOB("desk", "nobody", TASK), "unknown_team"},
    {"no endpoint", JOB("absent", "blue", TASK), "no_endpoint"},
    {"dependency without an endpoint", JOB("needs-absent", "blue", TASK),
	"dependency_unavailable"},
    {"larger than any worker",
	JOB("desk", "blue", "{\"payload\":{},\"cores\":65}"), "can_never_run"},
    {"over the quota",
	JOB("desk", "small", TASK "," TASK "," TASK "," TASK "," TASK "," TASK),
	"team_quota"},
};

static void
check_refused(struct sys *sys, const char *name, const struct hn_http *http,
    const char *id, const char *error)
{
	ck_assert_msg(http->status >= 400 &&
			  strcmp(hn_json_str(http, "ran"), "not_run") == 0 &&
			  (error == NULL ||
			      strcmp(hn_json_str(http, "error"), error) == 0),
	    "%s: %d %.200s", name, http->status, http->body);
	ck_assert_msg(sys_job_starts(sys, id).total == 0,
	    "%s: refused as not_run, but a task started", name);
}

/* Endpoints start no task of a job that was refused as "not_run". */
START_TEST(refused_jobs_never_start)
{
	struct hn_http *http, *busy[8];
	const char *id;
	int64_t before;
	struct sys sys;
	size_t i;

	sys_start(&sys, &two_domains);
	before = sys_endpoint_starts(&sys, 0) + sys_endpoint_starts(&sys, 1);
	for (i = 0; i < sizeof(refused_jobs) / sizeof(refused_jobs[0]); i++) {
		id = sys_new_job_id(&sys, i % 2);
		http = hn_http_wait(
		    sys_submit(&sys, 0, id, refused_jobs[i].body), HN_LIMIT_MS);
		check_refused(&sys, refused_jobs[i].name, http, id,
		    refused_jobs[i].error);
	}
	http = hn_http_wait(
	    sys_submit(&sys, 0, "0-0-0", sys_body(1, "{}")), HN_LIMIT_MS);
	check_refused(&sys, "invalid id", http, "0-0-0", NULL);
	id = sys_new_job_id(&sys, 0);
	id = hn_str("%.*s%c", (int)strlen(id) - 1, id,
	    id[strlen(id) - 1] == '0' ? '1' : '0');
	http = hn_http_wait(
	    sys_submit(&sys, 1, id, sys_body(1, "{}")), HN_LIMIT_MS);
	check_refused(&sys, "forged id", http, id, NULL);
	id = sys_new_job_id(&sys, 0);
	http = hn_http_wait(
	    sys_submit(&sys, 0, id, sys_body(3000, "{}")), HN_LIMIT_MS);
	check_refused(&sys, "too many tasks", http, id, "too_many_tasks");
	ck_assert_int_eq(
	    sys_endpoint_starts(&sys, 0) + sys_endpoint_starts(&sys, 1),
	    before);

	/*
	 * All slots stay occupied for minutes, so a deadline of 1 ms cannot be
	 * met.
	 */
	for (i = 0; i < 8; i++)
		busy[i] = sys_submit(&sys, 0, sys_new_job_id(&sys, 0),
		    sys_body(100, "{\"run_ms\":8000}"));
	hn_sleep(500);
	id = sys_new_job_id(&sys, 0);
	http = hn_http_wait(
	    sys_submit(&sys, 0, id,
		"{\"deadline_ms\":1,\"service\":\"desk\",\"team\":\"blue\","
		"\"tasks\":[" TASK "]}"),
	    HN_LIMIT_MS);
	if (strcmp(hn_json_str(http, "ran"), "not_run") == 0)
		check_refused(&sys, "deadline", http, id, NULL);
	else
		ck_assert_int_eq(http->status, 504);
	for (i = 0; i < 8; i++)
		hn_http_cancel(busy[i]);
	hn_finish();
}
END_TEST

/* Jobs refused because the queue is full never start a task. */
START_TEST(full_queue_refuses)
{
	enum { JOBS = 40 };
	struct sys_options opts = two_domains;
	struct hn_http *http[JOBS];
	const char *id[JOBS], *body = sys_body(10, "{\"run_ms\":200}");
	int i, n_complete = 0, n_refused = 0;
	struct sys sys;

	opts.text =
	    "{\"failure_domains\":[{\"name\":\"domain-0\",\"entries\":true},"
	    "{\"name\":\"domain-1\",\"entries\":true}],\"services\":"
	    "[{\"name\":\"desk\",\"max_queue\":50}],"
	    "\"teams\":[{\"name\":\"blue\"}]}";
	sys_start(&sys, &opts);
	for (i = 0; i < JOBS; i++)
		id[i] = sys_new_job_id(&sys, 0);
	for (i = 0; i < JOBS; i++)
		http[i] = sys_submit(&sys, 0, id[i], body);
	for (i = 0; i < JOBS; i++) {
		hn_http_wait(http[i], 2 * HN_LIMIT_MS);
		if (http[i]->status == 200) {
			check_own_results(http[i], id[i], 10);
			n_complete++;
		} else {
			check_refused(&sys, "queue full", http[i], id[i], NULL);
			n_refused++;
		}
	}
	ck_assert_int_gt(n_complete, 0);
	ck_assert_int_gt(n_refused, 0);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {cancelled_job_stops, largest_job,
	    caller_disconnects, answers_on_replaced_connection,
	    refused_jobs_never_start, full_queue_refuses};
	int exit_code = 0;

	exit_code |= run_table("answers failed", failed_job_has_no_results,
	    sizeof(failing_jobs) / sizeof(failing_jobs[0]), 240);
	exit_code |=
	    run_tests("answers", tests, sizeof(tests) / sizeof(tests[0]), 240);
	return exit_code;
}
