#ifndef SP_JOBENTRY_H
#define SP_JOBENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/counters.h"
#include "process/entryconfig.h"
#include "process/status.h"
#include "request/sched.h"
#include "request/work.h"
#include "version/keyspace.h"
#include "version/routes.h"

/*
 * An entry for jobs whose tasks run under leases.  Callers choose the ids of
 * jobs and may submit the same job again, to this entry or to another one.
 */
struct je;

/* Result of a call; the adapter maps it to a response of its protocol. */
enum je_result {
	JE_COMPLETED,
	JE_JOB_FAILED,
	JE_NO_QUEUE,
	JE_NOT_READY,  /* no configuration was read yet; no task ran */
	JE_REFUSED,    /* no task of the job ran or will run */
	JE_OVERLOADED, /* no task ran or will run; retry after retry_ms */
	JE_TIMEOUT,    /* the deadline passed; tasks may have run */
	JE_ABORTED,    /* tasks may have run; the job may be sent again */
	JE_UNKNOWN_JOB,
	JE_RUNNING,
	JE_PENDING_COUNT
};

struct je_answer {
	enum je_result result;
	const char *reason;
	int64_t retry_ms;
	uint32_t pending; /* jobs without a started task */
};

typedef void (*je_answer_fn)(const struct je_answer *answer, void *ctx);

struct je_options {
	const char *name;
	const char *failure_domain;
	const struct ks *ks;		 /* borrowed */
	const struct ecf_layout *layout; /* borrowed */
	/*
	 * Run time assumed outside the preferred rack, where a task's data is,
	 * as a multiple of the run time inside it.
	 */
	double cross_rack_factor;
	/* Agents that the entry connects to at least, if there are as many. */
	uint32_t agent_connections;
	struct sch_policy policy;
	/* Whether to place by the interference that agents measure. */
	bool interference;
	uint32_t max_open_tasks;       /* of all open jobs; 0: 100,000 */
	uint32_t max_runs;	       /* of an agent at a time; 0: 512 */
	uint32_t cancelled_jobs;       /* that are remembered */
	int64_t lease_ms;	       /* longest lease that a worker grants */
	int64_t drain_ms;	       /* longest time of a graceful shutdown */
	struct ctr_registry *counters; /* borrowed */
	/* Runs once, when a valid configuration and the cancelled jobs were read. */
	void (*configured)(void *ctx);
	/* Runs once, when the shutdown begun by je_drain() is complete. */
	void (*drained)(void *ctx);
	void *ctx;
};

struct je *je_new(const struct je_options *opts);
/* Calls in progress get no answer. */
void je_free(struct je *je);

bool je_is_ready(const struct je *je);
bool je_is_draining(const struct je *je);
/* NULL until a configuration was read. */
const struct rts *je_routes(const struct je *je);

/*
 * Takes over job; fn runs once with the result.  Returns a ticket for
 * je_abandon(), or 0 when fn has run already.
 */
uint64_t je_submit(struct je *je, const char *host, const char *path,
    struct wk_job *job, int64_t deadline_ms, je_answer_fn fn, void *ctx);
/* The caller has disconnected: fn does not run, and the job is cancelled. */
void je_abandon(struct je *je, uint64_t ticket);
/*
 * The thread that serves the callers ran at at_ms.  To be called every 50 ms, if
 * it is another one than that of the entry.
 */
void je_clients_tick(struct je *je, int64_t at_ms);
/* Records a job whose connection had ended before its request was read. */
void je_record_gone(struct je *je, const char *job);
/* Answers JE_RUNNING while the job is open here, else JE_UNKNOWN_JOB. */
void je_query_state(struct je *je, const char *host, const char *path,
    const char *job, je_answer_fn fn, void *ctx);
/*
 * Cancels a job, also one that another entry has.  Answers JE_RUNNING when no
 * entry that is in touch goes on with it or accepts it again, and JE_REFUSED
 * when that can't be told; one that is open here ends at once in any case.
 */
void je_cancel(struct je *je, const char *host, const char *path,
    const char *job, je_answer_fn fn, void *ctx);
/* Answers the number of jobs of the queue that have no started task. */
void je_count_pending(struct je *je, const char *host, const char *path,
    je_answer_fn fn, void *ctx);
/* Starts a graceful shutdown. */
void je_drain(struct je *je);

#endif
