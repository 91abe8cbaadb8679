#include <string.h>

#include "request/objective.h"
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
	enum obj_turn turn;
	bool unplaced; /* a task in an earlier turn */
	bool held;     /* a task waits for a faster worker */
	/* The last one, by priority and arrival, of which a task was sent. */
	bool has_last;
	struct obj_rank last;
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
record_unplaced(
    struct pass *pass, struct lane *lane, const struct jt_task *task)
{
	const struct wk_step *step = jt_step_of(task);

	pass->opts->unplaced(task->job, pass->opts->ctx);
	lane->n_unplaced++;
	if (step->required_label == NULL && step->max_per_worker == 0 &&
	    !task->alone &&
	    (lane->smallest == NULL ||
		wk_fits(&step->size, &jt_step_of(lane->smallest)->size)))
		lane->smallest = task;
}

static struct obj_rank
rank_of(const struct jt_job *job)
{
	return (struct obj_rank){job->priority, job->arrived_ms};
}

static void
record_sent(struct pass *pass, const struct jt_job *job)
{
	struct obj_rank rank = rank_of(job);

	if (pass->has_last && !obj_precedes(&pass->last, &rank))
		return;
	pass->has_last = true;
	pass->last = rank;
}

/* Whether a job after it, by priority and arrival, was placed before it. */
static bool
was_overtaken(const struct pass *pass, const struct jt_job *job)
{
	struct obj_rank rank = rank_of(job);

	return pass->has_last && obj_precedes(&rank, &pass->last);
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

/* Whether it was sent. */
static bool
try_workers(struct pass *pass, struct jt_task *task, bool *held)
{
	struct chc *choice = pass->opts->choice;
	struct wks_worker *w;

	/*
	 * A worker to which a start can't be sent is skipped until its next
	 * report.
	 */
	while ((w = chc_choose(choice, task, pass->now_ms, held)) != NULL) {
		if (pass->opts->send(task, w, pass->now_ms, pass->opts->ctx)) {
			chc_record_sent(choice, task, w);
			return true;
		}
		w->accepting = false;
	}
	return false;
}

static void
report_delay(struct pass *pass, struct jt_job *job, enum plg_delay why)
{
	bool *reported = why == PLG_HELD ? &job->held : &job->overtaken;

	if (*reported)
		return;
	*reported = true;
	if (pass->opts->delayed != NULL)
		pass->opts->delayed(job, why, pass->opts->ctx);
}

/* Returns false when the job's other tasks would find no worker either. */
static bool
place_task(struct pass *pass, struct jt_task *task)
{
	enum blm_status status =
	    jt_blame_status(task, pass->opts->blame, pass->now_ms);
	struct lane *lane;
	bool held = false;

	confine(task, status, pass->now_ms);
	if (status == BLM_PENDING || status == BLM_POISON)
		return true;
	lane = lane_of(pass, task);
	if (is_full(lane) || has_no_worker(lane, task)) {
		lane->n_unplaced++;
		return true;
	}
	if (try_workers(pass, task, &held))
		record_sent(pass, task->job);
	else if (held)
		pass->held = true;
	else
		record_unplaced(pass, lane, task);
	if (held)
		report_delay(pass, task->job, PLG_HELD);
	return !held;
}

static void
place_job(struct pass *pass, struct jt_job *job)
{
	uint32_t i;

	if (pass->opts->by_objective && pass->turn != OBJ_TIMELY &&
	    was_overtaken(pass, job))
		report_delay(pass, job, PLG_OVERTAKEN);
	for (i = jt_next_ready(job, 0); i < job->n_tasks && !is_over(pass);
	     i = jt_next_ready(job, i + 1)) {
		if (!place_task(pass, &job->tasks[i]))
			return;
	}
}

static enum obj_turn
turn_of(const struct pass *pass, const struct jt_job *job)
{
	struct obj_job objective = {
	    .suspected = job->suspected,
	    .sent = job->sent,
	    .start_by_ms = job->start_by_ms,
	    .objective_by_ms = job->objective_by_ms,
	};

	if (!pass->opts->by_objective)
		return obj_turn_in_priority(&objective, pass->now_ms);
	objective.remaining_ms = jt_remaining_ms(job);
	return obj_turn_of(&objective, pass->now_ms);
}

static void
place_jobs(struct pass *pass, const GQueue *list)
{
	GList *l;

	for (l = list->head; l != NULL && !is_over(pass); l = l->next) {
		struct jt_job *job = l->data;

		if (job->n_in_state[JT_READY] > 0 &&
		    turn_of(pass, job) == pass->turn)
			place_job(pass, job);
	}
}

/*
 * Under sustained overload, strict order of arrival would make every job late.
 * Late jobs go last, so that the others still meet their objective.
 */
static gboolean
place_priority(gpointer key, gpointer value, gpointer data)
{
	struct pass *pass = data;

	(void)key;
	for (pass->turn = 0; pass->turn < OBJ_N_TURNS; pass->turn++)
		place_jobs(pass, value);
	return is_over(pass);
}

static gboolean
place_turn(gpointer key, gpointer value, gpointer data)
{
	struct pass *pass = data;

	(void)key;
	place_jobs(pass, value);
	return is_over(pass);
}

/*
 * Each turn has its own limit of unplaced tasks, so that many timely ones that
 * fit nowhere do not keep late ones from capacity that these can use.
 */
static void
begin_turn(struct pass *pass)
{
	int i;

	for (i = 0; i < 2; i++) {
		pass->unplaced |= pass->lanes[i].n_unplaced > 0;
		pass->lanes[i].n_unplaced = 0;
	}
}

static void
place_by_objective(struct pass *pass, GTree *jobs_by_priority)
{
	for (pass->turn = 0; pass->turn < OBJ_N_TURNS; pass->turn++) {
		begin_turn(pass);
		g_tree_foreach(jobs_by_priority, place_turn, pass);
	}
}

bool
plg_run(const struct plg_options *opts, GTree *jobs_by_priority, int64_t now_ms)
{
	struct pass pass = {.opts = opts, .now_ms = now_ms};

	chc_begin_pass(opts->choice);
	if (opts->by_objective)
		place_by_objective(&pass, jobs_by_priority);
	else
		g_tree_foreach(jobs_by_priority, place_priority, &pass);
	return pass.held || pass.unplaced || pass.lanes[false].n_unplaced > 0 ||
	       pass.lanes[true].n_unplaced > 0;
}
