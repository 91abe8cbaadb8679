#ifndef SP_FRAMING_H
#define SP_FRAMING_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/connlimit.h"

/*
 * How the body of a request is delimited (RFC 9112 section 6).  libsoup 3.2 takes
 * a chunk size that is no number for the end of the body, and what follows for
 * the next request; it waits without end for the body of a negative length.
 * Requests with a body in chunks are read here and handed back to the server
 * with a Content-Length; malformed ones are answered with status and reason.
 */

/*
 * Checks a request.  To be called from "got-headers".  Returns false if libsoup
 * can read the body; otherwise the message is paused and gets no handler.
 */
bool frm_take(SoupServer *server, SoupServerMessage *msg, uint64_t max_bytes);
/* The socket of a request, also of one that was handed back; borrowed, or NULL. */
GSocket *frm_socket(SoupServerMessage *msg);
/* The limits that its connection counts against; borrowed, or NULL. */
struct cnl_conn *frm_limit(SoupServerMessage *msg);
/*
 * The remote address of a connection that is passed to the server as a stream,
 * by which the functions above find socket and limit; 0.0.0.0 if it is unknown.
 */
GSocketAddress *frm_remote_address(GSocket *socket, struct cnl_conn *limit);

#endif
