#ifndef SP_PEERING_H
#define SP_PEERING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/peerlink.h"
#include "process/counters.h"
#include "request/api.h"
#include "version/change.h"
#include "version/members.h"

/*
 * Communication with the other entries: exchanges the state of the
 * configuration, forwards requests about a job to the entry that owns it, and
 * connects to the registered entries.
 */
struct peering;

struct peering_options {
	const wire_member *self; /* borrowed, as everything below */
	const char *cluster_key;
	char *const *seeds; /* NULL-terminated "ip:port" list, or NULL */
	struct ctr_registry *counters;
	struct fresh *fresh;
	struct quo *quorum;
	struct chg *change;
	struct mem *members;
	struct api *api;
	int64_t silence_ms; /* closes connections without input for so long */
	int64_t status_ms;  /* interval of configuration state exchanges */
};

struct peering *peering_new(const struct peering_options *opts);
/* Closes every connection; forwarded requests get no answer. */
void peering_free(struct peering *pr);
/* The set that takes accepted peer connections; owned by pr. */
struct pl_set *peering_links(struct peering *pr);
/* The registered entries in wire format, owned by pr, and their digest. */
const wire_member *peering_members(
    const struct peering *pr, size_t *n, uint64_t *digest);
/* Call it when the list of registered entries has changed. */
void peering_update_members(struct peering *pr);
/* Tells whether the entry that owns a job can be reached. */
enum api_owner peering_owner_state(struct peering *pr, uint64_t incarnation);
/* Forwards a request to the owner of a job; if true, fn runs once. */
bool peering_forward(struct peering *pr, uint64_t incarnation,
    const struct api_request *request, api_answer_fn fn, void *fn_ctx);

#endif
