#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/crashlog.h"
#include "request/work.h"

/* More crashes of one worker are not kept; the oldest are forgotten first. */
#define MAX_CRASHES 32
/* Suspects of a crash that are kept, those that rank first. */
#define MAX_SUSPECTS 512
/* A queue's mean below this says the same as none. */
#define NEGLIGIBLE_MEAN 0.001
/* Weight of a new sample in the mean of a queue's weights. */
#define SAMPLE_WEIGHT 0.02
/* Weight, beside the samples, of what the crash itself shows as usual. */
#define PRIOR_WEIGHT 0.2
/* Lower bound of a mean, for queues that were hardly ever active. */
#define MIN_MEAN 0.1
/*
 * Starts within this time of each other are equally close to a crash.  An agent
 * sends what it gets at one moment in any order, and a worker crashes some
 * milliseconds after the start that causes it.
 */
#define SAME_MOMENT_MS 10

struct crl {
	GPtrArray *crashes; /* struct crl_crash, in order of their records */
	uint64_t last_id;
	GHashTable *means; /* queue to double: mean of its jobs' weights */
};

static void
crash_free(gpointer data)
{
	struct crl_crash *crash = data;
	size_t i;

	for (i = 0; i < crash->n_suspects; i++) {
		g_free(crash->suspects[i].task);
		g_free(crash->suspects[i].queue);
	}
	g_free(crash->suspects);
	g_free(crash);
}

struct crl *
crl_new(uint64_t first_id)
{
	struct crl *crl = g_new0(struct crl, 1);

	crl->last_id = first_id;
	crl->means =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	crl->crashes = g_ptr_array_new_with_free_func(crash_free);
	return crl;
}

/* NULL is allowed. */
void
crl_free(struct crl *crl)
{
	if (crl == NULL)
		return;
	g_ptr_array_unref(crl->crashes);
	g_hash_table_unref(crl->means);
	g_free(crl);
}

/* A run, how far its job's closest start is from the crash, and its weight. */
struct ranked {
	const struct crl_run *run;
	int64_t distance_ms;
	bool first_of_job;
	double weight; /* of its job; those of all jobs add up to 1 */
};

static int
compare_ranked(const void *left, const void *right)
{
	const struct ranked *a = left, *b = right;

	if (a->distance_ms != b->distance_ms)
		return a->distance_ms < b->distance_ms ? -1 : 1;
	return strcmp(a->run->task, b->run->task);
}

static int64_t
distance_ms(const struct crl_run *run, int64_t heard_ms)
{
	return llabs((long long)(run->sent_ms - heard_ms));
}

/*
 * Halves the weight from each moment of starts to the one next to it, whatever
 * the number of jobs that were started at that moment.
 */
static void
weigh(struct ranked *ranked, size_t n)
{
	int64_t moment_ms = 0;
	double weight = 1, sum = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (i == 0 ||
		    ranked[i].distance_ms - moment_ms >= SAME_MOMENT_MS) {
			moment_ms = ranked[i].distance_ms;
			weight /= 2;
		}
		ranked[i].weight = weight;
		ranked[i].first_of_job =
		    i == 0 ||
		    !wk_same_job(ranked[i].run->task, ranked[i - 1].run->task);
		if (ranked[i].first_of_job)
			sum += weight;
	}
	for (i = 0; i < n; i++)
		ranked[i].weight /= sum;
}

static guint
hash_job(gconstpointer task)
{
	return wk_job_hash(task);
}

static gboolean
equal_jobs(gconstpointer task, gconstpointer other)
{
	return wk_same_job(task, other);
}

/*
 * The run of each job, found by any of its tasks, that is closest to the given
 * time: tasks of a job are alike, and often only one of them is listed close to
 * the crash.
 */
static GHashTable *
closest_of_jobs(const struct crl_run *runs, size_t n_runs, int64_t heard_ms)
{
	GHashTable *closest = g_hash_table_new(hash_job, equal_jobs);
	size_t i;

	for (i = 0; i < n_runs; i++) {
		const struct crl_run *best =
		    g_hash_table_lookup(closest, runs[i].task);

		if (best == NULL || distance_ms(&runs[i], heard_ms) <
					distance_ms(best, heard_ms))
			g_hash_table_insert(closest, (gpointer)runs[i].task,
			    (gpointer)&runs[i]);
	}
	return closest;
}

/* Orders the runs by how likely they caused a crash at the given time. */
static struct ranked *
rank_runs(const struct crl_run *runs, size_t n_runs, int64_t heard_ms)
{
	struct ranked *ranked = g_new0(struct ranked, n_runs);
	GHashTable *closest = closest_of_jobs(runs, n_runs, heard_ms);
	size_t i;

	for (i = 0; i < n_runs; i++) {
		ranked[i].run = &runs[i];
		ranked[i].distance_ms = distance_ms(
		    g_hash_table_lookup(closest, runs[i].task), heard_ms);
	}
	g_hash_table_unref(closest);
	qsort(ranked, n_runs, sizeof(*ranked), compare_ranked);
	weigh(ranked, n_runs);
	return ranked;
}

static double *
mean_of(struct crl *crl, const char *queue)
{
	double *mean = g_hash_table_lookup(crl->means, queue);

	if (mean == NULL) {
		mean = g_new0(double, 1);
		g_hash_table_insert(crl->means, g_strdup(queue), mean);
	}
	return mean;
}

void
crl_sample(
    struct crl *crl, int64_t now_ms, const struct crl_run *runs, size_t n_runs)
{
	g_autofree struct ranked *ranked = NULL;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	if (n_runs == 0)
		return;
	g_hash_table_iter_init(&iter, crl->means);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		*(double *)value *= 1 - SAMPLE_WEIGHT;
		if (*(double *)value < NEGLIGIBLE_MEAN)
			g_hash_table_iter_remove(&iter);
	}
	ranked = rank_runs(runs, n_runs, now_ms);
	for (i = 0; i < n_runs; i++) {
		if (ranked[i].first_of_job)
			*mean_of(crl, ranked[i].run->queue) +=
			    SAMPLE_WEIGHT * ranked[i].weight;
	}
}

static double
sum_of_means(const struct crl *crl)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, crl->means);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += *(double *)value;
	return sum;
}

/* What is usual for the queues of the active runs. */
struct usual {
	GHashTable *n_jobs; /* queue to the number of its active jobs */
	uint32_t n_all;
	double sum; /* of all means */
};

static void
count_jobs(struct usual *usual, const struct crl *crl,
    const struct ranked *ranked, size_t n)
{
	size_t i;

	usual->n_jobs = g_hash_table_new(g_str_hash, g_str_equal);
	usual->sum = sum_of_means(crl);
	for (i = 0; i < n; i++) {
		gpointer key = (gpointer)ranked[i].run->queue;
		guint n_queue =
		    GPOINTER_TO_UINT(g_hash_table_lookup(usual->n_jobs, key));

		if (!ranked[i].first_of_job)
			continue;
		usual->n_all++;
		g_hash_table_insert(
		    usual->n_jobs, key, GUINT_TO_POINTER(n_queue + 1));
	}
}

/*
 * The share of the weight that jobs of the queue usually have.  With few
 * samples it is taken to be their share of the active jobs.
 */
static double
usual_weight(
    const struct usual *usual, const struct crl *crl, const char *queue)
{
	const double *mean = g_hash_table_lookup(crl->means, queue);
	guint n_queue =
	    GPOINTER_TO_UINT(g_hash_table_lookup(usual->n_jobs, queue));
	double share = (double)n_queue / (double)MAX(usual->n_all, 1);

	return MAX(((mean == NULL ? 0 : *mean) + PRIOR_WEIGHT * share) /
		       (usual->sum + PRIOR_WEIGHT),
	    MIN_MEAN);
}

static void
add_suspects(const struct crl *crl, struct crl_crash *crash,
    const struct ranked *ranked, size_t n)
{
	struct usual usual = {0};
	size_t i;

	count_jobs(&usual, crl, ranked, n);
	crash->n_suspects = MIN(n, MAX_SUSPECTS);
	crash->suspects = g_new0(struct crl_suspect, crash->n_suspects);
	for (i = 0; i < crash->n_suspects; i++) {
		struct crl_suspect *suspect = &crash->suspects[i];

		suspect->task = g_strdup(ranked[i].run->task);
		suspect->queue = g_strdup(ranked[i].run->queue);
		suspect->started = ranked[i].run->started;
		suspect->weight_permille = (uint32_t)MAX(
		    1, 1000 * ranked[i].weight /
			   usual_weight(&usual, crl, ranked[i].run->queue));
	}
	g_hash_table_unref(usual.n_jobs);
}

const struct crl_crash *
crl_add(struct crl *crl, uint64_t incarnation, int64_t heard_ms,
    const struct crl_run *runs, size_t n_runs)
{
	g_autofree struct ranked *ranked = NULL;
	struct crl_crash *crash;

	if (n_runs == 0)
		return NULL;
	crash = g_new0(struct crl_crash, 1);
	crash->id = ++crl->last_id;
	crash->incarnation = incarnation;
	crash->crashed_ms = heard_ms;
	ranked = rank_runs(runs, n_runs, heard_ms);
	add_suspects(crl, crash, ranked, n_runs);
	if (crl->crashes->len == MAX_CRASHES)
		g_ptr_array_remove_index(crl->crashes, 0);
	g_ptr_array_add(crl->crashes, crash);
	return crash;
}

const struct crl_crash *
crl_settle(struct crl *crl, uint64_t current_incarnation, bool is_ready)
{
	guint i;

	for (i = 0; i < crl->crashes->len; i++) {
		struct crl_crash *crash = crl->crashes->pdata[i];
		bool same = crash->incarnation == current_incarnation;

		if (crash->state != CRL_PRESUMED || current_incarnation == 0 ||
		    (same && !is_ready))
			continue;
		crash->state = same ? CRL_WITHDRAWN : CRL_CONFIRMED;
		return crash;
	}
	return NULL;
}

void
crl_expire(struct crl *crl, int64_t before_ms)
{
	while (crl->crashes->len > 0 && crl_get(crl, 0)->crashed_ms < before_ms)
		g_ptr_array_remove_index(crl->crashes, 0);
}

size_t
crl_count(const struct crl *crl)
{
	return crl->crashes->len;
}

const struct crl_crash *
crl_get(const struct crl *crl, size_t i)
{
	return crl->crashes->pdata[i];
}
