#include <string.h>

#include "process/clock.h"
#include "process/jsonc.h"
#include "request/http_reply.h"
#include "request/passing.h"

#define METHOD_MAX	   16 /* sizes of wire_start */
#define PATH_MAX_BYTES	   4096
#define HEADER_NAME_MAX	   WIRE_NAME_MAX
#define HEADER_VALUE_MAX   4096
#define DEFAULT_TIMEOUT_MS JF_DEFAULT_DEADLINE_MS

struct pass {
	struct pass_options opts;
	uint64_t next;
};

/* One request that waits for its endpoint. */
struct waiting {
	struct pass *pass;
	SoupServerMessage *msg; /* paused, holds a reference */
	struct job *job;
	uint64_t waiter;
	gulong finished_id;
	struct trc_context span;
	int64_t start_wall_us;
	int64_t start_ns;
};

/* What the request says, checked. */
struct form {
	char *service;
	char *path;
	const char *team;
	int64_t timeout_ms;
	bool idempotent;
	GArray *headers; /* struct job_header, borrowed strings */
};

/* Makes the object. */
struct pass *
pass_new(const struct pass_options *opts)
{
	struct pass *pass = g_new0(struct pass, 1);

	pass->opts = *opts;
	pass->next = 1;
	return pass;
}

/* Frees the object; no request may wait. */
void
pass_free(struct pass *pass)
{
	g_free(pass);
}

static bool
is_listed(const char *name, const char *connection)
{
	char **tokens;
	bool found = false;
	size_t i;

	if (connection == NULL)
		return false;
	tokens = g_strsplit(connection, ",", -1);
	for (i = 0; tokens[i] != NULL && !found; i++)
		found = g_ascii_strcasecmp(g_strstrip(tokens[i]), name) == 0;
	g_strfreev(tokens);
	return found;
}

/* Reports whether a header must not be passed on. */
bool
pass_is_hop_by_hop(const char *name, const char *connection)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-authenticate", "proxy-authorization", "proxy-connection",
	    "te", "trailer", "transfer-encoding", "upgrade", "content-length",
	    "expect", NULL};
	char *lower = g_ascii_strdown(name, -1);
	bool found = g_strv_contains(names, lower);

	g_free(lower);
	return found || is_listed(name, connection);
}

/* Headers that this system sets itself. */
static bool
is_own_header(const char *name)
{
	return g_ascii_strcasecmp(name, "host") == 0 ||
	       g_ascii_strcasecmp(name, "traceparent") == 0 ||
	       g_ascii_strncasecmp(name, "sequoiaplank-", 13) == 0;
}

static bool
collect_headers(SoupMessageHeaders *from, struct form *form, struct status *why)
{
	const char *connection =
	    soup_message_headers_get_list(from, "Connection");
	struct job_header header;
	SoupMessageHeadersIter iter;
	const char *name, *value;

	form->headers = g_array_new(FALSE, FALSE, sizeof(struct job_header));
	soup_message_headers_iter_init(&iter, from);
	while (soup_message_headers_iter_next(&iter, &name, &value)) {
		if (pass_is_hop_by_hop(name, connection) || is_own_header(name))
			continue;
		if (strlen(name) > HEADER_NAME_MAX ||
		    strlen(value) > HEADER_VALUE_MAX ||
		    form->headers->len == WIRE_HEADERS_MAX) {
			st_set(why, ST_LIMIT, "too many or too long headers");
			return false;
		}
		header.name = (char *)name;
		header.value = (char *)value;
		g_array_append_val(form->headers, header);
	}
	return true;
}

static bool
read_path(SoupServerMessage *msg, struct form *form, struct status *why)
{
	GUri *uri = soup_server_message_get_uri(msg);
	const char *rest = g_uri_get_path(uri) + strlen(PASS_PREFIX);
	const char *slash = strchr(rest, '/');
	const char *query = g_uri_get_query(uri);

	form->service = slash != NULL ? g_strndup(rest, (gsize)(slash - rest))
				      : g_strdup(rest);
	form->path = g_strconcat(slash != NULL ? slash : "/",
	    query != NULL ? "?" : "", query != NULL ? query : "", NULL);
	if (!jsonc_is_name(form->service)) {
		st_set(why, ST_INVALID, "the service name is malformed");
		return false;
	}
	if (strlen(form->path) > PATH_MAX_BYTES ||
	    strlen(soup_server_message_get_method(msg)) > METHOD_MAX) {
		st_set(why, ST_LIMIT, "the path or the method is too long");
		return false;
	}
	return true;
}

static bool
is_idempotent_method(const char *method)
{
	static const char *const methods[] = {
	    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", NULL};

	return g_strv_contains(methods, method);
}

static bool
read_own_headers(SoupServerMessage *msg, struct form *form, struct status *why)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);
	const char *text;
	gint64 timeout_ms;

	form->team = soup_message_headers_get_one(headers, "Sequoiaplank-Team");
	if (form->team == NULL || !jsonc_is_name(form->team)) {
		st_set(why, ST_INVALID,
		    "Sequoiaplank-Team is missing or malformed");
		return false;
	}
	form->idempotent =
	    is_idempotent_method(soup_server_message_get_method(msg));
	text = soup_message_headers_get_one(headers, "Sequoiaplank-Idempotent");
	if (text != NULL) {
		form->idempotent = strcmp(text, "true") == 0;
		if (!form->idempotent && strcmp(text, "false") != 0) {
			st_set(why, ST_INVALID,
			    "Sequoiaplank-Idempotent: expected true or false");
			return false;
		}
	}
	form->timeout_ms = DEFAULT_TIMEOUT_MS;
	text = soup_message_headers_get_one(headers, "Sequoiaplank-Timeout-Ms");
	if (text == NULL)
		return true;
	if (!g_ascii_string_to_signed(
		text, 10, 1, JF_MAX_DEADLINE_MS, &timeout_ms, NULL)) {
		st_set(why, ST_INVALID,
		    "Sequoiaplank-Timeout-Ms: expected 1 to %d",
		    JF_MAX_DEADLINE_MS);
		return false;
	}
	form->timeout_ms = timeout_ms;
	return true;
}

static void
free_waiting(struct waiting *w)
{
	if (w->finished_id != 0)
		g_signal_handler_disconnect(w->msg, w->finished_id);
	job_unref(w->job);
	g_object_unref(w->msg);
	g_free(w);
}

/* The caller went away, so nobody needs the answer. */
static void
on_finished(SoupServerMessage *msg, gpointer data)
{
	struct waiting *w = data;

	(void)msg;
	job_unwait(w->job, w->waiter);
	dsp_cancel(w->pass->opts.dispatch, w->job, clk_now_ms());
	free_waiting(w);
}

static void
answer_done(SoupServerMessage *msg, const struct job_task *task)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(msg);
	const char *connection = NULL;
	gsize len = 0;
	const char *body = g_bytes_get_data(task->body, &len);
	uint32_t i;

	for (i = 0; i < task->n_headers; i++) {
		if (g_ascii_strcasecmp(task->headers[i].name, "Connection") ==
		    0)
			connection = task->headers[i].value;
	}
	for (i = 0; i < task->n_headers; i++) {
		if (!pass_is_hop_by_hop(task->headers[i].name, connection))
			soup_message_headers_append(headers,
			    task->headers[i].name, task->headers[i].value);
	}
	soup_server_message_set_status(msg, task->status, NULL);
	soup_message_body_append(soup_server_message_get_response_body(msg),
	    SOUP_MEMORY_COPY, body, len);
}

static void
answer_failed(SoupServerMessage *msg, const struct job *job)
{
	enum job_cause cause = job_cause(job);
	uint32_t status = cause == JOB_CAUSE_DEADLINE ? 504 : 502;
	char *body = ref_json_of(job_cause_name(cause),
	    job_ran_name(job_ran(job)), "no whole answer from an endpoint");

	hr_json(msg, status, body, strlen(body));
	g_free(body);
}

static void
on_done(struct job *job, void *ctx)
{
	struct waiting *w = ctx;

	if (job_state(job) == JOB_COMPLETE)
		answer_done(w->msg, job_task(job, 0));
	else
		answer_failed(w->msg, job);
	trc_finish(w->pass->opts.traces, &w->span, "entry", w->start_wall_us,
	    (clk_now_ns() - w->start_ns) / 1000, job_state(job) == JOB_COMPLETE,
	    job_service(job));
	soup_server_message_unpause(w->msg);
	free_waiting(w);
}

static void
wait_for_endpoint(struct pass *pass, SoupServerMessage *msg, struct job *job,
    const struct trc_context *span)
{
	struct waiting *w = g_new0(struct waiting, 1);

	w->pass = pass;
	w->msg = g_object_ref(msg);
	w->job = job;
	w->span = *span;
	w->start_wall_us = clk_wall_ms() * 1000;
	w->start_ns = clk_now_ns();
	w->waiter = job_wait(job, on_done, w);
	w->finished_id =
	    g_signal_connect(msg, "finished", G_CALLBACK(on_finished), w);
	soup_server_message_pause(msg);
}

static void
submit(struct pass *pass, SoupServerMessage *msg, const struct form *form,
    GBytes *payload)
{
	char id[ID_LEN + 1], traceparent[TRC_PARENT_LEN + 1];
	struct job_task_spec task = {.payload = payload};
	struct adm_request want = {
	    .service = form->service,
	    .team = form->team,
	    .n_tasks = 1,
	    .deadline_ms = form->timeout_ms,
	};
	struct job_spec spec = {
	    .id = id,
	    .service = form->service,
	    .team = form->team,
	    .traceparent = traceparent,
	    .deadline_ms = form->timeout_ms,
	    .tasks = &task,
	    .n_tasks = 1,
	    .method = soup_server_message_get_method(msg),
	    .path = form->path,
	    .headers = (struct job_header *)(void *)form->headers->data,
	    .n_headers = form->headers->len,
	    .idempotent = form->idempotent,
	};
	struct trc_context span;
	struct status why;
	enum ref_code code;
	struct job *job;

	/* Never a valid submission id, so no job can be put under it. */
	g_snprintf(id, sizeof(id),
	    "%016" G_GINT64_MODIFIER "x-r%" G_GINT64_MODIFIER "x",
	    pass->opts.incarnation, pass->next++);
	trc_start(&span,
	    soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "traceparent"));
	trc_format_traceparent(&span, traceparent);
	code = api_submit(pass->opts.api, &spec, &want, &job, &why);
	if (code != REF_NONE)
		hr_refuse(msg, code, why.message);
	else
		wait_for_endpoint(pass, msg, job, &span);
}

/* Checks a request and passes it on. */
void
pass_handle(struct pass *pass, SoupServerMessage *msg)
{
	GBytes *payload = soup_message_body_flatten(
	    soup_server_message_get_request_body(msg));
	struct form form = {.service = NULL};
	struct status why = {.code = ST_INVALID};

	if (g_bytes_get_size(payload) > WIRE_PAYLOAD_MAX)
		hr_refuse(msg, REF_TOO_LARGE, "the body is too large");
	else if (read_path(msg, &form, &why) &&
		 read_own_headers(msg, &form, &why) &&
		 collect_headers(
		     soup_server_message_get_request_headers(msg), &form, &why))
		submit(pass, msg, &form, payload);
	else
		hr_refuse(msg,
		    why.code == ST_LIMIT ? REF_TOO_LARGE : REF_BAD_REQUEST,
		    why.message);
	g_bytes_unref(payload);
	if (form.headers != NULL)
		g_array_unref(form.headers);
	g_free(form.service);
	g_free(form.path);
}
