#include <check.h>

#include "request/choice.h"
#include "request/slowed.h"
#include "runner.h"

/* Guards against factors that exclude a worker, or outlive their report. */
START_TEST(factors_are_bounded_and_replaced)
{
	struct sld_row rows[] = {
	    {(char *)"a", 2000}, {(char *)"b", 50}, {(char *)"c", 4000000}};
	struct sld sld = {0};

	ck_assert_double_eq(sld_factor(&sld, "a"), 1);
	sld_set(&sld, rows, 3);
	ck_assert_double_eq(sld_factor(&sld, "a"), 2);
	ck_assert_double_eq(sld_factor(&sld, "b"), 1);
	ck_assert_double_eq(sld_factor(&sld, "c"), 4);
	sld_set(&sld, rows, 0);
	ck_assert_double_eq(sld_factor(&sld, "a"), 1);
	sld_clear(&sld);
}
END_TEST

static struct wks_worker *
add_worker(struct wks *workers, const char *name)
{
	struct wks_worker *w = wks_add(workers, NULL);
	struct wks_description d = {.name = name,
	    .incarnation = 1,
	    .service = "s",
	    .failure_domain = "f",
	    .capacity = {1000, 100, 0},
	    .local = true};

	wks_describe(workers, w, &d);
	wks_set_room(w, &d.capacity, true, 0);
	return w;
}

/*
 * Guards against a factor that is not used while another worker has room, and
 * against a task that waits although a worker could take it.
 */
START_TEST(slowed_worker_is_the_last_choice)
{
	struct wks *workers = wks_new();
	struct chc_options opts = {.cross_rack_factor = 1};
	struct chc *chc = chc_new(workers, &opts);
	struct wks_worker *slowed = add_worker(workers, "w1");
	struct wks_worker *other = add_worker(workers, "w2");
	struct sld_row row = {(char *)"q", 1500};
	struct wk_size none = {0};
	struct spd_queue speed = {0};
	struct wk_step step = {.size = {100, 1, 0}, .estimate_ms = 100};
	struct wk_job spec = {.steps = &step, .n_steps = 1};
	struct jt_job job = {.spec = &spec,
	    .queue = (char *)"q",
	    .service = (char *)"s",
	    .speed = &speed};
	struct jt_task task = {.job = &job};
	bool held;

	other->room = (struct wk_size){200, 100, 0};
	ck_assert_ptr_eq(chc_choose(chc, &task, 0, &held), slowed);
	sld_set(&slowed->slowed, &row, 1);
	ck_assert_ptr_eq(chc_choose(chc, &task, 0, &held), other);
	other->room = none;
	ck_assert_ptr_eq(chc_choose(chc, &task, 0, &held), slowed);
	chc_free(chc);
	wks_free(workers);
}
END_TEST

TEST_MAIN("slowed", 0, factors_are_bounded_and_replaced,
    slowed_worker_is_the_last_choice)
