#ifndef SP_RUNQUEUE_H
#define SP_RUNQUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"

/*
 * The agent's queue of accepted starts, first in first out, and the checks
 * that are made at the moment of a start.  Holds no sockets, reads no clock.
 */
struct rq;

/* A queued or running task; embedded in the caller's own struct. */
struct rq_task {
	uint64_t entry; /* incarnation */
	uint64_t seq;
	const char *service;
	int64_t deadline_ms; /* CLOCK_BOOTTIME */
	uint64_t bytes;
};

/* Conditions of a start, as of the moment of the check. */
struct rq_conditions {
	bool fresh;	     /* configuration confirmed recently enough */
	bool out;	     /* failure domain, worker or service is out */
	bool draining;	     /* agent or endpoint is leaving */
	const char *service; /* NULL: no endpoint is announced */
	uint32_t slots;
	uint32_t slots_in_use; /* by work that this agent did not start */
};

struct rq_options {
	uint32_t max_queue;
	uint64_t max_bytes; /* of queued tasks */
};

struct rq *rq_new(const struct rq_options *opts);
/* Tasks still queued stay with the caller. */
void rq_free(struct rq *rq);

/* WIRE_REASON_NONE: queued.  Otherwise the task is not taken. */
enum wire_reason rq_push(struct rq *rq, struct rq_task *task,
    const struct rq_conditions *cond, int64_t now_ms);
/*
 * Takes the next task from the queue: with WIRE_REASON_NONE it is to be
 * started now and counts as running, otherwise it must not run.  NULL when
 * nothing is to be done at now_ms.
 */
struct rq_task *rq_next(struct rq *rq, const struct rq_conditions *cond,
    int64_t now_ms, enum wire_reason *reason);
void rq_finished(struct rq *rq);
/* Removes a queued task; NULL when it is not queued. */
struct rq_task *rq_withdraw(struct rq *rq, uint64_t entry, uint64_t seq);
/* Removes the first queued task of an entry incarnation, or NULL. */
struct rq_task *rq_take_of_entry(struct rq *rq, uint64_t entry);

uint32_t rq_queued(const struct rq *rq);
uint32_t rq_running(const struct rq *rq);
void rq_load(const struct rq *rq, const struct rq_conditions *cond,
    struct wire_load *load);

#endif
