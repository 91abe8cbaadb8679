#ifndef SP_POOL_H
#define SP_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "request/eject.h"
#include "request/place.h"
#include "version/fresh.h"

/*
 * The agents that an entry may send tasks to, and which of them are usable now:
 * connected, not marked out, not ejected, and not paused after returning tasks.
 * An agent is an opaque pointer.
 */
struct pool;

struct pool_options {
	struct place *place; /* borrowed, like the pointers below */
	struct eject *eject;
	const struct fresh *fresh;
};

struct pool *pool_new(const struct pool_options *opts);
void pool_free(struct pool *pool);

/*
 * Adds a connected agent with an endpoint, or updates it.  When its service or
 * size has changed, its measurements are dropped; its name and failure domain
 * never change.
 */
void pool_set_connected(struct pool *pool, void *agent,
    const struct place_worker *worker, int64_t now_ms);
void pool_set_disconnected(struct pool *pool, void *agent);
void pool_remove(struct pool *pool, void *agent);
/* outstanding: dispatches to the agent that the load does not include. */
void pool_set_load(struct pool *pool, void *agent,
    const struct place_load *load, uint32_t outstanding, int64_t now_ms);
/*
 * Updates which agents are usable: excludes those that the configuration marks
 * out and readmits those whose pause or ejection has ended.
 */
void pool_refresh(struct pool *pool, int64_t now_ms);

/*
 * Chooses an agent by the placement policy and records the dispatch; NULL when
 * none can take the task now.  Sets place_id, which the caller passes with the
 * agent to the functions below.
 */
void *pool_choose(struct pool *pool, const struct place_task *task,
    uint32_t *place_id, int64_t now_ms);
/* Undoes pool_choose() for a task that could not be sent; pauses the agent. */
void pool_undo_choice(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, int64_t now_ms);
void pool_record_outcome(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, const wire_result *result, int64_t now_ms);

#endif
