#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/linkdelay.h"
#include "runner.h"

#define MAX_MS 800

static void *
start(void)
{
	return g_new0(struct ldl, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	if (strcmp(w[0], "fastest") == 0) {
		g_string_append_printf(actual, "%d", (int)ldl_fastest_ms(ctx));
		return;
	}
	ck_assert_str_eq(w[0], "message");
	g_string_append_printf(actual, "%d",
	    (int)ldl_measure(ctx, atoi(w[1]), atoi(w[2]), MAX_MS));
}

/* Guards against starts that are executed long after they were sent. */
REPLAY_MAIN("linkdelay", 0, start, end, step)
