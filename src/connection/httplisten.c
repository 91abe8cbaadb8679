#include <errno.h>
#include <poll.h>
#include <sys/socket.h>

#include "connection/acceptor.h"
#include "connection/address.h"
#include "connection/connlimit.h"
#include "connection/framing.h"
#include "connection/httplisten.h"

/*
 * With GLib's default of 10, the kernel dropped connections when 200 callers
 * connected at once, and they retried only after a second or more.
 */
#define HTTP_BACKLOG  1024
#define TIMER_KEY     "sequoiaplank-receive-timer"
#define LIMIT_KEY     "sequoiaplank-body-limit"
#define TOO_LARGE_KEY "sequoiaplank-body-too-large"
#define ACCEPTOR_KEY  "sequoiaplank-acceptor"
#define BUSY_KEY      "sequoiaplank-busy"
#define PORT_KEY      "sequoiaplank-port"
/* Below what the kernel takes of a connection that is not read. */
#define MAX_SEEN_BYTES 4096
#define BUSY_RETRY_S   "1" /* Retry-After */

struct handler {
	SoupServerCallback fn;
	void *data;
};

struct timer {
	SoupServerMessage *msg;
	guint id;
};

static void
timer_free(gpointer data)
{
	struct timer *timer = data;

	g_clear_handle_id(&timer->id, g_source_remove);
	g_free(timer);
}

static gboolean
on_receive_timeout(gpointer data)
{
	struct timer *timer = data;
	GSocket *socket = frm_socket(timer->msg);

	timer->id = 0;
	if (socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	return G_SOURCE_REMOVE;
}

static void
on_received(SoupServerMessage *msg, gpointer data)
{
	(void)data;
	g_object_set_data(G_OBJECT(msg), TIMER_KEY, NULL);
}

static void
on_request_started(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
	struct timer *timer = g_new0(struct timer, 1);
	guint receive_ms = GPOINTER_TO_UINT(data);

	(void)server;
	timer->msg = msg;
	timer->id = g_timeout_add(receive_ms, on_receive_timeout, timer);
	g_object_set_data_full(G_OBJECT(msg), TIMER_KEY, timer, timer_free);
	g_signal_connect(msg, "got-body", G_CALLBACK(on_received), NULL);
	g_signal_connect(msg, "finished", G_CALLBACK(on_received), NULL);
}

void
hl_set_receive_timeout(SoupServer *server, int64_t receive_ms)
{
	g_signal_connect(server, "request-started",
	    G_CALLBACK(on_request_started),
	    GUINT_TO_POINTER((guint)receive_ms));
}

static GSocket *
bind_socket(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (socket == NULL)
		return NULL;
	g_socket_set_listen_backlog(socket, HTTP_BACKLOG);
	if (g_socket_bind(socket, address, TRUE, error) &&
	    g_socket_listen(socket, error))
		return socket;
	g_object_unref(socket);
	return NULL;
}

/*
 * libsoup keeps the connections of a server without a listener for one request
 * only, so that the server gets one, on a loopback port that nobody is told.
 */
static bool
accept_metered(SoupServer *server, GSocket *socket, GError **error)
{
	if (!soup_server_listen_local(
		server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, error))
		return false;
	g_object_set_data_full(G_OBJECT(server), ACCEPTOR_KEY,
	    acp_new(server, socket), (GDestroyNotify)acp_free);
	return true;
}

/* An accepted connection does not tell it: libsoup has a listener of its own. */
static void
remember_port(SoupServer *server, GSocket *socket)
{
	g_autoptr(GSocketAddress) address =
	    g_socket_get_local_address(socket, NULL);
	guint port = address == NULL ? 0
				     : g_inet_socket_address_get_port(
					   G_INET_SOCKET_ADDRESS(address));

	g_object_set_data(G_OBJECT(server), PORT_KEY, GUINT_TO_POINTER(port));
}

uint16_t
hl_port(SoupServer *server)
{
	return (uint16_t)GPOINTER_TO_UINT(
	    g_object_get_data(G_OBJECT(server), PORT_KEY));
}

bool
hl_listen(SoupServer *server, const char *listen, struct status *st)
{
	GSocketAddress *address = addr_parse(listen, st);
	GSocket *socket;
	GError *error = NULL;
	bool ok;

	if (address == NULL)
		return false;
	socket = bind_socket(address, &error);
	g_object_unref(address);
	ok = socket != NULL;
	if (ok)
		remember_port(server, socket);
	if (ok && cnl_is_started())
		ok = accept_metered(server, socket, &error);
	else if (ok)
		ok = soup_server_listen_socket(server, socket, 0, &error);
	g_clear_object(&socket);
	if (!ok)
		st_set(st, ST_UNAVAILABLE, "listen \"%s\": %s", listen,
		    error->message);
	g_clear_error(&error);
	return ok;
}

static void
answer_busy(SoupServerMessage *msg)
{
	static const char text[] =
	    "{\"reason\":\"too many requests are being served\"}";

	soup_server_message_set_status(
	    msg, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
	soup_server_message_set_response(msg, "application/json",
	    SOUP_MEMORY_STATIC, text, sizeof(text) - 1);
}

/* What the request holds is freed at once, also while its answer is unread. */
static void
refuse_busy(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query)
{
	const struct handler *busy =
	    g_object_get_data(G_OBJECT(server), BUSY_KEY);
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(msg);

	soup_message_body_truncate(soup_server_message_get_request_body(msg));
	if (busy != NULL)
		busy->fn(server, msg, path, query, busy->data);
	else
		answer_busy(msg);
	soup_message_headers_replace(headers, "Retry-After", BUSY_RETRY_S);
	soup_message_headers_replace(headers, "Connection", "close");
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	const struct handler *handler = data;

	if (!cnl_request_done(frm_limit(msg))) {
		refuse_busy(server, msg, path, query);
		return;
	}
	handler->fn(server, msg, path, query, handler->data);
	cnl_set_answer(frm_limit(msg),
	    (uint64_t)soup_server_message_get_response_body(msg)->length);
}

static struct handler *
new_handler(SoupServerCallback fn, void *data)
{
	struct handler *handler = g_new0(struct handler, 1);

	handler->fn = fn;
	handler->data = data;
	return handler;
}

void
hl_set_busy_handler(SoupServer *server, SoupServerCallback fn, void *data)
{
	g_object_set_data_full(
	    G_OBJECT(server), BUSY_KEY, new_handler(fn, data), g_free);
}

void
hl_add_handler(
    SoupServer *server, const char *path, SoupServerCallback fn, void *data)
{
	soup_server_add_handler(
	    server, path, on_request, new_handler(fn, data), g_free);
}

void
hl_disconnect(SoupServer *server)
{
	g_object_set_data(G_OBJECT(server), ACCEPTOR_KEY, NULL);
	soup_server_disconnect(server);
}

void
hl_discard_body(SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);

	soup_message_body_set_accumulate(body, FALSE);
	soup_message_body_truncate(body);
	cnl_discard(frm_limit(msg));
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(msg), "Connection",
	    "close");
}

bool
hl_body_exceeds(SoupServerMessage *msg, uint64_t max_bytes)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);

	return soup_message_headers_get_list(headers, "Transfer-Encoding") !=
		   NULL ||
	       (uint64_t)soup_message_headers_get_content_length(headers) >
		   max_bytes;
}

void
hl_limit_body(SoupServer *server, SoupServerMessage *msg, uint64_t max_bytes)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);

	if (frm_take(server, msg, max_bytes))
		return;
	if ((uint64_t)soup_message_headers_get_content_length(headers) >
	    max_bytes) {
		g_object_set_data(G_OBJECT(msg), TOO_LARGE_KEY, msg);
		hl_discard_body(msg);
	}
}

static void
on_headers(SoupServerMessage *msg, gpointer data)
{
	SoupServer *server = data;
	const uint64_t *max_bytes =
	    g_object_get_data(G_OBJECT(server), LIMIT_KEY);

	hl_limit_body(server, msg, *max_bytes);
}

static void
on_started(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
	(void)data;
	g_signal_connect(msg, "got-headers", G_CALLBACK(on_headers), server);
}

void
hl_limit_bodies(SoupServer *server, uint64_t max_bytes)
{
	g_object_set_data_full(G_OBJECT(server), LIMIT_KEY,
	    g_memdup2(&max_bytes, sizeof(max_bytes)), g_free);
	g_signal_connect(
	    server, "request-started", G_CALLBACK(on_started), NULL);
}

GBytes *
hl_take_body(SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	GBytes *bytes;

	if (g_object_get_data(G_OBJECT(msg), TOO_LARGE_KEY) != NULL)
		return NULL;
	bytes = soup_message_body_flatten(body);
	soup_message_body_truncate(body);
	return bytes;
}

/* Whether the client has closed the connection behind unread input. */
static bool
ends_after_input(int fd)
{
	struct pollfd end = {.fd = fd, .events = POLLRDHUP};

	return poll(&end, 1, 0) > 0;
}

bool
hl_client_has_gone(GSocket *socket)
{
	int fd = g_socket_get_fd(socket);
	char byte;
	ssize_t n;

	do
		n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	while (n < 0 && errno == EINTR);
	if (n > 0)
		return ends_after_input(fd);
	return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
hl_may_hide_end(GSocket *socket)
{
	return g_socket_get_available_bytes(socket) >= MAX_SEEN_BYTES;
}

GSource *
hl_hangup_source(GSocket *socket, bool has_input)
{
	/*
	 * The end of a connection without unread input is input.  GIOCondition
	 * has the values of poll(), but no name for POLLRDHUP.
	 */
	int condition = has_input ? POLLRDHUP : G_IO_IN;

	return g_socket_create_source(socket, (GIOCondition)condition, NULL);
}
