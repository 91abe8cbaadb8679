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
 * Queues of tasks per service and their way to the agents.  Holds no sockets;
 * an agent is an opaque pointer that the callbacks understand.
 */
struct dispatch;

struct dsp_options {
	struct place *place; /* borrowed, as everything below */
	struct pool *pool;
	const struct fresh *fresh;
	struct retry *retry;
	struct ctr_registry *counters;
	uint32_t max_outstanding; /* starts without outcome, all agents */
	int64_t grace_ms; /* a failing job waits this long for outcomes */
	/* Returns false when nothing was sent, not even in part. */
	bool (*start)(
	    void *agent, const wire_start *starts, size_t n, void *ctx);
	void (*withdraw)(
	    void *agent, const uint64_t *seqs, size_t n, void *ctx);
	void (*wake)(void *ctx); /* asks for dsp_place_tasks() soon */
	/* A job has ended; runs once for each submitted job. */
	void (*ended)(struct job *job, void *ctx);
	void *ctx;
};

struct dispatch *dsp_new(const struct dsp_options *opts);
void dsp_free(struct dispatch *dsp);

void dsp_submit(struct dispatch *dsp, struct job *job);
void dsp_cancel(struct dispatch *dsp, struct job *job, int64_t now_ms);
/* Places what can be placed now. */
void dsp_place_tasks(struct dispatch *dsp, int64_t now_ms);
/* Ends jobs whose deadline or grace period has passed. */
void dsp_tick(struct dispatch *dsp, int64_t now_ms);

void dsp_outcome(struct dispatch *dsp, void *agent, const wire_result *result,
    int64_t now_ms);
/* Every start from now on has this seq or a higher one. */
uint64_t dsp_next_seq(const struct dispatch *dsp);
uint32_t dsp_waiting(const struct dispatch *dsp, const char *service);
uint32_t dsp_outstanding(const struct dispatch *dsp);

#endif
