#include <string.h>

#include "connection/httplisten.h"
#include "request/callers.h"
#include "request/http_reply.h"

#define JOBS_PREFIX	 "/v1/jobs/"
#define REQUEST_DATA_KEY "sequoiaplank-request"

struct http {
	struct http_options opts;
	SoupServer *server;
	uint32_t in_progress;
	int64_t *requests;
	int64_t *errors;
	int64_t *in_progress_gauge;
};

/* State of one request, from the arrival of its headers to its answer. */
struct request {
	struct http *http;
	enum ref_code refusal;
	struct api_call *call;
	SoupServerMessage *paused; /* holds a reference */
};

static void
request_free(gpointer data)
{
	struct request *req = data;

	if (req->call != NULL)
		api_cancel(req->call);
	req->http->in_progress--;
	*req->http->in_progress_gauge = req->http->in_progress;
	g_free(req);
}

static void
on_message_finished(SoupServerMessage *msg, gpointer data)
{
	struct request *req = data;
	SoupServerMessage *paused = g_steal_pointer(&req->paused);

	if (soup_server_message_get_status(msg) >= 400)
		(*req->http->errors)++;
	g_signal_handlers_disconnect_by_data(msg, req);
	g_object_set_data(G_OBJECT(msg), REQUEST_DATA_KEY, NULL);
	g_clear_object(&paused);
}

/* Discards the body; the handler answers with the refusal later. */
static void
refuse_body(SoupServerMessage *msg, struct request *req, enum ref_code refusal)
{
	req->refusal = refusal;
	hl_discard_body(msg);
}

static void
check_length(struct http *http, SoupServerMessage *msg, struct request *req)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);
	const char *length =
	    soup_message_headers_get_list(headers, "Content-Length");

	if (http->in_progress > http->opts.max_requests)
		refuse_body(msg, req, REF_OVERLOADED);
	/* Chunked bodies: libsoup treats a truncated one as complete. */
	else if (soup_message_headers_get_list(headers, "Transfer-Encoding") !=
		 NULL)
		refuse_body(msg, req, REF_LENGTH_REQUIRED);
	else if (length != NULL && strchr(length, ',') != NULL)
		refuse_body(msg, req, REF_BAD_REQUEST);
	else if (length != NULL &&
		 (uint64_t)soup_message_headers_get_content_length(headers) >
		     http->opts.max_body_bytes)
		refuse_body(msg, req, REF_TOO_LARGE);
}

static const char *
refusal_message(enum ref_code code)
{
	switch (code) {
	case REF_TOO_LARGE:
		return "the body is too large";
	case REF_LENGTH_REQUIRED:
		return "a body needs Content-Length and no Transfer-Encoding";
	case REF_OVERLOADED:
		return "too many requests in progress";
	default:
		return "malformed request";
	}
}

/* Runs when the headers have arrived, before any of the body is stored. */
static void
on_headers(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct http *http = data;
	struct request *req = g_new0(struct request, 1);

	(void)server;
	(void)path;
	(void)query;
	req->http = http;
	http->in_progress++;
	*http->in_progress_gauge = http->in_progress;
	(*http->requests)++;
	/*
	 * The request is freed with the message, since libsoup may not emit
	 * "finished" when the connection closes.
	 */
	g_object_set_data_full(
	    G_OBJECT(msg), REQUEST_DATA_KEY, req, request_free);
	g_signal_connect(msg, "finished", G_CALLBACK(on_message_finished), req);
	check_length(http, msg, req);
}

static void
on_answer(uint32_t status, const char *body, size_t len, void *ctx)
{
	SoupServerMessage *msg = ctx;
	struct request *req =
	    g_object_get_data(G_OBJECT(msg), REQUEST_DATA_KEY);

	hr_json(msg, status, body, len);
	req->call = NULL;
	if (req->paused != NULL) {
		soup_server_message_unpause(msg);
		g_clear_object(&req->paused);
	}
}

static bool
read_wait(GHashTable *query, int64_t *wait_ms)
{
	const char *text =
	    query != NULL ? g_hash_table_lookup(query, "wait_ms") : NULL;
	gint64 value = 0;

	if (text != NULL && !g_ascii_string_to_signed(
				text, 10, 0, API_MAX_WAIT_MS, &value, NULL))
		return false;
	*wait_ms = value;
	return true;
}

static void
handle_job(struct http *http, SoupServerMessage *msg, const char *id,
    GHashTable *query)
{
	struct request *req =
	    g_object_get_data(G_OBJECT(msg), REQUEST_DATA_KEY);
	GBytes *body = soup_message_body_flatten(
	    soup_server_message_get_request_body(msg));
	struct api_request request = {
	    .method = soup_server_message_get_method(msg),
	    .id = id,
	    .traceparent = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "traceparent"),
	};

	request.body = g_bytes_get_data(body, &request.body_len);
	if (request.body == NULL)
		request.body = "";
	if (!read_wait(query, &request.wait_ms)) {
		hr_refuse(msg, REF_BAD_REQUEST,
		    "wait_ms: expected 0 to " G_STRINGIFY(API_MAX_WAIT_MS));
	} else {
		req->call =
		    api_handle(http->opts.api, &request, on_answer, msg);
		if (req->call != NULL) {
			req->paused = g_object_ref(msg);
			soup_server_message_pause(msg);
		}
	}
	g_bytes_unref(body);
}

static void
handle_ids(struct http *http, SoupServerMessage *msg)
{
	GBytes *body = soup_message_body_flatten(
	    soup_server_message_get_request_body(msg));
	struct status why;
	enum ref_code code;
	uint32_t count;
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	char *answer;

	code = jf_parse_count(data, len, &count, &why);
	if (strcmp(soup_server_message_get_method(msg), "POST") != 0) {
		hr_refuse(msg, REF_METHOD_NOT_ALLOWED, "expected POST");
	} else if (code != REF_NONE) {
		hr_refuse(msg, code, why.message);
	} else if (api_is_closed(http->opts.api)) {
		hr_refuse(
		    msg, REF_SHUTTING_DOWN, "this entry is shutting down");
	} else {
		answer = api_mint_ids(http->opts.api, count);
		hr_json(msg, 200, answer, strlen(answer));
		g_free(answer);
	}
	g_bytes_unref(body);
}

static bool
handle_monitoring_pages(struct http *http, SoupServerMessage *msg,
    const char *path, GHashTable *query)
{
	bool ready;
	char *text;

	if (strcmp(path, "/healthz") == 0) {
		hr_text(msg, 200, "ok\n");
	} else if (strcmp(path, "/readyz") == 0) {
		ready = http->opts.is_ready(http->opts.ctx);
		hr_text(msg, ready ? 200 : 503, ready ? "ready\n" : "no\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = ctr_text(http->opts.counters);
		hr_text(msg, 200, text);
		g_free(text);
	} else if (strcmp(path, "/v1/traces") == 0) {
		text = trc_json(http->opts.traces,
		    query != NULL ? g_hash_table_lookup(query, "trace_id")
				  : NULL);
		hr_json(msg, 200, text, strlen(text));
		g_free(text);
	} else {
		return false;
	}
	return true;
}

/*
 * Refuses a request by its headers.  "ran" is "unknown" if a job with the same
 * id may have been submitted earlier, here or at the entry that owns it.
 */
static void
refuse_headers(struct http *http, SoupServerMessage *msg, const char *path,
    enum ref_code code)
{
	char *body;

	if (!g_str_has_prefix(path, JOBS_PREFIX) ||
	    api_is_unused(http->opts.api, path + strlen(JOBS_PREFIX))) {
		hr_refuse(msg, code, refusal_message(code));
		return;
	}
	body = ref_json_of(ref_name(code), "unknown", refusal_message(code));
	hr_json(msg, ref_http_status(code), body, strlen(body));
	g_free(body);
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct http *http = data;
	struct request *req =
	    g_object_get_data(G_OBJECT(msg), REQUEST_DATA_KEY);

	(void)server;
	if (req == NULL)
		hr_refuse(msg, REF_BAD_REQUEST, "malformed request");
	else if (req->refusal != REF_NONE)
		refuse_headers(http, msg, path, req->refusal);
	else if (g_str_has_prefix(path, JOBS_PREFIX))
		handle_job(http, msg, path + strlen(JOBS_PREFIX), query);
	else if (g_str_has_prefix(path, PASS_PREFIX))
		pass_handle(http->opts.pass, msg);
	else if (strcmp(path, "/v1/ids") == 0)
		handle_ids(http, msg);
	else if (!handle_monitoring_pages(http, msg, path, query))
		hr_refuse(msg, REF_NOT_FOUND, "no such path");
}

static void
on_busy(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	(void)server;
	(void)query;
	refuse_headers(data, msg, path, REF_OVERLOADED);
}

/* Serves requests from the default main context. */
struct http *
http_new(const struct http_options *opts, struct status *st)
{
	struct http *http = g_new0(struct http, 1);

	http->opts = *opts;
	http->requests = ctr_counter(opts->counters, "sp_http_requests_total",
	    "requests received from callers");
	http->errors = ctr_counter(opts->counters, "sp_http_errors_total",
	    "requests answered with a status of 400 or above");
	http->in_progress_gauge = ctr_gauge(opts->counters,
	    "sp_http_in_progress", "requests from callers in progress");
	/* Endpoints must get paths with the caller's percent-encoding. */
	http->server = g_object_new(SOUP_TYPE_SERVER, "raw-paths", TRUE,
	    "server-header", "sequoiaplank", NULL);
	soup_server_add_early_handler(
	    http->server, NULL, on_headers, http, NULL);
	hl_add_handler(http->server, NULL, on_request, http);
	hl_set_busy_handler(http->server, on_busy, http);
	hl_set_receive_timeout(http->server,
	    opts->receive_ms > 0 ? opts->receive_ms : HL_RECEIVE_TIMEOUT_MS);
	if (!hl_listen(http->server, opts->listen, st)) {
		http_free(http);
		return NULL;
	}
	return http;
}

void
http_free(struct http *http)
{
	hl_disconnect(http->server);
	g_object_unref(http->server);
	g_free(http);
}

/* Returns the bound port. */
uint16_t
http_port(const struct http *http)
{
	return hl_port(http->server);
}

uint32_t
http_in_progress(const struct http *http)
{
	return http->in_progress;
}
