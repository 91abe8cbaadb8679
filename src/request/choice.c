#include <glib.h>
#include <math.h>

#include "request/choice.h"
#include "request/kinds.h"
#include "request/progress.h"

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
	bool spare; /* takes it in time, and fast workers are scarce */
};

struct chc {
	struct chc_options opts;
	const struct wks *workers;
	GArray *candidates; /* struct candidate, of the last choice */
	struct knd kinds;
	bool kinds_known; /* in this pass */
};

/* The task being placed. */
struct choice {
	const struct jt_task *task;
	int64_t now_ms;
	bool no_side;
	struct knd_plan plan;
	bool excluded; /* a worker that is too slow could take it */
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

void
chc_begin_pass(struct chc *chc)
{
	chc->kinds_known = false;
}

/*
 * An ejected worker is left out: it gets one task at a time, so that the others
 * must not wait for it.
 */
static void
find_kinds(struct chc *chc)
{
	size_t i;

	knd_clear(&chc->kinds);
	for (i = 0; i < wks_count(chc->workers); i++) {
		struct wks_worker *w = wks_get(chc->workers, i);

		w->speed_class = KND_NONE;
		if (w->service != NULL && !hlt_is_ejected(&w->health) &&
		    w->use != WKS_RESERVED &&
		    wks_is_usable(chc->workers, w, w->service))
			w->speed_class = knd_add(&chc->kinds, w->service,
			    w->kind, &w->capacity, &w->room);
	}
	chc->kinds_known = true;
}

/* The classes that have a worker with the step's label. */
static uint32_t
labelled_classes(const struct chc *chc, const struct wk_step *step)
{
	uint32_t set = 0;
	size_t i;

	if (step->required_label == NULL)
		return UINT32_MAX;
	for (i = 0; i < wks_count(chc->workers); i++) {
		const struct wks_worker *w = wks_get(chc->workers, i);

		if (w->speed_class != KND_NONE &&
		    wks_has_label(w, step->required_label))
			set |= 1U << w->speed_class;
	}
	return set;
}

static struct knd_task
kinds_task(const struct chc *chc, const struct jt_task *task, int64_t now_ms)
{
	const struct wk_step *step = jt_step_of(task);

	return (struct knd_task){
	    .service = task->job->service,
	    .size = step->size,
	    .may_run = labelled_classes(chc, step),
	    .average_run_ms =
		spd_average_ms(task->job->speed, step->estimate_ms),
	    .left_ms = (double)(task->job->objective_by_ms - now_ms),
	};
}

/*
 * Only for jobs of one step: how much time the first step may take of several
 * is not known.  Confined tasks have few workers anyway.
 */
static bool
is_by_kind(const struct chc *chc, const struct jt_task *task)
{
	return chc->opts.by_kind && task->job->spec->n_steps == 1 &&
	       task->confinement == JT_FREE && !task->alone;
}

static bool
is_in(uint32_t set, const struct wks_worker *w)
{
	return w->speed_class != KND_NONE && (set >> w->speed_class & 1) != 0;
}

/* Whether the worker is of a kind that is too slow for the task. */
static bool
is_too_slow(const struct choice *choice, const struct wks_worker *w)
{
	return choice->plan.allowed != UINT32_MAX &&
	       w->speed_class != KND_NONE && !is_in(choice->plan.allowed, w);
}

static void
find_candidates(struct chc *chc, struct choice *choice)
{
	size_t i, n = wks_count(chc->workers);

	g_array_set_size(chc->candidates, 0);
	for (i = 0; i < n; i++) {
		struct candidate c = {.w = wks_get(chc->workers,
					  (chc->opts.scan_offset + i) % n)};

		if (!can_take(chc, c.w, choice->task, choice->now_ms) ||
		    !may_place(c.w, choice->task, choice->no_side))
			continue;
		if (is_too_slow(choice, c.w)) {
			choice->excluded = true;
			continue;
		}
		c.cost = cost_of(chc, c.w, choice->task, choice->now_ms);
		c.spare = is_in(choice->plan.spare, c.w) &&
			  c.cost <= choice->plan.max_spare_ms;
		g_array_append_val(chc->candidates, c);
	}
}

/*
 * Chooses the worker that is expected to finish the task first.  Among those
 * with similar expectations it is the one with the largest free share: other
 * entries choose from the same reports, and would all take the same worker.
 */
static struct wks_worker *
best_candidate(const struct chc *chc, bool spare)
{
	struct wks_worker *best = NULL;
	double best_cost = INFINITY, best_share = -1;
	guint i;

	for (i = 0; i < chc->candidates->len; i++) {
		const struct candidate *c =
		    &g_array_index(chc->candidates, struct candidate, i);

		if (c->spare == spare)
			best_cost = MIN(best_cost, c->cost);
	}
	for (i = 0; i < chc->candidates->len; i++) {
		const struct candidate *c =
		    &g_array_index(chc->candidates, struct candidate, i);

		if (c->spare != spare || c->cost > best_cost * SIMILAR_COST ||
		    free_share(c->w) <= best_share)
			continue;
		best = c->w;
		best_share = free_share(c->w);
	}
	return best;
}

/*
 * Tells the later tasks of the pass that this one waits for a faster worker.
 * Limits per worker and labels are left out, since they say nothing of others.
 */
static void
record_held(struct chc *chc, const struct choice *choice,
    const struct knd_task *kinds_of)
{
	const struct wk_step *step = jt_step_of(choice->task);

	knd_record_held(&chc->kinds, &choice->plan, kinds_of,
	    choice->task->job->n_in_state[JT_READY]);
	if (step->required_label == NULL && step->max_per_worker == 0)
		knd_record_blocked(&chc->kinds, &choice->plan, &step->size);
}

static struct wks_worker *
choose_by_kind(struct chc *chc, struct choice *choice, bool *held)
{
	struct knd_task kinds_of;
	struct wks_worker *w;

	if (!chc->kinds_known)
		find_kinds(chc);
	kinds_of = kinds_task(chc, choice->task, choice->now_ms);
	choice->plan = knd_plan_of(&chc->kinds, &kinds_of);
	if (knd_is_blocked(&chc->kinds, &choice->plan, &kinds_of.size)) {
		*held = true;
		knd_record_held(&chc->kinds, &choice->plan, &kinds_of,
		    choice->task->job->n_in_state[JT_READY]);
		return NULL;
	}
	find_candidates(chc, choice);
	w = best_candidate(chc, true);
	if (w == NULL)
		w = best_candidate(chc, false);
	*held = w == NULL && choice->excluded;
	if (*held)
		record_held(chc, choice, &kinds_of);
	return w;
}

struct wks_worker *
chc_choose(
    struct chc *chc, const struct jt_task *task, int64_t now_ms, bool *held)
{
	struct choice choice = {
	    .task = task,
	    .now_ms = now_ms,
	    .no_side = has_no_side(chc, task),
	    .plan = KND_ANY,
	};

	*held = false;
	if (is_by_kind(chc, task))
		return choose_by_kind(chc, &choice, held);
	find_candidates(chc, &choice);
	return best_candidate(chc, false);
}

void
chc_record_sent(
    struct chc *chc, const struct jt_task *task, const struct wks_worker *w)
{
	if (chc->kinds_known)
		knd_record_sent(
		    &chc->kinds, w->speed_class, &jt_step_of(task)->size);
}

/*
 * Run time expected on the worker.  Estimates are often far off: a task that
 * was stopped once as too slow is probably a long one, so its projected run
 * time is expected on every worker; otherwise each would stop it again.  Where
 * some of the queue's tasks are known to need more than PGR_SLOW_FACTOR times as
 * long as most, the time is raised, so that none is stopped for being one of
 * these.
 */
int64_t
chc_expected_ms(const struct jt_task *task, const struct wks_worker *w)
{
	const struct wk_step *step = jt_step_of(task);
	double run_ms =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	run_ms *=
	    MAX(1, spd_explained_factor(task->job->speed) / PGR_SLOW_FACTOR);
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
