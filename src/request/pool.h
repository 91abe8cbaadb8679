#ifndef SP_POOL_H
#define SP_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "request/eject.h"
#include "request/place.h"
#include "version/fresh.h"

/*
 * The agents that an entry may place on: which are usable now, from the out
 * marks, their connections, ejection, and pauses after returned work.  An
 * agent is an opaque pointer.
 */
struct pool;

struct pool_options {
	struct place *place; /* borrowed, as everything below */
	struct eject *eject;
	const struct fresh *fresh;
};

struct pool *pool_new(const struct pool_options *opts);
void pool_free(struct pool *pool);

/* Adds an agent, or replaces what is known of it. */
void pool_set_connected(struct pool *pool, void *agent,
    const struct place_worker *worker, int64_t now_ms);
/* A disconnected agent gets no work. */
void pool_set_disconnected(struct pool *pool, void *agent);
void pool_remove(struct pool *pool, void *agent);
void pool_set_load(struct pool *pool, void *agent,
    const struct place_load *load, uint32_t unseen, int64_t now_ms);
/* Checks again which agents are usable. */
void pool_refresh(struct pool *pool, int64_t now_ms);

/*
 * Chooses an agent and counts the task there; NULL: none can take it now.
 * place_id goes with the agent into the calls below.
 */
void *pool_choose(struct pool *pool, const struct place_task *task,
    uint32_t *place_id, int64_t now_ms);
/* The task was not sent after all; the agent gets a pause. */
void pool_unsent(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, int64_t now_ms);
void pool_outcome(struct pool *pool, void *agent, uint32_t place_id,
    const struct place_task *task, const wire_result *result, int64_t now_ms);

#endif
