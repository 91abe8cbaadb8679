#ifndef SP_PAUSE_H
#define SP_PAUSE_H

#include <stdint.h>

/*
 * Pauses of this process, as its periodic ticks show them.  What happened
 * outside during a pause is noticed up to PAU_SETTLE_MS after its end.  Reads
 * no clock; starts as all zeros.
 */
struct pau {
	int64_t tick_ms;  /* last tick, 0: none */
	int64_t begin_ms; /* of the last pause, 0: none */
	int64_t end_ms;
};

/* A longer time between ticks is a pause. */
#define PAU_MIN_MS    100
#define PAU_SETTLE_MS 100

/* To be called about every 50 ms. */
void pau_tick(struct pau *pau, int64_t now_ms);
/* Until when this process has certainly noticed what happened outside. */
int64_t pau_noticed_ms(const struct pau *pau, int64_t now_ms);

#endif
