/*
 * A worker's answers to starts, stops and holds, which must not change what an
 * agent knows of its runs if they are malformed or out of range.
 */
#include <glib.h>
#include <string.h>

#include "platform/workeranswer.h"
#include "process/fields.h"
#include "refusalcount.h"
#include "runner.h"

static const char *const verdicts[] = {
    [WP_DONE] = "done",
    [WP_STALE_RUN] = "stale_run",
    [WP_DEADLINE_PASSED] = "deadline_passed",
    [WP_FENCED] = "fenced",
    [WP_REFUSED] = "refused",
    [WP_REPLACED] = "replaced",
    [WP_NO_ANSWER] = "no_answer",
};

static const char *const end_kinds[] = {
    [WP_ENDED_DONE] = "done",
    [WP_ENDED_FAILED] = "failed",
    [WP_ENDED_STOPPED] = "stopped",
    [WP_ENDED_LEASE_EXPIRED] = "lease_expired",
};

static void
append_answer(const struct wp_answer *answer, void *ctx)
{
	GString *out = ctx;

	g_string_append_printf(out, "%s clock %" G_GINT64_FORMAT,
	    verdicts[answer->verdict], answer->clock_ms);
	if (answer->reason != NULL)
		g_string_append_printf(out, " (%s)", answer->reason);
}

static void
append_report(const struct wp_report *report, void *ctx)
{
	GString *out = ctx;
	size_t i;

	append_answer(&report->answer, out);
	g_string_append_printf(
	    out, " born %" G_GUINT64_FORMAT, report->born_ms);
	for (i = 0; i < report->n_running; i++)
		g_string_append_printf(out, " %s/%d:%d%%",
		    report->running[i].task, (int)report->running[i].run,
		    (int)report->running[i].percent);
	for (i = 0; i < report->n_ended; i++)
		g_string_append_printf(out, " %d=%s/%d:%s",
		    (int)report->ended[i].number, report->ended[i].task,
		    (int)report->ended[i].run,
		    end_kinds[report->ended[i].end_kind]);
}

/* The first line is "start" or "hold", and the HTTP status. */
static char *
run_case(const char *name, const char *input)
{
	const char *body = strchr(input, '\n') + 1;
	struct ctr_registry *counters = ctr_new();
	struct rfl refused = {.counters = counters, .source = "worker"};
	struct ph_answer http = {
	    .code = strtol(strchr(input, ' '), NULL, 10),
	    .body = fld_parse(body, strlen(body), NULL),
	};
	GString *out = g_string_new(NULL);

	(void)name;
	if (g_str_has_prefix(input, "start"))
		pwa_answer(&http, &refused, append_answer, out);
	else
		pwa_report(&http, &refused, append_report, out);
	rfc_append(out, counters);
	json_object_put(http.body);
	ctr_free(counters);
	return g_string_free(out, FALSE);
}

CASES_MAIN("workeranswer", run_case)
