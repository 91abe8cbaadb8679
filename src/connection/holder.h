#ifndef SP_HOLDER_H
#define SP_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "process/status.h"

/*
 * Keeps the lease of the worker's runs, collects their ends, and follows the
 * worker through replacement, silence and return.  The lease is renewed only
 * while this process runs, so the worker itself ends the runs of an agent
 * that is dead, frozen or cut off.
 */
struct hold;

/* Longer leases are not taken: the tasks of a silent worker wait for the end. */
#define HOLD_LEASE_MS 500

struct hold_options {
	const struct wp *wp; /* borrowed */
	int64_t lease_ms;    /* longest lease that the worker grants */
	int64_t token;	     /* above that of every earlier process here */
	/* Whether the lease is wanted. */
	bool (*lease_needed)(void *ctx);
	/* Reports; one that was asked for earlier may come later. */
	void (*report)(
	    const struct wp_report *report, int64_t sent_ms, void *ctx);
	/* Nothing that was started before runs any more. */
	void (*runs_lost)(const char *reason, void *ctx);
	/* hold_is_ready() has changed. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct hold *hold_new(const struct hold_options *opts);
void hold_free(struct hold *hold);

/* Makes no call and takes no answer from then on. */
void hold_close(struct hold *hold);
/* Takes a heartbeat; false when a newer one or incarnation is known. */
bool hold_heartbeat(struct hold *hold, const struct wp_worker *worker);
/* The worker has left for good. */
void hold_worker_left(struct hold *hold, const char *instance);
void hold_tick(struct hold *hold);
/* Asks for a report now, beside the call that waits for the next end. */
void hold_request_report(struct hold *hold);

/* Whether starts may be sent: the worker answers and runs nothing unknown. */
bool hold_is_ready(const struct hold *hold);
/* Start of the worker's incarnation, 0: no worker. */
uint64_t hold_incarnation(const struct hold *hold);
void hold_start(struct hold *hold, const char *task, const char *spec,
    int64_t run, wp_answer_fn fn, void *ctx);
void hold_stop(struct hold *hold, const char *task, int64_t run,
    wp_answer_fn fn, void *ctx);

#endif
