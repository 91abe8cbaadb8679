#ifndef SP_PEERCLOCK_H
#define SP_PEERCLOCK_H

#include <stdint.h>

/*
 * Estimates the clock of a peer from the times that it sends.  The estimate is
 * behind the peer's clock by the time that the last of them was on its way, and
 * never ahead of it but for the difference in speed of the two clocks.  Reads
 * no clock; starts as all zeros.
 */
struct pcl {
	int64_t peer_ms; /* last time received, 0: none */
	int64_t at_ms;	 /* when that was */
};

/* Largest time of a clock: differences of times do not overflow. */
#define PCL_MAX_MS (INT64_C(1) << 53)

/*
 * Processes a time of the peer's clock that has just arrived.  Returns -1,
 * without effect, if it is out of range.
 */
int pcl_receive(struct pcl *pcl, int64_t peer_ms, int64_t now_ms);
/* The peer's clock at now_ms; 0: no time has been received. */
int64_t pcl_estimate_ms(const struct pcl *pcl, int64_t now_ms);

#endif
