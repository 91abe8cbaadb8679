#ifndef SIM_STORE_H
#define SIM_STORE_H

#include "sim/loop.h"
#include "sim/options.h"
#include "version/keyspace.h"

/*
 * The platform's store: the operators' configuration, which does not change,
 * and the keys of the agents.  It answers each call after a few milliseconds,
 * and fails while it is down.
 */

/* Host and path prefix of the only queue. */
#define SST_HOST   "sim.example"
#define SST_PREFIX "/q/"

void sst_reset(enum sop_mutant mutant);
/* Calls that arrive until then fail and have no effect. */
void sst_stop(int64_t until_ms);
/* The mutant forgotten-cancels. */
void sst_forget_cancels(void);
/* The store as one process calls it; freed by sst_client_free(). */
struct ks *sst_client_new(struct slp_proc *proc);
/* Calls in progress fail; to be called before what made them is freed. */
void sst_client_free(struct ks *ks);

#endif
