#include <glib.h>
#include <gio/gio.h>
#include <string.h>

#include "process/clock.h"
#include "request/callers.h"
#include "runner.h"

/*
 * libsoup 3.2.3 leaks the path of a request line that it rejects.  The
 * suppression only matches complete stacks, which need the slow unwinder.
 */
const char *__asan_default_options(void);
const char *__lsan_default_suppressions(void);

const char *
__asan_default_options(void)
{
	return "fast_unwind_on_malloc=0";
}

const char *
__lsan_default_suppressions(void)
{
	return "leak:soup_headers_parse_request\n";
}

/* One listener without agents; the cases are in tests/cases/callers.txt. */

#define LIMIT_MS 10000

static struct {
	struct ident *ids, *others, *forger;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	struct fresh *fresh;
	struct cfg *cfg;
	struct place *place;
	struct eject *eject;
	struct pool *pool;
	struct retry *retry;
	struct dispatch *dispatch;
	struct job_table *jobs;
	struct admit *admit;
	struct api *api;
	struct pass *pass;
	struct http *http;
	enum api_owner owner;
} entry;

static const char text[] =
    "{\"failure_domains\": [{\"name\": \"x\", \"entries\": true}],"
    " \"services\": [{\"name\": \"s\"}], \"teams\": [{\"name\": \"t\"}]}";

static bool
is_live(const char *service, void *ctx)
{
	(void)service;
	(void)ctx;
	return true;
}

static void
fill_snapshot(const char *service, struct adm_snapshot *snapshot, void *ctx)
{
	(void)service;
	(void)ctx;
	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->cfg = entry.cfg;
	snapshot->config_confirmed = true;
	snapshot->live_entries = 1;
	snapshot->service_live = true;
	snapshot->is_live = is_live;
	snapshot->place = entry.place;
}

static enum api_owner
find_owner(uint64_t incarnation, void *ctx)
{
	(void)incarnation;
	(void)ctx;
	return entry.owner;
}

static struct {
	api_answer_fn fn;
	void *ctx;
} forwarded;

static gboolean
answer_forwarded(gpointer data)
{
	(void)data;
	forwarded.fn(200, "{\"state\":\"forwarded\"}", 21, forwarded.ctx);
	return G_SOURCE_REMOVE;
}

static bool
forward(uint64_t incarnation, const struct api_request *request,
    api_answer_fn fn, void *fn_ctx, void *ctx)
{
	(void)incarnation;
	(void)ctx;
	ck_assert(!request->forwarded);
	forwarded.fn = fn;
	forwarded.ctx = fn_ctx;
	g_idle_add(answer_forwarded, NULL);
	return true;
}

static void
on_ended(struct job *job, void *ctx)
{
	(void)ctx;
	api_job_ended(entry.api, job);
}

static void
on_wake(void *ctx)
{
	(void)ctx;
}

static bool
is_ready(void *ctx)
{
	(void)ctx;
	return !api_is_closed(entry.api);
}

static void
make_config(void)
{
	struct cfg_parts parts = {.version = 1, .change_id = "c", .text = text};
	char *document = cfg_write(&parts);
	struct status st;

	entry.cfg = cfg_parse(document, strlen(document), &st);
	ck_assert_msg(entry.cfg != NULL, "%s", st.message);
	g_free(document);
}

static void
make_dispatch(void)
{
	struct place_options place = {
	    .policy = PLACE_LEAST_WAIT, .failure_domain = "x"};
	struct place_worker worker = {"w", "x", "s", 1, 8, 1000};
	struct rty_options retry = {10, 10, 3};
	struct pool_options pool;
	struct dsp_options dispatch = {
	    .max_outstanding = 10, .wake = on_wake, .ended = on_ended};

	entry.fresh = fresh_new(3000);
	entry.place = place_new(&place);
	place_add(entry.place, &worker, 0);
	entry.eject = ej_new();
	pool = (struct pool_options){entry.place, entry.eject, entry.fresh};
	entry.pool = pool_new(&pool);
	entry.retry = rty_new(&retry);
	dispatch.place = entry.place;
	dispatch.pool = entry.pool;
	dispatch.fresh = entry.fresh;
	dispatch.retry = entry.retry;
	dispatch.counters = entry.counters;
	entry.dispatch = dsp_new(&dispatch);
}

static void
make_api(void)
{
	struct job_options jobs = {.ids = entry.ids,
	    .max_jobs = 2,
	    .max_answer_bytes = 1000,
	    .max_bytes = 100000,
	    .max_waiters = 2,
	    .retention_ms = 1000};
	struct api_options api = {.ids = entry.ids,
	    .dispatch = entry.dispatch,
	    .retry = entry.retry,
	    .counters = entry.counters,
	    .traces = entry.traces,
	    .limits = {10, 1000},
	    .snapshot = fill_snapshot,
	    .owner = find_owner,
	    .forward = forward};
	struct pass_options pass = {.dispatch = entry.dispatch,
	    .traces = entry.traces,
	    .incarnation = 1};

	entry.jobs = api.jobs = job_table_new(&jobs);
	entry.admit = api.admit = adm_new();
	entry.api = pass.api = api_new(&api);
	entry.pass = pass_new(&pass);
}

static int64_t receive_ms; /* 0: the default */

/* max_requests 0 stands for 100, which no test reaches. */
static void
setup(uint32_t max_requests)
{
	static const uint8_t key[ID_KEY_BYTES], other_key[ID_KEY_BYTES] = {1};
	struct http_options http = {.listen = "127.0.0.1:0",
	    .max_body_bytes = 4000,
	    .max_requests = max_requests != 0 ? max_requests : 100,
	    .receive_ms = receive_ms,
	    .is_ready = is_ready};
	struct status st;

	entry.ids = id_new(1, key);
	entry.others = id_new(2, key);
	entry.forger = id_new(1, other_key);
	entry.counters = ctr_new();
	entry.traces = trc_new(10);
	make_config();
	make_dispatch();
	make_api();
	http.api = entry.api;
	http.pass = entry.pass;
	http.counters = entry.counters;
	http.traces = entry.traces;
	entry.http = http_new(&http, &st);
	ck_assert_msg(entry.http != NULL, "%s", st.message);
}

static void
teardown(void)
{
	http_free(entry.http);
	pass_free(entry.pass);
	api_free(entry.api);
	dsp_free(entry.dispatch);
	job_table_free(entry.jobs);
	adm_free(entry.admit);
	pool_free(entry.pool);
	ej_free(entry.eject);
	place_free(entry.place);
	rty_free(entry.retry);
	fresh_free(entry.fresh);
	cfg_unref(entry.cfg);
	trc_free(entry.traces);
	ctr_free(entry.counters);
	id_free(entry.ids);
	id_free(entry.others);
	id_free(entry.forger);
}

static GSocket *
dial(void)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    "127.0.0.1", http_port(entry.http));

	ck_assert(g_socket_connect(socket, address, NULL, NULL));
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(address);
	return socket;
}

/* Sends bytes; returns what is received until the server closes. */
static char *
exchange(const char *bytes, size_t len)
{
	GSocket *socket = dial();
	GString *in = g_string_new(NULL);
	int64_t end_ms = clk_now_ms() + LIMIT_MS;
	char buffer[4096];
	size_t sent = 0;
	gssize n = -1;

	while (n != 0 && clk_now_ms() < end_ms) {
		if (sent < len) {
			n = g_socket_send(
			    socket, bytes + sent, len - sent, NULL, NULL);
			sent += n > 0 ? (size_t)n : 0;
		}
		g_main_context_iteration(NULL, FALSE);
		n = g_socket_receive(
		    socket, buffer, sizeof(buffer), NULL, NULL);
		if (n > 0)
			g_string_append_len(in, buffer, n);
		else if (n < 0)
			g_usleep(100);
	}
	ck_assert_msg(n == 0, "connection not closed after: %s", in->str);
	g_object_unref(socket);
	return g_string_free(in, FALSE);
}

static void
append_repeated(GString *out, const char *what, int n)
{
	while (n-- > 0)
		g_string_append(out, what);
}

/* Replaces $own, $other and $forged by ids and @... by a generated body. */
static char *
expand(const char *input)
{
	GString *out = g_string_new(input);
	char id[ID_LEN + 1];
	char *at = strstr(out->str, "\n@");
	char **words;

	if (at != NULL) {
		words = g_strsplit(at + 2, " ", 2);
		g_string_truncate(out, (gsize)(at + 1 - out->str));
		if (strcmp(words[0], "deep") == 0)
			append_repeated(out, "[", atoi(words[1]));
		else if (strcmp(words[0], "large") == 0)
			append_repeated(out, "x", atoi(words[1]));
		else if (strcmp(words[0], "tasks") == 0) {
			g_string_append(out, "{\"service\":\"s\",\"team\":"
					     "\"t\",\"tasks\":[");
			append_repeated(
			    out, "{\"payload\":1},", atoi(words[1]) - 1);
			g_string_append(out, "{\"payload\":1}]}");
		} else {
			g_string_append(out, "{\"service\":\"s\",\"team\":"
					     "\"t\",\"tasks\":[{\"payload\":"
					     "\"");
			append_repeated(out, "x", atoi(words[1]));
			g_string_append(out, "\"}]}");
		}
		g_strfreev(words);
	}
	id_mint(entry.ids, id);
	g_string_replace(out, "$own", id, 0);
	id_mint(entry.others, id);
	g_string_replace(out, "$other", id, 0);
	id_mint(entry.forger, id);
	g_string_replace(out, "$forged", id, 0);
	return g_string_free(out, FALSE);
}

static char *
field(const char *answer, const char *name)
{
	char *key = g_strdup_printf("\"%s\":\"", name);
	const char *at = strstr(answer, key);
	const char *end;
	char *value = g_strdup("-");

	if (at != NULL && (end = strchr(at + strlen(key), '"')) != NULL) {
		g_free(value);
		value = g_strndup(
		    at + strlen(key), (gsize)(end - at) - strlen(key));
	}
	g_free(key);
	return value;
}

/* "STATUS ERROR RAN" of the answer, or "STATUS STATE" without an error. */
static char *
summary(const char *answer)
{
	char *error = field(answer, "error"), *ran = field(answer, "ran");
	char *state = field(answer, "state"), *out;

	ck_assert_msg(g_str_has_prefix(answer, "HTTP/1."), "%s", answer);
	if (strcmp(error, "-") == 0)
		out = g_strdup_printf("%.3s %s", answer + 9, state);
	else
		out = g_strdup_printf("%.3s %s %s", answer + 9, error, ran);
	g_free(error);
	g_free(ran);
	g_free(state);
	return out;
}

/* Sends "METHOD PATH\nheaders\n\nbody" and returns the summary. */
static char *
request(const char *input)
{
	char **parts = g_strsplit(input, "\n\n", 2);
	char **lines = g_strsplit(parts[0], "\n", -1);
	const char *body = parts[1] != NULL ? parts[1] : "";
	GString *out = g_string_new(NULL);
	char *answer, *result;
	size_t i;

	g_string_append_printf(
	    out, "%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", lines[0]);
	for (i = 1; lines[i] != NULL; i++)
		g_string_append_printf(out, "%s\r\n", lines[i]);
	if (strstr(parts[0], "Content-Length") == NULL &&
	    strstr(parts[0], "Transfer-Encoding") == NULL)
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n", strlen(body));
	g_string_append_printf(out, "\r\n%s", body);
	answer = exchange(out->str, out->len);
	result = summary(answer);
	g_free(answer);
	g_string_free(out, TRUE);
	g_strfreev(lines);
	g_strfreev(parts);
	return result;
}

/* Each malformed or refused request must get its own error code. */
static char *
send_case(const char *name, const char *text_of_case)
{
	char *input, *got;

	entry.owner = strstr(name, "gone") != NULL ? API_OWNER_GONE
		      : strstr(name, "unreachable") != NULL
			  ? API_OWNER_UNREACHABLE
			  : API_OWNER_REACHABLE;
	setup(0);
	if (strstr(name, "closing") != NULL)
		api_close(entry.api);
	input = expand(text_of_case);
	got = request(g_strchomp(input));
	ck_assert_uint_eq(http_in_progress(entry.http), 0);
	g_free(input);
	teardown();
	return got;
}

static const char job_body[] =
    "{\"service\":\"s\",\"team\":\"t\",\"tasks\":[{\"payload\":1}]}";

static void
expect(const char *method, const char *id, const char *body, const char *want)
{
	char *input = g_strdup_printf("%s /v1/jobs/%s\n\n%s", method, id, body);
	char *got = request(input);

	ck_assert_str_eq(got, want);
	g_free(got);
	g_free(input);
}

/* An id must run only its first body, and only once if it is resubmitted. */
START_TEST(submit_resubmit_and_cancel)
{
	char id[ID_LEN + 1], second[ID_LEN + 1], third[ID_LEN + 1];

	setup(0);
	id_mint(entry.ids, id);
	id_mint(entry.ids, second);
	id_mint(entry.ids, third);
	expect("GET", id, "", "404 not_found not_run");
	expect("PUT", id, job_body, "202 running");
	expect("PUT", id, job_body, "202 running");
	ck_assert_uint_eq(job_table_count(entry.jobs), 1);
	ck_assert_uint_eq(dsp_waiting(entry.dispatch, "s"), 1);
	expect("PUT", id, "{}", "409 conflict not_run");
	expect("PUT", second, job_body, "202 running");
	expect("PUT", third, job_body, "429 too_many_jobs not_run");
	expect("DELETE", id, "", "200 cancelled not_run");
	expect("GET", id, "", "502 cancelled not_run");
	expect("PUT", third, job_body, "202 running");
	expect("PUT", id, job_body, "410 expired unknown");
	expect("GET", id, "", "410 expired unknown");
	ck_assert_uint_eq(adm_team_tasks(entry.admit, "t"), 2);
	teardown();
}
END_TEST

/* Submits a job whose answer is delayed; returns without reading it. */
static GSocket *
put_and_wait(const char *id)
{
	char *bytes =
	    g_strdup_printf("PUT /v1/jobs/%s?wait_ms=60000 HTTP/1.1\r\n"
			    "Host: h\r\nContent-Length: %zu\r\n\r\n%s",
		id, strlen(job_body), job_body);
	GSocket *socket = dial();
	int i;

	g_socket_send(socket, bytes, strlen(bytes), NULL, NULL);
	for (i = 0; i < 1000 && job_table_count(entry.jobs) == 0; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	g_free(bytes);
	return socket;
}

/* A job must go on when its caller disconnects. */
START_TEST(job_outlives_its_caller)
{
	char id[ID_LEN + 1];
	GSocket *socket;
	int i;

	setup(0);
	id_mint(entry.ids, id);
	socket = put_and_wait(id);
	g_socket_close(socket, NULL);
	g_object_unref(socket);
	for (i = 0; i < 50; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	expect("GET", id, "", "202 running");
	expect("DELETE", id, "", "200 cancelled not_run");
	teardown();
}
END_TEST

/* Requests in progress must be limited, since each takes memory. */
START_TEST(too_many_requests)
{
	char id[ID_LEN + 1], fresh[ID_LEN + 1];
	GSocket *socket;

	setup(1);
	id_mint(entry.ids, id);
	socket = put_and_wait(id);
	/* Refused without looking up the job, so its state is unknown. */
	expect("GET", id, "", "503 overloaded unknown");
	expect("PUT", id, job_body, "503 overloaded unknown");
	id_mint(entry.ids, fresh);
	expect("PUT", fresh, job_body, "503 overloaded not_run");
	dsp_cancel(entry.dispatch, job_find(entry.jobs, id), clk_now_ms());
	while (http_in_progress(entry.http) > 0)
		g_main_context_iteration(NULL, FALSE);
	expect("GET", id, "", "502 cancelled not_run");
	g_object_unref(socket);
	teardown();
}
END_TEST

/* libsoup takes a truncated chunked body for complete, so all are refused. */
START_TEST(chunked_body_is_refused)
{
	GString *bytes = g_string_new("PUT /v1/jobs/x HTTP/1.1\r\nHost: h\r\n"
				      "Connection: close\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n");
	char *answer, *got;
	int i;

	setup(0);
	for (i = 0; i < 5; i++) {
		g_string_append(bytes, "400\r\n");
		append_repeated(bytes, "x", 1024);
		g_string_append(bytes, "\r\n");
	}
	g_string_append(bytes, "0\r\n\r\n");
	answer = exchange(bytes->str, bytes->len);
	got = summary(answer);
	ck_assert_str_eq(got, "411 length_required not_run");
	g_free(got);
	g_free(answer);
	g_string_free(bytes, TRUE);
	teardown();
}
END_TEST

/* Malformed HTTP must not disturb the listener. */
START_TEST(malformed_http)
{
	static const char *const inputs[] = {"GET\r\n\r\n",
	    "PUT /v1/ids HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n"
	    "Connection: close\r\n\r\n",
	    "PUT /v1/ids HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
	    "Content-Length: 3\r\nConnection: close\r\n\r\nabc",
	    "\x16\x03\x01\x02\r\n\r\n"};
	size_t i;

	setup(0);
	for (i = 0; i < G_N_ELEMENTS(inputs); i++) {
		char *answer = exchange(inputs[i], strlen(inputs[i]));

		ck_assert_msg(strstr(answer, " 200 ") == NULL, "%s", answer);
		g_free(answer);
	}
	ck_assert_uint_eq(http_in_progress(entry.http), 0);
	expect("GET", "x", "", "400 bad_id not_run");
	teardown();
}
END_TEST

/* A client that stops within a request must not hold its connection open. */
START_TEST(client_stops_in_request)
{
	static const char *const parts[] = {"PUT /v1/jobs/x HT",
	    "PUT /v1/jobs/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
	    "abc"};
	int64_t end_ms;
	size_t i;

	receive_ms = 300;
	setup(0);
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		g_free(exchange(parts[i], strlen(parts[i])));
	end_ms = clk_now_ms() + LIMIT_MS;
	while (http_in_progress(entry.http) > 0 && clk_now_ms() < end_ms)
		g_main_context_iteration(NULL, FALSE);
	ck_assert_uint_eq(http_in_progress(entry.http), 0);
	expect("GET", "x", "", "400 bad_id not_run");
	teardown();
}
END_TEST

CASES_MAIN("callers", send_case, submit_resubmit_and_cancel,
    job_outlives_its_caller, too_many_requests, chunked_body_is_refused,
    malformed_http, client_stops_in_request)
