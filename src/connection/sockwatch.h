#ifndef SP_SOCKWATCH_H
#define SP_SOCKWATCH_H

#include <stdbool.h>

/*
 * Watches of sockets for input and output, for a main loop with many of them.
 * All watches are one source of the loop: GLib looks at each of its sources, and
 * polls each of their sockets, at every wakeup.
 *
 * The first watch binds all to the thread's default main context; they are not
 * locked.
 */
struct skw;

struct skw_options {
	int fd;
	/* There is input, an error, or the end of the connection. */
	void (*readable)(void *ctx);
	/* Output is possible; called only while it is waited for. */
	void (*writable)(void *ctx);
	void *ctx;
};

/* Returns NULL when the system has no room for another watch. */
struct skw *skw_new(const struct skw_options *opts);
/*
 * To be called before the socket is closed; callbacks are not called any more.
 * NULL is allowed.
 */
void skw_free(struct skw *skw);
void skw_wait_writable(struct skw *skw, bool wait);

#endif
