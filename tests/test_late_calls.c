/*
 * Calls that arrive or are carried out seconds late, with real processes: no
 * task may run twice at once.
 */
#include <glib.h>
#include <signal.h>

#include "deployment.h"
#include "runner.h"

#define JOB_DEADLINE_MS 1500
#define RESEND_MS	1300
#define LATE_MS		2500
#define TASK_MS		3000
#define HELD_UP_MS	2000
/*
 * An estimate by which no run is too slow: entries expect a share of it, which
 * they learned from the short tasks before.
 */
#define UNKNOWN_MS (100 * TASK_MS)
/* Tasks of a job that leaves a worker free for its second submission. */
#define N_FEW 2
/* Tasks that need the lease of every worker. */
#define N_OTHERS 9
/* Less than the silence after which an agent ends a session. */
#define CANCEL_DELAY_MS 500
#define SLOW_LINK_MS	700
/* Later than the end of the steps in which that delay is reached. */
#define HELD_UP_DEADLINE_MS 2500
/* Less than the time on its way for which an agent refuses a start. */
#define START_DELAY_MS	  200
#define SHORT_DEADLINE_MS 100
#define SHORT_TASK_MS	  20
#define N_SHORT_JOBS	  20
/* Tasks that no two workers have room for. */
#define N_ALL 40
/* Tasks of a job that uses all workers. */
#define N_WIDE 9
/*
 * Age of a worker's next life at which it executes a start of the former: after
 * a short crash a call to the former waits for an answer for up to 410 ms.
 */
#define LATE_START_MS	    100
#define LATE_SHORT_START_MS 500
#define EXECUTED_MS	    50
/* The lease has ended, and the suspected task waited for an idle worker. */
#define LONG_CRASH_MS  1500
#define N_LONG_CRASHES 4

struct job_form {
	int n_tasks;
	int task_ms;
	/* Agents stop runs that seem to need more than three times this. */
	int estimate_ms;
	int deadline_ms;
};

static struct hn_http *
post_form(struct dpl *dpl, int entry, unsigned id, const struct job_form *form)
{
	const char *const headers[] = {"Content-Type: application/json",
	    hn_str("X-Deadline-Ms: %d", form->deadline_ms), NULL};

	return hn_http_start("POST",
	    dpl_url(dpl, entry, hn_str("/q/%016x", id)), headers,
	    hn_str("{\"spec\":\"%d\",\"best_effort\":true,\"steps\":["
		   "{\"count\":%d,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":"
		   "%d}]}",
		form->task_ms, form->n_tasks, form->estimate_ms));
}

static struct hn_http *
post_job(struct dpl *dpl, int entry, unsigned id, int n_tasks, int deadline_ms)
{
	return post_form(dpl, entry, id,
	    &(struct job_form){n_tasks, TASK_MS, 250, deadline_ms});
}

/* A job that leaves a worker free for its second submission. */
static struct hn_http *
post_small_job(struct dpl *dpl, int entry, unsigned id, int deadline_ms)
{
	return post_form(dpl, entry, id,
	    &(struct job_form){N_FEW, 2 * TASK_MS, UNKNOWN_MS, deadline_ms});
}

static int64_t
count(struct dpl *dpl, const char *name)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), name);
}

/* Submits a job again while the stops of its first runs are late. */
static void
resend_small_job(struct dpl *dpl, unsigned id)
{
	struct hn_http *job = post_small_job(dpl, 1, id, JOB_DEADLINE_MS);

	hn_sleep(JOB_DEADLINE_MS / 2);
	ck_assert_int_eq(count(dpl, "twice"), 0);
	ck_assert_int_ge(count(dpl, "running"), N_FEW);
	dpl_control(dpl, "GET", "mode?late_stops=0", NULL);
	hn_http_wait(job, HN_LIMIT_MS);
	ck_assert_int_eq(count(dpl, "twice"), 0);
}

/* Tells why tasks don't run, once for the report of a failure. */
static void
print_logs(struct dpl *dpl)
{
	const char *const all[] = {"", NULL};
	int i;

	printf("%s\n", dpl_control(dpl, "GET", "counts", NULL)->body);
	for (i = 0; i < DPL_ENTRIES; i++)
		hn_print_log(dpl->entry[i], all);
	for (i = 0; i < DPL_AGENTS; i++)
		hn_print_log(dpl->agent[i], all);
	fflush(stdout);
}

/*
 * A job reaches its deadline, and the stops of its runs are carried out late.
 * The agents went on renewing the lease of these runs, so that they were still
 * at work when the job was sent again, also where other runs need the lease.
 */
static void
resend_after_late_stops(int n_other_tasks)
{
	struct hn_http *job, *other = NULL;
	int64_t running;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	if (n_other_tasks > 0)
		other = post_job(&dpl, 1, 0xd1, n_other_tasks, 20000);
	job = post_job(&dpl, 0, 0xd0, 6, JOB_DEADLINE_MS);
	ck_assert(hn_wait_until(
	    count(&dpl, "running") == 6 + n_other_tasks, JOB_DEADLINE_MS));
	dpl_control(&dpl, "GET", hn_str("mode?late_stops=%d", LATE_MS), NULL);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 504);
	hn_sleep(RESEND_MS);
	job = post_job(&dpl, 1, 0xd0, 6, JOB_DEADLINE_MS);
	hn_sleep(JOB_DEADLINE_MS / 2);
	running = count(&dpl, "running");
	if (running < 6)
		print_logs(&dpl);
	ck_assert_int_ge(running, 6);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	dpl_control(&dpl, "GET", "mode?late_stops=0", NULL);
	hn_http_wait(job, HN_LIMIT_MS);
	if (other != NULL)
		ck_assert_int_eq(hn_http_wait(other, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	hn_finish();
}

START_TEST(late_stops_end_with_the_lease)
{
	resend_after_late_stops(0);
}
END_TEST

START_TEST(late_stops_end_beside_other_runs)
{
	resend_after_late_stops(9);
}
END_TEST

/*
 * An entry falls silent when its caller gives up, and the stops of its runs are
 * carried out late.  The agents counted their patience with the stops from the
 * end of its session, so that the lease was renewed for too long.
 */
START_TEST(late_stops_of_a_silent_entry)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	post_small_job(&dpl, 0, 0xd4, 20000);
	ck_assert(hn_wait_until(count(&dpl, "running") == N_FEW, HN_LIMIT_MS));
	dpl_control(&dpl, "GET", hn_str("mode?late_stops=%d", LATE_MS), NULL);
	hn_signal(dpl.entry[0], SIGSTOP);
	hn_sleep(RESEND_MS);
	resend_small_job(&dpl, 0xd4);
	hn_signal(dpl.entry[0], SIGCONT);
	hn_finish();
}
END_TEST

static void
delay_entries(struct dpl *dpl, int ms)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++)
		dpl_set_fault(dpl, DPL_ENTRIES_AGENT, i, "up", "delay", ms);
}

static void
restore_entries(struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++)
		dpl_set_fault(dpl, DPL_ENTRIES_AGENT, i, "", "restore", 0);
}

/*
 * The cancels of a job that has reached its deadline are held up, by less than
 * what ends a session, and the stops of its runs are carried out late.  The
 * agents counted their patience with the stops from the arrival of the cancels.
 */
START_TEST(late_stops_after_held_up_cancels)
{
	const struct job_form other = {
	    N_OTHERS, 2 * TASK_MS, UNKNOWN_MS, 20000};
	struct hn_http *job;
	struct dpl dpl;
	int ms;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	job = post_small_job(&dpl, 0, 0xd5, HELD_UP_DEADLINE_MS);
	ck_assert(hn_wait_until(count(&dpl, "running") == N_FEW, HN_LIMIT_MS));
	post_form(&dpl, 1, 0xd6, &other);
	dpl_control(&dpl, "GET", hn_str("mode?late_stops=%d", LATE_MS), NULL);
	for (ms = 100; ms <= CANCEL_DELAY_MS; ms += 100) {
		delay_entries(&dpl, ms);
		hn_sleep(200);
	}
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 504);
	hn_sleep(CANCEL_DELAY_MS);
	restore_entries(&dpl);
	hn_sleep(RESEND_MS - CANCEL_DELAY_MS);
	resend_small_job(&dpl, 0xd5);
	hn_finish();
}
END_TEST

/*
 * All that an entry sends is held up by the same time from its first message
 * on, so that no message is later than the others.  The cancels of a job arrive
 * late, and the stops of its runs are carried out late.
 */
START_TEST(late_stops_behind_a_slow_link)
{
	const struct job_form other = {
	    N_OTHERS, 2 * TASK_MS, UNKNOWN_MS, 20000};
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	hn_kill(dpl.entry[0]);
	delay_entries(&dpl, SLOW_LINK_MS);
	hn_restart(dpl.entry[0]);
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status == 200,
	    HN_LIMIT_MS));
	hn_sleep(INT64_C(2) * SLOW_LINK_MS);
	job = post_small_job(&dpl, 0, 0xd7, HELD_UP_DEADLINE_MS);
	post_form(&dpl, 0, 0xd8, &other);
	hn_sleep(HELD_UP_DEADLINE_MS / 2);
	dpl_control(&dpl, "GET", hn_str("mode?late_stops=%d", LATE_MS), NULL);
	ck_assert_int_ne(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	hn_sleep(SLOW_LINK_MS);
	restore_entries(&dpl);
	hn_sleep(RESEND_MS - SLOW_LINK_MS);
	resend_small_job(&dpl, 0xd7);
	hn_finish();
}
END_TEST

/*
 * A deregistration that was held up arrives in the worker's next life under the
 * same id.  What runs there was started elsewhere at once.
 */
START_TEST(late_deregistration_ends_no_run)
{
	struct hn_http *job;
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = post_job(&dpl, 0, 0xd2, 9, 20000);
	ck_assert(hn_wait_until(count(&dpl, "running") == 9, HN_LIMIT_MS));
	for (i = 0; i < DPL_AGENTS; i++)
		hn_http("DELETE",
		    hn_str("http://127.0.0.1:%u/sequoiaplank/instances/w%d",
			dpl.control_port[i], i),
		    NULL);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	ck_assert_int_eq(count(&dpl, "lapsed"), 0);
	ck_assert(dpl_completes_job(&dpl, 1));
	hn_finish();
}
END_TEST

/*
 * What entries send to the agents is held up, more and more, without a gap that
 * is long enough to close the links.  The starts of a job were carried out 2 s
 * after they were sent, when the job had long been sent elsewhere.
 */
START_TEST(held_up_starts_are_not_executed)
{
	struct hn_http *job;
	int64_t starts;
	struct dpl dpl;
	int ms;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	for (ms = 100; ms <= HELD_UP_MS; ms += 100) {
		delay_entries(&dpl, ms);
		hn_sleep(200);
	}
	starts = count(&dpl, "starts");
	job = post_job(&dpl, 0, 0xd3, 9, JOB_DEADLINE_MS);
	ck_assert_int_ne(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	hn_sleep(HELD_UP_MS);
	ck_assert_int_eq(count(&dpl, "starts"), starts);
	restore_entries(&dpl);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	hn_finish();
}
END_TEST

/* Starts that agent 0 has returned. */
static int64_t
n_returned(struct dpl *dpl)
{
	return dpl_agent_metric(dpl, "sp_runs_refused_total");
}

/* Sends a job that reaches its deadline while its starts are on their way. */
static void
post_job_with_short_deadline(struct dpl *dpl, unsigned id)
{
	struct hn_http *job = post_form(dpl, 0, id,
	    &(struct job_form){
		N_ALL, SHORT_TASK_MS, UNKNOWN_MS, SHORT_DEADLINE_MS});

	ck_assert_int_ne(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	hn_sleep(INT64_C(2) * START_DELAY_MS);
}

/*
 * Starts that were on their way for longer than their job had left, but for
 * less than what lets an agent refuse them, were executed after the job's
 * deadline: the time that is left counted from their arrival.  On a busy
 * machine an entry may send no start before the deadline, so that the job is
 * repeated until an agent has returned one.
 */
START_TEST(starts_are_not_executed_after_the_deadline)
{
	int64_t starts, returned;
	struct dpl dpl;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	delay_entries(&dpl, START_DELAY_MS);
	hn_sleep(INT64_C(4) * START_DELAY_MS);
	starts = count(&dpl, "starts");
	returned = n_returned(&dpl);
	for (i = 0; i < N_SHORT_JOBS && n_returned(&dpl) == returned; i++) {
		post_job_with_short_deadline(&dpl, 0xe0 + i);
		ck_assert_int_eq(count(&dpl, "starts"), starts);
	}
	ck_assert_int_gt(n_returned(&dpl), returned);
	hn_finish();
}
END_TEST

static int64_t
worker_value(struct dpl *dpl, int worker, const char *name)
{
	return hn_json_int(
	    dpl_control(dpl, "GET", hn_str("worker?index=%d", worker), NULL),
	    name);
}

/* The worker that keeps a start for its next life, or -1. */
static int
keeping_worker(struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++) {
		if (worker_value(dpl, i, "kept_start") == 1)
			return i;
	}
	return -1;
}

/* Sends a job, one start of which is kept.  Returns the worker that does so. */
static int
post_job_with_kept_start(
    struct dpl *dpl, unsigned id, int late_start_ms, struct hn_http **job)
{
	int worker;

	dpl_control(dpl, "GET",
	    hn_str(
		"mode?keep_id=1&keep_start=1&late_start_ms=%d", late_start_ms),
	    NULL);
	*job = post_form(
	    dpl, 0, id, &(struct job_form){N_WIDE, TASK_MS, UNKNOWN_MS, 20000});
	ck_assert(
	    hn_wait_until((worker = keeping_worker(dpl)) >= 0, HN_LIMIT_MS));
	return worker;
}

/*
 * The worker crashes, and its next life executes the start before any
 * heartbeat.  The task is at work elsewhere by then.
 */
static void
crash_before_late_start(
    struct dpl *dpl, int worker, int down_ms, int late_start_ms)
{
	int64_t born_ms = worker_value(dpl, worker, "born");

	dpl_control(dpl, "GET",
	    hn_str("mode?beats=0&down=%d&down_ms=%d", worker, down_ms), NULL);
	ck_assert(hn_wait_until(
	    worker_value(dpl, worker, "born") != born_ms, HN_LIMIT_MS));
	hn_sleep(late_start_ms + EXECUTED_MS);
	printf("away for %d ms, fenced at the age of %d ms\n", down_ms,
	    (int)worker_value(dpl, worker, "fenced_ms"));
	fflush(stdout);
	dpl_control(dpl, "GET", "mode?beats=1&drain=-1", NULL);
	ck_assert_int_eq(count(dpl, "twice"), 0);
}

/*
 * A start without an answer was settled and its task placed elsewhere, when its
 * worker crashed and returned at once.  The agent ignored the answers of the
 * next life, and called it with the former fencing token until its heartbeat.
 */
START_TEST(late_start_after_a_short_crash)
{
	struct hn_http *job;
	struct dpl dpl;
	int worker;

	dpl_start(&dpl, &(struct dpl_options){0});
	worker =
	    post_job_with_kept_start(&dpl, 0xd5, LATE_SHORT_START_MS, &job);
	dpl_control(&dpl, "GET", hn_str("mode?drain=%d", worker), NULL);
	ck_assert(hn_wait_until(count(&dpl, "running") == N_WIDE, HN_LIMIT_MS));
	crash_before_late_start(&dpl, worker, 0, LATE_SHORT_START_MS);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	hn_finish();
}
END_TEST

/*
 * The lease of a worker that is away ended, and its tasks were placed
 * elsewhere.  A poll to it was waiting for an answer when its next life began,
 * so that nothing showed that the higher fencing token before it executed the
 * start.
 */
START_TEST(late_start_after_a_long_crash)
{
	struct hn_http *job;
	struct dpl dpl;
	int i, worker;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < N_LONG_CRASHES; i++) {
		worker = post_job_with_kept_start(
		    &dpl, 0xd6 + (unsigned)i, LATE_START_MS, &job);
		crash_before_late_start(
		    &dpl, worker, LONG_CRASH_MS + 70 * i, LATE_START_MS);
		ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	}
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {held_up_starts_are_not_executed,
	    starts_are_not_executed_after_the_deadline,
	    late_stops_end_with_the_lease, late_stops_end_beside_other_runs,
	    late_stops_of_a_silent_entry, late_stops_after_held_up_cancels,
	    late_stops_behind_a_slow_link, late_deregistration_ends_no_run,
	    late_start_after_a_short_crash, late_start_after_a_long_crash};

	return run_tests("late_calls", tests, sizeof(tests) / sizeof(tests[0]),
	    2 * HN_LIMIT_MS / 1000.0);
}
