#include <string.h>

#include "request/retry.h"
#include "runner.h"

static void *
start(void)
{
	struct rty_options opts = {
	    .percent = 10, .burst = 2, .max_attempts = 3};

	return rty_new(&opts);
}

static void
end(void *ctx)
{
	rty_free(ctx);
}

/* requests N; attempt not_started|unknown ATTEMPTS [idempotent] [begun] */
static void
step(void *ctx, char **words, GString *actual)
{
	struct rty_attempt attempt = {.outcome = RTY_UNKNOWN};
	int i;

	if (strcmp(words[0], "requests") == 0) {
		for (i = 0; i < atoi(words[1]); i++)
			rty_count_request(ctx);
		return;
	}
	if (strcmp(words[1], "not_started") == 0)
		attempt.outcome = RTY_NOT_STARTED;
	attempt.attempts = (uint32_t)atoi(words[2]);
	for (i = 3; words[i] != NULL; i++) {
		if (strcmp(words[i], "idempotent") == 0)
			attempt.idempotent = true;
		else
			attempt.answer_begun = true;
	}
	g_string_append(actual, rty_allow(ctx, &attempt) ? "yes" : "no");
}

/* Each case says which failure it guards against. */
REPLAY_MAIN("retry", 0, start, end, step)
