#include <glib.h>

#include "request/statedroom.h"
#include "runner.h"

static const struct {
	const char *service;
	int64_t stated_milli;
	int64_t expected_milli;
	bool other;
} rows[] = {
    {"desk", 8000, 8000, false},
    {"desk", 9000, 9000, false},
    {"unnamed", 64000, 9000, true},
    {"desk", 9000, 9000, true},
    {"unnamed", 1000, 1000, true},
    {"desk", 9000, 1000, true},
    {"desk", 9000, 9000, false},
};

/*
 * Guards against starts by the capacity of a heartbeat of another writer, which
 * names another service.
 */
START_TEST(other_service_raises_no_capacity)
{
	struct srm srm = {0};
	struct wk_size capacity;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct wk_size stated = {.cpu_milli = rows[i].stated_milli};

		ck_assert_int_eq(
		    srm_describe(&srm, rows[i].service, &stated, &capacity),
		    rows[i].other);
		ck_assert_int_eq(capacity.cpu_milli, rows[i].expected_milli);
	}
	srm_clear(&srm);
}
END_TEST

TEST_MAIN("statedroom", 0, other_service_raises_no_capacity)
