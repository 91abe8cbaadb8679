#ifndef SP_JOBAGENT_H
#define SP_JOBAGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "process/counters.h"
#include "process/status.h"
#include "version/keyspace.h"

/*
 * The agent beside a worker that runs tasks under leases.  It alone starts
 * and stops tasks there, for the entries that are connected to it.
 */
struct ja;

struct ja_options {
	const char *listen;	    /* "ip:port", entries */
	const char *advertise;	    /* "ip:port" under which entries reach it */
	const struct ks *ks;	    /* borrowed */
	const char *failure_domain; /* used until the worker names its own */
	const struct wp *wp;	    /* borrowed */
	int64_t lease_ms;
	int64_t drain_ms; /* running tasks may take this long at the end */
	struct ctr_registry *counters; /* borrowed */
	void (*drained)(void *ctx);
	void *ctx;
};

struct ja *ja_new(const struct ja_options *opts, struct status *st);
/* Makes no call from then on, so that the port and the store can end. */
void ja_close(struct ja *ja);
void ja_free(struct ja *ja);
/* A heartbeat of the worker. */
void ja_heartbeat(struct ja *ja, const struct wp_worker *worker);
/* The worker has left. */
void ja_worker_left(struct ja *ja, const char *instance);
/* Refuses starts; drained() runs when nothing runs any more or at the end. */
void ja_drain(struct ja *ja);

#endif
