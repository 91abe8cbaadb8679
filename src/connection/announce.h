#ifndef SP_ANNOUNCE_H
#define SP_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * What the endpoint beside this agent last announced about itself, and until
 * when that holds.  Holds no sockets, reads no clock.
 */
struct ann;

struct ann_state {
	const char *service; /* NULL: nothing announced, or lapsed */
	const char *address;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint64_t memory_mb;
	uint32_t slots_in_use; /* by work that this agent did not start */
	bool draining;
};

struct ann *ann_new(void);
void ann_free(struct ann *ann);
/*
 * Takes the body of PUT /v1/announce; running is the number of calls that
 * this agent has open.  On an error nothing changes.
 */
bool ann_put(struct ann *ann, const char *json, size_t len, uint32_t running,
    int64_t now_ms, struct status *st);
void ann_delete(struct ann *ann);
/* Notes that a call of this agent ended. */
void ann_call_ended(struct ann *ann, int64_t now_ms);
/* Valid until the next call of any function here. */
const struct ann_state *ann_state(struct ann *ann, int64_t now_ms);

#endif
