#ifndef SP_SESSIONS_H
#define SP_SESSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "process/status.h"

/*
 * The agent's side of the entries that connect to it.  A session is one
 * connection; its runs end with it.
 */
struct ses;

struct ses_options {
	const char *listen; /* "ip:port" */
	int64_t silence_ms; /* a session without input for this long ends */
	void (*opened)(uint64_t session, const char *entry, void *ctx);
	void (*closed)(uint64_t session, const struct status *why, void *ctx);
	void (*start)(
	    uint64_t session, const struct run_start_args *args, void *ctx);
	void (*cancel)(
	    uint64_t session, const struct run_cancel_args *args, void *ctx);
	void (*on_heartbeat)(
	    uint64_t session, const struct run_heartbeat_args *args, void *ctx);
	void *ctx;
};

struct ses *ses_new(const struct ses_options *opts, struct status *st);
void ses_free(struct ses *ses);

/* Whether the entry was heard recently enough for a start now. */
bool ses_is_live(const struct ses *ses, uint64_t session);
bool ses_send(struct ses *ses, uint64_t session, uint32_t proc,
    xdrproc_t encode, void *args);
/* Ids of the open sessions, owned by the caller. */
uint64_t *ses_ids(const struct ses *ses, uint32_t *n);

#endif
