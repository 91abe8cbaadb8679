#ifndef SP_ANNOUNCE_H
#define SP_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * The last announcement of the endpoint beside this agent, and when it expires.
 * Holds no sockets and reads no clock.
 */
struct ann;

struct ann_state {
	const char *service; /* NULL: no announcement, or it has expired */
	const char *address;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint64_t memory_mb;
	uint32_t slots_in_use; /* by requests other than this agent's calls */
	bool draining;
};

struct ann *ann_new(void);
void ann_free(struct ann *ann);
/*
 * Applies the body of PUT /v1/announce; running is the number of calls that
 * this agent has open.  An invalid body changes nothing.
 */
bool ann_put(struct ann *ann, const char *json, size_t len, uint32_t running,
    int64_t now_ms, struct status *st);
void ann_delete(struct ann *ann);
/* Records that a call of this agent to the endpoint ended. */
void ann_call_ended(struct ann *ann, int64_t now_ms);
/*
 * The announcement in effect at now_ms; an expired one is deleted.  Valid until
 * the next call of any function here.
 */
const struct ann_state *ann_state(struct ann *ann, int64_t now_ms);

#endif
