#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/subset.h"
#include "runner.h"

#define SIZE UINT64_C(64)
/* The fleet of 300 entries and 3,000 agents takes seconds. */
#define LIMIT_S 60

/* Agents of a modelled fleet, spread evenly over its failure domains. */
struct fleet {
	uint32_t n_entries, n_agents, n_domains;
	GHashTable *out;	 /* failure domains out of service */
	GHashTable *unreachable; /* addresses */
	GPtrArray *entries;	 /* struct sub */
};

static const char *
domain_of(const struct fleet *fleet, uint32_t i)
{
	static char name[16];

	g_snprintf(name, sizeof(name), "z%u", i % fleet->n_domains);
	return name;
}

static const char *
address_of(uint32_t agent)
{
	static char address[32];

	g_snprintf(address, sizeof(address), "10.%u.%u.%u:7100", agent % 5,
	    agent / 250, agent % 250);
	return address;
}

static uint32_t
agent_of(const char *address)
{
	unsigned high, low;

	ck_assert_int_eq(sscanf(address, "10.%*u.%u.%u:7100", &high, &low), 2);
	return high * 250 + low;
}

static enum sub_state
state(const char *address, const char *failure_domain, void *ctx)
{
	const struct fleet *fleet = ctx;

	if (g_hash_table_contains(fleet->out, failure_domain))
		return SUB_UNUSABLE;
	return g_hash_table_contains(fleet->unreachable, address)
		   ? SUB_CONNECTED
		   : SUB_USABLE;
}

/* Every third worker is of kind b, eight to a rack. */
static void
put(const struct fleet *fleet, struct sub *sub, uint32_t agent)
{
	g_autofree char *rack = g_strdup_printf("rack%u", agent / 8);
	const char *labels[] = {agent % 3 == 2 ? "b" : "a", rack};
	struct sub_agent a = {
	    .address = address_of(agent),
	    .service = "desk",
	    .failure_domain = domain_of(fleet, agent),
	    .labels = labels,
	    .n_labels = 2,
	};

	sub_put(sub, &a);
}

static struct fleet *
fleet_new(uint32_t n_entries, uint32_t n_agents, uint32_t n_domains)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	uint32_t i, agent;

	fleet->n_entries = n_entries;
	fleet->n_agents = n_agents;
	fleet->n_domains = n_domains;
	fleet->out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->unreachable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)sub_free);
	for (i = 0; i < n_entries; i++) {
		g_autofree char *name = g_strdup_printf("entry-%u", i);
		struct sub_options opts = {
		    .entry = name,
		    .failure_domain = domain_of(fleet, i),
		    .size = SIZE,
		    .state = state,
		    .ctx = fleet,
		};
		struct sub *sub = sub_new(&opts);

		for (agent = 0; agent < n_agents; agent++)
			put(fleet, sub, agent);
		g_ptr_array_add(fleet->entries, sub);
	}
	return fleet;
}

static void
fleet_free(struct fleet *fleet)
{
	g_hash_table_unref(fleet->out);
	g_hash_table_unref(fleet->unreachable);
	g_ptr_array_unref(fleet->entries);
	g_free(fleet);
}

/* Counts one for each agent that each entry chooses. */
static uint32_t *
count_sessions(const struct fleet *fleet)
{
	uint32_t *sessions = g_new0(uint32_t, fleet->n_agents);
	GHashTableIter iter;
	gpointer address;
	uint32_t i;

	for (i = 0; i < fleet->n_entries; i++) {
		GHashTable *chosen = sub_choose(fleet->entries->pdata[i], 1000);

		g_hash_table_iter_init(&iter, chosen);
		while (g_hash_table_iter_next(&iter, &address, NULL))
			sessions[agent_of(address)]++;
		g_hash_table_unref(chosen);
	}
	return sessions;
}

/*
 * The load that the agents of a failure domain get when the entries have equal
 * loads, each spread evenly over its agents; as a multiple of the mean.
 */
static double
busiest_domain(const struct fleet *fleet)
{
	double *load = g_new0(double, fleet->n_domains);
	double most = 0;
	GHashTableIter iter;
	gpointer address;
	uint32_t i;

	for (i = 0; i < fleet->n_entries; i++) {
		GHashTable *chosen = sub_choose(fleet->entries->pdata[i], 1000);

		g_hash_table_iter_init(&iter, chosen);
		while (g_hash_table_iter_next(&iter, &address, NULL))
			load[agent_of(address) % fleet->n_domains] +=
			    1.0 / g_hash_table_size(chosen);
		g_hash_table_unref(chosen);
	}
	for (i = 0; i < fleet->n_domains; i++)
		most = MAX(most, load[i]);
	g_free(load);
	return most * fleet->n_domains / fleet->n_entries;
}

/* With few agents an entry must reach all of them, as before. */
START_TEST(small_fleet_is_chosen_whole)
{
	struct fleet *fleet = fleet_new(1, 60, 3);
	GHashTable *chosen = sub_choose(fleet->entries->pdata[0], 1000);

	ck_assert_uint_eq(g_hash_table_size(chosen), 60);
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/* Lets the entries adapt, as they do once a second; returns the sessions. */
static uint32_t *
settle(const struct fleet *fleet, double *mean)
{
	uint32_t *sessions = NULL;
	uint32_t i, agent, round;

	for (round = 0; round < 5; round++) {
		g_free(sessions);
		sessions = count_sessions(fleet);
		*mean = 0;
		for (agent = 0; agent < fleet->n_agents; agent++)
			*mean += (double)sessions[agent] / fleet->n_agents;
		for (i = 0; i < fleet->n_entries; i++)
			sub_adapt(fleet->entries->pdata[i], *mean);
	}
	return sessions;
}

/*
 * The connections of an agent and of an entry must not grow with the fleet,
 * every agent must be chosen by some entries, and no failure domain may get 1.3
 * times its share.
 */
START_TEST(large_fleet_is_shared_evenly)
{
	static const struct {
		uint32_t n_entries, n_agents;
	} sizes[] = {{55, 240}, {300, 3000}};
	struct fleet *fleet =
	    fleet_new(sizes[_i].n_entries, sizes[_i].n_agents, 5);
	double mean, busiest;
	g_autofree uint32_t *sessions = settle(fleet, &mean);
	uint32_t agent, fewest = UINT32_MAX;

	for (agent = 0; agent < fleet->n_agents; agent++)
		fewest = MIN(fewest, sessions[agent]);
	ck_assert_msg(mean >= 12 && mean <= 24, "sessions: %.1f", mean);
	ck_assert_uint_ge(fewest, 1);
	busiest = busiest_domain(fleet);
	ck_assert_msg(busiest < 1.3, "busiest domain: %.2f", busiest);
	fleet_free(fleet);
}
END_TEST

/* New empty workers: a quarter more agents may move a quarter of the choice. */
START_TEST(joins_move_few_choices)
{
	struct fleet *fleet = fleet_new(1, 240, 5);
	struct sub *sub = fleet->entries->pdata[0];
	GHashTable *chosen = sub_choose(sub, 1000);
	g_autofree bool *before = g_new0(bool, 240);
	uint32_t agent, kept = 0, fresh = 0;

	for (agent = 0; agent < 240; agent++)
		before[agent] =
		    g_hash_table_contains(chosen, address_of(agent));
	g_hash_table_unref(chosen);
	for (agent = 240; agent < 300; agent++)
		put(fleet, sub, agent);
	chosen = sub_choose(sub, 1000);
	for (agent = 0; agent < 300; agent++) {
		if (!g_hash_table_contains(chosen, address_of(agent)))
			continue;
		if (agent >= 240)
			fresh++;
		else
			kept += before[agent];
	}
	ck_assert_uint_ge(fresh, 1);
	ck_assert_uint_ge(kept, SIZE * 6 / 10);
	ck_assert_uint_eq(kept + fresh, g_hash_table_size(chosen));
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/* A domain that is out must be replaced by agents of the others. */
START_TEST(lost_domain_is_replaced)
{
	struct fleet *fleet = fleet_new(1, 240, 5);
	GHashTable *chosen;
	uint32_t agent;

	g_hash_table_add(fleet->out, g_strdup("z0"));
	chosen = sub_choose(fleet->entries->pdata[0], 1000);
	ck_assert_uint_ge(g_hash_table_size(chosen), SIZE);
	for (agent = 0; agent < 240; agent += 5)
		ck_assert(!g_hash_table_contains(chosen, address_of(agent)));
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/*
 * Agents that don't answer keep their connection attempts, and others are
 * chosen in their place.
 */
START_TEST(unreachable_agents_are_replaced)
{
	struct fleet *fleet = fleet_new(1, 240, 5);
	struct sub *sub = fleet->entries->pdata[0];
	GHashTable *chosen = sub_choose(sub, 1000);
	uint32_t n_before = g_hash_table_size(chosen);
	uint32_t agent, n_usable = 0;

	for (agent = 0; agent < 240; agent += 2)
		g_hash_table_add(
		    fleet->unreachable, g_strdup(address_of(agent)));
	g_hash_table_unref(chosen);
	chosen = sub_choose(sub, 1000);
	for (agent = 1; agent < 240; agent += 2)
		n_usable += g_hash_table_contains(chosen, address_of(agent));
	ck_assert_uint_ge(n_usable, n_before);
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/* After the loss of all agents an entry must not connect to the whole fleet. */
START_TEST(lost_fleet_is_not_tried_whole)
{
	struct fleet *fleet = fleet_new(1, 3000, 5);
	GHashTable *chosen;
	uint32_t agent;

	for (agent = 0; agent < 3000; agent++)
		g_hash_table_add(
		    fleet->unreachable, g_strdup(address_of(agent)));
	chosen = sub_choose(fleet->entries->pdata[0], 1000);
	ck_assert_uint_ge(g_hash_table_size(chosen), SIZE);
	ck_assert_uint_le(g_hash_table_size(chosen), 5 * SIZE);
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/* One rack wanted by all: every entry must reach workers of that rack. */
START_TEST(wanted_rack_is_reached)
{
	struct fleet *fleet = fleet_new(20, 240, 5);
	uint32_t i, agent, n;

	for (i = 0; i < 20; i++) {
		struct sub *sub = fleet->entries->pdata[i];
		GHashTable *chosen;

		ck_assert(sub_want_label(sub, "desk", "rack7", 1000));
		ck_assert(!sub_want_label(sub, "desk", "rack99", 1000));
		chosen = sub_choose(sub, 1000);
		for (agent = 56, n = 0; agent < 64; agent++)
			n += g_hash_table_contains(chosen, address_of(agent));
		ck_assert_uint_eq(n, 8);
		g_hash_table_unref(chosen);
		chosen = sub_choose(sub, 60000);
		ck_assert_uint_le(g_hash_table_size(chosen), SIZE + 2);
		g_hash_table_unref(chosen);
	}
	fleet_free(fleet);
}
END_TEST

/* Three entries before 300 agents must reach all of them between them. */
START_TEST(few_entries_choose_more)
{
	struct fleet *fleet = fleet_new(3, 300, 3);
	struct sub *sub = fleet->entries->pdata[0];
	GHashTable *chosen;
	int i;

	for (i = 0; i < 20; i++)
		sub_adapt(sub, 1.0);
	chosen = sub_choose(sub, 1000);
	ck_assert_uint_eq(g_hash_table_size(chosen), 300);
	g_hash_table_unref(chosen);
	for (i = 0; i < 20; i++)
		sub_adapt(sub, 30.0);
	chosen = sub_choose(sub, 1000);
	ck_assert_uint_le(g_hash_table_size(chosen), SIZE + 2);
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

/* An agent whose key is gone must not be used again. */
START_TEST(removed_agent_is_not_chosen)
{
	struct fleet *fleet = fleet_new(1, 10, 1);
	struct sub *sub = fleet->entries->pdata[0];
	GHashTable *chosen;

	sub_remove(sub, address_of(3));
	chosen = sub_choose(sub, 1000);
	ck_assert_uint_eq(g_hash_table_size(chosen), 9);
	ck_assert(!g_hash_table_contains(chosen, address_of(3)));
	g_hash_table_unref(chosen);
	fleet_free(fleet);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("subset");

	tcase_add_test(tc, small_fleet_is_chosen_whole);
	tcase_add_loop_test(tc, large_fleet_is_shared_evenly, 0, 2);
	tcase_add_test(tc, joins_move_few_choices);
	tcase_add_test(tc, lost_domain_is_replaced);
	tcase_add_test(tc, unreachable_agents_are_replaced);
	tcase_add_test(tc, lost_fleet_is_not_tried_whole);
	tcase_add_test(tc, wanted_rack_is_reached);
	tcase_add_test(tc, few_entries_choose_more);
	tcase_add_test(tc, removed_agent_is_not_chosen);
	return run_tcase("subset", tc, LIMIT_S);
}
