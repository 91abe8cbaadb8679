#include <string.h>

#include "request/sched_private.h"

/*
 * Limit of starts per task, whatever their outcomes.  The job ends then, so
 * that a task that is lost or refused every time is not sent for ever.
 */
#define MAX_STARTS_PER_TASK 12
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
	sch->opts.choice.by_kind = opts->policy.wait_for_faster;
	sch->workers = wks_new();
	sch->blame = blm_new();
	sch->confinement = make_confinement(sch);
	sch->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	sch->sent = g_hash_table_new(g_int64_hash, g_int64_equal);
	sch->unresolved = g_hash_table_new(NULL, NULL);
	sch->queue_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sch->drains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sch->retry_after.phase = opts->choice.scan_offset;
	sch->choice = chc_new(sch->workers, &sch->opts.choice);
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
	g_hash_table_unref(sch->drains);
	g_free(sch);
}

struct wks *
sch_workers(struct sch *sch)
{
	return sch->workers;
}

GQueue *
sch_list_of(struct sch *sch, uint32_t priority)
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
	g_queue_unlink(sch_list_of(sch, job->priority), &job->link);
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
	drt_record_sent(job->drain, job->steps[task->step].task_work);
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

static void
on_unplaced(const struct jt_job *job, void *ctx)
{
	(void)ctx;
	drt_record_unplaced(job->drain);
}

static void
end_pass(struct sch *sch, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer drain;

	g_hash_table_iter_init(&iter, sch->drains);
	while (g_hash_table_iter_next(&iter, NULL, &drain))
		drt_end_pass(drain, now_ms);
}

static void
on_delayed(const struct jt_job *job, enum plg_delay why, void *ctx)
{
	struct sch *sch = ctx;

	if (sch->opts.delayed != NULL)
		sch->opts.delayed(job->spec->id, why, job->n_in_state[JT_READY],
		    sch->opts.ctx);
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
	    .by_objective = sch->opts.policy.order_by_objective,
	    .send = send,
	    .delayed = on_delayed,
	    .unplaced = on_unplaced,
	    .ctx = sch,
	};
	size_t i;

	sch->waiting = plg_run(&opts, sch->jobs_by_priority, now_ms);
	end_pass(sch, now_ms);
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

void
sch_record_first_time(struct sch *sch, int64_t now_ms)
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

static void
end_poison_jobs(struct sch *sch, int64_t now_ms)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(sch->jobs);
	GList *l;

	for (l = jobs; l != NULL; l = l->next) {
		struct jt_job *job = l->data;
		enum blm_status status =
		    jt_worst_status(job, sch->blame, now_ms);

		job->suspected = status != BLM_CLEAR;
		if (status == BLM_POISON)
			end_job(sch, job, SCH_JOB_FAILED,
			    "its task crashes workers");
	}
}

void
sch_tick(struct sch *sch, int64_t now_ms)
{
	sch_record_first_time(sch, now_ms);
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
