#ifndef SP_TRACE_H
#define SP_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#define TRC_TRACE_ID_LEN 32 /* hex digits */
#define TRC_SPAN_ID_LEN	 16
#define TRC_PARENT_LEN	 55 /* "00-<trace id>-<span id>-<flags>" */

/* Position in a W3C trace; plain data. */
struct trc_context {
	char trace_id[TRC_TRACE_ID_LEN + 1];
	char span_id[TRC_SPAN_ID_LEN + 1];
	char parent_id[TRC_SPAN_ID_LEN + 1]; /* empty for a root */
};

/* Bounded ring of the latest finished spans of one process. */
struct trc_ring;

struct trc_ring *trc_new(uint32_t max_spans);
void trc_free(struct trc_ring *ring);

/* Starts a span below traceparent, or a new trace when it is NULL or bad. */
void trc_start(struct trc_context *span, const char *traceparent);
/* Writes the traceparent that names this span as the parent. */
void trc_format_traceparent(
    const struct trc_context *span, char out[TRC_PARENT_LEN + 1]);
/* Stores a finished span.  name and detail are copied; detail may be NULL. */
void trc_finish(struct trc_ring *ring, const struct trc_context *span,
    const char *name, int64_t start_wall_us, int64_t duration_us, bool ok,
    const char *detail);
/* JSON array of spans, of one trace or of all (trace_id NULL); g_free() it. */
char *trc_json(const struct trc_ring *ring, const char *trace_id);

#endif
