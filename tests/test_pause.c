#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/pause.h"
#include "runner.h"

static void *
start(void)
{
	return g_new0(struct pau, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	if (strcmp(w[0], "tick") == 0) {
		pau_tick(ctx, atoi(w[1]));
		return;
	}
	ck_assert_str_eq(w[0], "noticed");
	g_string_append_printf(
	    actual, "%d", (int)pau_noticed_ms(ctx, atoi(w[1])));
}

/*
 * Guards against runs that outlive their job's caller, whose leaving an entry
 * noticed only after a pause.
 */
REPLAY_MAIN("pause", 0, start, end, step)
