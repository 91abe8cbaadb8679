#ifndef SP_ENTRYLINK_H
#define SP_ENTRYLINK_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "version/fresh.h"

/*
 * The agent's connection to one entry, reestablished when it fails.  The old
 * socket is closed before a new one is opened, so messages that were delayed
 * on an old connection are never processed.
 */
struct el;

struct el_handlers {
	/*
	 * Fills a HELLO, apart from key, incarnation, config_version and
	 * sent_ns.  Heartbeats are filled from it too.
	 */
	void (*hello)(struct wire_hello_args *args, void *ctx);
	/*
	 * HELLO was accepted.  previous is the incarnation that last answered
	 * at this address, or 0.  Returning false closes the connection without
	 * a call of closed().
	 */
	bool (*opened)(struct el *el, const struct wire_member *entry,
	    uint64_t previous, void *ctx);
	void (*closed)(struct el *el, uint64_t entry, void *ctx);
	/* el_members() has changed. */
	void (*members)(struct el *el, void *ctx);
	/* The configuration was confirmed or replaced. */
	void (*confirmed)(struct el *el, void *ctx);
	/* The entry received all results up to this number. */
	void (*acked)(struct el *el, uint64_t number, void *ctx);
	/* May take over contents of args; false closes the connection. */
	bool (*start)(struct el *el, struct wire_start_args *args, void *ctx);
	void (*withdraw)(
	    struct el *el, const struct wire_withdraw_args *args, void *ctx);
	/* Fills states, an array with one element for each seq in args. */
	void (*query)(struct el *el, const struct wire_query_args *args,
	    wire_state *states, void *ctx);
	/*
	 * Fills the next results to send; false if there are none.  The array
	 * is freed with g_free(), but not the contents of the results.
	 */
	bool (*results)(
	    struct el *el, struct wire_results_args *args, void *ctx);
};

struct el_options {
	const char *address;	 /* "ip:port"; copied */
	const char *cluster_key; /* outlives the link */
	uint64_t incarnation;	 /* of the agent */
	struct fresh *fresh;	 /* outlives the link */
	int64_t heartbeat_ms;
	/* Timeout of connecting, HELLO, and a connection without input. */
	int64_t silence_ms;
	const struct el_handlers *handlers;
	void *ctx;
};

struct el *el_new(const struct el_options *opts);
/* Closes the connection; only closed() may run before this returns. */
void el_free(struct el *el);
/* Closes the connection and opens a new one after a back-off. */
void el_reconnect(struct el *el, const char *why);

/* Sends one heartbeat soon, before the next regular one. */
void el_request_heartbeat(struct el *el);
/* Sends pending results in the next iteration of the main loop. */
void el_flush(struct el *el);

const char *el_address(const struct el *el);
/* Incarnation of the entry last reached; 0 until the first HELLO. */
uint64_t el_entry_incarnation(const struct el *el);
/* Whether HELLO was accepted on the current connection. */
bool el_is_open(const struct el *el);
/* The list of entries last received; owned by the link. */
const struct wire_member *el_members(const struct el *el, size_t *n);

#endif
