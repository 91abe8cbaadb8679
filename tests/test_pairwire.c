#include <check.h>
#include <math.h>

#include "connection/pairwire.h"
#include "request/slowed.h"
#include "runner.h"

#define ROW .queue = (char *)"a", .other = (char *)"b", .variance_micro = 10000

static const struct {
	run_pair pair;
	bool valid;
} rows[] = {
    {{ROW, .mean_micro = 693147}, true},
    {{ROW, .mean_micro = -2079441, .age_ms = 3600000}, true},
    {{ROW, .mean_micro = 2100000}, false},
    {{ROW, .age_ms = -1}, false},
    {{ROW, .age_ms = INT64_MAX}, false},
    {{.queue = (char *)"a", .other = (char *)"b"}, false},
    {{.queue = (char *)"a", .other = (char *)"a", .variance_micro = 1}, false},
    {{.queue = (char *)"", .other = (char *)"b", .variance_micro = 1}, false},
};

/* Guards against rows of an agent or entry that would break the estimates. */
START_TEST(rows_out_of_range_are_ignored)
{
	struct itf_row row;
	run_pair again;

	ck_assert(pwr_from_wire(&rows[_i].pair, &row) == rows[_i].valid);
	if (!rows[_i].valid)
		return;
	pwr_to_wire(&row, &again);
	ck_assert_int_eq(again.mean_micro, rows[_i].pair.mean_micro);
	ck_assert_uint_eq(again.variance_micro, rows[_i].pair.variance_micro);
}
END_TEST

/*
 * Guards against messages without rows, against more than are needed, and
 * against rows of a list of several messages that agents drop (after 15 s)
 * before they are sent again.
 */
START_TEST(messages_are_paced)
{
	struct pwr_pace pace = {0};

	ck_assert(!pwr_is_due(&pace, 0, 100000));
	ck_assert(pwr_is_due(&pace, 1, 100000));
	pwr_record_sent(&pace, 1, 100000);
	ck_assert(!pwr_is_due(&pace, 1, 101000));
	ck_assert(pwr_is_due(&pace, 2, 101000));
	ck_assert(pwr_is_due(&pace, 1, 105000));
	pwr_record_sent(&pace, RUN_PAIRS_MAX, 105000);
	ck_assert(!pwr_is_due(&pace, RUN_PAIRS_MAX, 106000));
	ck_assert(pwr_is_due(&pace, RUN_PAIRS_MAX, 107000));
}
END_TEST

ROWS_MAIN("pairwire", 0, sizeof(rows) / sizeof(rows[0]),
    rows_out_of_range_are_ignored, messages_are_paced)
