#include <time.h>

#include "clock.h"

#define NS_PER_S  1000000000LL
#define NS_PER_MS 1000000LL

int64_t
clk_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

int64_t
clk_now_ms(void)
{
	return clk_now_ns() / NS_PER_MS;
}

int64_t
clk_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / NS_PER_MS;
}
