#include <check.h>
#include <errno.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>

#include "connection/worklink.h"
#include "harness.h"
#include "runner.h"

/* An agent that accepts a connection and sends nothing. */
struct agent {
	GSocket *listener;
	GSocket *conn;
	char address[32];
	bool closed;
};

static void
fill_heartbeat(struct run_heartbeat_args *args, void *ctx)
{
	(void)ctx;
	memset(args, 0, sizeof(*args));
}

static int64_t
noticed_ms(void *ctx)
{
	(void)ctx;
	return 0;
}

static void
on_worker(struct wlk *link, const struct run_worker_args *args, void *ctx)
{
	(void)link;
	(void)args;
	(void)ctx;
}

static void
on_update(struct wlk *link, const struct run_update_args *args, void *ctx)
{
	(void)link;
	(void)args;
	(void)ctx;
}

static void
on_closed(struct wlk *link, const struct status *why, void *ctx)
{
	struct agent *agent = ctx;

	(void)link;
	(void)why;
	agent->closed = true;
}

static void
open_agent(struct agent *agent)
{
	uint16_t port = hn_port();
	g_autoptr(GSocketAddress) address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);

	agent->listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	ck_assert(g_socket_bind(agent->listener, address, TRUE, NULL));
	ck_assert(g_socket_listen(agent->listener, NULL));
	g_socket_set_blocking(agent->listener, FALSE);
	g_snprintf(
	    agent->address, sizeof(agent->address), "127.0.0.1:%u", port);
}

static bool
has_accepted(struct agent *agent)
{
	agent->conn = g_socket_accept(agent->listener, NULL, NULL);
	return agent->conn != NULL;
}

static struct wlk *
connect_link(struct agent *agent)
{
	struct wlk_options opts = {
	    .address = agent->address,
	    .name = "e0",
	    .fill_heartbeat = fill_heartbeat,
	    .noticed_ms = noticed_ms,
	    .worker = on_worker,
	    .update = on_update,
	    .closed = on_closed,
	    .ctx = agent,
	};
	struct wlk *link;

	open_agent(agent);
	link = wlk_new(&opts);
	ck_assert(hn_wait_until(has_accepted(agent), HN_LIMIT_MS));
	ck_assert(hn_wait_until(wlk_is_open(link), HN_LIMIT_MS));
	return link;
}

static void
close_agent(struct agent *agent)
{
	g_object_unref(agent->conn);
	g_object_unref(agent->listener);
	hn_finish();
}

/* Reads until the connection closes; returns errno, 0: orderly close. */
static int
read_to_end(struct agent *agent)
{
	int fd = g_socket_get_fd(agent->conn);
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		;
	return n == 0 ? 0 : errno;
}

/*
 * Guards against a second start: a start buffered in a closed connection was
 * delivered when the network recovered, after its task had been placed on
 * another worker.  A reset discards it; an orderly close does not.
 */
START_TEST(close_discards_undelivered_data)
{
	struct agent agent = {0};
	struct wlk *link = connect_link(&agent);

	wlk_free(link);
	ck_assert(agent.closed);
	g_socket_set_blocking(agent.conn, TRUE);
	ck_assert_int_eq(read_to_end(&agent), ECONNRESET);
	close_agent(&agent);
}
END_TEST

static size_t
read_available(struct agent *agent)
{
	int fd = g_socket_get_fd(agent->conn);
	char buf[4096];
	ssize_t n;
	size_t total = 0;

	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		total += (size_t)n;
	return total;
}

static gboolean
stay_ready(gpointer data)
{
	(void)data;
	return G_SOURCE_CONTINUE;
}

/*
 * Guards against cancels that wait for as long as the main loop has other input:
 * the run goes on meanwhile, and its job may be sent again.
 */
START_TEST(cancel_is_sent_by_a_busy_loop)
{
	struct agent agent = {0};
	struct wlk *link = connect_link(&agent);
	guint busy_id =
	    g_idle_add_full(G_PRIORITY_DEFAULT, stay_ready, NULL, NULL);
	int i;

	read_available(&agent);
	wlk_cancel(link, 1);
	for (i = 0; i < 3; i++)
		g_main_context_iteration(NULL, FALSE);
	ck_assert_uint_gt(read_available(&agent), 0);
	g_source_remove(busy_id);
	wlk_free(link);
	close_agent(&agent);
}
END_TEST

TEST_MAIN("worklink", 0, close_discards_undelivered_data,
    cancel_is_sent_by_a_busy_loop)
