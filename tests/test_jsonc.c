#include <glib.h>
#include <string.h>

#include "process/jsonc.h"
#include "runner.h"

/* Invalid texts that json-c would accept must be refused with a position. */
static char *
check_text(const char *name, const char *input)
{
	struct status st = {.message = "ok"};
	struct jsonc *doc = jsonc_parse("t", input, strlen(input), &st);

	ck_assert_msg(
	    (doc != NULL) == (strcmp(st.message, "ok") == 0), "%s", name);
	jsonc_free(doc);
	return g_strdup(st.message);
}

/* Every truncated text must be refused without reading beyond its end. */
START_TEST(truncated_text_is_refused)
{
	const char *text =
	    "{\"a\": [1, {\"b\": \"x\\n\"}], /* c */ \"d\": true}";
	struct status st;
	size_t len;

	for (len = 0; len < strlen(text); len++) {
		char *copy = g_memdup2(text, len);

		ck_assert_ptr_null(jsonc_parse("t", copy, len, &st));
		g_free(copy);
	}
}
END_TEST

/* Getters must keep defaults of absent keys and report the invalid key. */
START_TEST(getters_check_types)
{
	const char *text = "{\"n\": 5, \"s\": \"x y\", \"a\": [{\"k\": 1}]}";
	struct status st;
	struct jsonc *doc = jsonc_parse("t", text, strlen(text), &st);
	struct jsonc_node root, item;
	int64_t n = 7;
	char *s = NULL;

	ck_assert(jsonc_root(doc, &root, &st));
	ck_assert(jsonc_int(&root, "none", JSONC_OPTIONAL, 0, 9, &n, &st));
	ck_assert_int_eq(n, 7);
	ck_assert(!jsonc_int(&root, "n", JSONC_REQUIRED, 6, 9, &n, &st));
	ck_assert_str_eq(
	    st.message, "t:1:2: n: expected an integer from 6 to 9, got 5");
	ck_assert(!jsonc_name(&root, "s", JSONC_REQUIRED, &s, &st));
	ck_assert(jsonc_array_object(&root, "a", 0, &item, &st));
	ck_assert(!jsonc_string(&item, "k", JSONC_REQUIRED, &s, &st));
	ck_assert_str_eq(
	    st.message, "t:1:29: a[0].k: expected a string, got int");
	ck_assert(!jsonc_string(&item, "z", JSONC_REQUIRED, &s, &st));
	ck_assert_str_eq(st.message,
	    "t:1:28: a[0]: \"z\": required key is missing, expected a string");
	g_free(s);
	jsonc_free(doc);
}
END_TEST

/* Texts were cut at U+0000, or kept with bytes that no reader accepts. */
START_TEST(malformed_texts_are_refused)
{
	const char *zero = "{\"a\": [\"x\", \"y\\u0000z\"]}";
	const char *bytes = "{\"a\": \"\xed\xa0\x80\"}";
	struct status st;
	struct jsonc *doc = jsonc_parse("t", zero, strlen(zero), &st);
	struct jsonc_node root;
	char **texts = NULL;

	ck_assert(jsonc_root(doc, &root, &st));
	ck_assert(!jsonc_strings(&root, "a", JSONC_REQUIRED, &texts, &st));
	ck_assert_str_eq(
	    st.message, "t:1:2: a: string contains \\u0000 at index 1");
	ck_assert_ptr_null(texts);
	jsonc_free(doc);
	ck_assert_ptr_null(jsonc_parse("t", bytes, strlen(bytes), &st));
	ck_assert_str_eq(st.message, "t:1:7: string is not UTF-8");
}
END_TEST

CASES_MAIN("jsonc", check_text, truncated_text_is_refused, getters_check_types,
    malformed_texts_are_refused)
