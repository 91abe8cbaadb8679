#ifndef SP_LISTENER_H
#define SP_LISTENER_H

#include <stdint.h>

#include "connection/agentlink.h"
#include "connection/peerlink.h"
#include "process/status.h"

/*
 * The entry's RPC listener.  The first call on a connection shows whether an
 * agent or another entry called, and the connection goes to its owner.
 */
struct ln;

struct ln_options {
	const char *listen;    /* "ip:port"; borrowed */
	struct al_set *agents; /* borrowed */
	struct pl_set *peers;  /* borrowed */
	int64_t silence_ms;
};

/* NULL with a status when the address can't be bound. */
struct ln *ln_new(const struct ln_options *opts, struct status *st);
/* Closes the listener and the connections without a call; NULL is allowed. */
void ln_free(struct ln *ln);

#endif
