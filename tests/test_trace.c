#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "process/trace.h"
#include "runner.h"

#define TRACE "0af7651916cd43dd8448eb211c80319c"
#define SPAN  "b7ad6b7169203331"

static const struct {
	const char *traceparent;
	bool valid;
} parents[] = {
    {"00-" TRACE "-" SPAN "-01", true},
    {"00-" TRACE "-" SPAN "-00", true},
    {"cc-" TRACE "-" SPAN "-01-later-field", true},
    {"cc-" TRACE "-" SPAN "-01.later-field", false},
    {"00-" TRACE "-" SPAN "-01-", false},
    {"ff-" TRACE "-" SPAN "-01", false},
    {"00-" TRACE "-" SPAN "-0", false},
    {"00-" TRACE "-" SPAN "-0g", false},
    {"00-0AF7651916CD43DD8448EB211C80319C-" SPAN "-01", false},
    {"00-00000000000000000000000000000000-" SPAN "-01", false},
    {"00-" TRACE "-0000000000000000-01", false},
    {"00_" TRACE "-" SPAN "-01", false},
    {"", false},
    {NULL, false},
};

/* An invalid header must start a new trace and never be copied onward. */
START_TEST(traceparent_is_checked)
{
	struct trc_context span, child;
	char out[TRC_PARENT_LEN + 1];
	size_t i;

	for (i = 0; i < sizeof(parents) / sizeof(parents[0]); i++) {
		trc_start(&span, parents[i].traceparent);
		ck_assert_msg(
		    (strcmp(span.trace_id, TRACE) == 0) == parents[i].valid,
		    "%s", parents[i].traceparent);
		ck_assert_str_eq(span.parent_id, parents[i].valid ? SPAN : "");
		ck_assert_str_ne(span.span_id, SPAN);
		trc_format_traceparent(&span, out);
		trc_start(&child, out);
		ck_assert_str_eq(child.trace_id, span.trace_id);
		ck_assert_str_eq(child.parent_id, span.span_id);
	}
}
END_TEST

/* The ring is bounded: the oldest span is replaced, order is kept. */
START_TEST(ring_keeps_latest)
{
	struct trc_ring *ring = trc_new(3);
	struct trc_context span;
	struct json_object *array, *first;
	char name[8], *text;
	int i;

	for (i = 0; i < 10; i++) {
		trc_start(&span, NULL);
		g_snprintf(name, sizeof(name), "n%d", i);
		trc_finish(ring, &span, name, i, 2, true, "say \"x\"\n");
	}
	text = trc_json(ring, NULL);
	array = json_tokener_parse(text);
	ck_assert_uint_eq(json_object_array_length(array), 3);
	first = json_object_array_get_idx(array, 0);
	ck_assert_str_eq(
	    json_object_get_string(json_object_object_get(first, "name")),
	    "n7");
	ck_assert_str_eq(
	    json_object_get_string(json_object_object_get(first, "detail")),
	    "say \"x\"\n");
	json_object_put(array);
	g_free(text);
	text = trc_json(ring, span.trace_id);
	array = json_tokener_parse(text);
	ck_assert_uint_eq(json_object_array_length(array), 1);
	json_object_put(array);
	g_free(text);
	text = trc_json(ring, TRACE);
	ck_assert_str_eq(text, "[]");
	g_free(text);
	trc_free(ring);
}
END_TEST

TEST_MAIN("trace", 0, traceparent_is_checked, ring_keeps_latest)
