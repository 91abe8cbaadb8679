#include "connection/meterstream.h"

struct _MstInput {
	GInputStream parent;
	GInputStream *base;
	struct cnl_conn *limit;
	bool has_ended;
};

struct _MstOutput {
	GOutputStream parent;
	GOutputStream *base;
	struct cnl_conn *limit;
};

struct _MstStream {
	GIOStream parent;
	GIOStream *base;
	GInputStream *input;
	GOutputStream *output;
	struct cnl_conn *limit;
};

static void mst_input_pollable_init(GPollableInputStreamInterface *iface);
static void mst_output_pollable_init(GPollableOutputStreamInterface *iface);

G_DECLARE_FINAL_TYPE(MstInput, mst_input, MST, INPUT, GInputStream)
G_DEFINE_TYPE_WITH_CODE(MstInput, mst_input, G_TYPE_INPUT_STREAM,
    G_IMPLEMENT_INTERFACE(
	G_TYPE_POLLABLE_INPUT_STREAM, mst_input_pollable_init))
G_DECLARE_FINAL_TYPE(MstOutput, mst_output, MST, OUTPUT, GOutputStream)
G_DEFINE_TYPE_WITH_CODE(MstOutput, mst_output, G_TYPE_OUTPUT_STREAM,
    G_IMPLEMENT_INTERFACE(
	G_TYPE_POLLABLE_OUTPUT_STREAM, mst_output_pollable_init))
G_DECLARE_FINAL_TYPE(MstStream, mst_stream, MST, STREAM, GIOStream)
G_DEFINE_TYPE(MstStream, mst_stream, G_TYPE_IO_STREAM)

static bool
is_end(gssize n, const GError *error)
{
	return n == 0 || (n < 0 && !g_error_matches(error, G_IO_ERROR,
				       G_IO_ERROR_WOULD_BLOCK));
}

/*
 * Ends the input.  libsoup 3.2 never frees a connection that ends between two
 * requests, but it frees one that ends within a request: one byte comes first,
 * which completes none.  At the end of a part of a head it parses that part, which
 * takes far more memory, but not after an error.
 */
static gssize
end_input(MstInput *self, char *buffer, bool failed, GError **error)
{
	bool is_idle = cnl_is_idle(self->limit);
	bool is_first = !self->has_ended;

	self->has_ended = true;
	if (is_idle && is_first) {
		*buffer = 'X';
		return 1;
	}
	if (is_idle || (!failed && !cnl_is_in_head(self->limit)))
		return 0;
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED,
	    "the connection has ended");
	return -1;
}

static gssize
read_metered(MstInput *self, void *buffer, gsize count, bool blocking,
    GCancellable *cancellable, GError **error)
{
	GError *cause = NULL;
	gssize n;

	if (!cnl_may_read(self->limit))
		return end_input(self, buffer, true, error);
	n = g_pollable_stream_read(
	    self->base, buffer, count, blocking, cancellable, &cause);
	if (is_end(n, cause)) {
		g_clear_error(&cause);
		return end_input(self, buffer, n < 0, error);
	}
	if (n > 0)
		cnl_received(self->limit, buffer, (size_t)n);
	else
		g_propagate_error(error, cause);
	return n;
}

static gssize
input_read(GInputStream *stream, void *buffer, gsize count,
    GCancellable *cancellable, GError **error)
{
	return read_metered(
	    MST_INPUT(stream), buffer, count, true, cancellable, error);
}

static gssize
input_read_nonblocking(
    GPollableInputStream *stream, void *buffer, gsize count, GError **error)
{
	return read_metered(
	    MST_INPUT(stream), buffer, count, false, NULL, error);
}

static gboolean
input_is_readable(GPollableInputStream *stream)
{
	return g_pollable_input_stream_is_readable(
	    G_POLLABLE_INPUT_STREAM(MST_INPUT(stream)->base));
}

static GSource *
input_create_source(GPollableInputStream *stream, GCancellable *cancellable)
{
	GSource *base = g_pollable_input_stream_create_source(
	    G_POLLABLE_INPUT_STREAM(MST_INPUT(stream)->base), NULL);
	GSource *source = g_pollable_source_new_full(stream, base, cancellable);

	g_source_unref(base);
	return source;
}

static void
input_finalize(GObject *object)
{
	MstInput *self = MST_INPUT(object);

	g_object_unref(self->base);
	cnl_unref(self->limit);
	G_OBJECT_CLASS(mst_input_parent_class)->finalize(object);
}

static void
mst_input_pollable_init(GPollableInputStreamInterface *iface)
{
	iface->is_readable = input_is_readable;
	iface->create_source = input_create_source;
	iface->read_nonblocking = input_read_nonblocking;
}

static void
mst_input_class_init(MstInputClass *class)
{
	G_INPUT_STREAM_CLASS(class)->read_fn = input_read;
	G_OBJECT_CLASS(class)->finalize = input_finalize;
}

static void
mst_input_init(MstInput *self)
{
	(void)self;
}

static gssize
write_metered(MstOutput *self, const void *buffer, gsize count, bool blocking,
    GCancellable *cancellable, GError **error)
{
	gssize n = g_pollable_stream_write(
	    self->base, buffer, count, blocking, cancellable, error);

	if (n > 0)
		cnl_sent(self->limit, (uint64_t)n);
	return n;
}

static gssize
output_write(GOutputStream *stream, const void *buffer, gsize count,
    GCancellable *cancellable, GError **error)
{
	return write_metered(
	    MST_OUTPUT(stream), buffer, count, true, cancellable, error);
}

static gssize
output_write_nonblocking(GPollableOutputStream *stream, const void *buffer,
    gsize count, GError **error)
{
	return write_metered(
	    MST_OUTPUT(stream), buffer, count, false, NULL, error);
}

static gboolean
output_is_writable(GPollableOutputStream *stream)
{
	return g_pollable_output_stream_is_writable(
	    G_POLLABLE_OUTPUT_STREAM(MST_OUTPUT(stream)->base));
}

static GSource *
output_create_source(GPollableOutputStream *stream, GCancellable *cancellable)
{
	GSource *base = g_pollable_output_stream_create_source(
	    G_POLLABLE_OUTPUT_STREAM(MST_OUTPUT(stream)->base), NULL);
	GSource *source = g_pollable_source_new_full(stream, base, cancellable);

	g_source_unref(base);
	return source;
}

static void
output_finalize(GObject *object)
{
	MstOutput *self = MST_OUTPUT(object);

	g_object_unref(self->base);
	cnl_unref(self->limit);
	G_OBJECT_CLASS(mst_output_parent_class)->finalize(object);
}

static void
mst_output_pollable_init(GPollableOutputStreamInterface *iface)
{
	iface->is_writable = output_is_writable;
	iface->create_source = output_create_source;
	iface->write_nonblocking = output_write_nonblocking;
}

static void
mst_output_class_init(MstOutputClass *class)
{
	G_OUTPUT_STREAM_CLASS(class)->write_fn = output_write;
	G_OBJECT_CLASS(class)->finalize = output_finalize;
}

static void
mst_output_init(MstOutput *self)
{
	(void)self;
}

static GInputStream *
stream_input(GIOStream *stream)
{
	return MST_STREAM(stream)->input;
}

static GOutputStream *
stream_output(GIOStream *stream)
{
	return MST_STREAM(stream)->output;
}

static gboolean
stream_close(GIOStream *stream, GCancellable *cancellable, GError **error)
{
	MstStream *self = MST_STREAM(stream);

	cnl_close(self->limit);
	return g_io_stream_close(self->base, cancellable, error);
}

/* GIOStream closes in a thread by default. */
static void
stream_close_async(GIOStream *stream, int priority, GCancellable *cancellable,
    GAsyncReadyCallback callback, gpointer data)
{
	GTask *task = g_task_new(stream, cancellable, callback, data);

	g_task_set_priority(task, priority);
	g_task_return_boolean(task, stream_close(stream, NULL, NULL));
	g_object_unref(task);
}

static gboolean
stream_close_finish(GIOStream *stream, GAsyncResult *result, GError **error)
{
	(void)stream;
	return g_task_propagate_boolean(G_TASK(result), error);
}

static void
stream_finalize(GObject *object)
{
	MstStream *self = MST_STREAM(object);

	cnl_close(self->limit);
	cnl_unref(self->limit);
	g_object_unref(self->input);
	g_object_unref(self->output);
	g_object_unref(self->base);
	G_OBJECT_CLASS(mst_stream_parent_class)->finalize(object);
}

static void
mst_stream_class_init(MstStreamClass *class)
{
	GIOStreamClass *stream = G_IO_STREAM_CLASS(class);

	stream->get_input_stream = stream_input;
	stream->get_output_stream = stream_output;
	stream->close_fn = stream_close;
	stream->close_async = stream_close_async;
	stream->close_finish = stream_close_finish;
	G_OBJECT_CLASS(class)->finalize = stream_finalize;
}

static void
mst_stream_init(MstStream *self)
{
	(void)self;
}

GIOStream *
mst_new(GSocketConnection *base, struct cnl_conn *limit)
{
	MstStream *self = g_object_new(mst_stream_get_type(), NULL);
	MstInput *input = g_object_new(mst_input_get_type(), NULL);
	MstOutput *output = g_object_new(mst_output_get_type(), NULL);

	self->base = G_IO_STREAM(g_object_ref(base));
	self->limit = limit;
	input->base = g_object_ref(g_io_stream_get_input_stream(self->base));
	input->limit = cnl_ref(limit);
	self->input = G_INPUT_STREAM(input);
	output->base = g_object_ref(g_io_stream_get_output_stream(self->base));
	output->limit = cnl_ref(limit);
	self->output = G_OUTPUT_STREAM(output);
	return G_IO_STREAM(self);
}
