#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/random.h>

#include "trace.h"

#define TRACE_ID_POS	 3 /* in "00-<trace id>-<span id>-<flags>" */
#define SPAN_ID_POS	 36
#define FLAGS_POS	 53
#define DETAIL_MAX_BYTES 256

struct span {
	struct trc_context ctx;
	char *name;
	char *detail;
	int64_t start_wall_us;
	int64_t duration_us;
	bool ok;
};

struct trc_ring {
	uint32_t size;
	uint32_t used;
	uint32_t next; /* index of the next span */
	struct span *spans;
};

static void
span_clear(struct span *span)
{
	g_clear_pointer(&span->name, g_free);
	g_clear_pointer(&span->detail, g_free);
}

struct trc_ring *
trc_new(uint32_t max_spans)
{
	struct trc_ring *ring = g_new0(struct trc_ring, 1);

	ring->size = MAX(max_spans, 1);
	ring->spans = g_new0(struct span, ring->size);
	return ring;
}

void
trc_free(struct trc_ring *ring)
{
	uint32_t i;

	if (ring == NULL)
		return;
	for (i = 0; i < ring->used; i++)
		span_clear(&ring->spans[i]);
	g_free(ring->spans);
	g_free(ring);
}

static bool
is_lower_hex(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!g_ascii_isdigit(s[i]) && (s[i] < 'a' || s[i] > 'f'))
			return false;
	}
	return true;
}

static bool
is_zero(const char *s, size_t len)
{
	return strspn(s, "0") >= len;
}

/* Checks as W3C Trace Context requires; versions above 00 may append fields. */
static bool
is_valid_parent(const char *parent)
{
	size_t len;

	if (parent == NULL)
		return false;
	len = strnlen(parent, TRC_PARENT_LEN + 1);
	if (len < TRC_PARENT_LEN || !is_lower_hex(parent, 2) ||
	    strncmp(parent, "ff", 2) == 0)
		return false;
	if (len > TRC_PARENT_LEN &&
	    (strncmp(parent, "00", 2) == 0 || parent[TRC_PARENT_LEN] != '-'))
		return false;
	return parent[2] == '-' && parent[SPAN_ID_POS - 1] == '-' &&
	       parent[FLAGS_POS - 1] == '-' &&
	       is_lower_hex(parent + TRACE_ID_POS, TRC_TRACE_ID_LEN) &&
	       is_lower_hex(parent + SPAN_ID_POS, TRC_SPAN_ID_LEN) &&
	       is_lower_hex(parent + FLAGS_POS, 2) &&
	       !is_zero(parent + TRACE_ID_POS, TRC_TRACE_ID_LEN) &&
	       !is_zero(parent + SPAN_ID_POS, TRC_SPAN_ID_LEN);
}

static void
random_id(char *out, size_t len)
{
	static const char hex[] = "0123456789abcdef";
	uint8_t bytes[TRC_TRACE_ID_LEN];
	size_t i;

	if (getrandom(bytes, len, 0) != (ssize_t)len) {
		for (i = 0; i < len; i++)
			bytes[i] = (uint8_t)g_random_int();
	}
	for (i = 0; i < len; i++)
		out[i] = hex[bytes[i] & 0xf];
	out[len] = '\0';
	if (is_zero(out, len))
		out[len - 1] = '1';
}

void
trc_start(struct trc_context *span, const char *traceparent)
{
	memset(span, 0, sizeof(*span));
	random_id(span->span_id, TRC_SPAN_ID_LEN);
	if (!is_valid_parent(traceparent)) {
		random_id(span->trace_id, TRC_TRACE_ID_LEN);
		return;
	}
	memcpy(span->trace_id, traceparent + TRACE_ID_POS, TRC_TRACE_ID_LEN);
	memcpy(span->parent_id, traceparent + SPAN_ID_POS, TRC_SPAN_ID_LEN);
}

void
trc_format_traceparent(
    const struct trc_context *span, char out[TRC_PARENT_LEN + 1])
{
	g_snprintf(out, TRC_PARENT_LEN + 1, "00-%s-%s-01", span->trace_id,
	    span->span_id);
}

void
trc_finish(struct trc_ring *ring, const struct trc_context *ctx,
    const char *name, int64_t start_wall_us, int64_t duration_us, bool ok,
    const char *detail)
{
	struct span *span = &ring->spans[ring->next];

	span_clear(span);
	span->ctx = *ctx;
	span->name = g_strdup(name);
	span->detail =
	    detail != NULL ? g_strndup(detail, DETAIL_MAX_BYTES) : NULL;
	span->start_wall_us = start_wall_us;
	span->duration_us = duration_us;
	span->ok = ok;
	ring->next = (ring->next + 1) % ring->size;
	ring->used = MIN(ring->used + 1, ring->size);
}

static void
add_string(struct json_object *obj, const char *key, const char *value)
{
	json_object_object_add(obj, key, json_object_new_string(value));
}

static struct json_object *
span_json(const struct span *span)
{
	struct json_object *obj = json_object_new_object();

	add_string(obj, "trace_id", span->ctx.trace_id);
	add_string(obj, "span_id", span->ctx.span_id);
	if (span->ctx.parent_id[0] != '\0')
		add_string(obj, "parent_id", span->ctx.parent_id);
	add_string(obj, "name", span->name);
	json_object_object_add(
	    obj, "start_us", json_object_new_int64(span->start_wall_us));
	json_object_object_add(
	    obj, "duration_us", json_object_new_int64(span->duration_us));
	json_object_object_add(obj, "ok", json_object_new_boolean(span->ok));
	if (span->detail != NULL)
		add_string(obj, "detail", span->detail);
	return obj;
}

char *
trc_json(const struct trc_ring *ring, const char *trace_id)
{
	struct json_object *array = json_object_new_array();
	const struct span *span;
	char *text;
	uint32_t i, first = (ring->next + ring->size - ring->used) % ring->size;

	for (i = 0; i < ring->used; i++) {
		span = &ring->spans[(first + i) % ring->size];
		if (trace_id == NULL ||
		    strcmp(span->ctx.trace_id, trace_id) == 0)
			json_object_array_add(array, span_json(span));
	}
	text = g_strdup(
	    json_object_to_json_string_ext(array, JSON_C_TO_STRING_PLAIN));
	json_object_put(array);
	return text;
}
