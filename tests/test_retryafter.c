#include "request/retryafter.h"
#include "runner.h"

#define N 1000

/*
 * Load: many callers are refused in a burst.  Guards against their return as a
 * burst: whatever their number, each second gets its share.
 */
START_TEST(callers_are_spread_over_the_drain_time)
{
	struct rta rta = {.phase = 12345};
	int i, counts[6] = {0};

	for (i = 1; i <= N; i++) {
		int64_t ms = rta_next_ms(&rta, 4500);

		ck_assert_int_eq(ms % 1000, 0);
		ck_assert(ms >= 1000 && ms <= 5000);
		counts[ms / 1000]++;
		ck_assert_int_le(counts[ms / 1000], i / 5 + 2);
	}
}
END_TEST

/* Failure: a drain time that is not known, or makes no sense. */
START_TEST(retry_is_between_1_and_30_s)
{
	static const int64_t drains_ms[] = {
	    INT64_MIN, -1, 0, 1, 999, 1000, 1001, INT32_MAX, INT64_MAX};
	struct rta rta = {0};
	size_t i;

	for (i = 0; i < sizeof(drains_ms) / sizeof(drains_ms[0]); i++) {
		int64_t ms = rta_next_ms(&rta, drains_ms[i]);

		ck_assert(ms >= 1000 && ms <= 30000);
		ck_assert(drains_ms[i] > 1000 || ms == 1000);
	}
}
END_TEST

TEST_MAIN("retryafter", 0, callers_are_spread_over_the_drain_time,
    retry_is_between_1_and_30_s)
