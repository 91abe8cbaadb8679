#ifndef SP_DISPATCH_H
#define SP_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "process/counters.h"
#include "request/job.h"
#include "request/place.h"
#include "request/pool.h"
#include "request/retry.h"
#include "version/fresh.h"

/*
 * Queues tasks per service and sends them to agents.  Holds no sockets; an
 * agent is an opaque pointer that is passed to the callbacks.
 */
struct dispatch;

struct dsp_options {
	struct place *place; /* borrowed, like the pointers below */
	struct pool *pool;
	const struct fresh *fresh;
	struct retry *retry;
	struct ctr_registry *counters;
	uint32_t max_outstanding; /* starts without an outcome, at all agents */
	int64_t grace_ms; /* a failing job waits this long for outcomes */
	/* Returns false only when no part of the message was sent. */
	bool (*start)(
	    void *agent, const wire_start *starts, size_t n, void *ctx);
	void (*withdraw)(
	    void *agent, const uint64_t *seqs, size_t n, void *ctx);
	void (*wake)(void *ctx); /* asks for dsp_place_tasks() soon */
	/* Runs once for each submitted job, when it is finished. */
	void (*ended)(struct job *job, void *ctx);
	void *ctx;
};

struct dispatch *dsp_new(const struct dsp_options *opts);
void dsp_free(struct dispatch *dsp);

void dsp_submit(struct dispatch *dsp, struct job *job);
void dsp_cancel(struct dispatch *dsp, struct job *job, int64_t now_ms);
/* Sends waiting tasks to agents that can take them now. */
void dsp_place_tasks(struct dispatch *dsp, int64_t now_ms);
/* Ends jobs whose deadline or grace period has passed, then places tasks. */
void dsp_tick(struct dispatch *dsp, int64_t now_ms);

void dsp_outcome(struct dispatch *dsp, void *agent, const wire_result *result,
    int64_t now_ms);
/* Every later start has this seq or a higher one. */
uint64_t dsp_next_seq(const struct dispatch *dsp);
uint32_t dsp_waiting(const struct dispatch *dsp, const char *service);
uint32_t dsp_outstanding(const struct dispatch *dsp);

#endif
