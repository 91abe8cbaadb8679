#include <check.h>
#include <errno.h>
#include <gio/gio.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/socket.h>

#include "harness.h"
#include "platform/http.h"
#include "runner.h"

#define TIMEOUT_MS INT64_C(100)
#define LATE_MS	   5000

static GSocket *
listen_on(const char *ip, uint16_t port)
{
	g_autoptr(GSocketAddress) address =
	    g_inet_socket_address_new_from_string(ip, port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

	ck_assert(g_socket_bind(socket, address, TRUE, NULL));
	ck_assert(g_socket_listen(socket, NULL));
	return socket;
}

/* Reads until the connection ends; returns 0 for an orderly close, or errno. */
static int
read_to_end(GSocket *conn)
{
	char buf[4096];
	ssize_t n;

	while ((n = recv(g_socket_get_fd(conn), buf, sizeof(buf), 0)) > 0)
		;
	return n == 0 ? 0 : errno;
}

static void
on_answer(const struct ph_answer *answer, void *ctx)
{
	bool *unanswered = ctx;

	*unanswered = answer->code == 0;
}

/*
 * A start delayed by a network partition was executed by a restarted worker
 * when the partition healed, after the start had timed out.  A reset discards
 * undelivered data; an orderly close does not.
 */
START_TEST(timeout_resets_the_connection)
{
	uint16_t port = hn_port();
	GSocket *listener = listen_on("127.0.0.1", port);
	struct ph *ph = ph_new(1);
	struct ph_call call = {
	    .method = "POST",
	    .address = hn_str("127.0.0.1:%u", port),
	    .path = "/start",
	    .body = "{}",
	    .timeout_ms = TIMEOUT_MS,
	};
	bool unanswered = false;
	GSocket *conn;

	ph_send(ph, &call, on_answer, &unanswered);
	ck_assert(hn_wait_until(unanswered, HN_LIMIT_MS));
	conn = g_socket_accept(listener, NULL, NULL);
	ck_assert_ptr_nonnull(conn);
	ck_assert_int_eq(read_to_end(conn), ECONNRESET);
	ph_free(ph);
	g_object_unref(conn);
	g_object_unref(listener);
	hn_finish();
}
END_TEST

/* A server that answers when a test says so, and calls to it. */
struct fixture {
	GSocket *listener;
	struct ph *ph;
	struct ph_call call;
};

static void
start(struct fixture *w, int64_t late_ms)
{
	uint16_t port = hn_port();

	w->listener = listen_on("127.0.0.1", port);
	w->ph = ph_new(1);
	w->call = (struct ph_call){
	    .method = "POST",
	    .address = hn_str("127.0.0.1:%u", port),
	    .path = "/start",
	    .body = "{}",
	    .timeout_ms = TIMEOUT_MS,
	    .late_ms = late_ms,
	};
}

static void
end(struct fixture *w, GSocket *conn)
{
	ph_free(w->ph);
	g_object_unref(conn);
	g_object_unref(w->listener);
	hn_finish();
}

static void
on_number(const struct ph_answer *answer, void *ctx)
{
	struct json_object *value = NULL;
	int64_t *number = ctx;

	json_object_object_get_ex(answer->body, "number", &value);
	*number = value == NULL ? -1 : json_object_get_int64(value);
}

/* Waits for a connection, whose request has been sent by then. */
static GSocket *
accept_one(struct fixture *w)
{
	ck_assert(hn_wait_until(
	    g_socket_condition_check(w->listener, G_IO_IN), HN_LIMIT_MS));
	return g_socket_accept(w->listener, NULL, NULL);
}

static void
receive_request(GSocket *conn)
{
	char buf[4096];

	ck_assert(hn_wait_until(
	    g_socket_condition_check(conn, G_IO_IN), HN_LIMIT_MS));
	ck_assert_int_gt(
	    g_socket_receive(conn, buf, sizeof(buf), NULL, NULL), 0);
}

static void
send_answer(GSocket *conn, int number)
{
	const char *body = hn_str("{\"number\":%d}", number);
	const char *answer =
	    hn_str("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);

	ck_assert_int_eq(
	    g_socket_send(conn, answer, strlen(answer), NULL, NULL),
	    (gssize)strlen(answer));
}

/*
 * Guards against a new connection for each call that a busy worker answers
 * late, and against a late answer that is taken for that of the next call.
 */
START_TEST(late_answer_frees_the_connection)
{
	int64_t first = 0, second = 0;
	struct fixture w;
	GSocket *conn;

	start(&w, LATE_MS);
	ph_send(w.ph, &w.call, on_number, &first);
	conn = accept_one(&w);
	receive_request(conn);
	ck_assert(hn_wait_until(first != 0, HN_LIMIT_MS));
	ck_assert_int_eq(first, -1);
	send_answer(conn, 1);
	hn_sleep(TIMEOUT_MS);
	ph_send(w.ph, &w.call, on_number, &second);
	receive_request(conn);
	send_answer(conn, 2);
	ck_assert(hn_wait_until(second != 0, HN_LIMIT_MS));
	ck_assert_int_eq(second, 2);
	end(&w, conn);
}
END_TEST

/*
 * Guards against calls that wait for the connection of a call whose answer does
 * not come, and against answers to the wrong call.
 */
START_TEST(pending_connection_is_not_used)
{
	int64_t first = 0, second = 0;
	struct fixture w;
	GSocket *conn, *other;

	start(&w, LATE_MS);
	ph_send(w.ph, &w.call, on_number, &first);
	conn = accept_one(&w);
	ck_assert(hn_wait_until(first != 0, HN_LIMIT_MS));
	ph_send(w.ph, &w.call, on_number, &second);
	other = accept_one(&w);
	receive_request(other);
	send_answer(conn, 1);
	send_answer(other, 2);
	ck_assert(hn_wait_until(second != 0, HN_LIMIT_MS));
	ck_assert_int_eq(first, -1);
	ck_assert_int_eq(second, 2);
	g_object_unref(other);
	end(&w, conn);
}
END_TEST

/*
 * Guards against a start that waited for a connection, was taken for one that
 * got no answer and is sent after that.
 */
START_TEST(call_that_was_not_sent_is_dropped)
{
	int64_t first = 0, second = 0;
	struct fixture w;
	GSocket *conn;

	start(&w, LATE_MS);
	w.call.timeout_ms = LATE_MS;
	ph_send(w.ph, &w.call, on_number, &first);
	conn = accept_one(&w);
	receive_request(conn);
	w.call.timeout_ms = TIMEOUT_MS;
	ph_send(w.ph, &w.call, on_number, &second);
	ck_assert(hn_wait_until(second != 0, HN_LIMIT_MS));
	ck_assert_int_eq(second, -1);
	send_answer(conn, 1);
	ck_assert(hn_wait_until(first != 0, HN_LIMIT_MS));
	ck_assert_int_eq(first, 1);
	hn_sleep(TIMEOUT_MS);
	ck_assert(!g_socket_condition_check(conn, G_IO_IN));
	ck_assert(!g_socket_condition_check(w.listener, G_IO_IN));
	end(&w, conn);
}
END_TEST

/* As timeout_resets_the_connection, when no late answer comes either. */
START_TEST(connection_without_a_late_answer_is_reset)
{
	int64_t number = 0;
	struct fixture w;
	GSocket *conn;

	start(&w, TIMEOUT_MS);
	ph_send(w.ph, &w.call, on_number, &number);
	conn = accept_one(&w);
	ck_assert(hn_wait_until(number != 0, HN_LIMIT_MS));
	hn_sleep(2 * TIMEOUT_MS);
	ck_assert_int_eq(read_to_end(conn), ECONNRESET);
	end(&w, conn);
}
END_TEST

/*
 * A process that was busy when the answer came took the call for one without an
 * answer, and sent it again on another connection.
 */
START_TEST(answer_that_has_arrived_counts)
{
	int64_t number = 0;
	struct fixture w;
	GSocket *conn;

	start(&w, LATE_MS);
	ph_send(w.ph, &w.call, on_number, &number);
	conn = accept_one(&w);
	receive_request(conn);
	send_answer(conn, 1);
	g_usleep(2 * TIMEOUT_MS * G_TIME_SPAN_MILLISECOND);
	ck_assert(hn_wait_until(number != 0, HN_LIMIT_MS));
	ck_assert_int_eq(number, 1);
	end(&w, conn);
}
END_TEST

static void
reset(GSocket *conn)
{
	struct linger abort_at_close = {.l_onoff = 1, .l_linger = 0};

	ck_assert_int_eq(
	    setsockopt(g_socket_get_fd(conn), SOL_SOCKET, SO_LINGER,
		&abort_at_close, sizeof(abort_at_close)),
	    0);
	ck_assert(g_socket_close(conn, NULL));
}

/* Whether a request comes on a new connection, which may also end without. */
static bool
gets_another_request(const struct fixture *w)
{
	GSocket *conn;
	char buf[4096];
	gssize n;

	hn_sleep(TIMEOUT_MS);
	if (!g_socket_condition_check(w->listener, G_IO_IN))
		return false;
	conn = g_socket_accept(w->listener, NULL, NULL);
	n = g_socket_receive(conn, buf, sizeof(buf), NULL, NULL);
	g_object_unref(conn);
	return n > 0;
}

/* Returns a connection on which a call has been answered. */
static GSocket *
answer_one(struct fixture *w)
{
	int64_t number = 0;
	GSocket *conn;

	ph_send(w->ph, &w->call, on_number, &number);
	conn = accept_one(w);
	receive_request(conn);
	send_answer(conn, 1);
	ck_assert(hn_wait_until(number == 1, HN_LIMIT_MS));
	return conn;
}

/*
 * Guards against a second start: libcurl sent a request again by itself when
 * its connection, which had served others, was reset.  The first one may have
 * been received, so that an answer to the second says nothing about it.
 */
START_TEST(reset_call_is_not_sent_again)
{
	int64_t number = 0;
	struct fixture w;
	GSocket *conn;

	start(&w, _i == 0 ? 0 : LATE_MS);
	conn = answer_one(&w);
	w.call.timeout_ms = _i == 0 ? LATE_MS : TIMEOUT_MS;
	ph_send(w.ph, &w.call, on_number, &number);
	receive_request(conn);
	/* In the second row the call has timed out before. */
	if (_i == 1)
		ck_assert(hn_wait_until(number != 0, HN_LIMIT_MS));
	reset(conn);
	ck_assert(!gets_another_request(&w));
	ck_assert_int_eq(number, -1);
	end(&w, conn);
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {timeout_resets_the_connection,
	    late_answer_frees_the_connection, pending_connection_is_not_used,
	    call_that_was_not_sent_is_dropped,
	    connection_without_a_late_answer_is_reset,
	    answer_that_has_arrived_counts};
	int red = 0;

	red |= run_tests("http", tests, G_N_ELEMENTS(tests), 0);
	red |= run_table("http reset", reset_call_is_not_sent_again, 2, 0);
	return red;
}
