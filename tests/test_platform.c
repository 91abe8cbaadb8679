/*
 * Runs the platform's programs as real processes: two entries, three agents
 * with workers, a store.  Each row injects a fault while jobs run; jobs are
 * resubmitted as by the platform's callers.  No worker may be given more than
 * its capacity, no task may run twice at once, and every job must complete.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "deployment.h"
#include "runner.h"

#define N_JOBS	  24
#define RESEND_MS 1300
#define MAX_TRIES 6
/* Tasks of the first jobs still run when their job is resubmitted. */
#define N_LONG_JOBS 4
#define LONG_MS	    2200
#define SHORT_MS    250

struct job {
	struct hn_http *http;
	char id[17];
	int tries;
	int64_t resend_at_ms; /* 0: waits for an answer, or completed */
	bool completed;
};

static void
send_job(struct dpl *dpl, struct job *job, int index)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 12000", NULL};
	int entry = (index + job->tries) % DPL_ENTRIES;

	job->tries++;
	job->resend_at_ms = 0;
	job->http = hn_http_start("POST",
	    dpl_url(dpl, entry, hn_str("/q/%s", job->id)), headers,
	    hn_str(
		"{\"spec\":\"%d\",\"best_effort\":true,\"steps\":["
		"{\"count\":2,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250},"
		"{\"count\":1,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250,"
		"\"after\":[0]}]}",
		index < N_LONG_JOBS ? LONG_MS : SHORT_MS));
}

/* Resubmits a job unless it was answered with 200 and completed. */
static bool
step_job(struct dpl *dpl, struct job *job, int index)
{
	if (job->completed)
		return true;
	if (job->resend_at_ms != 0) {
		if (hn_now_ms() >= job->resend_at_ms)
			send_job(dpl, job, index);
		return false;
	}
	if (!job->http->done)
		return false;
	if (job->http->status == 200 &&
	    strcmp(hn_json_str(job->http, "state"), "completed") == 0) {
		job->completed = true;
		return true;
	}
	ck_assert_msg(job->tries < MAX_TRIES, "job %s: %d %s", job->id,
	    job->http->status, job->http->body);
	job->resend_at_ms = hn_now_ms() + RESEND_MS;
	return false;
}

static bool
step_jobs(struct dpl *dpl, struct job *jobs)
{
	int i, left = 0;

	for (i = 0; i < N_JOBS; i++) {
		if (!step_job(dpl, &jobs[i], i))
			left++;
	}
	return left == 0;
}

static void
no_fault(struct dpl *dpl)
{
	(void)dpl;
}

static void
late_calls(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?late=20", NULL);
	hn_sleep(2000);
	dpl_control(dpl, "GET", "mode?late=0", NULL);
}

static void
failing_worker(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?fail=1", NULL);
}

static void
stalled_worker(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?stall=1", NULL);
}

static void
crashed_worker(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?crash=1", NULL);
}

/* The worker never recovers, so its tasks must run on other workers. */
static void
unresponsive_worker(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?mute=1", NULL);
}

static void
draining_worker(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?drain=1", NULL);
}

static void
entry_killed(struct dpl *dpl)
{
	hn_kill(dpl->entry[0]);
	hn_restart(dpl->entry[0]);
}

static void
entry_paused(struct dpl *dpl)
{
	hn_signal(dpl->entry[0], SIGSTOP);
	hn_sleep(2500);
	hn_signal(dpl->entry[0], SIGCONT);
}

static void
entry_terminated(struct dpl *dpl)
{
	hn_signal(dpl->entry[0], SIGTERM);
	ck_assert_int_eq(hn_wait_exit(dpl->entry[0], HN_LIMIT_MS), 0);
	hn_restart(dpl->entry[0]);
}

static void
agent_killed(struct dpl *dpl)
{
	hn_kill(dpl->agent[0]);
	hn_restart(dpl->agent[0]);
}

static void
agent_paused(struct dpl *dpl)
{
	hn_signal(dpl->agent[0], SIGSTOP);
	hn_sleep(2500);
	hn_signal(dpl->agent[0], SIGCONT);
}

static void
agent_terminated(struct dpl *dpl)
{
	hn_signal(dpl->agent[0], SIGTERM);
	ck_assert_int_eq(hn_wait_exit(dpl->agent[0], HN_LIMIT_MS), 0);
	hn_restart(dpl->agent[0]);
}

static void
store_down(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?store=down", NULL);
	hn_sleep(2000);
	dpl_control(dpl, "GET", "mode?store=up", NULL);
}

static void
late_calls_and_entry_paused(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?late=20", NULL);
	entry_paused(dpl);
	dpl_control(dpl, "GET", "mode?late=0", NULL);
}

static void
late_calls_and_agent_killed(struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?late=20", NULL);
	agent_killed(dpl);
	hn_sleep(1500);
	dpl_control(dpl, "GET", "mode?late=0", NULL);
}

static const struct {
	const char *name;
	void (*fault)(struct dpl *dpl);
} rows[] = {
    {"no fault", no_fault},
    {"worker calls executed late", late_calls},
    {"worker fails every task", failing_worker},
    {"worker stalled", stalled_worker},
    {"worker crashed", crashed_worker},
    {"worker drains", draining_worker},
    {"worker unresponsive", unresponsive_worker},
    {"entry killed", entry_killed},
    {"entry paused", entry_paused},
    {"entry terminated", entry_terminated},
    {"agent killed", agent_killed},
    {"agent paused", agent_paused},
    {"agent terminated", agent_terminated},
    {"store down", store_down},
    {"all killed", dpl_restart_all},
    {"late worker calls, entry paused", late_calls_and_entry_paused},
    {"late worker calls, agent killed", late_calls_and_agent_killed},
};

START_TEST(fault_while_jobs_run)
{
	struct job jobs[N_JOBS] = {0};
	struct dpl dpl;
	struct hn_http *counts;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < N_JOBS; i++) {
		snprintf(jobs[i].id, sizeof(jobs[i].id), "%016x", i + 1);
		send_job(&dpl, &jobs[i], i);
	}
	hn_sleep(150);
	rows[_i].fault(&dpl);
	ck_assert_msg(hn_wait_until(step_jobs(&dpl, jobs), 2 * HN_LIMIT_MS),
	    "%s: not all jobs completed", rows[_i].name);
	counts = dpl_control(&dpl, "GET", "counts", NULL);
	ck_assert_msg(hn_json_int(counts, "limit") == 0 &&
			  hn_json_int(counts, "twice") == 0 &&
			  hn_json_int(counts, "malformed") == 0,
	    "%s: %s", rows[_i].name, counts->body);
	hn_finish();
}
END_TEST

/* An entry that has read that a domain is out must start no task there. */
START_TEST(no_start_in_evacuated_domain)
{
	struct dpl dpl;
	struct hn_http *http;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < DPL_AGENTS; i++)
		dpl_control(
		    &dpl, "PUT", hn_str("key?key=op/evacuate/z%d", i), "{}");
	ck_assert(hn_wait_until(!dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	http = hn_http("POST", dpl_url(&dpl, 0, "/q/00000000000000aa"),
	    "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":1,"
	    "\"cpu\":1000,\"mem_mb\":1}]}");
	ck_assert_int_eq(http->status, 503);
	dpl_control(&dpl, "DELETE", "key?key=op/evacuate/z1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	hn_finish();
}
END_TEST

static struct hn_http *
get_metrics(uint16_t port)
{
	struct hn_http *http =
	    hn_http("GET", hn_str("http://127.0.0.1:%u/metrics", port), NULL);

	ck_assert_int_eq(http->status, 200);
	return http;
}

/* An idle agent must keep its sessions: losing one would stop its tasks. */
START_TEST(idle_sessions_last)
{
	struct dpl dpl;
	struct hn_http *http;

	dpl_start(&dpl, &(struct dpl_options){0});
	hn_sleep(2500);
	http = get_metrics(dpl.agent_metrics_port);
	ck_assert_msg(strstr(http->body, "sp_sessions_lost_total 0\n") != NULL,
	    "%s", http->body);
	hn_finish();
}
END_TEST

/* Value of a counter without labels in a metrics page; -1: not there. */
static int64_t
metric(const struct hn_http *http, const char *name)
{
	const char *at = strstr(http->body, hn_str("\n%s ", name));

	return at == NULL ? -1 : strtoll(at + strlen(name) + 2, NULL, 10);
}

/* Connects, sends the bytes and returns the socket. */
static int
send_bytes(uint16_t port, const char *bytes, size_t len)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    connect(fd, (const struct sockaddr *)&to, sizeof(to)), 0);
	ck_assert_int_eq(send(fd, bytes, len, 0), (int)len);
	return fd;
}

/* Sends a complete request and resets the connection. */
static void
send_and_reset(uint16_t port, const char *request)
{
	struct linger reset_at_close = {.l_onoff = 1, .l_linger = 0};
	int fd = send_bytes(port, request, strlen(request));

	ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_at_close,
			     sizeof(reset_at_close)),
	    0);
	ck_assert_int_eq(close(fd), 0);
}

/*
 * An entry read requests from connections that had been reset before, while the
 * callers had already sent them to another entry, and started their tasks a
 * second time.
 */
START_TEST(reset_request_not_accepted)
{
	static const char body[] =
	    "{\"spec\":\"1\",\"best_effort\":true,\"steps\":["
	    "{\"count\":1,\"cpu\":1000,\"mem_mb\":1}]}";
	struct hn_http *before, *after;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	before = get_metrics(dpl.entry_metrics_port);
	hn_signal(dpl.entry[0], SIGSTOP);
	send_and_reset(dpl.entry_port[0],
	    hn_str("POST /q/00000000000000cc HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		   "Content-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n%s",
		strlen(body), body));
	hn_signal(dpl.entry[0], SIGCONT);
	hn_sleep(300);
	after = get_metrics(dpl.entry_metrics_port);
	ck_assert_int_eq(metric(after, "sp_jobs_accepted_total"),
	    metric(before, "sp_jobs_accepted_total"));
	ck_assert_int_eq(metric(after, "sp_requests_gone_total"), 1);
	hn_finish();
}
END_TEST

/*
 * Bytes that no peer of the system sends, on every port and in every key that
 * it reads, must not end a process or keep it from its work.
 */
START_TEST(garbage_harms_nobody)
{
	static const char *const texts[] = {"{", "[1,{\"instance\":7", "\"x\"",
	    "{\"instance\":7,\"service\":[],\"labels\":{},\"born_ms\":\"x\"}",
	    "{\"version\":\"x\",\"routes\":[{\"name\":3}]}"};
	static const char *const keys[] = {"sequoiaplank/agents/10.0.0.1:7",
	    "sequoiaplank/agents/nowhere", "op/config", "op/other",
	    "op/evacuate/"};
	/* A record of 2 GB, one of no length, a call of another program. */
	static const char frames[][12] = {"\377\377\377\377garbage",
	    "\200\0\0\0\200\0\0\0", "\200\0\0\10\0\0\0\1\0\0\0", "GET / HTTP/"};
	struct dpl dpl;
	size_t i, k;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (k = 0; k < G_N_ELEMENTS(keys); k++)
			dpl_control(&dpl, "PUT", hn_str("key?key=%s", keys[k]),
			    texts[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(frames); i++) {
		for (k = 0; k < DPL_AGENTS; k++)
			send_bytes(
			    dpl.agent_port[k], frames[i], sizeof(frames[i]));
		for (k = 0; k < DPL_ENTRIES; k++)
			send_bytes(
			    dpl.entry_port[k], frames[i], sizeof(frames[i]));
	}
	hn_sleep(500);
	for (i = 0; i < DPL_ENTRIES; i++) {
		ck_assert_int_eq(hn_wait_exit(dpl.entry[i], 0), -1);
		ck_assert(dpl_completes_job(&dpl, (int)i));
	}
	for (i = 0; i < DPL_AGENTS; i++)
		ck_assert_int_eq(hn_wait_exit(dpl.agent[i], 0), -1);
	hn_finish();
}
END_TEST

/*
 * Entries were not told that a running worker's capacity had changed: they sent
 * it tasks that it no longer had room for, or refused tasks that it had again.
 */
START_TEST(changed_capacity_known)
{
	static const char large[] =
	    "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":1,"
	    "\"cpu\":5000,\"mem_mb\":1,\"estimate_ms\":100}]}";
	struct hn_http *counts;
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET", "mode?capacity=2000", NULL);
	hn_sleep(500);
	for (i = 0; i < DPL_ENTRIES; i++) {
		struct hn_http *http = hn_http("POST",
		    dpl_url(&dpl, i, hn_str("/q/%016x", 0xca0 + i)), large);

		ck_assert_msg(http->status == 503, "entry %d: %d %s", i,
		    http->status, http->body);
	}
	hn_sleep(3500);
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert(dpl_completes_job(&dpl, i));
	counts = dpl_control(&dpl, "GET", "counts", NULL);
	ck_assert_msg(hn_json_int(counts, "limit") == 0, "%s", counts->body);
	dpl_control(&dpl, "GET", "mode?capacity=8000", NULL);
	hn_sleep(500);
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert_int_eq(
		    hn_http("POST",
			dpl_url(&dpl, i, hn_str("/q/%016x", 0xcb0 + i)), large)
			->status,
		    200);
	hn_finish();
}
END_TEST

/* A removed queue must answer 404, and an added one must be served. */
START_TEST(queue_replaced)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	ck_assert_int_eq(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status, 200);
	dpl_configure(&dpl, 5, "/other/");
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status == 404,
	    HN_LIMIT_MS));
	ck_assert_int_eq(
	    hn_http("GET", dpl_url(&dpl, 0, "/other/"), NULL)->status, 200);
	/* An older configuration version must be ignored. */
	dpl_configure(&dpl, 4, "/q/");
	hn_sleep(300);
	ck_assert_int_eq(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status, 404);
	hn_finish();
}
END_TEST

static struct hn_http *
post_job(struct dpl *dpl, unsigned id, int run_ms)
{
	return hn_http_start("POST", dpl_url(dpl, 0, hn_str("/q/%016x", id)),
	    NULL,
	    hn_str("{\"spec\":\"%d\",\"best_effort\":true,\"steps\":["
		   "{\"count\":1,\"cpu\":1000,\"mem_mb\":1,"
		   "\"estimate_ms\":%d}]}",
		run_ms, run_ms));
}

/*
 * An entry that exited a fixed time after SIGTERM dropped jobs that it had
 * accepted shortly before.  Callers keep using open connections, so a job that
 * arrives in the first half of the shutdown must be served too, and a short
 * one also later; a long one that arrives later must be refused.
 */
START_TEST(shutdown_answers_all)
{
	struct hn_http *before, *after, *late_short, *late_long;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	before = post_job(&dpl, 0xc1, 1500);
	hn_sleep(200);
	hn_signal(dpl.entry[0], SIGTERM);
	hn_sleep(1000);
	after = post_job(&dpl, 0xc2, 1200);
	hn_sleep(750);
	late_short = post_job(&dpl, 0xc3, 20);
	late_long = post_job(&dpl, 0xc4, 1200);
	ck_assert_int_eq(hn_http_wait(before, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(hn_http_wait(after, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(hn_http_wait(late_short, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(hn_http_wait(late_long, HN_LIMIT_MS)->status, 503);
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], HN_LIMIT_MS), 0);
	hn_finish();
}
END_TEST

/*
 * A restarted agent that only waited for the worker's next heartbeat would
 * leave the worker idle; it must contact the worker named by its store key.
 */
START_TEST(restarted_agent_finds_worker)
{
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET", "mode?beats=0", NULL);
	for (i = 0; i < DPL_AGENTS; i++) {
		hn_kill(dpl.agent[i]);
		hn_restart(dpl.agent[i]);
	}
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert(
		    hn_wait_until(dpl_completes_job(&dpl, i), HN_LIMIT_MS));
	hn_finish();
}
END_TEST

/* Malformed jobs must get 400 and unsupported ones 503; unknown queues 404. */
START_TEST(invalid_jobs_refused)
{
	static const struct {
		const char *body;
		int status;
	} bodies[] = {
	    {"", 400},
	    {"{", 400},
	    {"[]", 400},
	    {"{\"best_effort\":true,\"steps\":[]}", 400},
	    {"{\"best_effort\":true,\"steps\":[{\"count\":0}]}", 400},
	    {"{\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":-1}]}",
		400},
	    {"{\"best_effort\":true,\"steps\":[{\"count\":1,\"after\":[0]}]}",
		400},
	    {"{\"steps\":[{\"count\":1}]}", 503},
	    {"{\"best_effort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}",
		503},
	    {"{\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":99000}]}",
		503},
	};
	struct dpl dpl;
	size_t i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		ck_assert_msg(
		    hn_http("POST", dpl_url(&dpl, 0, "/q/00000000000000bb"),
			bodies[i].body)
			    ->status == bodies[i].status,
		    "%s", bodies[i].body);
	ck_assert_int_eq(
	    hn_http("POST", dpl_url(&dpl, 0, "/none/00000000000000bb"),
		"{\"best_effort\":true,\"steps\":[{\"count\":1}]}")
		->status,
	    404);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {no_start_in_evacuated_domain,
	    idle_sessions_last, reset_request_not_accepted,
	    garbage_harms_nobody, changed_capacity_known, queue_replaced,
	    shutdown_answers_all, restarted_agent_finds_worker,
	    invalid_jobs_refused};
	int red = run_table("platform", fault_while_jobs_run,
	    sizeof(rows) / sizeof(rows[0]), 2 * HN_LIMIT_MS / 1000.0 + 30);

	if (getenv("SCENARIO") != NULL)
		return red;
	return red |
	       run_tests("platform", tests, sizeof(tests) / sizeof(tests[0]),
		   2 * HN_LIMIT_MS / 1000.0);
}
