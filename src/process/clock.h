#ifndef SP_CLOCK_H
#define SP_CLOCK_H

#include <stdint.h>

/* CLOCK_BOOTTIME counts time that the machine spent suspended. */
int64_t clk_now_ns(void);
int64_t clk_now_ms(void);
int64_t clk_wall_ms(void);

#endif
