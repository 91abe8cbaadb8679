#include <glib.h>
#include <string.h>

#include "process/jsontext.h"
#include "runner.h"

#define DEPTH	   8
#define MAX_MEMORY 100000

/* The member "t" as it is decoded, with zeros as "<0>", or the reason. */
static char *
decode(const char *data, size_t len)
{
	struct status st = {.code = ST_OK};
	struct json_object *root = jtx_parse(data, len, DEPTH, &st);
	struct json_object *value;
	GString *out = g_string_new(NULL);
	const char *text;
	int i;

	if (root == NULL) {
		g_string_printf(out, "%s: %s", st_name(st.code), st.message);
		return g_string_free(out, FALSE);
	}
	if (json_object_object_get_ex(root, "t", &value) &&
	    jtx_is_unicode(value)) {
		text = json_object_get_string(value);
		for (i = 0; i < json_object_get_string_len(value); i++) {
			if (text[i] == '\0')
				g_string_append(out, "<0>");
			else
				g_string_append_c(out, text[i]);
		}
		ck_assert_int_eq(jtx_text(value) != NULL,
		    json_object_is_type(value, json_type_string) &&
			strlen(text) == (size_t)i);
	} else {
		g_string_append(out, "no Unicode");
	}
	json_object_put(root);
	return g_string_free(out, FALSE);
}

/* N members of "x" that are each value, as text. */
static char *
document_of(const char *value, int n)
{
	GString *out = g_string_new("{\"x\":[0");

	while (n-- > 0) {
		g_string_append_c(out, ',');
		g_string_append(out, value);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

/* A short text must not become hundreds of times its size in memory. */
START_TEST(memory_is_bounded)
{
	static const char *const values[] = {
	    "{}", "[]", "1", "\"\"", "null", "{\"a\":1}", "[1]", "\"\\\"{\""};
	g_autofree char *text = g_strnfill(MAX_MEMORY / 2, '{');
	g_autofree char *quoted = g_strdup_printf("{\"t\":\"%s\"}", text);
	size_t i;

	jtx_set_max_memory(MAX_MEMORY);
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		g_autofree char *few = document_of(values[i], 10);
		g_autofree char *many = document_of(values[i], 10000);

		ck_assert(jtx_fits(few, strlen(few)));
		ck_assert(!jtx_fits(many, strlen(many)));
	}
	/* What stands in a text takes no more than its bytes. */
	ck_assert(jtx_fits(quoted, strlen(quoted)));
	/* A text that ends in an escape. */
	ck_assert(jtx_fits("\"\\", 2));
	jtx_set_max_memory(0);
	ck_assert(jtx_fits(quoted, strlen(quoted)));
}
END_TEST

/* Bytes that are no UTF-8 would reach a worker that can't read them. */
START_TEST(malformed_utf8_is_no_unicode)
{
	static const char *const bytes[] = {
	    "\xed\xa0\x80",	/* a surrogate */
	    "\xed\xbf\xbf",	/* a surrogate */
	    "\xc0\x80",		/* U+0000 in two bytes */
	    "\xe0\x80\xaf",	/* overlong */
	    "\xf4\x90\x80\x80", /* beyond U+10FFFF */
	    "\xff",
	    "\x80",
	    "\xe2\x82",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bytes); i++) {
		g_autofree char *doc =
		    g_strdup_printf("{\"t\":\"a%sb\"}", bytes[i]);
		g_autofree char *got = decode(doc, strlen(doc));

		ck_assert_msg(strcmp(got, "no Unicode") == 0 ||
				  g_str_has_prefix(got, "invalid: "),
		    "row %zu: %s", i, got);
	}
}
END_TEST

/* The scan must not read beyond the end of a truncated document. */
START_TEST(truncated_document_is_refused)
{
	const char *doc = "{\"t\":\"\\ud83d\\ude00\\ud800x\\\\\", \"a\" : 1}";
	size_t len;

	for (len = 0; len < strlen(doc); len++) {
		g_autofree char *copy = g_memdup2(doc, len);
		struct status st;

		ck_assert_ptr_null(jtx_parse(copy, len, DEPTH, &st));
	}
}
END_TEST

/* The cases guard against texts that json-c decodes otherwise than written. */
static char *
run_case(const char *name, const char *input)
{
	(void)name;
	return decode(input, strlen(input));
}

CASES_MAIN("jsontext", run_case, malformed_utf8_is_no_unicode,
    memory_is_bounded, truncated_document_is_refused)
