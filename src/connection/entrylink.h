#ifndef SP_ENTRYLINK_H
#define SP_ENTRYLINK_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "version/fresh.h"

/*
 * The agent's side of one entry: keeps one connection open to its address
 * and replaces it when it fails.  The old socket is closed before a new one
 * is opened, so nothing delayed on an old connection is ever processed.
 */
struct el;

struct el_handlers {
	/* Fills everything but key, incarnation, version and send time. */
	void (*hello)(struct wire_hello_args *args, void *ctx);
	/*
	 * HELLO was accepted; previous is the incarnation last reached at this
	 * address, or 0.  False closes the connection, without closed().
	 */
	bool (*opened)(struct el *el, const struct wire_member *entry,
	    uint64_t previous, void *ctx);
	void (*closed)(struct el *el, uint64_t entry, void *ctx);
	void (*members)(struct el *el, void *ctx);
	/* The configuration was confirmed or replaced. */
	void (*confirmed)(struct el *el, void *ctx);
	void (*acked)(struct el *el, uint64_t number, void *ctx);
	/* May take contents of args; false closes the connection. */
	bool (*start)(struct el *el, struct wire_start_args *args, void *ctx);
	void (*withdraw)(
	    struct el *el, const struct wire_withdraw_args *args, void *ctx);
	/* Fills a state for each seq asked; the array has room for them. */
	void (*query)(struct el *el, const struct wire_query_args *args,
	    wire_state *states, void *ctx);
	/* Next results to send; args->results_val is freed with g_free(). */
	bool (*results)(
	    struct el *el, struct wire_results_args *args, void *ctx);
};

struct el_options {
	const char *address;	 /* "ip:port"; copied */
	const char *cluster_key; /* outlives the link */
	uint64_t incarnation;	 /* of the agent */
	struct fresh *fresh;	 /* outlives the link */
	int64_t heartbeat_ms;
	int64_t silence_ms;
	const struct el_handlers *handlers;
	void *ctx;
};

struct el *el_new(const struct el_options *opts);
/* Closes the connection; only closed() may run before this returns. */
void el_free(struct el *el);
/* Replaces the connection, for a process that was paused. */
void el_reconnect(struct el *el, const char *why);

/* Sends a heartbeat at once, together with others asked for meanwhile. */
void el_request_heartbeat(struct el *el);
/* Sends waiting results in the next loop iteration. */
void el_flush(struct el *el);

const char *el_address(const struct el *el);
uint64_t el_entry_incarnation(
    const struct el *el);	      /* 0 until the first HELLO */
bool el_is_open(const struct el *el); /* HELLO accepted, not closed since */
/* Entry list as last told on this connection; owned by the link. */
const struct wire_member *el_members(const struct el *el, size_t *n);

#endif
