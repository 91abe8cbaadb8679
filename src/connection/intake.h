#ifndef SP_INTAKE_H
#define SP_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which of a process's connections are closed, so that all of them
 * together stay within bounds on connections, on the memory of requests, and on
 * time.  It has no sockets and no clock; see
 * docs/design/client-limits.md.
 */
struct itk;
struct itk_conn;

enum itk_reason {
	ITK_BYTES,	 /* incomplete bytes of all connections */
	ITK_CONNECTIONS, /* number of connections */
	ITK_HEAD_TIME,
	ITK_BODY_TIME,
	ITK_IDLE_TIME,
	ITK_HEAD_BYTES, /* one head is too large */
	ITK_UNSENT,	/* bytes that other ends have not taken */
	ITK_SEND_TIME,
	ITK_N_REASONS
};

/* Longest times of a connection; 0: no limit. */
struct itk_times {
	int64_t head_ms; /* from the first byte of a request to a whole head */
	int64_t body_ms; /* from there to a whole body */
	int64_t idle_ms; /* without a byte of a request */
	int64_t send_ms; /* within an answer without a byte of it */
};

struct itk_options {
	uint32_t max_connections;
	uint64_t max_incomplete_bytes;
	/* Memory of all requests from when they are whole until their end. */
	uint64_t max_whole_bytes;
	/* Written and not taken by the other end, of all connections. */
	uint64_t max_unsent_bytes;
	struct itk_times times;
	/*
	 * Begins to close a connection; itk_leave() and itk_close() follow when it
	 * has ended, not from within.
	 * Returns false if it must stay, which is respected for ITK_IDLE_TIME
	 * only.
	 */
	bool (*close)(void *owner, enum itk_reason why, void *ctx);
	/* Bytes of a connection that were written and not taken yet. */
	uint64_t (*unsent)(void *owner, void *ctx);
	void *ctx;
};

struct itk *itk_new(const struct itk_options *opts);
/* All connections must have been closed. */
void itk_free(struct itk *itk);
void itk_set_times(struct itk *itk, const struct itk_times *times);

/*
 * Adds a connection that was accepted.  When there are too many, another one is
 * closed for it if one may be; otherwise returns NULL.
 */
struct itk_conn *itk_open(struct itk *itk, void *owner, int64_t now_ms);
/*
 * The connection has ended; its memory counts until itk_close(), when all of it is
 * freed.  Other calls do nothing in between.
 */
void itk_leave(struct itk_conn *conn);
void itk_close(struct itk_conn *conn);

/* Bytes were received and not examined yet. */
void itk_received(struct itk_conn *conn, uint64_t bytes, int64_t now_ms);
/* The head of the request has so many headers, as far as it has arrived. */
void itk_set_headers(struct itk_conn *conn, uint32_t n_headers);
/*
 * All bytes of the request so far were examined, and it is not whole.  May close
 * connections, also this one.
 */
void itk_incomplete(struct itk_conn *conn, int64_t now_ms);
void itk_head_done(struct itk_conn *conn, int64_t now_ms);
/* Further bytes of the request are dropped as they come, so that none count. */
void itk_discard(struct itk_conn *conn);
/*
 * The request is whole.  Returns false if it must be refused, since all whole
 * requests together would take too much memory; it counts no longer then.
 */
bool itk_request_done(struct itk_conn *conn);
/* The body of a whole request is freed. */
void itk_body_freed(struct itk_conn *conn);
/* The answer takes so much memory until it is written. */
void itk_set_answer(struct itk_conn *conn, uint64_t bytes);
/* Bytes of an answer were written.  May close connections, also this one. */
void itk_sent(struct itk_conn *conn, uint64_t bytes, int64_t now_ms);
/*
 * For a link between processes: sets the bytes of messages that are not written
 * yet.  May close connections, also this one.
 */
void itk_set_queue(struct itk_conn *conn, uint64_t bytes);
/* The connection waits for its next request. */
void itk_next_request(struct itk_conn *conn, int64_t now_ms);
/*
 * For a link between processes, which carries messages: sets the bytes that do
 * not make a whole one.  May close connections, also this one.
 */
void itk_set_incomplete(struct itk_conn *conn, uint64_t bytes, int64_t now_ms);
/*
 * The other end has shown that it is a process of this system: the connection is
 * closed only when no others are left, and its owner limits the times.
 */
void itk_make_link(struct itk_conn *conn);

/* Closes the connections that are over a time. */
void itk_tick(struct itk *itk, int64_t now_ms);

/* Whether close() was called for the connection. */
bool itk_is_closing(const struct itk_conn *conn);
/* Whether it waits for a request, of which it has no byte. */
bool itk_is_idle(const struct itk_conn *conn);
/* Headers of its request so far. */
uint32_t itk_n_headers(const struct itk_conn *conn);
/* Whether the head of its request is not whole yet. */
bool itk_is_in_head(const struct itk_conn *conn);
/* Bytes of the request so far. */
uint64_t itk_request_bytes(const struct itk_conn *conn);
uint32_t itk_n_connections(const struct itk *itk);
uint64_t itk_incomplete_bytes(const struct itk *itk);
uint64_t itk_whole_bytes(const struct itk *itk);
/* At most: bytes count until a look at the connection shows that they are taken. */
uint64_t itk_unsent_bytes(const struct itk *itk);

#endif
