#ifndef SP_WORKERLEASE_H
#define SP_WORKERLEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The lease of all runs on one worker, and the worker's clock, on which its
 * deadlines are.  Holds no sockets and reads no clock.
 */
struct wls {
	int64_t lease_ms;   /* given by each renewal */
	int64_t granted_ms; /* longest lease that the worker grants */
	int64_t clock_ms;   /* the worker's clock at clock_at_ms */
	int64_t clock_at_ms;
	int64_t deadline_ms; /* on the worker's clock, 0: none */
	int64_t ends_ms;     /* upper bound, 0: no lease was given */
	/*
	 * Upper bound of a lease that a call to a former incarnation gave the
	 * present one, 0: none.
	 */
	int64_t stray_ends_ms;
};

/*
 * Another incarnation is followed, whose clock is at clock_ms.  An end of the
 * former one's lease is kept.
 */
void wls_adopt(struct wls *lease, int64_t clock_ms, int64_t now_ms);
/* The worker's clock in an answer that has arrived at now_ms. */
void wls_read_clock(struct wls *lease, int64_t clock_ms, int64_t now_ms);
/* The worker's clock at now_ms. */
int64_t wls_clock_ms(const struct wls *lease, int64_t now_ms);

/* Renews the lease; returns its new end on the worker's clock. */
int64_t wls_extend(struct wls *lease, int64_t now_ms);
/* Whether more than half of a lease is left, by the upper bound of its end. */
bool wls_is_long(const struct wls *lease, int64_t now_ms);
/*
 * The next incarnation under the same id has carried out calls to the former one
 * until it saw the raised fencing token.  Their deadlines were on the clock of
 * the former, so its lease may be as long as the worker grants.
 */
void wls_record_stray(struct wls *lease, int64_t now_ms);
/* Upper bound of the end of any lease that runs may have; 0: none. */
int64_t wls_last_end_ms(const struct wls *lease);
/* No run has the lease any more. */
void wls_drop(struct wls *lease);

#endif
