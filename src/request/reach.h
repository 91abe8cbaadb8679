#ifndef SP_REACH_H
#define SP_REACH_H

#include <stdbool.h>
#include <stdint.h>

#include "request/workerset.h"

/*
 * Whether a service has workers for a new job.  Addresses the return of power:
 * jobs arrive while the entry knows workers, but has no connection to any yet.
 * Reads no clock.
 */
enum rch_result {
	RCH_USABLE,
	RCH_EXPECTED, /* none is usable, but one is expected soon */
	RCH_NONE,     /* no worker of the service is usable */
	RCH_TOO_LARGE /* a step needs more than any known worker has */
};

struct rch_query {
	const struct wks *workers;
	const char *service;
	const struct wk_job *job;
	/*
	 * Workers with the labels that the steps require exist, although none
	 * may be connected yet.
	 */
	bool workers_known;
	int64_t age_ms; /* of the process */
	/*
	 * So long after the start of the process, workers that are described,
	 * but not usable, are expected.
	 */
	int64_t startup_wait_ms;
};

enum rch_result rch_check(const struct rch_query *query, int64_t now_ms);

#endif
