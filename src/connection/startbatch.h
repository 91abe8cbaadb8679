#ifndef SP_STARTBATCH_H
#define SP_STARTBATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"

/*
 * The starts of a link that are to be sent in one message, and how many more the
 * agent takes.  Load condition: jobs of so many tasks, or with such specs, that
 * they exceed a message or what an agent may hold.  Holds no sockets.
 */
struct sbt;

enum sbt_verdict {
	SBT_ADDED,
	SBT_BATCH_FULL, /* may be added when the batch was sent */
	SBT_REFUSED /* the agent takes no more now, or it can't be encoded */
};

struct sbt *sbt_new(void);
void sbt_free(struct sbt *sbt);

/* A new connection, on which nothing was sent and nothing is allowed yet. */
void sbt_reset(struct sbt *sbt);
/* How many starts may have been sent over the connection in all. */
void sbt_set_limit(struct sbt *sbt, uint64_t limit);
/* Strings are copied, the spec is shared. */
enum sbt_verdict sbt_add(struct sbt *sbt, const run_start *start, GBytes *spec);
uint32_t sbt_count(const struct sbt *sbt);
/* Fills a message, valid until the batch changes; free *specs with g_free(). */
void sbt_to_wire(const struct sbt *sbt, run_start_args *args, run_spec **specs);
/* The batch was sent, or is dropped. */
void sbt_clear(struct sbt *sbt);

#endif
