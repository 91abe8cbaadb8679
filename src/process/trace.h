#ifndef SP_TRACE_H
#define SP_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#define TRC_TRACE_ID_LEN 32 /* hex digits */
#define TRC_SPAN_ID_LEN	 16
#define TRC_PARENT_LEN	 55 /* "00-<trace id>-<span id>-<flags>" */

/* Identity of a span in a W3C trace; may be copied by value. */
struct trc_context {
	char trace_id[TRC_TRACE_ID_LEN + 1];
	char span_id[TRC_SPAN_ID_LEN + 1];
	char parent_id[TRC_SPAN_ID_LEN + 1]; /* empty for a root span */
};

/* Ring buffer of the latest finished spans of a process. */
struct trc_ring;

/* The ring holds at least one span. */
struct trc_ring *trc_new(uint32_t max_spans);
void trc_free(struct trc_ring *ring);

/*
 * Starts a child of the span that traceparent names, or a new trace if
 * traceparent is NULL or invalid.
 */
void trc_start(struct trc_context *span, const char *traceparent);
/* Writes the traceparent header for calls made within span; always sampled. */
void trc_format_traceparent(
    const struct trc_context *span, char out[TRC_PARENT_LEN + 1]);
/*
 * Stores a finished span; a full ring drops the oldest one.  start_wall_us is
 * microseconds since the epoch.  name and detail are copied; detail may be
 * NULL.
 */
void trc_finish(struct trc_ring *ring, const struct trc_context *span,
    const char *name, int64_t start_wall_us, int64_t duration_us, bool ok,
    const char *detail);
/*
 * Returns the stored spans as a JSON array, oldest first: those of one trace,
 * or all if trace_id is NULL.  Free the text with g_free().
 */
char *trc_json(const struct trc_ring *ring, const char *trace_id);

#endif
