#include <glib.h>
#include <gio/gio.h>
#include <string.h>

#include "process/clock.h"
#include "request/callers.h"
#include "runner.h"

/*
 * libsoup 3.2.3 leaks the path of a request line that it rejects.  The stack
 * must be complete for the suppression to match.
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

/* One listener without agents; the commands are in tests/cases/callers.txt. */

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
} world;

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
	snapshot->cfg = world.cfg;
	snapshot->config_confirmed = true;
	snapshot->live_entries = 1;
	snapshot->service_live = true;
	snapshot->is_live = is_live;
	snapshot->place = world.place;
}

static enum api_owner
find_owner(uint64_t incarnation, void *ctx)
{
	(void)incarnation;
	(void)ctx;
	return world.owner;
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
	api_job_ended(world.api, job);
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
	return !api_is_closed(world.api);
}

static void
make_config(void)
{
	struct cfg_parts parts = {.version = 1, .change_id = "c", .text = text};
	char *document = cfg_write(&parts);
	struct status st;

	world.cfg = cfg_parse(document, strlen(document), &st);
	ck_assert_msg(world.cfg != NULL, "%s", st.message);
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

	world.fresh = fresh_new(3000);
	world.place = place_new(&place);
	place_add(world.place, &worker, 0);
	world.eject = ej_new();
	pool = (struct pool_options){world.place, world.eject, world.fresh};
	world.pool = pool_new(&pool);
	world.retry = rty_new(&retry);
	dispatch.place = world.place;
	dispatch.pool = world.pool;
	dispatch.fresh = world.fresh;
	dispatch.retry = world.retry;
	dispatch.counters = world.counters;
	world.dispatch = dsp_new(&dispatch);
}

static void
make_api(void)
{
	struct job_options jobs = {.ids = world.ids,
	    .max_jobs = 2,
	    .max_answer_bytes = 1000,
	    .max_bytes = 100000,
	    .max_waiters = 2,
	    .retention_ms = 1000};
	struct api_options api = {.ids = world.ids,
	    .dispatch = world.dispatch,
	    .retry = world.retry,
	    .counters = world.counters,
	    .traces = world.traces,
	    .limits = {10, 1000},
	    .snapshot = fill_snapshot,
	    .owner = find_owner,
	    .forward = forward};
	struct pass_options pass = {.dispatch = world.dispatch,
	    .traces = world.traces,
	    .incarnation = 1};

	world.jobs = api.jobs = job_table_new(&jobs);
	world.admit = api.admit = adm_new();
	world.api = pass.api = api_new(&api);
	world.pass = pass_new(&pass);
}

static int64_t receive_ms; /* 0: the default */

/* max_requests 0: enough for all. */
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

	world.ids = id_new(1, key);
	world.others = id_new(2, key);
	world.forger = id_new(1, other_key);
	world.counters = ctr_new();
	world.traces = trc_new(10);
	make_config();
	make_dispatch();
	make_api();
	http.api = world.api;
	http.pass = world.pass;
	http.counters = world.counters;
	http.traces = world.traces;
	world.http = http_new(&http, &st);
	ck_assert_msg(world.http != NULL, "%s", st.message);
}

static void
teardown(void)
{
	http_free(world.http);
	pass_free(world.pass);
	api_free(world.api);
	dsp_free(world.dispatch);
	job_table_free(world.jobs);
	adm_free(world.admit);
	pool_free(world.pool);
	ej_free(world.eject);
	place_free(world.place);
	rty_free(world.retry);
	fresh_free(world.fresh);
	cfg_unref(world.cfg);
	trc_free(world.traces);
	ctr_free(world.counters);
	id_free(world.ids);
	id_free(world.others);
	id_free(world.forger);
}

static GSocket *
dial(void)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    "127.0.0.1", http_port(world.http));

	ck_assert(g_socket_connect(socket, address, NULL, NULL));
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(address);
	return socket;
}

/* Sends bytes and returns what comes back until the server closes. */
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
	ck_assert_msg(n == 0, "no end of the answer: %s", in->str);
	g_object_unref(socket);
	return g_string_free(in, FALSE);
}

static void
append_repeated(GString *out, const char *what, int n)
{
	while (n-- > 0)
		g_string_append(out, what);
}

/* Replaces $own, $other and $forged by ids, and the bodies named @... */
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
	id_mint(world.ids, id);
	g_string_replace(out, "$own", id, 0);
	id_mint(world.others, id);
	g_string_replace(out, "$other", id, 0);
	id_mint(world.forger, id);
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

/* Each malformed or refused request must get its own typed error. */
static char *
send_case(const char *name, const char *text_of_case)
{
	char *input, *got;

	world.owner = strstr(name, "gone") != NULL ? API_OWNER_GONE
		      : strstr(name, "unreachable") != NULL
			  ? API_OWNER_UNREACHABLE
			  : API_OWNER_REACHABLE;
	setup(0);
	if (strstr(name, "closing") != NULL)
		api_close(world.api);
	input = expand(text_of_case);
	got = request(g_strchomp(input));
	ck_assert_uint_eq(http_in_progress(world.http), 0);
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

/* The second body of an id must not run, and a resubmission not twice. */
START_TEST(life_of_a_job)
{
	char id[ID_LEN + 1], second[ID_LEN + 1], third[ID_LEN + 1];

	setup(0);
	id_mint(world.ids, id);
	id_mint(world.ids, second);
	id_mint(world.ids, third);
	expect("GET", id, "", "404 not_found not_run");
	expect("PUT", id, job_body, "202 running");
	expect("PUT", id, job_body, "202 running");
	ck_assert_uint_eq(job_table_count(world.jobs), 1);
	ck_assert_uint_eq(dsp_waiting(world.dispatch, "s"), 1);
	expect("PUT", id, "{}", "409 conflict not_run");
	expect("PUT", second, job_body, "202 running");
	expect("PUT", third, job_body, "429 too_many_jobs not_run");
	expect("DELETE", id, "", "200 cancelled not_run");
	expect("GET", id, "", "502 cancelled not_run");
	expect("PUT", third, job_body, "202 running");
	expect("PUT", id, job_body, "410 expired unknown");
	expect("GET", id, "", "410 expired unknown");
	ck_assert_uint_eq(adm_team_tasks(world.admit, "t"), 2);
	teardown();
}
END_TEST

/* Sends a PUT that waits, without reading its answer. */
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
	for (i = 0; i < 1000 && job_table_count(world.jobs) == 0; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	g_free(bytes);
	return socket;
}

/* A caller that goes away must not take its job along. */
START_TEST(caller_goes_away)
{
	char id[ID_LEN + 1];
	GSocket *socket;
	int i;

	setup(0);
	id_mint(world.ids, id);
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

/* Waiting requests must not use up the memory of the process. */
START_TEST(too_many_requests)
{
	char id[ID_LEN + 1], fresh[ID_LEN + 1];
	GSocket *socket;

	setup(1);
	id_mint(world.ids, id);
	socket = put_and_wait(id);
	/* Refused by its headers, so what the job does is not known. */
	expect("GET", id, "", "503 overloaded unknown");
	expect("PUT", id, job_body, "503 overloaded unknown");
	id_mint(world.ids, fresh);
	expect("PUT", fresh, job_body, "503 overloaded not_run");
	dsp_cancel(world.dispatch, job_find(world.jobs, id), clk_now_ms());
	while (http_in_progress(world.http) > 0)
		g_main_context_iteration(NULL, FALSE);
	expect("GET", id, "", "502 cancelled not_run");
	g_object_unref(socket);
	teardown();
}
END_TEST

/* A chunked body that was cut off must not be taken for a whole one. */
START_TEST(chunked_body)
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

/* What is no HTTP must not disturb the listener. */
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
	ck_assert_uint_eq(http_in_progress(world.http), 0);
	expect("GET", "x", "", "400 bad_id not_run");
	teardown();
}
END_TEST

/* A sender that stops within its request must not hold the connection. */
START_TEST(slow_sender)
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
	while (http_in_progress(world.http) > 0 && clk_now_ms() < end_ms)
		g_main_context_iteration(NULL, FALSE);
	ck_assert_uint_eq(http_in_progress(world.http), 0);
	expect("GET", "x", "", "400 bad_id not_run");
	teardown();
}
END_TEST

CASES_MAIN("callers", send_case, life_of_a_job, caller_goes_away,
    too_many_requests, chunked_body, malformed_http, slow_sender)
