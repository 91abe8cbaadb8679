#include <glib.h>
#include <string.h>

#include "request/jobform.h"
#include "runner.h"

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
static char *
run_case(const char *name, const char *input)
{
	(void)name;
	return parse(input);
}

CASES_MAIN("jobform", run_case)
