#include "process/pause.h"

void
pau_tick(struct pau *pau, int64_t now_ms)
{
	if (pau->tick_ms != 0 && now_ms - pau->tick_ms > PAU_MIN_MS) {
		pau->begin_ms = pau->tick_ms;
		pau->end_ms = now_ms;
	}
	pau->tick_ms = now_ms;
}

int64_t
pau_noticed_ms(const struct pau *pau, int64_t now_ms)
{
	if (pau->tick_ms != 0 && now_ms - pau->tick_ms > PAU_MIN_MS)
		return pau->tick_ms;
	if (pau->end_ms != 0 && now_ms - pau->end_ms <= PAU_SETTLE_MS)
		return pau->begin_ms;
	return now_ms;
}
