#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "entry_node.h"
#include "process/clock.h"
#include "process/log.h"
#include "runner.h"
#include "store_process.h"

#define N_NODES	     4
#define FRESHNESS_MS ENTRY_NODE_FRESHNESS_MS

struct outcome {
	bool done;
	struct status st;
	uint64_t version;
};

static struct store_process *sp;
static struct entry_node nodes[N_NODES];
static guint exchange_timer;

static const char text[] =
    "{\"failure_domains\": [{\"name\": \"d1\", \"entries\": true},"
    "{\"name\": \"d2\", \"entries\": true},"
    "{\"name\": \"d3\", \"entries\": true}],"
    "\"services\": [{\"name\": \"club-desk\"}]}";

static void
node_start(int i, uint64_t incarnation, const char *domain, int port)
{
	entry_node_start(
	    &nodes[i], store_process_url(sp), incarnation, domain, port);
}

static void
node_kill(int i)
{
	entry_node_kill(&nodes[i]);
}

/* Stands for PEER_STATUS: every pair that is not cut off asks each other. */
static gboolean
exchange(gpointer ctx)
{
	int i, j;

	(void)ctx;
	for (i = 0; i < N_NODES; i++) {
		for (j = 0; j < N_NODES; j++) {
			struct quo_answer answer;

			if (i == j || nodes[i].chg == NULL ||
			    nodes[j].chg == NULL || nodes[i].cut ||
			    nodes[j].cut)
				continue;
			answer = chg_self(nodes[j].chg);
			fresh_take(
			    nodes[i].fresh, fresh_config(nodes[j].fresh));
			quo_answer(nodes[i].quo, &answer, clk_now_ms());
			chg_tick(nodes[i].chg);
		}
	}
	return G_SOURCE_CONTINUE;
}

static void
on_done(const struct status *st, uint64_t version, void *ctx)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->st = *st;
	outcome->version = version;
}

static bool
is_done(void *ctx)
{
	return ((struct outcome *)ctx)->done;
}

static struct outcome
apply(int i, uint64_t expected, const char *id)
{
	struct outcome outcome = {0};

	chg_apply(nodes[i].chg, expected, id, text, on_done, &outcome);
	ck_assert(run_until(is_done, &outcome, 8000));
	return outcome;
}

static struct outcome
set_out(int i, const char *name, bool out, const char *id)
{
	struct outcome outcome = {0};

	chg_out(
	    nodes[i].chg, CFG_FAILURE_DOMAIN, name, out, id, on_done, &outcome);
	ck_assert(run_until(is_done, &outcome, 8000));
	return outcome;
}

struct wanted {
	int node;
	uint64_t version;
	enum chg_state state;
};

static bool
has_state(void *ctx)
{
	struct wanted *wanted = ctx;
	struct chg_progress progress;

	chg_progress(nodes[wanted->node].chg, wanted->version, &progress);
	return progress.state >= wanted->state;
}

static bool
reaches(int node, uint64_t version, enum chg_state state, int timeout_ms)
{
	struct wanted wanted = {node, version, state};

	return run_until(has_state, &wanted, timeout_ms);
}

static bool
all_registered(void *ctx)
{
	size_t n;

	mem_list(nodes[0].mem, &n);
	return n == *(size_t *)ctx;
}

static void
setup(void)
{
	size_t n = 3;

	log_open("test", LOG_ERR);
	sp = store_process_start();
	node_start(0, 0x11, "d1", 7001);
	node_start(1, 0x12, "d2", 7002);
	node_start(2, 0x13, "d3", 7003);
	exchange_timer = g_timeout_add(20, exchange, NULL);
	ck_assert(run_until(all_registered, &n, 3000));
}

static void
teardown(void)
{
	int i;

	g_source_remove(exchange_timer);
	for (i = 0; i < N_NODES; i++)
		node_kill(i);
	run_for(20);
	store_process_stop(sp);
}

/* "In force" must come only after acceptance and freshness_ms, everywhere. */
START_TEST(change_comes_into_force)
{
	struct outcome outcome;
	struct chg_progress progress;
	int64_t start_ms;

	setup();
	outcome = apply(0, 0, "c1");
	ck_assert_msg(outcome.st.code == ST_OK, "%s", outcome.st.message);
	ck_assert_uint_eq(outcome.version, 1);
	start_ms = clk_now_ms();
	ck_assert(reaches(0, 1, CHG_ACCEPTED, 2000));
	chg_progress(nodes[0].chg, 2, &progress);
	ck_assert_int_eq(progress.state, CHG_UNSEEN);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 2000));
	ck_assert_int_ge(clk_now_ms() - start_ms, FRESHNESS_MS);
	ck_assert_uint_eq(fresh_version(nodes[1].fresh), 1);
	ck_assert_uint_eq(fresh_version(nodes[2].fresh), 1);
	teardown();
}
END_TEST

/* A text made from an old version must not undo what came between. */
START_TEST(wrong_expected_version)
{
	struct outcome outcome;

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert_int_eq(apply(1, 0, "c2").st.code, ST_CONFLICT);
	ck_assert_int_eq(set_out(1, "d1", true, "c3").st.code, ST_OK);
	ck_assert_int_eq(apply(0, 1, "c4").st.code, ST_CONFLICT);
	outcome = apply(0, 2, "c5");
	ck_assert_int_eq(outcome.st.code, ST_OK);
	ck_assert_uint_eq(outcome.version, 3);
	ck_assert(
	    cfg_is_out(fresh_config(nodes[0].fresh), CFG_FAILURE_DOMAIN, "d1"));
	ck_assert_int_eq(apply(0, 9, "c6").st.code, ST_CONFLICT);
	ck_assert_int_eq(
	    set_out(1, "nowhere", true, "c7").st.code, ST_NOT_FOUND);
	teardown();
}
END_TEST

/* Operators at different entries must not undo each other's marks, and none
 * may be lost to a race. */
START_TEST(concurrent_outs_all_win)
{
	struct outcome outcomes[9] = {0};
	char name[8], id[8];
	int i;

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	for (i = 0; i < 9; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		snprintf(id, sizeof(id), "o%d", i);
		chg_out(nodes[i % 3].chg, CFG_WORKER, name, true, id, on_done,
		    &outcomes[i]);
	}
	for (i = 0; i < 9; i++) {
		ck_assert(run_until(is_done, &outcomes[i], 8000));
		ck_assert_msg(
		    outcomes[i].st.code == ST_OK, "%s", outcomes[i].st.message);
	}
	ck_assert(reaches(0, 10, CHG_ACCEPTED, 2000));
	for (i = 0; i < 9; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		ck_assert(
		    cfg_is_out(fresh_config(nodes[0].fresh), CFG_WORKER, name));
	}
	teardown();
}
END_TEST

/* A change whose reply was lost must be made once and reported as made; the
 * same change id sent again, to any entry, must change nothing. */
START_TEST(lost_reply_is_resolved)
{
	struct outcome outcome;

	setup();
	store_process_control(sp, "drop?writes=1");
	outcome = apply(0, 0, "c1");
	ck_assert_msg(outcome.st.code == ST_OK, "%s", outcome.st.message);
	ck_assert_uint_eq(outcome.version, 1);
	store_process_control(sp, "drop?writes=1");
	ck_assert_uint_eq(set_out(1, "d1", true, "c2").version, 2);
	ck_assert_uint_eq(set_out(2, "d1", false, "c3").version, 3);
	ck_assert_uint_eq(set_out(2, "d1", true, "c2").version, 2);
	ck_assert_uint_eq(apply(2, 0, "c1").version, 1);
	ck_assert_uint_eq(fresh_version(nodes[2].fresh), 3);
	teardown();
}
END_TEST

/* While the store is down a change must be refused, not kept, and entries
 * that reach a majority of the voters must go on while one cut off stops. */
START_TEST(outage)
{
	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 3000));
	store_process_control(sp, "outage?mode=refuse");
	ck_assert_int_eq(set_out(0, "d1", true, "c2").st.code, ST_UNAVAILABLE);
	nodes[2].cut = true;
	run_for(2 * FRESHNESS_MS + 200);
	ck_assert(fresh_is_current(nodes[0].fresh, clk_now_ms()));
	ck_assert(fresh_is_current(nodes[1].fresh, clk_now_ms()));
	ck_assert(!fresh_is_current(nodes[2].fresh, clk_now_ms()));
	nodes[2].cut = false;
	run_for(200);
	ck_assert(fresh_is_current(nodes[2].fresh, clk_now_ms()));
	store_process_control(sp, "outage?mode=off");
	ck_assert_int_eq(set_out(0, "d1", true, "c2").st.code, ST_OK);
	teardown();
}
END_TEST

/* An outage must not interrupt work: the age may never pass the limit. */
START_TEST(outage_starts_without_a_gap)
{
	int i;

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 3000));
	store_process_control(sp, "outage?mode=hang");
	for (i = 0; i < 150; i++) {
		ck_assert_int_lt(fresh_age_ms(nodes[i % 3].fresh, clk_now_ms()),
		    FRESHNESS_MS * 3 / 4);
		run_for(10);
	}
	teardown();
}
END_TEST

static bool
has_voter(void *ctx)
{
	const struct cfg *held = fresh_config(nodes[0].fresh);
	const struct cfg_voter *voters;
	size_t i, n;

	voters = cfg_voters(held, cfg_voter_sets(held) - 1, &n);
	for (i = 0; i < n; i++) {
		if (voters[i].incarnation == *(uint64_t *)ctx)
			return true;
	}
	return false;
}

/* A dead voter must be replaced by an entry of its domain, and changes must
 * come into force before and after. */
START_TEST(voter_is_replaced)
{
	uint64_t incarnation = 0x23, version;

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 3000));
	node_kill(2);
	version = set_out(0, "d1", true, "c2").version;
	ck_assert(reaches(0, version, CHG_IN_FORCE, 3000));
	node_start(3, incarnation, "d3", 7013);
	ck_assert(run_until(has_voter, &incarnation, 10000));
	/* Only a voter changed since, so the text's version still fits. */
	ck_assert_int_eq(apply(0, version, "c3").st.code, ST_OK);
	ck_assert(reaches(0, version + 2, CHG_IN_FORCE, 3000));
	teardown();
}
END_TEST

/* When all entries restart at once on their addresses, changes must come
 * into force again, though the old voters never answer. */
START_TEST(all_entries_restart)
{
	struct outcome outcome;
	uint64_t incarnation = 0x23;

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 3000));
	node_kill(0);
	node_kill(1);
	node_kill(2);
	node_start(0, 0x21, "d1", 7001);
	node_start(1, 0x22, "d2", 7002);
	node_start(2, incarnation, "d3", 7003);
	ck_assert(reaches(0, 1, CHG_PENDING, 3000));
	ck_assert(run_until(has_voter, &incarnation, 10000));
	outcome = set_out(1, "d2", true, "c2");
	ck_assert_int_eq(outcome.st.code, ST_OK);
	ck_assert(reaches(0, outcome.version, CHG_IN_FORCE, 5000));
	teardown();
}
END_TEST

/* Entries that share an address must mark a voter as ended, but not when the
 * address is a placeholder: the voters of running entries would be lost. */
START_TEST(placeholder_address_ends_nobody)
{
	const struct cfg_voter *voters;
	const struct cfg *held;
	size_t i, n;

	setup();
	for (i = 0; i < 3; i++)
		node_kill((int)i);
	node_start(0, 0x31, "d1", 0);
	node_start(1, 0x32, "d2", 0);
	node_start(2, 0x33, "d3", 0);
	run_for(1500);
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	run_for(1500);
	held = fresh_config(nodes[0].fresh);
	voters = cfg_voters(held, cfg_voter_sets(held) - 1, &n);
	ck_assert_uint_eq(n, 3);
	for (i = 0; i < n; i++) {
		ck_assert(!voters[i].ended);
		ck_assert(voters[i].incarnation >= 0x31);
	}
	teardown();
}
END_TEST

/* With a majority of the voters lost for good, a change must stay pending
 * until operators state that they have ended. */
START_TEST(lost_majority_needs_operators)
{
	struct outcome outcome, ended = {0};

	setup();
	ck_assert_int_eq(apply(0, 0, "c1").st.code, ST_OK);
	ck_assert(reaches(0, 1, CHG_IN_FORCE, 3000));
	chg_ended(nodes[0].chg, 0x12, "n1", on_done, &ended);
	ck_assert(run_until(is_done, &ended, 3000));
	ck_assert_int_eq(ended.st.code, ST_CONFLICT);
	node_kill(1);
	node_kill(2);
	outcome = set_out(0, "d2", true, "c2");
	ck_assert_int_eq(outcome.st.code, ST_OK);
	ck_assert(!reaches(0, outcome.version, CHG_ACCEPTED, 2500));
	memset(&ended, 0, sizeof(ended));
	chg_ended(nodes[0].chg, 0x12, "n2", on_done, &ended);
	ck_assert(run_until(is_done, &ended, 3000));
	ck_assert_msg(ended.st.code == ST_OK, "%s", ended.st.message);
	ck_assert(reaches(0, outcome.version, CHG_IN_FORCE, 3000));
	teardown();
}
END_TEST

TEST_MAIN("change", 0, change_comes_into_force, wrong_expected_version,
    concurrent_outs_all_win, lost_reply_is_resolved, outage,
    outage_starts_without_a_gap, voter_is_replaced, all_entries_restart,
    placeholder_address_ends_nobody, lost_majority_needs_operators)
