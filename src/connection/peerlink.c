#include <string.h>

#include "connection/peerlink.h"
#include "process/clock.h"
#include "process/log.h"
#include "request/refusal.h"

#define FORWARD_MARGIN_MS 5000 /* added to the wait that the caller asked for */

/* One outgoing connection. */
struct peer {
	struct pl_set *set; /* NULL after the peer was removed */
	char *address;
	struct rpc_conn *conn;
	GCancellable *connecting;
	uint64_t incarnation; /* 0 before PEER_HELLO is answered */
};

/* One connection of a peer to this entry. */
struct inbound {
	struct pl_set *set;
	struct rpc_conn *conn;
	GPtrArray *jobs; /* unanswered struct inbound_job */
};

/* A request that the peer forwarded to this entry. */
struct inbound_job {
	struct inbound *in;
	uint32_t xid;
	void *job;
};

/* A request that this entry forwarded to a peer. */
struct forwarded {
	pl_answer_fn fn;
	void *ctx;
};

/* An unanswered PEER_STATUS. */
struct status_request {
	struct pl_set *set;
	int64_t sent_ms;
};

struct pl_set {
	struct pl_options opts;
	GHashTable *peers;    /* address -> struct peer */
	GHashTable *inbounds; /* set of struct inbound */
	guint tick_id;
	int64_t *connected;
	int64_t *jobs_received;
};

static void
drop_conn(struct peer *peer)
{
	if (peer->conn != NULL) {
		rpc_detach(peer->conn);
		rpc_unref(peer->conn);
		peer->conn = NULL;
	}
	if (peer->incarnation != 0 && peer->set != NULL)
		(*peer->set->connected)--;
	peer->incarnation = 0;
}

static void
free_peer(struct peer *peer)
{
	g_clear_object(&peer->connecting);
	g_free(peer->address);
	g_free(peer);
}

/* Called when the address is removed from the targets. */
static void
remove_peer(gpointer data)
{
	struct peer *peer = data;

	if (peer->incarnation != 0)
		(*peer->set->connected)--;
	peer->incarnation = 0;
	peer->set = NULL;
	/* on_closed() or on_connected() frees it later. */
	if (peer->conn != NULL)
		rpc_close(peer->conn, ST_UNAVAILABLE, "peer removed");
	else if (peer->connecting != NULL)
		g_cancellable_cancel(peer->connecting);
	else
		free_peer(peer);
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct peer *peer = ctx;

	(void)conn;
	if (peer->set != NULL && peer->incarnation != 0)
		log_line(LOG_NOTICE, "peer %s: connection lost: %s",
		    peer->address, why->message);
	drop_conn(peer);
	if (peer->set == NULL)
		free_peer(peer);
}

static void
on_hello_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct peer *peer = ctx;
	wire_peer_hello_result result;

	if (st->code != ST_OK || peer->set == NULL)
		return;
	memset(&result, 0, sizeof(result));
	if (!xdr_wire_peer_hello_result(xdrs, &result) || !result.accepted) {
		rpc_close(conn, ST_INVALID, "the peer refused PEER_HELLO");
	} else {
		peer->incarnation = result.entry.incarnation;
		(*peer->set->connected)++;
		log_line(LOG_INFO, "peer %s connected", peer->address);
	}
	xdr_free((xdrproc_t)xdr_wire_peer_hello_result, &result);
}

static void
send_hello(struct peer *peer, GSocketConnection *socket)
{
	const struct pl_options *opts = &peer->set->opts;
	struct rpc_options options = {
	    .socket = socket,
	    .prog = WIRE_PEER_PROG,
	    .silence_ms = opts->silence_ms,
	    .on_closed = on_closed,
	    .ctx = peer,
	};
	wire_peer_hello_args args = {
	    .key = (char *)opts->cluster_key,
	    .entry = *opts->self,
	};

	/* Resets the timeout for connecting, inherited from the client. */
	g_socket_set_timeout(g_socket_connection_get_socket(socket), 0);
	peer->conn = rpc_new(&options);
	if (!rpc_request(peer->conn, WIRE_PEER_HELLO,
		(xdrproc_t)xdr_wire_peer_hello_args, &args, opts->silence_ms,
		on_hello_reply, peer))
		rpc_close(peer->conn, ST_INTERNAL, "PEER_HELLO was not sent");
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct peer *peer = data;
	GSocketConnection *socket;

	socket = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	g_clear_object(&peer->connecting);
	if (peer->set == NULL)
		free_peer(peer);
	else if (socket != NULL)
		send_hello(peer, socket);
	g_clear_object(&socket);
}

static void
dial(struct peer *peer)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnectable *address =
	    g_network_address_parse(peer->address, 0, NULL);

	if (address != NULL) {
		g_socket_client_set_timeout(client, 1);
		peer->connecting = g_cancellable_new();
		g_socket_client_connect_async(
		    client, address, peer->connecting, on_connected, peer);
		g_object_unref(address);
	}
	g_object_unref(client);
}

static void
on_status_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct status_request *status_request = ctx;
	struct pl_set *set = status_request->set;
	wire_peer_status_result result;

	memset(&result, 0, sizeof(result));
	if (st->code == ST_OK) {
		if (xdr_wire_peer_status_result(xdrs, &result))
			set->opts.on_status(
			    &result, status_request->sent_ms, set->opts.ctx);
		else
			rpc_close(conn, ST_INVALID, "malformed PEER_STATUS");
		xdr_free((xdrproc_t)xdr_wire_peer_status_result, &result);
	}
	g_free(status_request);
}

static void
request_status(struct peer *peer)
{
	const struct pl_options *opts = &peer->set->opts;
	wire_peer_status_args args = {
	    .config_version = opts->version_held(opts->ctx),
	};
	struct status_request *status_request =
	    g_new0(struct status_request, 1);

	status_request->set = peer->set;
	status_request->sent_ms = clk_now_ms();
	if (!rpc_request(peer->conn, WIRE_PEER_STATUS,
		(xdrproc_t)xdr_wire_peer_status_args, &args, opts->silence_ms,
		on_status_reply, status_request))
		g_free(status_request);
}

static gboolean
on_tick(gpointer data)
{
	struct pl_set *set = data;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->conn == NULL && peer->connecting == NULL)
			dial(peer);
		else if (peer->incarnation != 0)
			request_status(peer);
	}
	return G_SOURCE_CONTINUE;
}

struct pl_set *
pl_set_new(const struct pl_options *opts)
{
	struct pl_set *set = g_new0(struct pl_set, 1);

	set->opts = *opts;
	set->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, remove_peer);
	set->inbounds = g_hash_table_new(NULL, NULL);
	set->connected = ctr_gauge(opts->counters, "sp_peers_connected",
	    "outgoing connections to other entries");
	set->jobs_received = ctr_counter(opts->counters, "sp_peer_jobs_total",
	    "job requests received from other entries");
	set->tick_id = g_timeout_add((guint)opts->status_ms, on_tick, set);
	return set;
}

void
pl_set_targets(struct pl_set *set, const char *const *addresses, size_t n)
{
	GHashTable *wanted = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	struct peer *peer;
	gpointer key;
	size_t i;

	for (i = 0; i < MIN(n, PL_MAX_PEERS); i++)
		g_hash_table_add(wanted, (char *)addresses[i]);
	g_hash_table_iter_init(&iter, set->peers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(wanted, key))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, wanted);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(set->peers, key))
			continue;
		peer = g_new0(struct peer, 1);
		peer->set = set;
		peer->address = g_strdup(key);
		g_hash_table_insert(set->peers, peer->address, peer);
		dial(peer);
	}
	g_hash_table_unref(wanted);
}

static struct peer *
find_peer(const struct pl_set *set, uint64_t incarnation)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->incarnation == incarnation && peer->conn != NULL &&
		    rpc_is_open(peer->conn))
			return peer;
	}
	return NULL;
}

bool
pl_is_connected(const struct pl_set *set, uint64_t incarnation)
{
	return incarnation != 0 && find_peer(set, incarnation) != NULL;
}

static void
on_job_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct forwarded *fwd = ctx;
	wire_peer_job_result result;

	memset(&result, 0, sizeof(result));
	if (st->code != ST_OK) {
		fwd->fn(0, NULL, 0, fwd->ctx);
	} else if (!xdr_wire_peer_job_result(xdrs, &result)) {
		rpc_close(conn, ST_INVALID, "malformed answer to PEER_JOB");
		fwd->fn(0, NULL, 0, fwd->ctx);
	} else {
		fwd->fn(result.status, result.body.body_val,
		    result.body.body_len, fwd->ctx);
	}
	xdr_free((xdrproc_t)xdr_wire_peer_job_result, &result);
	g_free(fwd);
}

bool
pl_forward(struct pl_set *set, uint64_t incarnation, wire_peer_job_args *args,
    pl_answer_fn fn, void *ctx)
{
	struct peer *peer = find_peer(set, incarnation);
	struct forwarded *fwd;

	if (peer == NULL)
		return false;
	fwd = g_new0(struct forwarded, 1);
	fwd->fn = fn;
	fwd->ctx = ctx;
	if (rpc_request(peer->conn, WIRE_PEER_JOB,
		(xdrproc_t)xdr_wire_peer_job_args, args,
		args->wait_ms + FORWARD_MARGIN_MS, on_job_reply, fwd))
		return true;
	g_free(fwd);
	return false;
}

static void
free_inbound(struct inbound *in)
{
	const struct pl_options *opts = &in->set->opts;
	guint i;

	for (i = 0; i < in->jobs->len; i++) {
		struct inbound_job *inbound_job = in->jobs->pdata[i];

		opts->cancel_job(inbound_job->job, opts->ctx);
		g_free(inbound_job);
	}
	g_ptr_array_unref(in->jobs);
	rpc_detach(in->conn);
	rpc_unref(in->conn);
	g_free(in);
}

static void
on_inbound_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct inbound *in = ctx;

	(void)conn;
	(void)why;
	g_hash_table_remove(in->set->inbounds, in);
	free_inbound(in);
}

static void
send_answer(struct rpc_conn *conn, uint32_t xid, uint32_t status,
    const char *body, size_t len)
{
	wire_peer_job_result result;
	char *refusal = NULL;

	if (len > PL_MAX_BODY_BYTES) {
		refusal = ref_json(REF_ANSWER_NOT_FORWARDED,
		    "the answer is kept by the entry that owns the job");
		status = ref_http_status(REF_ANSWER_NOT_FORWARDED);
		body = refusal;
		len = strlen(refusal);
	}
	result.status = status;
	result.body.body_val = (char *)body;
	result.body.body_len = len;
	rpc_reply(conn, xid, (xdrproc_t)xdr_wire_peer_job_result, &result);
	g_free(refusal);
}

static void
on_job_done(uint32_t status, const char *body, size_t len, void *ctx)
{
	struct inbound_job *inbound_job = ctx;
	struct inbound *in = inbound_job->in;

	g_ptr_array_remove_fast(in->jobs, inbound_job);
	send_answer(in->conn, inbound_job->xid, status, body, len);
	g_free(inbound_job);
}

static void
serve_job(struct inbound *in, const struct rpc_call *call)
{
	const struct pl_options *opts = &in->set->opts;
	wire_peer_job_args args;
	struct inbound_job *inbound_job;
	void *job;

	memset(&args, 0, sizeof(args));
	if (!xdr_wire_peer_job_args(call->args, &args)) {
		rpc_close(in->conn, ST_INVALID, "malformed PEER_JOB");
		goto out;
	}
	(*in->set->jobs_received)++;
	inbound_job = g_new0(struct inbound_job, 1);
	inbound_job->in = in;
	inbound_job->xid = call->xid;
	g_ptr_array_add(in->jobs, inbound_job);
	job = opts->on_job(&args, on_job_done, inbound_job, opts->ctx);
	if (job != NULL) /* otherwise on_job_done() freed inbound_job */
		inbound_job->job = job;
out:
	xdr_free((xdrproc_t)xdr_wire_peer_job_args, &args);
}

static void
serve_status(struct inbound *in, const struct rpc_call *call)
{
	const struct pl_options *opts = &in->set->opts;
	wire_peer_status_args args;
	wire_peer_status_result result;

	memset(&args, 0, sizeof(args));
	if (!xdr_wire_peer_status_args(call->args, &args)) {
		rpc_close(in->conn, ST_INVALID, "malformed PEER_STATUS");
		return;
	}
	memset(&result, 0, sizeof(result));
	opts->fill_status(args.config_version, &result, opts->ctx);
	rpc_reply(in->conn, call->xid, (xdrproc_t)xdr_wire_peer_status_result,
	    &result);
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	switch (call->proc) {
	case WIRE_PEER_STATUS:
		serve_status(ctx, call);
		return;
	case WIRE_PEER_JOB:
		serve_job(ctx, call);
		return;
	default:
		rpc_close(conn, ST_INVALID, "unexpected call from a peer");
	}
}

static bool
is_accepted(const struct pl_set *set, const wire_peer_hello_args *args)
{
	/* Digests are compared so that the timing does not reveal the key. */
	char *want = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, set->opts.cluster_key, -1);
	char *got =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, args->key, -1);
	bool same = strcmp(want, got) == 0;

	g_free(want);
	g_free(got);
	return same && args->entry.incarnation != 0 &&
	       args->entry.incarnation != set->opts.self->incarnation &&
	       g_hash_table_size(set->inbounds) < PL_MAX_PEERS;
}

static void
accept_peer(struct pl_set *set, struct rpc_conn *conn, uint32_t xid)
{
	wire_peer_hello_result result = {
	    .accepted = TRUE,
	    .entry = *set->opts.self,
	};
	struct inbound *in = g_new0(struct inbound, 1);

	in->set = set;
	in->conn = rpc_ref(conn);
	in->jobs = g_ptr_array_new();
	g_hash_table_add(set->inbounds, in);
	rpc_set_owner(conn, on_call, on_inbound_closed, in);
	rpc_reply(conn, xid, (xdrproc_t)xdr_wire_peer_hello_result, &result);
}

void
pl_accept(
    struct pl_set *set, struct rpc_conn *conn, const struct rpc_call *hello)
{
	wire_peer_hello_args args;

	memset(&args, 0, sizeof(args));
	if (hello->proc != WIRE_PEER_HELLO ||
	    !xdr_wire_peer_hello_args(hello->args, &args))
		rpc_close(
		    conn, ST_INVALID, "first call is not a valid PEER_HELLO");
	else if (!is_accepted(set, &args))
		rpc_close(conn, ST_INVALID,
		    "wrong cluster key, own incarnation or too many peers");
	else
		accept_peer(set, conn, hello->xid);
	xdr_free((xdrproc_t)xdr_wire_peer_hello_args, &args);
}

/*
 * Closes every connection.  No forwarded request may be in progress, since its
 * callback would not run.
 */
void
pl_set_free(struct pl_set *set)
{
	GHashTableIter iter;
	gpointer key, value;

	g_source_remove(set->tick_id);
	g_hash_table_iter_init(&iter, set->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_conn(value);
	g_hash_table_unref(set->peers);
	g_hash_table_iter_init(&iter, set->inbounds);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		free_inbound(key);
	g_hash_table_unref(set->inbounds);
	g_free(set);
}
