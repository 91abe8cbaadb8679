#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/progress.h"
#include "runner.h"

static const char *const verdicts[] = {
    [PRG_USUAL] = "usual",
    [PRG_STALLED] = "stalled",
    [PRG_TOO_SLOW] = "too slow",
};

static void *
start(void)
{
	return g_new0(struct prg, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct prg *prg = ctx;

	if (strcmp(w[0], "expect") == 0)
		prg_init(prg, atoi(w[1]));
	else if (strcmp(w[0], "projected") == 0)
		g_string_append_printf(actual, "%d", (int)prg->projected_ms);
	else if (strcmp(w[0], "report") == 0)
		g_string_append(
		    actual, verdicts[prg_report(prg, atoi(w[1]), atoi(w[2]))]);
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against tasks that stay on a worker that does not finish them in time,
 * and against stops of runs that do.
 */
REPLAY_MAIN("progress", 0, start, end, step)
