#ifndef SP_PEERLINK_H
#define SP_PEERLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/rpc.h"
#include "connection/wire_xdr.h"
#include "process/counters.h"

/*
 * Connections between entries: one outgoing connection to each peer, for the
 * calls of this entry, and the peers' connections for theirs.
 */
struct pl_set;

#define PL_MAX_PEERS WIRE_MEMBERS_MAX
#define PL_MAX_BODY  4194304U /* of a forwarded request or its answer */

/* status 0: no answer. */
typedef void (*pl_answer_fn)(
    uint32_t status, const char *body, size_t len, void *ctx);

struct pl_options {
	const char *cluster_key; /* borrowed, as everything below */
	const wire_member *self;
	struct ctr_registry *counters;
	int64_t silence_ms;
	int64_t status_ms; /* interval of PEER_STATUS */
	/* Fills an answer to PEER_STATUS; its pointers stay valid shortly. */
	void (*fill_status)(
	    uint64_t held, wire_peer_status_result *result, void *ctx);
	uint64_t (*version_held)(void *ctx);
	/* A peer answered a PEER_STATUS that was sent at sent_ms. */
	void (*on_status)(
	    const wire_peer_status_result *result, int64_t sent_ms, void *ctx);
	/* A forwarded request.  NULL: answered; else cancel_job() may follow. */
	void *(*on_job)(const wire_peer_job_args *args, pl_answer_fn fn,
	    void *fn_ctx, void *ctx);
	void (*cancel_job)(void *job, void *ctx);
	void *ctx;
};

struct pl_set *pl_set_new(const struct pl_options *opts);
void pl_set_free(struct pl_set *set);
/* Dials these and no others; n is cut to PL_MAX_PEERS. */
void pl_set_targets(struct pl_set *set, const char *const *addresses, size_t n);
/* As al_accept(), for a connection whose first call is a PEER_HELLO. */
void pl_accept(
    struct pl_set *set, struct rpc_conn *conn, const struct rpc_call *hello);
bool pl_is_connected(const struct pl_set *set, uint64_t incarnation);
/* fn runs exactly once when this returns true. */
bool pl_forward(struct pl_set *set, uint64_t incarnation,
    wire_peer_job_args *args, pl_answer_fn fn, void *ctx);

#endif
