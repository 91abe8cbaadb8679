#include <math.h>

#include "request/speed.h"

/* Used for tasks without an estimate. */
#define DEFAULT_RUN_MS 200
/*
 * Smallest weights of a new sample in a mean.  With 1/10 a worker that turns
 * slow is detected within ten tasks.
 */
#define QUEUE_WEIGHT  (1.0 / 64)
#define WORKER_WEIGHT (1.0 / 10)
#define KIND_WEIGHT   (1.0 / 64)
/* With this many samples a worker's own speed gets half the weight. */
#define SPEED_PRIOR_SAMPLES 4.0

static void
add_sample(struct spd_mean *mean, double value, double min_weight)
{
	double weight;

	mean->samples++;
	weight = fmax(1.0 / mean->samples, min_weight);
	mean->value += weight * (value - mean->value);
}

/*
 * Mean of the worker's own slowness and that of its kind, weighted by the
 * number of its samples.  A worker without samples is as slow as its kind.
 */
static double
log_slowness(const struct spd_worker *worker, const struct spd_worker *kind)
{
	double n = worker->log_slowness.samples;
	double own = n / (n + SPEED_PRIOR_SAMPLES);

	return own * worker->log_slowness.value +
	       (1 - own) * kind->log_slowness.value;
}

static double
estimate_or_default_ms(int64_t estimate_ms)
{
	return estimate_ms > 0 ? (double)estimate_ms : DEFAULT_RUN_MS;
}

/* Learns from a measured run time, or from a projected one of a stopped run. */
void
spd_measure(struct spd_queue *queue, struct spd_worker *worker,
    struct spd_worker *kind, int64_t run_ms, int64_t estimate_ms)
{
	double ratio = log((run_ms > 1 ? (double)run_ms : 1) /
			   estimate_or_default_ms(estimate_ms));
	double slowness;

	add_sample(&queue->log_ratio, ratio - log_slowness(worker, kind),
	    QUEUE_WEIGHT);
	/*
	 * Uses the updated mean of the queue, so that a deviation of the whole
	 * queue does not count as slowness of the worker, not even in the first
	 * sample.
	 */
	slowness = ratio - queue->log_ratio.value;
	add_sample(&worker->log_slowness, slowness, WORKER_WEIGHT);
	add_sample(&kind->log_slowness, slowness, KIND_WEIGHT);
}

double
spd_queue_ratio(const struct spd_queue *queue)
{
	return exp(queue->log_ratio.value);
}

/* Expected run time of a task on a worker. */
double
spd_run_ms(const struct spd_queue *queue, const struct spd_worker *worker,
    const struct spd_worker *kind, int64_t estimate_ms)
{
	return estimate_or_default_ms(estimate_ms) *
	       exp(queue->log_ratio.value + log_slowness(worker, kind));
}
