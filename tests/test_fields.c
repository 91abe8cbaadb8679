#include <glib.h>
#include <stddef.h>
#include <string.h>

#include "process/fields.h"
#include "runner.h"

#define DEPTH 100000

struct sample {
	int64_t number;
	int64_t inner;
	const char *text;
	bool flag;
	struct fld_texts texts;
};

static bool
is_lower(const char *text)
{
	return strspn(text, "abcdefghijklmnopqrstuvwxyz") == strlen(text);
}

static const struct fld inner[] = {
    {.name = "inner",
	.type = FLD_INT,
	.required = true,
	.min = -5,
	.max = 5,
	.offset = offsetof(struct sample, inner)},
    {0},
};

static const struct fld fields[] = {
    {.name = "number",
	.type = FLD_INT,
	.required = true,
	.min = 1,
	.max = 1000,
	.offset = offsetof(struct sample, number)},
    {.name = "text",
	.type = FLD_TEXT,
	.min = 1,
	.max = 4,
	.is_valid = is_lower,
	.offset = offsetof(struct sample, text)},
    {.name = "flag", .type = FLD_BOOL, .offset = offsetof(struct sample, flag)},
    {.name = "texts",
	.type = FLD_TEXTS,
	.max = 2,
	.offset = offsetof(struct sample, texts)},
    {.name = "object", .type = FLD_OBJECT, .members = inner},
    {0},
};

static char *
decode(const char *data, size_t len)
{
	struct sample s = {.text = "-"};
	struct status st = {.code = ST_OK};
	struct json_object *root = fld_parse(data, len, &st);
	GString *out = g_string_new(NULL);
	size_t i;

	if (root != NULL && fld_decode(root, fields, &s, &st)) {
		g_string_append_printf(out, "%d %s %d %d", (int)s.number,
		    s.text, s.flag, (int)s.inner);
		for (i = 0; i < s.texts.n; i++)
			g_string_append_printf(out, " %s", s.texts.texts[i]);
	} else {
		g_string_append(out, st.message);
	}
	json_object_put(root);
	return g_string_free(out, FALSE);
}

/* An empty value may come as NULL, and deep nesting must not use up the stack. */
START_TEST(no_document)
{
	g_autofree char *nested = g_strnfill(DEPTH, '[');
	struct status st;

	ck_assert_ptr_null(fld_parse(NULL, 0, &st));
	ck_assert_ptr_null(fld_parse("", 0, &st));
	ck_assert_ptr_null(fld_parse(nested, DEPTH, &st));
	ck_assert_str_eq(st.message, "nesting too deep");
	ck_assert_ptr_null(fld_parse("{}\0x", 4, &st));
}
END_TEST

/* The cases guard against values that are used although they are out of range. */
static char *
run_case(const char *name, const char *input)
{
	(void)name;
	return decode(input, strlen(input));
}

CASES_MAIN("fields", run_case, no_document)
