#ifndef SP_SESSIONS_H
#define SP_SESSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "process/status.h"

/*
 * The agent's listener for entries that run tasks under leases.  A session is
 * one connection of an entry; when it closes, its runs are stopped.
 */
struct ses;

struct ses_options {
	const char *listen; /* "ip:port" */
	/* A session closes when its entry has sent nothing for this long. */
	int64_t silence_ms;
	/* worker is what the entry remembers of the agent's worker, or NULL. */
	void (*opened)(uint64_t session, const char *entry,
	    const struct run_statement *worker, void *ctx);
	/* The entry sent the last message that has arrived at last_sent_ms. */
	void (*closed)(uint64_t session, int64_t last_sent_ms,
	    const struct status *why, void *ctx);
	void (*start)(
	    uint64_t session, const struct run_start_args *args, void *ctx);
	void (*cancel)(
	    uint64_t session, const struct run_cancel_args *args, void *ctx);
	/*
	 * Runs before opened(): what the entry has received of RUN_CANCELLED,
	 * from the process source of the agent, up to a position.  NULL: not of
	 * interest.
	 */
	void (*cancels_seen)(
	    uint64_t session, uint64_t source, uint64_t position, void *ctx);
	/* Jobs were cancelled, as the entry has learned. */
	void (*cancelled)(
	    uint64_t session, const struct run_cancelled_args *args, void *ctx);
	/* NULL: not of interest. */
	void (*interference)(uint64_t session,
	    const struct run_interference_args *args, void *ctx);
	void (*on_heartbeat)(
	    uint64_t session, const struct run_heartbeat_args *args, void *ctx);
	void *ctx;
};

struct ses *ses_new(const struct ses_options *opts, struct status *st);
void ses_free(struct ses *ses);

/*
 * When the entry sent the last message that has arrived, on the clock of this
 * process; 0 if there is no such session.
 */
int64_t ses_last_sent_ms(const struct ses *ses, uint64_t session);
/*
 * Whether messages of the session are known to be fast enough on their way that
 * starts may be executed.
 */
bool ses_is_near(const struct ses *ses, uint64_t session);
/* To be called periodically; closes the sessions of silent entries. */
void ses_tick(struct ses *ses);
bool ses_send(struct ses *ses, uint64_t session, uint32_t proc,
    xdrproc_t encode, void *args);
/* Ids of the sessions whose entry has sent RUN_OPEN; freed by the caller. */
uint64_t *ses_ids(const struct ses *ses, uint32_t *n);

#endif
