#ifndef SP_BATCH_H
#define SP_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "request/job.h"

/* Starts for one agent, collected into one message. */
struct batch {
	void *agent;
	GArray *starts; /* wire_start, whose data belong to the jobs */
	GPtrArray *ids; /* task ids of the starts */
	size_t bytes;
};

/* The batch of an agent among several; added when it is missing. */
struct batch *bat_get(GPtrArray *batches, void *agent);
void bat_free(gpointer batch);
/* Whether the batch has to be sent before this task is added. */
bool bat_is_full(
    const struct batch *batch, const struct job *job, uint32_t index);
/* The job outlives the batch or its next bat_clear(). */
void bat_add(struct batch *batch, const struct job *job, uint32_t index,
    uint64_t seq, int64_t now_ms);
void bat_clear(struct batch *batch);

#endif
