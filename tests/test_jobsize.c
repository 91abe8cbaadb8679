#include <glib.h>
#include <string.h>

#include "connection/run_xdr.h"
#include "request/jobsize.h"
#include "runner.h"

#define N_WORKERS 3
#define WITHIN_MS 1000

static const struct jsz_options options = {
    .max_open_tasks = 1000, .max_runs = 100, .large_tasks = 150};

/* Three workers of 8 cores; the last is of another service. */
static struct wks *
make_workers(bool all_described)
{
	struct wks *workers = wks_new();
	int i;

	for (i = 0; i < N_WORKERS; i++) {
		struct wks_worker *w = wks_add(workers, NULL);
		struct wks_description d = {.name = "w",
		    .incarnation = 1,
		    .service = i == 2 ? "other" : "desk",
		    .failure_domain = "z",
		    .capacity = {.cpu_milli = 8000, .memory_mb = 4096}};

		if (all_described || i > 0)
			wks_describe(workers, w, &d);
	}
	return workers;
}

static const struct {
	const char *name;
	uint32_t count;
	int64_t cpu_milli;
	int64_t estimate_ms;
	uint64_t open_tasks;
	bool undescribed;
	const char *reason; /* part of it, NULL: none */
} rows[] = {
    {"fits at once", 16, 1000, 9000, 0, false, NULL},
    {"in turns, in time", 640, 1000, 100, 0, false, NULL},
    {"in turns, too long", 656, 1000, 100, 0, false, "in time"},
    {"small tasks are bounded by their number", 200, 2, 9000, 0, false, NULL},
    {"too many small tasks", 201, 2, 2001, 0, false, "in time"},
    {"of a usual size", 150, 8000, 9000, 0, false, NULL},
    {"just above that", 151, 8000, 9000, 0, false, "in time"},
    {"without an estimate", 900, 8000, 0, 0, false, NULL},
    {"no worker is large enough", 2, 9000, 9000, 0, false, NULL},
    {"a worker is not described yet", 900, 8000, 9000, 0, true, NULL},
    {"the entry holds enough", 10, 10, 1, 991, false, "open tasks"},
    {"the entry holds just so much", 10, 10, 1, 990, false, NULL},
};

/*
 * Guards against jobs that take places and memory until their deadline without a
 * chance to end, and against refusals of those that can.
 */
START_TEST(size)
{
	struct rts_queue queue = {.name = "q", .service = "desk"};
	struct wk_step step = {.count = rows[_i].count,
	    .size = {.cpu_milli = rows[_i].cpu_milli},
	    .estimate_ms = rows[_i].estimate_ms};
	struct wk_job job = {.id = "1", .steps = &step, .n_steps = 1};
	struct wks *workers = make_workers(!rows[_i].undescribed);
	const char *reason = jsz_reason_to_refuse(
	    &options, &queue, &job, workers, rows[_i].open_tasks, WITHIN_MS);

	ck_assert_msg(
	    rows[_i].reason == NULL
		? reason == NULL
		: reason != NULL && strstr(reason, rows[_i].reason) != NULL,
	    "%s: %s", rows[_i].name, reason);
	wks_free(workers);
}
END_TEST

/* Guards against starts that no message can hold. */
START_TEST(names)
{
	g_autofree char *longest = g_strnfill(RUN_NAME_MAX, 'q');
	g_autofree char *longer = g_strnfill(RUN_NAME_MAX + 1, 'q');
	struct rts_queue queue = {.name = longest, .service = longest};
	struct wk_job job = {.id = "1"};
	struct wks *workers = wks_new();

	ck_assert_ptr_null(jsz_reason_to_refuse(
	    &options, &queue, &job, workers, 0, WITHIN_MS));
	queue.name = longer;
	ck_assert_ptr_nonnull(jsz_reason_to_refuse(
	    &options, &queue, &job, workers, 0, WITHIN_MS));
	queue.name = longest;
	queue.service = longer;
	ck_assert_ptr_nonnull(jsz_reason_to_refuse(
	    &options, &queue, &job, workers, 0, WITHIN_MS));
	wks_free(workers);
}
END_TEST

ROWS_MAIN("jobsize", 0, G_N_ELEMENTS(rows), size, names)
