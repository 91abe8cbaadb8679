#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/progress.h"
#include "runner.h"

static const char *const verdicts[] = {
    [PGR_USUAL] = "usual",
    [PGR_STALLED] = "stalled",
    [PGR_TOO_SLOW] = "too slow",
};

static void *
start(void)
{
	return g_new0(struct pgr, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct pgr *pgr = ctx;

	if (strcmp(w[0], "expect") == 0)
		pgr_init(pgr, atoi(w[1]));
	else if (strcmp(w[0], "projected") == 0)
		g_string_append_printf(actual, "%d", (int)pgr->projected_ms);
	else if (strcmp(w[0], "report") == 0)
		g_string_append(
		    actual, verdicts[pgr_report(pgr, atoi(w[1]), atoi(w[2]))]);
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against tasks that stay on a worker that does not finish them in time,
 * and against stops of runs that do.
 */
REPLAY_MAIN("progress", 0, start, end, step)
