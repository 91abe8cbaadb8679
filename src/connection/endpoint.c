#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "connection/chunked.h"
#include "connection/endpoint.h"
#include "process/clock.h"

/* With reads of 64 KB, glibc returned their memory to the kernel every call. */
#define BODY_READ_BYTES 8192
#define US_PER_MS	1000
#define NS_PER_US	1000
#define NS_PER_MS	1000000
/* The run queue limits the calls, so libsoup must never delay one. */
#define MAX_CONNECTIONS 65536

struct ep {
	struct ep_options opts;
	SoupSession *session;
	GHashTable *calls; /* set of struct call */
};

struct call {
	struct ep *ep; /* NULL after ep_free() */
	SoupMessage *msg;
	GCancellable *cancel;
	GInputStream *stream;
	GInputStream *raw; /* the body before chunk decoding; borrowed */
	GByteArray *body;
	struct chk chunks;
	bool chunked;
	guint timer_id;
	int64_t begin_ns;
	int64_t deadline_ms;
	int64_t start_by_ns;
	bool is_job_task; /* POST to /tasks; answer headers are dropped */
	bool sent;	  /* a byte may have been written */
	bool too_large;
	bool expired;
	uint64_t seq;
	ep_done_fn done;
	void *ctx;
};

/* Redirects, authentication, proxies and content decoding are disabled. */
struct ep *
ep_new(const struct ep_options *opts)
{
	struct ep *ep = g_new0(struct ep, 1);

	ep->opts = *opts;
	ep->opts.max_answer_bytes =
	    MIN(opts->max_answer_bytes, (uint64_t)WIRE_PAYLOAD_MAX);
	ep->session = soup_session_new_with_options("max-conns",
	    MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
	    "proxy-resolver", NULL, "timeout", 0, NULL);
	soup_session_remove_feature_by_type(
	    ep->session, SOUP_TYPE_AUTH_MANAGER);
	soup_session_remove_feature_by_type(
	    ep->session, SOUP_TYPE_CONTENT_DECODER);
	ep->calls = g_hash_table_new(NULL, NULL);
	return ep;
}

void
ep_free(struct ep *ep)
{
	GHashTableIter iter;
	gpointer key;

	if (ep == NULL)
		return;
	g_hash_table_iter_init(&iter, ep->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct call *call = key;

		call->ep = NULL;
		g_cancellable_cancel(call->cancel);
	}
	g_hash_table_unref(ep->calls);
	soup_session_abort(ep->session);
	g_object_unref(ep->session);
	g_free(ep);
}

bool
ep_address_is_valid(const char *address)
{
	GUri *uri = g_uri_parse(address, G_URI_FLAGS_NONE, NULL);
	bool ok;

	if (uri == NULL)
		return false;
	ok = strcmp(g_uri_get_scheme(uri), "http") == 0 &&
	     g_uri_get_host(uri) != NULL && *g_uri_get_host(uri) != '\0' &&
	     g_uri_get_port(uri) > 0 && *g_uri_get_path(uri) == '\0' &&
	     g_uri_get_query(uri) == NULL && g_uri_get_userinfo(uri) == NULL &&
	     g_uri_get_fragment(uri) == NULL;
	g_uri_unref(uri);
	return ok;
}

static void
call_free(struct call *call)
{
	if (call->ep != NULL)
		g_hash_table_remove(call->ep->calls, call);
	g_clear_handle_id(&call->timer_id, g_source_remove);
	if (call->msg != NULL)
		g_signal_handlers_disconnect_by_data(call->msg, call);
	g_clear_object(&call->msg);
	g_clear_object(&call->stream);
	g_object_unref(call->cancel);
	g_byte_array_unref(call->body);
	g_free(call);
}

/* Hop-by-hop headers, and headers that the agent sets itself. */
static bool
is_reserved_header(const char *name)
{
	static const char *const reserved[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host",
	    "Content-Length", "traceparent", "Sequoiaplank-Task-Id",
	    "Sequoiaplank-Start-By"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reserved); i++) {
		if (g_ascii_strcasecmp(name, reserved[i]) == 0)
			return true;
	}
	return false;
}

static void
copy_headers(struct call *call, struct wire_result *result)
{
	SoupMessageHeaders *from = soup_message_get_response_headers(call->msg);
	SoupMessageHeadersIter iter;
	const char *name, *value;
	u_int n = 0;

	result->headers.headers_val =
	    calloc(WIRE_HEADERS_MAX, sizeof(struct wire_header));
	if (result->headers.headers_val == NULL)
		abort();
	soup_message_headers_iter_init(&iter, from);
	while (n < WIRE_HEADERS_MAX &&
	       soup_message_headers_iter_next(&iter, &name, &value)) {
		if (is_reserved_header(name) || strlen(name) > WIRE_NAME_MAX ||
		    strlen(value) > 4096)
			continue;
		result->headers.headers_val[n].name = strdup(name);
		result->headers.headers_val[n++].value = strdup(value);
	}
	result->headers.headers_len = n;
}

/* Whether the endpoint answered that it did not run the task. */
static bool
is_not_run(const struct call *call)
{
	const char *value = soup_message_headers_get_one(
	    soup_message_get_response_headers(call->msg),
	    "Sequoiaplank-Not-Run");

	return soup_message_get_status(call->msg) ==
		   SOUP_STATUS_PRECONDITION_FAILED &&
	       value != NULL && g_ascii_strcasecmp(value, "true") == 0;
}

/*
 * The latest start time is the deadline or, if earlier, the time at which the
 * configuration becomes stale.  In the latter case the reason STALE makes the
 * entry pause the agent instead of sending it the same task again at once.
 */
static void
fill_not_run(const struct call *call, struct wire_result *result)
{
	result->outcome = WIRE_NOT_STARTED;
	result->reason = call->start_by_ns / NS_PER_MS >= call->deadline_ms
			     ? WIRE_REASON_DEADLINE
			     : WIRE_REASON_STALE;
}

static void
fill_answer(struct call *call, struct wire_result *result)
{
	result->outcome = WIRE_DONE;
	result->status = soup_message_get_status(call->msg);
	if (!call->is_job_task)
		copy_headers(call, result);
	if (call->body->len == 0)
		return;
	/* XDR frees with free(), so the body is copied out of GLib's heap. */
	result->body.wire_payload_val = malloc(call->body->len);
	if (result->body.wire_payload_val == NULL)
		abort();
	memcpy(
	    result->body.wire_payload_val, call->body->data, call->body->len);
	result->body.wire_payload_len = call->body->len;
}

static enum wire_reason
failure_reason(const struct call *call)
{
	if (call->too_large)
		return WIRE_REASON_TOO_LARGE;
	if (call->expired || clk_now_ms() >= call->deadline_ms)
		return WIRE_REASON_DEADLINE;
	if (call->sent)
		return WIRE_REASON_BROKEN;
	if (call->start_by_ns < clk_now_ns())
		return WIRE_REASON_STALE;
	return WIRE_REASON_CONNECT;
}

/* Ends a call; complete: the whole answer was received. */
static void
finish(struct call *call, bool complete)
{
	struct wire_result result = {.seq = call->seq};

	if (call->ep != NULL) {
		if (complete && is_not_run(call)) {
			fill_not_run(call, &result);
		} else if (complete) {
			fill_answer(call, &result);
		} else {
			result.outcome =
			    call->sent ? WIRE_UNKNOWN : WIRE_NOT_STARTED;
			result.reason = failure_reason(call);
		}
		result.run_us = (clk_now_ns() - call->begin_ns) / NS_PER_US;
		call->done(&result, call->ctx);
	}
	call_free(call);
}

static void on_body(GObject *source, GAsyncResult *res, gpointer data);

static void
read_more(struct call *call)
{
	g_input_stream_read_bytes_async(
	    call->chunked ? call->raw : call->stream, BODY_READ_BYTES,
	    G_PRIORITY_DEFAULT, call->cancel, on_body, call);
}

/*
 * Whether the body has its full length.  libsoup 3.2 reports no error when the
 * connection closes before Content-Length bytes arrived.  An answer without a
 * length counts as incomplete, since a truncated one would look the same.
 */
static bool
is_complete(const struct call *call)
{
	SoupMessageHeaders *headers =
	    soup_message_get_response_headers(call->msg);
	guint status = soup_message_get_status(call->msg);

	if (status == SOUP_STATUS_NO_CONTENT ||
	    status == SOUP_STATUS_NOT_MODIFIED ||
	    strcmp(soup_message_get_method(call->msg), "HEAD") == 0)
		return true;
	return soup_message_headers_get_encoding(headers) ==
		   SOUP_ENCODING_CONTENT_LENGTH &&
	       soup_message_headers_get_content_length(headers) ==
		   call->body->len;
}

/* Appends bytes that were read to the body; len is 0 at the end of input. */
static void
append_body(struct call *call, const char *data, gsize len)
{
	enum chk_verdict verdict = CHK_MORE;

	if (len == 0) {
		finish(call, !call->chunked && is_complete(call));
		return;
	}
	if (call->chunked)
		verdict = chk_feed(&call->chunks, data, len, call->body);
	else
		g_byte_array_append(call->body, (const guint8 *)data, len);
	call->too_large = call->body->len > call->ep->opts.max_answer_bytes;
	/*
	 * Ends the call when Content-Length bytes were read, as waiting for the
	 * end of input would take another main loop iteration.
	 */
	if (!call->chunked && is_complete(call))
		verdict = CHK_END;
	if (call->too_large || verdict != CHK_MORE)
		finish(call, !call->too_large && verdict == CHK_END);
	else
		read_more(call);
}

static void
on_body(GObject *source, GAsyncResult *res, gpointer data)
{
	struct call *call = data;
	GBytes *bytes;
	gsize len;

	bytes =
	    g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), res, NULL);
	if (bytes == NULL || call->ep == NULL) {
		finish(call, false);
	} else {
		data = (gpointer)g_bytes_get_data(bytes, &len);
		append_body(call, data, len);
	}
	g_clear_pointer(&bytes, g_bytes_unref);
}

static GInputStream *
base_stream(GInputStream *stream)
{
	if (stream == NULL || !G_IS_FILTER_INPUT_STREAM(stream))
		return NULL;
	return g_filter_input_stream_get_base_stream(
	    G_FILTER_INPUT_STREAM(stream));
}

static void
on_answer(GObject *source, GAsyncResult *res, gpointer data)
{
	struct call *call = data;

	call->stream =
	    soup_session_send_finish(SOUP_SESSION(source), res, NULL);
	if (call->stream == NULL || call->ep == NULL) {
		finish(call, false);
		return;
	}
	call->chunked = soup_message_headers_get_encoding(
			    soup_message_get_response_headers(call->msg)) ==
			SOUP_ENCODING_CHUNKED;
	if (call->chunked) {
		/* Two streams wrap the raw one; the inner one decodes. */
		call->raw = base_stream(base_stream(call->stream));
		if (call->raw == NULL) {
			finish(call, false);
			return;
		}
	}
	read_more(call);
}

/*
 * Runs just before the first byte is written.  libsoup checks the cancellable
 * before each write, so after cancelling it here nothing is sent.
 */
static void
on_starting(SoupMessage *msg, gpointer data)
{
	struct call *call = data;

	(void)msg;
	if (call->sent || g_cancellable_is_cancelled(call->cancel) ||
	    clk_now_ns() > call->start_by_ns) {
		g_cancellable_cancel(call->cancel);
		return;
	}
	call->sent = true;
}

static gboolean
on_deadline(gpointer data)
{
	struct call *call = data;

	call->timer_id = 0;
	call->expired = true;
	g_cancellable_cancel(call->cancel);
	return G_SOURCE_REMOVE;
}

static gboolean
on_invalid_request(gpointer data)
{
	struct call *call = data;

	call->timer_id = 0;
	finish(call, false);
	return G_SOURCE_REMOVE;
}

static void
set_headers(struct call *call, const struct ep_request *request)
{
	SoupMessageHeaders *headers =
	    soup_message_get_request_headers(call->msg);
	const struct wire_start *start = request->start;
	char number[32];
	u_int i;

	for (i = 0; i < start->headers.headers_len; i++) {
		const struct wire_header *h = &start->headers.headers_val[i];

		if (!is_reserved_header(h->name))
			soup_message_headers_append(headers, h->name, h->value);
	}
	snprintf(number, sizeof(number), "%lld", (long long)call->start_by_ns);
	soup_message_headers_replace(headers, "Connection", "close");
	soup_message_headers_replace(
	    headers, "Sequoiaplank-Task-Id", start->task_id);
	soup_message_headers_replace(headers, "Sequoiaplank-Start-By", number);
	if (request->traceparent != NULL)
		soup_message_headers_replace(
		    headers, "traceparent", request->traceparent);
}

static void
set_body(SoupMessage *msg, struct wire_start *start)
{
	GBytes *bytes;
	const char *type = soup_message_headers_get_one(
	    soup_message_get_request_headers(msg), "Content-Type");
	char *content_type;

	if (start->payload.wire_payload_len == 0 && start->method[0] != '\0')
		return;
	content_type =
	    g_strdup(type != NULL ? type : "application/octet-stream");
	bytes = g_bytes_new_with_free_func(start->payload.wire_payload_val,
	    start->payload.wire_payload_len, free,
	    start->payload.wire_payload_val);
	start->payload.wire_payload_val = NULL;
	start->payload.wire_payload_len = 0;
	soup_message_set_request_body_from_bytes(msg, content_type, bytes);
	g_bytes_unref(bytes);
	g_free(content_type);
}

static SoupMessage *
message_new(const struct ep_request *request)
{
	const struct wire_start *start = request->start;
	bool is_job_task = start->method[0] == '\0';
	SoupMessage *msg = NULL;
	char *text;
	GUri *uri;

	if (!is_job_task && start->path[0] != '/')
		return NULL;
	text = g_strconcat(
	    request->address, is_job_task ? "/tasks" : start->path, NULL);
	uri = g_uri_parse(text, SOUP_HTTP_URI_FLAGS, NULL);
	if (uri != NULL) {
		msg = soup_message_new_from_uri(
		    is_job_task ? "POST" : start->method, uri);
		g_uri_unref(uri);
	}
	g_free(text);
	return msg;
}

void
ep_call(
    struct ep *ep, const struct ep_request *request, ep_done_fn done, void *ctx)
{
	struct call *call = g_new0(struct call, 1);
	int64_t left_ms = request->deadline_ms - clk_now_ms();

	call->ep = ep;
	call->seq = request->start->seq;
	call->is_job_task = request->start->method[0] == '\0';
	call->begin_ns = clk_now_ns();
	call->deadline_ms = request->deadline_ms;
	call->start_by_ns = request->start_by_ns;
	call->done = done;
	call->ctx = ctx;
	call->cancel = g_cancellable_new();
	call->body = g_byte_array_new();
	g_hash_table_add(ep->calls, call);
	call->msg = message_new(request);
	if (call->msg == NULL) {
		call->timer_id = g_idle_add(on_invalid_request, call);
		return;
	}
	/* libsoup may repeat a request that it sent on a reused connection. */
	soup_message_set_flags(
	    call->msg, SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT);
	set_headers(call, request);
	set_body(call->msg, request->start);
	g_signal_connect(call->msg, "starting", G_CALLBACK(on_starting), call);
	call->timer_id = g_timeout_add(
	    CLAMP(left_ms, 0, G_MAXUINT / US_PER_MS), on_deadline, call);
	soup_session_send_async(ep->session, call->msg, G_PRIORITY_DEFAULT,
	    call->cancel, on_answer, call);
}
