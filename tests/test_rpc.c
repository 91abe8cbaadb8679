#include <arpa/inet.h>
#include <malloc.h>
#include <string.h>

#include "connection/rpc.h"
#include "harness.h"
#include "runner.h"

#define PROG	       0x20005350
#define PROC	       7
#define SEED	       20260411
#define MARK_LEN       4
#define CALL_MAX_BYTES 64 /* maximum size of a call record with one argument */

/* One side of a connection, and the counts and values of its callbacks. */
struct side {
	struct rpc_options opts;
	struct rpc_conn *conn;
	bool answers;  /* replies to each call with its argument */
	bool detaches; /* calls rpc_detach() at a reply */
	int calls, closed, replies;
	uint32_t arg, last_xid, result;
	enum st_code why, reply_code;
};

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct side *side = ctx;

	ck_assert_int_eq(side->closed, 0);
	side->calls++;
	side->last_xid = call->xid;
	if (!xdr_uint32_t(call->args, &side->arg))
		rpc_reply_error(conn, call->xid, GARBAGE_ARGS);
	else if (side->answers)
		rpc_reply(conn, call->xid, (xdrproc_t)xdr_uint32_t, &side->arg);
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct side *side = ctx;

	(void)conn;
	side->closed++;
	side->why = why->code;
}

static void
on_reply(struct rpc_conn *conn, const struct status *st, XDR *result, void *ctx)
{
	struct side *side = ctx;

	ck_assert_int_eq(side->closed, 0);
	ck_assert((st->code == ST_OK) == (result != NULL));
	side->replies++;
	side->reply_code = st->code;
	if (result != NULL)
		ck_assert(xdr_uint32_t(result, &side->result));
	if (side->detaches)
		rpc_detach(conn);
}

static GSocketListener *
listen_any(GSocketAddress **address)
{
	GSocketListener *listener = g_socket_listener_new();
	GSocketAddress *any =
	    g_inet_socket_address_new_from_string("127.0.0.1", 0);

	ck_assert(g_socket_listener_add_address(listener, any,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, address, NULL));
	g_object_unref(any);
	return listener;
}

static void
side_open(struct side *side, GSocketConnection *socket)
{
	side->opts.socket = socket;
	side->opts.prog = PROG;
	side->opts.on_call = on_call;
	side->opts.on_closed = on_closed;
	side->opts.ctx = side;
	side->conn = rpc_new(&side->opts);
	g_object_unref(socket);
}

/* Connects side to a raw socket, which the test itself reads and writes. */
static GSocket *
open_raw(struct side *side)
{
	GSocketAddress *address;
	GSocketListener *listener = listen_any(&address);
	GSocket *raw = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);

	ck_assert(g_socket_connect(raw, address, NULL, NULL));
	side_open(side, g_socket_listener_accept(listener, NULL, NULL, NULL));
	g_object_unref(listener);
	g_object_unref(address);
	return raw;
}

static void
open_pair(struct side *a, struct side *b)
{
	GSocket *raw = open_raw(a);

	side_open(b, g_socket_connection_factory_create_connection(raw));
	g_object_unref(raw);
}

static void
side_close(struct side *side)
{
	rpc_detach(side->conn);
	rpc_unref(side->conn);
}

static void
put_u32(uint8_t *at, uint32_t value)
{
	value = htonl(value);
	memcpy(at, &value, sizeof(value));
}

/* Encodes a record mark and a call; returns the length without the mark. */
static size_t
call_record(uint8_t *out, uint32_t xid, uint32_t rpcvers, uint32_t prog,
    uint32_t vers, uint32_t cred_len, uint32_t arg)
{
	const uint32_t words[] = {
	    xid, 0, rpcvers, prog, vers, PROC, 0, cred_len, 0, 0, arg};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(words); i++)
		put_u32(out + MARK_LEN + 4 * i, words[i]);
	put_u32(out, 0x80000000U | sizeof(words));
	return sizeof(words);
}

static void
raw_send(GSocket *raw, const void *data, size_t len)
{
	if (len > 0)
		ck_assert_int_eq(
		    g_socket_send(raw, data, len, NULL, NULL), len);
}

static void
run_pending(void)
{
	while (g_main_context_iteration(NULL, FALSE))
		continue;
}

/* A record must be decoded whatever way TCP or fragments split it. */
START_TEST(records_split_at_every_offset)
{
	struct side side = {0};
	GSocket *raw = open_raw(&side);
	uint8_t rec[CALL_MAX_BYTES], marks[2][MARK_LEN];
	size_t len, at;
	uint32_t n = 0;

	len = call_record(rec, 1, 2, PROG, 1, 0, n);
	for (at = 0; at <= len + MARK_LEN; at++) {
		call_record(rec, at, 2, PROG, 1, 0, ++n);
		raw_send(raw, rec, at);
		run_pending();
		raw_send(raw, rec + at, len + MARK_LEN - at);
		ck_assert(hn_wait_until(side.calls == (int)n, HN_LIMIT_MS));
		ck_assert_uint_eq(side.arg, n);
	}
	for (at = 1; at < len; at++) {
		call_record(rec, at, 2, PROG, 1, 0, ++n);
		put_u32(marks[0], at);
		put_u32(marks[1], 0x80000000U | (len - at));
		raw_send(raw, marks[0], MARK_LEN);
		raw_send(raw, rec + MARK_LEN, at);
		raw_send(raw, marks[1], MARK_LEN);
		raw_send(raw, rec + MARK_LEN + at, len - at);
		ck_assert(hn_wait_until(side.calls == (int)n, HN_LIMIT_MS));
		ck_assert_uint_eq(side.arg, n);
	}
	call_record(rec, 1, 2, PROG, 1, 0, ++n);
	for (at = 0; at < len; at++) {
		put_u32(marks[0], (at == len - 1 ? 0x80000000U : 0) | 1);
		raw_send(raw, marks[0], MARK_LEN);
		raw_send(raw, rec + MARK_LEN + at, 1);
	}
	ck_assert(hn_wait_until(side.calls == (int)n, HN_LIMIT_MS));
	ck_assert_int_eq(side.closed, 0);
	side_close(&side);
	g_object_unref(raw);
}
END_TEST

static const struct {
	const char *name;
	uint32_t mark; /* record mark, 0: the right one */
	uint32_t rpcvers, prog, vers, cred_len;
	size_t send; /* number of bytes sent, 0: all */
	bool ends;   /* the peer closes after sending */
	enum st_code why;
} bad_records[] = {
    {"truncated mark", 0, 2, PROG, 1, 0, 2, true, ST_UNAVAILABLE},
    {"truncated record", 0, 2, PROG, 1, 0, 30, true, ST_UNAVAILABLE},
    {"oversized", 0x80000000U | 5000001, 2, PROG, 1, 0, 0, false, ST_INVALID},
    {"oversized in fragments", 0x7fffffff, 2, PROG, 1, 0, 0, false, ST_INVALID},
    {"empty last", 0x80000000U, 2, PROG, 1, 0, 0, false, ST_INVALID},
    {"short", 0x80000004U, 2, PROG, 1, 0, 8, false, ST_INVALID},
    {"header cut", 0x80000018U, 2, PROG, 1, 0, 0, false, ST_INVALID},
    {"program", 0, 2, PROG + 1, 1, 0, 0, false, ST_INVALID},
    {"version", 0, 2, PROG, 2, 0, 0, false, ST_INVALID},
    {"RPC version", 0, 3, PROG, 1, 0, 0, false, ST_INVALID},
    {"credentials", 0, 2, PROG, 1, 401, 0, false, ST_INVALID},
};

/* An invalid record closes its connection, exactly once, and no other one. */
START_TEST(bad_records_close)
{
	struct side other = {0}, peer = {.answers = true}, side;
	uint8_t rec[CALL_MAX_BYTES];
	size_t i, len;
	uint32_t arg;
	GSocket *raw;

	open_pair(&other, &peer);
	for (i = 0; i < G_N_ELEMENTS(bad_records); i++) {
		memset(&side, 0, sizeof(side));
		raw = open_raw(&side);
		len = MARK_LEN + call_record(rec, 1, bad_records[i].rpcvers,
				     bad_records[i].prog, bad_records[i].vers,
				     bad_records[i].cred_len, 5);
		if (bad_records[i].mark != 0)
			put_u32(rec, bad_records[i].mark);
		raw_send(raw, rec,
		    bad_records[i].send != 0 ? bad_records[i].send : len);
		if (bad_records[i].ends)
			g_socket_close(raw, NULL);
		ck_assert_msg(hn_wait_until(side.closed > 0, HN_LIMIT_MS),
		    "%s: not closed", bad_records[i].name);
		hn_sleep(10);
		ck_assert_msg(side.closed == 1 && side.calls == 0 &&
				  side.why == bad_records[i].why,
		    "%s: closed %d times, %d calls, %s", bad_records[i].name,
		    side.closed, side.calls, st_name(side.why));
		ck_assert(!rpc_is_open(side.conn));
		arg = 100 + i;
		ck_assert(rpc_request(other.conn, PROC, (xdrproc_t)xdr_uint32_t,
		    &arg, HN_LIMIT_MS, on_reply, &other));
		ck_assert(hn_wait_until(
		    other.replies == (int)i + 1 && other.result == arg,
		    HN_LIMIT_MS));
		rpc_unref(side.conn);
		g_object_unref(raw);
	}
	side_close(&other);
	side_close(&peer);
}
END_TEST

/* Random and damaged input must not crash, nor leave a request pending. */
START_TEST(random_records)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	uint8_t rec[512];
	size_t i, j, len;

	for (i = 0; i < 2000; i++) {
		struct side side = {.answers = i % 3 == 0};
		GSocket *raw = open_raw(&side);
		uint32_t arg = 1;

		rpc_request(side.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg,
		    HN_LIMIT_MS, on_reply, &side);
		if (i % 2 == 0) {
			len = MARK_LEN + call_record(rec, i, 2, PROG, 1, 0, 5);
			for (j = 0; j < 1 + i % 4; j++)
				rec[g_rand_int_range(rand, 0, len)] ^=
				    1 << g_rand_int_range(rand, 0, 8);
		} else {
			len = g_rand_int_range(rand, 8, sizeof(rec));
			for (j = 0; j < len; j++)
				rec[j] = g_rand_int_range(rand, 0, 256);
			put_u32(rec, 0x80000000U | (len - MARK_LEN));
			put_u32(rec + 4, 1); /* the pending request */
			put_u32(rec + 8, i % 4 == 1 ? 1 : 0);
		}
		raw_send(raw, rec, len);
		g_socket_close(raw, NULL);
		ck_assert(hn_wait_until(side.closed > 0, HN_LIMIT_MS));
		ck_assert_int_eq(side.closed, 1);
		ck_assert_int_eq(side.replies, 1);
		rpc_unref(side.conn);
		g_object_unref(raw);
	}
	g_rand_free(rand);
}
END_TEST

/* Replies with an unknown xid or after the timeout reach no other request. */
START_TEST(timeout_and_unknown_xid)
{
	struct side a = {0}, b = {0};
	uint32_t arg = 1, first;

	open_pair(&a, &b);
	ck_assert(rpc_request(
	    a.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg, 50, on_reply, &a));
	ck_assert(hn_wait_until(a.replies == 1, HN_LIMIT_MS));
	ck_assert_int_eq(a.reply_code, ST_TIMEOUT);
	first = b.last_xid;
	arg = 2;
	ck_assert(rpc_request(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg,
	    HN_LIMIT_MS, on_reply, &a));
	ck_assert(hn_wait_until(b.calls == 2, HN_LIMIT_MS));
	arg = 111;
	ck_assert(rpc_reply(b.conn, first, (xdrproc_t)xdr_uint32_t, &arg));
	ck_assert(rpc_reply(b.conn, 0x7777, (xdrproc_t)xdr_uint32_t, &arg));
	arg = 222;
	ck_assert(rpc_reply(b.conn, b.last_xid, (xdrproc_t)xdr_uint32_t, &arg));
	ck_assert(rpc_reply(b.conn, b.last_xid, (xdrproc_t)xdr_uint32_t, &arg));
	ck_assert(hn_wait_until(a.replies == 2, HN_LIMIT_MS));
	hn_sleep(50);
	ck_assert_int_eq(a.replies, 2);
	ck_assert_uint_eq(a.result, 222);
	rpc_request(
	    a.conn, PROC, (xdrproc_t)xdr_void, NULL, HN_LIMIT_MS, on_reply, &a);
	ck_assert(hn_wait_until(a.replies == 3, HN_LIMIT_MS));
	ck_assert_int_eq(a.reply_code, ST_INVALID);
	ck_assert_int_eq(a.closed + b.closed, 0);
	side_close(&a);
	side_close(&b);
}
END_TEST

/* With calls in both directions, replies out of order reach their request. */
START_TEST(replies_out_of_order)
{
	enum { N = 100 };
	struct side a = {.answers = true}, b = {0}, request[N];
	uint32_t i, arg;

	memset(request, 0, sizeof(request));
	open_pair(&a, &b);
	for (i = 0; i < N; i++)
		ck_assert(rpc_request(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &i,
		    HN_LIMIT_MS, on_reply, &request[i]));
	ck_assert(rpc_request(b.conn, PROC, (xdrproc_t)xdr_uint32_t, &i,
	    HN_LIMIT_MS, on_reply, &b));
	ck_assert(hn_wait_until(b.calls == N && b.replies == 1, HN_LIMIT_MS));
	for (i = 0; i < N; i++) {
		arg = 1000 + (N - 1 - i);
		rpc_reply(
		    b.conn, b.last_xid - i, (xdrproc_t)xdr_uint32_t, &arg);
	}
	ck_assert(hn_wait_until(request[0].replies == 1, HN_LIMIT_MS));
	for (i = 0; i < N; i++) {
		ck_assert_int_eq(request[i].replies, 1);
		ck_assert_uint_eq(request[i].result, 1000 + i);
	}
	side_close(&a);
	side_close(&b);
}
END_TEST

/* A close runs each pending callback once, then on_closed, and no other. */
START_TEST(close_with_pending)
{
	enum { N = 50 };
	struct side a = {0}, b = {0};
	uint32_t i;

	open_pair(&a, &b);
	for (i = 0; i < N; i++)
		ck_assert(rpc_request(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &i,
		    HN_LIMIT_MS, on_reply, &a));
	rpc_close(a.conn, ST_LIMIT, "test");
	rpc_close(a.conn, ST_INVALID, "again");
	ck_assert_int_eq(a.replies, 0);
	ck_assert(!rpc_send(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &i));
	ck_assert(!rpc_request(
	    a.conn, PROC, (xdrproc_t)xdr_uint32_t, &i, 1, on_reply, &a));
	ck_assert(hn_wait_until(a.closed == 1, HN_LIMIT_MS));
	ck_assert_int_eq(a.replies, N);
	ck_assert_int_eq(a.reply_code, ST_LIMIT);
	ck_assert_int_eq(a.why, ST_LIMIT);
	ck_assert(hn_wait_until(b.closed == 1, HN_LIMIT_MS));
	ck_assert_int_eq(b.why, ST_UNAVAILABLE);
	hn_sleep(250); /* two timeout checks */
	ck_assert_int_eq(a.replies, N);
	ck_assert_int_eq(a.closed + b.closed, 2);
	rpc_unref(a.conn);
	rpc_unref(b.conn);
}
END_TEST

/*
 * Guards against use after free: no callback may run after rpc_detach(), also
 * when it is called in the callback of one of several failing requests.
 */
START_TEST(detach_drops_callbacks)
{
	enum { N = 50 };
	struct side a = {0}, b = {0}, c = {.detaches = true}, d = {0};
	uint32_t i;

	open_pair(&a, &b);
	open_pair(&c, &d);
	for (i = 0; i < N; i++) {
		rpc_request(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &i,
		    HN_LIMIT_MS, on_reply, &a);
		rpc_request(c.conn, PROC, (xdrproc_t)xdr_uint32_t, &i,
		    HN_LIMIT_MS, on_reply, &c);
	}
	rpc_detach(a.conn);
	rpc_close(c.conn, ST_LIMIT, "test");
	ck_assert(hn_wait_until(b.closed == 1 && d.closed == 1, HN_LIMIT_MS));
	hn_sleep(250);
	ck_assert_int_eq(a.replies + a.closed, 0);
	ck_assert_int_eq(c.replies, 1);
	ck_assert_int_eq(c.closed, 0);
	rpc_unref(a.conn);
	rpc_unref(b.conn);
	rpc_unref(c.conn);
	rpc_unref(d.conn);
}
END_TEST

/* A connection without input is closed, one with input stays open. */
START_TEST(connection_without_input_closes)
{
	struct side silent = {.opts.silence_ms = 300};
	struct side talks = {.opts.silence_ms = 300}, peer = {0};
	GSocket *raw = open_raw(&silent);
	uint32_t arg = 1;

	open_pair(&talks, &peer);
	ck_assert(hn_wait_until(
	    rpc_send(peer.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg) &&
		silent.closed == 1,
	    HN_LIMIT_MS));
	ck_assert_int_eq(silent.why, ST_TIMEOUT);
	ck_assert_int_eq(talks.closed, 0);
	side_close(&talks);
	side_close(&peer);
	rpc_unref(silent.conn);
	g_object_unref(raw);
}
END_TEST

static bool_t
xdr_block(XDR *xdrs, void *block)
{
	return xdr_opaque(xdrs, block, 65536);
}

/* The connection of a peer that does not read is closed; others go on. */
START_TEST(peer_does_not_read)
{
	struct side stuck = {.opts.max_queue_bytes = 1 << 20};
	struct side other = {0}, peer = {.answers = true};
	GSocket *raw = open_raw(&stuck);
	static char block[65536];
	uint32_t sent = 0, arg = 9;

	open_pair(&other, &peer);
	while (rpc_send(stuck.conn, PROC, (xdrproc_t)xdr_block, block))
		ck_assert_uint_lt(++sent, 1000);
	ck_assert(hn_wait_until(stuck.closed == 1, HN_LIMIT_MS));
	ck_assert_int_eq(stuck.why, ST_LIMIT);
	ck_assert(rpc_request(other.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg,
	    HN_LIMIT_MS, on_reply, &other));
	ck_assert(hn_wait_until(other.replies == 1, HN_LIMIT_MS));
	side_close(&other);
	side_close(&peer);
	rpc_unref(stuck.conn);
	g_object_unref(raw);
}
END_TEST

/*
 * The output buffer must stay within its limit when a peer keeps reading more
 * slowly than data is sent.  mallinfo2() returns zeros under the address
 * sanitizer, so the check has no effect there.
 */
START_TEST(slow_reader_is_bounded)
{
	struct side side = {.opts.max_queue_bytes = 4 << 20};
	GSocket *raw = open_raw(&side);
	static char block[65536];
	struct mallinfo2 info;
	uint64_t taken = 0;
	size_t most = 0;
	gssize n;

	/* With small socket buffers, most of 3 MB is queued in the process. */
	g_socket_set_option(raw, SOL_SOCKET, SO_RCVBUF, 65536, NULL);
	g_socket_set_option(g_socket_connection_get_socket(side.opts.socket),
	    SOL_SOCKET, SO_SNDBUF, 65536, NULL);
	while (rpc_bytes_out(side.conn) < 256 << 20) {
		if (rpc_bytes_out(side.conn) - taken < (3 << 20)) {
			ck_assert(rpc_send(
			    side.conn, PROC, (xdrproc_t)xdr_block, block));
		} else {
			n = g_socket_receive(
			    raw, block, sizeof(block), NULL, NULL);
			ck_assert_int_gt(n, 0);
			taken += n;
			run_pending();
		}
		info = mallinfo2();
		most = MAX(most, info.uordblks + info.hblkhd);
	}
	ck_assert_int_eq(side.closed, 0);
	ck_assert_uint_lt(most, 32 << 20);
	side_close(&side);
	g_object_unref(raw);
}
END_TEST

/* Arguments larger than a record are refused; the connection stays usable. */
START_TEST(too_large_to_send)
{
	struct side a = {.opts.max_record_bytes = 1024}, b = {.answers = true};
	static char block[65536];
	uint32_t arg = 3;

	open_pair(&a, &b);
	ck_assert(!rpc_request(a.conn, PROC, (xdrproc_t)xdr_block, block,
	    HN_LIMIT_MS, on_reply, &a));
	ck_assert(rpc_request(a.conn, PROC, (xdrproc_t)xdr_uint32_t, &arg,
	    HN_LIMIT_MS, on_reply, &a));
	ck_assert(hn_wait_until(a.replies == 1, HN_LIMIT_MS));
	ck_assert_uint_eq(a.result, 3);
	side_close(&a);
	side_close(&b);
}
END_TEST

TEST_MAIN("rpc", 120, records_split_at_every_offset, bad_records_close,
    random_records, timeout_and_unknown_xid, replies_out_of_order,
    close_with_pending, detach_drops_callbacks, connection_without_input_closes,
    peer_does_not_read, slow_reader_is_bounded, too_large_to_send)
