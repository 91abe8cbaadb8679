#include <glib.h>

#include "request/retryafter.h"

#define SECOND_MS 1000
/* A longer time says that little is known, rather than when to come back. */
#define MAX_SECONDS 30
/*
 * The golden ratio, as a fraction of 2^32: successive multiples of it are spread
 * evenly, whatever their number.
 */
#define GOLDEN_RATIO 2654435769U

int64_t
rta_next_ms(struct rta *rta, int64_t drain_ms)
{
	int64_t seconds = drain_ms / SECOND_MS + (drain_ms % SECOND_MS > 0);
	uint64_t n = (uint64_t)CLAMP(seconds, 1, MAX_SECONDS);

	rta->phase += GOLDEN_RATIO;
	return (int64_t)(1 + (rta->phase * n >> 32)) * SECOND_MS;
}
