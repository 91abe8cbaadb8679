#ifndef SP_SPEED_H
#define SP_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "request/runtimes.h"

/*
 * Run times learned from outcomes: how far the tasks of a queue are from their
 * estimates, and how slow each worker is.  Means are of logarithms of ratios,
 * so that long tasks do not dominate.  Plain data.
 */
struct spd_mean {
	double value;
	uint32_t samples;
};

/* Of a queue: run time over estimate, on a worker of average speed. */
struct spd_queue {
	struct spd_mean log_ratio;
	/*
	 * Learned as a distribution: a run that is further off than usual does
	 * not count in full, neither for the queue nor for its worker.
	 */
	bool by_distribution;
	struct rtm times;
};

/* Of a worker, or of a kind: all workers that have the same first label. */
struct spd_worker {
	struct spd_mean log_slowness;
	/*
	 * Run time in thousandths of that of its kind, as the worker's agent
	 * has measured it with the runs of all entries; 0: unknown.
	 */
	uint32_t reported_permille;
};

void spd_measure(struct spd_queue *queue, struct spd_worker *worker,
    struct spd_worker *kind, int64_t run_ms, int64_t estimate_ms);
/* Expected run time over estimate, on a worker of average speed. */
double spd_queue_ratio(const struct spd_queue *queue);
/* Run time on a worker of the kind over that on one of average speed. */
double spd_kind_slowness(const struct spd_worker *kind);
/* Expected run time on a worker of average speed. */
double spd_average_ms(const struct spd_queue *queue, int64_t estimate_ms);
/* Expected run time on any worker of the kind. */
double spd_nominal_ms(const struct spd_queue *queue,
    const struct spd_worker *kind, int64_t estimate_ms);
/*
 * How many times the expected run time a task of the queue may need; 1 while
 * this is unknown.
 */
double spd_explained_factor(const struct spd_queue *queue);
double spd_run_ms(const struct spd_queue *queue,
    const struct spd_worker *worker, const struct spd_worker *kind,
    int64_t estimate_ms);

#endif
