#include <glib.h>

#include "request/retry.h"

#define UNITS_PER_RETRY 100 /* each request adds opts.percent units */

struct retry {
	struct rty_options opts;
	uint64_t budget;
};

/* The budget starts empty. */
struct retry *
rty_new(const struct rty_options *opts)
{
	struct retry *retry = g_new0(struct retry, 1);

	retry->opts = *opts;
	return retry;
}

void
rty_free(struct retry *retry)
{
	g_free(retry);
}

void
rty_count_request(struct retry *retry)
{
	retry->budget = MIN(retry->budget + retry->opts.percent,
	    (uint64_t)retry->opts.burst * UNITS_PER_RETRY);
}

bool
rty_allow(struct retry *retry, const struct rty_attempt *attempt)
{
	if (attempt->outcome == RTY_NOT_STARTED)
		return true;
	if (!attempt->idempotent || attempt->answer_begun ||
	    attempt->attempts >= retry->opts.max_attempts ||
	    retry->budget < UNITS_PER_RETRY)
		return false;
	retry->budget -= UNITS_PER_RETRY;
	return true;
}
