#ifndef SP_RETRY_H
#define SP_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What may run again.  A start that is proved not to have happened always
 * may.  A start with an unknown outcome may only for an idempotent request
 * and within the retry budget, so that retries can't multiply an overload.
 */
struct retry;

struct rty_options {
	uint32_t percent; /* of requests */
	uint32_t burst;	  /* retries saved up at most */
	uint32_t max_attempts;
};

enum rty_outcome { RTY_NOT_STARTED, RTY_UNKNOWN };

struct rty_attempt {
	enum rty_outcome outcome;
	bool idempotent;
	bool answer_begun; /* bytes went to the caller */
	uint32_t attempts; /* starts so far */
};

struct retry *rty_new(const struct rty_options *opts);
void rty_free(struct retry *retry);
/* Counts a request and earns its share of a retry. */
void rty_count_request(struct retry *retry);
/* Spends budget when the answer is true for RTY_UNKNOWN. */
bool rty_allow(struct retry *retry, const struct rty_attempt *attempt);

#endif
