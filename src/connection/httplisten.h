#ifndef SP_HTTPLISTEN_H
#define SP_HTTPLISTEN_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"

/* Largest body where none is expected. */
#define HL_SMALL_BODY_BYTES 65536
/* Default time for a request to arrive, including idle time before it. */
#define HL_RECEIVE_TIMEOUT_MS 60000

/*
 * listen is "ip:port"; requests run in the thread-default main context.  After
 * cnl_start() connections count against the limits of the process.
 */
bool hl_listen(SoupServer *server, const char *listen, struct status *st);
/*
 * Adds a handler for a path, NULL: for all, as soup_server_add_handler() does.
 * It gets no request that is over the limits of the process; that is answered 503
 * here, so that it certainly has not run.
 */
void hl_add_handler(
    SoupServer *server, const char *path, SoupServerCallback fn, void *data);
/*
 * Replaces the answer to a request that is over the limits of the process; fn sets
 * a status and a body.
 */
void hl_set_busy_handler(SoupServer *server, SoupServerCallback fn, void *data);
/* The port that hl_listen() has bound. */
uint16_t hl_port(SoupServer *server);
/* Stops listening and closes all connections. */
void hl_disconnect(SoupServer *server);
/*
 * Closes connections whose request does not arrive completely within
 * receive_ms.  To be called before hl_listen().
 */
void hl_set_receive_timeout(SoupServer *server, int64_t receive_ms);
/*
 * Discards the body of a request, both received and future bytes, and closes
 * the connection after the answer.  To be called from an early handler or from
 * "got-headers".
 */
void hl_discard_body(SoupServerMessage *msg);
/* Whether the headers declare a body above max_bytes or of unknown length. */
bool hl_body_exceeds(SoupServerMessage *msg, uint64_t max_bytes);
/*
 * Bounds the body of a request, which may come in chunks, and refuses a request
 * whose body is not delimited properly.  To be called from "got-headers".
 */
void hl_limit_body(
    SoupServer *server, SoupServerMessage *msg, uint64_t max_bytes);
/* Calls hl_limit_body() for each request of a server. */
void hl_limit_bodies(SoupServer *server, uint64_t max_bytes);
/*
 * Takes the body of a request with hl_limit_body(), which the caller unrefs, or
 * returns NULL if it was larger.  When the bytes are freed before the answer,
 * cnl_body_freed() tells so.
 */
GBytes *hl_take_body(SoupServerMessage *msg);
/*
 * Whether the client has closed or reset the connection, or the sending half of
 * it; also while data that it sent before is unread.
 */
bool hl_client_has_gone(GSocket *socket);
/*
 * Whether so much input is unread that the end of the connection may be behind
 * input that the kernel has not taken yet.
 */
bool hl_may_hide_end(GSocket *socket);
/*
 * Returns a source with a GSocketSourceFunc, which is ready when the client has
 * closed or reset the connection.  Without has_input it is also ready when there
 * is input; with it, unread input is ignored.
 */
GSource *hl_hangup_source(GSocket *socket, bool has_input);

#endif
