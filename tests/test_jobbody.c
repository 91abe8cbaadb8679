#include <glib.h>
#include <string.h>

#include "platform/job.h"
#include "runner.h"

static const char *
text_or_none(const char *text)
{
	return text == NULL ? "-" : text;
}

/* COUNT:CPU:MEMORY:GPUS:ESTIMATE:LABEL:RACK:MAX_PER_WORKER[<AFTER]... */
static void
append_step(GString *out, const struct wk_step *step)
{
	uint32_t i;

	g_string_append_printf(out, " %u:%d:%d:%d:%d:%s:%s:%u", step->count,
	    (int)step->size.cpu_milli, (int)step->size.memory_mb,
	    (int)step->size.gpus, (int)step->estimate_ms,
	    text_or_none(step->required_label),
	    text_or_none(step->preferred_rack), step->max_per_worker);
	for (i = 0; i < step->n_after; i++)
		g_string_append_printf(out, "<%u", step->after[i]);
}

/* Zero bytes stand as "<0>". */
static void
append_spec(GString *out, GBytes *spec)
{
	gsize i, len;
	const char *data = g_bytes_get_data(spec, &len);

	for (i = 0; i < len; i++) {
		if (data[i] == '\0')
			g_string_append(out, "<0>");
		else
			g_string_append_c(out, data[i]);
	}
}

static char *
decode(const char *text)
{
	struct status st = {.code = ST_OK};
	struct wk_job *job = pjob_decode("id", text, strlen(text), &st);
	GString *out = g_string_new(NULL);
	uint32_t i;

	if (job == NULL) {
		g_string_append_printf(
		    out, "%s: %s", st_name(st.code), st.message);
	} else {
		append_spec(out, job->spec);
		for (i = 0; i < job->n_steps; i++)
			append_step(out, &job->steps[i]);
	}
	wk_job_free(job);
	return g_string_free(out, FALSE);
}

/* A job whose spec is one text, repeated. */
static char *
decode_repeated(const char *text, size_t n)
{
	GString *body = g_string_new("{\"spec\":\"");
	char *got;

	while (n-- > 0)
		g_string_append(body, text);
	g_string_append(
	    body, "\",\"best_effort\":true,\"steps\":[{\"count\":1}]}");
	got = decode(body->str);
	g_string_free(body, TRUE);
	return got;
}

/* A spec has up to 4,000 bytes, however its characters are written. */
START_TEST(length_is_that_of_the_text)
{
	static const struct {
		const char *text;
		size_t most;
	} rows[] = {{"x", 4000}, {"\\u0041", 4000}, {"\\u0000", 4000},
	    {"\xf0\x9f\x98\x80", 1000}, {"\\ud83d\\ude00", 1000}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autofree char *longest =
		    decode_repeated(rows[i].text, rows[i].most);
		g_autofree char *too_long =
		    decode_repeated(rows[i].text, rows[i].most + 1);

		ck_assert_msg(g_str_has_suffix(longest, " 1:0:0:0:0:-:-:0"),
		    "%s", rows[i].text);
		ck_assert_msg(
		    strcmp(too_long,
			"invalid: field \"spec\": length out of range") == 0,
		    "%s, %zu times", rows[i].text, rows[i].most + 1);
	}
}
END_TEST

/*
 * The cases guard against jobs that are run otherwise than they were sent, and
 * against numbers that overflow later.
 */
static char *
run_case(const char *name, const char *input)
{
	(void)name;
	return decode(input);
}

CASES_MAIN("jobbody", run_case, length_is_that_of_the_text)
