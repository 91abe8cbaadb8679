#include <glib.h>

#include "request/retry.h"

#define WHOLE 100 /* budget units of one retry; a request earns percent */

struct retry {
	struct rty_options opts;
	uint64_t budget;
};

/* Makes a budget that starts empty. */
struct retry *
rty_new(const struct rty_options *opts)
{
	struct retry *retry = g_new0(struct retry, 1);

	retry->opts = *opts;
	return retry;
}

/* Frees the budget. */
void
rty_free(struct retry *retry)
{
	g_free(retry);
}

/* Counts a new request, which is no retry itself. */
void
rty_count_request(struct retry *retry)
{
	retry->budget = MIN(retry->budget + retry->opts.percent,
	    (uint64_t)retry->opts.burst * WHOLE);
}

/* Decides whether an attempt with this outcome may be followed by another. */
bool
rty_allow(struct retry *retry, const struct rty_attempt *attempt)
{
	if (attempt->outcome == RTY_NOT_STARTED)
		return true;
	if (!attempt->idempotent || attempt->answer_begun ||
	    attempt->attempts >= retry->opts.max_attempts ||
	    retry->budget < WHOLE)
		return false;
	retry->budget -= WHOLE;
	return true;
}
