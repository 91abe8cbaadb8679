#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/entrylink.h"
#include "connection/rpc.h"
#include "process/clock.h"
#include "process/log.h"

#define NS_PER_MS	      1000000
#define MS_PER_S	      1000
#define MAX_BATCHES_PER_FLUSH 64 /* batches sent in one loop iteration */
/*
 * A reconnection is delayed by 0.5 to 1.5 times the back-off.  Its maximum
 * limits the time in which a restarted entry is found.
 */
#define EL_BACKOFF_MIN_MS 50
#define EL_BACKOFF_MAX_MS 2000

struct el {
	struct el_options opts;
	char *address;
	struct rpc_conn *conn;
	GCancellable *dialing;
	bool open;	/* HELLO accepted */
	uint64_t entry; /* incarnation, kept over reconnections */
	/* Send times of the HELLO and of the last call on this connection. */
	int64_t first_sent_ns;
	int64_t last_sent_ns;
	uint64_t received_seq; /* highest start seq of this incarnation */
	uint64_t members_digest;
	struct wire_heartbeat_result kept_reply; /* owns the entry list */
	int64_t backoff_ms;
	guint retry_id;
	guint heartbeat_id;
	guint requested_heartbeat_id;
	guint flush_id;
};

static void dial(struct el *el);

static gboolean
on_retry(gpointer data)
{
	struct el *el = data;

	el->retry_id = 0;
	dial(el);
	return G_SOURCE_REMOVE;
}

static void
schedule_reconnect(struct el *el)
{
	int64_t delay_ms = el->backoff_ms / 2 +
			   g_random_int_range(0, (gint32)el->backoff_ms + 1);

	el->backoff_ms = MIN(el->backoff_ms * 2, EL_BACKOFF_MAX_MS);
	if (el->retry_id == 0)
		el->retry_id = g_timeout_add(delay_ms, on_retry, el);
}

/* Closes the socket at once; input still buffered in it is discarded. */
static void
drop_connection(struct el *el)
{
	bool was_open = el->open;

	el->open = false;
	g_clear_handle_id(&el->heartbeat_id, g_source_remove);
	g_clear_handle_id(&el->requested_heartbeat_id, g_source_remove);
	g_clear_handle_id(&el->flush_id, g_source_remove);
	if (el->dialing != NULL) {
		g_cancellable_cancel(el->dialing);
		g_clear_object(&el->dialing);
	}
	if (el->conn != NULL) {
		rpc_detach(el->conn);
		g_clear_pointer(&el->conn, rpc_unref);
	}
	if (was_open)
		el->opts.handlers->closed(el, el->entry, el->opts.ctx);
}

void
el_reconnect(struct el *el, const char *why)
{
	if (el->conn != NULL)
		log_line(LOG_NOTICE, "entry %s: connection closed: %s",
		    el->address, why);
	drop_connection(el);
	schedule_reconnect(el);
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct el *el = ctx;

	if (conn == el->conn)
		el_reconnect(el, why->message);
}

static void
set_members(struct el *el, u_int *len, wire_member **val)
{
	xdr_free((xdrproc_t)xdr_wire_heartbeat_result, &el->kept_reply);
	memset(&el->kept_reply, 0, sizeof(el->kept_reply));
	el->kept_reply.members.members_len = *len;
	el->kept_reply.members.members_val = *val;
	*len = 0;
	*val = NULL;
	el->opts.handlers->members(el, el->opts.ctx);
}

/*
 * Takes over the configuration from a reply.  Its age is counted from the time
 * when the call was sent, so neither transit times nor a suspension of this
 * process make a confirmation look newer than it is.
 */
static void
apply_config(struct el *el, const struct wire_config *config, int64_t echo_ns)
{
	struct status st;
	struct cfg *cfg;

	if (config->document.document_len > 0) {
		cfg = cfg_parse(config->document.document_val,
		    config->document.document_len, &st);
		if (cfg == NULL) {
			log_line(LOG_ERR, "entry %s: configuration: %s",
			    el->address, st.message);
			return;
		}
		fresh_update(el->opts.fresh, cfg);
		cfg_unref(cfg);
	}
	if (config->age_ms >= 0 && echo_ns >= el->first_sent_ns &&
	    echo_ns <= el->last_sent_ns)
		fresh_confirm(el->opts.fresh, config->config_version,
		    echo_ns / NS_PER_MS - config->age_ms);
	el->opts.handlers->confirmed(el, el->opts.ctx);
}

static void
on_heartbeat_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct wire_heartbeat_result result;
	struct el *el = ctx;

	if (conn != el->conn)
		return;
	if (xdrs == NULL) {
		el_reconnect(el, st->message);
		return;
	}
	memset(&result, 0, sizeof(result));
	if (!xdr_wire_heartbeat_result(xdrs, &result)) {
		xdr_free((xdrproc_t)xdr_wire_heartbeat_result, &result);
		el_reconnect(el, "malformed heartbeat reply");
		return;
	}
	el->opts.handlers->acked(el, result.acked_result, el->opts.ctx);
	apply_config(el, &result.config, result.echo_ns);
	el->members_digest = result.members_digest;
	if (result.members.members_len > 0)
		set_members(el, &result.members.members_len,
		    &result.members.members_val);
	xdr_free((xdrproc_t)xdr_wire_heartbeat_result, &result);
}

static void
send_heartbeat(struct el *el)
{
	struct wire_hello_args state;
	struct wire_heartbeat_args args;

	memset(&state, 0, sizeof(state));
	el->opts.handlers->hello(&state, el->opts.ctx);
	el->last_sent_ns = clk_now_ns();
	state.load.received_seq = el->received_seq;
	args = (struct wire_heartbeat_args){
	    .sent_ns = el->last_sent_ns,
	    .config_version = fresh_version(el->opts.fresh),
	    .members_digest = el->members_digest,
	    .load = state.load,
	    .service = state.service,
	    .slots = state.slots,
	    .connections = state.connections,
	    .cores = state.cores,
	    .memory_mb = state.memory_mb,
	};
	if (!rpc_request(el->conn, WIRE_HEARTBEAT,
		(xdrproc_t)xdr_wire_heartbeat_args, &args, el->opts.silence_ms,
		on_heartbeat_reply, el))
		el_reconnect(el, "heartbeat not sent");
}

static gboolean
on_heartbeat(gpointer data)
{
	struct el *el = data;
	guint id = el->heartbeat_id;

	send_heartbeat(el);
	return el->heartbeat_id == id ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean
on_heartbeat_requested(gpointer data)
{
	struct el *el = data;

	el->requested_heartbeat_id = 0;
	send_heartbeat(el);
	return G_SOURCE_REMOVE;
}

void
el_request_heartbeat(struct el *el)
{
	if (el->open && el->requested_heartbeat_id == 0)
		el->requested_heartbeat_id = g_idle_add_full(
		    G_PRIORITY_DEFAULT, on_heartbeat_requested, el, NULL);
}

static gboolean
on_flush(gpointer data)
{
	struct wire_results_args args;
	struct el *el = data;
	bool sent;
	int i;

	el->flush_id = 0;
	for (i = 0; el->open && i < MAX_BATCHES_PER_FLUSH; i++) {
		memset(&args, 0, sizeof(args));
		if (!el->opts.handlers->results(el, &args, el->opts.ctx))
			return G_SOURCE_REMOVE;
		args.load.received_seq = el->received_seq;
		sent = rpc_send(el->conn, WIRE_RESULTS,
		    (xdrproc_t)xdr_wire_results_args, &args);
		g_free(args.results.results_val);
		if (!sent) {
			el_reconnect(el, "results not sent");
			return G_SOURCE_REMOVE;
		}
	}
	el_flush(el);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules sending.  An idle source of default priority runs after all sources
 * that are ready now, so results of the same loop iteration share a message.
 */
void
el_flush(struct el *el)
{
	if (el->open && el->flush_id == 0)
		el->flush_id =
		    g_idle_add_full(G_PRIORITY_DEFAULT, on_flush, el, NULL);
}

/* TCP keeps the order: a lower seq not received yet will never arrive. */
static void
record_received_seqs(struct el *el, const struct wire_start_args *args)
{
	u_int i;

	for (i = 0; i < args->starts.starts_len; i++)
		el->received_seq =
		    MAX(el->received_seq, args->starts.starts_val[i].seq);
}

static void
handle_start(struct el *el, XDR *xdrs)
{
	struct wire_start_args args;
	bool ok;

	memset(&args, 0, sizeof(args));
	ok = xdr_wire_start_args(xdrs, &args);
	if (ok) {
		record_received_seqs(el, &args);
		el->opts.handlers->acked(el, args.acked_result, el->opts.ctx);
		ok = el->opts.handlers->start(el, &args, el->opts.ctx);
	}
	xdr_free((xdrproc_t)xdr_wire_start_args, &args);
	if (!ok)
		el_reconnect(el, "START refused");
}

static void
handle_withdraw(struct el *el, XDR *xdrs)
{
	struct wire_withdraw_args args;
	bool ok;

	memset(&args, 0, sizeof(args));
	ok = xdr_wire_withdraw_args(xdrs, &args);
	if (ok)
		el->opts.handlers->withdraw(el, &args, el->opts.ctx);
	xdr_free((xdrproc_t)xdr_wire_withdraw_args, &args);
	if (!ok)
		el_reconnect(el, "malformed WITHDRAW");
}

static void
handle_query(struct el *el, uint32_t xid, XDR *xdrs)
{
	struct wire_query_result result;
	struct wire_query_args args;
	bool ok;

	memset(&args, 0, sizeof(args));
	memset(&result, 0, sizeof(result));
	ok = xdr_wire_query_args(xdrs, &args);
	if (ok) {
		el->opts.handlers->acked(el, args.acked_result, el->opts.ctx);
		result.states.states_len = args.seqs.seqs_len;
		result.states.states_val =
		    g_new0(wire_state, args.seqs.seqs_len);
		el->opts.handlers->query(
		    el, &args, result.states.states_val, el->opts.ctx);
		ok = rpc_reply(
		    el->conn, xid, (xdrproc_t)xdr_wire_query_result, &result);
		g_free(result.states.states_val);
	}
	xdr_free((xdrproc_t)xdr_wire_query_args, &args);
	if (!ok)
		el_reconnect(el, "QUERY not answered");
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct el *el = ctx;

	if (conn != el->conn)
		return;
	if (call->proc == WIRE_NULL)
		rpc_reply(
		    conn, call->xid, (xdrproc_t)(void (*)(void))xdr_void, NULL);
	else if (!el->open)
		el_reconnect(el, "call before HELLO was accepted");
	else if (call->proc == WIRE_START)
		handle_start(el, call->args);
	else if (call->proc == WIRE_WITHDRAW)
		handle_withdraw(el, call->args);
	else if (call->proc == WIRE_QUERY)
		handle_query(el, call->xid, call->args);
	else
		el_reconnect(el, "unknown procedure");
}

static void
accept_hello(struct el *el, struct wire_hello_result *result)
{
	uint64_t previous = el->entry;

	el->entry = result->entry.incarnation;
	if (el->entry != previous)
		el->received_seq = 0;
	el->members_digest = 0;
	if (!el->opts.handlers->opened(
		el, &result->entry, previous, el->opts.ctx)) {
		el->backoff_ms = EL_BACKOFF_MAX_MS;
		el_reconnect(el, "entry is already connected");
		return;
	}
	el->open = true;
	el->backoff_ms = EL_BACKOFF_MIN_MS;
	log_line(LOG_INFO, "entry %s: connected to %s", el->address,
	    result->entry.name);
	el->heartbeat_id =
	    g_timeout_add(el->opts.heartbeat_ms, on_heartbeat, el);
	apply_config(el, &result->config, result->echo_ns);
	if (result->members.members_len > 0)
		set_members(el, &result->members.members_len,
		    &result->members.members_val);
	el_flush(el);
}

static void
on_hello_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct wire_hello_result result;
	struct el *el = ctx;

	if (conn != el->conn)
		return;
	if (xdrs == NULL) {
		el_reconnect(el, st->message);
		return;
	}
	memset(&result, 0, sizeof(result));
	if (!xdr_wire_hello_result(xdrs, &result))
		el_reconnect(el, "malformed HELLO reply");
	else if (!result.accepted)
		el_reconnect(el, result.reason);
	else
		accept_hello(el, &result);
	xdr_free((xdrproc_t)xdr_wire_hello_result, &result);
}

static void
send_hello(struct el *el)
{
	struct wire_hello_args args;

	memset(&args, 0, sizeof(args));
	el->opts.handlers->hello(&args, el->opts.ctx);
	args.key = (char *)el->opts.cluster_key;
	args.incarnation = el->opts.incarnation;
	args.config_version = fresh_version(el->opts.fresh);
	args.sent_ns = el->first_sent_ns = el->last_sent_ns = clk_now_ns();
	if (!rpc_request(el->conn, WIRE_HELLO, (xdrproc_t)xdr_wire_hello_args,
		&args, el->opts.silence_ms, on_hello_reply, el))
		el_reconnect(el, "HELLO not sent");
}

static void
on_connected(GObject *source, GAsyncResult *res, gpointer data)
{
	GSocketConnection *socket;
	struct rpc_options opts;
	GError *error = NULL;
	struct el *el = data;

	socket = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), res, &error);
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error); /* el may have been freed */
		return;
	}
	g_clear_object(&el->dialing);
	if (socket == NULL) {
		log_line(
		    LOG_DEBUG, "entry %s: %s", el->address, error->message);
		g_error_free(error);
		schedule_reconnect(el);
		return;
	}
	opts = (struct rpc_options){
	    .socket = socket,
	    .prog = WIRE_AGENT_PROG,
	    .silence_ms = el->opts.silence_ms,
	    .on_call = on_call,
	    .on_closed = on_closed,
	    .ctx = el,
	};
	/* Resets the timeout for connecting, inherited from the client. */
	g_socket_set_timeout(g_socket_connection_get_socket(socket), 0);
	el->conn = rpc_new(&opts);
	g_object_unref(socket);
	send_hello(el);
}

static void
dial(struct el *el)
{
	GSocketClient *client;

	drop_connection(el);
	client = g_socket_client_new();
	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_set_timeout(
	    client, (el->opts.silence_ms + MS_PER_S - 1) / MS_PER_S);
	el->dialing = g_cancellable_new();
	g_socket_client_connect_to_host_async(
	    client, el->address, 0, el->dialing, on_connected, el);
	g_object_unref(client);
}

/* Connecting starts in the next iteration of the main loop. */
struct el *
el_new(const struct el_options *opts)
{
	struct el *el = g_new0(struct el, 1);

	el->opts = *opts;
	el->address = g_strdup(opts->address);
	el->backoff_ms = EL_BACKOFF_MIN_MS;
	el->retry_id = g_timeout_add(0, on_retry, el);
	return el;
}

void
el_free(struct el *el)
{
	if (el == NULL)
		return;
	drop_connection(el);
	g_clear_handle_id(&el->retry_id, g_source_remove);
	xdr_free((xdrproc_t)xdr_wire_heartbeat_result, &el->kept_reply);
	g_free(el->address);
	g_free(el);
}

const char *
el_address(const struct el *el)
{
	return el->address;
}

uint64_t
el_entry_incarnation(const struct el *el)
{
	return el->entry;
}

bool
el_is_open(const struct el *el)
{
	return el->open;
}

const struct wire_member *
el_members(const struct el *el, size_t *n)
{
	*n = el->kept_reply.members.members_len;
	return el->kept_reply.members.members_val;
}
