#include <check.h>
#include <glib.h>

#include "request/overlap.h"
#include "runner.h"

static void
count_renumbered(uint32_t queue, void *ctx)
{
	(void)queue;
	++*(int *)ctx;
}

static struct ovl *
overlap_new(int *renumbered)
{
	struct ovl_options opts = {
	    .renumbered = count_renumbered, .ctx = renumbered};

	*renumbered = 0;
	return ovl_new(&opts);
}

/* Guards against concurrency that is counted beyond the run, or for itself. */
START_TEST(mean_over_the_run)
{
	int n;
	struct ovl *ovl = overlap_new(&n);
	struct itf_run run;

	ovl_start(ovl, "j1.0.0.0", "a", 0);
	ovl_start(ovl, "j1.0.0.1", "a", 0);
	ovl_start(ovl, "j2.0.0.0", "b", 60);
	ck_assert_uint_eq(ovl_active(ovl, "a"), 2);
	ck_assert(ovl_end(ovl, "j2.0.0.0", 80, &run));
	ck_assert_double_eq_tol(run.exposure[0], itf_exposure(2), 1e-9);
	ck_assert(ovl_end(ovl, "j1.0.0.0", 100, &run));
	ck_assert_double_eq_tol(run.exposure[1], 0.2, 1e-9);
	ck_assert_double_eq_tol(run.exposure[run.queue], 0, 1e-9);
	ck_assert_double_eq_tol(run.weight, 1, 1e-9);
	/* Another run of the job shares the error of its estimate. */
	ck_assert(ovl_end(ovl, "j1.0.0.1", 200, &run));
	ck_assert_double_eq_tol(run.exposure[1], 0.1, 1e-9);
	ck_assert_double_eq_tol(run.weight, 0.5, 1e-9);
	ck_assert_uint_eq(ovl_active(ovl, "a"), 0);
	ovl_free(ovl);
}
END_TEST

/* Guards against a run time that includes a start without an answer. */
START_TEST(repeated_starts_are_not_measured)
{
	int n;
	struct ovl *ovl = overlap_new(&n);
	struct itf_run run;

	ovl_start(ovl, "j1.0.0.0", "a", 0);
	ovl_start(ovl, "j1.0.0.0", "a", 50);
	ck_assert_uint_eq(ovl_active(ovl, "a"), 1);
	ck_assert(!ovl_end(ovl, "j1.0.0.0", 100, &run));
	ck_assert_uint_eq(ovl_active(ovl, "a"), 0);
	ck_assert(!ovl_end(ovl, "never.0.0.0", 100, &run));
	ovl_free(ovl);
}
END_TEST

/* Guards against more queues than numbers, which must not displace each other. */
START_TEST(queues_are_bounded)
{
	int n, i;
	struct ovl *ovl = overlap_new(&n);
	struct itf_run run;

	for (i = 0; i <= ITF_QUEUES; i++) {
		g_autofree char *queue = g_strdup_printf("q%d", i);
		g_autofree char *task = g_strdup_printf("j%d.0.0.0", i);

		ovl_start(ovl, task, queue, i);
		ck_assert(ovl_end(ovl, task, i + 1, &run) == (i < ITF_QUEUES));
	}
	ck_assert_int_eq(n, 0);
	ovl_start(ovl, "late.0.0.0", "late", 60000);
	ck_assert_int_eq(n, 1);
	ck_assert_str_eq(ovl_queue(ovl, 0), "late");
	ovl_free(ovl);
}
END_TEST

TEST_MAIN("overlap", 0, mean_over_the_run, repeated_starts_are_not_measured,
    queues_are_bounded)
