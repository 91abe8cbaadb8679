#include <glib.h>
#include <math.h>

#include "request/choice.h"

/* Workers whose costs differ by less are held to be equally good. */
#define SIMILAR_COST 1.08
/* Added cost of a worker with failure rate 1, in run times of the task. */
#define FAILURE_COST_RUNS 20.0
/* Cost factor of a worker outside the entry's failure domain. */
#define REMOTE_COST_FACTOR 1.04

/* A worker that can take the task being placed. */
struct candidate {
	struct wks_worker *w;
	double cost;
};

struct chc {
	struct chc_options opts;
	const struct wks *workers;
	GArray *candidates; /* struct candidate, of the last choice */
};

struct chc *
chc_new(const struct wks *workers, const struct chc_options *opts)
{
	struct chc *chc = g_new0(struct chc, 1);

	chc->opts = *opts;
	chc->workers = workers;
	chc->candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	return chc;
}

void
chc_free(struct chc *chc)
{
	g_array_unref(chc->candidates);
	g_free(chc);
}

/* How much longer a task of the step runs because of the worker's rack. */
static double
rack_factor(const struct chc *chc, const struct wks_worker *w,
    const struct wk_step *step)
{
	return step->preferred_rack != NULL &&
		       !wks_has_label(w, step->preferred_rack)
		   ? chc->opts.cross_rack_factor
		   : 1;
}

/*
 * Expected run time of the task on the worker beside what runs there, raised by
 * its failure rate and by an earlier failure of the task there.
 */
static double
cost_of(const struct chc *chc, const struct wks_worker *w,
    const struct jt_task *task, int64_t now_ms)
{
	const struct wk_step *step = jt_step_of(task);
	double cost =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	cost *= rack_factor(chc, w, step);
	cost *= sld_factor(&w->slowed, task->job->queue);
	cost *= 1 + FAILURE_COST_RUNS * hlt_failure_rate(&w->health, now_ms);
	if (jt_has_failed_on(task, w))
		cost *= 1 + FAILURE_COST_RUNS;
	return w->local ? cost : cost * REMOTE_COST_FACTOR;
}

/*
 * Whether the worker is on the task's side of a confinement: tasks that may
 * crash their worker are kept apart from the others.
 */
static bool
is_on_side(const struct wks_worker *w, const struct jt_task *task)
{
	return task->confinement == JT_FREE ? w->use != WKS_RESERVED
					    : w->use != WKS_ALL;
}

static bool
is_idle(const struct wks_worker *w)
{
	return w->open == 0 && wk_fits(&w->capacity, &w->room);
}

/*
 * Whether no worker on the task's side could run it, for want of a label, of
 * capacity or, for a task that is only suspected, of a usable worker.
 */
static bool
has_no_side(const struct chc *chc, const struct jt_task *task)
{
	const char *service = task->job->service;
	size_t i;

	for (i = 0; i < wks_count(chc->workers); i++) {
		const struct wks_worker *w = wks_get(chc->workers, i);
		bool expected =
		    task->confinement == JT_SUSPECTED
			? wks_is_usable(chc->workers, w, service)
			: wks_is_in_service(chc->workers, w, service);

		if (expected && is_on_side(w, task) &&
		    wks_could_run(w, jt_step_of(task)))
			return false;
	}
	return true;
}

/*
 * A task without a side of its own may use the workers of the other; if it may
 * crash them, only idle ones.
 */
static bool
may_place(const struct wks_worker *w, const struct jt_task *task, bool no_side)
{
	if (is_on_side(w, task))
		return !task->alone || is_idle(w);
	if (!no_side)
		return false;
	return is_idle(w) || (!task->alone && task->confinement != JT_CONFINED);
}

/* Whether a start of the task can be sent to the worker now. */
static bool
can_take(const struct chc *chc, const struct wks_worker *w,
    const struct jt_task *task, int64_t now_ms)
{
	const struct wk_step *step = jt_step_of(task);

	return wks_is_usable(chc->workers, w, task->job->service) &&
	       wks_could_run(w, step) && wk_fits(&step->size, &w->room) &&
	       hlt_may_start(&w->health, w->open, now_ms) &&
	       (step->max_per_worker == 0 ||
		   jt_n_on(task->job, task->step, w) < step->max_per_worker);
}

/* Share of the worker's processor that is free. */
static double
free_share(const struct wks_worker *w)
{
	return w->capacity.cpu_milli == 0
		   ? 0
		   : (double)w->room.cpu_milli / (double)w->capacity.cpu_milli;
}

/*
 * Chooses the worker that is expected to finish the task first.  Among those
 * with similar expectations it is the one with the largest free share: other
 * entries choose from the same reports, and would all take the same worker.
 */
struct wks_worker *
chc_choose(struct chc *chc, const struct jt_task *task, int64_t now_ms)
{
	struct wks_worker *best = NULL;
	double best_cost = INFINITY, best_share = -1;
	size_t i, n = wks_count(chc->workers);
	bool no_side = has_no_side(chc, task);

	g_array_set_size(chc->candidates, 0);
	for (i = 0; i < n; i++) {
		struct candidate c = {.w = wks_get(chc->workers,
					  (chc->opts.scan_offset + i) % n)};

		if (!can_take(chc, c.w, task, now_ms) ||
		    !may_place(c.w, task, no_side))
			continue;
		c.cost = cost_of(chc, c.w, task, now_ms);
		best_cost = MIN(best_cost, c.cost);
		g_array_append_val(chc->candidates, c);
	}
	for (i = 0; i < chc->candidates->len; i++) {
		const struct candidate *c =
		    &g_array_index(chc->candidates, struct candidate, i);

		if (c->cost > best_cost * SIMILAR_COST ||
		    free_share(c->w) <= best_share)
			continue;
		best = c->w;
		best_share = free_share(c->w);
	}
	return best;
}

/*
 * Run time expected on the worker.  Estimates are often far off: a task that
 * was stopped once as too slow is probably a long one, so its projected run
 * time is expected on every worker; otherwise each would stop it again.
 */
int64_t
chc_expected_ms(const struct jt_task *task, const struct wks_worker *w)
{
	const struct wk_step *step = jt_step_of(task);
	double run_ms =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	return MAX((int64_t)run_ms, task->projected_ms);
}

/* Run time that any worker of this one's kind should need. */
int64_t
chc_nominal_ms(const struct chc *chc, const struct jt_task *task,
    const struct wks_worker *w)
{
	const struct wk_step *step = jt_step_of(task);
	double run_ms =
	    spd_nominal_ms(task->job->speed, w->kind, step->estimate_ms);

	return (int64_t)(run_ms * rack_factor(chc, w, step));
}
