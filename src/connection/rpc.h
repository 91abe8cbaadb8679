#ifndef SP_RPC_H
#define SP_RPC_H

#include <stdbool.h>
#include <stdint.h>
#include <gio/gio.h>
#include <rpc/rpc.h>
#undef mem_free /* libtirpc's macro hides the function of members.h */

#include "process/counters.h"
#include "process/status.h"

/*
 * A TCP connection that carries ONC RPC calls in both directions, with the
 * record marking of RFC 5531.  It is reference counted.  on_closed runs exactly
 * once, unless the connection is detached or freed before, and no other
 * callback runs after it.
 */
struct rpc_conn;

/* A call from the peer, valid only during the on_call callback. */
struct rpc_call {
	uint32_t xid;
	uint32_t prog;
	uint32_t proc;
	XDR *args;
};

typedef void (*rpc_call_fn)(
    struct rpc_conn *conn, const struct rpc_call *call, void *ctx);
typedef void (*rpc_closed_fn)(
    struct rpc_conn *conn, const struct status *why, void *ctx);
/* result is NULL when st->code is not ST_OK. */
typedef void (*rpc_reply_fn)(
    struct rpc_conn *conn, const struct status *st, XDR *result, void *ctx);

struct rpc_options {
	GSocketConnection *socket; /* a reference is taken */
	uint32_t prog; /* RPC program; 0: that of the peer's first call */
	uint32_t max_record_bytes; /* 0: 4 MB + 64 KB */
	uint32_t max_queue_bytes;  /* unsent output; 0: 64 MB */
	int64_t silence_ms; /* closes after this time without input; 0: never */
	/* Closes unless a call arrives within this time; 0: no limit. */
	int64_t first_call_timeout_ms;
	/*
	 * Accepted, so that it counts against the limits of connlimit.h; it is a
	 * link from its first call on.
	 */
	bool accepted;
	rpc_call_fn on_call;
	rpc_closed_fn on_closed;
	void *ctx;
};

struct rpc_conn *rpc_new(const struct rpc_options *opts);
struct rpc_conn *rpc_ref(struct rpc_conn *conn);
void rpc_unref(struct rpc_conn *conn);
/*
 * Closes the socket at once.  Pending requests fail and on_closed runs later,
 * from the main loop, so that the caller is not re-entered.
 */
void rpc_close(struct rpc_conn *conn, enum st_code code, const char *why);
/* Replaces the callbacks and their ctx; may be called within on_call. */
void rpc_set_owner(struct rpc_conn *conn, rpc_call_fn on_call,
    rpc_closed_fn on_closed, void *ctx);
/*
 * Closes the connection and drops all callbacks, so that the owner may free its
 * ctx.  The ctx of a pending request remains the property of its owner.
 */
void rpc_detach(struct rpc_conn *conn);
bool rpc_is_open(const struct rpc_conn *conn);
/* Time since the last input. */
int64_t rpc_idle_ms(const struct rpc_conn *conn);
/* Number of bytes queued for sending since rpc_new(). */
uint64_t rpc_bytes_out(const struct rpc_conn *conn);
/* Copies the totals of all connections of the process to its counters. */
void rpc_export(struct ctr_registry *reg);

/*
 * Sends a call without a reply (batching, RFC 5531 section 8).  Returns false
 * when it was not queued: the connection is closed, or the arguments are
 * invalid or larger than a record.
 */
bool rpc_send(
    struct rpc_conn *conn, uint32_t proc, xdrproc_t encode, void *args);
/*
 * Sends a call and runs on_reply once: with the reply, with ST_TIMEOUT after
 * timeout_ms, or with the reason when the connection closes.  Returns false,
 * without a callback, when the call was not queued.
 */
bool rpc_request(struct rpc_conn *conn, uint32_t proc, xdrproc_t encode,
    void *args, int64_t timeout_ms, rpc_reply_fn on_reply, void *ctx);
/* Returns false when the reply was not queued. */
bool rpc_reply(
    struct rpc_conn *conn, uint32_t xid, xdrproc_t encode, void *result);
/* Answers a call with an RPC error such as PROC_UNAVAIL or GARBAGE_ARGS. */
void rpc_reply_error(
    struct rpc_conn *conn, uint32_t xid, enum accept_stat stat);

#endif
