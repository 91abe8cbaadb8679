#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "runner.h"
#include "version/formerroutes.h"

static void *
start(void)
{
	return frt_new();
}

static void
end(void *ctx)
{
	frt_free(ctx);
}

static struct rts *
parse_routes(const char *text)
{
	g_auto(GStrv) words =
	    g_strsplit(strcmp(text, "-") == 0 ? "" : text, ",", 0);
	struct rts_options opts = {.n_queues = g_strv_length(words)};
	size_t i;

	opts.queues = g_new0(struct rts_queue, opts.n_queues + 1);
	for (i = 0; i < opts.n_queues; i++) {
		g_auto(GStrv) parts = g_strsplit(words[i], "|", 2);

		opts.queues[i].name = g_strdup(words[i]);
		opts.queues[i].service = g_strdup("s");
		opts.queues[i].host = g_strdup(parts[0]);
		opts.queues[i].prefix = g_strdup(parts[1]);
	}
	return rts_new(&opts);
}

/* Removes the routes a.b|/0/, a.b|/1/ and so on. */
static void
replace_many(struct frt *frt, int n, int64_t now_ms)
{
	g_autoptr(GString) text = g_string_new("a.b|/0/");
	struct rts *former, *none = parse_routes("-");
	int i;

	for (i = 1; i < n; i++)
		g_string_append_printf(text, ",a.b|/%d/", i);
	former = parse_routes(text->str);
	frt_replace(frt, former, none, now_ms);
	rts_unref(former);
	rts_unref(none);
}

static void
step(void *ctx, char **w, GString *actual)
{
	int64_t now_ms = atoi(w[1]);

	if (strcmp(w[0], "replace") == 0) {
		struct rts *former = parse_routes(w[2]);
		struct rts *present = parse_routes(w[3]);

		frt_replace(ctx, former, present, now_ms);
		rts_unref(former);
		rts_unref(present);
	} else if (strcmp(w[0], "has") == 0) {
		g_string_append(actual,
		    frt_has(ctx, w[2], w[3], w[4], now_ms) ? "yes" : "no");
	} else if (strcmp(w[0], "many") == 0) {
		replace_many(ctx, atoi(w[2]), now_ms);
	} else if (strcmp(w[0], "complete") == 0) {
		g_string_append(
		    actual, frt_is_complete(ctx, now_ms) ? "yes" : "no");
	} else {
		ck_abort_msg("unknown command %s", w[0]);
	}
}

/* Guards against a job that can't be cancelled since its route was removed. */
REPLAY_MAIN("formerroutes", 0, start, end, step)
