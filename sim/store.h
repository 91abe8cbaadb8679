#ifndef SIM_STORE_H
#define SIM_STORE_H

#include <stdbool.h>

#include "sim/loop.h"
#include "version/keyspace.h"

/*
 * The platform's store: the operators' configuration, which does not change,
 * and the keys of the agents.  It answers each call after a few milliseconds,
 * and fails while it is down.
 */

/* Host and path prefix of the only queue. */
#define SST_HOST   "sim.example"
#define SST_PREFIX "/q/"

/* deaf: the mutant deaf-store. */
void sst_reset(bool deaf);
/* Calls that arrive until then fail and have no effect. */
void sst_stop(int64_t until_ms);
/* The store as one process calls it; freed by sst_client_free(). */
struct ks *sst_client_new(struct slp_proc *proc);
/* Calls in progress fail; to be called before what made them is freed. */
void sst_client_free(struct ks *ks);

#endif
