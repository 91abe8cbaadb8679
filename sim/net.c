#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "connection/rpc.h"
#include "connection/run_xdr.h"
#include "process/clock.h"
#include "sim/check.h"
#include "sim/net.h"

#define BASE_DELAY_MS	   1
#define JITTER_MS	   3
#define CONNECT_TIMEOUT_MS 1000
#define FIRST_PORT	   10000
/* Time from the end of a cut to the next retransmission. */
#define RETRANSMIT_MAX_MS 400
/* rpc.c looks for silent connections this often. */
#define SILENCE_CHECK_MS 100
/* Key of the end in the object that stands for its socket. */
#define END_KEY "end"

struct way {
	int64_t delay_ms;
	int64_t cut_until_ms;
};

struct link {
	struct way ways[SNT_N_DIRECTIONS];
};

/* A process and its place in the network. */
struct node {
	struct slp_proc *proc;
	bool is_entry;
	uint32_t index;
	bool dead;
};

struct listener {
	gpointer service;
	struct node *node;
	GCallback on_incoming;
	gpointer data;
};

/* One end of a connection, with its socket. */
struct rpc_conn {
	int refs;
	struct rpc_options opts;
	struct node *node;
	struct rpc_conn *peer;
	struct link *link;
	enum snt_direction sends;
	bool open;
	bool told_cancels;	 /* has sent RUN_CANCELLED */
	bool reset_at_close;	 /* SO_LINGER with a time of 0 */
	int64_t user_timeout_ms; /* TCP_USER_TIMEOUT; 0: none */
	int64_t last_input_ms;
	int64_t last_arrival_ms; /* of what this end has sent */
	struct status why;
	guint closed_id;
};

struct message {
	struct rpc_conn *to;
	bool is_close; /* the peer has closed the connection */
	uint32_t proc;
	char *data;
	u_int len;
	int64_t arrival_ms;
	bool waits; /* for the end of a cut, until it arrives */
	bool dropped;
};

/* An entry's attempt to connect. */
struct attempt {
	struct node *node;
	uint32_t agent;
	GSocketClient *client;
	GCancellable *cancellable;
	GAsyncReadyCallback fn;
	gpointer data;
	GObject *socket; /* NULL: it failed */
	int refs;
};

static struct {
	struct snt_options opts;
	GHashTable *nodes; /* struct slp_proc to struct node */
	struct link *links;
	GPtrArray *listeners; /* struct listener */
	GPtrArray *ends;      /* struct rpc_conn, with a reference */
	GPtrArray *waiting;   /* struct message */
	GObject *result;      /* of the attempt that ends now */
} net;

void
snt_reset(const struct snt_options *opts)
{
	if (net.nodes == NULL) {
		net.nodes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		net.listeners = g_ptr_array_new_with_free_func(g_free);
		net.ends = g_ptr_array_new();
		net.waiting = g_ptr_array_new();
	}
	while (net.ends->len > 0)
		rpc_unref(g_ptr_array_steal_index_fast(net.ends, 0));
	g_ptr_array_set_size(net.listeners, 0);
	g_hash_table_remove_all(net.nodes);
	net.opts = *opts;
	g_free(net.links);
	net.links =
	    g_new0(struct link, (gsize)opts->n_entries * opts->n_agents);
}

void
snt_register(struct slp_proc *proc, bool is_entry, uint32_t index)
{
	struct node *node = g_new0(struct node, 1);

	node->proc = proc;
	node->is_entry = is_entry;
	node->index = index;
	g_hash_table_insert(net.nodes, proc, node);
}

char *
snt_agent_address(uint32_t agent)
{
	return g_strdup_printf("10.0.0.1:%u", FIRST_PORT + agent);
}

static struct link *
find_link(uint32_t entry, uint32_t agent)
{
	return &net.links[entry * net.opts.n_agents + agent];
}

void
snt_set_delay(uint32_t entry, uint32_t agent, enum snt_direction direction,
    int64_t delay_ms)
{
	find_link(entry, agent)->ways[direction].delay_ms = delay_ms;
}

void
snt_cut(uint32_t entry, uint32_t agent, enum snt_direction direction,
    int64_t until_ms)
{
	struct way *way = &find_link(entry, agent)->ways[direction];

	way->cut_until_ms = MAX(way->cut_until_ms, until_ms);
}

/* When what is sent now is at the other end; sets *waits if it is held up. */
static int64_t
transit_end_ms(const struct way *way, bool *waits)
{
	int64_t sent_ms = slp_now_ms();

	*waits = way->cut_until_ms > sent_ms;
	if (*waits)
		sent_ms = way->cut_until_ms +
			  g_random_int_range(0, RETRANSMIT_MAX_MS);
	return sent_ms + BASE_DELAY_MS + way->delay_ms +
	       g_random_int_range(0, JITTER_MS);
}

static void
message_free(void *data)
{
	struct message *message = data;

	g_ptr_array_remove_fast(net.waiting, message);
	rpc_unref(message->to);
	g_free(message->data);
	g_free(message);
}

static void
on_message(void *data)
{
	const struct message *message = data;
	struct rpc_conn *conn = message->to;
	struct rpc_call call = {.proc = message->proc};
	XDR xdrs;

	if (message->dropped || !conn->open)
		return;
	if (message->is_close) {
		rpc_close(conn, ST_UNAVAILABLE, "closed by the peer");
		return;
	}
	conn->last_input_ms = clk_now_ms();
	xdrmem_create(&xdrs, message->data, message->len, XDR_DECODE);
	call.args = &xdrs;
	if (conn->opts.on_call != NULL)
		conn->opts.on_call(conn, &call, conn->opts.ctx);
}

static void
on_reset(void *data)
{
	rpc_close(data, ST_UNAVAILABLE, "connection reset");
}

static void
unref_end(void *data)
{
	rpc_unref(data);
}

/* Drops what the end has sent and the network has not carried yet. */
static void
drop_waiting(const struct rpc_conn *from)
{
	guint i;

	for (i = 0; i < net.waiting->len; i++) {
		struct message *message = net.waiting->pdata[i];

		if (message->to == from->peer && !message->is_close &&
		    message->arrival_ms > slp_now_ms())
			message->dropped = true;
	}
}

/* The kernel resets a connection whose data stays without acknowledgement. */
static void
on_user_timeout(void *data)
{
	struct rpc_conn *conn = data;

	if (!conn->open)
		return;
	drop_waiting(conn);
	slp_at(
	    conn->node->proc, slp_now_ms(), on_reset, rpc_ref(conn), unref_end);
}

static void
watch_acknowledgement(struct rpc_conn *from, int64_t arrival_ms)
{
	const struct way *back = &from->link->ways[!from->sends];
	int64_t acknowledged_ms =
	    MAX(arrival_ms, back->cut_until_ms) + back->delay_ms;
	int64_t timeout_ms = slp_now_ms() + from->user_timeout_ms;

	if (from->user_timeout_ms > 0 && acknowledged_ms > timeout_ms)
		slp_at(NULL, timeout_ms, on_user_timeout, rpc_ref(from),
		    unref_end);
}

/* Messages arrive in the order of sending. */
static void
transmit(struct rpc_conn *from, struct message *message)
{
	const struct way *way = &from->link->ways[from->sends];
	int64_t arrival_ms = transit_end_ms(way, &message->waits);

	message->waits |= from->last_arrival_ms > arrival_ms;
	from->last_arrival_ms = MAX(from->last_arrival_ms, arrival_ms);
	message->arrival_ms = from->last_arrival_ms;
	message->to = rpc_ref(from->peer);
	if (message->waits)
		g_ptr_array_add(net.waiting, message);
	watch_acknowledgement(from, message->arrival_ms);
	slp_at(from->peer->node->proc, message->arrival_ms, on_message, message,
	    message_free);
}

static void
close_socket(struct rpc_conn *conn, bool reset)
{
	struct message *message = g_new0(struct message, 1);

	conn->open = false;
	if (reset)
		drop_waiting(conn);
	message->is_close = true;
	transmit(conn, message);
}

void
snt_close_all(struct slp_proc *proc)
{
	guint i;

	for (i = 0; i < net.ends->len; i++) {
		struct rpc_conn *conn = net.ends->pdata[i];

		if (conn->node->proc != proc)
			continue;
		conn->node->dead = true;
		if (conn->open)
			close_socket(conn, true);
	}
}

void
snt_reset_link(uint32_t entry, uint32_t agent)
{
	const struct link *link = find_link(entry, agent);
	guint i;

	for (i = 0; i < net.ends->len; i++) {
		struct rpc_conn *conn = net.ends->pdata[i];

		if (conn->link != link || !conn->open)
			continue;
		drop_waiting(conn);
		slp_at(conn->node->proc, slp_now_ms(), on_reset, rpc_ref(conn),
		    unref_end);
	}
}

/* These replace the functions of rpc.c that sessions and links use. */

struct rpc_conn *
rpc_ref(struct rpc_conn *conn)
{
	conn->refs++;
	return conn;
}

void
rpc_unref(struct rpc_conn *conn)
{
	if (--conn->refs == 0)
		g_free(conn);
}

static void on_silence_check(void *data);

static void
schedule_silence_check(struct rpc_conn *conn)
{
	int64_t wait_ms =
	    conn->last_input_ms + conn->opts.silence_ms - clk_now_ms();

	wait_ms += SILENCE_CHECK_MS - wait_ms % SILENCE_CHECK_MS;
	slp_at(conn->node->proc, slp_now_ms() + MAX(wait_ms, 1),
	    on_silence_check, rpc_ref(conn), unref_end);
}

static void
on_silence_check(void *data)
{
	struct rpc_conn *conn = data;

	if (!conn->open)
		return;
	if (clk_now_ms() - conn->last_input_ms > conn->opts.silence_ms)
		rpc_close(conn, ST_TIMEOUT, "no input from the peer");
	else
		schedule_silence_check(conn);
}

static gboolean deliver_closed(gpointer data);

/* The peer may have closed the connection already. */
struct rpc_conn *
rpc_new(const struct rpc_options *opts)
{
	struct rpc_conn *conn =
	    g_object_get_data(G_OBJECT(opts->socket), END_KEY);

	conn->opts = *opts;
	conn->last_input_ms = clk_now_ms();
	if (opts->silence_ms > 0)
		schedule_silence_check(conn);
	if (!conn->open && conn->closed_id == 0)
		conn->closed_id = g_idle_add_full(
		    G_PRIORITY_DEFAULT, deliver_closed, rpc_ref(conn), NULL);
	return rpc_ref(conn);
}

static gboolean
deliver_closed(gpointer data)
{
	struct rpc_conn *conn = data;

	conn->closed_id = 0;
	if (conn->opts.on_closed != NULL)
		conn->opts.on_closed(conn, &conn->why, conn->opts.ctx);
	rpc_unref(conn);
	return G_SOURCE_REMOVE;
}

void
rpc_close(struct rpc_conn *conn, enum st_code code, const char *why)
{
	if (!conn->open)
		return;
	st_set(&conn->why, code, "%s", why);
	sck_note(NULL, "%s %u closes its connection to %s %u: %s",
	    conn->node->is_entry ? "entry" : "agent", conn->node->index,
	    conn->node->is_entry ? "agent" : "entry", conn->peer->node->index,
	    why);
	close_socket(conn, conn->reset_at_close);
	conn->closed_id = g_idle_add_full(
	    G_PRIORITY_DEFAULT, deliver_closed, rpc_ref(conn), NULL);
}

void
rpc_detach(struct rpc_conn *conn)
{
	rpc_close(conn, ST_UNAVAILABLE, "closed locally");
	conn->opts.on_call = NULL;
	conn->opts.on_closed = NULL;
}

bool
rpc_is_open(const struct rpc_conn *conn)
{
	return conn->open;
}

/* An agent tells first of all what its entry has missed. */
static bool
is_catching_up(struct rpc_conn *conn, uint32_t proc)
{
	bool first = !conn->node->is_entry && proc == RUN_CANCELLED &&
		     !conn->told_cancels;

	conn->told_cancels |= proc == RUN_CANCELLED;
	return first;
}

bool
rpc_send(struct rpc_conn *conn, uint32_t proc, xdrproc_t encode, void *args)
{
	struct message *message;
	XDR xdrs;

	if (!conn->open)
		return false;
	if (is_catching_up(conn, proc) && net.opts.no_catch_up)
		((run_cancelled_args *)args)->jobs.jobs_len = 0;
	message = g_new0(struct message, 1);
	message->proc = proc;
	message->len = (u_int)xdr_sizeof(encode, args);
	message->data = g_malloc(message->len);
	xdrmem_create(&xdrs, message->data, message->len, XDR_ENCODE);
	if (!encode(&xdrs, args)) {
		g_free(message->data);
		g_free(message);
		return false;
	}
	transmit(conn, message);
	return true;
}

/* These replace socket calls, by --wrap. */

gpointer __wrap_g_socket_connection_get_socket(gpointer connection);
int __wrap_g_socket_get_fd(gpointer socket);
int __wrap_setsockopt(
    int fd, int level, int name, const void *value, socklen_t len);
gboolean __wrap_g_socket_set_option(
    gpointer socket, gint level, gint name, gint value, GError **error);
gboolean __wrap_g_socket_listener_add_address(gpointer service,
    GSocketAddress *address, GSocketType type, GSocketProtocol protocol,
    GObject *source, GSocketAddress **effective, GError **error);
void __wrap_g_socket_listener_close(gpointer service);
gulong __wrap_g_signal_connect_data(gpointer instance, const gchar *signal,
    GCallback handler, gpointer data, GClosureNotify notify,
    GConnectFlags flags);
void __wrap_g_socket_client_connect_async(GSocketClient *client,
    GSocketConnectable *target, GCancellable *cancellable,
    GAsyncReadyCallback fn, gpointer data);
gpointer __wrap_g_socket_client_connect_finish(
    gpointer client, gpointer result, GError **error);

/* The descriptor of an end is its number. */
int
__wrap_g_socket_get_fd(gpointer socket)
{
	guint i;

	for (i = 0; i < net.ends->len; i++) {
		if (net.ends->pdata[i] == g_object_get_data(socket, END_KEY))
			return (int)i;
	}
	return -1;
}

gpointer
__wrap_g_socket_connection_get_socket(gpointer connection)
{
	return connection;
}

int
__wrap_setsockopt(int fd, int level, int name, const void *value, socklen_t len)
{
	const struct linger *linger = value;
	struct rpc_conn *conn = g_ptr_array_index(net.ends, fd);

	(void)len;
	if (level == SOL_SOCKET && name == SO_LINGER)
		conn->reset_at_close =
		    linger->l_onoff != 0 && linger->l_linger == 0;
	return 0;
}

gboolean
__wrap_g_socket_set_option(
    gpointer socket, gint level, gint name, gint value, GError **error)
{
	struct rpc_conn *conn = g_object_get_data(socket, END_KEY);

	(void)error;
	if (level == IPPROTO_TCP && name == TCP_USER_TIMEOUT)
		conn->user_timeout_ms = value;
	return TRUE;
}

gboolean
__wrap_g_socket_listener_add_address(gpointer service, GSocketAddress *address,
    GSocketType type, GSocketProtocol protocol, GObject *source,
    GSocketAddress **effective, GError **error)
{
	struct listener *listener = g_new0(struct listener, 1);

	(void)address;
	(void)type;
	(void)protocol;
	(void)source;
	(void)effective;
	(void)error;
	listener->service = service;
	listener->node = g_hash_table_lookup(net.nodes, slp_current());
	g_ptr_array_add(net.listeners, listener);
	return TRUE;
}

static struct listener *
find_listener(gpointer service)
{
	guint i;

	for (i = 0; i < net.listeners->len; i++) {
		struct listener *listener = net.listeners->pdata[i];

		if (listener->service == service)
			return listener;
	}
	return NULL;
}

static struct listener *
find_listener_of(uint32_t agent)
{
	guint i;

	for (i = 0; i < net.listeners->len; i++) {
		struct listener *listener = net.listeners->pdata[i];

		if (listener->node->index == agent)
			return listener;
	}
	return NULL;
}

void
__wrap_g_socket_listener_close(gpointer service)
{
	g_ptr_array_remove_fast(net.listeners, find_listener(service));
}

/* The only signal is that of an incoming connection. */
gulong
__wrap_g_signal_connect_data(gpointer instance, const gchar *signal,
    GCallback handler, gpointer data, GClosureNotify notify,
    GConnectFlags flags)
{
	struct listener *listener = find_listener(instance);

	(void)signal;
	(void)notify;
	(void)flags;
	listener->on_incoming = handler;
	listener->data = data;
	return 1;
}

static struct rpc_conn *
end_new(struct node *node, struct link *link)
{
	struct rpc_conn *conn = g_new0(struct rpc_conn, 1);

	conn->refs = 1;
	conn->node = node;
	conn->link = link;
	conn->sends = node->is_entry ? SNT_TO_AGENT : SNT_TO_ENTRY;
	conn->open = true;
	g_ptr_array_add(net.ends, conn);
	return conn;
}

static GObject *
socket_new(struct rpc_conn *conn)
{
	GObject *socket = g_object_new(G_TYPE_OBJECT, NULL);

	g_object_set_data(socket, END_KEY, conn);
	return socket;
}

typedef gboolean (*incoming_fn)(
    gpointer service, gpointer socket, GObject *source, gpointer data);

static void
on_accepted(void *data)
{
	GObject *socket = data;
	const struct rpc_conn *conn = g_object_get_data(socket, END_KEY);
	const struct listener *listener = find_listener_of(conn->node->index);

	if (listener != NULL)
		((incoming_fn)(void (*)(void))listener->on_incoming)(
		    listener->service, socket, NULL, listener->data);
}

static void
attempt_unref(void *data)
{
	struct attempt *attempt = data;

	if (--attempt->refs > 0)
		return;
	g_clear_object(&attempt->socket);
	g_object_unref(attempt->cancellable);
	g_object_unref(attempt->client);
	g_free(attempt);
}

static struct attempt *
attempt_ref(struct attempt *attempt)
{
	attempt->refs++;
	return attempt;
}

static void
on_attempt_ended(void *data)
{
	struct attempt *attempt = data;

	if (g_cancellable_is_cancelled(attempt->cancellable))
		return;
	net.result = g_steal_pointer(&attempt->socket);
	attempt->fn(
	    G_OBJECT(attempt->client), (GAsyncResult *)attempt, attempt->data);
}

static void
end_attempt(struct attempt *attempt, int64_t at_ms)
{
	slp_at(attempt->node->proc, at_ms, on_attempt_ended,
	    attempt_ref(attempt), attempt_unref);
}

/* The connection is established as soon as the agent's kernel is reached. */
static void
on_agent_reached(void *data)
{
	struct attempt *attempt = data;
	const struct listener *listener = find_listener_of(attempt->agent);
	struct link *link = find_link(attempt->node->index, attempt->agent);
	struct rpc_conn *here, *there;
	bool waits;
	int64_t back_ms = transit_end_ms(&link->ways[SNT_TO_ENTRY], &waits);

	if (attempt->node->dead || listener == NULL ||
	    back_ms > slp_now_ms() + CONNECT_TIMEOUT_MS) {
		end_attempt(attempt, slp_now_ms() + CONNECT_TIMEOUT_MS);
		return;
	}
	here = end_new(attempt->node, link);
	there = end_new(listener->node, link);
	here->peer = there;
	there->peer = here;
	attempt->socket = socket_new(here);
	slp_at(listener->node->proc, slp_now_ms(), on_accepted,
	    socket_new(there), g_object_unref);
	end_attempt(attempt, back_ms);
}

static uint32_t
agent_at(GSocketConnectable *target)
{
	return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(target)) -
	       FIRST_PORT;
}

void
__wrap_g_socket_client_connect_async(GSocketClient *client,
    GSocketConnectable *target, GCancellable *cancellable,
    GAsyncReadyCallback fn, gpointer data)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	int64_t reached_ms;
	bool waits;

	attempt->refs = 1;
	attempt->node = g_hash_table_lookup(net.nodes, slp_current());
	attempt->agent = agent_at(target);
	attempt->client = g_object_ref(client);
	attempt->cancellable = g_object_ref(cancellable);
	attempt->fn = fn;
	attempt->data = data;
	reached_ms =
	    transit_end_ms(&find_link(attempt->node->index, attempt->agent)
				->ways[SNT_TO_AGENT],
		&waits);
	if (reached_ms - slp_now_ms() > CONNECT_TIMEOUT_MS)
		end_attempt(attempt, slp_now_ms() + CONNECT_TIMEOUT_MS);
	else
		slp_at(NULL, reached_ms, on_agent_reached, attempt_ref(attempt),
		    attempt_unref);
	attempt_unref(attempt);
}

gpointer
__wrap_g_socket_client_connect_finish(
    gpointer client, gpointer result, GError **error)
{
	(void)client;
	(void)result;
	if (net.result == NULL)
		g_set_error(
		    error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT, "no connection");
	return g_steal_pointer(&net.result);
}
