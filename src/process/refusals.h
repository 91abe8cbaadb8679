#ifndef SP_REFUSALS_H
#define SP_REFUSALS_H

#include "process/counters.h"
#include "process/status.h"

/* Messages from one source outside that a decoder refused. */
struct rfl {
	struct ctr_registry *counters; /* borrowed; NULL: not counted */
	const char *source;
};

/*
 * Counts a refused message by its source and reason, and writes a log line that
 * names the field.
 */
void rfl_add(const struct rfl *rfl, const struct status *st);

#endif
