#include <string.h>

#include "request/batch.h"

#define MAX_BATCH_BYTES	     1048576U /* well below the RPC record limit */
#define START_OVERHEAD_BYTES 512

/*
 * Keeps the batches in the order of their first use, so that a replayed trace
 * sends the same messages.
 */
struct batch *
bat_get(GPtrArray *batches, void *agent)
{
	struct batch *batch;
	guint i;

	for (i = 0; i < batches->len; i++) {
		batch = batches->pdata[i];
		if (batch->agent == agent)
			return batch;
	}
	batch = g_new0(struct batch, 1);
	batch->agent = agent;
	batch->starts = g_array_new(FALSE, FALSE, sizeof(wire_start));
	batch->ids = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(batches, batch);
	return batch;
}

void
bat_free(gpointer data)
{
	struct batch *batch = data;

	g_array_unref(batch->starts);
	g_ptr_array_unref(batch->ids);
	g_free(batch);
}

/* Limits a message to MAX_BATCH_BYTES and WIRE_BATCH_MAX starts. */
bool
bat_is_full(const struct batch *batch, const struct job *job, uint32_t index)
{
	size_t bytes = g_bytes_get_size(job_task(job, index)->spec.payload);

	return batch->starts->len > 0 &&
	       (batch->bytes + bytes + START_OVERHEAD_BYTES > MAX_BATCH_BYTES ||
		   batch->starts->len >= WIRE_BATCH_MAX);
}

void
bat_add(struct batch *batch, const struct job *job, uint32_t index,
    uint64_t seq, int64_t now_ms)
{
	const struct job_spec *spec = job_request(job);
	wire_start start;
	char *id = g_strdup_printf("%s/%u", spec->id, index);
	gsize len;

	g_ptr_array_add(batch->ids, id);
	memset(&start, 0, sizeof(start));
	start.seq = seq;
	start.task_id = id;
	start.service = (char *)spec->service;
	start.deadline_ms = MAX(spec->deadline_ms - now_ms, 1);
	start.method = (char *)(spec->method != NULL ? spec->method : "");
	start.path = (char *)(spec->path != NULL ? spec->path : "");
	/* struct job_header has the layout of wire_header. */
	start.headers.headers_val = (wire_header *)spec->headers;
	start.headers.headers_len = spec->n_headers;
	start.payload.wire_payload_val =
	    (char *)g_bytes_get_data(job_task(job, index)->spec.payload, &len);
	start.payload.wire_payload_len = len;
	start.traceparent =
	    (char *)(spec->traceparent != NULL ? spec->traceparent : "");
	g_array_append_val(batch->starts, start);
	batch->bytes += len + START_OVERHEAD_BYTES;
}

/* Empties a batch after it was sent or its starts were undone. */
void
bat_clear(struct batch *batch)
{
	g_array_set_size(batch->starts, 0);
	g_ptr_array_set_size(batch->ids, 0);
	batch->bytes = 0;
}
