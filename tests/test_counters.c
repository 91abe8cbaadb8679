#include <stdio.h>

#include "process/counters.h"
#include "runner.h"

/* Scrapers reject families with two TYPE lines or non-contiguous samples. */
START_TEST(families_are_grouped)
{
	struct ctr_registry *reg = ctr_new();
	char *text;

	*ctr_counter(reg, "a{x=\"2\"}", "first\\line\nnext") += 2;
	*ctr_gauge(reg, "a_b", "other") = -7;
	*ctr_counter(reg, "a{x=\"1\"}", "ignored") += 1;
	*ctr_counter(reg, "a", "unlabelled") = INT64_MAX;
	text = ctr_text(reg);
	ck_assert_str_eq(text,
	    "# HELP a unlabelled\n# TYPE a counter\n"
	    "a 9223372036854775807\na{x=\"1\"} 1\na{x=\"2\"} 2\n"
	    "# HELP a_b other\n# TYPE a_b gauge\na_b -7\n");
	g_free(text);
	ctr_free(reg);
}
END_TEST

/* An unescaped line break in a HELP text would make the exposition invalid. */
START_TEST(help_is_escaped)
{
	struct ctr_registry *reg = ctr_new();
	char *text;

	ctr_counter(reg, "a", "back\\slash\nnext");
	text = ctr_text(reg);
	ck_assert_str_eq(
	    text, "# HELP a back\\\\slash\\nnext\n# TYPE a counter\na 0\n");
	g_free(text);
	ctr_free(reg);
}
END_TEST

/* Callers keep pointers to values, so adding counters must not move them. */
START_TEST(values_do_not_move)
{
	struct ctr_registry *reg = ctr_new();
	int64_t *first = ctr_counter(reg, "first", "");
	char name[32];
	int i;

	for (i = 0; i < 1000; i++) {
		snprintf(name, sizeof(name), "n%d", i);
		*ctr_counter(reg, name, "") = i;
	}
	*first = 5;
	ck_assert_ptr_eq(ctr_counter(reg, "first", ""), first);
	ck_assert_int_eq(*ctr_gauge(reg, "first", ""), 5);
	ck_assert_int_eq(*ctr_counter(reg, "n999", ""), 999);
	ctr_free(reg);
}
END_TEST

TEST_MAIN(
    "counters", 0, families_are_grouped, help_is_escaped, values_do_not_move)
