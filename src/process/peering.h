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
 * What an entry does with the other entries: exchanges the state of the
 * configuration, forwards requests about jobs, and follows the list of
 * registered entries.
 */
struct peering;

struct peering_options {
	const wire_member *self; /* borrowed, as everything below */
	const char *cluster_key;
	char *const *seeds; /* NULL-terminated addresses, or NULL */
	struct ctr_registry *counters;
	struct fresh *fresh;
	struct quo *quorum;
	struct chg *change;
	struct mem *members;
	struct api *api;
	int64_t silence_ms;
	int64_t status_ms; /* between two exchanges */
};

struct peering *peering_new(const struct peering_options *opts);
/* Closes every connection; answers that are awaited never come. */
void peering_free(struct peering *pr);
/* Owned by pr. */
struct pl_set *peering_links(struct peering *pr);
/* The registered entries as messages carry them; owned by pr. */
const wire_member *peering_members(
    const struct peering *pr, size_t *n, uint64_t *digest);
void peering_update(struct peering *pr);
enum api_owner peering_owner(struct peering *pr, uint64_t incarnation);
bool peering_forward(struct peering *pr, uint64_t incarnation,
    const struct api_request *request, api_answer_fn fn, void *fn_ctx);

#endif
