#ifndef SP_FLOOD_H
#define SP_FLOOD_H

#include <glib.h>
#include <stdbool.h>
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

/* Connections that each send a text of their own. */
struct fl_texts {
	unsigned n; /* connections */
	/* Returns what connection i sends; freed with g_string_free(). */
	GString *(*make)(unsigned i);
	/* It is sent again and again up to this number of bytes; 0: once. */
	size_t repeat_bytes;
	/* Bytes of answers that are read, then none; 0: all. */
	size_t read_bytes;
	/* Each sends only when those before it have sent all. */
	bool in_turn;
};

struct fl;

/* Peak of a process since fl_start(). */
struct fl_peak {
	/* Anonymous resident memory; of fl_start_texts() also between samples. */
	int64_t anon_kb;
	int64_t fds;
	/*
	 * Anonymous memory and the bytes that the kernel holds for connections to
	 * the port: received and not read, and written and not delivered.
	 */
	int64_t total_kb;
	int64_t unread_kb;
	int64_t unsent_kb;
};

struct fl *fl_start(const struct fl_kind *kind, uint16_t port, pid_t pid);
struct fl *fl_start_texts(
    const struct fl_texts *texts, uint16_t port, pid_t pid);
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
/* Runs the crowds side by side, as fl_run() does one. */
void fl_run_all(struct fl *const *fls, unsigned n, int64_t limit_ms);
/*
 * Samples until the other end has read and written what it will: until the bytes
 * in the kernel have not changed for a second, limit_ms at most.
 */
void fl_settle(struct fl *const *fls, unsigned n, int64_t limit_ms);
/* Closes all connections. */
void fl_free(struct fl *fl);

#endif
