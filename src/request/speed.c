#include <math.h>

#include "request/speed.h"

/* Used for tasks without an estimate. */
#define DEFAULT_RUN_MS 200
/* Weights of a new sample; a worker that turns slow is seen in ten tasks. */
#define QUEUE_WEIGHT  (1.0 / 64)
#define WORKER_WEIGHT (1.0 / 10)
#define KIND_WEIGHT   (1.0 / 64)
/* A worker's own speed counts half with this many samples. */
#define PRIOR_SAMPLES 4.0

static void
add(struct spd_mean *mean, double value, double min_weight)
{
	double weight;

	mean->samples++;
	weight = fmax(1.0 / mean->samples, min_weight);
	mean->value += weight * (value - mean->value);
}

/* A worker without samples is taken as one of its kind. */
static double
log_slowness(const struct spd_worker *worker, const struct spd_worker *kind)
{
	double n = worker->log_slowness.samples;
	double own = n / (n + PRIOR_SAMPLES);

	return own * worker->log_slowness.value +
	       (1 - own) * kind->log_slowness.value;
}

static double
known_ms(int64_t estimate_ms)
{
	return estimate_ms > 0 ? (double)estimate_ms : DEFAULT_RUN_MS;
}

/* Takes the run time of a task that was done. */
void
spd_measure(struct spd_queue *queue, struct spd_worker *worker,
    struct spd_worker *kind, int64_t run_ms, int64_t estimate_ms)
{
	double ratio =
	    log((run_ms > 1 ? (double)run_ms : 1) / known_ms(estimate_ms));
	double slowness;

	add(&queue->log_ratio, ratio - log_slowness(worker, kind),
	    QUEUE_WEIGHT);
	/* What the queue explains is no slowness, also of a first sample. */
	slowness = ratio - queue->log_ratio.value;
	add(&worker->log_slowness, slowness, WORKER_WEIGHT);
	add(&kind->log_slowness, slowness, KIND_WEIGHT);
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
	return known_ms(estimate_ms) *
	       exp(queue->log_ratio.value + log_slowness(worker, kind));
}
