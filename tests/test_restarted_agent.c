#include "deployment.h"
#include "runner.h"

/* From a change of capacity on, starts beyond it are allowed for this long. */
#define SHRINK_GRACE_MS 3300
/* A worker's word is older than an agent acts on. */
#define OLD_WORD_MS 3500
/* Room for eight tasks at each worker at first, then for two. */
#define SMALL_MILLI 2000
#define N_TASKS	    24
/* A worker's first heartbeat after this must bring the job to its end. */
#define REFUSED_MS 2500

static int64_t
count(const struct dpl *dpl, const char *name)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), name);
}

/* Only the agents' keys tell of the workers' former capacity then. */
static void
shrink_during_outage(const struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?store=down", NULL);
	dpl_control(
	    dpl, "GET", hn_str("mode?capacity=%d", SMALL_MILLI), NULL);
	hn_sleep(SHRINK_GRACE_MS);
	dpl_control(dpl, "GET", "mode?beats=0&store=up", NULL);
}

static void
restart_agents(const struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++) {
		hn_kill(dpl->agent[i]);
		hn_restart(dpl->agent[i]);
	}
}

static void
restart_entries(const struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++) {
		hn_kill(dpl->entry[i]);
		hn_restart(dpl->entry[i]);
	}
}

static void
run_jobs(const struct dpl *dpl, int64_t for_ms)
{
	int64_t until_ms = hn_now_ms() + for_ms;

	while (hn_now_ms() < until_ms) {
		dpl_count_running(dpl, 0, N_TASKS);
		hn_sleep(20);
	}
}

/*
 * An agent that was restarted took the worker's capacity from its key in the
 * store, which was larger than the worker's present one.
 */
START_TEST(capacity_that_shrank_during_an_outage_holds_after_a_restart)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	shrink_during_outage(&dpl);
	restart_agents(&dpl);
	run_jobs(&dpl, REFUSED_MS);
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/* The same where no entry remembers what the former agent has told. */
START_TEST(restarted_system_waits_for_the_workers_word)
{
	int64_t before;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	shrink_during_outage(&dpl);
	before = count(&dpl, "starts");
	restart_entries(&dpl);
	restart_agents(&dpl);
	run_jobs(&dpl, REFUSED_MS);
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	ck_assert_int_eq(count(&dpl, "starts"), before);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/*
 * An agent that hears nothing from its worker for long, as after it was frozen,
 * started tasks by what the worker had said before.
 */
START_TEST(old_word_of_a_worker_starts_nothing)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET",
	    hn_str("mode?beats=0&capacity=%d", SMALL_MILLI), NULL);
	hn_sleep(OLD_WORD_MS);
	run_jobs(&dpl, REFUSED_MS);
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	restart_agents(&dpl);
	run_jobs(&dpl, REFUSED_MS);
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

TEST_MAIN("restarted_agent", 2 * HN_LIMIT_MS / 1000.0,
    capacity_that_shrank_during_an_outage_holds_after_a_restart,
    restarted_system_waits_for_the_workers_word,
    old_word_of_a_worker_starts_nothing)
