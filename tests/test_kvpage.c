/*
 * Answers of the platform's store to lists and watches, which must not reach a
 * copy if they are malformed or out of range.
 */
#include <glib.h>
#include <string.h>

#include "platform/kvpage.h"
#include "process/fields.h"
#include "refusalcount.h"
#include "runner.h"

static void
append_page(const struct status *st, const struct ks_page *page, void *ctx)
{
	GString *out = ctx;
	size_t i;

	if (page == NULL) {
		g_string_append_printf(
		    out, "%s: %s", st_name(st->code), st->message);
		return;
	}
	g_string_append_printf(out, "as_of %" G_GINT64_FORMAT "%s", page->as_of,
	    page->has_more ? " has_more" : "");
	for (i = 0; i < page->n_items; i++) {
		const struct ks_item *item = &page->items[i];

		g_string_append_printf(
		    out, " %s@%" G_GINT64_FORMAT, item->key, item->revision);
		if (item->data != NULL)
			g_string_append_printf(
			    out, "=%.*s", (int)item->len, item->data);
	}
}

/* The first line is "list" or "watch", and the HTTP status. */
static char *
run_case(const char *name, const char *input)
{
	const char *body = strchr(input, '\n') + 1;
	struct ctr_registry *counters = ctr_new();
	struct kvp_request request = {
	    .prefix = "op/",
	    .is_watch = g_str_has_prefix(input, "watch"),
	    .pages = {.counters = counters, .source = "store_page"},
	    .items = {.counters = counters, .source = "store_item"},
	};
	struct ph_answer answer = {
	    .code = strtol(strchr(input, ' '), NULL, 10),
	    .body = fld_parse(body, strlen(body), NULL),
	};
	GString *out = g_string_new(NULL);

	(void)name;
	kvp_deliver(&request, &answer, append_page, out);
	rfc_append(out, counters);
	json_object_put(answer.body);
	ctr_free(counters);
	return g_string_free(out, FALSE);
}

CASES_MAIN("kvpage", run_case)
