#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "sim/plan.h"
#include "sim/search.h"
#include "sim/worker.h"

#define TIMEOUT_S 60
/* Seeds within which each mutant is found, with a margin, and the first. */
#define MUTANT_SEEDS	    1200
#define MUTANT_FIRST_SEED   401
#define CLEAN_SEEDS	    150
#define CANCELS_SEEDS	    150
#define CANCELS_DURATION_MS 20000
#define REPLAYED	    20
#define PAUSED_ENTRY_SEED   30007165
/* Fleets with a paused entry, whose faults are fixed. */
#define PAUSED_ENTRIES 300
#define PAUSE_MS       420
#define STOP_MS	       1400
/* Fleets with a silent worker, for each time that it was away. */
#define SILENT_LIVES 200
#define SILENT_MS    1500
#define MIN_AWAY_MS  250
#define AWAY_STEP_MS 40
#define N_AWAY	     5
#define SHRINK_AT_MS 3000
/* Two tasks end unresolved in the same millisecond. */
#define SAME_TIME_SEED	 70
#define N_HEAPS		 32
#define BLOCK_STEP_BYTES 1888
#define SHRUNK_FLEETS	 100
#define N_ENTRIES	 3
#define N_AGENTS	 4

static struct srh_options
search_options(uint64_t n_seeds, enum sop_mutant mutant)
{
	return (struct srh_options){
	    .fleet = {.n_entries = N_ENTRIES,
		.n_agents = N_AGENTS,
		.n_callers = 8,
		.duration_ms = 12000,
		.mutant = mutant},
	    .first_seed = 1,
	    .n_seeds = n_seeds,
	    .max_findings = 1,
	};
}

/* Jobs are cancelled; they and the runs take longer. */
static void
add_cancels(struct sop *fleet)
{
	fleet->cancels = true;
	fleet->duration_ms = CANCELS_DURATION_MS;
}

/* Guards against a search that is blind: each deliberate fault must be found. */
START_TEST(finds_each_mutant)
{
	enum sop_mutant mutant = (enum sop_mutant)_i;
	struct srh_options opts = search_options(MUTANT_SEEDS, mutant);
	struct srh_result result;

	opts.first_seed = MUTANT_FIRST_SEED;
	if (mutant >= SOP_NO_CATCH_UP)
		add_cancels(&opts.fleet);
	result = srh_search(&opts);

	ck_assert_msg(result.n_findings == 1, "mutant %s was not found",
	    sop_mutant_name(mutant));
}
END_TEST

/* Guards against false findings, and against a change that breaks a rule. */
START_TEST(finds_nothing_without_a_mutant)
{
	struct srh_options opts = search_options(CLEAN_SEEDS, SOP_NO_MUTANT);
	struct srh_result result;

	opts.out = stdout;
	result = srh_search(&opts);
	ck_assert_uint_eq(result.n_findings, 0);
	ck_assert_uint_eq(result.n_run, CLEAN_SEEDS);
	/* The fleets do work in spite of their faults. */
	ck_assert_uint_gt(result.n_completed, result.n_jobs / 2);
}
END_TEST

/*
 * Guards against a cancel that an entry misses: on 2ed17ee more than half of the
 * seeds break UNASKED.
 */
START_TEST(no_cancel_is_lost)
{
	struct srh_options opts = search_options(CANCELS_SEEDS, SOP_NO_MUTANT);

	add_cancels(&opts.fleet);
	opts.out = stdout;
	ck_assert_uint_eq(srh_search(&opts).n_findings, 0);
	opts.fleet.elsewhere = true;
	ck_assert_uint_eq(srh_search(&opts).n_findings, 0);
}
END_TEST

/* Plays the faults with some seeds; no rule may break. */
static void
expect_rules_kept(const GArray *faults, uint64_t n_seeds)
{
	struct srh_options opts = search_options(n_seeds, SOP_NO_MUTANT);
	uint64_t seed;

	for (seed = 1; seed <= n_seeds; seed++) {
		struct sck_violation found =
		    sfl_run(seed, &opts.fleet, faults, false).violation;

		ck_assert_msg(found.rule == SCK_KEPT,
		    "seed %d: %s broken by %s", (int)seed,
		    sck_rule_name(found.rule), found.task);
	}
}

static void
add_fault(GArray *faults, struct spl_fault fault)
{
	g_array_append_val(faults, fault);
}

/* The callers of an entry leave during its pause, and stops are slow. */
static void
add_pause(GArray *faults, uint32_t entry, int64_t at_ms)
{
	uint32_t i;

	for (i = 0; i < N_AGENTS; i++)
		add_fault(faults, (struct spl_fault){
				      .kind = SPL_SLOW_STOPS,
				      .at_ms = at_ms - 300,
				      .lasts_ms = 1500,
				      .agent = i,
				      .variant = STOP_MS,
				  });
	add_fault(faults, (struct spl_fault){
			      .kind = SPL_PAUSE_ENTRY,
			      .at_ms = at_ms,
			      .lasts_ms = PAUSE_MS,
			      .entry = entry,
			  });
	add_fault(faults, (struct spl_fault){
			      .kind = SPL_CALLERS_LEAVE,
			      .at_ms = at_ms + 5,
			      .entry = entry,
			  });
}

/*
 * Guards against runs that outlive their caller: an entry noticed only after a
 * pause of 0.4 s that the caller had left, and the stops were slow.
 */
START_TEST(caller_leaves_a_paused_entry)
{
	struct srh_options opts = search_options(1, SOP_NO_MUTANT);
	g_autoptr(GArray) faults =
	    g_array_new(FALSE, FALSE, sizeof(struct spl_fault));
	uint32_t i;

	opts.first_seed = PAUSED_ENTRY_SEED;
	ck_assert_uint_eq(srh_search(&opts).n_findings, 0);
	for (i = 0; i < N_ENTRIES; i++)
		add_pause(faults, i, 2800 + 2500 * (int64_t)i);
	expect_rules_kept(faults, PAUSED_ENTRIES);
}
END_TEST

/*
 * Guards against starts by an old capacity: workers shrink while they are
 * silent, and answer again before their next heartbeat.
 */
START_TEST(old_capacity_starts_nothing)
{
	g_autoptr(GArray) faults =
	    g_array_new(FALSE, FALSE, sizeof(struct spl_fault));
	uint32_t i;

	for (i = 0; i < N_AGENTS; i++)
		add_fault(faults, (struct spl_fault){
				      .kind = SPL_SILENT_WORKER,
				      .at_ms = SHRINK_AT_MS - 200,
				      .lasts_ms = 1900,
				      .agent = i,
				  });
	for (i = 0; i < N_AGENTS; i++)
		add_fault(faults, (struct spl_fault){
				      .kind = SPL_SHRINK_WORKER,
				      .at_ms = SHRINK_AT_MS,
				      .lasts_ms = 2500,
				      .agent = i,
				  });
	expect_rules_kept(faults, SHRUNK_FLEETS);
}
END_TEST

/* A worker crashes, and is back under its id, but silent. */
static void
add_silent_life(GArray *faults, uint32_t agent, int64_t at_ms, int64_t away_ms)
{
	add_fault(faults, (struct spl_fault){
			      .kind = SPL_CRASH_WORKER,
			      .at_ms = at_ms,
			      .lasts_ms = away_ms,
			      .agent = agent,
			      .variant = SWK_SAME_ID,
			  });
	add_fault(faults, (struct spl_fault){
			      .kind = SPL_SILENT_WORKER,
			      .at_ms = at_ms + away_ms - 1,
			      .lasts_ms = SILENT_MS,
			      .agent = agent,
			  });
}

/*
 * Guards against starts that are sent to a crashed worker long after its last
 * answer: its next life carried them out when the tasks ran elsewhere.
 */
START_TEST(no_start_waits_in_a_silent_life)
{
	g_autoptr(GArray) faults =
	    g_array_new(FALSE, FALSE, sizeof(struct spl_fault));
	int64_t away_ms = MIN_AWAY_MS + _i * AWAY_STEP_MS;

	add_silent_life(faults, 0, 3000, away_ms);
	add_silent_life(faults, 1, 5500, away_ms);
	expect_rules_kept(faults, SILENT_LIVES);
}
END_TEST

/* Guards against a seed that can't be replayed. */
START_TEST(replays_a_seed_exactly)
{
	struct srh_options opts = search_options(REPLAYED, SOP_NO_MUTANT);
	struct srh_result first = srh_search(&opts);
	struct srh_result second = srh_search(&opts);

	ck_assert_uint_eq(first.n_events, second.n_events);
	ck_assert_uint_eq(first.n_jobs, second.n_jobs);
	ck_assert_uint_eq(first.n_completed, second.n_completed);
}
END_TEST

/*
 * Guards against decisions in the order of a hash table of pointers: the seed
 * was played in one of two ways, by where the heap lay.
 */
START_TEST(replay_does_not_depend_on_addresses)
{
	struct srh_options opts = search_options(1, SOP_NO_MUTANT);
	g_autoptr(GPtrArray) blocks = g_ptr_array_new_with_free_func(g_free);
	uint64_t n_events = 0;
	int i;

	opts.first_seed = SAME_TIME_SEED;
	for (i = 0; i < N_HEAPS; i++) {
		struct srh_result result = srh_search(&opts);

		if (i == 0)
			n_events = result.n_events;
		ck_assert_uint_eq(result.n_events, n_events);
		g_ptr_array_add(
		    blocks, g_malloc(1 + (gsize)i * BLOCK_STEP_BYTES));
	}
}
END_TEST

/* Guards against a shorter list of faults that no longer breaks the rule. */
START_TEST(leaves_out_needless_faults)
{
	struct srh_options opts = search_options(MUTANT_SEEDS, SOP_LATE_EXPIRY);
	struct srh_result result = srh_search(&opts);
	uint64_t seed = result.first_finding;
	g_autoptr(GArray) all = spl_make(seed, &opts.fleet);
	g_autoptr(GArray) left = srh_shrink(seed, &opts.fleet, SCK_TWICE);
	guint i;

	ck_assert_uint_lt(left->len, all->len);
	ck_assert_int_eq(
	    sfl_run(seed, &opts.fleet, left, false).violation.rule, SCK_TWICE);
	for (i = 0; i < left->len; i++) {
		g_autoptr(GArray) fewer = g_array_copy(left);

		g_array_remove_index(fewer, i);
		ck_assert_int_ne(
		    sfl_run(seed, &opts.fleet, fewer, false).violation.rule,
		    SCK_TWICE);
	}
}
END_TEST

struct bad_command {
	const char *arguments;
	const char *message; /* part of it */
};

static const struct bad_command bad_commands[] = {
    {"", "no command"},
    {"hunt", "command \"hunt\" is not search or replay"},
    {"replay", "replay needs a seed"},
    {"replay x", "seed \"x\" is not a number"},
    {"replay -- -1", "seed \"-1\" is not a number"},
    {"search 5", "unexpected argument \"5\""},
    {"search --seeds 0", "--seeds \"0\" is not a number from 1"},
    {"search --seeds 1x", "--seeds \"1x\" is not a number"},
    {"search --seeds 99999999999999999999", "is not a number"},
    {"search --entries 65", "--entries \"65\" is not a number from 1 to 64"},
    {"search --duration 10", "--duration \"10\" is not a number"},
    {"search --mutant bat", "mutant \"bat\" is not one of: none"},
    {"search --speed 3", "unrecognized option"},
};

/* Guards against a mistyped option that silently searches something else. */
START_TEST(refuses_bad_arguments)
{
	const struct bad_command *bad = &bad_commands[_i];
	const char *build = g_getenv("BUILD_DIR");
	g_autofree char *command = g_strdup_printf("%s/spsim %s 2>&1",
	    build == NULL ? "build" : build, bad->arguments);
	char output[4096] = "";
	FILE *from = popen(command, "r");
	size_t len = fread(output, 1, sizeof(output) - 1, from);

	output[len] = '\0';
	ck_assert_int_ne(pclose(from), 0);
	ck_assert_msg(strstr(output, bad->message) != NULL,
	    "spsim %s: got \"%s\"", bad->arguments, output);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("sim");

	tcase_add_loop_test(
	    tc, finds_each_mutant, SOP_NO_MUTANT + 1, SOP_N_MUTANTS);
	tcase_add_test(tc, finds_nothing_without_a_mutant);
	tcase_add_test(tc, no_cancel_is_lost);
	tcase_add_test(tc, caller_leaves_a_paused_entry);
	tcase_add_loop_test(tc, no_start_waits_in_a_silent_life, 0, N_AWAY);
	tcase_add_test(tc, old_capacity_starts_nothing);
	tcase_add_test(tc, replays_a_seed_exactly);
	tcase_add_test(tc, replay_does_not_depend_on_addresses);
	tcase_add_test(tc, leaves_out_needless_faults);
	tcase_add_loop_test(
	    tc, refuses_bad_arguments, 0, (int)G_N_ELEMENTS(bad_commands));
	return run_tcase("sim", tc, TIMEOUT_S);
}
