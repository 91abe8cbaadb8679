#include "deployment.h"
#include "oddheartbeat.h"
#include "runner.h"

/* From a change of capacity on, starts beyond it are allowed for this long. */
#define SHRINK_GRACE_MS 3300
/* A description is older than an agent acts on. */
#define OLD_DESCRIPTION_MS 3500
/* Room for eight tasks at each worker at first, then for two. */
#define SMALL_MILLI 2000
/* Jobs are sent for this long while the worker is not heard. */
#define REFUSED_MS 2500
/* And after each odd heartbeat. */
#define ODD_HEARTBEAT_MS 300
#define JOB                                                                    \
	"{\"spec\":\"300\",\"best_effort\":true,\"steps\":[{\"count\":24,"     \
	"\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":300}]}"

/* Only the agents' keys tell of the workers' former capacity then. */
static void
shrink_during_outage(const struct dpl *dpl)
{
	dpl_control(dpl, "GET", "mode?store=down", NULL);
	dpl_control(dpl, "GET", hn_str("mode?capacity=%d", SMALL_MILLI), NULL);
	hn_sleep(SHRINK_GRACE_MS);
	dpl_control(dpl, "GET", "mode?beats=0&store=up", NULL);
}

static void
restart(struct hn_proc *const *procs, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		hn_kill(procs[i]);
		hn_restart(procs[i]);
	}
}

/* The entries hear nothing from the former agents. */
static void
restart_system(const struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++)
		hn_kill(dpl->agent[i]);
	restart(dpl->entry, DPL_ENTRIES);
	restart(dpl->agent, DPL_AGENTS);
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
	restart(dpl.agent, DPL_AGENTS);
	dpl_send_jobs(&dpl, JOB, REFUSED_MS);
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/* The same where no entry remembers what the former agent has told. */
START_TEST(restarted_system_waits_for_a_heartbeat)
{
	int64_t before;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	shrink_during_outage(&dpl);
	before = dpl_count(&dpl, "starts");
	restart_system(&dpl);
	dpl_send_jobs(&dpl, JOB, REFUSED_MS);
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	ck_assert_int_eq(dpl_count(&dpl, "starts"), before);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/*
 * An agent that hears nothing from its worker for long, as after it was frozen,
 * started tasks by what the worker had said before.
 */
START_TEST(old_description_starts_nothing)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(
	    &dpl, "GET", hn_str("mode?beats=0&capacity=%d", SMALL_MILLI), NULL);
	hn_sleep(OLD_DESCRIPTION_MS);
	dpl_send_jobs(&dpl, JOB, REFUSED_MS);
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	restart(dpl.agent, DPL_AGENTS);
	dpl_send_jobs(&dpl, JOB, REFUSED_MS);
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	dpl_control(&dpl, "GET", "mode?beats=1", NULL);
	ck_assert(hn_wait_until(dpl_completes_job(&dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

/*
 * Odd heartbeats claimed the former capacity under the worker's own id, so that
 * the soak counted starts beyond the present one that no agent could tell.
 */
START_TEST(odd_heartbeats_tell_the_present_capacity)
{
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	shrink_during_outage(&dpl);
	restart(dpl.agent, DPL_AGENTS);
	for (i = 0; i < ohb_n_rows; i++) {
		hn_http_wait(
		    ohb_send(&dpl, DPL_AGENTS - 1, &ohb_rows[i]), HN_LIMIT_MS);
		dpl_send_jobs(&dpl, JOB, ODD_HEARTBEAT_MS);
	}
	ck_assert_int_eq(dpl_count(&dpl, "limit"), 0);
	hn_finish();
}
END_TEST

static int64_t
n_unstated(const struct dpl *dpl)
{
	return dpl_agent_metric(dpl, "sp_worker_unstated_total");
}

/*
 * A worker that was down for long counted as one that answers, but no longer
 * describes itself, which operators take for missing heartbeats.
 */
START_TEST(worker_that_is_down_does_not_count_as_unstated)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET",
	    hn_str("mode?down_ms=%d&down=0", 2 * OLD_DESCRIPTION_MS), NULL);
	hn_sleep(OLD_DESCRIPTION_MS);
	ck_assert_int_eq(n_unstated(&dpl), 0);
	hn_finish();

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "GET", "mode?beats=0", NULL);
	hn_sleep(OLD_DESCRIPTION_MS);
	ck_assert_int_eq(n_unstated(&dpl), 1);
	hn_finish();
}
END_TEST

TEST_MAIN("restarted_agent", 2 * HN_LIMIT_MS / 1000.0,
    capacity_that_shrank_during_an_outage_holds_after_a_restart,
    restarted_system_waits_for_a_heartbeat, old_description_starts_nothing,
    odd_heartbeats_tell_the_present_capacity,
    worker_that_is_down_does_not_count_as_unstated)
