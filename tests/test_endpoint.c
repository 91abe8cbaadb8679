#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>

#include "connection/announce.h"
#include "connection/endpoint.h"
#include "harness.h"
#include "process/clock.h"
#include "runner.h"

#define MAX_BYTES 1000 /* of an answer */
#define NS_PER_MS 1000000
#define BODY	  "0123456789"
#define WHOLE                                                                  \
	"HTTP/1.1 200 OK\r\nX-Kept: yes\r\nContent-Length: 10\r\n\r\n" BODY
#define CHUNKED                                                                \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"                \
	"4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
#define UNBOUNDED "HTTP/1.1 200 OK\r\n\r\n" BODY

/* A raw HTTP server, and its behaviour for the next connection. */
static struct {
	GSocketService *service;
	char *address;
	size_t read_max; /* closes after this many bytes of the request */
	const char *answer;
	size_t answer_max; /* closes after this many bytes of the answer */
	bool hang;
	gint connections;
	gint requests;	  /* with at least one byte received */
	GString *request; /* text of the last one */
} server;

static size_t
content_length(const char *request)
{
	const char *field = strstr(request, "Content-Length: ");

	return field == NULL ? 0 : strtoul(field + 16, NULL, 10);
}

/* Reads byte by byte, so that the connection closes at an exact offset. */
static void
read_request(GInputStream *in)
{
	const char *end;
	char c;

	g_string_truncate(server.request, 0);
	while (server.request->len < server.read_max &&
	       g_input_stream_read(in, &c, 1, NULL, NULL) == 1) {
		g_string_append_c(server.request, c);
		if (server.request->len == 1)
			g_atomic_int_inc(&server.requests);
		end = strstr(server.request->str, "\r\n\r\n");
		if (end != NULL &&
		    strlen(end + 4) >= content_length(server.request->str))
			return;
	}
}

static gboolean
on_run(GThreadedSocketService *service, GSocketConnection *conn, GObject *from,
    gpointer data)
{
	GIOStream *stream = G_IO_STREAM(conn);
	size_t len = strlen(server.answer);
	char c;

	(void)service;
	(void)from;
	(void)data;
	g_atomic_int_inc(&server.connections);
	read_request(g_io_stream_get_input_stream(stream));
	if (server.hang)
		g_input_stream_read(
		    g_io_stream_get_input_stream(stream), &c, 1, NULL, NULL);
	else if (server.read_max == SIZE_MAX)
		g_output_stream_write_all(g_io_stream_get_output_stream(stream),
		    server.answer, MIN(len, server.answer_max), NULL, NULL,
		    NULL);
	g_io_stream_close(stream, NULL, NULL);
	return TRUE;
}

static void
server_start(void)
{
	uint16_t port;

	server.service = g_threaded_socket_service_new(8);
	server.request = g_string_new(NULL);
	port = g_socket_listener_add_any_inet_port(
	    G_SOCKET_LISTENER(server.service), NULL, NULL);
	ck_assert_int_ne(port, 0);
	server.address = g_strdup_printf("http://127.0.0.1:%u", port);
	server.answer = WHOLE;
	server.read_max = server.answer_max = SIZE_MAX;
	g_signal_connect(server.service, "run", G_CALLBACK(on_run), NULL);
	g_socket_service_start(server.service);
}

struct outcome {
	bool done;
	struct wire_result result;
};

static void
on_done(struct wire_result *result, void *ctx)
{
	struct outcome *o = ctx;

	ck_assert(!o->done);
	o->done = true;
	o->result = *result;
}

struct plan {
	const char *method; /* empty: a job's task */
	const char *address;
	int64_t deadline_ms;
	int64_t start_by_ms;
};

static struct outcome
call(struct ep *ep, const struct plan *plan)
{
	struct wire_start start = {.seq = 7,
	    .task_id = "job/0",
	    .service = "desk",
	    .method = (char *)plan->method,
	    .path = "/path?q=%20"};
	struct ep_request request = {.address = plan->address,
	    .start = &start,
	    .deadline_ms = clk_now_ms() + plan->deadline_ms,
	    .start_by_ns = clk_now_ns() + plan->start_by_ms * NS_PER_MS,
	    .traceparent = "00-0-0-00"};
	struct outcome o = {0};

	start.payload.wire_payload_val = strdup("{\"a\":1}");
	start.payload.wire_payload_len = 7;
	ep_call(ep, &request, on_done, &o);
	ck_assert(!o.done);
	while (!o.done)
		g_main_context_iteration(NULL, TRUE);
	free(start.payload.wire_payload_val);
	return o;
}

static struct ep *
client(void)
{
	struct ep_options opts = {MAX_BYTES};

	return ep_new(&opts);
}

static void
expect(struct outcome *o, enum wire_outcome outcome, enum wire_reason reason)
{
	ck_assert_int_eq(o->result.outcome, outcome);
	ck_assert_int_eq(o->result.reason, reason);
	xdr_free((xdrproc_t)xdr_wire_result, &o->result);
}

static bool
is_complete(const struct outcome *o)
{
	return o->result.body.wire_payload_len == strlen(BODY) &&
	       memcmp(o->result.body.wire_payload_val, BODY, strlen(BODY)) == 0;
}

/*
 * Guards against a second start of a task: when the connection breaks at any
 * byte of the request, libsoup must not send the request again, and the start
 * must not be reported as not started.
 */
START_TEST(break_in_request)
{
	const char *const methods[] = {"", "GET", "PUT"};
	struct plan plan = {"", NULL, 5000, 5000};
	int calls = 0;
	size_t i, k, len;

	server_start();
	plan.address = server.address;
	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		struct ep *ep = client();
		struct outcome o;

		plan.method = methods[i];
		server.read_max = SIZE_MAX;
		o = call(ep, &plan);
		ck_assert(is_complete(&o));
		expect(&o, WIRE_DONE, WIRE_REASON_NONE);
		calls++;
		len = server.request->len;
		ck_assert_uint_gt(len, 100);
		for (k = 0; k < len; k++) {
			server.read_max = k;
			o = call(ep, &plan);
			expect(&o, WIRE_UNKNOWN, WIRE_REASON_BROKEN);
			calls++;
		}
		ep_free(ep);
	}
	hn_sleep(300);
	ck_assert_int_eq(g_atomic_int_get(&server.connections), calls);
}
END_TEST

/* The same for any byte of the answer; a truncated answer is not accepted. */
START_TEST(break_in_answer)
{
	const char *const answers[] = {WHOLE, CHUNKED};
	const char *const methods[] = {"", "GET"};
	struct plan plan = {"", NULL, 5000, 5000};
	struct ep *ep = client();
	int calls = 0;
	size_t i, k, len;

	server_start();
	plan.address = server.address;
	for (i = 0; i < 2 * G_N_ELEMENTS(answers); i++) {
		server.answer = answers[i / 2];
		plan.method = methods[i % 2];
		len = strlen(server.answer);
		for (k = 0; k <= len; k++) {
			struct outcome o;

			server.answer_max = k;
			o = call(ep, &plan);
			calls++;
			if (o.result.outcome == WIRE_DONE) {
				ck_assert(is_complete(&o));
				ck_assert_int_eq(o.result.status, 200);
				expect(&o, WIRE_DONE, WIRE_REASON_NONE);
			} else {
				ck_assert_uint_lt(k, len);
				expect(&o, WIRE_UNKNOWN, WIRE_REASON_BROKEN);
			}
		}
	}
	hn_sleep(300);
	ck_assert_int_eq(g_atomic_int_get(&server.connections), calls);
	ep_free(ep);
}
END_TEST

/* In a row: an answer with a body of n bytes, or with this text. */
#define SIZED(n)  ((const char *)NULL), (n)
#define TEXT(s)	  (s), 0
#define EMPTY(st) TEXT("HTTP/1.1 " st " No\r\nContent-Length: 0\r\n\r\n")

/* Rows of one call each, with the expected connections and requests. */
static const struct row {
	const char *name;
	struct plan plan; /* address NULL: that of the raw server */
	const char *answer;
	int size;
	enum wire_outcome outcome;
	enum wire_reason reason;
	int connections, requests;
	bool closed, hang;
} rows[] = {
    {"An answer without a length is unknown, as it may be truncated",
	{"", NULL, 5000, 5000}, TEXT(UNBOUNDED), WIRE_UNKNOWN,
	WIRE_REASON_BROKEN, 1, 1, false, false},
    {"A refused connection: no byte was written, so not started",
	{"", NULL, 5000, 5000}, TEXT(WHOLE), WIRE_NOT_STARTED,
	WIRE_REASON_CONNECT, 0, 0, true, false},
    {"An invalid address: not started", {"", "http://[", 5000, 5000},
	TEXT(WHOLE), WIRE_NOT_STARTED, WIRE_REASON_CONNECT, 0, 0, false, false},
    {"Nothing is written when the latest start time has passed",
	{"", NULL, 5000, 0}, TEXT(WHOLE), WIRE_NOT_STARTED, WIRE_REASON_STALE,
	1, 0, false, false},
    {"An answer of the maximum size", {"", NULL, 5000, 5000}, SIZED(MAX_BYTES),
	WIRE_DONE, WIRE_REASON_NONE, 1, 1, false, false},
    {"An answer over the limit", {"", NULL, 5000, 5000}, SIZED(MAX_BYTES + 1),
	WIRE_UNKNOWN, WIRE_REASON_TOO_LARGE, 1, 1, false, false},
    {"A hanging endpoint occupies a slot only until the deadline",
	{"", NULL, 200, 200}, TEXT(WHOLE), WIRE_UNKNOWN, WIRE_REASON_DEADLINE,
	1, 1, false, true},
    {"After a 421, libsoup opens another connection, but must send nothing",
	{"GET", NULL, 5000, 5000}, EMPTY("421"), WIRE_UNKNOWN,
	WIRE_REASON_BROKEN, -1, 1, false, false},
};

static char *
sized_answer(int size)
{
	char *body = g_strnfill((gsize)size, 'x');
	char *answer = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body);

	g_free(body);
	return answer;
}

START_TEST(one_call)
{
	const struct row *row = &rows[_i];
	struct plan plan = row->plan;
	struct ep *ep = client();
	int64_t begin_ms = clk_now_ms();
	struct outcome o;

	server_start();
	if (plan.address == NULL)
		plan.address = server.address;
	server.answer =
	    row->answer != NULL ? row->answer : sized_answer(row->size);
	server.hang = row->hang;
	if (row->closed) {
		g_socket_service_stop(server.service);
		g_socket_listener_close(G_SOCKET_LISTENER(server.service));
	}
	o = call(ep, &plan);
	ck_assert_msg(
	    o.result.outcome == row->outcome && o.result.reason == row->reason,
	    "%s: %d %d", row->name, o.result.outcome, o.result.reason);
	if (row->outcome == WIRE_DONE)
		ck_assert_int_eq(
		    (int)o.result.body.wire_payload_len, row->size);
	ck_assert_int_lt(clk_now_ms() - begin_ms, 2000);
	if (row->hang)
		ck_assert_int_ge(clk_now_ms() - begin_ms, plan.deadline_ms);
	expect(&o, row->outcome, row->reason);
	hn_sleep(200);
	if (row->connections >= 0)
		ck_assert_int_eq(
		    g_atomic_int_get(&server.connections), row->connections);
	ck_assert_int_eq(g_atomic_int_get(&server.requests), row->requests);
	ep_free(ep);
	if (row->answer == NULL)
		g_free((char *)server.answer);
}
END_TEST

/* A redirect, 401 or 503 must not make libsoup send a second request. */
START_TEST(redirect_and_login_are_answers)
{
	const char *const answers[] = {
	    "HTTP/1.1 307 No\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
	    "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic realm=\"a\"\r\n"
	    "Content-Length: 0\r\n\r\n",
	    "HTTP/1.1 503 No\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"};
	const unsigned int statuses[] = {307, 401, 503};
	struct plan plan = {"GET", NULL, 5000, 5000};
	struct ep *ep = client();
	size_t i;

	server_start();
	plan.address = server.address;
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct outcome o;

		server.answer = answers[i];
		o = call(ep, &plan);
		ck_assert_uint_eq(o.result.status, statuses[i]);
		expect(&o, WIRE_DONE, WIRE_REASON_NONE);
	}
	hn_sleep(100);
	ck_assert_int_eq(g_atomic_int_get(&server.connections), (int)i);
	ep_free(ep);
}
END_TEST

/*
 * Only a 412 that says that the task was not run counts as not started, so
 * that the task may run elsewhere.  Any other 412 is an answer of the task.
 */
START_TEST(refused_by_endpoint)
{
#define NOT_RUN "Sequoiaplank-Not-Run: "
#define NO_BODY "\r\nContent-Length: 0\r\n\r\n"
	static const struct {
		const char *answer;
		int64_t start_by_ms;
		enum wire_outcome outcome;
		enum wire_reason reason;
	} refusals[] = {{"HTTP/1.1 412 No\r\n" NOT_RUN "true" NO_BODY, 6000,
			    WIRE_NOT_STARTED, WIRE_REASON_DEADLINE},
	    {"HTTP/1.1 412 No\r\n" NOT_RUN "true" NO_BODY, 1000,
		WIRE_NOT_STARTED, WIRE_REASON_STALE},
	    {"HTTP/1.1 412 No\r\n" NOT_RUN "false" NO_BODY, 5000, WIRE_DONE,
		WIRE_REASON_NONE},
	    {"HTTP/1.1 412 No" NO_BODY, 5000, WIRE_DONE, WIRE_REASON_NONE},
	    {"HTTP/1.1 500 No\r\n" NOT_RUN "true" NO_BODY, 5000, WIRE_DONE,
		WIRE_REASON_NONE},
	    {"HTTP/1.1 412 No\r\n" NOT_RUN "true\r\nContent-Length: 2\r\n\r\nx",
		5000, WIRE_UNKNOWN, WIRE_REASON_BROKEN}};
	struct plan plan = {"", NULL, 5000, 0};
	struct ep *ep = client();
	struct outcome o;
	size_t i;

	server_start();
	plan.address = server.address;
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		server.answer = refusals[i].answer;
		plan.start_by_ms = refusals[i].start_by_ms;
		o = call(ep, &plan);
		expect(&o, refusals[i].outcome, refusals[i].reason);
	}
	ep_free(ep);
}
END_TEST

/* The agent's own headers are sent, and the caller's path is unchanged. */
START_TEST(request_headers)
{
	static const char *const fields[] = {"Connection: close",
	    "Sequoiaplank-Task-Id: job/0\r\n",
	    "Sequoiaplank-Start-By: ", "traceparent: 00-0-0-00"};
	struct plan plan = {"PUT", NULL, 5000, 5000};
	struct ep *ep = client();
	struct outcome o;
	size_t i;

	server_start();
	plan.address = server.address;
	o = call(ep, &plan);
	ck_assert_uint_eq(o.result.headers.headers_len, 1);
	ck_assert_str_eq(o.result.headers.headers_val[0].name, "X-Kept");
	ck_assert(g_str_has_prefix(
	    server.request->str, "PUT /path?q=%20 HTTP/1.1\r\n"));
	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		ck_assert_msg(strstr(server.request->str, fields[i]) != NULL,
		    "%s", fields[i]);
	ck_assert(g_str_has_suffix(server.request->str, "{\"a\":1}"));
	expect(&o, WIRE_DONE, WIRE_REASON_NONE);
	ep_free(ep);
}
END_TEST

#define ANN(service, address, slots, ttl)                                      \
	"{\"service\":\"" service "\",\"address\":\"" address                  \
	"\",\"slots\":" slots ",\"connections\":64,\"ttl_ms\":" ttl "}"
#define ANNOUNCEMENT                                                           \
	ANN("desk", "http://127.0.0.1:9", "8", "1000,\"slots_in_use\":3")

static bool
put(struct ann *ann, const char *json, uint32_t running, int64_t now_ms)
{
	struct status st;

	return ann_put(ann, json, strlen(json), running, now_ms, &st);
}

/* An invalid announcement changes nothing; an expired one offers no service. */
START_TEST(announcement)
{
	static const char *const bad[] = {"", "[]", "{}", ANNOUNCEMENT "x",
	    ANN("", "http://127.0.0.1:9", "8", "1000"),
	    ANN("a", "https://127.0.0.1:9", "8", "1000"),
	    ANN("a", "http://127.0.0.1:9/x", "8", "1000"),
	    ANN("a", "http://127.0.0.1:9", "0", "1000"),
	    ANN("a", "http://127.0.0.1:9", "\"8\"", "1000"),
	    ANN("a", "http://127.0.0.1:9", "8", "1000,\"x\":1"),
	    ANN("a", "http://127.0.0.1:9", "8", "1")};
	struct ann *ann = ann_new();
	size_t i;

	ck_assert_ptr_null(ann_state(ann, 0)->service);
	ck_assert(put(ann, ANNOUNCEMENT, 1, 1000));
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(!put(ann, bad[i], 0, 1500), "%s", bad[i]);
	ck_assert_str_eq(ann_state(ann, 1999)->service, "desk");
	ck_assert_ptr_null(ann_state(ann, 2000)->service);
	ann_free(ann);
}
END_TEST

/* After an agent restart, slots used by its former process are not free. */
START_TEST(slots_in_use_by_others)
{
	struct ann *ann = ann_new();

	ck_assert(put(ann, ANNOUNCEMENT, 1, 1000));
	ck_assert_uint_eq(ann_state(ann, 1000)->slots_in_use, 2);
	ann_call_ended(ann, 1000);
	ck_assert(put(ann, ANNOUNCEMENT, 2, 1100));
	ck_assert_uint_eq(ann_state(ann, 1100)->slots_in_use, 0);
	ck_assert(put(ann, ANNOUNCEMENT, 2, 1500));
	ck_assert_uint_eq(ann_state(ann, 1500)->slots_in_use, 1);
	ann_free(ann);
}
END_TEST

ROWS_MAIN("endpoint", 60, G_N_ELEMENTS(rows), one_call, break_in_request,
    break_in_answer, redirect_and_login_are_answers, refused_by_endpoint,
    request_headers, announcement, slots_in_use_by_others)
