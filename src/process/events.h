#ifndef SP_EVENTS_H
#define SP_EVENTS_H

#include <stdint.h>

/*
 * Structured log: one JSON object per line.  Writing never blocks: lines that
 * the descriptor does not accept at once are dropped and counted.  Lines of an
 * event type beyond lines_per_s are suppressed; the field left_out of its next
 * line holds their number.
 */
struct evt_options {
	const char *role;     /* borrowed until evt_close() */
	const char *node;     /* copied */
	int fd;		      /* made non-blocking */
	uint32_t lines_per_s; /* of one event type */
};

/* Lines written before this or after evt_close() are discarded. */
void evt_open(const struct evt_options *opts);
void evt_close(void);

/* fields holds the members of a JSON object, without the braces. */
void evt_write(const char *event, const char *fields, ...)
    __attribute__((format(printf, 2, 3)));
/* Numbers of lines suppressed by lines_per_s, and of lines lost in writing. */
uint64_t evt_suppressed(void);
uint64_t evt_dropped(void);

#endif
