#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "request/blame.h"
#include "runner.h"

#define MAX_SUSPECTS 8

struct trace {
	struct blm *blm;
	int64_t now_ms;
};

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->blm = blm_new();
	return t;
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	blm_free(t->blm);
	g_free(t);
}

/* crash AGENT ID AT TASK=WEIGHT[?]... */
static void
crash(struct trace *t, char **w)
{
	struct crl_suspect suspects[MAX_SUSPECTS];
	struct crl_crash crash = {
	    .id = (uint64_t)atoi(w[2]),
	    .crashed_ms = atoi(w[3]),
	    .suspects = suspects,
	};
	char queues[MAX_SUSPECTS][2];
	int i;

	for (i = 0; w[4 + i] != NULL; i++) {
		char *weight = strchr(w[4 + i], '=');

		ck_assert_int_lt(i, MAX_SUSPECTS);
		*weight++ = '\0';
		queues[i][0] = w[4 + i][0];
		queues[i][1] = '\0';
		suspects[i] = (struct crl_suspect){
		    .task = w[4 + i],
		    .queue = queues[i],
		    .weight_permille = (uint32_t)atoi(weight),
		    .started = strchr(weight, '?') == NULL,
		};
	}
	crash.n_suspects = (size_t)i;
	blm_report(t->blm, w[1], &crash, t->now_ms);
}

static void
settle(struct trace *t, char **w, enum crl_state state)
{
	struct crl_crash crash = {.id = (uint64_t)atoi(w[2]), .state = state};

	blm_report(t->blm, w[1], &crash, t->now_ms);
}

static void
step(void *ctx, char **w, GString *actual)
{
	static const char *const statuses[] = {
	    "clear", "suspect", "pending", "poison"};
	struct trace *t = ctx;

	if (strcmp(w[0], "at") == 0)
		t->now_ms = atoi(w[1]);
	else if (strcmp(w[0], "crash") == 0)
		crash(t, w);
	else if (strcmp(w[0], "confirm") == 0)
		settle(t, w, CRL_CONFIRMED);
	else if (strcmp(w[0], "withdraw") == 0)
		settle(t, w, CRL_WITHDRAWN);
	else if (strcmp(w[0], "done") == 0)
		blm_record_done(t->blm, w[1]);
	else if (strcmp(w[0], "status") == 0)
		g_string_append(
		    actual, statuses[blm_status_of(t->blm, w[1], t->now_ms)]);
	else if (strcmp(w[0], "share") == 0) {
		struct blm_share share =
		    blm_share_of(t->blm, w[1], 0, t->now_ms);

		g_string_append_printf(actual, "%d of %d",
		    (int)lround(share.caused * 10),
		    (int)lround(share.all * 10));
	} else if (strcmp(w[0], "needed") == 0)
		g_string_append(actual, blm_is_needed(t->blm) ? "yes" : "no");
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against blaming the wrong queue for crashed workers, and against
 * giving up a task that has not crashed two of them.
 */
REPLAY_MAIN("blame", 0, start, end, step)
