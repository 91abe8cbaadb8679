#ifndef SP_JOBCANCEL_H
#define SP_JOBCANCEL_H

#include <stdbool.h>
#include <stdint.h>

#include "process/agentpool.h"
#include "process/counters.h"
#include "process/jobentry.h"
#include "version/keyspace.h"
#include "version/routes.h"

/*
 * Cancelled jobs at an entry: which jobs are open under which key, which are
 * cancelled, and whether all other entries learn of a cancel, by the agents or
 * by the store, and the store outlives them.  Keys are those of
 * request/cancelled.h.
 */
struct jcn;

struct jcn_options {
	const struct ks *ks;	       /* borrowed */
	struct ctr_registry *counters; /* borrowed */
	uint32_t max_jobs; /* that are remembered, as in ccl_new() */
	/* Ends a job that is open here, and answers its caller. */
	void (*cancel_open)(const char *job, void *ctx);
	/* Runs once, when jcn_is_loaded() becomes true. */
	void (*loaded)(void *ctx);
	void *ctx;
};

struct jcn *jcn_new(const struct jcn_options *opts);
/* NULL is allowed.  Calls in progress get no answer. */
void jcn_free(struct jcn *jcn);
/* To be called before the first tick; agents is borrowed. */
void jcn_set_agents(struct jcn *jcn, struct agp *agents);
/* What the options of agents take. */
struct agp_cancels jcn_receiver(struct jcn *jcn);
void jcn_tick(struct jcn *jcn);

/* A job is open here, or no longer. */
void jcn_opened(struct jcn *jcn, const char *job, uint64_t key);
void jcn_closed(struct jcn *jcn, const char *job);
/* Key of a job that is open here; 0: it is not. */
uint64_t jcn_key_of(const struct jcn *jcn, const char *job);
/* Whether the job is open here under this key, not under that of another path. */
bool jcn_is_open(const struct jcn *jcn, uint64_t key, const char *job);
/* Whether the jobs that were cancelled before this process began are known. */
bool jcn_is_loaded(const struct jcn *jcn);
/* Certain only with jcn_is_loaded(). */
bool jcn_is_cancelled(const struct jcn *jcn, uint64_t key);

/* The configuration has changed; routes may be NULL. */
void jcn_routes_changed(struct jcn *jcn, const struct rts *routes);
/* Whether the path may be that of a job whose route was removed lately. */
bool jcn_may_have_had_route(
    struct jcn *jcn, const char *host, const char *path, const char *job);

/*
 * A caller cancels the job, which ends at once if it is open here.  Answers
 * JE_RUNNING when no entry that is in touch goes on with it or accepts it again,
 * also after all processes have ended, else JE_REFUSED.
 */
void jcn_cancel(
    struct jcn *jcn, uint64_t key, const char *job, je_answer_fn fn, void *ctx);

#endif
