#include <gio/gio.h>

#include "connection/address.h"
#include "connection/listener.h"

#define MAX_UNIDENTIFIED 1024 /* connections without a first call */

struct ln {
	struct ln_options opts;
	GSocketService *service;
	GHashTable *unidentified; /* connections before their first call */
};

static void
on_unidentified_closed(
    struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct ln *ln = ctx;

	(void)why;
	if (g_hash_table_remove(ln->unidentified, conn))
		rpc_unref(conn);
}

static void
on_first_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct ln *ln = ctx;

	if (!g_hash_table_contains(ln->unidentified, conn)) {
		rpc_close(conn, ST_INVALID, "call after a refusal");
		return;
	}
	g_hash_table_remove(ln->unidentified, conn);
	if (call->prog == WIRE_AGENT_PROG)
		al_accept(ln->opts.agents, conn, call);
	else if (call->prog == WIRE_PEER_PROG)
		pl_accept(ln->opts.peers, conn, call);
	else
		rpc_close(conn, ST_INVALID, "unknown program");
	rpc_unref(conn);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *socket, GObject *source,
    gpointer data)
{
	struct ln *ln = data;
	struct rpc_options opts = {
	    .socket = socket,
	    .silence_ms = ln->opts.silence_ms,
	    .first_call_timeout_ms = ln->opts.silence_ms,
	    .accepted = true,
	    .on_call = on_first_call,
	    .on_closed = on_unidentified_closed,
	    .ctx = ln,
	};

	(void)service;
	(void)source;
	if (g_hash_table_size(ln->unidentified) < MAX_UNIDENTIFIED)
		g_hash_table_add(ln->unidentified, rpc_new(&opts));
	return TRUE;
}

static bool
listen_on(struct ln *ln, struct status *st)
{
	GSocketAddress *address = addr_parse(ln->opts.listen, st);
	GError *error = NULL;
	bool ok;

	ln->service = g_socket_service_new();
	if (address == NULL)
		return false;
	/* All agents reconnect at the same time when an entry restarts. */
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(ln->service), MAX_UNIDENTIFIED);
	ok = g_socket_listener_add_address(G_SOCKET_LISTENER(ln->service),
	    address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
	    &error);
	g_object_unref(address);
	if (!ok) {
		st_set(st, ST_UNAVAILABLE, "listen on %s: %s", ln->opts.listen,
		    error->message);
		g_error_free(error);
	}
	g_signal_connect(ln->service, "incoming", G_CALLBACK(on_incoming), ln);
	return ok;
}

/* Connections are accepted from the main loop. */
struct ln *
ln_new(const struct ln_options *opts, struct status *st)
{
	struct ln *ln = g_new0(struct ln, 1);

	ln->opts = *opts;
	ln->unidentified = g_hash_table_new(NULL, NULL);
	if (!listen_on(ln, st)) {
		ln_free(ln);
		return NULL;
	}
	return ln;
}

void
ln_free(struct ln *ln)
{
	GHashTableIter iter;
	gpointer conn;

	if (ln == NULL)
		return;
	g_socket_service_stop(ln->service);
	g_socket_listener_close(G_SOCKET_LISTENER(ln->service));
	g_object_unref(ln->service);
	g_hash_table_iter_init(&iter, ln->unidentified);
	while (g_hash_table_iter_next(&iter, &conn, NULL)) {
		rpc_detach(conn);
		rpc_unref(conn);
	}
	g_hash_table_unref(ln->unidentified);
	g_free(ln);
}
