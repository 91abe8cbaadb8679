#include "process/mailbox.h"

struct mbx {
	GSource source;
	struct mbx_options opts;
	GAsyncQueue *messages;
};

static gboolean
prepare(GSource *source, gint *timeout_ms)
{
	struct mbx *mbx = (struct mbx *)source;

	*timeout_ms = -1;
	return g_async_queue_length(mbx->messages) > 0;
}

static gboolean
check(GSource *source)
{
	return g_async_queue_length(((struct mbx *)source)->messages) > 0;
}

static gboolean
dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	struct mbx *mbx = (struct mbx *)source;
	void *message;

	(void)fn;
	(void)data;
	while ((message = g_async_queue_try_pop(mbx->messages)) != NULL)
		mbx->opts.handle_message(message, mbx->opts.ctx);
	return G_SOURCE_CONTINUE;
}

/* The source is freed after its last dispatch. */
static void
finalize(GSource *source)
{
	g_async_queue_unref(((struct mbx *)source)->messages);
}

struct mbx *
mbx_new(const struct mbx_options *opts)
{
	static GSourceFuncs funcs = {.prepare = prepare,
	    .check = check,
	    .dispatch = dispatch,
	    .finalize = finalize};
	GSource *source = g_source_new(&funcs, sizeof(struct mbx));
	struct mbx *mbx = (struct mbx *)source;

	mbx->opts = *opts;
	mbx->messages = g_async_queue_new_full(opts->discard);
	g_source_attach(source, opts->context);
	return mbx;
}

/* NULL is allowed. */
void
mbx_free(struct mbx *mbx)
{
	if (mbx == NULL)
		return;
	g_source_destroy(&mbx->source);
	g_source_unref(&mbx->source);
}

void
mbx_post(struct mbx *mbx, void *message)
{
	g_async_queue_push(mbx->messages, message);
	g_main_context_wakeup(mbx->opts.context);
}
