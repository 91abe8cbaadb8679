#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/slowness.h"
#include "runner.h"

struct trace {
	struct slw slw;
	int64_t now_ms;
};

static void *
start(void)
{
	return g_new0(struct trace, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

/*
 * run N RUN_MS NOMINAL_MS: N runs in a row; slowness FROM TO: shows whether the
 * permille lie in that range, and the figure if not.
 */
static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;
	int i;

	if (strcmp(w[0], "at") == 0)
		t->now_ms = atoi(w[1]);
	else if (strcmp(w[0], "run") == 0)
		for (i = 0; i < atoi(w[1]); i++)
			slw_measure(&t->slw, atoi(w[2]), atoi(w[3]), t->now_ms);
	else if (strcmp(w[0], "slowness") == 0) {
		uint32_t permille = slw_permille(&t->slw, t->now_ms);

		if (permille >= (uint32_t)atoi(w[1]) &&
		    permille <= (uint32_t)atoi(w[2]))
			g_string_append(actual, "yes");
		else
			g_string_append_printf(actual, "%u", permille);
	} else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against entries that each must learn by their own tasks that a worker
 * has turned slow, and against a worker that is avoided for ever.
 */
REPLAY_MAIN("slowness", 0, start, end, step)
