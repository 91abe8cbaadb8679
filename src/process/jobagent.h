#ifndef SP_JOBAGENT_H
#define SP_JOBAGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "process/counters.h"
#include "process/entryconfig.h"
#include "process/status.h"
#include "version/keyspace.h"

/*
 * The agent beside a worker that runs tasks under leases.  Entries connect to
 * it, and only the agent starts and stops tasks at the worker.
 */
struct ja;

struct ja_options {
	const char *listen;    /* "ip:port", entries */
	const char *advertise; /* "ip:port" under which entries reach it */
	const struct ks *ks;   /* borrowed */
	const struct ecf_layout *layout; /* borrowed */
	const char *failure_domain;	 /* until the worker reports its own */
	const struct wp *wp;		 /* borrowed */
	int64_t lease_ms; /* longest lease that the worker grants */
	int64_t drain_ms; /* longest wait for running tasks at shutdown */
	int64_t worker_heartbeat_ms; /* interval of the worker's heartbeats */
	bool interference;	     /* whether to measure it between queues */
	uint32_t max_runs;	     /* at a time; 0: 512 */
	uint32_t max_queued_starts;  /* of all entries; 0: 1,024 */
	uint32_t cancelled_jobs;     /* that are remembered */
	struct ctr_registry *counters; /* borrowed */
	/* Runs once, when the shutdown begun by ja_drain() is complete. */
	void (*drained)(void *ctx);
	void *ctx;
};

struct ja *ja_new(const struct ja_options *opts, struct status *st);
/*
 * Makes no more calls to the worker.  Call it before freeing what opts->wp and
 * opts->ks use, then free the agent.
 */
void ja_close(struct ja *ja);
void ja_free(struct ja *ja);
/* Handles a heartbeat of the worker. */
void ja_heartbeat(struct ja *ja, const struct wp_worker *worker);
/*
 * Handles a deregistration, which may be a late one of the worker's former
 * incarnation under the same id.
 */
void ja_worker_left(struct ja *ja, const char *instance);
/*
 * Refuses starts from now on; drained() runs when no task is running, at the
 * latest after drain_ms.
 */
void ja_drain(struct ja *ja);

#endif
