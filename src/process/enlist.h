#ifndef SP_ENLIST_H
#define SP_ENLIST_H

#include "connection/workerport.h"
#include "version/keyspace.h"

/*
 * The agent's registration in the store.  Entries find the agent's address
 * there.  A restarted agent reads from it which worker it served and need not
 * wait for a heartbeat of that worker.
 */
struct enl;

struct enl_options {
	const struct ks *ks; /* borrowed */
	const char *address; /* "ip:port" at which entries reach the agent */
	/*
	 * Called with the worker that an earlier process registered.  worker is
	 * valid only during the call.
	 */
	void (*recalled)(const struct wp_worker *worker, void *ctx);
	void *ctx;
};

/* Reads the registration that an earlier process wrote. */
struct enl *enl_new(const struct enl_options *opts);
/* Stop the store client first, so that no call in progress calls back. */
void enl_free(struct enl *enl);
/* Registers the worker unless its description is unchanged. */
void enl_update(struct enl *enl, const struct wp_worker *worker);

/*
 * Removes the worker from the registration, since it has left: a later process
 * of this agent must not serve it.
 */
void enl_worker_left(struct enl *enl, const char *instance);
enum enl_verdict {
	ENL_WORKER,
	ENL_NO_WORKER, /* as an agent writes it when its worker has left */
	ENL_MALFORMED  /* not written by an agent */
};

/*
 * Parses a registration and passes its worker, if it names one, to fn, with
 * strings that are valid during the call.  st is set for a malformed one.
 */
enum enl_verdict enl_parse(const char *data, size_t len,
    void (*fn)(const struct wp_worker *worker, void *ctx), void *ctx,
    struct status *st);

/* Key prefix of all registrations; the agent's address follows. */
#define ENL_PREFIX "sequoiaplank/agents/"

#endif
