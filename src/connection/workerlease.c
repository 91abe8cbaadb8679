#include <glib.h>

#include "connection/workerlease.h"

/*
 * Added to the lease to get an upper bound of its end: the worker's clock may
 * be 2% slow, and rounding and killing the tasks take more time.
 */
#define LEASE_SLACK_PERCENT 3
#define LEASE_SLACK_MS	    60

/* Upper bound of the end of a lease that is given at now_ms. */
static int64_t
latest_end_ms(int64_t lease_ms, int64_t now_ms)
{
	return now_ms + lease_ms * (100 + LEASE_SLACK_PERCENT) / 100 +
	       LEASE_SLACK_MS;
}

void
wls_adopt(struct wls *lease, int64_t clock_ms, int64_t now_ms)
{
	lease->clock_ms = clock_ms;
	lease->clock_at_ms = now_ms;
	lease->deadline_ms = 0;
	lease->stray_ends_ms = 0;
}

/* Responses of the worker may overtake each other. */
void
wls_read_clock(struct wls *lease, int64_t clock_ms, int64_t now_ms)
{
	if (clock_ms < lease->clock_ms)
		return;
	lease->clock_ms = clock_ms;
	lease->clock_at_ms = now_ms;
}

int64_t
wls_clock_ms(const struct wls *lease, int64_t now_ms)
{
	return lease->clock_ms + (now_ms - lease->clock_at_ms);
}

int64_t
wls_extend(struct wls *lease, int64_t now_ms)
{
	lease->ends_ms =
	    MAX(latest_end_ms(lease->lease_ms, now_ms), lease->stray_ends_ms);
	lease->deadline_ms = wls_clock_ms(lease, now_ms) + lease->lease_ms;
	return lease->deadline_ms;
}

bool
wls_is_long(const struct wls *lease, int64_t now_ms)
{
	return lease->ends_ms - now_ms > lease->lease_ms / 2;
}

void
wls_record_stray(struct wls *lease, int64_t now_ms)
{
	lease->stray_ends_ms = latest_end_ms(lease->granted_ms, now_ms);
}

int64_t
wls_last_end_ms(const struct wls *lease)
{
	return MAX(lease->ends_ms, lease->stray_ends_ms);
}

void
wls_drop(struct wls *lease)
{
	lease->ends_ms = 0;
}
