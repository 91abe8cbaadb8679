#ifndef SP_LISTENER_H
#define SP_LISTENER_H

#include <stdint.h>

#include "connection/agentlink.h"
#include "connection/peerlink.h"
#include "process/status.h"

/*
 * The entry's RPC listener.  By the program number of its first call, a
 * connection is passed to the set of agents or to the set of peers.
 */
struct ln;

struct ln_options {
	const char *listen;    /* "ip:port"; borrowed */
	struct al_set *agents; /* borrowed */
	struct pl_set *peers;  /* borrowed */
	/* Timeout of connections without input, and of the first call. */
	int64_t silence_ms;
};

/* Returns NULL, with the reason in st, when the address can't be bound. */
struct ln *ln_new(const struct ln_options *opts, struct status *st);
/* Also closes connections that have not made a call; ln may be NULL. */
void ln_free(struct ln *ln);

#endif
