#include <glib.h>
#include <string.h>

#include "request/backlog.h"
#include "request/blame.h"
#include "request/choice.h"
#include "request/confine.h"
#include "request/jobtask.h"
#include "request/placing.h"
#include "request/sched.h"

/*
 * Limit of starts per task, whatever their outcomes.  The job ends then, so
 * that a task that is lost or refused every time is not sent for ever.
 */
#define MAX_STARTS_PER_TASK 12
/*
 * For this long after the start of the process, a job is accepted although no
 * worker of its service has been described yet.
 */
#define STARTUP_GRACE_MS 3000
/* Expected time until a worker returns that a confined queue may use. */
#define CONFINED_WAIT_MS 2000
struct sch {
	struct sch_options opts;
	struct wks *workers;
	GHashTable *jobs;	  /* id to struct jt_job */
	GHashTable *sent;	  /* seq to struct jt_task */
	GHashTable *unresolved;	  /* set of struct jt_task */
	GHashTable *queue_speeds; /* queue name to struct spd_queue */
	GTree *jobs_by_priority;  /* priority to GQueue of struct jt_job */
	struct chc *choice;
	struct blm *blame;
	struct cfn *confinement;
	uint64_t next_seq;
	uint64_t n_tasks; /* of all open jobs */
	int64_t first_ms; /* of the first call; taken as the process start */
	bool waiting;	  /* a task may be ready to be sent */
};

static gint
compare_priorities(gconstpointer a, gconstpointer b, gpointer data)
{
	guint left = GPOINTER_TO_UINT(a), right = GPOINTER_TO_UINT(b);

	(void)data;
	return (left > right) - (left < right);
}

static void
job_free(gpointer data)
{
	jt_free(data);
}

static void
list_free(gpointer data)
{
	g_free(data);
}

static void
on_confinement_changed(
    const char *queue, bool confined, double caused, void *ctx)
{
	struct sch *sch = ctx;

	if (sch->opts.confined != NULL)
		sch->opts.confined(queue, confined, caused, sch->opts.ctx);
}

static struct cfn *
make_confinement(struct sch *sch)
{
	struct cfn_options opts = {
	    .workers = sch->workers,
	    .blame = sch->blame,
	    .changed = on_confinement_changed,
	    .ctx = sch,
	};

	return cfn_new(&opts);
}

struct sch *
sch_new(const struct sch_options *opts)
{
	struct sch *sch = g_new0(struct sch, 1);

	sch->opts = *opts;
	sch->workers = wks_new();
	sch->blame = blm_new();
	sch->confinement = make_confinement(sch);
	sch->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	sch->sent = g_hash_table_new(g_int64_hash, g_int64_equal);
	sch->unresolved = g_hash_table_new(NULL, NULL);
	sch->queue_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sch->choice = chc_new(sch->workers, &opts->choice);
	sch->jobs_by_priority =
	    g_tree_new_full(compare_priorities, NULL, NULL, list_free);
	return sch;
}

/* Frees everything; no callback runs.  NULL is allowed. */
void
sch_free(struct sch *sch)
{
	if (sch == NULL)
		return;
	g_hash_table_unref(sch->sent);
	g_hash_table_unref(sch->unresolved);
	g_hash_table_unref(sch->jobs);
	g_tree_unref(sch->jobs_by_priority);
	chc_free(sch->choice);
	cfn_free(sch->confinement);
	blm_free(sch->blame);
	wks_free(sch->workers);
	g_hash_table_unref(sch->queue_speeds);
	g_free(sch);
}

struct wks *
sch_workers(struct sch *sch)
{
	return sch->workers;
}

static GQueue *
list_of(struct sch *sch, uint32_t priority)
{
	GQueue *list =
	    g_tree_lookup(sch->jobs_by_priority, GUINT_TO_POINTER(priority));

	if (list == NULL) {
		list = g_new0(GQueue, 1);
		g_queue_init(list);
		g_tree_insert(
		    sch->jobs_by_priority, GUINT_TO_POINTER(priority), list);
	}
	return list;
}

static struct spd_queue *
queue_speed(struct sch *sch, const char *name)
{
	struct spd_queue *speed = g_hash_table_lookup(sch->queue_speeds, name);

	if (speed == NULL) {
		speed = g_new0(struct spd_queue, 1);
		g_hash_table_insert(sch->queue_speeds, g_strdup(name), speed);
	}
	return speed;
}

static void
forget_start(struct sch *sch, struct jt_task *task)
{
	if (g_hash_table_remove(sch->sent, &task->seq) && task->worker != NULL)
		task->worker->open--;
	g_hash_table_remove(sch->unresolved, task);
}

/* Cancels the starts in progress and frees the job. */
static void
drop_job(struct sch *sch, struct jt_job *job)
{
	guint i;

	for (i = 0; i < job->active->len; i++) {
		struct jt_task *task = job->active->pdata[i];

		if (task->state == JT_SENT && task->worker != NULL)
			sch->opts.cancel(
			    task->worker->link, task->seq, sch->opts.ctx);
		forget_start(sch, task);
	}
	sch->n_tasks -= job->n_tasks;
	g_queue_unlink(list_of(sch, job->priority), &job->link);
	g_hash_table_remove(sch->jobs, job->spec->id);
}

static void
end_job(struct sch *sch, struct jt_job *job, enum sch_job_end end,
    const char *reason)
{
	if (job->waiter != NULL)
		sch->opts.ended(
		    job->waiter, job->spec->id, end, reason, sch->opts.ctx);
	drop_job(sch, job);
}

static void
mark_unresolved(struct sch *sch, struct jt_task *task, int64_t now_ms)
{
	forget_start(sch, task);
	jt_set_state(task, JT_UNRESOLVED);
	task->resolved_ms = now_ms + sch->opts.lost_run_timeout_ms;
	g_hash_table_add(sch->unresolved, task);
}

static void
mark_worker_unresolved(
    struct sch *sch, const struct wks_worker *w, int64_t now_ms)
{
	g_autoptr(GList) tasks = g_hash_table_get_values(sch->sent);
	GList *l;

	for (l = tasks; l != NULL; l = l->next) {
		struct jt_task *task = l->data;

		if (task->worker == w)
			mark_unresolved(sch, task, now_ms);
	}
}

void
sch_disconnect(struct sch *sch, struct wks_worker *w, int64_t now_ms)
{
	w->described = false;
	w->accepting = false;
	mark_worker_unresolved(sch, w, now_ms);
}

void
sch_remove_worker(struct sch *sch, struct wks_worker *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	mark_worker_unresolved(sch, w, now_ms);
	g_hash_table_iter_init(&iter, sch->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		jt_forget_worker(value, w);
	wks_remove(sch->workers, w);
}

static bool
send(struct jt_task *task, struct wks_worker *w, int64_t now_ms, void *ctx)
{
	struct sch *sch = ctx;
	struct jt_job *job = task->job;
	const struct wk_step *step = jt_step_of(task);
	struct sch_start start = {
	    .seq = ++sch->next_seq,
	    .job = job->spec->id,
	    .step = task->step,
	    .index = task->index,
	    .spec = job->spec->spec,
	    .service = job->service,
	    .queue = job->queue,
	    .size = step->size,
	    .priority = job->priority,
	    .expected_ms = chc_expected_ms(task, w),
	    .nominal_ms = chc_nominal_ms(sch->choice, task, w),
	    .start_within_ms = job->deadline_ms - now_ms,
	};

	if (!sch->opts.start(w->link, &start, sch->opts.ctx))
		return false;
	wk_subtract(&w->room, &step->size);
	w->unflushed = true;
	jt_set_state(task, JT_SENT);
	task->seq = start.seq;
	task->worker = w;
	task->sent_ms = now_ms;
	task->starts++;
	job->sent = true;
	g_hash_table_insert(sch->sent, &task->seq, task);
	w->open++;
	return true;
}

bool
sch_has_waiting_tasks(const struct sch *sch)
{
	return sch->waiting;
}

void
sch_place_tasks(struct sch *sch, int64_t now_ms)
{
	struct plg_options opts = {
	    .choice = sch->choice,
	    .blame = sch->blame,
	    .send = send,
	    .ctx = sch,
	};
	size_t i;

	sch->waiting = plg_run(&opts, sch->jobs_by_priority, now_ms);
	for (i = 0; i < wks_count(sch->workers); i++) {
		struct wks_worker *w = wks_get(sch->workers, i);

		if (!w->unflushed)
			continue;
		w->unflushed = false;
		sch->opts.flush(w->link, sch->opts.ctx);
	}
}

static void
record_done(struct sch *sch, const struct jt_task *task)
{
	g_autofree char *name = NULL;

	if (!task->was_lost)
		return;
	name = wk_task_name(task->job->spec->id, task->step, task->index);
	blm_record_done(sch->blame, name);
}

static void
task_done(struct sch *sch, struct jt_task *task)
{
	if (task->job->spec->n_steps > 1)
		sch->waiting = true; /* the next step may be ready */
	record_done(sch, task);
	if (jt_mark_done(task)) {
		cfn_count_completion(task->job->confinement);
		end_job(sch, task->job, SCH_COMPLETED, "");
	}
}

/*
 * Makes a task ready again, or ends its job when the task has used up its
 * attempts or starts.
 */
static void
requeue_task(struct sch *sch, struct jt_task *task, const char *reason)
{
	jt_set_state(task, JT_READY);
	sch->waiting = true;
	if (task->failures >= task->job->max_attempts)
		end_job(sch, task->job, SCH_JOB_FAILED, reason);
	else if (task->starts >= MAX_STARTS_PER_TASK)
		end_job(sch, task->job, SCH_BROKEN, reason);
}

static void
learn_run_time(const struct jt_task *task, struct wks_worker *w, int64_t run_ms)
{
	spd_measure(task->job->speed, &w->speed, w->kind, run_ms,
	    jt_step_of(task)->estimate_ms);
}

/*
 * Failures of several tasks of one job count once, since the job may be at
 * fault; those of an ejected worker, which is being probed, all count.
 */
static void
record_failure(struct jt_task *task, struct wks_worker *w, int64_t now_ms)
{
	if (hlt_is_ejected(&w->health) || !jt_job_has_failed_on(task->job, w))
		hlt_record_failure(&w->health, now_ms);
	jt_remember_failed_on(task, w);
}

static void
report_failed_start(struct sch *sch, const struct jt_task *task,
    const struct wks_worker *w, enum sch_outcome outcome, const char *reason)
{
	struct sch_failed_start failure = {
	    .job = task->job->spec->id,
	    .step = task->step,
	    .index = task->index,
	    .seq = task->seq,
	    .outcome = outcome,
	    .reason = reason,
	    .failures = task->failures,
	    .max_attempts = task->job->max_attempts,
	    .sent_ms = task->sent_ms,
	};

	sch->opts.start_failed(w->link, &failure, sch->opts.ctx);
}

void
sch_result(struct sch *sch, uint64_t seq, enum sch_outcome outcome,
    int64_t run_ms, const char *reason, int64_t now_ms)
{
	struct jt_task *task = g_hash_table_lookup(sch->sent, &seq);
	struct wks_worker *w;

	if (task == NULL)
		return;
	w = task->worker;
	forget_start(sch, task);
	task->worker = NULL;
	switch (outcome) {
	case SCH_DONE:
		hlt_record_success(&w->health, now_ms);
		learn_run_time(task, w, run_ms);
		task_done(sch, task);
		return;
	case SCH_FAILED:
		task->failures++;
		record_failure(task, w, now_ms);
		break;
	case SCH_STALLED:
		task->projected_ms = MAX(task->projected_ms, run_ms);
		if (run_ms > 0)
			learn_run_time(task, w, run_ms);
		record_failure(task, w, now_ms);
		break;
	case SCH_LOST:
		task->was_lost = true;
		task->lost_ms = now_ms;
		jt_remember_failed_on(task, w);
		break;
	case SCH_NOT_STARTED:
		hlt_record_refusal(&w->health, now_ms);
		break;
	}
	report_failed_start(sch, task, w, outcome, reason);
	requeue_task(sch, task, reason);
}

/*
 * Whether workers with the label that the step requires are about to be
 * connected.
 */
static bool
is_label_expected(const struct sch *sch, const struct sch_request *request,
    const struct wk_step *step)
{
	size_t i;

	if (step->required_label == NULL || !request->workers_known)
		return false;
	for (i = 0; i < wks_count(sch->workers); i++) {
		if (wks_has_label(
			wks_get(sch->workers, i), step->required_label))
			return false;
	}
	return true;
}

/* Checks that the service has a worker for each step. */
static enum sch_submit_result
check_workers(
    const struct sch *sch, const struct sch_request *request, int64_t now_ms)
{
	bool starting = now_ms - sch->first_ms < STARTUP_GRACE_MS;
	const struct wk_job *spec = request->job;
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++) {
		if (is_label_expected(sch, request, &spec->steps[i]))
			continue;
		switch (wks_check(sch->workers, request->queue->service,
		    &spec->steps[i], now_ms)) {
		case WKS_USABLE:
			break;
		case WKS_TOO_LARGE:
			return SCH_TOO_LARGE;
		case WKS_UNKNOWN:
			if (!starting)
				return SCH_NO_WORKERS;
			break;
		case WKS_NOT_USABLE:
			return SCH_NO_WORKERS;
		}
	}
	return SCH_ACCEPTED;
}

static void
record_first_time(struct sch *sch, int64_t now_ms)
{
	if (sch->first_ms == 0)
		sch->first_ms = now_ms;
}

void
sch_report_crash(struct sch *sch, const char *agent,
    const struct crl_crash *crash, int64_t now_ms)
{
	blm_report(sch->blame, agent, crash, now_ms);
	cfn_update(sch->confinement, now_ms);
	sch->waiting = true;
}

static double
work_of(const struct wk_job *job)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		work += (double)job->steps[i].count *
			(double)MAX(job->steps[i].size.cpu_milli, 1) *
			(double)MAX(job->steps[i].estimate_ms, 1) / 1000;
	return work;
}

/*
 * Marks the tasks of a new job under which workers have crashed: its caller may
 * have sent it to another entry before.  Returns the worst status of them.
 */
static enum blm_status
recall_crashes(struct sch *sch, struct jt_job *job, int64_t now_ms)
{
	enum blm_status worst = BLM_CLEAR;
	uint32_t i;

	for (i = 0; i < job->n_tasks && blm_is_needed(sch->blame); i++) {
		struct jt_task *task = &job->tasks[i];
		enum blm_status status;

		task->was_lost = true;
		status = jt_blame_status(task, sch->blame, now_ms);
		task->was_lost = status != BLM_CLEAR;
		worst = MAX(worst, status);
	}
	return worst;
}

enum sch_submit_result
sch_submit(struct sch *sch, struct sch_request *request, int64_t now_ms)
{
	struct spd_queue *speed;
	struct bkl_limits limits;
	enum sch_submit_result verdict;
	struct cfn_queue *confinement;
	struct jt_job *job;

	if (request->queue->external_placement)
		return SCH_UNSUPPORTED;
	record_first_time(sch, now_ms);
	confinement = cfn_find(
	    sch->confinement, request->queue->service, request->queue->name);
	cfn_count_work(confinement, work_of(request->job), now_ms);
	verdict = check_workers(sch, request, now_ms);
	if (verdict != SCH_ACCEPTED)
		return verdict;
	if (cfn_is_cut_off(sch->confinement, confinement)) {
		request->wait_ms = CONFINED_WAIT_MS;
		return SCH_CONFINED;
	}
	if (g_hash_table_size(sch->jobs) >= sch->opts.max_jobs)
		return SCH_OVERLOADED;
	speed = queue_speed(sch, request->queue->name);
	limits =
	    bkl_limits_of(request->job, request->queue, spd_queue_ratio(speed));
	if (bkl_is_too_late(list_of(sch, request->queue->priority),
		request->job, request->queue->name, &limits, now_ms,
		&request->wait_ms))
		return SCH_BACKLOG;
	job = jt_new(request->job, request->queue);
	if (recall_crashes(sch, job, now_ms) == BLM_POISON) {
		job->spec = NULL; /* stays with the caller */
		jt_free(job);
		return SCH_CRASHING;
	}
	job->confinement = confinement;
	job->speed = speed;
	job->waiter = request->waiter;
	job->arrived_ms = now_ms;
	job->deadline_ms = request->deadline_ms;
	job->start_by_ms = now_ms + limits.start_ms;
	job->useful_until_ms = request->deadline_ms;
	if (limits.critical_path_ms > 0)
		job->useful_until_ms =
		    MIN(request->deadline_ms, now_ms + limits.useful_ms);
	sch->n_tasks += job->n_tasks;
	g_hash_table_insert(sch->jobs, job->spec->id, job);
	g_queue_push_tail_link(list_of(sch, job->priority), &job->link);
	sch->waiting = true;
	return SCH_ACCEPTED;
}

void *
sch_replace_waiter(struct sch *sch, const char *id, void *waiter)
{
	struct jt_job *job = g_hash_table_lookup(sch->jobs, id);
	void *former = job->waiter;

	job->waiter = waiter;
	return former;
}

bool
sch_has_job(const struct sch *sch, const char *id)
{
	return g_hash_table_contains(sch->jobs, id);
}

bool
sch_progress(
    const struct sch *sch, const char *id, struct sch_progress *progress)
{
	const struct jt_job *job = g_hash_table_lookup(sch->jobs, id);
	const uint32_t *n;

	if (job == NULL)
		return false;
	n = job->n_in_state;
	*progress = (struct sch_progress){
	    .queue = job->queue,
	    .n_tasks = job->n_tasks,
	    .n_ready = n[JT_READY],
	    .n_sent = n[JT_SENT],
	    .n_unresolved = n[JT_UNRESOLVED],
	    .n_done = n[JT_DONE],
	};
	return true;
}

bool
sch_cancel(struct sch *sch, const char *id)
{
	struct jt_job *job = g_hash_table_lookup(sch->jobs, id);

	if (job == NULL)
		return false;
	drop_job(sch, job);
	return true;
}

static gint
compare_sends(gconstpointer a, gconstpointer b)
{
	uint64_t seq_a = ((const struct jt_task *)a)->seq;
	uint64_t seq_b = ((const struct jt_task *)b)->seq;

	return (seq_a > seq_b) - (seq_a < seq_b);
}

/* In the order in which they were sent, whatever their addresses are. */
static void
resolve_lost(struct sch *sch, int64_t now_ms)
{
	g_autoptr(GList) tasks = g_hash_table_get_keys(sch->unresolved);
	GList *l;

	tasks = g_list_sort(tasks, compare_sends);
	for (l = tasks; l != NULL; l = l->next) {
		struct jt_task *task = l->data;

		/* A task earlier in the list may have ended the job. */
		if (!g_hash_table_contains(sch->unresolved, task) ||
		    task->resolved_ms > now_ms)
			continue;
		g_hash_table_remove(sch->unresolved, task);
		task->worker = NULL;
		requeue_task(sch, task, "agent was lost");
	}
}

static void
expire_jobs(struct sch *sch, int64_t now_ms)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(sch->jobs);
	GList *l;

	for (l = jobs; l != NULL; l = l->next) {
		struct jt_job *job = l->data;

		if (!job->sent && job->useful_until_ms <= now_ms)
			end_job(sch, job, SCH_NOT_RUN, "no room in time");
		else if (job->deadline_ms <= now_ms)
			end_job(sch, job, SCH_EXPIRED, "deadline has passed");
	}
}

/* The worst status of the tasks of the job that wait for a worker. */
static enum blm_status
worst_status(struct sch *sch, struct jt_job *job, int64_t now_ms)
{
	enum blm_status worst = BLM_CLEAR;
	uint32_t i;

	for (i = jt_next_ready(job, 0); i < job->n_tasks;
	     i = jt_next_ready(job, i + 1))
		worst = MAX(
		    worst, jt_blame_status(&job->tasks[i], sch->blame, now_ms));
	return worst;
}

static void
end_poison_jobs(struct sch *sch, int64_t now_ms)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(sch->jobs);
	GList *l;

	for (l = jobs; l != NULL; l = l->next) {
		struct jt_job *job = l->data;
		enum blm_status status = worst_status(sch, job, now_ms);

		job->suspected = status != BLM_CLEAR;
		if (status == BLM_POISON)
			end_job(sch, job, SCH_JOB_FAILED,
			    "its task crashes workers");
	}
}

void
sch_tick(struct sch *sch, int64_t now_ms)
{
	record_first_time(sch, now_ms);
	if (blm_is_needed(sch->blame)) {
		cfn_update(sch->confinement, now_ms);
		end_poison_jobs(sch, now_ms);
	}
	resolve_lost(sch, now_ms);
	expire_jobs(sch, now_ms);
	sch_place_tasks(sch, now_ms);
}

void
sch_abort_all(struct sch *sch, const char *reason)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(sch->jobs);
	GList *l;

	for (l = jobs; l != NULL; l = l->next) {
		struct jt_job *job = l->data;

		end_job(sch, job, job->sent ? SCH_BROKEN : SCH_NOT_RUN, reason);
	}
}

uint32_t
sch_n_jobs(const struct sch *sch)
{
	return g_hash_table_size(sch->jobs);
}

uint64_t
sch_n_tasks(const struct sch *sch)
{
	return sch->n_tasks;
}

uint32_t
sch_n_unsent_jobs(const struct sch *sch, const char *queue)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, sch->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct jt_job *job = value;

		if (!job->sent && strcmp(job->queue, queue) == 0)
			n++;
	}
	return n;
}
