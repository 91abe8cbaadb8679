#include "connection/workerlease.h"
#include "runner.h"

/* A worker must not be taken as empty before its slow clock ends the lease. */
START_TEST(end_is_counted_with_a_slow_clock)
{
	struct wls lease = {.lease_ms = 500, .granted_ms = 1000};

	wls_adopt(&lease, 7000, 100);
	ck_assert_int_eq(wls_last_end_ms(&lease), 0);
	ck_assert_int_eq(wls_extend(&lease, 300), 7000 + 200 + 500);
	ck_assert_int_ge(wls_last_end_ms(&lease), 300 + 500 * 102 / 100);
	ck_assert(wls_is_long(&lease, 400));
	ck_assert(!wls_is_long(&lease, 700));
	wls_drop(&lease);
	ck_assert_int_eq(wls_last_end_ms(&lease), 0);
}
END_TEST

/* An answer that was overtaken ended a lease earlier than it had to. */
START_TEST(clock_is_not_taken_back)
{
	struct wls lease = {.lease_ms = 500, .granted_ms = 500};

	wls_adopt(&lease, 7000, 100);
	wls_read_clock(&lease, 7100, 200);
	wls_read_clock(&lease, 7050, 300);
	ck_assert_int_eq(wls_clock_ms(&lease, 300), 7200);
}
END_TEST

/*
 * A start meant for the former incarnation gives the present one a lease of any
 * length; its runs must not be taken as over before that.
 */
START_TEST(stray_lease_is_counted_until_another_worker_is_followed)
{
	struct wls lease = {.lease_ms = 500, .granted_ms = 1000};

	wls_adopt(&lease, 0, 0);
	wls_record_stray(&lease, 0);
	wls_extend(&lease, 0);
	ck_assert_int_ge(wls_last_end_ms(&lease), 1000);
	wls_adopt(&lease, 0, 10);
	ck_assert_int_ge(wls_last_end_ms(&lease), 1000);
	wls_drop(&lease);
	wls_extend(&lease, 10);
	ck_assert_int_lt(wls_last_end_ms(&lease), 1000);
}
END_TEST

TEST_MAIN("workerlease", 0, end_is_counted_with_a_slow_clock,
    clock_is_not_taken_back,
    stray_lease_is_counted_until_another_worker_is_followed)
