#ifndef SP_RETRYAFTER_H
#define SP_RETRYAFTER_H

#include <stdint.h>

/*
 * When refused callers are told to come back.  Addresses a burst whose refused
 * part would return as a burst: they are spread evenly over the time in which
 * the backlog is expected to drain.  Plain data; reads no clock.
 */
struct rta {
	uint32_t phase; /* any start; differs between entries */
};

/* Whole seconds, 1 at least. */
int64_t rta_next_ms(struct rta *rta, int64_t drain_ms);

#endif
