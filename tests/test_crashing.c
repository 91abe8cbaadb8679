/*
 * Tasks that crash each worker that starts them, against real processes: two
 * entries, three agents with workers, a store.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "deployment.h"
#include "runner.h"

/*
 * Three workers may crash under a task, and two starts more are tolerated: the
 * third start after that breaks the users' rule.
 */
#define MAX_STARTS 5
#define RESEND_MS  1300
#define LOAD_MS	   8000
/* The first crashes are not known to be caused by a queue yet. */
#define WARM_UP_MS	  2500
#define CRASH_EVERY_MS	  250
#define GOOD_EVERY_MS	  60
#define GOOD_RUN_MS	  100
#define GOOD_OBJECTIVE_MS 1000
#define MAX_JOBS	  256

static struct hn_http *
post(struct dpl *dpl, int entry, const char *queue, unsigned id,
    const char *spec)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 12000", NULL};

	return hn_http_start("POST",
	    dpl_url(dpl, entry, hn_str("/%s/%016x", queue, id)), headers,
	    hn_str("{\"spec\":\"%s\",\"best_effort\":true,\"steps\":["
		   "{\"count\":1,\"cpu\":1000,\"mem_mb\":1,"
		   "\"estimate_ms\":%d}]}",
		spec, GOOD_RUN_MS));
}

static void
start_with_two_queues(struct dpl *dpl)
{
	dpl_start(dpl, &(struct dpl_options){0});
	dpl_control(dpl, "PUT", "key?key=op/config",
	    "{\"version\":9,\"routes\":["
	    "{\"name\":\"q\",\"host\":\"127.0.0.1\",\"prefix\":\"/q/\","
	    "\"service\":\"desk\",\"priority\":0,\"max_attempts\":4,"
	    "\"stretch\":1.5,\"target_completion_ms\":60},"
	    "{\"name\":\"good\",\"host\":\"127.0.0.1\",\"prefix\":\"/good/\","
	    "\"service\":\"desk\",\"priority\":1,\"max_attempts\":4,"
	    "\"stretch\":1.5,\"target_completion_ms\":400}],"
	    "\"services\":[],\"limits\":{}}");
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(dpl, 1, "/good/"), NULL)->status == 200 &&
		hn_http("GET", dpl_url(dpl, 0, "/good/"), NULL)->status == 200,
	    HN_LIMIT_MS));
}

static int64_t
starts_of(const struct dpl *dpl, unsigned id)
{
	return hn_json_int(
	    dpl_control(dpl, "GET", hn_str("starts?job=%016x", id), NULL),
	    "starts");
}

/* Sends the job again, to the given entry, until it is answered with 200. */
static struct hn_http *
resend_until_answered(struct dpl *dpl, int entry, unsigned id)
{
	int64_t end_ms = hn_now_ms() + HN_LIMIT_MS;
	struct hn_http *http;

	do {
		hn_sleep(RESEND_MS);
		http = hn_http_wait(
		    post(dpl, entry, "q", id, "crash"), HN_LIMIT_MS);
	} while (http->status != 200 && hn_now_ms() < end_ms);
	return http;
}

/*
 * A task that crashed its workers was started until its deadline, and from the
 * beginning once its caller had gone to another entry.
 */
START_TEST(crashing_task_given_up)
{
	struct hn_http *http;
	struct dpl dpl;

	start_with_two_queues(&dpl);
	post(&dpl, 0, "q", 0xd1, "crash");
	ck_assert(hn_wait_until(starts_of(&dpl, 0xd1) >= 1, HN_LIMIT_MS));
	hn_sleep(900);
	hn_kill(dpl.entry[0]);
	http = resend_until_answered(&dpl, 1, 0xd1);
	ck_assert_msg(http->status == 200 &&
			  strcmp(hn_json_str(http, "state"), "failed") == 0,
	    "%d %s", http->status, http->body);
	hn_restart(dpl.entry[0]);
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status == 200,
	    HN_LIMIT_MS));
	http = resend_until_answered(&dpl, 0, 0xd1);
	ck_assert_str_eq(hn_json_str(http, "state"), "failed");
	ck_assert_msg(starts_of(&dpl, 0xd1) <= MAX_STARTS, "%d starts",
	    (int)starts_of(&dpl, 0xd1));
	hn_finish();
}
END_TEST

/* What the agents and the entries made of the crashes. */
static void
print_crashes(const struct dpl *dpl)
{
	static const char *const events[] = {
	    "\"event\":\"crash\"", "\"event\":\"queue\"", NULL};

	hn_print_log(dpl->entry[0], events);
}

/*
 * New jobs of a queue whose tasks crash their workers took one worker after the
 * other, until nothing was served.
 */
START_TEST(crashing_queue_confined)
{
	struct hn_http *good[MAX_JOBS];
	int64_t begin_ms, next_crash_ms, next_good_ms;
	int i, n_good = 0, n_served = 0;
	unsigned id = 0xe000;
	struct dpl dpl;

	start_with_two_queues(&dpl);
	begin_ms = next_crash_ms = next_good_ms = hn_now_ms();
	while (hn_now_ms() < begin_ms + LOAD_MS) {
		if (hn_now_ms() >= next_crash_ms) {
			post(&dpl, (int)(id % DPL_ENTRIES), "q", id, "crash");
			next_crash_ms += CRASH_EVERY_MS;
			id++;
		}
		if (hn_now_ms() >= next_good_ms) {
			struct hn_http *http =
			    post(&dpl, (int)(id % DPL_ENTRIES), "good", id,
				hn_str("%d", GOOD_RUN_MS));

			if (hn_now_ms() >= begin_ms + WARM_UP_MS &&
			    n_good < MAX_JOBS)
				good[n_good++] = http;
			next_good_ms += GOOD_EVERY_MS;
			id++;
		}
		hn_sleep(5);
	}
	for (i = 0; i < n_good; i++) {
		hn_http_wait(good[i], HN_LIMIT_MS);
		n_served += good[i]->status == 200 &&
			    good[i]->took_ms <= GOOD_OBJECTIVE_MS;
	}
	if (n_served * 10 < n_good * 9)
		print_crashes(&dpl);
	ck_assert_msg(n_served * 10 >= n_good * 9,
	    "%d of %d jobs of the other queue served in time", n_served,
	    n_good);
	hn_finish();
}
END_TEST

TEST_MAIN("crashing", 3 * HN_LIMIT_MS / 1000.0, crashing_task_given_up,
    crashing_queue_confined)
