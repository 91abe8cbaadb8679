/*
 * Cancels with real processes, where the caller's next requests meet other
 * entries and other versions of the configuration.
 */
#include "deployment.h"
#include "runner.h"

#define CANCEL_MS    3000 /* after which no task may start */
#define JOB_PATH     "/q/00000000000000f2"
#define OTHER_PATH   "/other/00000000000000f2"
#define OTHER_PREFIX "/other/"
#define CONFIG_WITH_BOTH                                                       \
	"{\"version\":2,\"routes\":["                                          \
	"{\"name\":\"q\",\"host\":\"127.0.0.1\",\"prefix\":\"/q/\","           \
	"\"service\":\"desk\",\"priority\":0,\"max_attempts\":4,"              \
	"\"stretch\":1.6,\"target_completion_ms\":60},"                        \
	"{\"name\":\"p\",\"host\":\"127.0.0.1\",\"prefix\":\"/other/\","       \
	"\"service\":\"desk\",\"priority\":0,\"max_attempts\":4,"              \
	"\"stretch\":1.6,\"target_completion_ms\":60}],"                       \
	"\"services\":[],\"limits\":{}}"

static struct hn_http *
post_job(struct dpl *dpl, int entry)
{
	return hn_http_start("POST", dpl_url(dpl, entry, JOB_PATH), NULL,
	    "{\"spec\":\"2500\",\"best_effort\":true,\"steps\":["
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250},"
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":250,"
	    "\"after\":[0]}]}");
}

static int
status_of(struct dpl *dpl, int entry, const char *method, const char *path)
{
	return hn_http(method, dpl_url(dpl, entry, path), NULL)->status;
}

/*
 * Guards against a job that is cancelled at its own entry and then run by
 * another one, to which the caller sends it again (review/6).
 */
START_TEST(job_cancelled_at_its_entry_runs_nowhere)
{
	struct hn_http *job;
	int64_t starts;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	starts = dpl_count(&dpl, "starts");
	ck_assert_int_eq(status_of(&dpl, 0, "DELETE", JOB_PATH), 200);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 502);
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 1), HN_LIMIT_MS)->status, 410);
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 0), HN_LIMIT_MS)->status, 410);
	hn_sleep(CANCEL_MS);
	ck_assert_int_eq(dpl_count(&dpl, "starts"), starts);
	hn_finish();
}
END_TEST

/*
 * Guards against a job that is queried or cancelled by the path of another queue
 * with the same id.
 */
START_TEST(job_of_another_path_is_not_meant)
{
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "PUT", "key?key=op/config", CONFIG_WITH_BOTH);
	ck_assert(hn_wait_until(
	    status_of(&dpl, 0, "GET", OTHER_PREFIX) == 200, HN_LIMIT_MS));
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	ck_assert_int_eq(status_of(&dpl, 0, "GET", JOB_PATH), 200);
	ck_assert_int_eq(status_of(&dpl, 0, "GET", OTHER_PATH), 410);
	ck_assert_int_eq(status_of(&dpl, 0, "DELETE", OTHER_PATH), 200);
	ck_assert_int_eq(status_of(&dpl, 1, "DELETE", OTHER_PATH), 200);
	hn_sleep(200);
	ck_assert_int_eq(dpl_count(&dpl, "running"), 4);
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 200);
	hn_finish();
}
END_TEST

/* Guards against a job that can't be cancelled any more (review/9). */
START_TEST(job_without_a_route_is_cancelled)
{
	int entry = _i;
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	dpl_configure(&dpl, 2, OTHER_PREFIX);
	ck_assert(hn_wait_until(
	    status_of(&dpl, entry, "GET", OTHER_PREFIX) == 200, HN_LIMIT_MS));
	ck_assert_int_eq(status_of(&dpl, entry, "DELETE", JOB_PATH), 200);
	ck_assert_int_eq(
	    status_of(&dpl, entry, "DELETE", "/never/00000000000000f2"), 404);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 0, 1000));
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 502);
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 1), HN_LIMIT_MS)->status, 410);
	hn_finish();
}
END_TEST

/*
 * Guards against a job that can't be cancelled at an entry that was restarted
 * after the job's route had been removed (review/12).
 */
START_TEST(restarted_entry_cancels_job_without_a_route)
{
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	dpl_configure(&dpl, 2, OTHER_PREFIX);
	ck_assert(hn_wait_until(
	    status_of(&dpl, 0, "GET", OTHER_PREFIX) == 200, HN_LIMIT_MS));
	hn_kill(dpl.entry[1]);
	hn_restart(dpl.entry[1]);
	ck_assert(hn_wait_until(
	    status_of(&dpl, 1, "GET", OTHER_PREFIX) == 200, HN_LIMIT_MS));
	ck_assert_int_eq(status_of(&dpl, 1, "DELETE", JOB_PATH), 200);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 0, 1000));
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 502);
	ck_assert_int_eq(
	    hn_http_wait(post_job(&dpl, 1), HN_LIMIT_MS)->status, 410);
	hn_finish();
}
END_TEST

/*
 * Guards against an acknowledged cancel that is forgotten when all machines lose
 * power, so that the job, sent again, is run (review/11).
 */
START_TEST(cancel_outlives_all_processes)
{
	int entry = _i;
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	ck_assert_int_eq(status_of(&dpl, entry, "DELETE", JOB_PATH), 200);
	dpl_restart_all(&dpl);
	for (i = 0; i < DPL_ENTRIES; i++) {
		ck_assert(
		    hn_wait_until(dpl_completes_job(&dpl, i), HN_LIMIT_MS));
		ck_assert_int_eq(
		    hn_http_wait(post_job(&dpl, i), HN_LIMIT_MS)->status, 410);
	}
	hn_finish();
}
END_TEST

/*
 * Guards against a cancel that is lost when its entry is cut off from all agents
 * (review/8), and against a job that its own entry, cut off at that time, goes on
 * with (review/7).
 */
START_TEST(cut_off_entries_learn_of_cancels)
{
	int cut = _i;
	struct hn_http *job;
	int64_t starts;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	job = post_job(&dpl, 0);
	ck_assert(hn_wait_until(dpl_count(&dpl, "running") == 4, HN_LIMIT_MS));
	dpl_set_entry_fault(&dpl, cut, "both", "freeze");
	hn_sleep(1000);
	ck_assert_int_eq(status_of(&dpl, 1, "DELETE", JOB_PATH), 200);
	dpl_set_entry_fault(&dpl, cut, "both", "restore");
	dpl_set_entry_fault(&dpl, cut, "both", "cut&scope=existing");
	ck_assert_int_eq(hn_http_wait(job, HN_LIMIT_MS)->status, 502);
	starts = dpl_count(&dpl, "starts");
	hn_sleep(CANCEL_MS);
	ck_assert_int_eq(dpl_count(&dpl, "starts"), starts);
	hn_finish();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cancel_state");

	tcase_add_test(tc, job_cancelled_at_its_entry_runs_nowhere);
	tcase_add_test(tc, job_of_another_path_is_not_meant);
	tcase_add_loop_test(tc, job_without_a_route_is_cancelled, 0, 2);
	tcase_add_test(tc, restarted_entry_cancels_job_without_a_route);
	tcase_add_loop_test(tc, cancel_outlives_all_processes, 0, DPL_ENTRIES);
	tcase_add_loop_test(tc, cut_off_entries_learn_of_cancels, 0, 2);
	return run_tcase("cancel_state", tc, 2 * HN_LIMIT_MS / 1000.0);
}
