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
	uint64_t ended_at;  /* samples of the service at its last task's end */
	uint32_t confirmed; /* times that a stale speed was measured again */
};

/* Records a measured run time; declared_ms 0: not declared. */
void est_measure(struct est_service *service, struct est_worker *worker,
    int64_t run_us, int64_t declared_ms);
/*
 * Records that a task of the worker has ended, measured or not.  To be called
 * after est_measure().
 */
void est_ended(const struct est_service *service, struct est_worker *worker);
/*
 * Whether the worker's speed was last measured so long ago, in tasks of the
 * service for each of its n_workers workers, that it may have changed.
 */
bool est_is_stale(const struct est_service *service,
    const struct est_worker *worker, uint32_t n_workers);
/*
 * Checks a stale speed against a run time, before est_measure(): it is kept for
 * twice as long as before if it holds, and forgotten if it does not.
 */
void est_recheck(const struct est_service *service, struct est_worker *worker,
    int64_t run_us);
/* Whether a run time is below the worker's mean; true before any sample. */
bool est_is_below_mean(const struct est_worker *worker, int64_t run_us);
/* Expected run time on a worker, or on an average one when worker is NULL. */
double est_run_us(const struct est_service *service,
    const struct est_worker *worker, int64_t declared_ms);

#endif
