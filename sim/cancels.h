#ifndef SIM_CANCELS_H
#define SIM_CANCELS_H

#include <stdint.h>

#include "process/jobentry.h"
#include "sim/loop.h"
#include "sim/options.h"

/*
 * Callers that cancel a job, at the entry that has it or at another one, and
 * repeat that until it is acknowledged, some also after that.
 */
void scn_reset(const struct sop *opts);
void scn_entry_started(uint32_t entry, struct slp_proc *proc, struct je *je);
void scn_entry_died(uint32_t entry);
/* A caller has submitted the job for the first time, to this entry. */
void scn_submitted(const char *job, uint32_t entry);

#endif
