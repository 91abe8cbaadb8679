#ifndef SP_LINKDELAY_H
#define SP_LINKDELAY_H

#include <stdint.h>

/*
 * Measures how long the messages of one peer were held up on their way.  The
 * two clocks differ by an unknown amount, so the fastest messages of the last
 * LDL_WINDOW_MS to 2 * LDL_WINDOW_MS count as not held up.  Reads no clock;
 * starts as all zeros.
 */
struct ldl {
	int64_t fastest_ms[2]; /* receiver's clock less sender's; by window */
	int64_t window_ms;     /* start of the present window, 0: no message */
	int64_t late_since_ms; /* 0: the last message was not late */
};

/* Slow enough that clocks which differ by 2% stay within the limit below. */
#define LDL_WINDOW_MS 10000
/* Messages that are late for longer than this are the usual ones. */
#define LDL_FORGET_MS 10000

/*
 * Returns the delay of a message that was sent at sent_ms on the sender's clock
 * and arrived at now_ms.  One above max_ms does not change what is usual.
 */
int64_t ldl_measure(
    struct ldl *ldl, int64_t sent_ms, int64_t now_ms, int64_t max_ms);

/* The smallest difference that counts as not held up; after ldl_measure(). */
int64_t ldl_fastest_ms(const struct ldl *ldl);

#endif
