#ifndef SP_MAILBOX_H
#define SP_MAILBOX_H

#include <glib.h>

/*
 * Messages to the thread that runs a main context, in the order in which each
 * sender posted them.  Any thread may post; everything else belongs to the
 * thread of the context.
 */
struct mbx;

struct mbx_options {
	GMainContext *context; /* NULL: the default one */
	/* Takes a message over. */
	void (*handle_message)(void *message, void *ctx);
	/* Frees a message that was never taken. */
	GDestroyNotify discard;
	void *ctx;
};

struct mbx *mbx_new(const struct mbx_options *opts);
/* Nobody may post any more. */
void mbx_free(struct mbx *mbx);
/* The message is taken over. */
void mbx_post(struct mbx *mbx, void *message);

#endif
