/*
 * A cancel that reaches another entry than the job, with real processes: the
 * caller was told that no such job exists, and its tasks ran on.
 */
#include "deployment.h"
#include "runner.h"

#define CANCEL_MS 3000 /* after which no task may start */
#define JOB_PATH  "/q/00000000000000f1"

static int64_t
count(struct dpl *dpl, const char *name)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), name);
}

static struct hn_http *
post_job(struct dpl *dpl, int entry)
{
	return hn_http_start("POST", dpl_url(dpl, entry, JOB_PATH), NULL,
	    "{\"spec\":\"2500\",\"best_effort\":true,\"steps\":["
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250},"
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250,"
	    "\"after\":[0]}]}");
}

START_TEST(job_of_another_entry_is_cancelled)
{
	struct hn_http *job, *cancel;
	int64_t starts;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(count(&dpl, "running") == 4, HN_LIMIT_MS));
	starts = count(&dpl, "starts");
	cancel = hn_http("DELETE", dpl_url(&dpl, 1, JOB_PATH), NULL);
	ck_assert_int_eq(cancel->status, 200);
	ck_assert(hn_wait_until(count(&dpl, "running") == 0, 1000));
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 502);
	/* A call that was on its way must not start the job again. */
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 0), HN_LIMIT_MS)->status, 410);
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 1), HN_LIMIT_MS)->status, 410);
	hn_sleep(CANCEL_MS);
	ck_assert_int_eq(count(&dpl, "starts"), starts);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {job_of_another_entry_is_cancelled};

	return run_tests(
	    "cancel_elsewhere", tests, 1, 2 * HN_LIMIT_MS / 1000.0);
}
