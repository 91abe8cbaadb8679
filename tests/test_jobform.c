#include <glib.h>
#include <string.h>

#include "request/jobform.h"
#include "runner.h"

#define CASES "tests/cases/jobform.txt"

static const struct text_case *cases;

static void
append_bytes(GString *out, GBytes *bytes)
{
	gsize i, len;
	const char *data = g_bytes_get_data(bytes, &len);

	for (i = 0; i < len; i++) {
		if (data[i] == '\0')
			g_string_append(out, "<0>");
		else
			g_string_append_c(out, data[i]);
	}
}

/* SERVICE TEAM DEADLINE_MS PAYLOAD..., or the reason of the refusal. */
static char *
parse(const char *text)
{
	const struct jf_limits limits = {
	    .max_tasks = 4, .max_payload_bytes = 1000};
	struct status why = {.message = ""};
	struct jf_submission *form = NULL;
	GString *out = g_string_new(NULL);
	enum ref_code code = jf_parse(text, strlen(text), &limits, &form, &why);
	uint32_t i;

	if (code != REF_NONE) {
		ck_assert_ptr_null(form);
		g_string_append_printf(out, "%s: %s",
		    code == REF_TOO_DEEP ? "too deep" : "refused", why.message);
		return g_string_free(out, FALSE);
	}
	g_string_append_printf(
	    out, "%s %s %d", form->service, form->team, (int)form->deadline_ms);
	for (i = 0; i < form->n_tasks; i++) {
		g_string_append_c(out, ' ');
		append_bytes(out, form->tasks[i].payload);
	}
	jf_free(form);
	return g_string_free(out, FALSE);
}

/*
 * The cases guard against tasks that start with another payload, or for another
 * service, than the caller sent.
 */
START_TEST(one_case)
{
	const struct text_case *c = &cases[_i];
	g_autofree char *got = parse(c->input);

	ck_assert_msg(strcmp(got, c->expected) == 0,
	    "%s: got \"%s\", expected \"%s\"", c->name, got, c->expected);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("jobform");
	size_t n;

	cases = casefile_load(CASES, &n);
	tcase_add_loop_test(tc, one_case, 0, (int)n);
	return run_tcase("jobform", tc, 0);
}
