#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "connection/connlimit.h"
#include "process/clock.h"
#include "process/events.h"

#define TICK_MS	  200
#define LOG_TICKS 5 /* between lines of the log */
/* Of a connection with a large body; the kernel holds up to twice as much. */
#define WIDE_BUFFER_BYTES 65536U

static const char head_too_large[] =
    "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    "Content-Type: application/json\r\nContent-Length: 34\r\n\r\n"
    "{\"reason\":\"the head is too large\"}";

static const char *const reason_names[ITK_N_REASONS] = {"bytes", "connections",
    "head_time", "body_time", "idle_time", "head_bytes", "unsent", "send_time"};

struct cnl_conn {
	gint refs;
	GSocket *socket;
	/* Protected by state.lock. */
	struct itk_conn *itk; /* NULL if there was no room for it */
	bool head_refused;
	bool is_wide; /* counted in state.n_wide */
};

/* Ports are served in several threads: all members are protected by lock. */
static struct {
	GMutex lock;
	struct itk *itk;
	struct itk_times times;	 /* of the settings */
	struct itk_times limits; /* in force */
	uint64_t max_head_bytes; /* 0: no limit */
	uint32_t max_wide;	 /* connections of cnl_widen() */
	uint32_t n_wide;
	int64_t closed[ITK_N_REASONS]; /* totals */
	int64_t accept_failures;
	int64_t refused; /* whole requests */

	/* Used in the thread of cnl_start() only. */
	guint tick_id;
	unsigned n_ticks;
	int64_t logged[ITK_N_REASONS];
	int64_t *counters[ITK_N_REASONS];
	int64_t *accept_failure_counter;
	int64_t *refused_counter;
	int64_t logged_refused;
	int64_t *connections;
	int64_t *incomplete_bytes;
	int64_t *whole_bytes;
	int64_t *unsent_bytes;
} state;

/* The client may have used an idle connection at this moment. */
static bool
has_input(GSocket *socket)
{
	return (g_socket_condition_check(socket, G_IO_IN) & G_IO_IN) != 0;
}

/* Runs with the lock held. */
static bool
shut_down(void *owner, enum itk_reason why, void *ctx)
{
	struct cnl_conn *conn = owner;

	(void)ctx;
	if (why == ITK_IDLE_TIME && has_input(conn->socket))
		return false;
	state.closed[why]++;
	g_socket_shutdown(conn->socket, TRUE, TRUE, NULL);
	return true;
}

/* Runs with the lock held. */
static uint64_t
unsent_bytes(void *owner, void *ctx)
{
	const struct cnl_conn *conn = owner;
	int bytes = 0;

	(void)ctx;
	if (ioctl(g_socket_get_fd(conn->socket), SIOCOUTQ, &bytes) != 0)
		return 0;
	return (uint64_t)MAX(bytes, 0);
}

/*
 * Lines name how many connections were closed since the last one.  The end of
 * idle connections is no fault, and is only counted.
 */
static void
log_closed(void)
{
	int why;

	for (why = 0; why < ITK_N_REASONS; why++) {
		int64_t n = *state.counters[why] - state.logged[why];

		state.logged[why] = *state.counters[why];
		if (n > 0 && why != ITK_IDLE_TIME)
			evt_write("intake",
			    evt_text("reason", reason_names[why]),
			    evt_int("closed", n),
			    evt_int("connections", *state.connections),
			    evt_int(
				"incomplete_bytes", *state.incomplete_bytes));
	}
}

static void
log_refused(void)
{
	int64_t n = *state.refused_counter - state.logged_refused;

	state.logged_refused = *state.refused_counter;
	if (n > 0)
		evt_write("intake", evt_text("reason", "whole_bytes"),
		    evt_int("refused", n),
		    evt_int("connections", *state.connections),
		    evt_int("whole_bytes", *state.whole_bytes));
}

static gboolean
on_tick(gpointer data)
{
	int why;

	(void)data;
	g_mutex_lock(&state.lock);
	itk_tick(state.itk, clk_now_ms());
	for (why = 0; why < ITK_N_REASONS; why++)
		*state.counters[why] = state.closed[why];
	*state.accept_failure_counter = state.accept_failures;
	*state.refused_counter = state.refused;
	*state.unsent_bytes = (int64_t)itk_unsent_bytes(state.itk);
	*state.whole_bytes = (int64_t)itk_whole_bytes(state.itk);
	*state.connections = itk_n_connections(state.itk);
	*state.incomplete_bytes = (int64_t)itk_incomplete_bytes(state.itk);
	g_mutex_unlock(&state.lock);
	if (++state.n_ticks % LOG_TICKS == 0) {
		log_closed();
		log_refused();
	}
	return G_SOURCE_CONTINUE;
}

static void
make_counters(struct ctr_registry *counters)
{
	int why;

	for (why = 0; why < ITK_N_REASONS; why++) {
		g_autofree char *name = g_strdup_printf(
		    "sp_intake_closed_total{reason=\"%s\"}", reason_names[why]);

		state.counters[why] = ctr_counter(counters, name,
		    "Accepted connections closed or refused by a limit.");
		state.logged[why] = *state.counters[why];
	}
	state.accept_failure_counter =
	    ctr_counter(counters, "sp_intake_accept_failures_total",
		"Connections that could not be accepted.");
	state.connections = ctr_gauge(counters, "sp_intake_connections",
	    "Accepted connections that are open.");
	state.refused_counter = ctr_counter(counters, "sp_intake_refused_total",
	    "Whole requests refused since all took too much memory.");
	state.logged_refused = *state.refused_counter;
	state.unsent_bytes = ctr_gauge(counters, "sp_intake_unsent_bytes",
	    "Bytes of answers that were not read when last looked at.");
	state.whole_bytes = ctr_gauge(counters, "sp_intake_whole_bytes",
	    "Memory of requests that are whole and not answered yet.");
	state.incomplete_bytes =
	    ctr_gauge(counters, "sp_intake_incomplete_bytes",
		"Memory of requests that are not whole yet.");
}

void
cnl_start(const struct cnl_options *opts)
{
	struct itk_options itk = {
	    .max_connections = opts->max_connections,
	    .max_incomplete_bytes = opts->max_incomplete_bytes,
	    .max_whole_bytes = opts->max_whole_bytes,
	    .max_unsent_bytes = opts->max_unsent_bytes,
	    .times = opts->times,
	    .close = shut_down,
	    .unsent = unsent_bytes,
	};

	state.times = state.limits = opts->times;
	state.itk = itk_new(&itk);
	state.max_wide =
	    (uint32_t)(opts->max_wide_bytes / (2UL * WIDE_BUFFER_BYTES));
	make_counters(opts->counters);
	state.tick_id = g_timeout_add(TICK_MS, on_tick, NULL);
}

/* Connections of messages that are still referenced keep struct itk. */
void
cnl_stop(void)
{
	g_clear_handle_id(&state.tick_id, g_source_remove);
}

bool
cnl_is_started(void)
{
	return state.tick_id != 0;
}

void
cnl_set_limits(const struct itk_times *times, uint64_t max_head_bytes)
{
	struct itk_times limits = state.times;

	if (state.itk == NULL)
		return;
	if (times->head_ms > 0)
		limits.head_ms = times->head_ms;
	if (times->body_ms > 0)
		limits.body_ms = times->body_ms;
	if (times->idle_ms > 0)
		limits.idle_ms = times->idle_ms;
	g_mutex_lock(&state.lock);
	state.max_head_bytes = max_head_bytes;
	state.limits = limits;
	itk_set_times(state.itk, &limits);
	g_mutex_unlock(&state.lock);
}

int64_t
cnl_body_ms(void)
{
	int64_t body_ms;

	g_mutex_lock(&state.lock);
	body_ms = state.limits.body_ms;
	g_mutex_unlock(&state.lock);
	return body_ms;
}

struct cnl_conn *
cnl_open(GSocket *socket)
{
	struct cnl_conn *conn;

	if (!cnl_is_started())
		return NULL;
	conn = g_new0(struct cnl_conn, 1);
	conn->refs = 1;
	conn->socket = g_object_ref(socket);
	g_mutex_lock(&state.lock);
	conn->itk = itk_open(state.itk, conn, clk_now_ms());
	if (conn->itk == NULL)
		state.closed[ITK_CONNECTIONS]++;
	g_mutex_unlock(&state.lock);
	if (conn->itk != NULL)
		return conn;
	cnl_unref(conn);
	return NULL;
}

struct cnl_conn *
cnl_ref(struct cnl_conn *conn)
{
	g_atomic_int_inc(&conn->refs);
	return conn;
}

void
cnl_unref(struct cnl_conn *conn)
{
	if (!g_atomic_int_dec_and_test(&conn->refs))
		return;
	cnl_close(conn);
	g_mutex_lock(&state.lock);
	if (conn->itk != NULL)
		itk_close(conn->itk);
	g_mutex_unlock(&state.lock);
	g_object_unref(conn->socket);
	g_free(conn);
}

void
cnl_close(struct cnl_conn *conn)
{
	g_mutex_lock(&state.lock);
	if (conn->itk != NULL)
		itk_leave(conn->itk);
	state.n_wide -= conn->is_wide;
	conn->is_wide = false;
	g_mutex_unlock(&state.lock);
}

/* Returns the connection with the lock held, or NULL without it. */
static struct itk_conn *
lock(struct cnl_conn *conn)
{
	if (conn == NULL)
		return NULL;
	g_mutex_lock(&state.lock);
	if (conn->itk == NULL)
		g_mutex_unlock(&state.lock);
	return conn->itk;
}

static uint32_t
count_lines(const char *data, size_t len)
{
	const char *end = data + len;
	uint32_t n = 0;

	while ((data = memchr(data, '\n', (size_t)(end - data))) != NULL) {
		n++;
		data++;
	}
	return n;
}

/*
 * Lines stand for headers until the head is parsed, which takes most of its
 * memory: it must count before.
 */
void
cnl_received(struct cnl_conn *conn, const void *data, size_t len)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_received(itk, len, clk_now_ms());
	if (itk_is_in_head(itk))
		itk_set_headers(
		    itk, itk_n_headers(itk) + count_lines(data, len));
	g_mutex_unlock(&state.lock);
}

/*
 * More is read only when what was read makes no whole head, so that all bytes so
 * far are of the head.
 */
static bool
refuse_large_head(struct cnl_conn *conn)
{
	if (conn->head_refused)
		return true;
	if (state.max_head_bytes == 0 || !itk_is_in_head(conn->itk) ||
	    itk_request_bytes(conn->itk) <= state.max_head_bytes)
		return false;
	conn->head_refused = true;
	state.closed[ITK_HEAD_BYTES]++;
	g_socket_send_with_blocking(conn->socket, head_too_large,
	    strlen(head_too_large), FALSE, NULL, NULL);
	return true;
}

bool
cnl_may_read(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);
	bool may_read;

	if (itk == NULL)
		return conn == NULL;
	itk_incomplete(itk, clk_now_ms());
	may_read = !itk_is_closing(itk) && !refuse_large_head(conn);
	g_mutex_unlock(&state.lock);
	return may_read;
}

bool
cnl_is_idle(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);
	bool is_idle;

	if (itk == NULL)
		return false;
	is_idle = itk_is_idle(itk);
	g_mutex_unlock(&state.lock);
	return is_idle;
}

bool
cnl_is_in_head(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);
	bool is_in_head;

	if (itk == NULL)
		return false;
	is_in_head = itk_is_in_head(itk);
	g_mutex_unlock(&state.lock);
	return is_in_head;
}

void
cnl_head_done(struct cnl_conn *conn, uint32_t n_headers)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_set_headers(itk, n_headers);
	itk_head_done(itk, clk_now_ms());
	g_mutex_unlock(&state.lock);
}

bool
cnl_widen(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);
	bool is_wide;

	if (itk == NULL)
		return false;
	if (!conn->is_wide && state.n_wide < state.max_wide) {
		conn->is_wide = true;
		state.n_wide++;
		g_socket_set_option(conn->socket, SOL_SOCKET, SO_RCVBUF,
		    WIDE_BUFFER_BYTES, NULL);
		/* The window stays as small as it was without this. */
		g_socket_set_option(conn->socket, IPPROTO_TCP, TCP_WINDOW_CLAMP,
		    WIDE_BUFFER_BYTES, NULL);
	}
	is_wide = conn->is_wide;
	g_mutex_unlock(&state.lock);
	return is_wide;
}

void
cnl_discard(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_discard(itk);
	g_mutex_unlock(&state.lock);
}

bool
cnl_request_done(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);
	bool has_room;

	if (itk == NULL)
		return true;
	has_room = itk_request_done(itk);
	if (!has_room)
		state.refused++;
	g_mutex_unlock(&state.lock);
	return has_room;
}

void
cnl_body_freed(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_body_freed(itk);
	g_mutex_unlock(&state.lock);
}

void
cnl_set_answer(struct cnl_conn *conn, uint64_t bytes)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_set_answer(itk, bytes);
	g_mutex_unlock(&state.lock);
}

void
cnl_sent(struct cnl_conn *conn, uint64_t bytes)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_sent(itk, bytes, clk_now_ms());
	g_mutex_unlock(&state.lock);
}

void
cnl_set_queue(struct cnl_conn *conn, uint64_t bytes)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_set_queue(itk, bytes);
	g_mutex_unlock(&state.lock);
}

void
cnl_next_request(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_next_request(itk, clk_now_ms());
	g_mutex_unlock(&state.lock);
}

bool
cnl_set_incomplete(struct cnl_conn *conn, uint64_t bytes)
{
	struct itk_conn *itk = lock(conn);
	bool is_closing;

	if (itk == NULL)
		return conn == NULL;
	itk_set_incomplete(itk, bytes, clk_now_ms());
	is_closing = itk_is_closing(itk);
	g_mutex_unlock(&state.lock);
	return !is_closing;
}

void
cnl_make_link(struct cnl_conn *conn)
{
	struct itk_conn *itk = lock(conn);

	if (itk == NULL)
		return;
	itk_make_link(itk);
	g_mutex_unlock(&state.lock);
}

void
cnl_count_accept_failure(void)
{
	g_mutex_lock(&state.lock);
	state.accept_failures++;
	g_mutex_unlock(&state.lock);
}
