#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "request/pairvotes.h"

/*
 * Variance of a pair's effect between workers.  It also bounds the weight that
 * an agent gets by stating a small variance.
 */
#define BETWEEN_WORKERS 0.0225
/* A vote counts as this far from the median at most. */
#define MAX_FROM_MEDIAN 0.3
/*
 * A single vote, which may be wrong, says so little that no pair is found by
 * it: agents that receive it still report their own estimate.
 */
#define SINGLE_VARIANCE 1.0
/* A vote whose variance has grown beyond this is dropped. */
#define MAX_VARIANCE 0.25
/* A vote indicates an effect if it is this many deviations above none. */
#define INDICATES_SIGMA 3.0

struct vote {
	char *voter;
	double mean;
	double variance;
	uint32_t weight;
	int64_t measured_ms;
};

struct pair {
	char *queue;
	char *other;
	GArray *votes; /* struct vote */
};

struct pvt {
	GPtrArray *pairs; /* struct pair */
};

static void
vote_clear(gpointer data)
{
	struct vote *vote = data;

	g_free(vote->voter);
}

static void
pair_free(gpointer data)
{
	struct pair *pair = data;

	g_free(pair->queue);
	g_free(pair->other);
	g_array_unref(pair->votes);
	g_free(pair);
}

struct pvt *
pvt_new(void)
{
	struct pvt *pvt = g_new0(struct pvt, 1);

	pvt->pairs = g_ptr_array_new_with_free_func(pair_free);
	return pvt;
}

void
pvt_free(struct pvt *pvt)
{
	if (pvt == NULL)
		return;
	g_ptr_array_unref(pvt->pairs);
	g_free(pvt);
}

static struct vote *
vote_at(const struct pair *pair, guint i)
{
	return &g_array_index(pair->votes, struct vote, i);
}

static double
aged_variance(const struct vote *vote, int64_t now_ms)
{
	double age_ms = (double)MAX(now_ms - vote->measured_ms, 0);

	return vote->variance * exp2(age_ms / ITF_HALF_LIFE_MS);
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The lower one of two in the middle: in doubt there is no effect. */
static double
median(const struct pair *pair)
{
	double means[PVT_VOTES];
	guint i, n = pair->votes->len;

	for (i = 0; i < n; i++)
		means[i] = vote_at(pair, i)->mean;
	qsort(means, n, sizeof(means[0]), compare_doubles);
	return means[(n - 1) / 2];
}

static void
merge(const struct pair *pair, int64_t now_ms, struct itf_row *row)
{
	double middle = median(pair), sum = 0, mean = 0;
	guint i;

	*row = (struct itf_row){
	    .queue = pair->queue, .other = pair->other, .age_ms = INT64_MAX};
	for (i = 0; i < pair->votes->len; i++) {
		const struct vote *vote = vote_at(pair, i);
		double share =
		    1 / (aged_variance(vote, now_ms) + BETWEEN_WORKERS);
		double off = vote->mean - middle;

		off = fmax(fmin(off, MAX_FROM_MEDIAN), -MAX_FROM_MEDIAN);
		mean += share * (middle + off);
		sum += share;
		row->weight += MIN(vote->weight, G_MAXUINT32 - row->weight);
		row->age_ms =
		    MIN(row->age_ms, MAX(now_ms - vote->measured_ms, 0));
	}
	row->mean = mean / sum;
	row->variance = 1 / sum;
	if (pair->votes->len == 1)
		row->variance = fmax(row->variance, SINGLE_VARIANCE);
}

static struct pair *
find_pair(const struct pvt *pvt, const struct itf_row *row)
{
	guint i;

	for (i = 0; i < pvt->pairs->len; i++) {
		struct pair *pair = pvt->pairs->pdata[i];

		if (strcmp(pair->queue, row->queue) == 0 &&
		    strcmp(pair->other, row->other) == 0)
			return pair;
	}
	return NULL;
}

static void
drop_least_certain(struct pvt *pvt, int64_t now_ms)
{
	double worst = -1;
	guint i, least = 0;

	for (i = 0; i < pvt->pairs->len; i++) {
		struct itf_row row;

		merge(pvt->pairs->pdata[i], now_ms, &row);
		if (row.variance <= worst)
			continue;
		worst = row.variance;
		least = i;
	}
	g_ptr_array_remove_index_fast(pvt->pairs, least);
}

static struct pair *
add_pair(struct pvt *pvt, const struct itf_row *row, int64_t now_ms)
{
	struct pair *pair = g_new0(struct pair, 1);

	if (pvt->pairs->len >= PVT_PAIRS)
		drop_least_certain(pvt, now_ms);
	pair->queue = g_strdup(row->queue);
	pair->other = g_strdup(row->other);
	pair->votes = g_array_new(FALSE, FALSE, sizeof(struct vote));
	g_array_set_clear_func(pair->votes, vote_clear);
	g_ptr_array_add(pvt->pairs, pair);
	return pair;
}

/* The agent's vote, or else a new one in place of the oldest if there are many. */
static struct vote *
vote_of(struct pair *pair, const char *voter)
{
	struct vote vote = {0};
	guint i, oldest = 0;

	for (i = 0; i < pair->votes->len; i++) {
		if (strcmp(vote_at(pair, i)->voter, voter) == 0)
			return vote_at(pair, i);
		if (vote_at(pair, i)->measured_ms <
		    vote_at(pair, oldest)->measured_ms)
			oldest = i;
	}
	if (pair->votes->len >= PVT_VOTES)
		g_array_remove_index_fast(pair->votes, oldest);
	vote.voter = g_strdup(voter);
	g_array_append_val(pair->votes, vote);
	return vote_at(pair, pair->votes->len - 1);
}

void
pvt_add(struct pvt *pvt, const char *voter, const struct itf_row *row,
    int64_t now_ms)
{
	struct pair *pair = find_pair(pvt, row);
	struct vote *vote;

	if (strcmp(row->queue, row->other) == 0)
		return;
	if (pair == NULL)
		pair = add_pair(pvt, row, now_ms);
	vote = vote_of(pair, voter);
	vote->mean = row->mean;
	vote->variance = row->variance;
	vote->weight = row->weight;
	vote->measured_ms = now_ms - row->age_ms;
}

void
pvt_expire(struct pvt *pvt, int64_t now_ms)
{
	guint i, k;

	for (i = pvt->pairs->len; i-- > 0;) {
		struct pair *pair = pvt->pairs->pdata[i];

		for (k = pair->votes->len; k-- > 0;) {
			if (aged_variance(vote_at(pair, k), now_ms) >
			    MAX_VARIANCE)
				g_array_remove_index_fast(pair->votes, k);
		}
		if (pair->votes->len == 0)
			g_ptr_array_remove_index_fast(pvt->pairs, i);
	}
}

size_t
pvt_count(const struct pvt *pvt)
{
	return pvt->pairs->len;
}

static bool
indicates_effect(const struct pair *pair, int64_t now_ms)
{
	guint i;

	for (i = 0; i < pair->votes->len; i++) {
		const struct vote *vote = vote_at(pair, i);

		if (vote->mean >
		    INDICATES_SIGMA * sqrt(aged_variance(vote, now_ms)))
			return true;
	}
	return false;
}

size_t
pvt_rows(const struct pvt *pvt, size_t *next, struct itf_row *rows, size_t max,
    int64_t now_ms)
{
	size_t i, n = 0, n_pairs = pvt->pairs->len;

	for (i = 0; i < n_pairs && n < max; i++) {
		const struct pair *pair =
		    pvt->pairs->pdata[(*next + i) % n_pairs];

		if (indicates_effect(pair, now_ms))
			merge(pair, now_ms, &rows[n++]);
	}
	*next = n_pairs == 0 ? 0 : (*next + i) % n_pairs;
	return n;
}
