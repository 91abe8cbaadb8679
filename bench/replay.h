#ifndef SP_BENCH_REPLAY_H
#define SP_BENCH_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

#include "request/place.h"
#include "workload.h"

/* How one replay places the tasks of a workload. */
struct replay_options {
	enum place_policy policy;
	uint32_t ahead;
	uint32_t entries;
	bool prefer_local;
	bool head_only;	      /* no task passes one that waits */
	bool longest_first;   /* order of the tasks of a job in the queue */
	bool instant;	      /* every entry sees every load at once */
	int64_t heartbeat_us; /* 0: 500 ms */
	/* Each period_us, failure domain 0 is away for away_us; 0: never. */
	int64_t period_us;
	int64_t away_us;
	double cold; /* speed of a returned worker at first; 0: as before */
	uint64_t seed;
};

struct replay_result {
	double mean_ratio; /* response over ideal, a job at a time */
	double p99_ratio;
	double mean_ms;
	double p99_ms;
	/* To the fastest worker with a free slot on arrival, if there is one. */
	double free_mean_ratio;
	double free_p99_ratio;
	double agent_wait_ms; /* mean wait in the agent's queue */
	double lost_jobs; /* share of jobs in flight that a domain's end ends */
	double lost_work; /* share of the run time already spent, likewise */
	double return_mean_ms; /* of jobs sent in the 10 s after a return */
	double return_p99_ms;
};

struct replay_result replay_run(
    const struct workload *load, const struct replay_options *opts);

#endif
