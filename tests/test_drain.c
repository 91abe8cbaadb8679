#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/drain.h"
#include "runner.h"

static void *
start(void)
{
	return g_new0(struct drn, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
show(GString *actual, bool value)
{
	g_string_append(actual, value ? "yes" : "no");
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct drn *drn = ctx;

	if (strcmp(w[0], "limit") == 0)
		drn->limit_ms = atoi(w[1]);
	else if (strcmp(w[0], "begin") == 0)
		drn_begin(drn, atoi(w[1]));
	else if (strcmp(w[0], "accepts") == 0)
		show(actual, drn_accepts(drn, atoi(w[1]), atoi(w[2])));
	else if (strcmp(w[0], "late") == 0)
		show(actual, drn_is_late(drn, atoi(w[1])));
	else if (strcmp(w[0], "ends") == 0)
		show(actual, drn_tick(drn, (uint32_t)atoi(w[1]), atoi(w[2])));
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against a shutdown that refuses jobs which it could serve, or that ends
 * before the jobs that it accepted are answered.
 */
REPLAY_MAIN("drain", 0, start, end, step)
