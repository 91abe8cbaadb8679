/*
 * Requests with a body in chunks on a loopback connection.  The input writes the
 * chunks, in legal forms and in illegal ones, and knows the body that they stand
 * for.  The handler gets this body once, or the request is refused and the
 * handler gets nothing; each request has one answer.
 */
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "connection/httplisten.h"
#include "fuzz/check.h"

#define MAX_BODY_BYTES 2000
#define MAX_CHUNK      40
#define LIMIT_MS       5000 /* for an answer */

/* What the handler got since the last request was sent. */
static struct {
	int calls;
	GByteArray *body;
} handled;

static uint16_t server_port;

struct request {
	GString *text;
	GString *body;
	bool is_valid;
};

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	g_autoptr(GBytes) body = hl_take_body(msg);

	(void)server;
	(void)path;
	(void)query;
	(void)data;
	if (body == NULL) {
		soup_server_message_set_status(msg, 413, NULL);
		return;
	}
	handled.calls++;
	g_byte_array_append(handled.body, g_bytes_get_data(body, NULL),
	    (guint)g_bytes_get_size(body));
	soup_server_message_set_status(msg, 200, NULL);
}

static void
start_server(void)
{
	SoupServer *server = soup_server_new("server-header", NULL, NULL);
	struct status st;
	GSList *uris;

	hl_limit_bodies(server, MAX_BODY_BYTES);
	soup_server_add_handler(server, NULL, on_request, NULL, NULL);
	fz_check(hl_listen(server, "127.0.0.1:0", &st));
	uris = soup_server_get_uris(server);
	server_port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	handled.body = g_byte_array_new();
}

/* A chunk size, in one of the legal forms or of the illegal ones. */
static void
add_size(struct request *r, uint8_t form, unsigned size)
{
	static const char *const legal[] = {
	    "%x", "%X", "000%x", "%x;name", "%x ;a=\"b\""};
	static const char *const illegal[] = {
	    "0x%x", "+%x", "-%x", " %x", "%xg", "fffffffff%x", "", "z%x"};

	if (form < 200) {
		g_string_append_printf(
		    r->text, legal[form % G_N_ELEMENTS(legal)], size);
	} else {
		g_string_append_printf(
		    r->text, illegal[form % G_N_ELEMENTS(illegal)], size);
		r->is_valid = false;
	}
	g_string_append(r->text, "\r\n");
}

/* Uses some bytes of the input; returns how many. */
static size_t
add_chunk(struct request *r, const uint8_t *in, size_t size)
{
	size_t len = MIN(1 + in[0] % MAX_CHUNK, size - 1);

	if (len == 0)
		return 1;
	add_size(r, size > 1 ? in[1] : 0, (unsigned)len);
	g_string_append_len(r->text, (const char *)in + 1, (gssize)len);
	g_string_append_len(r->body, (const char *)in + 1, (gssize)len);
	if (in[0] >= 250) { /* no end of the chunk */
		g_string_append(r->text, "x\r\n");
		r->is_valid = false;
	} else {
		g_string_append(r->text, "\r\n");
	}
	return 1 + len;
}

static struct request
make_request(const uint8_t *in, size_t size)
{
	struct request r = {.text = g_string_new(NULL),
	    .body = g_string_new(NULL),
	    .is_valid = true};
	bool has_end = size == 0 || in[size - 1] % 8 != 0;
	size_t used;

	g_string_append(r.text, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Transfer-Encoding: chunked\r\n\r\n");
	while (size > 0) {
		used = add_chunk(&r, in, size);
		in += used;
		size -= used;
	}
	if (has_end)
		g_string_append(r.text, "0\r\n\r\n");
	else
		r.is_valid = false;
	return r;
}

static GSocket *
connect_to_server(void)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *to =
	    g_inet_socket_address_new_from_string("127.0.0.1", server_port);

	fz_check(g_socket_connect(socket, to, NULL, NULL));
	g_object_unref(to);
	g_socket_set_blocking(socket, FALSE);
	return socket;
}

/* Sends the request and ends the input; returns all that is answered. */
static GString *
exchange(const GString *text)
{
	GSocket *socket = connect_to_server();
	int64_t end_us = g_get_monotonic_time() + LIMIT_MS * INT64_C(1000);
	GString *answer = g_string_new(NULL);
	char buffer[1024];
	gssize n = -1;

	fz_check(g_socket_send(socket, text->str, text->len, NULL, NULL) ==
		 (gssize)text->len);
	g_socket_shutdown(socket, FALSE, TRUE, NULL);
	while (n != 0 && g_get_monotonic_time() < end_us) {
		g_main_context_iteration(NULL, FALSE);
		n = g_socket_receive(
		    socket, buffer, sizeof(buffer), NULL, NULL);
		if (n > 0)
			g_string_append_len(answer, buffer, n);
	}
	fz_check(n == 0);
	g_socket_close(socket, NULL);
	g_object_unref(socket);
	return answer;
}

static int
count_answers(const char *text)
{
	int n = 0;

	while ((text = strstr(text, "HTTP/1.")) != NULL) {
		n++;
		text++;
	}
	return n;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct request r;
	GString *answer;

	if (server_port == 0)
		start_server();
	handled.calls = 0;
	g_byte_array_set_size(handled.body, 0);
	r = make_request(data, size);
	answer = exchange(r.text);
	fz_check(count_answers(answer->str) == 1);
	if (r.is_valid && r.body->len <= MAX_BODY_BYTES) {
		fz_check(g_str_has_prefix(answer->str, "HTTP/1.1 200 "));
		fz_check(handled.calls == 1);
		fz_check(handled.body->len == r.body->len);
		fz_check(
		    r.body->len == 0 ||
		    memcmp(handled.body->data, r.body->str, r.body->len) == 0);
	} else {
		fz_check(g_str_has_prefix(answer->str, "HTTP/1.1 4"));
		fz_check(handled.calls == 0);
	}
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	g_string_free(answer, TRUE);
	g_string_free(r.text, TRUE);
	g_string_free(r.body, TRUE);
	return 0;
}
