#ifndef SP_CLOCK_H
#define SP_CLOCK_H

#include <stdint.h>

/* CLOCK_BOOTTIME: includes time during which the machine was suspended. */
int64_t clk_now_ns(void);
int64_t clk_now_ms(void);
/* Milliseconds since the epoch; may jump, so not for measuring durations. */
int64_t clk_wall_ms(void);

#endif
