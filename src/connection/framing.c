#include <gio/gio.h>
#include <string.h>

#include "connection/chunked.h"
#include "connection/framing.h"

#define SOCKET_KEY    "sequoiaplank-socket"
#define LIMIT_KEY     "sequoiaplank-limit"
#define STREAM_KEY    "sequoiaplank-stream"
#define READ_BYTES    8192
#define BODY_LIMIT_MS 30000 /* for a body to arrive */
#define LINGER_MS     1000  /* for the client to read a refusal */
#define CONTINUE      "HTTP/1.1 100 Continue\r\n\r\n"

/* A request whose connection was taken from libsoup. */
struct taken {
	SoupServer *server;
	SoupServerMessage *msg; /* until the connection is taken */
	GIOStream *stream;
	GSocket *socket;
	struct cnl_conn *limit; /* NULL: none */
	GString *head;		/* of the request that is handed back */
	struct chk chunks;
	GByteArray *body;
	uint64_t max_bytes;
	guint status; /* of the refusal, 0: none */
	const char *reason;
	char *text; /* being written */
	GCancellable *cancellable;
	GSource *timer;
	bool late; /* the time limit has ended the pending call */
	char buffer[READ_BYTES];
};

static void
taken_free(struct taken *t)
{
	if (t->timer != NULL) {
		g_source_destroy(t->timer);
		g_source_unref(t->timer);
	}
	if (t->stream != NULL) {
		g_io_stream_close(t->stream, NULL, NULL);
		g_object_unref(t->stream);
	}
	g_clear_object(&t->msg);
	g_clear_object(&t->socket);
	g_clear_pointer(&t->limit, cnl_unref);
	g_object_unref(t->cancellable);
	g_object_unref(t->server);
	g_string_free(t->head, TRUE);
	g_byte_array_unref(t->body);
	g_free(t->text);
	g_free(t);
}

static GSource *
attach(GSource *source, GSourceFunc fn, gpointer data)
{
	g_source_set_callback(source, fn, data, NULL);
	g_source_attach(source, g_main_context_get_thread_default());
	return source;
}

/* Ends the pending call, whose callback refuses or frees the request. */
static gboolean
on_time_limit(gpointer data)
{
	struct taken *t = data;

	t->late = true;
	g_cancellable_cancel(t->cancellable);
	return G_SOURCE_REMOVE;
}

static void
set_time_limit(struct taken *t, guint limit_ms)
{
	if (t->timer != NULL) {
		g_source_destroy(t->timer);
		g_source_unref(t->timer);
	}
	t->timer = attach(g_timeout_source_new(limit_ms), on_time_limit, t);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void
read_more(struct taken *t)
{
	g_input_stream_read_async(g_io_stream_get_input_stream(t->stream),
	    t->buffer, sizeof(t->buffer), G_PRIORITY_DEFAULT, t->cancellable,
	    on_read, t);
}

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct taken *t = data;

	if (!g_output_stream_write_all_finish(
		G_OUTPUT_STREAM(source), result, NULL, NULL)) {
		taken_free(t);
		return;
	}
	/*
	 * Closing a connection with unread bytes resets it, and the client
	 * might not read the answer.
	 */
	if (t->status != 0) {
		g_socket_shutdown(t->socket, FALSE, TRUE, NULL);
		set_time_limit(t, LINGER_MS);
	}
	read_more(t);
}

static void
write_text(struct taken *t, char *text)
{
	g_free(t->text);
	t->text = text;
	g_output_stream_write_all_async(
	    g_io_stream_get_output_stream(t->stream), text, strlen(text),
	    G_PRIORITY_DEFAULT, t->cancellable, on_written, t);
}

static void
refuse(struct taken *t, guint status, const char *reason)
{
	g_autofree char *body = g_strdup_printf("{\"reason\":\"%s\"}", reason);

	t->status = status;
	write_text(
	    t, g_strdup_printf("HTTP/1.1 %u %s\r\nConnection: close\r\n"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
		   status, soup_status_get_phrase(status), strlen(body), body));
}

static void
close_stream(gpointer data)
{
	g_io_stream_close(data, NULL, NULL);
	g_object_unref(data);
}

/*
 * A copy, since the socket keeps the address that it returns, so that a reference
 * from there to the socket would be a cycle.
 */
GSocketAddress *
frm_remote_address(GSocket *socket, struct cnl_conn *limit)
{
	g_autoptr(GSocketAddress) address =
	    g_socket_get_remote_address(socket, NULL);
	g_autoptr(GInetAddress) any = NULL;
	GSocketAddress *copy;

	if (address != NULL && G_IS_INET_SOCKET_ADDRESS(address)) {
		GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);

		copy = g_inet_socket_address_new(
		    g_inet_socket_address_get_address(inet),
		    g_inet_socket_address_get_port(inet));
	} else {
		any = g_inet_address_new_any(G_SOCKET_FAMILY_IPV4);
		copy = g_inet_socket_address_new(any, 0);
	}
	g_object_set_data_full(
	    G_OBJECT(copy), SOCKET_KEY, g_object_ref(socket), g_object_unref);
	if (limit != NULL)
		g_object_set_data_full(G_OBJECT(copy), LIMIT_KEY,
		    cnl_ref(limit), (GDestroyNotify)cnl_unref);
	return copy;
}

/* Lets the server read the request, now with its length, and answer it. */
static void
hand_back(struct taken *t)
{
	GSocketAddress *local = g_socket_get_local_address(t->socket, NULL);
	GSocketAddress *remote = frm_remote_address(t->socket, t->limit);
	GInputStream *request = g_memory_input_stream_new();
	GIOStream *stream;

	g_string_append_printf(
	    t->head, "Content-Length: %u\r\n\r\n", t->body->len);
	g_memory_input_stream_add_data(G_MEMORY_INPUT_STREAM(request),
	    g_memdup2(t->head->str, t->head->len), (gssize)t->head->len,
	    g_free);
	if (t->body->len > 0)
		g_memory_input_stream_add_data(G_MEMORY_INPUT_STREAM(request),
		    g_memdup2(t->body->data, t->body->len),
		    (gssize)t->body->len, g_free);
	stream = g_simple_io_stream_new(
	    request, g_io_stream_get_output_stream(t->stream));
	g_object_set_data_full(G_OBJECT(stream), STREAM_KEY,
	    g_steal_pointer(&t->stream), close_stream);
	soup_server_accept_iostream(t->server, stream, local, remote, NULL);
	g_object_unref(stream);
	g_object_unref(request);
	g_clear_object(&local);
	g_object_unref(remote);
	taken_free(t);
}

static void
feed(struct taken *t, size_t len)
{
	enum chk_verdict verdict =
	    chk_feed(&t->chunks, t->buffer, len, t->body);

	if (verdict == CHK_BAD)
		refuse(t, SOUP_STATUS_BAD_REQUEST, "a chunk is malformed");
	else if (t->body->len > t->max_bytes)
		refuse(t, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
		    "the body is too large");
	else if (verdict == CHK_END)
		hand_back(t);
	else
		read_more(t);
}

/* The cancelled calls have ended, so that others can follow. */
static void
refuse_late_body(struct taken *t)
{
	g_object_unref(t->cancellable);
	t->cancellable = g_cancellable_new();
	set_time_limit(t, LINGER_MS);
	refuse(
	    t, SOUP_STATUS_REQUEST_TIMEOUT, "the body has not arrived in time");
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct taken *t = data;
	gssize n =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

	if (n < 0 && t->late && t->status == 0)
		refuse_late_body(t);
	else if (n < 0 || (n == 0 && t->status != 0))
		taken_free(t);
	else if (t->status != 0)
		read_more(t);
	else if (n == 0)
		refuse(t, SOUP_STATUS_BAD_REQUEST, "the body ends early");
	else
		feed(t, (size_t)n);
}

static guint
body_limit_ms(void)
{
	int64_t limit_ms = cnl_body_ms();

	return limit_ms > 0 ? (guint)MIN(limit_ms, BODY_LIMIT_MS)
			    : BODY_LIMIT_MS;
}

/* The message can't be taken while it emits a signal. */
static gboolean
on_idle(gpointer data)
{
	struct taken *t = data;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(t->msg);
	bool expects_continue =
	    (soup_message_headers_get_expectations(headers) &
		SOUP_EXPECTATION_CONTINUE) != 0;
	GSocket *socket = frm_socket(t->msg);
	struct cnl_conn *limit = frm_limit(t->msg);

	if (socket != NULL) {
		t->socket = g_object_ref(socket);
		t->limit = limit == NULL ? NULL : cnl_ref(limit);
		t->stream = soup_server_message_steal_connection(t->msg);
	}
	g_clear_object(&t->msg);
	if (t->stream == NULL) {
		taken_free(t);
		return G_SOURCE_REMOVE;
	}
	set_time_limit(t, body_limit_ms());
	if (t->status != 0)
		refuse(t, t->status, t->reason);
	else if (expects_continue)
		write_text(t, g_strdup(CONTINUE));
	else
		read_more(t);
	return G_SOURCE_REMOVE;
}

static bool
is_about_body(const char *name)
{
	static const char *const names[] = {"Transfer-Encoding",
	    "Content-Length", "Connection", "Expect", "Trailer"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return true;
	}
	return false;
}

/* The request line and the headers that do not describe the body. */
static GString *
head_of(SoupServerMessage *msg)
{
	GString *head = g_string_new(NULL);
	SoupMessageHeadersIter iter;
	const char *name, *value;
	g_autofree char *path =
	    g_uri_to_string(soup_server_message_get_uri(msg));

	g_string_append_printf(head, "%s %s HTTP/1.1\r\nConnection: close\r\n",
	    soup_server_message_get_method(msg), path);
	soup_message_headers_iter_init(
	    &iter, soup_server_message_get_request_headers(msg));
	while (soup_message_headers_iter_next(&iter, &name, &value)) {
		if (!is_about_body(name))
			g_string_append_printf(head, "%s: %s\r\n", name, value);
	}
	return head;
}

static bool
is_number(const char *text)
{
	return *text != '\0' && strspn(text, "0123456789") == strlen(text);
}

/* Returns why a request can't be read, or NULL, and the status to answer. */
static const char *
fault_of(SoupServerMessage *msg, guint *status)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);
	const char *method = soup_server_message_get_method(msg);
	const char *length =
	    soup_message_headers_get_list(headers, "Content-Length");
	const char *coding =
	    soup_message_headers_get_list(headers, "Transfer-Encoding");

	*status = SOUP_STATUS_BAD_REQUEST;
	if (length != NULL && coding != NULL)
		return "a body has a length or a coding, not both";
	if (length != NULL && !is_number(length))
		return "the length of the body is not one number";
	/* g_ascii_strtoull() gives the largest number for larger ones. */
	if (length != NULL &&
	    g_ascii_strtoull(length, NULL, 10) > (guint64)G_MAXINT64)
		return "the length of the body is out of range";
	if (length == NULL && coding == NULL &&
	    (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0)) {
		*status = SOUP_STATUS_LENGTH_REQUIRED;
		return "a body needs a length or comes in chunks";
	}
	return NULL;
}

bool
frm_take(SoupServer *server, SoupServerMessage *msg, uint64_t max_bytes)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);
	guint status;
	const char *reason = fault_of(msg, &status);
	struct taken *t;

	if (reason == NULL &&
	    soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED)
		return false;
	t = g_new0(struct taken, 1);
	t->server = g_object_ref(server);
	t->msg = g_object_ref(msg);
	t->status = reason == NULL ? 0 : status;
	t->reason = reason;
	t->max_bytes = max_bytes;
	t->head = head_of(msg);
	t->body = g_byte_array_new();
	t->cancellable = g_cancellable_new();
	soup_server_message_pause(msg);
	g_source_unref(attach(g_idle_source_new(), on_idle, t));
	return true;
}

static gpointer
data_of(SoupServerMessage *msg, const char *key)
{
	GSocketAddress *remote = soup_server_message_get_remote_address(msg);

	return remote == NULL ? NULL : g_object_get_data(G_OBJECT(remote), key);
}

GSocket *
frm_socket(SoupServerMessage *msg)
{
	GSocket *socket = soup_server_message_get_socket(msg);

	return socket != NULL ? socket : data_of(msg, SOCKET_KEY);
}

struct cnl_conn *
frm_limit(SoupServerMessage *msg)
{
	return data_of(msg, LIMIT_KEY);
}
