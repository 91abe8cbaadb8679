#include <string.h>

#include "request/placing.h"

/* A pass stops after this many tasks that found no worker. */
#define MAX_UNPLACED_TASKS 64
/*
 * A task that is suspected of crashing workers waits this long for an idle one.
 * Under load there may be none, and most suspected tasks are harmless.
 */
#define MAX_WAIT_FOR_IDLE_MS 500

/* The unplaced tasks of one pass that are confined, or that are not. */
struct lane {
	uint32_t n_unplaced;
	/*
	 * Smallest unplaced task that may use any worker of its side: without
	 * required label or per-worker limit, and not alone.
	 */
	const struct jt_task *smallest;
};

/*
 * State of one pass over the ready tasks.  Confined tasks have a lane of their
 * own, so that they do not keep the others from being placed.
 */
struct pass {
	const struct plg_options *opts;
	int64_t now_ms;
	struct lane lanes[2]; /* the second: confined tasks */
};

static struct lane *
lane_of(struct pass *pass, const struct jt_task *task)
{
	return &pass->lanes[task->confinement != JT_FREE];
}

static bool
is_full(const struct lane *lane)
{
	return lane->n_unplaced >= MAX_UNPLACED_TASKS;
}

/* Without a known crash no task is confined. */
static bool
is_over(const struct pass *pass)
{
	return is_full(&pass->lanes[false]) &&
	       (is_full(&pass->lanes[true]) ||
		   !blm_is_needed(pass->opts->blame));
}

/*
 * Whether a task of the same service that needs no more than this one has
 * already found no worker in this pass.
 */
static bool
has_no_worker(const struct lane *lane, const struct jt_task *task)
{
	return lane->smallest != NULL &&
	       strcmp(lane->smallest->job->service, task->job->service) == 0 &&
	       wk_fits(
		   &jt_step_of(lane->smallest)->size, &jt_step_of(task)->size);
}

static void
record_unplaced(struct lane *lane, const struct jt_task *task)
{
	const struct wk_step *step = jt_step_of(task);

	lane->n_unplaced++;
	if (step->required_label == NULL && step->max_per_worker == 0 &&
	    !task->alone &&
	    (lane->smallest == NULL ||
		wk_fits(&step->size, &jt_step_of(lane->smallest)->size)))
		lane->smallest = task;
}

/* Decides which workers the task may use in this pass. */
static void
confine(struct jt_task *task, enum blm_status status, int64_t now_ms)
{
	if (cfn_is_confined(task->job->confinement))
		task->confinement = JT_CONFINED;
	else
		task->confinement =
		    status == BLM_CLEAR ? JT_FREE : JT_SUSPECTED;
	task->alone = status != BLM_CLEAR &&
		      now_ms - task->lost_ms < MAX_WAIT_FOR_IDLE_MS;
}

static void
place_task(struct pass *pass, struct jt_task *task)
{
	enum blm_status status =
	    jt_blame_status(task, pass->opts->blame, pass->now_ms);
	struct wks_worker *w = NULL;
	struct lane *lane;

	confine(task, status, pass->now_ms);
	if (status == BLM_PENDING || status == BLM_POISON)
		return;
	lane = lane_of(pass, task);
	if (is_full(lane) || has_no_worker(lane, task)) {
		lane->n_unplaced++;
		return;
	}
	/*
	 * A worker to which a start can't be sent is skipped until its next
	 * report.
	 */
	while (
	    (w = chc_choose(pass->opts->choice, task, pass->now_ms)) != NULL &&
	    !pass->opts->send(task, w, pass->now_ms, pass->opts->ctx))
		w->accepting = false;
	if (w == NULL)
		record_unplaced(lane, task);
}

static void
place_job(struct pass *pass, struct jt_job *job)
{
	uint32_t i;

	for (i = jt_next_ready(job, 0); i < job->n_tasks && !is_over(pass);
	     i = jt_next_ready(job, i + 1))
		place_task(pass, &job->tasks[i]);
}

/* Order in which the jobs of one priority are placed. */
enum turn {
	PREFERRED, /* a task was already sent, or it can meet its objective */
	LATE,
	SUSPECTED /* it may crash the worker, and so comes last */
};

static enum turn
turn_of(const struct jt_job *job, int64_t now_ms)
{
	if (job->suspected)
		return SUSPECTED;
	return job->sent || now_ms <= job->start_by_ms ? PREFERRED : LATE;
}

static void
place_jobs(struct pass *pass, const GQueue *list, enum turn turn)
{
	GList *l;

	for (l = list->head; l != NULL && !is_over(pass); l = l->next) {
		struct jt_job *job = l->data;

		if (turn_of(job, pass->now_ms) == turn)
			place_job(pass, job);
	}
}

/*
 * Under sustained overload, strict order of arrival would make every job late.
 * Late jobs go last, so that the others still meet their objective.
 */
static gboolean
place_list(gpointer key, gpointer value, gpointer data)
{
	struct pass *pass = data;

	(void)key;
	place_jobs(pass, value, PREFERRED);
	place_jobs(pass, value, LATE);
	place_jobs(pass, value, SUSPECTED);
	return is_over(pass);
}

bool
plg_run(const struct plg_options *opts, GTree *jobs_by_priority, int64_t now_ms)
{
	struct pass pass = {.opts = opts, .now_ms = now_ms};

	g_tree_foreach(jobs_by_priority, place_list, &pass);
	return pass.lanes[false].n_unplaced > 0 ||
	       pass.lanes[true].n_unplaced > 0;
}
