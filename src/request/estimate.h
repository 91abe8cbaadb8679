#ifndef SP_ESTIMATE_H
#define SP_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* Estimates of run times from measured ones.  Plain data, zero-initialised. */
struct est_mean {
	double value;
	uint64_t samples;
};

struct est_service {
	struct est_mean run_us;
	struct est_mean log_run; /* natural logarithm of the run time in us */
	/* Regression of log_run on the logarithm of the declared run time. */
	struct est_mean log_declared;
	struct est_mean variance;
	struct est_mean covariance;
};

struct est_worker {
	struct est_mean log_run;
};

/* Records a measured run time; declared_ms 0: not declared. */
void est_measure(struct est_service *service, struct est_worker *worker,
    int64_t run_us, int64_t declared_ms);
/* Whether a run time is below the worker's mean; true before any sample. */
bool est_is_below_mean(const struct est_worker *worker, int64_t run_us);
/* Expected run time on a worker, or on an average one when worker is NULL. */
double est_run_us(const struct est_service *service,
    const struct est_worker *worker, int64_t declared_ms);

#endif
