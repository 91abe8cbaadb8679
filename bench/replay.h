#ifndef SP_BENCH_REPLAY_H
#define SP_BENCH_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

#include "request/place.h"
#include "workload.h"

/* Discrete-event simulation of a workload under one placement policy. */
struct replay_options {
	enum place_policy policy;
	uint32_t ahead; /* tasks sent beyond a worker's slots */
	uint32_t entries;
	bool prefer_local;
	bool head_only;	      /* a task that must wait blocks those behind it */
	bool longest_first;   /* queue a job's longest tasks first */
	bool instant;	      /* load reports reach all entries without delay */
	int64_t heartbeat_us; /* interval; 0: 500 ms */
	/* Every period_us, domain 0 is drained for away_us; 0: never. */
	int64_t period_us;
	int64_t away_us;
	double cold; /* initial speed factor after a return; 0: full speed */
	uint64_t seed;
};

struct replay_result {
	double mean_ratio; /* response time of a job over its ideal time */
	double p99_ratio;
	double mean_ms;
	double p99_ms;
	/*
	 * Jobs of one task that find a free slot on arrival: response time over
	 * the ideal response time on the fastest worker with a free slot.
	 */
	double free_mean_ratio;
	double free_p99_ratio;
	double agent_wait_ms; /* mean wait in the agent's queue */
	/*
	 * Shares of the jobs in flight, and of their started tasks, that would
	 * be lost if one failure domain failed; means over domains and time.
	 */
	double lost_jobs;
	double lost_work;
	/* Response times of jobs sent up to 10 s after domain 0 came back. */
	double return_mean_ms;
	double return_p99_ms;
};

/* Runs until every job is answered. */
struct replay_result replay_run(
    const struct workload *load, const struct replay_options *opts);

#endif
