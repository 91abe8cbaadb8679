#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/peerclock.h"
#include "runner.h"

static void *
start(void)
{
	return g_new0(struct pcl, 1);
}

static void
end(void *ctx)
{
	g_free(ctx);
}

static void
step(void *ctx, char **w, GString *actual)
{
	int64_t now_ms = g_ascii_strtoll(w[1], NULL, 10);

	if (strcmp(w[0], "receive") == 0) {
		if (pcl_receive(ctx, g_ascii_strtoll(w[2], NULL, 10), now_ms) <
		    0)
			g_string_append(actual, "refused");
		return;
	}
	ck_assert_str_eq(w[0], "estimate");
	g_string_append_printf(
	    actual, "%" G_GINT64_FORMAT, pcl_estimate_ms(ctx, now_ms));
}

/* Guards against runs that outlive the time at which their entry was heard. */
REPLAY_MAIN("peerclock", 0, start, end, step)
