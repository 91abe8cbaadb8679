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
/* A slowness is learned too small by this share, as a logarithm. */
#define ANCHOR_SHARE 0.01
/*
 * Differences below a factor of 1.5 between the slowness that an entry and an
 * agent have measured are held to be noise: the tasks of a job share the error
 * of their estimate.
 */
#define NOISE_LOG 0.4
#define PERMILLE  1000.0
/* With this many samples a worker's own speed gets half the weight. */
#define SPEED_PRIOR_SAMPLES 4.0

/* A sample counts as max_step away from the mean if it is further away. */
static void
add_sample(
    struct spd_mean *mean, double value, double min_weight, double max_step)
{
	double weight, step = value - mean->value;

	mean->samples++;
	weight = fmax(1.0 / mean->samples, min_weight);
	mean->value += weight * fmax(fmin(step, max_step), -max_step);
}

/*
 * Run times tell only the sum of the queue's ratio and the worker's slowness.
 * With limited steps and a skewed distribution one of them would rise and the
 * other fall for ever, unless the slowness is drawn towards none.
 */
static void
anchor(struct spd_mean *slowness, double min_weight)
{
	slowness->value *= 1 - min_weight * ANCHOR_SHARE;
}

/* Removes a difference that may be noise of the run times. */
static double
beyond_noise(double difference)
{
	if (fabs(difference) <= NOISE_LOG)
		return 0;
	return difference > 0 ? difference - NOISE_LOG : difference + NOISE_LOG;
}

/*
 * Mean of the worker's own slowness and that of its kind, weighted by the
 * number of its samples.  A worker without samples is as slow as its kind.
 */
static double
own_log_slowness(const struct spd_worker *worker, const struct spd_worker *kind)
{
	double n = worker->log_slowness.samples;
	double own = n / (n + SPEED_PRIOR_SAMPLES);

	return own * worker->log_slowness.value +
	       (1 - own) * kind->log_slowness.value;
}

/*
 * The entry's own samples tell workers apart in the long run.  The agent sees
 * the runs of all entries and so is first to notice a worker that turns slow or
 * recovers; its figure corrects the entry's when they differ by much.
 */
static double
log_slowness(const struct spd_worker *worker, const struct spd_worker *kind)
{
	double own = own_log_slowness(worker, kind);
	double reported;

	if (worker->reported_permille == 0)
		return own;
	reported = kind->log_slowness.value +
		   log(worker->reported_permille / PERMILLE);
	return own + beyond_noise(reported - own);
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
	double average = ratio - log_slowness(worker, kind);
	double slowness, max_step = INFINITY;

	if (queue->by_distribution) {
		rtm_add(&queue->times, average);
		max_step = rtm_usual_deviation(&queue->times);
	}
	add_sample(&queue->log_ratio, average, QUEUE_WEIGHT, max_step);
	/*
	 * Uses the updated ratio of the queue, so that a deviation of the whole
	 * queue does not count as slowness of the worker, not even in the first
	 * sample.
	 */
	slowness = ratio - queue->log_ratio.value;
	add_sample(&worker->log_slowness, slowness, WORKER_WEIGHT, max_step);
	add_sample(&kind->log_slowness, slowness, KIND_WEIGHT, max_step);
	if (queue->by_distribution) {
		anchor(&worker->log_slowness, WORKER_WEIGHT);
		anchor(&kind->log_slowness, KIND_WEIGHT);
	}
}

double
spd_queue_ratio(const struct spd_queue *queue)
{
	return exp(queue->log_ratio.value);
}

double
spd_explained_factor(const struct spd_queue *queue)
{
	return queue->by_distribution ? rtm_explained_factor(&queue->times) : 1;
}

double
spd_kind_slowness(const struct spd_worker *kind)
{
	return exp(kind->log_slowness.value);
}

double
spd_average_ms(const struct spd_queue *queue, int64_t estimate_ms)
{
	return estimate_or_default_ms(estimate_ms) * spd_queue_ratio(queue);
}

double
spd_nominal_ms(const struct spd_queue *queue, const struct spd_worker *kind,
    int64_t estimate_ms)
{
	return estimate_or_default_ms(estimate_ms) *
	       exp(queue->log_ratio.value + kind->log_slowness.value);
}

/* Expected run time of a task on a worker. */
double
spd_run_ms(const struct spd_queue *queue, const struct spd_worker *worker,
    const struct spd_worker *kind, int64_t estimate_ms)
{
	return estimate_or_default_ms(estimate_ms) *
	       exp(queue->log_ratio.value + log_slowness(worker, kind));
}
