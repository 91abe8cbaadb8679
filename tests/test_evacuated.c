#include "deployment.h"
#include "runner.h"

/* Until the entries have noticed that the store does not answer. */
#define CUT_MS 500
/* From the evacuation of a zone until no more tasks may start there. */
#define EVACUATE_MS 5000
/* Jobs are sent for this long after that. */
#define OUT_MS 3000
#define JOB                                                                    \
	"{\"spec\":\"300\",\"best_effort\":true,\"steps\":[{\"count\":24,"     \
	"\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":300}]}"

/* Cuts every entry off from the store; agents still reach it. */
static void
cut_entries(const struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++)
		dpl_set_fault(dpl, DPL_ENTRY_STORE, i, "", "freeze", 0);
	hn_sleep(CUT_MS);
}

static void
restore_entries(const struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++) {
		dpl_set_fault(dpl, DPL_ENTRY_STORE, i, "", "restore", 0);
		dpl_set_fault(dpl, DPL_ENTRY_STORE, i, "", "release", 0);
	}
}

static const bool restarts_agents[] = {false, true};

/*
 * An agent learned which zones are evacuated from its entries alone, so that it
 * went on starting tasks there while they did not reach the store.
 */
START_TEST(agents_know_evacuations_that_no_entry_knows)
{
	int64_t starts;
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){.proxied = true});
	ck_assert(
	    hn_wait_until(dpl_count_running(&dpl, 0, 24) == 24, HN_LIMIT_MS));
	cut_entries(&dpl);
	dpl_control(&dpl, "PUT", "key?key=op/evacuate/z1", "{}");
	dpl_send_jobs(&dpl, JOB, EVACUATE_MS / 2);
	for (i = 0; restarts_agents[_i] && i < DPL_AGENTS; i++) {
		hn_kill(dpl.agent[i]);
		hn_restart(dpl.agent[i]);
	}
	dpl_send_jobs(&dpl, JOB, EVACUATE_MS / 2);
	starts = dpl_count(&dpl, "starts");
	dpl_send_jobs(&dpl, JOB, OUT_MS);
	ck_assert_int_eq(dpl_count(&dpl, "evacuated"), 0);
	ck_assert_int_gt(dpl_count(&dpl, "starts"), starts);
	dpl_control(&dpl, "DELETE", "key?key=op/evacuate/z1", NULL);
	restore_entries(&dpl);
	ck_assert(
	    hn_wait_until(dpl_count_running(&dpl, 0, 24) == 24, HN_LIMIT_MS));
	hn_finish();
}
END_TEST

ROWS_MAIN("evacuated", 2 * HN_LIMIT_MS / 1000.0, G_N_ELEMENTS(restarts_agents),
    agents_know_evacuations_that_no_entry_knows)
