#include <glib.h>

#include "connection/linkdelay.h"

static void
begin(struct ldl *ldl, int64_t difference_ms, int64_t now_ms)
{
	ldl->fastest_ms[0] = ldl->fastest_ms[1] = difference_ms;
	ldl->window_ms = now_ms;
	ldl->late_since_ms = 0;
}

static void
add(struct ldl *ldl, int64_t difference_ms, int64_t now_ms)
{
	if (now_ms - ldl->window_ms >= LDL_WINDOW_MS) {
		ldl->fastest_ms[1] = ldl->fastest_ms[0];
		ldl->fastest_ms[0] = difference_ms;
		ldl->window_ms = now_ms;
	}
	ldl->fastest_ms[0] = MIN(ldl->fastest_ms[0], difference_ms);
	ldl->late_since_ms = 0;
}

int64_t
ldl_fastest_ms(const struct ldl *ldl)
{
	return MIN(ldl->fastest_ms[0], ldl->fastest_ms[1]);
}

int64_t
ldl_measure(struct ldl *ldl, int64_t sent_ms, int64_t now_ms, int64_t max_ms)
{
	int64_t difference_ms = now_ms - sent_ms, delay_ms;

	if (ldl->window_ms == 0)
		begin(ldl, difference_ms, now_ms);
	delay_ms = difference_ms - ldl_fastest_ms(ldl);
	if (delay_ms <= max_ms) {
		add(ldl, difference_ms, now_ms);
		return MAX(delay_ms, 0);
	}
	if (ldl->late_since_ms == 0)
		ldl->late_since_ms = now_ms;
	if (now_ms - ldl->late_since_ms < LDL_FORGET_MS)
		return delay_ms;
	begin(ldl, difference_ms, now_ms);
	return 0;
}
