#include <check.h>
#include <glib.h>
#include <math.h>

#include "request/pairs.h"
#include "request/pairvotes.h"
#include "runner.h"

#define N_AGENTS  5
#define MAX_ROWS  64
#define SECOND_MS 1000
#define N_OTHERS  15

/* Agents that exchange rows with one entry, all in one process. */
struct fleet {
	struct prs *agents[N_AGENTS];
	struct pvt *entry;
	int64_t now_ms;
	uint32_t active; /* runs of the other queue */
	int n_found, n_forgotten;
	int n_counts; /* calls of count_active() */
};

static void
on_changed(const struct itf_row *row, bool found, void *ctx)
{
	struct fleet *f = ctx;

	(void)row;
	++*(found ? &f->n_found : &f->n_forgotten);
}

static uint32_t
count_active(const char *queue, void *ctx)
{
	struct fleet *f = ctx;

	f->n_counts++;
	return strcmp(queue, "other") == 0 ? f->active : 0;
}

static struct prs *
agent_new(struct fleet *f)
{
	struct prs_options opts = {
	    .changed = on_changed, .active = count_active, .ctx = f};

	return prs_new(&opts);
}

static void
fleet_open(struct fleet *f)
{
	int i;

	*f = (struct fleet){.entry = pvt_new()};
	for (i = 0; i < N_AGENTS; i++)
		f->agents[i] = agent_new(f);
}

static void
fleet_close(struct fleet *f)
{
	int i;

	for (i = 0; i < N_AGENTS; i++)
		prs_free(f->agents[i]);
	pvt_free(f->entry);
}

static void
measure(struct fleet *f, struct prs *agent, const char *queue, double mean,
    double deviation)
{
	struct itf_row row = {.queue = queue,
	    .other = "other",
	    .weight = 100,
	    .mean = mean,
	    .variance = deviation * deviation};

	prs_measure(agent, &row, f->now_ms);
}

/* A second of messages: from the agents to the entry, then back to the agents. */
static void
exchange(struct fleet *f)
{
	struct itf_row rows[MAX_ROWS];
	size_t i, next, n, k;

	f->now_ms += SECOND_MS;
	for (i = 0; i < N_AGENTS; i++) {
		g_autofree char *name = g_strdup_printf("agent%zu", i);

		next = 0;
		n = prs_rows(f->agents[i], &next, rows, MAX_ROWS, f->now_ms);
		for (k = 0; k < n; k++)
			pvt_add(f->entry, name, &rows[k], f->now_ms);
	}
	pvt_expire(f->entry, f->now_ms);
	next = 0;
	n = pvt_rows(f->entry, &next, rows, MAX_ROWS, f->now_ms);
	for (i = 0; i < N_AGENTS; i++) {
		for (k = 0; k < n; k++)
			prs_share(f->agents[i], 1, &rows[k], f->now_ms);
		prs_refresh(f->agents[i], f->now_ms);
	}
}

/* Guards against learning that begins anew with each process. */
START_TEST(restarted_processes_relearn)
{
	struct fleet f;
	int i;

	fleet_open(&f);
	for (i = 1; i < N_AGENTS; i++)
		measure(&f, f.agents[i], "queue", 0.7, 0.1);
	exchange(&f);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	prs_free(f.agents[0]);
	f.agents[0] = agent_new(&f);
	exchange(&f);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	pvt_free(f.entry);
	f.entry = pvt_new();
	prs_free(f.agents[0]);
	f.agents[0] = agent_new(&f);
	exchange(&f);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	fleet_close(&f);
}
END_TEST

/* Guards against one agent that makes all others separate two queues. */
START_TEST(wrong_rows_are_outvoted)
{
	struct fleet f;
	int i, k;

	fleet_open(&f);
	for (k = 0; k < 5; k++) {
		measure(&f, f.agents[0], "queue", 2, 0.01);
		/* The last one has not seen the two together. */
		for (i = 1; i < N_AGENTS - 1; i++)
			measure(&f, f.agents[i], "queue", 0, 0.15);
		exchange(&f);
		for (i = 1; i < N_AGENTS; i++)
			ck_assert_uint_eq(prs_n_found(f.agents[i]), 0);
	}
	fleet_close(&f);
}
END_TEST

/* Guards against factors of queues that do not run, or that no longer run together. */
START_TEST(slowed_while_the_other_runs)
{
	struct prs_slowed slowed[2];
	struct fleet f;

	fleet_open(&f);
	f.active = 1;
	measure(&f, f.agents[0], "queue", log(2), 0.1);
	ck_assert_uint_eq(prs_slowed(f.agents[0], slowed, 2), 0);
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_slowed(f.agents[0], slowed, 2), 1);
	ck_assert_str_eq(slowed[0].queue, "queue");
	ck_assert_uint_eq(slowed[0].permille, 2000);
	f.active = 0;
	ck_assert_uint_eq(prs_slowed(f.agents[0], slowed, 2), 0);
	/* A weaker effect is kept until it is close to none. */
	measure(&f, f.agents[0], "queue", 0.3, 0.1);
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	measure(&f, f.agents[0], "queue", 0.1, 0.1);
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 0);
	ck_assert_int_eq(f.n_found, 1);
	ck_assert_int_eq(f.n_forgotten, 1);
	/* Without a new estimate the pair itself is dropped. */
	prs_refresh(f.agents[0], (int64_t)20 * SECOND_MS);
	ck_assert_uint_eq(prs_count(f.agents[0]), 0);
	fleet_close(&f);
}
END_TEST

/* Guards against memory that grows with the names that entries send. */
START_TEST(pairs_are_bounded)
{
	struct fleet f;
	int i;

	fleet_open(&f);
	measure(&f, f.agents[0], "certain", 0.7, 0.1);
	for (i = 0; i < PRS_PAIRS + 50; i++) {
		g_autofree char *queue = g_strdup_printf("q%d", i);

		measure(&f, f.agents[0], queue, 0.7, 0.3);
	}
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_count(f.agents[0]), PRS_PAIRS);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	fleet_close(&f);
}
END_TEST

/*
 * Guards against a pair that is found and forgotten every second while there are
 * more pairs than are held: the agent measures up to 240 itself.
 */
START_TEST(found_pairs_are_dropped_last)
{
	struct fleet f;
	int i;

	fleet_open(&f);
	measure(&f, f.agents[0], "found", 1.2, 0.3);
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	for (i = 0; i < PRS_PAIRS + 50; i++) {
		g_autofree char *queue = g_strdup_printf("q%d", i);

		measure(&f, f.agents[0], queue, 0, 0.2);
	}
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_count(f.agents[0]), PRS_PAIRS);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), 1);
	ck_assert_int_eq(f.n_forgotten, 0);
	fleet_close(&f);
}
END_TEST

/*
 * Guards against work for each update that grows with the square of the number
 * of queues that slow one queue.
 */
START_TEST(each_found_pair_is_looked_at_once)
{
	struct prs_slowed slowed[2];
	struct fleet f;
	int i;

	fleet_open(&f);
	for (i = 0; i < N_OTHERS; i++) {
		g_autofree char *other = g_strdup_printf("o%d", i);
		struct itf_row row = {.queue = "queue",
		    .other = other,
		    .weight = 100,
		    .mean = 0.7,
		    .variance = 0.01};

		prs_measure(f.agents[0], &row, 0);
	}
	prs_refresh(f.agents[0], 0);
	ck_assert_uint_eq(prs_n_found(f.agents[0]), N_OTHERS);
	ck_assert_uint_eq(prs_slowed(f.agents[0], slowed, 2), 0);
	ck_assert_int_eq(f.n_counts, N_OTHERS);
	fleet_close(&f);
}
END_TEST

TEST_MAIN("pairs", 0, restarted_processes_relearn, wrong_rows_are_outvoted,
    slowed_while_the_other_runs, pairs_are_bounded,
    found_pairs_are_dropped_last, each_found_pair_is_looked_at_once)
