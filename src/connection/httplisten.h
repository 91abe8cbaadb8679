#ifndef SP_HTTPLISTEN_H
#define SP_HTTPLISTEN_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"

/* How long a request may take to arrive, and a connection stay idle. */
#define HL_RECEIVE_TIMEOUT_MS 60000

/* listen is "ip:port"; the server serves from the thread-default main context. */
bool hl_listen(SoupServer *server, const char *listen, struct status *st);
/* Call before hl_listen(). */
void hl_set_receive_timeout(SoupServer *server, int64_t receive_ms);
/*
 * Stops storing the body of a request; call it from an early handler or from
 * "got-headers".  The connection closes after the answer.
 */
void hl_discard_body(SoupServerMessage *msg);
/* Whether a body was declared that is larger than this, or of any length. */
bool hl_body_exceeds(SoupServerMessage *msg, uint64_t max_bytes);

#endif
