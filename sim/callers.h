#ifndef SIM_CALLERS_H
#define SIM_CALLERS_H

#include <stdint.h>

#include "process/jobentry.h"
#include "sim/loop.h"
#include "sim/options.h"

/*
 * Callers: each submits one job after the other, and sends a job again to
 * another entry 1.3 s after it got no response, a broken connection, a 502 or a
 * 504.  What it sends arrives within milliseconds, unless the entry is paused.
 */
void scl_reset(const struct sop *opts);
void scl_start(int64_t at_ms);

void scl_entry_started(uint32_t entry, struct slp_proc *proc, struct je *je);
/* Breaks the connections of its callers. */
void scl_entry_died(uint32_t entry);

/* Fault: all callers that wait for an answer of the entry leave. */
void scl_leave(uint32_t entry);

void scl_count(uint32_t *n_jobs, uint32_t *n_completed);

#endif
