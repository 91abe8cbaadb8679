#ifndef SP_BENCH_WORKLOAD_H
#define SP_BENCH_WORKLOAD_H

#include <stdint.h>

/* Generated workers, jobs and tasks; equal seeds give equal workloads. */

#define DOMAINS	  3
#define WORKERS	  10
#define SLOTS	  8
#define CLIENT_US 3000 /* one way, client to entry */
#define NEAR_US	  250  /* one way within a failure domain */
#define FAR_US	  1500 /* one way between failure domains */

struct task {
	uint32_t job;
	int64_t work_us;     /* run time at speed 1 */
	int64_t declared_us; /* estimate of work_us, see declared_error */
};

struct job {
	int64_t sent_us;  /* by the client */
	int64_t ideal_us; /* response time under an ideal central scheduler */
	uint32_t entry;
	uint32_t first; /* index of the job's first task */
	uint32_t n;
};

struct workload {
	double speed[WORKERS];
	struct job *jobs;
	struct task *tasks;
	uint32_t n_jobs;
	uint32_t n_tasks;
};

struct workload_options {
	uint64_t seed;
	double load; /* offered work as a share of all workers' capacity */
	uint32_t job_size; /* tasks; 0: a mix of 1, 20 and 100 */
	uint32_t n_tasks;
	uint32_t entries;
	double declared_error; /* estimates: 1/x to x times work_us; 0: 10 */
};

double rng_uniform(uint64_t *state);
uint32_t worker_domain(uint32_t worker);
int64_t latency_us(uint32_t entry, uint32_t worker);
int64_t run_time_us(
    const struct workload *load, uint32_t task, uint32_t worker);
double workload_capacity(const struct workload *load);

/* Also computes the ideal response time of every job. */
struct workload *workload_new(const struct workload_options *opts);
void workload_free(struct workload *load);

#endif
