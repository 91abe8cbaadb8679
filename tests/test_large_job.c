/*
 * A job of very many tasks beside small ones of a queue that comes first, at the
 * same entry, with real processes.
 */
#include "deployment.h"
#include "runner.h"

#define LARGE_TASKS  20000
#define N_SMALL_JOBS 40
#define LARGE_RUN_MS 5
#define START_MS     50 /* from the request to the start at the worker */
#define ANSWER_MS    50 /* from the request to the answer */

static void
configure(struct dpl *dpl)
{
	dpl_control(dpl, "PUT", "key?key=op/config",
	    "{\"version\":9,\"routes\":["
	    "{\"name\":\"q\",\"host\":\"127.0.0.1\",\"prefix\":\"/q/\","
	    "\"service\":\"desk\",\"priority\":0,\"max_attempts\":4,"
	    "\"stretch\":1.5,\"target_completion_ms\":60},"
	    "{\"name\":\"late\",\"host\":\"127.0.0.1\",\"prefix\":\"/late/\","
	    "\"service\":\"desk\",\"priority\":1,\"max_attempts\":4,"
	    "\"stretch\":1.5,\"target_completion_ms\":400}],"
	    "\"services\":[],\"limits\":{}}");
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(dpl, 0, "/late/"), NULL)->status == 200,
	    HN_LIMIT_MS));
}

/* max_per_worker: 0: no limit. */
static struct hn_http *
post(struct dpl *dpl, const char *queue, unsigned id, int n_tasks, int run_ms,
    int max_per_worker)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 60000", NULL};

	return hn_http_start("POST",
	    dpl_url(dpl, 0, hn_str("/%s/%016x", queue, id)), headers,
	    hn_str("{\"spec\":\"%d\",\"best_effort\":true,\"steps\":[{"
		   "\"count\":%d,\"cpu\":1000,\"mem_mb\":1,"
		   "\"max_per_server\":%d,\"estimate_ms\":%d}]}",
		run_ms, n_tasks, max_per_worker, run_ms));
}

static int64_t
last_start_ms(struct dpl *dpl, unsigned id)
{
	return hn_json_int(
	    dpl_control(dpl, "GET", hn_str("starts?job=%016x", id), NULL),
	    "last_ms");
}

static void
check_small_job(struct dpl *dpl, unsigned id)
{
	int64_t begin_ms = hn_now_ms(), start_ms;
	struct hn_http *small =
	    hn_http_wait(post(dpl, "q", id, 1, 1, 0), HN_LIMIT_MS);

	ck_assert_int_eq(small->status, 200);
	start_ms = last_start_ms(dpl, id) - begin_ms;
	ck_assert_msg(start_ms >= 0 && start_ms <= START_MS,
	    "started after %d ms, answered after %d ms", (int)start_ms,
	    (int)small->took_ms);
	ck_assert_msg(small->took_ms <= ANSWER_MS,
	    "started after %d ms, answered after %d ms", (int)start_ms,
	    (int)small->took_ms);
}

static void
check_small_jobs(int max_per_worker)
{
	struct hn_http *large;
	struct dpl dpl;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){0});
	configure(&dpl);
	large = post(
	    &dpl, "late", 0xc000, LARGE_TASKS, LARGE_RUN_MS, max_per_worker);
	for (i = 0; i < N_SMALL_JOBS; i++) {
		hn_sleep(25);
		check_small_job(&dpl, 0xc100 + i);
	}
	printf("large job done: %d\n", large->done);
	hn_finish();
}

START_TEST(small_jobs_beside_a_large_one)
{
	check_small_jobs(0);
}
END_TEST

/* Each choice of a worker counted the runs of the job on each worker anew. */
START_TEST(small_jobs_beside_a_large_limited_one)
{
	check_small_jobs(4);
}
END_TEST

TEST_MAIN("large_job", 2 * HN_LIMIT_MS / 1000.0, small_jobs_beside_a_large_one,
    small_jobs_beside_a_large_limited_one)
