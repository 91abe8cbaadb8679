#ifndef SP_FLOOD_H
#define SP_FLOOD_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Many loopback connections that each send the begin of a request and no end, or
 * nothing, and the resources that the process at the other end uses meanwhile.
 */

/* Times the memory that AddressSanitizer takes. */
#ifdef __SANITIZE_ADDRESS__
#define FL_SANITIZER_FACTOR 2
#else
#define FL_SANITIZER_FACTOR 1
#endif

struct fl_kind {
	const char *name;
	const char *head; /* sent first */
	size_t head_len;  /* 0: strlen(head) */
	char fill;	  /* sent fill_bytes times after it */
	size_t fill_bytes;
	unsigned n; /* connections */
};

struct fl;

/* Peak of a process since fl_start(). */
struct fl_peak {
	int64_t anon_kb; /* anonymous resident memory */
	int64_t fds;
};

struct fl *fl_start(const struct fl_kind *kind, uint16_t port, pid_t pid);
/*
 * Connects and sends what the other end takes without waiting.  Returns how many
 * connections have bytes left to send.
 */
unsigned fl_pump(struct fl *fl);
/* Pumps until all is sent or refused, limit_ms at most, and samples the peak. */
void fl_run(struct fl *fl, int64_t limit_ms);
/* Connections that the other end closes are made again from now on. */
void fl_repeat(struct fl *fl);
/* Pumps and samples once. */
void fl_step(struct fl *fl);
struct fl_peak fl_peak(const struct fl *fl);
/* Descriptors that a process has open. */
int64_t fl_count_fds(pid_t pid);
/* Closes all connections. */
void fl_free(struct fl *fl);

#endif
