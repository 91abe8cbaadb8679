#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#include "harness.h"
#include "runner.h"

/* A server that answers each line it reads with the same line. */
struct echo {
	uint16_t port, proxied, control;
	GSocketListener *listener;
	GSocketConnection *accepted;
	struct hn_proc *proxy;
};

static void
echo_start(struct echo *echo)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address;

	echo->port = hn_port();
	echo->proxied = hn_port();
	echo->control = hn_port();
	address = g_inet_socket_address_new(loopback, echo->port);
	echo->listener = g_socket_listener_new();
	ck_assert(g_socket_listener_add_address(echo->listener, address,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
	echo->proxy = hn_start("proxy",
	    (const char *[]){"fault_proxy", hn_str("%u", echo->control),
		hn_str("%u=%u", echo->proxied, echo->port), NULL});
	ck_assert(hn_wait_until(
	    hn_http("GET", hn_str("http://127.0.0.1:%u/", echo->control), NULL)
		    ->status == 200,
	    HN_LIMIT_MS));
	g_object_unref(address);
	g_object_unref(loopback);
}

static GSocketConnection *
echo_connect(struct echo *echo)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *conn = g_socket_client_connect_to_host(
	    client, "127.0.0.1", echo->proxied, NULL, NULL);

	ck_assert_ptr_nonnull(conn);
	g_object_unref(client);
	echo->accepted =
	    g_socket_listener_accept(echo->listener, NULL, NULL, NULL);
	ck_assert_ptr_nonnull(echo->accepted);
	return conn;
}

static void
rule(struct echo *echo, const char *query)
{
	ck_assert_int_eq(
	    hn_http("POST",
		hn_str("http://127.0.0.1:%u/?%s", echo->control, query), NULL)
		->status,
	    200);
}

static void
put(GSocketConnection *conn, const char *text)
{
	ck_assert(g_output_stream_write_all(
	    g_io_stream_get_output_stream(G_IO_STREAM(conn)), text,
	    strlen(text), NULL, NULL, NULL));
}

/* Reads what arrives within the time: "" is nothing, "<end>" a closed stream */
static const char *
take(GSocketConnection *conn, int64_t limit_ms)
{
	static char text[256];
	GSocket *socket = g_socket_connection_get_socket(conn);
	gssize n;

	g_socket_set_blocking(socket, FALSE);
	if (!hn_wait_until(
		g_socket_condition_check(socket, G_IO_IN) != 0, limit_ms))
		return "";
	n = g_socket_receive(socket, text, sizeof(text) - 1, NULL, NULL);
	if (n <= 0)
		return "<end>";
	text[n] = '\0';
	return text;
}

/* Every fault of the proxy must do what the tests of guarantees rely on. */
START_TEST(proxy_faults)
{
	struct echo echo;
	GSocketConnection *a, *b, *sa, *sb;
	int64_t before_ms;

	echo_start(&echo);
	a = echo_connect(&echo);
	sa = echo.accepted;
	put(a, "name-a");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "name-a");
	b = echo_connect(&echo);
	sb = echo.accepted;
	put(b, "name-b");
	ck_assert_str_eq(take(sb, HN_LIMIT_MS), "name-b");

	/* Only the named connection and direction freezes, and for good. */
	rule(&echo, "action=freeze&match=name-a&direction=down&scope=existing");
	put(sa, "late");
	put(sb, "now");
	put(a, "up");
	ck_assert_str_eq(take(b, HN_LIMIT_MS), "now");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "up");
	rule(&echo, "action=restore");
	ck_assert_str_eq(take(a, 200), "");
	rule(&echo, "action=release");
	ck_assert_str_eq(take(a, HN_LIMIT_MS), "late");

	before_ms = hn_now_ms();
	rule(&echo, "action=delay&ms=300&direction=up");
	put(a, "slow");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "slow");
	ck_assert_int_ge(hn_now_ms() - before_ms, 300);
	rule(&echo, "action=restore");

	/* The request arrives, its reply is lost, nobody else is harmed. */
	rule(&echo, "action=drop&match=PUT&direction=down");
	put(a, "GET");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "GET");
	put(sa, "ok");
	ck_assert_str_eq(take(a, HN_LIMIT_MS), "ok");
	put(a, "PUT");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "PUT");
	put(sa, "lost");
	ck_assert_str_eq(take(a, HN_LIMIT_MS), "<end>");
	put(sb, "kept");
	ck_assert_str_eq(take(b, HN_LIMIT_MS), "kept");

	rule(&echo, "action=cut");
	ck_assert_str_eq(take(b, HN_LIMIT_MS), "<end>");
	g_object_unref(a);
	g_object_unref(sa);
	g_object_unref(b);
	g_object_unref(sb);
	g_object_unref(echo.listener);
	hn_finish();
}
END_TEST

/* Data held on a connection that its client closed still arrives later. */
START_TEST(proxy_delivers_late)
{
	struct echo echo;
	GSocketConnection *a, *sa;

	echo_start(&echo);
	a = echo_connect(&echo);
	sa = echo.accepted;
	put(a, "x");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "x");
	rule(&echo, "action=freeze&direction=up&scope=existing");
	put(a, "late");
	hn_wait_until(
	    hn_json_int(hn_http("GET",
			    hn_str("http://127.0.0.1:%u/", echo.control), NULL),
		"held") == 4,
	    HN_LIMIT_MS);
	g_io_stream_close(G_IO_STREAM(a), NULL, NULL);
	ck_assert_str_eq(take(sa, 200), "");
	rule(&echo, "action=release");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "late");
	ck_assert_str_eq(take(sa, HN_LIMIT_MS), "<end>");
	g_object_unref(a);
	g_object_unref(sa);
	g_object_unref(echo.listener);
	hn_finish();
}
END_TEST

/* Signals and restarts reach the process; ports are not given out twice. */
START_TEST(processes_and_ports)
{
	struct echo echo;
	uint16_t a = hn_port(), b = hn_port();
	pid_t pid;

	ck_assert_uint_ne(a, b);
	echo_start(&echo);
	pid = hn_pid(echo.proxy);
	hn_signal(echo.proxy, SIGSTOP);
	ck_assert_int_eq(hn_wait_exit(echo.proxy, 100), -1);
	hn_signal(echo.proxy, SIGTERM);
	hn_signal(echo.proxy, SIGCONT);
	ck_assert_int_eq(hn_wait_exit(echo.proxy, HN_LIMIT_MS), 128 + SIGTERM);
	hn_restart(echo.proxy);
	ck_assert_int_ne(hn_pid(echo.proxy), pid);
	g_object_unref(echo.listener);
	hn_finish();
}
END_TEST

TEST_MAIN(
    "harness", 120, proxy_faults, proxy_delivers_late, processes_and_ports)
