#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "workload.h"

#define SPEED_RATIO	      4.0 /* fastest over slowest worker */
#define WORK_MIN_US	      50000.0
#define WORK_MAX_US	      1000000.0
#define TAIL_SHARE	      0.03
#define TAIL_MIN_US	      2000000.0
#define TAIL_MAX_US	      6000000.0
#define DECLARED_ERROR_FACTOR 10.0
/* For a tenth of the time jobs arrive at 2.5 times the mean rate. */
#define BURST_SHARE	  0.1
#define BURST_RATE_FACTOR 2.5
#define BURST_LENGTH_US	  500000.0

/* Returns a number in [0, 1) from the generator xorshift64*. */
double
rng_uniform(uint64_t *state)
{
	*state ^= *state >> 12;
	*state ^= *state << 25;
	*state ^= *state >> 27;
	return (double)((*state * 2685821657736338717ULL) >> 11) /
	       9007199254740992.0;
}

uint32_t
worker_domain(uint32_t worker)
{
	return worker % DOMAINS;
}

int64_t
latency_us(uint32_t entry, uint32_t worker)
{
	return entry % DOMAINS == worker_domain(worker) ? NEAR_US : FAR_US;
}

int64_t
run_time_us(const struct workload *load, uint32_t task, uint32_t worker)
{
	return llround((double)load->tasks[task].work_us / load->speed[worker]);
}

/*
 * Returns the work, in seconds at speed 1, that all workers together do in a
 * second.
 */
double
workload_capacity(const struct workload *load)
{
	double sum = 0;
	guint i;

	for (i = 0; i < WORKERS; i++)
		sum += load->speed[i] * SLOTS;
	return sum;
}

static double
log_uniform(uint64_t *rng, double from, double to)
{
	return from * pow(to / from, rng_uniform(rng));
}

static double
mean_work_us(void)
{
	return (1 - TAIL_SHARE) * (WORK_MAX_US - WORK_MIN_US) /
		   log(WORK_MAX_US / WORK_MIN_US) +
	       TAIL_SHARE * (TAIL_MIN_US + TAIL_MAX_US) / 2;
}

/* Spaces the speeds evenly on a log scale and shuffles them. */
static void
make_speeds(struct workload *load, uint64_t *rng)
{
	guint i;

	for (i = 0; i < WORKERS; i++)
		load->speed[i] =
		    pow(SPEED_RATIO, (double)i / (WORKERS - 1) - 0.5);
	for (i = WORKERS - 1; i > 0; i--) {
		guint j = (guint)(rng_uniform(rng) * (i + 1));
		double swap = load->speed[i];

		load->speed[i] = load->speed[j];
		load->speed[j] = swap;
	}
}

static void
make_tasks(struct workload *load, double error, uint64_t *rng)
{
	guint i;

	for (i = 0; i < load->n_tasks; i++) {
		struct task *t = &load->tasks[i];
		double work_us = log_uniform(rng, WORK_MIN_US, WORK_MAX_US);

		if (rng_uniform(rng) < TAIL_SHARE)
			work_us = TAIL_MIN_US + rng_uniform(rng) *
						    (TAIL_MAX_US - TAIL_MIN_US);
		t->work_us = llround(work_us);
		t->declared_us =
		    llround(work_us * log_uniform(rng, 1 / error, error));
	}
}

static uint32_t
job_size(const struct workload_options *opts, uint64_t *rng)
{
	static const uint32_t sizes[] = {1, 20, 100};
	guint n = G_N_ELEMENTS(sizes);

	if (opts->job_size > 0)
		return opts->job_size;
	return sizes[(guint)(rng_uniform(rng) * (double)n)];
}

static double
exponential(uint64_t *rng, double mean)
{
	return -log(1 - rng_uniform(rng)) * mean;
}

/* Poisson arrivals whose rate alternates between bursts and a lower rate. */
static void
make_jobs(
    struct workload *load, const struct workload_options *opts, uint64_t *rng)
{
	double gap_us = mean_work_us() / workload_capacity(load) / opts->load;
	double base_rate =
	    (1 - BURST_SHARE * BURST_RATE_FACTOR) / (1 - BURST_SHARE);
	double base_mean_us = BURST_LENGTH_US * (1 - BURST_SHARE) / BURST_SHARE;
	double now_us = 0;
	double switch_us = exponential(rng, base_mean_us);
	bool burst = false;
	uint32_t first = 0;

	while (first < load->n_tasks) {
		struct job *j = &load->jobs[load->n_jobs];
		uint32_t k;

		j->first = first;
		/* MIN() would call job_size() twice and draw two sizes. */
		j->n = job_size(opts, rng);
		j->n = MIN(j->n, load->n_tasks - first);
		j->entry = (uint32_t)(rng_uniform(rng) * opts->entries);
		now_us += exponential(rng,
		    gap_us * j->n / (burst ? BURST_RATE_FACTOR : base_rate));
		while (now_us > switch_us) {
			burst = !burst;
			switch_us += exponential(
			    rng, burst ? BURST_LENGTH_US : base_mean_us);
		}
		j->sent_us = llround(now_us);
		for (k = 0; k < j->n; k++)
			load->tasks[first + k].job = load->n_jobs;
		first += j->n;
		load->n_jobs++;
	}
}

static int
compare_work(const void *a, const void *b, void *ctx)
{
	const struct workload *load = ctx;
	int64_t x = load->tasks[*(const uint32_t *)a].work_us;
	int64_t y = load->tasks[*(const uint32_t *)b].work_us;

	return (x < y) - (x > y);
}

/*
 * Assigns the task to the slot whose result reaches the entry first; returns
 * that time.
 */
static int64_t
assign_ideal_slot(const struct workload *load, int64_t free_us[][SLOTS],
    uint32_t task, uint32_t entry, int64_t at_entry_us)
{
	int64_t best_us = INT64_MAX;
	int64_t *best = NULL;
	guint w;
	guint s;

	for (w = 0; w < WORKERS; w++) {
		int64_t way_us = latency_us(entry, w);

		for (s = 0; s < SLOTS; s++) {
			int64_t end_us =
			    MAX(free_us[w][s], at_entry_us + way_us) +
			    run_time_us(load, task, w) + way_us;

			if (end_us < best_us) {
				best_us = end_us;
				best = &free_us[w][s];
			}
		}
	}
	g_assert(best != NULL);
	w = (guint)((best - &free_us[0][0]) / SLOTS);
	*best = best_us - latency_us(entry, w);
	return best_us;
}

/*
 * Computes the response time of each job under a central scheduler that knows
 * all run times and speeds and when each slot becomes free.  It takes jobs in
 * the order of arrival and the longest task of a job first, and assigns each
 * task to the slot whose result reaches the entry first.
 */
static void
compute_ideal_times(struct workload *load)
{
	int64_t free_us[WORKERS][SLOTS] = {{0}};
	uint32_t *order = g_new(uint32_t, load->n_tasks);
	uint32_t i;
	uint32_t k;

	for (i = 0; i < load->n_tasks; i++)
		order[i] = i;
	for (i = 0; i < load->n_jobs; i++) {
		struct job *j = &load->jobs[i];
		int64_t at_entry_us = j->sent_us + CLIENT_US;
		int64_t end_us = 0;

		qsort_r(
		    order + j->first, j->n, sizeof(*order), compare_work, load);
		for (k = 0; k < j->n; k++) {
			int64_t task_us = assign_ideal_slot(load, free_us,
			    order[j->first + k], j->entry, at_entry_us);

			end_us = MAX(end_us, task_us);
		}
		j->ideal_us = end_us + CLIENT_US - j->sent_us;
	}
	g_free(order);
}

struct workload *
workload_new(const struct workload_options *opts)
{
	struct workload *load = g_new0(struct workload, 1);
	uint64_t rng = (opts->seed + 1) * 0x9e3779b97f4a7c15ULL;

	load->n_tasks = opts->n_tasks;
	load->tasks = g_new0(struct task, opts->n_tasks);
	load->jobs = g_new0(struct job, opts->n_tasks);
	make_speeds(load, &rng);
	make_tasks(load,
	    opts->declared_error > 0 ? opts->declared_error
				     : DECLARED_ERROR_FACTOR,
	    &rng);
	make_jobs(load, opts, &rng);
	compute_ideal_times(load);
	return load;
}

void
workload_free(struct workload *load)
{
	g_free(load->tasks);
	g_free(load->jobs);
	g_free(load);
}
