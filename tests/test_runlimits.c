#include <stdlib.h>
#include <string.h>

#include "request/runlimits.h"
#include "runner.h"

static void *
start(void)
{
	struct rlm_options opts = {
	    .max_runs = 6,
	    .max_calls = 2,
	    .max_queued = 8,
	    .max_session_queued = 3,
	};

	return rlm_new(&opts);
}

static void
end(void *ctx)
{
	rlm_free(ctx);
}

static const char *
verdict_name(enum rlm_verdict verdict)
{
	static const char *const names[] = {[RLM_MAY_START] = "may",
	    [RLM_SESSION_FULL] = "session_full",
	    [RLM_FULL] = "full"};

	return names[verdict];
}

/* COMMAND [SESSION [N]]; most commands are carried out N times, once if not given. */
static void
step(void *ctx, char **w, GString *actual)
{
	uint64_t session = w[1] == NULL ? 0 : strtoull(w[1], NULL, 10);
	int n = w[1] == NULL || w[2] == NULL ? 1 : atoi(w[2]);

	if (strcmp(w[0], "limit") == 0) {
		g_string_append_printf(actual, "%d",
		    (int)rlm_start_limit(ctx, session, (uint32_t)n));
		return;
	}
	for (; n > 0; n--) {
		if (strcmp(w[0], "receive") == 0) {
			if (!rlm_receive(ctx, session))
				g_string_append(actual, "refused");
			else
				rlm_queue(ctx, session);
		} else if (strcmp(w[0], "run") == 0) {
			rlm_begin_run(ctx, session);
			rlm_unqueue(ctx, session);
		} else if (strcmp(w[0], "ended") == 0)
			rlm_end_run(ctx, session);
		else if (strcmp(w[0], "unqueue") == 0)
			rlm_unqueue(ctx, session);
		else if (strcmp(w[0], "close") == 0)
			rlm_end_session(ctx, session);
		else if (strcmp(w[0], "check") == 0)
			g_string_append(actual,
			    verdict_name(rlm_check_start(ctx, session)));
		else if (strcmp(w[0], "call") == 0)
			rlm_start_called(ctx);
		else if (strcmp(w[0], "answered") == 0)
			rlm_start_answered(ctx);
		else
			ck_abort_msg("unknown command %s", w[0]);
	}
}

/*
 * Guards against an agent that holds something for each task that its entries
 * would like to start, and against an entry that takes all places.
 */
REPLAY_MAIN("runlimits", 0, start, end, step)
