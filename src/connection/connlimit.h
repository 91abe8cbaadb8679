#ifndef SP_CONNLIMIT_H
#define SP_CONNLIMIT_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/intake.h"
#include "process/counters.h"

/*
 * The bounds of struct itk over all accepted connections of the process, on
 * every port and in every thread.  A connection is closed by a shutdown of its
 * socket; the thread that serves it notices, and frees what it holds.
 */
struct cnl_conn;

struct cnl_options {
	uint32_t max_connections;
	uint64_t max_incomplete_bytes;
	uint64_t max_whole_bytes;
	uint64_t max_unsent_bytes;
	/* Of the larger receive buffers of cnl_widen(). */
	uint64_t max_wide_bytes;
	struct itk_times times;
	struct ctr_registry *counters; /* borrowed until cnl_stop() */
};

/*
 * To be called before the first port is opened, in the thread of the default
 * main context, which then counts and logs.  Without it nothing is bounded.
 */
void cnl_start(const struct cnl_options *opts);
void cnl_stop(void);
bool cnl_is_started(void);
/*
 * Replaces those times that are not 0, and the bound on the head of a request (0:
 * none).
 */
void cnl_set_limits(const struct itk_times *times, uint64_t max_head_bytes);
/* Time for a whole body, 0: no limit. */
int64_t cnl_body_ms(void);

/*
 * Takes a reference to the socket.  Returns NULL when there are too many
 * connections or cnl_start() was not called.
 */
struct cnl_conn *cnl_open(GSocket *socket);
struct cnl_conn *cnl_ref(struct cnl_conn *conn);
void cnl_unref(struct cnl_conn *conn);
/* To be called before the socket is closed.  Other calls do nothing then. */
void cnl_close(struct cnl_conn *conn);

/* As those of struct itk; NULL is allowed. */
void cnl_received(struct cnl_conn *conn, const void *data, size_t len);
/*
 * To be called before more of a request is read.  Returns false when the
 * connection must be closed instead.
 */
bool cnl_may_read(struct cnl_conn *conn);
/* Also after the connection has ended. */
bool cnl_is_idle(struct cnl_conn *conn);
bool cnl_is_in_head(struct cnl_conn *conn);
void cnl_head_done(struct cnl_conn *conn, uint32_t n_headers);
/*
 * Gives a connection a larger receive buffer until it closes.  Returns false if
 * none is left.  Elsewhere input that waits is kept short, since it counts as
 * memory of the process.
 */
bool cnl_widen(struct cnl_conn *conn);
void cnl_discard(struct cnl_conn *conn);
/* Returns false if the request must be refused. */
bool cnl_request_done(struct cnl_conn *conn);
/* May be called in any thread. */
void cnl_body_freed(struct cnl_conn *conn);
void cnl_set_answer(struct cnl_conn *conn, uint64_t bytes);
void cnl_sent(struct cnl_conn *conn, uint64_t bytes);
void cnl_set_queue(struct cnl_conn *conn, uint64_t bytes);
void cnl_next_request(struct cnl_conn *conn);
/* Returns false when the connection must be closed. */
bool cnl_set_incomplete(struct cnl_conn *conn, uint64_t bytes);
void cnl_make_link(struct cnl_conn *conn);

/* A connection could not be accepted, by the system's limits. */
void cnl_count_accept_failure(void);

#endif
