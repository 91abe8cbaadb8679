#include <glib.h>

#include "connection/intake.h"

/*
 * A connection without input for this time is taken for one whose other end
 * sends no more.  Above the pauses within a request that is sent at once.
 */
#define STALL_MS 100
/* Unsent bytes that are never too many for one connection. */
#define SMALL_ANSWER_BYTES 4096
/* Memory of a header once it is parsed, beside its text. */
#define HEADER_BYTES 96
/* Copies of the bytes of a whole request: as received and as examined. */
#define WHOLE_COPIES 2
/*
 * A whole request of more than this share of the bound is large.  Large ones
 * leave a quarter of it to others, so that they can't keep small ones out.
 */
#define LARGE_SHARE 256

enum phase {
	IDLE, /* no byte of a request */
	HEAD,
	BODY,
	SERVED /* the request is whole and not answered yet */
};

struct itk_conn {
	struct itk *itk;
	void *owner;
	guint index; /* in conns */
	enum phase phase;
	bool is_link;
	bool proven;   /* it has sent a whole request */
	bool closing;  /* close() was called */
	bool discards; /* the bytes of the request are not kept */
	uint64_t bytes;
	uint64_t head_bytes; /* of them, up to the end of the head */
	uint32_t n_headers;
	uint64_t held;	   /* counted in itk->held */
	uint64_t whole;	   /* counted in itk->whole */
	uint64_t unsent;   /* counted in itk->unsent, at most */
	bool has_queue;	   /* unsent is what its owner holds, not the kernel */
	uint64_t leaving;  /* counted in itk->leaving */
	uint64_t order;	   /* of the beginnings of requests */
	int64_t since_ms;  /* begin of the phase */
	int64_t input_ms;  /* last input */
	bool is_sending;   /* a part of the answer is written */
	int64_t output_ms; /* last output */
};

struct itk {
	struct itk_options opts;
	GPtrArray *conns;
	uint64_t held;	  /* memory of all incomplete requests */
	uint64_t whole;	  /* memory of all whole requests */
	uint64_t leaving; /* memory of those that are closing */
	uint64_t unsent;  /* of all connections, at most */
	uint32_t n_large; /* whole requests that are large */
	uint32_t n_open;  /* without those that are closing */
	uint32_t n_holds; /* connections with held bytes */
	uint64_t last_order;
};

struct itk *
itk_new(const struct itk_options *opts)
{
	struct itk *itk = g_new0(struct itk, 1);

	itk->opts = *opts;
	itk->conns = g_ptr_array_new();
	return itk;
}

void
itk_free(struct itk *itk)
{
	g_ptr_array_unref(itk->conns);
	g_free(itk);
}

void
itk_set_times(struct itk *itk, const struct itk_times *times)
{
	itk->opts.times = *times;
}

static void
hold(struct itk_conn *conn, uint64_t bytes)
{
	struct itk *itk = conn->itk;

	itk->n_holds += (bytes > 0) - (conn->held > 0);
	itk->held += bytes - conn->held;
	conn->held = bytes;
}

static bool
is_large(const struct itk *itk, uint64_t bytes)
{
	return bytes > itk->opts.max_whole_bytes / LARGE_SHARE;
}

static void
set_whole(struct itk_conn *conn, uint64_t bytes)
{
	struct itk *itk = conn->itk;

	itk->n_large += is_large(itk, bytes) - is_large(itk, conn->whole);
	itk->whole += bytes - conn->whole;
	conn->whole = bytes;
}

static void
set_unsent(struct itk_conn *conn, uint64_t bytes)
{
	conn->itk->unsent += bytes - conn->unsent;
	conn->unsent = bytes;
}

/* One large request is always served, so that a lone one is never too large. */
static bool
has_room(const struct itk *itk, uint64_t bytes)
{
	uint64_t max_bytes = itk->opts.max_whole_bytes;

	if (is_large(itk, bytes))
		return itk->n_large == 0 ||
		       itk->whole + bytes <= max_bytes - max_bytes / 4;
	return itk->whole + bytes <= max_bytes;
}

static void
set_leaving(struct itk_conn *conn, uint64_t bytes)
{
	conn->itk->leaving += bytes - conn->leaving;
	conn->leaving = bytes;
}

void
itk_leave(struct itk_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	set_leaving(conn, conn->held + conn->whole + conn->unsent);
	hold(conn, 0);
	set_whole(conn, 0);
	set_unsent(conn, 0);
	conn->itk->n_open--;
}

static bool
close_conn(struct itk_conn *conn, enum itk_reason why)
{
	struct itk *itk = conn->itk;

	if (!itk->opts.close(conn->owner, why, itk->opts.ctx) &&
	    why == ITK_IDLE_TIME)
		return false;
	itk_leave(conn);
	return true;
}

static bool
is_small(const struct itk_conn *conn)
{
	return 2 * conn->held * conn->itk->n_holds < conn->itk->held;
}

static bool
is_stalled(const struct itk_conn *conn, int64_t now_ms)
{
	return now_ms - MAX(conn->input_ms, conn->output_ms) >= STALL_MS;
}

/*
 * Returns a larger number for a connection that is closed earlier to free bytes,
 * 0 for one that is not closed.  Those that hold less than half of the mean are
 * spared, so that a small request is never closed for the large ones of others.
 * With the mean itself, one large request raised it above all of a flood of equal
 * ones and was closed for them.
 */
static int
rank_by_bytes(const struct itk_conn *conn, int64_t now_ms)
{
	if (conn->closing || conn->held == 0)
		return 0;
	if (conn->is_link)
		return is_small(conn) ? 1 : 2;
	if (is_small(conn))
		return 3;
	return is_stalled(conn, now_ms) ? 5 : 4;
}

/* Of the same rank, the request that began last goes first. */
static struct itk_conn *
choose_by_bytes(const struct itk *itk, int64_t now_ms)
{
	struct itk_conn *best = NULL;
	int best_rank = 0;
	guint i;

	for (i = 0; i < itk->conns->len; i++) {
		struct itk_conn *conn = itk->conns->pdata[i];
		int rank = rank_by_bytes(conn, now_ms);

		if (rank > best_rank || (rank == best_rank && rank > 0 &&
					    conn->order > best->order)) {
			best = conn;
			best_rank = rank;
		}
	}
	return best;
}

static void
bound_bytes(struct itk *itk, int64_t now_ms)
{
	struct itk_conn *conn;

	while (itk->held > itk->opts.max_incomplete_bytes &&
	       (conn = choose_by_bytes(itk, now_ms)) != NULL)
		close_conn(conn, ITK_BYTES);
}

/*
 * Whether those that are closing still take as much as all others may.  Until it
 * is freed, a large connection that would grow is closed in their place: in one
 * turn of a thread, each of a crowd could take the bytes of another.
 */
static bool
must_not_grow(const struct itk_conn *conn, uint64_t max_bytes)
{
	return !conn->closing && !conn->is_link &&
	       conn->itk->leaving > max_bytes;
}

/*
 * As rank_by_bytes(), to make room for a connection: first those that have sent
 * nothing, then those with a part of a request or an answer that is not read, then
 * idle ones of callers that have sent whole requests.
 */
static int
rank_by_count(const struct itk_conn *conn, int64_t now_ms)
{
	if (conn->closing || conn->is_link || !is_stalled(conn, now_ms))
		return 0;
	if (conn->phase == SERVED)
		return conn->is_sending ? 2 : 0;
	if (conn->phase != IDLE)
		return 2;
	return conn->proven ? 1 : 3;
}

/* Of the same rank, the one without input for the longest time goes first. */
static struct itk_conn *
choose_by_count(const struct itk *itk, int64_t now_ms)
{
	struct itk_conn *best = NULL;
	int best_rank = 0;
	guint i;

	for (i = 0; i < itk->conns->len; i++) {
		struct itk_conn *conn = itk->conns->pdata[i];
		int rank = rank_by_count(conn, now_ms);

		if (rank > best_rank || (rank == best_rank && rank > 0 &&
					    conn->input_ms < best->input_ms)) {
			best = conn;
			best_rank = rank;
		}
	}
	return best;
}

/* Returns the connection with the most unsent bytes, links last, or NULL. */
static struct itk_conn *
choose_by_unsent(const struct itk *itk)
{
	struct itk_conn *best = NULL;
	guint i;

	for (i = 0; i < itk->conns->len; i++) {
		struct itk_conn *conn = itk->conns->pdata[i];

		if (conn->unsent == 0)
			continue;
		if (best == NULL || conn->is_link < best->is_link ||
		    (conn->is_link == best->is_link &&
			conn->unsent > best->unsent))
			best = conn;
	}
	return best;
}

/* Looks how much of what was written is still there. */
static void
measure_unsent(struct itk *itk)
{
	guint i;

	for (i = 0; i < itk->conns->len; i++) {
		struct itk_conn *conn = itk->conns->pdata[i];

		if (conn->unsent > 0 && !conn->has_queue)
			set_unsent(conn,
			    MIN(conn->unsent,
				itk->opts.unsent(conn->owner, itk->opts.ctx)));
	}
}

static void
bound_unsent(struct itk *itk)
{
	struct itk_conn *conn;

	if (itk->unsent <= itk->opts.max_unsent_bytes)
		return;
	measure_unsent(itk);
	while (itk->unsent > itk->opts.max_unsent_bytes &&
	       (conn = choose_by_unsent(itk)) != NULL)
		close_conn(conn, ITK_UNSENT);
}

struct itk_conn *
itk_open(struct itk *itk, void *owner, int64_t now_ms)
{
	struct itk_conn *conn;

	if (itk->n_open >= itk->opts.max_connections) {
		conn = choose_by_count(itk, now_ms);
		if (conn == NULL)
			return NULL;
		close_conn(conn, ITK_CONNECTIONS);
	}
	conn = g_new0(struct itk_conn, 1);
	conn->itk = itk;
	conn->owner = owner;
	conn->since_ms = conn->input_ms = now_ms;
	conn->index = itk->conns->len;
	g_ptr_array_add(itk->conns, conn);
	itk->n_open++;
	return conn;
}

void
itk_close(struct itk_conn *conn)
{
	struct itk *itk = conn->itk;

	itk_leave(conn);
	set_leaving(conn, 0);
	g_ptr_array_remove_index_fast(itk->conns, conn->index);
	if (conn->index < itk->conns->len)
		((struct itk_conn *)itk->conns->pdata[conn->index])->index =
		    conn->index;
	g_free(conn);
}

static void
begin(struct itk_conn *conn, enum phase phase, int64_t now_ms)
{
	if (conn->phase == IDLE && phase != IDLE)
		conn->order = ++conn->itk->last_order;
	conn->phase = phase;
	conn->since_ms = now_ms;
}

void
itk_received(struct itk_conn *conn, uint64_t bytes, int64_t now_ms)
{
	if (conn->phase == IDLE)
		begin(conn, HEAD, now_ms);
	conn->bytes += bytes;
	conn->input_ms = now_ms;
}

void
itk_set_headers(struct itk_conn *conn, uint32_t n_headers)
{
	conn->n_headers = n_headers;
}

static uint64_t
header_bytes(const struct itk_conn *conn)
{
	return (uint64_t)conn->n_headers * HEADER_BYTES;
}

void
itk_incomplete(struct itk_conn *conn, int64_t now_ms)
{
	if (conn->closing || conn->discards ||
	    (conn->phase != HEAD && conn->phase != BODY))
		return;
	hold(conn, conn->bytes + header_bytes(conn));
	bound_bytes(conn->itk, now_ms);
	if (must_not_grow(conn, conn->itk->opts.max_incomplete_bytes) &&
	    !is_small(conn))
		close_conn(conn, ITK_BYTES);
}

void
itk_head_done(struct itk_conn *conn, int64_t now_ms)
{
	/* A body that came in chunks is handed over with a head of its own. */
	if (conn->phase != BODY)
		conn->head_bytes = conn->bytes;
	begin(conn, BODY, now_ms);
}

void
itk_discard(struct itk_conn *conn)
{
	conn->discards = true;
	hold(conn, 0);
}

bool
itk_request_done(struct itk_conn *conn)
{
	uint64_t bytes = conn->discards ? conn->head_bytes : conn->bytes;
	bool is_new = conn->phase != SERVED;

	conn->phase = SERVED;
	conn->proven = true;
	/* It may have sent a 100 Continue. */
	conn->is_sending = conn->is_sending && !is_new;
	hold(conn, 0);
	if (!is_new || conn->closing)
		return true;
	bytes = WHOLE_COPIES * bytes + header_bytes(conn);
	if (!has_room(conn->itk, bytes))
		return false;
	set_whole(conn, bytes);
	return true;
}

void
itk_body_freed(struct itk_conn *conn)
{
	if (conn->whole > 0)
		set_whole(
		    conn, WHOLE_COPIES * conn->head_bytes + header_bytes(conn));
}

void
itk_set_answer(struct itk_conn *conn, uint64_t bytes)
{
	if (!conn->closing)
		set_whole(conn, conn->whole + bytes);
}

void
itk_sent(struct itk_conn *conn, uint64_t bytes, int64_t now_ms)
{
	conn->is_sending = true;
	conn->output_ms = now_ms;
	if (conn->closing)
		return;
	set_unsent(conn, conn->unsent + bytes);
	bound_unsent(conn->itk);
	if (must_not_grow(conn, conn->itk->opts.max_unsent_bytes) &&
	    conn->unsent > SMALL_ANSWER_BYTES)
		close_conn(conn, ITK_UNSENT);
}

void
itk_set_queue(struct itk_conn *conn, uint64_t bytes)
{
	if (conn->closing)
		return;
	conn->has_queue = true;
	set_unsent(conn, bytes);
	bound_unsent(conn->itk);
}

void
itk_next_request(struct itk_conn *conn, int64_t now_ms)
{
	conn->is_sending = false;
	begin(conn, IDLE, now_ms);
	conn->bytes = 0;
	conn->n_headers = 0;
	conn->discards = false;
	hold(conn, 0);
	set_whole(conn, 0);
}

void
itk_set_incomplete(struct itk_conn *conn, uint64_t bytes, int64_t now_ms)
{
	if (bytes == 0)
		itk_next_request(conn, now_ms);
	else if (conn->phase == IDLE)
		begin(conn, HEAD, now_ms);
	conn->bytes = bytes;
	conn->input_ms = now_ms;
	itk_incomplete(conn, now_ms);
}

void
itk_make_link(struct itk_conn *conn)
{
	conn->is_link = true;
}

/* Returns the time that a connection has exceeded, or ITK_N_REASONS. */
static enum itk_reason
exceeded(const struct itk_conn *conn, int64_t now_ms)
{
	const struct itk_times *times = &conn->itk->opts.times;
	int64_t ms = now_ms - conn->since_ms;

	if (conn->closing || conn->is_link)
		return ITK_N_REASONS;
	if (conn->phase == SERVED)
		return conn->is_sending && times->send_ms > 0 &&
			       now_ms - conn->output_ms > times->send_ms
			   ? ITK_SEND_TIME
			   : ITK_N_REASONS;
	if (conn->phase == IDLE && times->idle_ms > 0 && ms > times->idle_ms)
		return ITK_IDLE_TIME;
	if (conn->phase == HEAD && times->head_ms > 0 && ms > times->head_ms)
		return ITK_HEAD_TIME;
	if (conn->phase == BODY && times->body_ms > 0 && ms > times->body_ms)
		return ITK_BODY_TIME;
	return ITK_N_REASONS;
}

void
itk_tick(struct itk *itk, int64_t now_ms)
{
	guint i;

	for (i = 0; i < itk->conns->len; i++) {
		struct itk_conn *conn = itk->conns->pdata[i];
		enum itk_reason why = exceeded(conn, now_ms);

		if (why != ITK_N_REASONS)
			close_conn(conn, why);
	}
}

bool
itk_is_closing(const struct itk_conn *conn)
{
	return conn->closing;
}

bool
itk_is_idle(const struct itk_conn *conn)
{
	return conn->phase == IDLE;
}

uint32_t
itk_n_headers(const struct itk_conn *conn)
{
	return conn->n_headers;
}

bool
itk_is_in_head(const struct itk_conn *conn)
{
	return conn->phase == HEAD;
}

uint64_t
itk_request_bytes(const struct itk_conn *conn)
{
	return conn->bytes;
}

uint32_t
itk_n_connections(const struct itk *itk)
{
	return itk->n_open;
}

uint64_t
itk_incomplete_bytes(const struct itk *itk)
{
	return itk->held;
}

uint64_t
itk_whole_bytes(const struct itk *itk)
{
	return itk->whole;
}

uint64_t
itk_unsent_bytes(const struct itk *itk)
{
	return itk->unsent;
}
