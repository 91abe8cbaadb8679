#include <errno.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "connection/address.h"
#include "connection/cancelwire.h"
#include "connection/peerclock.h"
#include "connection/rpc.h"
#include "connection/startbatch.h"
#include "connection/worklink.h"
#include "process/clock.h"
#include "process/events.h"

#define HEARTBEAT_MS 250
/*
 * When no heartbeat was sent for longer, this process was suspended and the
 * agent may have stopped the runs of the connection.
 */
#define MAX_HEARTBEAT_GAP_MS 600
/* A connection without input for this long is closed. */
#define INPUT_TIMEOUT_MS   800
#define CONNECT_TIMEOUT_S  1
#define WLK_BACKOFF_MIN_MS 50
#define WLK_BACKOFF_MAX_MS 1000

struct wlk {
	struct wlk_options opts;
	char *address;
	GSocketAddress *target;
	GSocketClient *client;
	GCancellable *connecting;
	struct rpc_conn *conn;
	int64_t last_open_ms;
	int64_t heartbeat_sent_ms; /* last heartbeat sent */
	struct pcl agent_clock;
	/* As the agent described it last; incarnation 0: not yet. */
	run_statement worker;
	/* As in the last RUN_CANCELLED; 0: none. */
	uint64_t cancels_source;
	uint64_t cancels_position;
	int64_t backoff_ms;
	struct sbt *starts; /* to be sent */
	GArray *cancels;    /* seqs */
	guint retry_id;
	guint flush_id;
};

static void connect_link(struct wlk *link);

static gboolean
on_retry(gpointer data)
{
	struct wlk *link = data;

	link->retry_id = 0;
	connect_link(link);
	return G_SOURCE_REMOVE;
}

static void
schedule_reconnect(struct wlk *link)
{
	int64_t pause_ms;

	link->backoff_ms =
	    CLAMP(link->backoff_ms * 2, WLK_BACKOFF_MIN_MS, WLK_BACKOFF_MAX_MS);
	pause_ms = link->backoff_ms / 2 +
		   g_random_int_range(0, (gint32)(link->backoff_ms / 2) + 1);
	if (link->retry_id == 0)
		link->retry_id = g_timeout_add((guint)pause_ms, on_retry, link);
}

static void
discard_unsent(struct wlk *link)
{
	sbt_reset(link->starts);
	g_array_set_size(link->cancels, 0);
	g_clear_handle_id(&link->flush_id, g_source_remove);
}

static void
drop_conn(struct wlk *link, const struct status *why)
{
	struct rpc_conn *conn = g_steal_pointer(&link->conn);

	if (conn == NULL)
		return;
	discard_unsent(link);
	rpc_detach(conn);
	rpc_unref(conn);
	link->last_open_ms = clk_now_ms();
	link->opts.closed(link, why, link->opts.ctx);
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct wlk *link = ctx;

	(void)conn;
	drop_conn(link, why);
	schedule_reconnect(link);
}

static void
send_heartbeat(struct wlk *link)
{
	run_heartbeat_args args = {0};
	int64_t now_ms = clk_now_ms();

	link->opts.fill_heartbeat(&args, link->opts.ctx);
	link->heartbeat_sent_ms = now_ms;
	args.agent_ms = pcl_estimate_ms(&link->agent_clock, now_ms);
	rpc_send(link->conn, RUN_HEARTBEAT, (xdrproc_t)xdr_run_heartbeat_args,
	    &args);
}

/*
 * The agent accepts starts only when it knows how long messages are on their
 * way, so the first time that it tells is returned to it at once.  Returns
 * false if the time is out of range.
 */
static bool
record_clock(struct wlk *link, int64_t clock_ms)
{
	bool first = link->agent_clock.peer_ms == 0;

	if (pcl_receive(&link->agent_clock, clock_ms, clk_now_ms()) < 0)
		return false;
	if (first)
		send_heartbeat(link);
	return true;
}

/* Takes over the contents of statement. */
static void
keep_worker(struct wlk *link, run_statement *statement)
{
	xdr_free((xdrproc_t)xdr_run_statement, &link->worker);
	link->worker = *statement;
	*statement = (run_statement){0};
}

/*
 * The position is returned when the link opens again, so that the agent sends
 * what was missed meanwhile.
 */
static void
take_cancelled(struct wlk *link, const run_cancelled_args *args)
{
	bool is_new = args->source != link->cancels_source;

	link->cancels_source = args->source;
	link->cancels_position = args->position;
	link->opts.cancelled(link, args, is_new, link->opts.ctx);
}

static void
receive_interference(struct wlk *link, const struct run_interference_args *args)
{
	if (link->opts.interference != NULL)
		link->opts.interference(link, args, link->opts.ctx);
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct wlk *link = ctx;
	run_worker_args worker = {0};
	run_update_args update = {0};
	run_crash_args crash = {0};
	run_cancelled_args cancelled = {0};
	run_cancels_known_args known = {0};
	run_interference_args pairs = {0};

	link->backoff_ms = 0;
	if (call->proc == RUN_WORKER &&
	    xdr_run_worker_args(call->args, &worker)) {
		link->opts.worker(link, &worker, link->opts.ctx);
		keep_worker(link, &worker.worker);
	} else if (call->proc == RUN_UPDATE &&
		   xdr_run_update_args(call->args, &update) &&
		   record_clock(link, update.clock_ms)) {
		link->worker.stated_ms = update.stated_ms;
		sbt_set_limit(link->starts, update.start_limit);
		link->opts.update(link, &update, link->opts.ctx);
	} else if (call->proc == RUN_CRASH &&
		   xdr_run_crash_args(call->args, &crash))
		link->opts.crash(link, &crash, link->opts.ctx);
	else if (call->proc == RUN_CANCELLED &&
		 xdr_run_cancelled_args(call->args, &cancelled) &&
		 ccw_are_valid(&cancelled))
		take_cancelled(link, &cancelled);
	else if (call->proc == RUN_CANCELS_KNOWN &&
		 xdr_run_cancels_known_args(call->args, &known))
		link->opts.cancels_known(link, &known, link->opts.ctx);
	else if (call->proc == RUN_INTERFERENCE &&
		 xdr_run_interference_args(call->args, &pairs))
		receive_interference(link, &pairs);
	else
		rpc_close(conn, ST_INVALID, "malformed call of an agent");
	xdr_free((xdrproc_t)xdr_run_worker_args, &worker);
	xdr_free((xdrproc_t)xdr_run_update_args, &update);
	xdr_free((xdrproc_t)xdr_run_crash_args, &crash);
	xdr_free((xdrproc_t)xdr_run_cancelled_args, &cancelled);
	xdr_free((xdrproc_t)xdr_run_cancels_known_args, &known);
	xdr_free((xdrproc_t)xdr_run_interference_args, &pairs);
}

void
wlk_send_heartbeat(struct wlk *link)
{
	if (link->conn != NULL)
		send_heartbeat(link);
}

static bool
was_suspended(const struct wlk *link)
{
	return clk_now_ms() - link->heartbeat_sent_ms > MAX_HEARTBEAT_GAP_MS;
}

void
wlk_tick(struct wlk *link)
{
	if (link->conn == NULL)
		return;
	if (was_suspended(link))
		wlk_reconnect(link, "process was paused");
	else if (clk_now_ms() - link->heartbeat_sent_ms >= HEARTBEAT_MS)
		wlk_send_heartbeat(link);
}

/*
 * Makes a close, and a timeout in the kernel, reset the connection.  After an
 * orderly close the kernel would still deliver unsent data, which may be a
 * start whose task was placed on another worker meanwhile.
 */
static void
reset_on_close(GSocketConnection *conn)
{
	GSocket *socket = g_socket_connection_get_socket(conn);
	struct linger abort_at_close = {.l_onoff = 1, .l_linger = 0};

	if (setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
		&abort_at_close, sizeof(abort_at_close)) < 0)
		evt_write("agent", evt_text("option", "SO_LINGER"),
		    evt_text("reason", g_strerror(errno)));
	if (!g_socket_set_option(
		socket, IPPROTO_TCP, TCP_USER_TIMEOUT, INPUT_TIMEOUT_MS, NULL))
		evt_write("agent", evt_text("option", "TCP_USER_TIMEOUT"),
		    evt_text("reason", g_strerror(errno)));
}

static void
send_open(struct wlk *link)
{
	run_open_args args = {
	    .entry = (char *)link->opts.name,
	    .incarnation = link->opts.incarnation,
	    .worker = link->worker.incarnation == 0 ? NULL : &link->worker,
	    .cancels_source = link->cancels_source,
	    .cancels_position = link->cancels_position,
	};

	rpc_send(link->conn, RUN_OPEN, (xdrproc_t)xdr_run_open_args, &args);
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	GError *error = NULL;
	GSocketConnection *socket = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, &error);
	struct wlk *link = data;
	struct rpc_options opts = {
	    .socket = socket,
	    .prog = RUN_PROG,
	    .silence_ms = INPUT_TIMEOUT_MS,
	    .on_call = on_call,
	    .on_closed = on_closed,
	    .ctx = link,
	};

	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error);
		return;
	}
	g_clear_object(&link->connecting);
	if (socket == NULL) {
		g_error_free(error);
		schedule_reconnect(link);
		return;
	}
	reset_on_close(socket);
	link->agent_clock = (struct pcl){0};
	link->conn = rpc_new(&opts);
	g_object_unref(socket);
	send_open(link);
	wlk_send_heartbeat(link);
}

static void
connect_link(struct wlk *link)
{
	link->connecting = g_cancellable_new();
	g_socket_client_connect_async(link->client,
	    G_SOCKET_CONNECTABLE(link->target), link->connecting, on_connected,
	    link);
}

struct wlk *
wlk_new(const struct wlk_options *opts)
{
	struct status st;
	GSocketAddress *target = addr_parse(opts->address, &st);
	struct wlk *link;

	if (target == NULL)
		return NULL;
	link = g_new0(struct wlk, 1);
	link->opts = *opts;
	link->address = g_strdup(opts->address);
	link->target = target;
	link->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(link->client, FALSE);
	g_socket_client_set_timeout(link->client, CONNECT_TIMEOUT_S);
	link->last_open_ms = clk_now_ms();
	link->starts = sbt_new();
	link->cancels = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	connect_link(link);
	return link;
}

void
wlk_free(struct wlk *link)
{
	struct status why = {.code = ST_OK};

	if (link == NULL)
		return;
	g_clear_handle_id(&link->retry_id, g_source_remove);
	if (link->connecting != NULL) {
		g_cancellable_cancel(link->connecting);
		g_object_unref(link->connecting);
	}
	drop_conn(link, &why);
	sbt_free(link->starts);
	g_array_unref(link->cancels);
	xdr_free((xdrproc_t)xdr_run_statement, &link->worker);
	g_object_unref(link->client);
	g_object_unref(link->target);
	g_free(link->address);
	g_free(link);
}

const char *
wlk_address(const struct wlk *link)
{
	return link->address;
}

bool
wlk_is_open(const struct wlk *link)
{
	return link->conn != NULL;
}

int64_t
wlk_last_open_ms(const struct wlk *link)
{
	return link->conn != NULL ? clk_now_ms() : link->last_open_ms;
}

void
wlk_reconnect(struct wlk *link, const char *why)
{
	struct status st;

	if (link->conn == NULL)
		return;
	st_set(&st, ST_TIMEOUT, "%s", why);
	drop_conn(link, &st);
	schedule_reconnect(link);
}

/*
 * A batch that can't be sent must not be dropped in silence: its tasks would
 * wait for their deadline.  Without the connection their outcome is unknown, as
 * that of other starts on it.
 */
static void
send_starts(struct wlk *link)
{
	g_autofree run_spec *specs = NULL;
	run_start_args args = {
	    .agent_ms = pcl_estimate_ms(&link->agent_clock, clk_now_ms()),
	};
	bool sent;

	sbt_to_wire(link->starts, &args, &specs);
	sent = rpc_send(
	    link->conn, RUN_START, (xdrproc_t)xdr_run_start_args, &args);
	sbt_clear(link->starts);
	if (sent || !rpc_is_open(link->conn))
		return;
	evt_write("agent", evt_text("agent", link->address),
	    evt_text("state", "starts can't be sent"),
	    evt_uint("starts", args.starts.starts_len));
	rpc_close(link->conn, ST_LIMIT, "starts can't be sent");
}

bool
wlk_start(struct wlk *link, const run_start *start, GBytes *spec)
{
	enum sbt_verdict verdict;

	if (link->conn == NULL || was_suspended(link))
		return false;
	verdict = sbt_add(link->starts, start, spec);
	if (verdict == SBT_BATCH_FULL) {
		send_starts(link);
		verdict = sbt_add(link->starts, start, spec);
	}
	return verdict == SBT_ADDED;
}

static gboolean
on_flush(gpointer data)
{
	struct wlk *link = data;

	link->flush_id = 0;
	wlk_flush(link);
	return G_SOURCE_REMOVE;
}

void
wlk_cancel(struct wlk *link, uint64_t seq)
{
	if (link->conn == NULL)
		return;
	g_array_append_val(link->cancels, seq);
	if (link->flush_id == 0)
		link->flush_id =
		    g_idle_add_full(G_PRIORITY_DEFAULT, on_flush, link, NULL);
}

void
wlk_tell_cancelled(struct wlk *link, const run_cancelled *jobs, uint32_t n)
{
	run_cancelled_args args = {.jobs = {n, (run_cancelled *)jobs}};

	if (link->conn != NULL)
		rpc_send(link->conn, RUN_CANCELLED,
		    (xdrproc_t)xdr_run_cancelled_args, &args);
}

void
wlk_send_interference(
    struct wlk *link, const struct run_interference_args *args)
{
	if (link->conn != NULL)
		rpc_send(link->conn, RUN_INTERFERENCE,
		    (xdrproc_t)xdr_run_interference_args, (void *)args);
}

static void
send_cancels(struct wlk *link)
{
	run_cancel_args args = {
	    .given_up_ms = pcl_estimate_ms(
		&link->agent_clock, link->opts.noticed_ms(link->opts.ctx)),
	    .seqs = {MIN(link->cancels->len, RUN_BATCH_MAX),
		(uint64_t *)link->cancels->data},
	};

	if (args.seqs.seqs_len == 0)
		return;
	rpc_send(link->conn, RUN_CANCEL, (xdrproc_t)xdr_run_cancel_args, &args);
	g_array_remove_range(link->cancels, 0, args.seqs.seqs_len);
}

/* Starts go first, so that a cancel never arrives before its start. */
void
wlk_flush(struct wlk *link)
{
	if (link->conn == NULL)
		return;
	if (sbt_count(link->starts) > 0)
		send_starts(link);
	while (link->conn != NULL && link->cancels->len > 0)
		send_cancels(link);
}
