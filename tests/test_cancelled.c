#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/cancelled.h"
#include "runner.h"

static void *
start(void)
{
	return ccl_new();
}

static void
end(void *ctx)
{
	ccl_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	int64_t now_ms = atoi(w[1]);
	char job[16];
	int i;

	if (strcmp(w[0], "add") == 0) {
		g_string_append(
		    actual, ccl_add(ctx, w[2], now_ms) ? "new" : "known");
	} else if (strcmp(w[0], "has") == 0) {
		g_string_append(
		    actual, ccl_has(ctx, w[2], now_ms) ? "yes" : "no");
	} else if (strcmp(w[0], "fill") == 0) {
		for (i = 0; i < atoi(w[2]); i++) {
			g_snprintf(job, sizeof(job), "fill%d", i);
			ck_assert(ccl_add(ctx, job, now_ms));
		}
	} else {
		ck_abort_msg("unknown command %s", w[0]);
	}
}

/* Guards against a cancel that is passed on for ever, and against its cost. */
REPLAY_MAIN("cancelled", 0, start, end, step)
