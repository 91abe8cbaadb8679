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
 * One TCP connection that carries ONC RPC calls both ways, with the record
 * marking of RFC 5531.  A connection is reference counted; the on_closed
 * callback runs exactly once, after which no other callback runs.
 */
struct rpc_conn;

/* A call from the peer.  Valid only during the on_call callback. */
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
	uint32_t prog; /* program spoken here; 0: that of the first call */
	uint32_t max_record_bytes; /* 0: 4 MB + 64 KB */
	uint32_t max_queue_bytes;  /* unsent output; 0: 64 MB */
	int64_t silence_ms; /* close after this without input; 0: never */
	int64_t
	    first_call_timeout_ms; /* close without a call after this; 0: never */
	rpc_call_fn on_call;
	rpc_closed_fn on_closed;
	void *ctx;
};

struct rpc_conn *rpc_new(const struct rpc_options *opts);
struct rpc_conn *rpc_ref(struct rpc_conn *conn);
void rpc_unref(struct rpc_conn *conn);
void rpc_close(struct rpc_conn *conn, enum st_code code, const char *why);
/* Hands an open connection to another owner, from within on_call too. */
void rpc_set_owner(struct rpc_conn *conn, rpc_call_fn on_call,
    rpc_closed_fn on_closed, void *ctx);
/* After this no callback runs; a reply ctx stays with its owner. */
void rpc_detach(struct rpc_conn *conn);
bool rpc_is_open(const struct rpc_conn *conn);
int64_t rpc_silent_ms(const struct rpc_conn *conn);
uint64_t rpc_bytes_out(const struct rpc_conn *conn);
void rpc_export(struct ctr_registry *reg);

bool rpc_send(
    struct rpc_conn *conn, uint32_t proc, xdrproc_t encode, void *args);
bool rpc_request(struct rpc_conn *conn, uint32_t proc, xdrproc_t encode,
    void *args, int64_t timeout_ms, rpc_reply_fn on_reply, void *ctx);
bool rpc_reply(
    struct rpc_conn *conn, uint32_t xid, xdrproc_t encode, void *result);
void rpc_reply_error(
    struct rpc_conn *conn, uint32_t xid, enum accept_stat stat);

#endif
