#ifndef SP_PEERLINK_H
#define SP_PEERLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/rpc.h"
#include "connection/wire_xdr.h"
#include "process/counters.h"

/*
 * Connections between entries.  Each entry opens one connection to every peer
 * for its own calls, and accepts connections for the calls of the peers.
 */
struct pl_set;

#define PL_MAX_PEERS	  WIRE_MEMBERS_MAX
#define PL_MAX_BODY_BYTES 4194304U /* of a forwarded request or its answer */

/* status is the HTTP status, 0: no answer. */
typedef void (*pl_answer_fn)(
    uint32_t status, const char *body, size_t len, void *ctx);

struct pl_options {
	const char *cluster_key; /* borrowed, as are all pointers below */
	const wire_member *self; /* this entry */
	struct ctr_registry *counters;
	/* Timeout of PEER_HELLO, PEER_STATUS and connections without input. */
	int64_t silence_ms;
	int64_t status_ms; /* interval of PEER_STATUS */
	/*
	 * Fills the answer to a PEER_STATUS of a peer that holds configuration
	 * version held.  Its pointers must stay valid until the reply is sent.
	 */
	void (*fill_status)(
	    uint64_t held, wire_peer_status_result *result, void *ctx);
	uint64_t (*version_held)(void *ctx);
	/* A peer answered a PEER_STATUS that was sent at sent_ms. */
	void (*on_status)(
	    const wire_peer_status_result *result, int64_t sent_ms, void *ctx);
	/*
	 * Handles a request that a peer forwarded.  Returns NULL if fn was
	 * called before the return.  Otherwise fn is called later, unless
	 * cancel_job() is called with the returned value first.
	 */
	void *(*on_job)(const wire_peer_job_args *args, pl_answer_fn fn,
	    void *fn_ctx, void *ctx);
	void (*cancel_job)(void *job, void *ctx);
	void *ctx;
};

struct pl_set *pl_set_new(const struct pl_options *opts);
void pl_set_free(struct pl_set *set);
/* Replaces the addresses to dial; only the first PL_MAX_PEERS are used. */
void pl_set_targets(struct pl_set *set, const char *const *addresses, size_t n);
/*
 * Takes over a connection whose first call is a valid PEER_HELLO, with its own
 * reference; closes any other connection.
 */
void pl_accept(
    struct pl_set *set, struct rpc_conn *conn, const struct rpc_call *hello);
/* Whether requests can be forwarded to this entry incarnation. */
bool pl_is_connected(const struct pl_set *set, uint64_t incarnation);
/*
 * Sends a request about a job to the entry that owns it.  If this returns
 * true, fn runs exactly once.
 */
bool pl_forward(struct pl_set *set, uint64_t incarnation,
    wire_peer_job_args *args, pl_answer_fn fn, void *ctx);

#endif
