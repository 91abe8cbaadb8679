#include <gio/gio.h>

#include "connection/address.h"
#include "connection/cancelwire.h"
#include "connection/peerclock.h"
#include "connection/rpc.h"
#include "connection/sessions.h"
#include "process/clock.h"

#define ENTRY_BACKLOG 256
/*
 * Limits on what a session may hold.  Batches of starts have up to 512 KB; the
 * crashes that an agent remembers, sent at once with the longest names, 9 MB.
 */
#define MAX_RECORD_BYTES (1024 * 1024)
#define MAX_OUTPUT_BYTES (10 * 1024 * 1024)
/*
 * A message may take so long, there and back.  With a longer way an entry would
 * be found silent between two heartbeats.
 */
#define MAX_ROUND_TRIP_MS 350

struct session {
	struct ses *ses;
	uint64_t id;
	struct rpc_conn *conn;
	int64_t last_input_ms;
	/*
	 * When the entry sent the last message, or earlier: agent_ms of that
	 * message.  Before the first, when the connection was accepted.
	 */
	int64_t last_sent_ms;
	int64_t round_trip_ms; /* of the last message, -1: not known yet */
	bool identified;       /* RUN_OPEN was received */
};

struct ses {
	struct ses_options opts;
	GSocketService *service;
	GHashTable *sessions; /* id to struct session */
	uint64_t next_id;
};

static void
session_free(gpointer data)
{
	struct session *s = data;

	rpc_detach(s->conn);
	rpc_unref(s->conn);
	g_free(s);
}

static struct session *
find_session(const struct ses *ses, uint64_t id)
{
	return g_hash_table_lookup(ses->sessions, &id);
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct session *s = ctx;
	struct ses *ses = s->ses;
	uint64_t id = s->id;
	int64_t last_sent_ms = s->last_sent_ms;
	bool identified = s->identified;

	(void)conn;
	g_hash_table_remove(ses->sessions, &id);
	if (identified)
		ses->opts.closed(id, last_sent_ms, why, ses->opts.ctx);
}

/*
 * Whether a message was held up on its way for so long that the entry may have
 * given up the session.  Its starts must not be executed, and the runs end with
 * the session, since a cancel may be held up too.
 */
static bool
is_held_up(struct session *s, int64_t agent_ms)
{
	int64_t now_ms = clk_now_ms();

	if (agent_ms < 0 || agent_ms > PCL_MAX_MS) {
		rpc_close(s->conn, ST_INVALID, "time out of range");
		return true;
	}
	if (now_ms - agent_ms > s->ses->opts.silence_ms) {
		rpc_close(
		    s->conn, ST_TIMEOUT, "message was held up on its way");
		return true;
	}
	/* The entry's clock may be fast, so that its estimate is ahead. */
	agent_ms = MIN(agent_ms, now_ms);
	s->last_sent_ms = MAX(s->last_sent_ms, agent_ms);
	s->round_trip_ms = now_ms - agent_ms;
	return false;
}

static void
handle_open(struct session *s, XDR *xdrs)
{
	run_open_args args = {0};

	if (s->identified || !xdr_run_open_args(xdrs, &args)) {
		rpc_close(s->conn, ST_INVALID, "malformed opening call");
	} else {
		s->identified = true;
		if (s->ses->opts.cancels_seen != NULL)
			s->ses->opts.cancels_seen(s->id, args.cancels_source,
			    args.cancels_position, s->ses->opts.ctx);
		s->ses->opts.opened(
		    s->id, args.entry, args.worker, s->ses->opts.ctx);
	}
	xdr_free((xdrproc_t)xdr_run_open_args, &args);
}

/* start_within_ms is below 0 if the job has reached its deadline. */
static bool
are_times_valid(const run_start_args *args)
{
	uint32_t i;

	for (i = 0; i < args->starts.starts_len; i++) {
		int64_t ms = args->starts.starts_val[i].start_within_ms;

		if (ms < -PCL_MAX_MS || ms > PCL_MAX_MS)
			return false;
	}
	return true;
}

static void
handle_start(struct session *s, XDR *xdrs)
{
	run_start_args args = {0};

	if (!xdr_run_start_args(xdrs, &args) || !are_times_valid(&args))
		rpc_close(s->conn, ST_INVALID, "malformed start");
	else if (!is_held_up(s, args.agent_ms))
		s->ses->opts.start(s->id, &args, s->ses->opts.ctx);
	xdr_free((xdrproc_t)xdr_run_start_args, &args);
}

static void
handle_cancel(struct session *s, XDR *xdrs)
{
	run_cancel_args args = {0};

	if (!xdr_run_cancel_args(xdrs, &args) || args.given_up_ms < 0 ||
	    args.given_up_ms > PCL_MAX_MS)
		rpc_close(s->conn, ST_INVALID, "malformed cancel");
	else
		s->ses->opts.cancel(s->id, &args, s->ses->opts.ctx);
	xdr_free((xdrproc_t)xdr_run_cancel_args, &args);
}

static void
handle_cancelled(struct session *s, XDR *xdrs)
{
	run_cancelled_args args = {0};

	if (xdr_run_cancelled_args(xdrs, &args) && ccw_are_valid(&args))
		s->ses->opts.cancelled(s->id, &args, s->ses->opts.ctx);
	else
		rpc_close(s->conn, ST_INVALID, "malformed cancelled jobs");
	xdr_free((xdrproc_t)xdr_run_cancelled_args, &args);
}

static void
handle_heartbeat(struct session *s, XDR *xdrs)
{
	run_heartbeat_args args = {0};

	if (!xdr_run_heartbeat_args(xdrs, &args) || args.age_ms < -1 ||
	    args.age_ms > PCL_MAX_MS)
		rpc_close(s->conn, ST_INVALID, "malformed heartbeat");
	else if (args.agent_ms == 0 || !is_held_up(s, args.agent_ms))
		s->ses->opts.on_heartbeat(s->id, &args, s->ses->opts.ctx);
	xdr_free((xdrproc_t)xdr_run_heartbeat_args, &args);
}

static void
handle_interference(struct session *s, XDR *xdrs)
{
	run_interference_args args = {0};

	if (!xdr_run_interference_args(xdrs, &args))
		rpc_close(s->conn, ST_INVALID, "malformed interference");
	else if (s->ses->opts.interference != NULL)
		s->ses->opts.interference(s->id, &args, s->ses->opts.ctx);
	xdr_free((xdrproc_t)xdr_run_interference_args, &args);
}

/*
 * Whether input comes after a gap in which the entry may have given up the
 * session.  Calls that were buffered while this process was suspended or the
 * network was down are of unknown age and must not be executed.
 */
static bool
is_input_stale(struct session *s)
{
	int64_t now_ms = clk_now_ms();
	bool late = now_ms - s->last_input_ms > s->ses->opts.silence_ms;

	s->last_input_ms = now_ms;
	return late;
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct session *s = ctx;

	if (is_input_stale(s)) {
		rpc_close(conn, ST_TIMEOUT, "input after too long a silence");
		return;
	}
	if (!s->identified && call->proc != RUN_OPEN) {
		rpc_close(conn, ST_INVALID, "call before the opening call");
		return;
	}
	switch (call->proc) {
	case RUN_OPEN:
		handle_open(s, call->args);
		break;
	case RUN_START:
		handle_start(s, call->args);
		break;
	case RUN_CANCEL:
		handle_cancel(s, call->args);
		break;
	case RUN_HEARTBEAT:
		handle_heartbeat(s, call->args);
		break;
	case RUN_CANCELLED:
		handle_cancelled(s, call->args);
		break;
	case RUN_INTERFERENCE:
		handle_interference(s, call->args);
		break;
	default:
		rpc_close(conn, ST_INVALID, "unknown procedure");
	}
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *socket, GObject *source,
    gpointer data)
{
	struct ses *ses = data;
	struct session *s = g_new0(struct session, 1);
	struct rpc_options opts = {
	    .socket = socket,
	    .prog = RUN_PROG,
	    .max_record_bytes = MAX_RECORD_BYTES,
	    .max_queue_bytes = MAX_OUTPUT_BYTES,
	    .silence_ms = ses->opts.silence_ms,
	    .first_call_timeout_ms = ses->opts.silence_ms,
	    .accepted = true,
	    .on_call = on_call,
	    .on_closed = on_closed,
	    .ctx = s,
	};

	(void)service;
	(void)source;
	s->ses = ses;
	s->id = ++ses->next_id;
	s->last_input_ms = s->last_sent_ms = clk_now_ms();
	s->round_trip_ms = -1;
	s->conn = rpc_new(&opts);
	g_hash_table_insert(ses->sessions, &s->id, s);
	return TRUE;
}

static bool
listen_on(struct ses *ses, struct status *st)
{
	GSocketAddress *address = addr_parse(ses->opts.listen, st);
	GError *error = NULL;
	bool ok;

	if (address == NULL)
		return false;
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(ses->service), ENTRY_BACKLOG);
	ok = g_socket_listener_add_address(G_SOCKET_LISTENER(ses->service),
	    address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
	    &error);
	g_object_unref(address);
	if (!ok) {
		st_set(st, ST_UNAVAILABLE, "listen on %s: %s", ses->opts.listen,
		    error->message);
		g_error_free(error);
	}
	g_signal_connect(
	    ses->service, "incoming", G_CALLBACK(on_incoming), ses);
	return ok;
}

/* Binds the address; connections are accepted from the main loop. */
struct ses *
ses_new(const struct ses_options *opts, struct status *st)
{
	struct ses *ses = g_new0(struct ses, 1);

	ses->opts = *opts;
	ses->service = g_socket_service_new();
	ses->sessions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, session_free);
	if (!listen_on(ses, st)) {
		ses_free(ses);
		return NULL;
	}
	return ses;
}

/* Closes every session without running its callbacks. */
void
ses_free(struct ses *ses)
{
	if (ses == NULL)
		return;
	g_socket_service_stop(ses->service);
	g_socket_listener_close(G_SOCKET_LISTENER(ses->service));
	g_object_unref(ses->service);
	g_hash_table_unref(ses->sessions);
	g_free(ses);
}

int64_t
ses_last_sent_ms(const struct ses *ses, uint64_t id)
{
	const struct session *s = find_session(ses, id);

	return s == NULL ? 0 : s->last_sent_ms;
}

bool
ses_is_near(const struct ses *ses, uint64_t id)
{
	const struct session *s = find_session(ses, id);

	return s != NULL && s->round_trip_ms >= 0 &&
	       s->round_trip_ms <= MAX_ROUND_TRIP_MS;
}

static bool
is_live(const struct session *s)
{
	return clk_now_ms() - s->last_sent_ms <= s->ses->opts.silence_ms;
}

void
ses_tick(struct ses *ses)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ses->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *s = value;

		if (!is_live(s))
			rpc_close(s->conn, ST_TIMEOUT, "entry is silent");
	}
}

bool
ses_send(
    struct ses *ses, uint64_t id, uint32_t proc, xdrproc_t encode, void *args)
{
	struct session *s = find_session(ses, id);

	return s != NULL && rpc_send(s->conn, proc, encode, args);
}

uint64_t *
ses_ids(const struct ses *ses, uint32_t *n)
{
	uint64_t *ids = g_new0(uint64_t, g_hash_table_size(ses->sessions) + 1);
	GHashTableIter iter;
	gpointer value;

	*n = 0;
	g_hash_table_iter_init(&iter, ses->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *s = value;

		if (s->identified)
			ids[(*n)++] = s->id;
	}
	return ids;
}
