#include <glib.h>

#include "process/histogram.h"
#include "runner.h"

/* Non-cumulative buckets or a wrong bound would distort every percentile. */
START_TEST(buckets_are_cumulative)
{
	struct ctr_registry *reg = ctr_new();
	struct hst *h = hst_new(reg, "t_ms", "Time.");
	g_autofree char *text = NULL;

	hst_add(h, 50);
	hst_add(h, 51);
	hst_add(h, 99999);
	text = ctr_text(reg);
	ck_assert_ptr_nonnull(strstr(text, "t_ms_bucket{le=\"25\"} 0\n"));
	ck_assert_ptr_nonnull(strstr(text, "t_ms_bucket{le=\"50\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(text, "t_ms_bucket{le=\"6400\"} 2\n"));
	ck_assert_ptr_nonnull(strstr(text, "t_ms_bucket{le=\"+Inf\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(text, "t_ms_count 3\n"));
	ck_assert_ptr_nonnull(strstr(text, "t_ms_sum 100100\n"));
	hst_free(h);
	ctr_free(reg);
}
END_TEST

TEST_MAIN("histogram", 0, buckets_are_cumulative)
