#ifndef SP_CANCELRELAY_H
#define SP_CANCELRELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "connection/sessions.h"
#include "process/counters.h"

/*
 * Cancelled jobs at an agent: records those that entries tell, passes them on
 * to the other entries, and tells each entry that connects what it has missed.
 */
struct cry;

/* max_jobs are remembered, as in ccl_new(). */
struct cry *cry_new(uint32_t max_jobs, struct ctr_registry *counters);
/* NULL is allowed. */
void cry_free(struct cry *cry);
/* To be called before the first session opens. */
void cry_set_sessions(struct cry *cry, struct ses *ses);

/*
 * A session has opened.  Its entry has received what the process source had
 * told up to a position.
 */
void cry_opened(
    struct cry *cry, uint64_t session, uint64_t source, uint64_t position);
void cry_receive(
    struct cry *cry, uint64_t session, const struct run_cancelled_args *args);
/* Whether the job of a start is cancelled, so that it must not be sent. */
bool cry_has(struct cry *cry, const struct run_start *start);

#endif
