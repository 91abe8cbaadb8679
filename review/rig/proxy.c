#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "rig.h"

#define CHUNK_BYTES 16384

/* Bytes on a slow connection, and when they come out. */
struct chunk {
	GBytes *bytes; /* empty: end of stream */
	int64_t due_ms;
};

struct proxy {
	GSocketService *service;
	uint16_t port, target;
	bool cut, reset_new;
	const char *slow_mark;
	int64_t (*delay_ms)(void);
	GPtrArray *pipes;   /* struct pipe, those with held bytes */
	GPtrArray *waiting; /* GSocketConnection, not connected yet */
};

/* One direction of a connection. */
struct pipe {
	struct proxy *proxy;
	GSocketConnection *from, *to;
	char chunk[CHUNK_BYTES];
	gssize len; /* 0: end of stream */
	bool up, marked;
	int64_t last_due_ms;
	GQueue chunks; /* struct chunk, of a slow connection */
};

static void read_more(struct pipe *pipe);

static void
pipe_free(struct pipe *pipe)
{
	g_object_unref(pipe->from);
	g_object_unref(pipe->to);
	g_free(pipe);
}

static gboolean
deliver(gpointer data)
{
	struct pipe *pipe = data;
	GOutputStream *out =
	    g_io_stream_get_output_stream(G_IO_STREAM(pipe->to));

	if (pipe->len > 0 && g_output_stream_write_all(out, pipe->chunk,
				 (gsize)pipe->len, NULL, NULL, NULL)) {
		read_more(pipe);
		return G_SOURCE_REMOVE;
	}
	g_socket_shutdown(
	    g_socket_connection_get_socket(pipe->to), FALSE, TRUE, NULL);
	pipe_free(pipe);
	return G_SOURCE_REMOVE;
}

/* Delivers the oldest chunk of a slow connection. */
static gboolean
deliver_chunk(gpointer data)
{
	struct pipe *pipe = data;
	struct chunk *chunk = g_queue_pop_head(&pipe->chunks);
	gsize len = g_bytes_get_size(chunk->bytes);
	GOutputStream *out =
	    g_io_stream_get_output_stream(G_IO_STREAM(pipe->to));

	if (len > 0)
		g_output_stream_write_all(out,
		    g_bytes_get_data(chunk->bytes, NULL), len, NULL, NULL,
		    NULL);
	else
		g_socket_shutdown(g_socket_connection_get_socket(pipe->to),
		    FALSE, TRUE, NULL);
	g_bytes_unref(chunk->bytes);
	g_free(chunk);
	if (len == 0)
		pipe_free(pipe);
	return G_SOURCE_REMOVE;
}

/* What the connection's first bytes contain tells whether it is slow. */
static bool
is_slow(struct pipe *pipe)
{
	const char *mark = pipe->proxy->slow_mark;

	if (mark != NULL && pipe->up && pipe->len > 0 && !pipe->marked)
		pipe->marked = memmem(pipe->chunk, (size_t)pipe->len, mark,
				   strlen(mark)) != NULL;
	return pipe->marked;
}

static void
delay_chunk(struct pipe *pipe)
{
	struct chunk *chunk = g_new0(struct chunk, 1);
	int64_t now_ms = rec_now_ms();

	chunk->bytes = g_bytes_new(pipe->chunk, (gsize)pipe->len);
	chunk->due_ms =
	    MAX(pipe->last_due_ms, now_ms + pipe->proxy->delay_ms());
	pipe->last_due_ms = chunk->due_ms;
	g_queue_push_tail(&pipe->chunks, chunk);
	g_timeout_add((guint)(chunk->due_ms - now_ms), deliver_chunk, pipe);
	if (pipe->len > 0)
		read_more(pipe);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pipe *pipe = data;

	pipe->len =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	pipe->len = MAX(pipe->len, 0);
	if (is_slow(pipe))
		delay_chunk(pipe);
	else if (pipe->proxy->cut)
		g_ptr_array_add(pipe->proxy->pipes, pipe);
	else
		deliver(pipe);
}

static void
read_more(struct pipe *pipe)
{
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(pipe->from)), pipe->chunk,
	    CHUNK_BYTES, G_PRIORITY_DEFAULT, NULL, on_read, pipe);
}

static void
pump(struct proxy *proxy, GSocketConnection *from, GSocketConnection *to,
    bool up)
{
	struct pipe *pipe = g_new0(struct pipe, 1);

	pipe->proxy = proxy;
	pipe->up = up;
	g_queue_init(&pipe->chunks);
	pipe->from = g_object_ref(from);
	pipe->to = g_object_ref(to);
	read_more(pipe);
}

static void
pass(struct proxy *proxy, GSocketConnection *client)
{
	GSocketClient *dialer = g_socket_client_new();
	GSocketConnection *server;

	g_socket_client_set_enable_proxy(dialer, FALSE);
	server = g_socket_client_connect_to_host(
	    dialer, "127.0.0.1", proxy->target, NULL, NULL);
	g_object_unref(dialer);
	if (server == NULL)
		return;
	pump(proxy, client, server, true);
	pump(proxy, server, client, false);
	g_object_unref(server);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *client, GObject *source,
    gpointer data)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct proxy *proxy = data;

	(void)service;
	(void)source;
	if (proxy->reset_new) {
		setsockopt(
		    g_socket_get_fd(g_socket_connection_get_socket(client)),
		    SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		g_io_stream_close(G_IO_STREAM(client), NULL, NULL);
	} else if (proxy->cut) {
		g_ptr_array_add(proxy->waiting, g_object_ref(client));
	} else {
		pass(proxy, client);
	}
	return TRUE;
}

struct proxy *
proxy_new(uint16_t target_port)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	GSocketAddress *address;
	GError *error = NULL;

	proxy->target = target_port;
	proxy->port = rig_free_port();
	proxy->pipes = g_ptr_array_new();
	proxy->waiting = g_ptr_array_new_with_free_func(g_object_unref);
	proxy->service = g_socket_service_new();
	address =
	    g_inet_socket_address_new_from_string("127.0.0.1", proxy->port);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(proxy->service),
		address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		NULL, &error))
		rig_fail("proxy: %s", error->message);
	g_object_unref(address);
	g_signal_connect(
	    proxy->service, "incoming", G_CALLBACK(on_incoming), proxy);
	return proxy;
}

uint16_t
proxy_port(const struct proxy *proxy)
{
	return proxy->port;
}

void
proxy_cut(struct proxy *proxy)
{
	proxy->cut = true;
}

void
proxy_heal(struct proxy *proxy, int64_t lag_ms)
{
	guint i;

	proxy->cut = false;
	for (i = 0; i < proxy->waiting->len; i++)
		pass(proxy, proxy->waiting->pdata[i]);
	g_ptr_array_set_size(proxy->waiting, 0);
	for (i = 0; i < proxy->pipes->len; i++)
		g_timeout_add((guint)lag_ms, deliver, proxy->pipes->pdata[i]);
	g_ptr_array_set_size(proxy->pipes, 0);
}

void
proxy_reset_new(struct proxy *proxy, bool reset)
{
	proxy->reset_new = reset;
}

void
proxy_slow_down(
    struct proxy *proxy, const char *mark, int64_t (*delay_ms)(void))
{
	proxy->slow_mark = mark;
	proxy->delay_ms = delay_ms;
}
