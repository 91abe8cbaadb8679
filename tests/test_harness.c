#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#include "harness.h"
#include "runner.h"

/* A TCP listener behind a fault proxy; the tests use both ends directly. */
struct server {
	uint16_t port, proxied, control;
	GSocketListener *listener;
	GSocketConnection *accepted;
	struct hn_proc *proxy;
};

static void
server_start(struct server *server)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address;

	server->port = hn_port();
	server->proxied = hn_port();
	server->control = hn_port();
	address = g_inet_socket_address_new(loopback, server->port);
	server->listener = g_socket_listener_new();
	ck_assert(g_socket_listener_add_address(server->listener, address,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
	server->proxy = hn_start("proxy",
	    (const char *[]){"fault_proxy", hn_str("%u", server->control),
		hn_str("%u=%u", server->proxied, server->port), NULL});
	ck_assert(hn_wait_until(
	    hn_http(
		"GET", hn_str("http://127.0.0.1:%u/", server->control), NULL)
		    ->status == 200,
	    HN_LIMIT_MS));
	g_object_unref(address);
	g_object_unref(loopback);
}

static GSocketConnection *
server_connect(struct server *server)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *conn = g_socket_client_connect_to_host(
	    client, "127.0.0.1", server->proxied, NULL, NULL);

	ck_assert_ptr_nonnull(conn);
	g_object_unref(client);
	server->accepted =
	    g_socket_listener_accept(server->listener, NULL, NULL, NULL);
	ck_assert_ptr_nonnull(server->accepted);
	return conn;
}

static void
set_rule(struct server *server, const char *query)
{
	ck_assert_int_eq(
	    hn_http("POST",
		hn_str("http://127.0.0.1:%u/?%s", server->control, query), NULL)
		->status,
	    200);
}

static void
write_text(GSocketConnection *conn, const char *text)
{
	ck_assert(g_output_stream_write_all(
	    g_io_stream_get_output_stream(G_IO_STREAM(conn)), text,
	    strlen(text), NULL, NULL, NULL));
}

/*
 * Reads what arrives within limit_ms: "" if nothing does, "<end>" if the stream
 * was closed.
 */
static const char *
read_available(GSocketConnection *conn, int64_t limit_ms)
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

/* Each proxy action affects the selected connections and directions only. */
START_TEST(proxy_faults)
{
	struct server server;
	GSocketConnection *a, *b, *server_a, *server_b;
	int64_t before_ms;

	server_start(&server);
	a = server_connect(&server);
	server_a = server.accepted;
	write_text(a, "name-a");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "name-a");
	b = server_connect(&server);
	server_b = server.accepted;
	write_text(b, "name-b");
	ck_assert_str_eq(read_available(server_b, HN_LIMIT_MS), "name-b");

	/*
	 * Freeze affects only the matching connection and direction, and lasts
	 * until release: restore does not end it.
	 */
	set_rule(&server,
	    "action=freeze&match=name-a&direction=down&scope=existing");
	write_text(server_a, "late");
	write_text(server_b, "now");
	write_text(a, "up");
	ck_assert_str_eq(read_available(b, HN_LIMIT_MS), "now");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "up");
	set_rule(&server, "action=restore");
	ck_assert_str_eq(read_available(a, 200), "");
	set_rule(&server, "action=release");
	ck_assert_str_eq(read_available(a, HN_LIMIT_MS), "late");

	before_ms = hn_now_ms();
	set_rule(&server, "action=delay&ms=300&direction=up");
	write_text(a, "slow");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "slow");
	ck_assert_int_ge(hn_now_ms() - before_ms, 300);
	set_rule(&server, "action=restore");

	/*
	 * Drop lets the matching request through, discards its reply and closes
	 * that connection; the other one is unaffected.
	 */
	set_rule(&server, "action=drop&match=PUT&direction=down");
	write_text(a, "GET");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "GET");
	write_text(server_a, "ok");
	ck_assert_str_eq(read_available(a, HN_LIMIT_MS), "ok");
	write_text(a, "PUT");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "PUT");
	write_text(server_a, "lost");
	ck_assert_str_eq(read_available(a, HN_LIMIT_MS), "<end>");
	write_text(server_b, "kept");
	ck_assert_str_eq(read_available(b, HN_LIMIT_MS), "kept");

	set_rule(&server, "action=cut");
	ck_assert_str_eq(read_available(b, HN_LIMIT_MS), "<end>");
	g_object_unref(a);
	g_object_unref(server_a);
	g_object_unref(b);
	g_object_unref(server_b);
	g_object_unref(server.listener);
	hn_finish();
}
END_TEST

/*
 * Data held by a freeze is still delivered on release when the client has
 * closed the connection meanwhile.
 */
START_TEST(proxy_delivers_late)
{
	struct server server;
	GSocketConnection *a, *server_a;

	server_start(&server);
	a = server_connect(&server);
	server_a = server.accepted;
	write_text(a, "x");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "x");
	set_rule(&server, "action=freeze&direction=up&scope=existing");
	write_text(a, "late");
	hn_wait_until(
	    hn_json_int(
		hn_http("GET", hn_str("http://127.0.0.1:%u/", server.control),
		    NULL),
		"held") == 4,
	    HN_LIMIT_MS);
	g_io_stream_close(G_IO_STREAM(a), NULL, NULL);
	ck_assert_str_eq(read_available(server_a, 200), "");
	set_rule(&server, "action=release");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "late");
	ck_assert_str_eq(read_available(server_a, HN_LIMIT_MS), "<end>");
	g_object_unref(a);
	g_object_unref(server_a);
	g_object_unref(server.listener);
	hn_finish();
}
END_TEST

/*
 * Signals and restarts take effect on the process, and consecutive calls of
 * hn_port() return different ports.
 */
START_TEST(processes_and_ports)
{
	struct server server;
	uint16_t a = hn_port(), b = hn_port();
	pid_t pid;

	ck_assert_uint_ne(a, b);
	server_start(&server);
	pid = hn_pid(server.proxy);
	hn_signal(server.proxy, SIGSTOP);
	ck_assert_int_eq(hn_wait_exit(server.proxy, 100), -1);
	hn_signal(server.proxy, SIGTERM);
	hn_signal(server.proxy, SIGCONT);
	ck_assert_int_eq(
	    hn_wait_exit(server.proxy, HN_LIMIT_MS), 128 + SIGTERM);
	hn_restart(server.proxy);
	ck_assert_int_ne(hn_pid(server.proxy), pid);
	g_object_unref(server.listener);
	hn_finish();
}
END_TEST

TEST_MAIN(
    "harness", 120, proxy_faults, proxy_delivers_late, processes_and_ports)
