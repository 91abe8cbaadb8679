#include <string.h>

#include "rig.h"

#define RAW_DEADLINE_MS 1500

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct call *call = data;
	SoupMessage *msg =
	    soup_session_get_async_result_message(SOUP_SESSION(source), result);
	GError *error = NULL;
	GBytes *bytes = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, &error);
	gsize len;

	call->done = true;
	call->done_ms = rec_now_ms();
	if (bytes == NULL) {
		call->status = -1;
		call->answer = g_strdup(error->message);
		g_error_free(error);
	} else {
		const char *text = g_bytes_get_data(bytes, &len);

		call->status = (int)soup_message_get_status(msg);
		call->answer = g_strndup(text, len);
		g_bytes_unref(bytes);
	}
	g_object_unref(source);
}

struct call *
client_send(uint16_t port, const char *method, const char *path,
    const char *body, int64_t deadline_ms)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	g_autofree char *deadline =
	    g_strdup_printf("%" G_GINT64_FORMAT, deadline_ms);
	SoupSession *session =
	    soup_session_new_with_options("proxy-resolver", NULL, NULL);
	SoupMessage *msg = soup_message_new(method, url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(msg);
	struct call *call = g_new0(struct call, 1);

	soup_message_headers_replace(headers, "Host", RIG_HOST);
	soup_message_headers_replace(headers, "X-Deadline-Ms", deadline);
	if (body != NULL) {
		GBytes *bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(
		    msg, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	call->sent_ms = rec_now_ms();
	soup_session_send_and_read_async(
	    session, msg, G_PRIORITY_DEFAULT, NULL, on_answer, call);
	g_object_unref(msg);
	return call;
}

/* A request that is sent as soon as its connection is open. */
struct raw_request {
	char *text;
};

static gboolean
on_hang_up(gpointer data)
{
	g_object_unref(data); /* closes it */
	return G_SOURCE_REMOVE;
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct raw_request *request = data;
	GSocketConnection *conn = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);

	if (conn != NULL) { /* else the process is being restarted */
		g_output_stream_write_all(
		    g_io_stream_get_output_stream(G_IO_STREAM(conn)),
		    request->text, strlen(request->text), NULL, NULL, NULL);
		g_timeout_add(RAW_DEADLINE_MS, on_hang_up, conn);
	}
	g_free(request->text);
	g_free(request);
}

void
client_send_raw(
    uint16_t port, const char *path, const char *body, bool in_chunks)
{
	struct raw_request *request = g_new0(struct raw_request, 1);
	GSocketClient *dialer = g_socket_client_new();
	g_autofree char *head = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: " RIG_HOST "\r\nX-Deadline-Ms: %d\r\n"
	    "Content-Type: application/json\r\n",
	    path, RAW_DEADLINE_MS);

	if (in_chunks)
		request->text =
		    g_strdup_printf("%sTransfer-Encoding: chunked\r\n\r\n"
				    "%zx\r\n%s\r\n0\r\n\r\n",
			head, strlen(body), body);
	else
		request->text =
		    g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", head,
			strlen(body), body);
	g_socket_client_set_enable_proxy(dialer, FALSE);
	g_socket_client_connect_to_host_async(
	    dialer, "127.0.0.1", port, NULL, on_connected, request);
	g_object_unref(dialer);
}

bool
client_wait(struct call *call, int64_t ms)
{
	int64_t until_ms = rec_now_ms() + ms;

	while (!call->done && rec_now_ms() < until_ms)
		rig_sleep(5);
	return call->done;
}

char *
client_job(const char *spec, int count, int cpu, int estimate_ms)
{
	return g_strdup_printf(
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":%d,"
	    "\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d}]}",
	    spec, count, cpu, estimate_ms);
}
