#ifndef SP_BATCH_H
#define SP_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "request/job.h"

/* Starts for one agent that are sent in one message. */
struct batch {
	void *agent;
	GArray *starts; /* wire_start, which points into the jobs */
	GPtrArray *ids; /* task ids of the starts */
	size_t bytes;
};

/* Returns the agent's batch; adds an empty one when there is none. */
struct batch *bat_get(GPtrArray *batches, void *agent);
void bat_free(gpointer batch);
/* Whether the batch must be sent before the start of this task is added. */
bool bat_is_full(
    const struct batch *batch, const struct job *job, uint32_t index);
/*
 * Adds the start of a task.  The job must outlive the batch or its next
 * bat_clear().
 */
void bat_add(struct batch *batch, const struct job *job, uint32_t index,
    uint64_t seq, int64_t now_ms);
void bat_clear(struct batch *batch);

#endif
