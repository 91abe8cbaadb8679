#include <check.h>
#include <errno.h>
#include <gio/gio.h>
#include <sys/socket.h>

#include "harness.h"
#include "platform/http.h"
#include "runner.h"

#define TIMEOUT_MS 100

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

TEST_MAIN("http", 0, timeout_resets_the_connection)
