#ifndef SP_JOBENTRY_H
#define SP_JOBENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/counters.h"
#include "process/status.h"
#include "request/work.h"
#include "version/keyspace.h"
#include "version/routes.h"

/*
 * The entry for jobs whose tasks run under leases.  Callers choose the ids
 * of jobs and may send them again to any entry.
 */
struct je;

/* How a call ended; what it means on the wire is up to the adapter. */
enum je_result {
	JE_COMPLETED,
	JE_JOB_FAILED,
	JE_NO_QUEUE,
	JE_NOT_READY,  /* no configuration yet; nothing ran */
	JE_REFUSED,    /* nothing ran and nothing will */
	JE_OVERLOADED, /* as above; come again after retry_ms */
	JE_TIMEOUT,    /* tasks may have run */
	JE_ABORTED,    /* as above, and the job may be sent again */
	JE_UNKNOWN_JOB,
	JE_RUNNING,
	JE_PENDING_COUNT
};

struct je_answer {
	enum je_result result;
	const char *reason;
	int64_t retry_ms;
	uint32_t pending; /* JE_PENDING_COUNT */
};

typedef void (*je_answer_fn)(const struct je_answer *answer, void *ctx);

/* Where the adapter finds things in the store, and what they mean. */
struct je_store_layout {
	const char *operators_prefix;
	/* NULL when the items hold no valid configuration. */
	struct rts *(*routes)(GHashTable *items, struct status *st);
	/* Failure domains that are out; g_strfreev() frees them. */
	char **(*out)(GHashTable *items);
};

struct je_options {
	const char *name;
	const char *failure_domain;
	const struct ks *ks;		      /* borrowed */
	const struct je_store_layout *layout; /* borrowed */
	double cross_rack_factor;
	int64_t lease_ms; /* longest lease of a worker */
	int64_t drain_ms;
	struct ctr_registry *counters; /* borrowed */
	/* The first configuration was read. */
	void (*configured)(void *ctx);
	void (*drained)(void *ctx);
	void *ctx;
};

struct je *je_new(const struct je_options *opts);
void je_free(struct je *je);

bool je_is_ready(const struct je *je);
bool je_is_draining(const struct je *je);
/* NULL without a configuration. */
const struct rts *je_routes(const struct je *je);

/* A job; job is taken over.  Returns a ticket for je_abandon(), or 0. */
uint64_t je_submit(struct je *je, const char *host, const char *path,
    struct wk_job *job, int64_t deadline_ms, je_answer_fn fn, void *ctx);
/* The caller has gone: fn does not run, the job's tasks are stopped. */
void je_abandon(struct je *je, uint64_t ticket);
void je_query_state(struct je *je, const char *host, const char *path,
    const char *job, je_answer_fn fn, void *ctx);
void je_cancel(struct je *je, const char *host, const char *path,
    const char *job, je_answer_fn fn, void *ctx);
void je_count_pending(struct je *je, const char *host, const char *path,
    je_answer_fn fn, void *ctx);
void je_drain(struct je *je);

#endif
