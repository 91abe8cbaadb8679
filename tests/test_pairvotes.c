#include <check.h>
#include <glib.h>
#include <math.h>

#include "request/pairvotes.h"
#include "runner.h"

#define MAX_ROWS 64

static void
vote(struct pvt *pvt, int voter, const char *queue, double mean,
    double deviation, int64_t now_ms)
{
	g_autofree char *name = g_strdup_printf("agent%d", voter);
	struct itf_row row = {.queue = queue,
	    .other = "other",
	    .weight = 100,
	    .mean = mean,
	    .variance = deviation * deviation};

	pvt_add(pvt, name, &row, now_ms);
}

/* The row of the only pair, and whether it is returned to agents. */
static bool
only_row(struct pvt *pvt, struct itf_row *row)
{
	size_t next = 0;

	return pvt_rows(pvt, &next, row, 1, 0) == 1;
}

static bool
is_found(const struct itf_row *row)
{
	return itf_sigma(row->mean, row->variance) >= ITF_FOUND_SIGMA;
}

/*
 * Guards against an agent whose rows are wrong, however certain it says it is,
 * and against a pair that is not used since one agent does not see it.
 */
START_TEST(one_wrong_agent_is_outvoted)
{
	struct pvt *pvt = pvt_new();
	struct itf_row row;
	int i;

	vote(pvt, 0, "q", 2, 0.001, 0);
	ck_assert(only_row(pvt, &row) && !is_found(&row));
	vote(pvt, 1, "q", 0, 0.1, 0);
	ck_assert(only_row(pvt, &row) && !is_found(&row));
	vote(pvt, 2, "q", 0.05, 0.1, 0);
	ck_assert(only_row(pvt, &row) && !is_found(&row));
	ck_assert_double_lt(row.mean, 0.3);
	vote(pvt, 0, "q", 0, 0.001, 0);
	for (i = 1; i < 5; i++)
		vote(pvt, i, "q", 0.7, 0.1, 0);
	ck_assert(only_row(pvt, &row) && is_found(&row));
	pvt_free(pvt);
}
END_TEST

/* Guards against rows that entry and agents keep alive between them. */
START_TEST(votes_expire)
{
	struct pvt *pvt = pvt_new();
	struct itf_row row;

	vote(pvt, 0, "q", 0, 0.1, 0);
	ck_assert_msg(!only_row(pvt, &row), "a pair without effect");
	vote(pvt, 1, "q", 0.7, 0.1, 0);
	ck_assert(only_row(pvt, &row));
	pvt_expire(pvt, (int64_t)ITF_HALF_LIFE_MS);
	ck_assert_uint_eq(pvt_count(pvt), 1);
	pvt_expire(pvt, 6 * (int64_t)ITF_HALF_LIFE_MS);
	ck_assert_uint_eq(pvt_count(pvt), 0);
	pvt_free(pvt);
}
END_TEST

/* Guards against memory that grows with the names and agents that are sent. */
START_TEST(pairs_and_votes_are_bounded)
{
	struct pvt *pvt = pvt_new();
	struct itf_row rows[MAX_ROWS];
	size_t next = 0, i, n, total = 0;
	bool kept = false;

	for (i = 0; i < (size_t)2 * PVT_VOTES; i++)
		vote(pvt, (int)i, "certain", 0.7, 0.1, (int64_t)i);
	for (i = 0; i < PVT_PAIRS + 50; i++) {
		g_autofree char *queue = g_strdup_printf("q%zu", i);

		vote(pvt, 0, queue, 0.7, 0.2, 0);
	}
	ck_assert_uint_eq(pvt_count(pvt), PVT_PAIRS);
	/* Four messages contain all pairs. */
	while (total < PVT_PAIRS) {
		n = pvt_rows(pvt, &next, rows, MAX_ROWS, 100);
		ck_assert_uint_eq(n, MAX_ROWS);
		for (i = 0; i < n; i++) {
			if (strcmp(rows[i].queue, "certain") != 0)
				continue;
			kept = true;
			ck_assert_uint_eq(
			    rows[i].weight, (size_t)100 * PVT_VOTES);
		}
		total += n;
	}
	ck_assert_msg(kept, "the most certain pair was dropped");
	pvt_free(pvt);
}
END_TEST

TEST_MAIN("pairvotes", 0, one_wrong_agent_is_outvoted, votes_expire,
    pairs_and_votes_are_bounded)
