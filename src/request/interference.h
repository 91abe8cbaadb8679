#ifndef SP_INTERFERENCE_H
#define SP_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How far the runs of each queue are slowed on one worker by concurrent runs of
 * each other queue.  Queues are numbered from 0.  For each queue a regression
 * of log(run time / nominal time) on the concurrency of all queues together, so
 * that a queue that often runs beside the cause is not implicated.  Both
 * sides are differences from the recent mean on this worker, so that a worker
 * that is slow, or becomes slow, is not attributed to a pair.  Run times have a
 * long tail, so residuals are limited.  Plain data; reads no clock.
 */

#define ITF_QUEUES 16
/* Time, and runs of the queue, after which a run has half its weight. */
#define ITF_HALF_LIFE_MS   60000.0
#define ITF_HALF_LIFE_RUNS 300.0
/* A pair counts only beyond this factor, which is that of a busy worker. */
#define ITF_MIN_FACTOR 1.1
/* Largest factor that is learned or used. */
#define ITF_MAX_FACTOR 8.0
/*
 * Distance of the mean from ITF_MIN_FACTOR, in standard deviations, at which a
 * pair is found, and below which it is forgotten.  All pairs of all workers are
 * tested again with every run, so the usual 2 would find pairs all the time.
 */
#define ITF_FOUND_SIGMA	    3.5
#define ITF_FORGOTTEN_SIGMA 1.0

/* How far queue is slowed by other. */
struct itf_row {
	const char *queue;
	const char *other;
	uint32_t weight; /* runs behind it */
	double mean;	 /* natural log of the factor, for an exposure of 1 */
	double variance;
	int64_t age_ms;
};

struct itf_run {
	uint32_t queue;
	/*
	 * Mean of itf_exposure() over the run, for each queue; 0 for its own.
	 * The function of the mean would grow with the run time, since the mean
	 * over a longer time varies less.
	 */
	double exposure[ITF_QUEUES];
	int64_t run_ms;
	int64_t nominal_ms;
	/* 1, or less for a run that shares the error of its estimate. */
	double weight;
};

struct itf;

struct itf *itf_new(void);
/* NULL is allowed. */
void itf_free(struct itf *itf);

void itf_add(struct itf *itf, const struct itf_run *run, int64_t now_ms);
/* The number stands for another queue from now on. */
void itf_reset(struct itf *itf, uint32_t queue);
/* Updates the estimates; to be called every second. */
void itf_refresh(struct itf *itf, int64_t now_ms);
/*
 * Fills all of row but the names.  Returns false when too little is known for
 * an estimate.
 */
bool itf_estimate(const struct itf *itf, uint32_t queue, uint32_t other,
    int64_t now_ms, struct itf_row *row);

/* What n concurrent runs of another queue count: 0 for none, 1 for one. */
double itf_exposure(uint32_t n);
/* Distance of the mean from ITF_MIN_FACTOR in standard deviations. */
double itf_sigma(double mean, double variance);

#endif
