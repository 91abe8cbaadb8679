#ifndef SP_PASSING_H
#define SP_PASSING_H

#include <libsoup/soup.h>

#include "process/trace.h"
#include "request/api.h"

/* Single requests passed through to an endpoint: /v1/services/... */

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
/* Answers msg now or, after pausing it, later. */
void pass_handle(struct pass *pass, SoupServerMessage *msg);
/* Whether a header is about one connection only (RFC 9110 section 7.6.1). */
bool pass_is_hop_by_hop(const char *name, const char *connection);

#endif
