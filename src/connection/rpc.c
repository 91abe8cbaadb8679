#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "connection/connlimit.h"
#include "connection/rpc.h"
#include "connection/sockwatch.h"
#include "process/clock.h"

#define LAST_FRAGMENT		 0x80000000U
#define MARK_BYTES		 4
#define CALL_HEADER_BYTES	 40 /* call with null credentials */
#define REPLY_HEADER_BYTES	 64
#define SOCKET_READ_BYTES	 65536
#define READS_PER_WAKEUP	 16 /* lets other connections of the loop run */
#define TIMEOUT_CHECK_MS	 100
#define DEFAULT_RECORD_MAX_BYTES (4 * 1024 * 1024 + 65536)
#define DEFAULT_QUEUE_MAX_BYTES	 (64 * 1024 * 1024)
/*
 * Limit until the first call, far above the size of a HELLO: peers that are not
 * authenticated yet must not be able to fill the memory.
 */
#define FIRST_RECORD_MAX_BYTES 65536
#define RPC_PROGRAM_VERSION    1

struct pending {
	rpc_reply_fn on_reply;
	void *ctx;
	int64_t deadline_ms;
};

struct rpc_conn {
	int refs;
	struct rpc_options opts;
	GSocketConnection *stream;
	GSocket *socket;
	struct skw *watch;	/* NULL when closed */
	struct cnl_conn *limit; /* NULL: none */
	bool waits_writable;
	bool queue_counted; /* cnl_set_queue() has more than 0 */
	guint closed_id;
	bool open;
	bool detached;
	struct status why;
	GByteArray *in;	    /* received bytes that are not parsed yet */
	GByteArray *record; /* fragments of the record being read */
	GByteArray *out;
	size_t out_pos;
	uint64_t bytes_out;
	uint32_t next_xid;
	int64_t opened_ms;
	int64_t last_input_ms;
	GHashTable *pending; /* xid -> struct pending */
};

/* Totals of all connections; not locked, as there is one main loop. */
static struct {
	int64_t bytes_in, bytes_out, records_in, records_out;
} totals;

static GPtrArray *open_conns;  /* struct rpc_conn, not referenced */
static guint timeout_check_id; /* runs while any connection is open */

static void
unwatch_timeouts(struct rpc_conn *conn)
{
	g_ptr_array_remove_fast(open_conns, conn);
	if (open_conns->len > 0)
		return;
	g_clear_handle_id(&timeout_check_id, g_source_remove);
	g_clear_pointer(&open_conns, g_ptr_array_unref);
}

void
rpc_export(struct ctr_registry *reg)
{
	*ctr_counter(reg, "sp_rpc_bytes_in_total", "RPC bytes received") =
	    totals.bytes_in;
	*ctr_counter(reg, "sp_rpc_bytes_out_total", "RPC bytes queued") =
	    totals.bytes_out;
	*ctr_counter(reg, "sp_rpc_records_in_total", "RPC records received") =
	    totals.records_in;
	*ctr_counter(reg, "sp_rpc_records_out_total", "RPC records queued") =
	    totals.records_out;
}

struct rpc_conn *
rpc_ref(struct rpc_conn *conn)
{
	conn->refs++;
	return conn;
}

static void
close_socket(struct rpc_conn *conn)
{
	unwatch_timeouts(conn);
	g_clear_pointer(&conn->watch, skw_free);
	if (conn->limit != NULL)
		cnl_close(conn->limit);
	g_io_stream_close(G_IO_STREAM(conn->stream), NULL, NULL);
}

/* Dropping the last reference closes the connection without callbacks. */
void
rpc_unref(struct rpc_conn *conn)
{
	if (--conn->refs > 0)
		return;
	if (conn->open)
		close_socket(conn);
	g_clear_handle_id(&conn->closed_id, g_source_remove);
	g_clear_pointer(&conn->limit, cnl_unref);
	g_hash_table_unref(conn->pending);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->record);
	g_byte_array_unref(conn->out);
	g_object_unref(conn->stream);
	g_free(conn);
}

static void
fail_pending(struct rpc_conn *conn, const struct status *why)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	guint i;

	g_hash_table_iter_init(&iter, conn->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_ptr_array_add(all, value);
		g_hash_table_iter_steal(&iter);
	}
	for (i = 0; i < all->len && !conn->detached; i++) {
		struct pending *p = all->pdata[i];

		p->on_reply(conn, why, NULL, p->ctx);
	}
	g_ptr_array_unref(all);
}

static gboolean
deliver_closed(gpointer data)
{
	struct rpc_conn *conn = data;

	conn->closed_id = 0;
	fail_pending(conn, &conn->why);
	if (conn->opts.on_closed != NULL)
		conn->opts.on_closed(conn, &conn->why, conn->opts.ctx);
	rpc_unref(conn);
	return G_SOURCE_REMOVE;
}

void
rpc_close(struct rpc_conn *conn, enum st_code code, const char *why)
{
	if (!conn->open)
		return;
	conn->open = false;
	st_set(&conn->why, code, "%s", why);
	close_socket(conn);
	conn->closed_id = g_idle_add_full(
	    G_PRIORITY_DEFAULT, deliver_closed, rpc_ref(conn), NULL);
}

void
rpc_detach(struct rpc_conn *conn)
{
	rpc_close(conn, ST_UNAVAILABLE, "closed locally");
	conn->detached = true;
	g_hash_table_remove_all(conn->pending);
	conn->opts.on_call = NULL;
	conn->opts.on_closed = NULL;
}

void
rpc_set_owner(struct rpc_conn *conn, rpc_call_fn on_call,
    rpc_closed_fn on_closed, void *ctx)
{
	conn->opts.on_call = on_call;
	conn->opts.on_closed = on_closed;
	conn->opts.ctx = ctx;
}

bool
rpc_is_open(const struct rpc_conn *conn)
{
	return conn->open;
}

int64_t
rpc_idle_ms(const struct rpc_conn *conn)
{
	return clk_now_ms() - conn->last_input_ms;
}

uint64_t
rpc_bytes_out(const struct rpc_conn *conn)
{
	return conn->bytes_out;
}

static void
handle_call(struct rpc_conn *conn, XDR *xdrs, struct rpc_msg *msg)
{
	struct rpc_call call = {
	    .xid = msg->rm_xid,
	    .prog = msg->rm_call.cb_prog,
	    .proc = msg->rm_call.cb_proc,
	    .args = xdrs,
	};

	if (conn->opts.prog == 0)
		conn->opts.prog = call.prog;
	if (call.prog != conn->opts.prog ||
	    msg->rm_call.cb_vers != RPC_PROGRAM_VERSION) {
		rpc_close(conn, ST_INVALID, "call for another program");
		return;
	}
	if (conn->opts.on_call == NULL) {
		rpc_close(conn, ST_INVALID, "unexpected call");
		return;
	}
	conn->opts.first_call_timeout_ms = 0;
	cnl_make_link(conn->limit);
	conn->opts.on_call(conn, &call, conn->opts.ctx);
}

static void
handle_reply(struct rpc_conn *conn, uint32_t xid, char *data, u_int len)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	struct status st = {.code = ST_OK};
	struct pending *p;
	gpointer value;
	XDR xdrs;

	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)(void (*)(void))xdr_void;
	xdrmem_create(&xdrs, data, len, XDR_DECODE);
	if (!xdr_replymsg(&xdrs, &msg)) {
		rpc_close(conn, ST_INVALID, "malformed reply");
		return;
	}
	if (!g_hash_table_steal_extended(
		conn->pending, GUINT_TO_POINTER(xid), NULL, &value))
		return; /* the request has timed out */
	p = value;
	if (msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS)
		st_set(&st, ST_INVALID, "peer rejected the call");
	p->on_reply(conn, &st, st.code == ST_OK ? &xdrs : NULL, p->ctx);
	g_free(p);
}

static void
handle_record(struct rpc_conn *conn, char *data, u_int len)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	uint32_t head[2];
	XDR xdrs;

	totals.records_in++;
	if (len < sizeof(head)) {
		rpc_close(conn, ST_INVALID, "record too short");
		return;
	}
	memcpy(head, data, sizeof(head));
	if (ntohl(head[1]) == REPLY) {
		handle_reply(conn, ntohl(head[0]), data, len);
		return;
	}
	memset(&msg, 0, sizeof(msg));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdrs, data, len, XDR_DECODE);
	if (!xdr_callmsg(&xdrs, &msg)) {
		rpc_close(conn, ST_INVALID, "malformed call");
		return;
	}
	handle_call(conn, &xdrs, &msg);
}

static uint32_t
record_limit(const struct rpc_conn *conn)
{
	return conn->opts.first_call_timeout_ms > 0
		   ? MIN(conn->opts.max_record_bytes, FIRST_RECORD_MAX_BYTES)
		   : conn->opts.max_record_bytes;
}

/* Consumes one fragment from the input; returns false when more is needed. */
static bool
parse_fragment(struct rpc_conn *conn, size_t *pos)
{
	size_t avail = conn->in->len - *pos;
	uint32_t mark, len;
	bool last;

	if (avail < MARK_BYTES)
		return false;
	memcpy(&mark, conn->in->data + *pos, MARK_BYTES);
	mark = ntohl(mark);
	last = (mark & LAST_FRAGMENT) != 0;
	len = mark & ~LAST_FRAGMENT;
	/* A peer could keep the process busy with empty fragments. */
	if (len == 0 ||
	    (uint64_t)conn->record->len + len > record_limit(conn)) {
		rpc_close(conn, ST_INVALID, "record length out of range");
		return false;
	}
	if (avail - MARK_BYTES < len)
		return false;
	*pos += MARK_BYTES;
	if (last && conn->record->len == 0) {
		handle_record(conn, (char *)conn->in->data + *pos, len);
	} else {
		g_byte_array_append(conn->record, conn->in->data + *pos, len);
		if (last) {
			handle_record(conn, (char *)conn->record->data,
			    conn->record->len);
			g_byte_array_set_size(conn->record, 0);
		}
	}
	*pos += len;
	return conn->open;
}

/* A buffer that has held a large record is freed when it is empty. */
static void
shrink_if_empty(GByteArray **buffer, size_t used)
{
	if ((*buffer)->len > 0 || used <= SOCKET_READ_BYTES)
		return;
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
}

static void
parse_input(struct rpc_conn *conn)
{
	size_t pos = 0, used = conn->in->len, record = conn->record->len;

	while (parse_fragment(conn, &pos))
		continue;
	if (pos > 0)
		g_byte_array_remove_range(conn->in, 0, pos);
	shrink_if_empty(&conn->in, used);
	shrink_if_empty(&conn->record, record);
	if (!cnl_set_incomplete(conn->limit, conn->in->len + conn->record->len))
		rpc_close(conn, ST_LIMIT, "too much incomplete input");
}

static void
on_readable(void *data)
{
	/* In connections, it would take this much memory of each. */
	static char input[SOCKET_READ_BYTES];
	struct rpc_conn *conn = rpc_ref(data);
	GError *error = NULL;
	gssize n = 0;
	int i;

	for (i = 0; i < READS_PER_WAKEUP && conn->open; i++) {
		n = g_socket_receive_with_blocking(
		    conn->socket, input, sizeof(input), FALSE, NULL, &error);
		if (n <= 0)
			break;
		g_byte_array_append(conn->in, (guint8 *)input, (guint)n);
		conn->last_input_ms = clk_now_ms();
		totals.bytes_in += n;
		parse_input(conn);
		if (n < SOCKET_READ_BYTES)
			break;
	}
	if (error != NULL) {
		if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			rpc_close(conn, ST_UNAVAILABLE, error->message);
		g_error_free(error);
	} else if (n == 0) {
		rpc_close(conn, ST_UNAVAILABLE, "closed by the peer");
	}
	rpc_unref(conn);
}

static void flush_output(struct rpc_conn *conn);

/* Most messages are written at once, and then there is nothing to count. */
static void
count_queue(struct rpc_conn *conn)
{
	size_t bytes = conn->out->len - conn->out_pos;

	if (conn->limit == NULL || (bytes == 0 && !conn->queue_counted))
		return;
	conn->queue_counted = bytes > 0;
	cnl_set_queue(conn->limit, bytes);
}

static void
wait_writable(struct rpc_conn *conn, bool wait)
{
	conn->waits_writable = wait;
	skw_wait_writable(conn->watch, wait);
}

static void
on_writable(void *data)
{
	struct rpc_conn *conn = rpc_ref(data);

	wait_writable(conn, false);
	flush_output(conn);
	count_queue(conn);
	rpc_unref(conn);
}

static void
flush_output(struct rpc_conn *conn)
{
	GError *error = NULL;
	gssize n;

	if (!conn->open || conn->waits_writable)
		return;
	while (conn->out_pos < conn->out->len) {
		n = g_socket_send_with_blocking(conn->socket,
		    (char *)conn->out->data + conn->out_pos,
		    conn->out->len - conn->out_pos, FALSE, NULL, &error);
		if (n < 0)
			break;
		conn->out_pos += n;
	}
	/* A slow peer may never empty the buffer, so sent bytes are removed. */
	if (conn->out_pos > conn->out->len / 2) {
		g_byte_array_remove_range(conn->out, 0, conn->out_pos);
		conn->out_pos = 0;
	}
	if (error != NULL) {
		if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			wait_writable(conn, true);
		else
			rpc_close(conn, ST_UNAVAILABLE, error->message);
		g_error_free(error);
		return;
	}
}

/* Queues a record for output; its first MARK_BYTES bytes are set here. */
static bool
queue_record(struct rpc_conn *conn, char *record, u_int len)
{
	uint32_t mark = htonl(LAST_FRAGMENT | (len - MARK_BYTES));

	if (len - MARK_BYTES > conn->opts.max_record_bytes)
		return false;
	if (conn->out->len - conn->out_pos + len > conn->opts.max_queue_bytes) {
		rpc_close(conn, ST_LIMIT, "peer does not read its input");
		return false;
	}
	memcpy(record, &mark, MARK_BYTES);
	g_byte_array_append(conn->out, (guint8 *)record, len);
	conn->bytes_out += len;
	totals.bytes_out += len;
	totals.records_out++;
	flush_output(conn);
	count_queue(conn);
	return conn->open;
}

static bool
send_call(struct rpc_conn *conn, uint32_t xid, uint32_t proc, xdrproc_t encode,
    void *args)
{
	struct rpc_msg msg;
	u_int size;
	char *record;
	XDR xdrs;
	bool ok;

	if (!conn->open)
		return false;
	size = MARK_BYTES + CALL_HEADER_BYTES + xdr_sizeof(encode, args);
	record = g_malloc(size);
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = conn->opts.prog;
	msg.rm_call.cb_vers = RPC_PROGRAM_VERSION;
	msg.rm_call.cb_proc = proc;
	xdrmem_create(
	    &xdrs, record + MARK_BYTES, size - MARK_BYTES, XDR_ENCODE);
	ok = xdr_callmsg(&xdrs, &msg) && encode(&xdrs, args) &&
	     queue_record(conn, record, MARK_BYTES + xdr_getpos(&xdrs));
	g_free(record);
	return ok;
}

bool
rpc_send(struct rpc_conn *conn, uint32_t proc, xdrproc_t encode, void *args)
{
	return send_call(conn, conn->next_xid++, proc, encode, args);
}

bool
rpc_request(struct rpc_conn *conn, uint32_t proc, xdrproc_t encode, void *args,
    int64_t timeout_ms, rpc_reply_fn on_reply, void *ctx)
{
	uint32_t xid = conn->next_xid++;
	struct pending *p;

	if (!send_call(conn, xid, proc, encode, args))
		return false;
	p = g_new0(struct pending, 1);
	p->on_reply = on_reply;
	p->ctx = ctx;
	p->deadline_ms = clk_now_ms() + timeout_ms;
	g_hash_table_replace(conn->pending, GUINT_TO_POINTER(xid), p);
	return true;
}

bool
rpc_reply(struct rpc_conn *conn, uint32_t xid, xdrproc_t encode, void *result)
{
	struct rpc_msg msg;
	u_int size;
	char *record;
	XDR xdrs;
	bool ok;

	if (!conn->open)
		return false;
	size = MARK_BYTES + REPLY_HEADER_BYTES + xdr_sizeof(encode, result);
	record = g_malloc(size);
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.proc = encode;
	msg.acpted_rply.ar_results.where = result;
	xdrmem_create(
	    &xdrs, record + MARK_BYTES, size - MARK_BYTES, XDR_ENCODE);
	ok = xdr_replymsg(&xdrs, &msg) &&
	     queue_record(conn, record, MARK_BYTES + xdr_getpos(&xdrs));
	g_free(record);
	return ok;
}

void
rpc_reply_error(struct rpc_conn *conn, uint32_t xid, enum accept_stat stat)
{
	char record[MARK_BYTES + REPLY_HEADER_BYTES];
	struct rpc_msg msg;
	XDR xdrs;

	if (!conn->open)
		return;
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = stat;
	xdrmem_create(
	    &xdrs, record + MARK_BYTES, REPLY_HEADER_BYTES, XDR_ENCODE);
	if (xdr_replymsg(&xdrs, &msg))
		queue_record(conn, record, MARK_BYTES + xdr_getpos(&xdrs));
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
	struct pending *p = value;

	(void)key;
	return p->deadline_ms <= *(int64_t *)data;
}

/* Fails one request that has timed out; returns false when there is none. */
static bool
expire_one(struct rpc_conn *conn, int64_t now_ms)
{
	struct status st;
	struct pending *p;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, conn->pending);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!is_expired(key, value, &now_ms))
			continue;
		p = value;
		g_hash_table_iter_steal(&iter);
		st_set(&st, ST_TIMEOUT, "no reply in time");
		p->on_reply(conn, &st, NULL, p->ctx);
		g_free(p);
		return true;
	}
	return false;
}

static void
check_timeouts(struct rpc_conn *conn, int64_t now_ms)
{
	while (conn->open && expire_one(conn, now_ms))
		continue;
	if (conn->open && conn->opts.silence_ms > 0 &&
	    now_ms - conn->last_input_ms > conn->opts.silence_ms)
		rpc_close(conn, ST_TIMEOUT, "no input from the peer");
	/* A peer could otherwise stay connected by input without any call. */
	if (conn->open && conn->opts.first_call_timeout_ms > 0 &&
	    now_ms - conn->opened_ms > conn->opts.first_call_timeout_ms)
		rpc_close(conn, ST_TIMEOUT, "no call from the peer");
}

/*
 * One timer checks the timeouts of all open connections.  With a timer per
 * connection, an idle entry woke up 10 times per second for each agent.
 */
static gboolean
on_timeout_check(gpointer data)
{
	GPtrArray *conns = g_ptr_array_sized_new(open_conns->len);
	int64_t now_ms = clk_now_ms();
	guint i;

	(void)data;
	for (i = 0; i < open_conns->len; i++)
		g_ptr_array_add(conns, rpc_ref(open_conns->pdata[i]));
	for (i = 0; i < conns->len; i++) {
		check_timeouts(conns->pdata[i], now_ms);
		rpc_unref(conns->pdata[i]);
	}
	g_ptr_array_unref(conns);
	return G_SOURCE_CONTINUE; /* the last close removes the timer */
}

static void
watch_timeouts(struct rpc_conn *conn)
{
	if (open_conns == NULL)
		open_conns = g_ptr_array_new();
	g_ptr_array_add(open_conns, conn);
	if (timeout_check_id == 0)
		timeout_check_id =
		    g_timeout_add(TIMEOUT_CHECK_MS, on_timeout_check, NULL);
}

/* The caller owns the first reference. */
struct rpc_conn *
rpc_new(const struct rpc_options *opts)
{
	struct rpc_conn *conn = g_new0(struct rpc_conn, 1);

	conn->refs = 1;
	conn->opts = *opts;
	if (conn->opts.max_record_bytes == 0)
		conn->opts.max_record_bytes = DEFAULT_RECORD_MAX_BYTES;
	if (conn->opts.max_queue_bytes == 0)
		conn->opts.max_queue_bytes = DEFAULT_QUEUE_MAX_BYTES;
	conn->stream = g_object_ref(opts->socket);
	conn->socket = g_socket_connection_get_socket(conn->stream);
	g_socket_set_blocking(conn->socket, FALSE);
	g_socket_set_option(conn->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	conn->open = true;
	conn->in = g_byte_array_new();
	conn->record = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->next_xid = 1;
	conn->opened_ms = conn->last_input_ms = clk_now_ms();
	conn->pending =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	watch_timeouts(conn);
	conn->watch = skw_new(&(struct skw_options){
	    .fd = g_socket_get_fd(conn->socket),
	    .readable = on_readable,
	    .writable = on_writable,
	    .ctx = conn,
	});
	if (conn->watch == NULL)
		rpc_close(conn, ST_LIMIT, "no room to watch the connection");
	if (opts->accepted && cnl_is_started()) {
		conn->limit = cnl_open(conn->socket);
		if (conn->limit == NULL)
			rpc_close(conn, ST_LIMIT, "too many connections");
	}
	return conn;
}
