#ifndef SP_RUNQUEUE_H
#define SP_RUNQUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"

/*
 * An agent's queue of accepted starts, first in first out, and the checks made
 * at the moment of a start.  Holds no sockets and reads no clock.
 */
struct rq;

/* A queued or running task, embedded in a struct of the caller. */
struct rq_task {
	uint64_t entry; /* incarnation of the entry */
	uint64_t seq;
	const char *service;
	int64_t deadline_ms; /* CLOCK_BOOTTIME */
	uint64_t bytes;
};

/* Conditions of a start at the moment of the check. */
struct rq_conditions {
	bool fresh;	     /* configuration confirmed recently enough */
	bool out;	     /* domain, worker or service is marked out */
	bool draining;	     /* agent or endpoint is draining */
	const char *service; /* NULL: no endpoint is announced */
	uint32_t slots;
	uint32_t slots_in_use; /* by tasks that this agent did not start */
};

struct rq_options {
	uint32_t max_queue;
	uint64_t max_bytes; /* of queued tasks */
};

struct rq *rq_new(const struct rq_options *opts);
/* Does not free queued tasks, which belong to the caller. */
void rq_free(struct rq *rq);

/* Queues a task and returns WIRE_REASON_NONE, or returns why it can't run. */
enum wire_reason rq_push(struct rq *rq, struct rq_task *task,
    const struct rq_conditions *cond, int64_t now_ms);
/*
 * Takes the next task from the queue.  With WIRE_REASON_NONE it counts as
 * running and must be started now; otherwise it must be returned.  NULL when
 * nothing is to be done at now_ms.
 */
struct rq_task *rq_next(struct rq *rq, const struct rq_conditions *cond,
    int64_t now_ms, enum wire_reason *reason);
void rq_finished(struct rq *rq);
/* Removes a queued task; NULL when it is not queued.  A running one goes on. */
struct rq_task *rq_withdraw(struct rq *rq, uint64_t entry, uint64_t seq);
/* Removes the first queued task of an entry incarnation; NULL when none. */
struct rq_task *rq_take_of_entry(struct rq *rq, uint64_t entry);

uint32_t rq_queued(const struct rq *rq);
uint32_t rq_running(const struct rq *rq);
void rq_load(const struct rq *rq, const struct rq_conditions *cond,
    struct wire_load *load);

#endif
