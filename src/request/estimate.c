#include <math.h>
#include <stddef.h>

#include "estimate.h"

/*
 * Used for a task without declared run time until one of its service has been
 * measured.
 */
#define DEFAULT_RUN_US 200000.0
/*
 * Weight of a new sample in a mean.  Run times vary by about their own mean, so
 * 1/64 leaves an error of about a tenth in a worker's speed.
 */
#define SAMPLE_WEIGHT (1.0 / 64)
/*
 * Declared times are off by a factor of up to 10, so their means take more
 * samples.
 */
#define DECLARED_WEIGHT (1.0 / 1024)
/* Declared times are used from this number of samples on. */
#define MIN_DECLARED_SAMPLES 32U
#define MIN_VARIANCE	     1e-6
/* With this many samples a worker's measured speed gets half the weight. */
#define SPEED_PRIOR_SAMPLES 4.0

/*
 * Tasks of the service for each of its workers after which a speed is stale,
 * times the slowness of the worker: the slower it was, the more the task costs
 * that measures it again.
 */
#define STALE_ROUNDS 12
/* Limit of the doublings of STALE_ROUNDS. */
#define MAX_CONFIRMED 5

static void
add_sample(struct est_mean *mean, double value, double min_weight)
{
	double weight;

	mean->samples++;
	weight = fmax(1.0 / (double)mean->samples, min_weight);
	mean->value += weight * (value - mean->value);
}

static double
log_us(int64_t run_us)
{
	return log(run_us > 1 ? (double)run_us : 1.0);
}

/* Logarithm of the worker's run times relative to those of its service. */
static double
log_slowness(const struct est_service *service, const struct est_worker *worker)
{
	double n = (double)worker->log_run.samples;

	return (worker->log_run.value - service->log_run.value) * n /
	       (n + SPEED_PRIOR_SAMPLES);
}

/* deviation: log run time minus its expected value without declared_ms. */
static void
measure_declared(
    struct est_service *service, double log_declared, double deviation)
{
	add_sample(&service->log_declared, log_declared, DECLARED_WEIGHT);
	log_declared -= service->log_declared.value;
	add_sample(
	    &service->variance, log_declared * log_declared, DECLARED_WEIGHT);
	add_sample(
	    &service->covariance, log_declared * deviation, DECLARED_WEIGHT);
}

/*
 * Factor on the expected run time of a task with this declared time: near 1
 * while declared times do not predict measured ones, and the full ratio to the
 * mean declared time when they do.
 */
static double
declared_factor(const struct est_service *service, int64_t declared_ms)
{
	double slope;

	if (declared_ms <= 0 ||
	    service->variance.samples < MIN_DECLARED_SAMPLES ||
	    service->variance.value < MIN_VARIANCE)
		return 1;
	slope = service->covariance.value / service->variance.value;
	slope = fmin(fmax(slope, 0), 1);
	return exp(
	    slope * (log((double)declared_ms) - service->log_declared.value));
}

void
est_measure(struct est_service *service, struct est_worker *worker,
    int64_t run_us, int64_t declared_ms)
{
	if (declared_ms > 0 && service->log_run.samples > 0)
		measure_declared(service, log((double)declared_ms),
		    log_us(run_us) - log_slowness(service, worker) -
			service->log_run.value);
	add_sample(&worker->log_run, log_us(run_us), SAMPLE_WEIGHT);
	add_sample(&service->log_run, log_us(run_us), SAMPLE_WEIGHT);
	add_sample(&service->run_us, (double)run_us, SAMPLE_WEIGHT);
}

void
est_ended(const struct est_service *service, struct est_worker *worker)
{
	worker->ended_at = service->log_run.samples;
}

bool
est_is_stale(const struct est_service *service, const struct est_worker *worker,
    uint32_t n_workers)
{
	double since =
	    (double)(service->log_run.samples - worker->ended_at) / n_workers;
	double slowness = exp(worker->log_run.value - service->log_run.value);

	return worker->log_run.samples > 0 &&
	       since >= fmax(slowness, 1) *
			    (double)(STALE_ROUNDS << worker->confirmed);
}

void
est_recheck(const struct est_service *service, struct est_worker *worker,
    int64_t run_us)
{
	double from_worker = fabs(log_us(run_us) - worker->log_run.value);
	double from_service = fabs(log_us(run_us) - service->log_run.value);

	if (from_worker > from_service) {
		worker->log_run = (struct est_mean){0};
		worker->confirmed = 0;
	} else if (worker->confirmed < MAX_CONFIRMED) {
		worker->confirmed++;
	}
}

bool
est_is_below_mean(const struct est_worker *worker, int64_t run_us)
{
	return worker->log_run.samples == 0 ||
	       log_us(run_us) < worker->log_run.value;
}

/* Speeds are means of logarithms, so that long tasks don't dominate them. */
double
est_run_us(const struct est_service *service, const struct est_worker *worker,
    int64_t declared_ms)
{
	double run_us = service->run_us.value;

	if (service->run_us.samples == 0)
		run_us = declared_ms > 0 ? (double)declared_ms * 1000
					 : DEFAULT_RUN_US;
	if (worker != NULL)
		run_us *= exp(log_slowness(service, worker));
	return run_us * declared_factor(service, declared_ms);
}
