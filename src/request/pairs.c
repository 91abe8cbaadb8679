#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/pairs.h"

/*
 * A merged row is used for this time after it was received, and its pair is
 * reported to entries meanwhile.
 */
#define SHARED_MS 15000
/*
 * A row of another entry replaces the present one only if it is more certain or
 * the present one is older than this: entries merge the rows of overlapping sets
 * of agents, so that rows must not be added up.
 */
#define SHARED_FRESH_MS 7000
/* The agent's own estimate is used for this time. */
#define OWN_MS 5000
/* An own estimate that is this many deviations above no effect is reported. */
#define INDICATES_SIGMA 3.0
/* The largest factor that an entry is told. */
#define MAX_PERMILLE 4000.0
#define PERMILLE     1000.0

struct estimate {
	double mean;
	double variance;
	uint32_t weight;
	int64_t measured_ms;
	int64_t received_ms;
	bool known;
};

struct pair {
	char *queue;
	char *other;
	struct estimate own;
	struct estimate shared;
	uint64_t shared_by;
	double mean; /* of both */
	double variance;
	bool found;
};

struct prs {
	struct prs_options opts;
	GPtrArray *pairs; /* struct pair */
	size_t n_found;
};

static void
pair_free(gpointer data)
{
	struct pair *pair = data;

	g_free(pair->queue);
	g_free(pair->other);
	g_free(pair);
}

struct prs *
prs_new(const struct prs_options *opts)
{
	struct prs *prs = g_new0(struct prs, 1);

	prs->opts = *opts;
	prs->pairs = g_ptr_array_new_with_free_func(pair_free);
	return prs;
}

void
prs_free(struct prs *prs)
{
	if (prs == NULL)
		return;
	g_ptr_array_unref(prs->pairs);
	g_free(prs);
}

static double
aged_variance(const struct estimate *e, int64_t now_ms)
{
	double age_ms = (double)MAX(now_ms - e->measured_ms, 0);

	return e->variance * exp2(age_ms / ITF_HALF_LIFE_MS);
}

static void
set_found(struct prs *prs, struct pair *pair, bool found)
{
	struct itf_row row = {.queue = pair->queue,
	    .other = pair->other,
	    .weight = MAX(pair->own.weight, pair->shared.weight),
	    .mean = pair->mean,
	    .variance = pair->variance};

	if (pair->found == found)
		return;
	pair->found = found;
	prs->n_found = found ? prs->n_found + 1 : prs->n_found - 1;
	prs->opts.changed(&row, found, prs->opts.ctx);
}

/* Mean of both estimates, weighted by their certainty. */
static void
combine(struct pair *pair, int64_t now_ms)
{
	double sum = 0, mean = 0;

	if (now_ms - pair->own.received_ms > OWN_MS)
		pair->own.known = false;
	if (now_ms - pair->shared.received_ms > SHARED_MS)
		pair->shared.known = false;
	if (pair->own.known) {
		sum = 1 / pair->own.variance;
		mean = pair->own.mean * sum;
	}
	if (pair->shared.known) {
		double share = 1 / aged_variance(&pair->shared, now_ms);

		sum += share;
		mean += pair->shared.mean * share;
	}
	pair->mean = sum > 0 ? mean / sum : 0;
	pair->variance = sum > 0 ? 1 / sum : INFINITY;
}

static struct pair *
find_pair(const struct prs *prs, const struct itf_row *row)
{
	guint i;

	for (i = 0; i < prs->pairs->len; i++) {
		struct pair *pair = prs->pairs->pdata[i];

		if (strcmp(pair->queue, row->queue) == 0 &&
		    strcmp(pair->other, row->other) == 0)
			return pair;
	}
	return NULL;
}

static void
drop_pair(struct prs *prs, guint i)
{
	set_found(prs, prs->pairs->pdata[i], false);
	g_ptr_array_remove_index_fast(prs->pairs, i);
}

/* Pairs that are not found come first: those that are found are in use. */
static bool
is_dropped_before(const struct pair *a, const struct pair *b)
{
	return a->found == b->found ? a->variance > b->variance : b->found;
}

static void
drop_least_certain(struct prs *prs)
{
	guint i, least = 0;

	for (i = 0; i < prs->pairs->len; i++) {
		const struct pair *pair = prs->pairs->pdata[i];
		const struct pair *worst = prs->pairs->pdata[least];

		if (is_dropped_before(pair, worst))
			least = i;
	}
	drop_pair(prs, least);
}

static struct pair *
get_pair(struct prs *prs, const struct itf_row *row)
{
	struct pair *pair = find_pair(prs, row);

	if (pair != NULL)
		return pair;
	if (prs->pairs->len >= PRS_PAIRS)
		drop_least_certain(prs);
	pair = g_new0(struct pair, 1);
	pair->queue = g_strdup(row->queue);
	pair->other = g_strdup(row->other);
	pair->variance = INFINITY;
	g_ptr_array_add(prs->pairs, pair);
	return pair;
}

static struct estimate
estimate_of(const struct itf_row *row, int64_t now_ms)
{
	return (struct estimate){.mean = row->mean,
	    .variance = fmax(row->variance, 1e-6),
	    .weight = row->weight,
	    .measured_ms = now_ms - row->age_ms,
	    .received_ms = now_ms,
	    .known = true};
}

void
prs_measure(struct prs *prs, const struct itf_row *row, int64_t now_ms)
{
	struct pair *pair = get_pair(prs, row);

	pair->own = estimate_of(row, now_ms);
	combine(pair, now_ms);
}

void
prs_share(
    struct prs *prs, uint64_t from, const struct itf_row *row, int64_t now_ms)
{
	struct pair *pair;

	if (strcmp(row->queue, row->other) == 0)
		return;
	pair = get_pair(prs, row);
	if (pair->shared.known && pair->shared_by != from &&
	    now_ms - pair->shared.received_ms <= SHARED_FRESH_MS &&
	    row->variance >= pair->shared.variance)
		return;
	pair->shared = estimate_of(row, now_ms);
	pair->shared_by = from;
	combine(pair, now_ms);
}

void
prs_refresh(struct prs *prs, int64_t now_ms)
{
	guint i;

	for (i = prs->pairs->len; i-- > 0;) {
		struct pair *pair = prs->pairs->pdata[i];
		double sigma;

		combine(pair, now_ms);
		sigma = itf_sigma(pair->mean, pair->variance);
		if (!pair->own.known && !pair->shared.known)
			drop_pair(prs, i);
		else if (sigma >= ITF_FOUND_SIGMA)
			set_found(prs, pair, true);
		else if (sigma < ITF_FORGOTTEN_SIGMA)
			set_found(prs, pair, false);
	}
}

size_t
prs_count(const struct prs *prs)
{
	return prs->pairs->len;
}

size_t
prs_n_found(const struct prs *prs)
{
	return prs->n_found;
}

static bool
is_reported(const struct pair *pair)
{
	if (!pair->own.known)
		return false;
	return pair->shared.known ||
	       pair->own.mean > INDICATES_SIGMA * sqrt(pair->own.variance);
}

size_t
prs_rows(const struct prs *prs, size_t *next, struct itf_row *rows, size_t max,
    int64_t now_ms)
{
	size_t i, n = 0, n_pairs = prs->pairs->len;

	for (i = 0; i < n_pairs && n < max; i++) {
		const struct pair *pair =
		    prs->pairs->pdata[(*next + i) % n_pairs];

		if (!is_reported(pair))
			continue;
		rows[n++] = (struct itf_row){.queue = pair->queue,
		    .other = pair->other,
		    .weight = pair->own.weight,
		    .mean = pair->own.mean,
		    .variance = pair->own.variance,
		    .age_ms = MAX(now_ms - pair->own.measured_ms, 0)};
	}
	*next = n_pairs == 0 ? 0 : (*next + i) % n_pairs;
	return n;
}

/* Log of the factor that the other queues' active runs have on the queue. */
static double
log_factor(const struct prs *prs, const char *queue)
{
	double sum = 0;
	guint i;

	for (i = 0; i < prs->pairs->len; i++) {
		const struct pair *pair = prs->pairs->pdata[i];

		if (pair->found && strcmp(pair->queue, queue) == 0)
			sum += pair->mean * itf_exposure(prs->opts.active(
						pair->other, prs->opts.ctx));
	}
	return sum;
}

static bool
contains(const char *const *names, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return false;
}

size_t
prs_slowed(const struct prs *prs, struct prs_slowed *slowed, size_t max)
{
	const char *seen[PRS_PAIRS];
	size_t n = 0, n_seen = 0;
	guint i;

	if (prs->n_found == 0)
		return 0;
	for (i = 0; i < prs->pairs->len && n < max; i++) {
		const struct pair *pair = prs->pairs->pdata[i];
		double permille;

		if (!pair->found || contains(seen, n_seen, pair->queue))
			continue;
		seen[n_seen++] = pair->queue;
		permille = PERMILLE * exp(log_factor(prs, pair->queue));
		if (permille <= PERMILLE * ITF_MIN_FACTOR)
			continue;
		slowed[n].queue = pair->queue;
		slowed[n++].permille = (uint32_t)fmin(permille, MAX_PERMILLE);
	}
	return n;
}
