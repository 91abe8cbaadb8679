#ifndef SP_PASSING_H
#define SP_PASSING_H

#include <libsoup/soup.h>

#include "process/trace.h"
#include "request/api.h"

/*
 * Pass-through of single HTTP requests, /v1/services/SERVICE/PATH, to an
 * endpoint of the service.  Each request becomes a job of one task.
 */

#define PASS_PREFIX "/v1/services/"

struct pass_options {
	struct api *api; /* borrowed, as everything below */
	struct dispatch *dispatch;
	struct trc_ring *traces;
	uint64_t incarnation; /* of this entry */
};

struct pass;

struct pass *pass_new(const struct pass_options *opts);
void pass_free(struct pass *pass);
/* Answers msg at once, or pauses it until the endpoint has answered. */
void pass_handle(struct pass *pass, SoupServerMessage *msg);
/*
 * Returns true for a hop-by-hop header (RFC 9110 section 7.6.1), which must
 * not be forwarded.  connection: value of the header Connection, or NULL.
 */
bool pass_is_hop_by_hop(const char *name, const char *connection);

#endif
