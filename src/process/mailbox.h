#ifndef SP_MAILBOX_H
#define SP_MAILBOX_H

#include <glib.h>

/*
 * A queue of messages to the thread that runs a main context.  Messages of one
 * sender arrive in the order in which it posted them.  Any thread may call
 * mbx_post(); the other functions are for the thread of the context.
 */
struct mbx;

struct mbx_options {
	GMainContext *context; /* NULL: the default one */
	/* Handles a message and takes ownership of it. */
	void (*handle_message)(void *message, void *ctx);
	/* Frees a message that was not handled before mbx_free(). */
	GDestroyNotify discard;
	void *ctx;
};

struct mbx *mbx_new(const struct mbx_options *opts);
/* No thread may post during or after this call.  NULL is allowed. */
void mbx_free(struct mbx *mbx);
/* Takes ownership of message. */
void mbx_post(struct mbx *mbx, void *message);

#endif
