#ifndef SP_RETRY_H
#define SP_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which tasks may be started again.  A start that certainly did not
 * happen always may.  A start with an unknown outcome may only for an
 * idempotent request and within the retry budget, so that retries can't
 * multiply an overload.
 */
struct retry;

struct rty_options {
	uint32_t percent;      /* of requests that may be retried */
	uint32_t burst;	       /* limit of retries saved up */
	uint32_t max_attempts; /* limits retries after an unknown outcome */
};

enum rty_outcome { RTY_NOT_STARTED, RTY_UNKNOWN };

struct rty_attempt {
	enum rty_outcome outcome;
	bool idempotent;
	bool answer_begun; /* bytes were sent to the caller */
	uint32_t attempts; /* starts so far */
};

struct retry *rty_new(const struct rty_options *opts);
void rty_free(struct retry *retry);
/* Counts a new request, which adds its share of a retry to the budget. */
void rty_count_request(struct retry *retry);
/*
 * Whether the attempt may be followed by another.  Spends budget when it
 * returns true for RTY_UNKNOWN.
 */
bool rty_allow(struct retry *retry, const struct rty_attempt *attempt);

#endif
