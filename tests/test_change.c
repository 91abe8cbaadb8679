#include <glib.h>
#include <string.h>

#include "entry_node.h"
#include "harness.h"
#include "process/clock.h"
#include "process/log.h"
#include "runner.h"
#include "store_process.h"

/* The commands are listed in tests/cases/change.txt. */

#define N_NODES	     4
#define FRESHNESS_MS ENTRY_NODE_FRESHNESS_MS

struct outcome {
	bool done;
	struct status st;
	uint64_t version;
};

static const char *store_url;
static struct entry_node nodes[N_NODES];
static guint exchange_timer;
/* version of the last change, and the one saved by "keep" */
static uint64_t last_version, kept_version;
static int64_t marked_ms;

static const char text[] =
    "{\"failure_domains\": [{\"name\": \"d1\", \"entries\": true},"
    "{\"name\": \"d2\", \"entries\": true},"
    "{\"name\": \"d3\", \"entries\": true}],"
    "\"services\": [{\"name\": \"club-desk\"}]}";

/*
 * Replaces the PEER_STATUS calls: each entry gets the answers of all others,
 * unless one of the two is cut off from its peers.
 */
static gboolean
exchange_statuses(gpointer ctx)
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
			answer = chg_own_answer(nodes[j].chg);
			fresh_update(
			    nodes[i].fresh, fresh_config(nodes[j].fresh));
			quo_answer(nodes[i].quo, &answer, clk_now_ms());
			chg_evaluate(nodes[i].chg);
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

static struct outcome
await_outcome(struct outcome *outcome)
{
	ck_assert(hn_wait_until(outcome->done, 8000));
	last_version = outcome->version;
	return *outcome;
}

static void
append_status(struct outcome outcome, GString *actual)
{
	g_string_append(actual, st_name(outcome.st.code));
}

static uint64_t
parse_number(const char *word)
{
	if (strcmp(word, "made") == 0)
		return last_version;
	if (strcmp(word, "kept+2") == 0)
		return kept_version + 2;
	return strcmp(word, "kept") == 0 ? kept_version
					 : strtoull(word, NULL, 0);
}

static enum chg_state
state_of(int node, uint64_t version)
{
	struct chg_progress progress;

	chg_progress(nodes[node].chg, version, &progress);
	return progress.state;
}

static bool
has_voter(uint64_t incarnation, bool *ended, size_t *n)
{
	const struct cfg *held = fresh_config(nodes[0].fresh);
	const struct cfg_voter *voters;
	size_t i;

	voters = cfg_voters(held, cfg_voter_sets(held) - 1, n);
	for (i = 0; i < *n && voters[i].incarnation != incarnation; i++)
		continue;
	*ended = i < *n && voters[i].ended;
	return i < *n;
}

static void
await_state(char **words, GString *actual)
{
	enum chg_state state = CHG_UNSEEN;
	int node = atoi(words[1]);
	uint64_t version = parse_number(words[2]);

	while (strcmp(chg_state_name(state), words[3]) != 0)
		state++;
	g_string_append(actual,
	    hn_wait_until(state_of(node, version) >= state, atoi(words[4]))
		? "yes"
		: "no");
}

static void
await_voter(char **words, GString *actual)
{
	bool ended;
	size_t n;

	if (!hn_wait_until(
		has_voter(parse_number(words[1]), &ended, &n), atoi(words[2])))
		g_string_append(actual, "no");
	else
		g_string_append_printf(
		    actual, "%sof %zu", ended ? "ended " : "", n);
}

static void *
start(void)
{
	size_t n = 0;
	int i;

	log_open("test", LOG_ERR);
	store_url = store_process_start();
	for (i = 0; i < 3; i++)
		entry_node_start(&nodes[i], store_url, 0x11 + i,
		    hn_str("d%d", i + 1), 7001 + i);
	exchange_timer = g_timeout_add(20, exchange_statuses, NULL);
	ck_assert(hn_wait_until((mem_list(nodes[0].mem, &n), n == 3), 3000));
	return nodes;
}

static void
end(void *ctx)
{
	int i;

	(void)ctx;
	g_source_remove(exchange_timer);
	for (i = 0; i < N_NODES; i++)
		entry_node_kill(&nodes[i]);
	hn_sleep(20);
	hn_finish();
}

/*
 * Runs a command that changes the configuration at one entry; returns false if
 * it is another command.
 */
static bool
run_change_command(char **words, GString *actual)
{
	struct chg *chg = words[1] != NULL && g_ascii_isdigit(*words[1])
			      ? nodes[atoi(words[1]) % N_NODES].chg
			      : NULL;
	struct outcome outcome = {0};

	if (strcmp(words[0], "apply") == 0)
		chg_apply(chg, parse_number(words[2]), words[3], text, on_done,
		    &outcome);
	else if (strcmp(words[0], "out") == 0 || strcmp(words[0], "in") == 0)
		chg_set_out(chg, CFG_FAILURE_DOMAIN, words[2],
		    strcmp(words[0], "out") == 0, words[3], on_done, &outcome);
	else if (strcmp(words[0], "ended") == 0)
		chg_mark_ended(
		    chg, parse_number(words[2]), words[3], on_done, &outcome);
	else
		return false;
	append_status(await_outcome(&outcome), actual);
	return true;
}

/*
 * Runs a command that queries the state of an entry; returns false if it is
 * another command.
 */
static bool
run_query_command(char **words, GString *actual)
{
	struct entry_node *node =
	    &nodes[words[1] == NULL ? 0 : atoi(words[1]) % N_NODES];
	int64_t now_ms = clk_now_ms();

	if (strcmp(words[0], "state") == 0)
		g_string_append(actual,
		    chg_state_name(
			state_of((int)(node - nodes), parse_number(words[2]))));
	else if (strcmp(words[0], "holds") == 0)
		g_string_append_printf(
		    actual, "%d", (int)fresh_version(node->fresh));
	else if (strcmp(words[0], "current") == 0)
		g_string_append(actual,
		    fresh_is_current(node->fresh, now_ms) ? "yes" : "no");
	else if (strcmp(words[0], "is_out") == 0)
		g_string_append(actual, cfg_is_out(fresh_config(node->fresh),
					    CFG_FAILURE_DOMAIN, words[2])
					    ? "yes"
					    : "no");
	else
		return false;
	return true;
}

static void
step(void *ctx, char **words, GString *actual)
{
	(void)ctx;
	if (run_change_command(words, actual) ||
	    run_query_command(words, actual))
		return;
	if (strcmp(words[0], "made") == 0)
		g_string_append_printf(actual, "%d", (int)last_version);
	else if (strcmp(words[0], "keep") == 0)
		kept_version = last_version;
	else if (strcmp(words[0], "reach") == 0)
		await_state(words, actual);
	else if (strcmp(words[0], "voter") == 0)
		await_voter(words, actual);
	else if (strcmp(words[0], "kill") == 0)
		entry_node_kill(&nodes[atoi(words[1])]);
	else if (strcmp(words[0], "start") == 0)
		entry_node_start(&nodes[atoi(words[1])], store_url,
		    parse_number(words[2]), g_intern_string(words[3]),
		    atoi(words[4]));
	else if (strcmp(words[0], "cut") == 0)
		nodes[atoi(words[1])].cut = true;
	else if (strcmp(words[0], "join") == 0)
		nodes[atoi(words[1])].cut = false;
	else if (strcmp(words[0], "store") == 0)
		store_process_control(words[1]);
	else if (strcmp(words[0], "sleep") == 0)
		hn_sleep(atoi(words[1]));
	else if (strcmp(words[0], "mark") == 0)
		marked_ms = clk_now_ms();
	else if (strcmp(words[0], "elapsed") == 0)
		ck_assert_int_ge(clk_now_ms() - marked_ms, atoi(words[1]));
	else
		ck_abort_msg("command %s", words[0]);
}

/*
 * Guards against concurrent changes at different entries that overwrite each
 * other, or that fail because their writes conflict.
 */
START_TEST(concurrent_changes_all_succeed)
{
	struct outcome outcomes[9] = {0}, first = {0};
	int i;

	start();
	chg_apply(nodes[0].chg, 0, "c1", text, on_done, &first);
	ck_assert_int_eq(await_outcome(&first).st.code, ST_OK);
	for (i = 0; i < 9; i++)
		chg_set_out(nodes[i % 3].chg, CFG_WORKER, hn_str("w%d", i),
		    true, hn_str("o%d", i), on_done, &outcomes[i]);
	for (i = 0; i < 9; i++)
		ck_assert_msg(await_outcome(&outcomes[i]).st.code == ST_OK,
		    "%s", outcomes[i].st.message);
	ck_assert(hn_wait_until(state_of(0, 10) >= CHG_ACCEPTED, 2000));
	for (i = 0; i < 9; i++)
		ck_assert(cfg_is_out(fresh_config(nodes[0].fresh), CFG_WORKER,
		    hn_str("w%d", i)));
	end(NULL);
}
END_TEST

/*
 * Guards against a gap at the start of a store outage: the age of the
 * configuration must stay below the limit until peers' answers confirm it.
 */
START_TEST(outage_start_leaves_no_confirmation_gap)
{
	struct outcome outcome = {0};
	int i;

	start();
	chg_apply(nodes[0].chg, 0, "c1", text, on_done, &outcome);
	ck_assert_int_eq(await_outcome(&outcome).st.code, ST_OK);
	ck_assert(hn_wait_until(state_of(0, 1) >= CHG_IN_FORCE, 3000));
	store_process_control("outage?mode=hang");
	for (i = 0; i < 150; i++) {
		ck_assert_int_lt(fresh_age_ms(nodes[i % 3].fresh, clk_now_ms()),
		    FRESHNESS_MS * 3 / 4);
		hn_sleep(10);
	}
	end(NULL);
}
END_TEST

REPLAY_MAIN("change", 0, start, end, step, concurrent_changes_all_succeed,
    outage_start_leaves_no_confirmation_gap)
