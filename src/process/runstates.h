#ifndef SP_RUNSTATES_H
#define SP_RUNSTATES_H

#include "process/counters.h"
#include "request/ledger.h"

/*
 * Gauges of an agent's starts by their state, and the counter and log line for
 * the time in which it has as many runs as it may have.
 */
struct rst;

struct rst *rst_new(struct ctr_registry *counters);
void rst_free(struct rst *rst);
/* To be called every 50 ms or so. */
void rst_tick(struct rst *rst, const struct led *led);

#endif
