#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/jobtask.h"
#include "request/sched.h"

/* Starts sent without a proof of failure; bounds a task that never ends. */
#define MAX_SENDS 12
/* Tasks without a place that a pass looks at before it stops. */
#define MAX_MISSES 64
/* Preference for workers in the own failure domain. */
#define REMOTE_COST 1.04
/* A failing worker costs as much as so many runs at failure rate 1. */
#define FAILURE_COST 20.0
/* After the start of the process jobs wait until workers can have reported. */
#define STARTUP_MS 3000
/* An answer later than so many objectives is worth nothing to its caller. */
#define USEFUL_OBJECTIVES 3
struct sch {
	struct sch_options opts;
	struct wks *workers;
	GHashTable *jobs;	  /* id to struct jt_job */
	GHashTable *sent;	  /* seq to struct jt_task */
	GHashTable *unresolved;	  /* struct jt_task as key */
	GHashTable *queue_speeds; /* queue name to struct spd_queue */
	GTree *lists;		  /* priority to GQueue of jobs */
	uint64_t next_seq;
	int64_t first_ms; /* of the clock, 0: not read yet */
	bool waiting;	  /* a task may be ready */
};

static gint
by_priority(gconstpointer a, gconstpointer b, gpointer data)
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

struct sch *
sch_new(const struct sch_options *opts)
{
	struct sch *sch = g_new0(struct sch, 1);

	sch->opts = *opts;
	sch->workers = wks_new();
	sch->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	sch->sent = g_hash_table_new(g_int64_hash, g_int64_equal);
	sch->unresolved = g_hash_table_new(NULL, NULL);
	sch->queue_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sch->lists = g_tree_new_full(by_priority, NULL, NULL, list_free);
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
	g_tree_unref(sch->lists);
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
	GQueue *list = g_tree_lookup(sch->lists, GUINT_TO_POINTER(priority));

	if (list == NULL) {
		list = g_new0(GQueue, 1);
		g_queue_init(list);
		g_tree_insert(sch->lists, GUINT_TO_POINTER(priority), list);
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
unsend(struct sch *sch, struct jt_task *task)
{
	if (g_hash_table_remove(sch->sent, &task->seq) && task->worker != NULL)
		task->worker->open--;
	g_hash_table_remove(sch->unresolved, task);
}

/* Withdraws what is open and frees the job. */
static void
drop_job(struct sch *sch, struct jt_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		struct jt_task *task = &job->tasks[i];

		if (task->state == JT_SENT && task->worker != NULL)
			sch->opts.cancel(
			    task->worker->link, task->seq, sch->opts.ctx);
		if (task->state == JT_SENT || task->state == JT_UNRESOLVED)
			unsend(sch, task);
	}
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
lose_task(struct sch *sch, struct jt_task *task, int64_t now_ms)
{
	unsend(sch, task);
	task->state = JT_UNRESOLVED;
	task->worker = NULL;
	task->resolved_ms = now_ms + sch->opts.lost_run_timeout_ms;
	g_hash_table_add(sch->unresolved, task);
}

static void
lose_tasks(struct sch *sch, const struct wks_worker *w, int64_t now_ms)
{
	g_autoptr(GList) tasks = g_hash_table_get_values(sch->sent);
	GList *l;

	for (l = tasks; l != NULL; l = l->next) {
		struct jt_task *task = l->data;

		if (task->worker == w)
			lose_task(sch, task, now_ms);
	}
}

void
sch_disconnect(struct sch *sch, struct wks_worker *w, int64_t now_ms)
{
	w->described = false;
	w->accepting = false;
	lose_tasks(sch, w, now_ms);
}

void
sch_remove_worker(struct sch *sch, struct wks_worker *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	lose_tasks(sch, w, now_ms);
	g_hash_table_iter_init(&iter, sch->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		jt_forget_worker(value, w);
	wks_remove(sch->workers, w);
}

static const struct wk_step *
step_of(const struct jt_task *task)
{
	return &task->job->spec->steps[task->step];
}

/* Expected time to a good end of the task on the worker. */
static double
cost_of(const struct sch *sch, const struct wks_worker *w,
    const struct jt_task *task, int64_t now_ms)
{
	const struct wk_step *step = step_of(task);
	double cost =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	if (step->preferred_rack != NULL &&
	    !wks_has_label(w, step->preferred_rack))
		cost *= sch->opts.cross_rack_factor;
	cost *= 1 + FAILURE_COST * hlt_failure_rate(&w->health, now_ms);
	if (jt_has_failed_on(task, w))
		cost *= 1 + FAILURE_COST;
	return w->local ? cost : cost * REMOTE_COST;
}

static struct wks_worker *
choose(const struct sch *sch, const struct jt_task *task, int64_t now_ms)
{
	const struct wk_step *step = step_of(task);
	struct wks_worker *best = NULL;
	double best_cost = INFINITY;
	size_t i;

	for (i = 0; i < wks_count(sch->workers); i++) {
		struct wks_worker *w = wks_get(sch->workers, i);
		double cost;

		if (!wks_is_usable(sch->workers, w, task->job->service) ||
		    !wks_could_run(w, step) ||
		    !wk_fits(&step->size, &w->room) ||
		    !hlt_may_start(&w->health, w->open, now_ms))
			continue;
		if (step->max_per_worker > 0 &&
		    jt_sent_to(task->job, task->step, w) >=
			step->max_per_worker)
			continue;
		cost = cost_of(sch, w, task, now_ms);
		if (cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

/*
 * Estimates are often far off: a task that was too slow once is likely to be
 * long, and must not be stopped on one worker after the other.
 */
static int64_t
expected_ms(const struct jt_task *task, const struct wks_worker *w)
{
	const struct wk_step *step = step_of(task);
	double run_ms =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	return MAX((int64_t)run_ms, task->projected_ms);
}

static bool
send(
    struct sch *sch, struct jt_task *task, struct wks_worker *w, int64_t now_ms)
{
	struct jt_job *job = task->job;
	const struct wk_step *step = step_of(task);
	struct sch_start start = {
	    .seq = ++sch->next_seq,
	    .job = job->spec->id,
	    .step = task->step,
	    .index = task->index,
	    .spec = job->spec->spec,
	    .service = job->service,
	    .size = step->size,
	    .priority = job->priority,
	    .expected_ms = expected_ms(task, w),
	    .start_within_ms = job->deadline_ms - now_ms,
	};

	if (!sch->opts.start(w->link, &start, sch->opts.ctx))
		return false;
	wk_subtract(&w->room, &step->size);
	w->unflushed = true;
	task->state = JT_SENT;
	task->seq = start.seq;
	task->worker = w;
	task->sent_ms = now_ms;
	task->sends++;
	job->sent = true;
	g_hash_table_insert(sch->sent, &task->seq, task);
	w->open++;
	return true;
}

/* One pass over the waiting tasks. */
struct pass {
	struct sch *sch;
	int64_t now_ms;
	uint32_t misses;
	const struct jt_task
	    *missed; /* smallest task that any worker could take */
};

/* A task found no worker that asked no more of one than this task does. */
static bool
must_miss(const struct pass *pass, const struct jt_task *task)
{
	return pass->missed != NULL &&
	       strcmp(pass->missed->job->service, task->job->service) == 0 &&
	       wk_fits(&step_of(pass->missed)->size, &step_of(task)->size);
}

static void
note_miss(struct pass *pass, const struct jt_task *task)
{
	const struct wk_step *step = step_of(task);

	pass->misses++;
	if (step->required_label == NULL && step->max_per_worker == 0 &&
	    (pass->missed == NULL ||
		wk_fits(&step->size, &step_of(pass->missed)->size)))
		pass->missed = task;
}

static void
place_task(struct pass *pass, struct jt_task *task)
{
	struct wks_worker *w = NULL;

	if (must_miss(pass, task)) {
		pass->misses++;
		return;
	}
	/* A link that takes nothing is out until its next report. */
	while ((w = choose(pass->sch, task, pass->now_ms)) != NULL &&
	       !send(pass->sch, task, w, pass->now_ms))
		w->accepting = false;
	if (w == NULL)
		note_miss(pass, task);
}

static void
place_job(struct pass *pass, struct jt_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks && pass->misses < MAX_MISSES; i++) {
		if (job->tasks[i].state == JT_READY)
			place_task(pass, &job->tasks[i]);
	}
}

/* Whether the job goes before those whose objective is missed already. */
static bool
goes_first(const struct jt_job *job, int64_t now_ms)
{
	return job->sent || now_ms <= job->start_by_ms;
}

static void
place_jobs(struct pass *pass, const GQueue *list, bool first)
{
	GList *l;

	for (l = list->head; l != NULL && pass->misses < MAX_MISSES;
	     l = l->next) {
		struct jt_job *job = l->data;

		if (goes_first(job, pass->now_ms) == first)
			place_job(pass, job);
	}
}

/*
 * In an overload that lasts, strict order of arrival would make every job
 * late; the jobs that can still be in time are, if the late ones wait.
 */
static gboolean
place_list(gpointer key, gpointer value, gpointer data)
{
	struct pass *pass = data;

	(void)key;
	place_jobs(pass, value, true);
	place_jobs(pass, value, false);
	return pass->misses >= MAX_MISSES;
}

bool
sch_has_waiting_tasks(const struct sch *sch)
{
	return sch->waiting;
}

void
sch_place_tasks(struct sch *sch, int64_t now_ms)
{
	struct pass pass = {.sch = sch, .now_ms = now_ms};
	size_t i;

	g_tree_foreach(sch->lists, place_list, &pass);
	sch->waiting = pass.misses > 0;
	for (i = 0; i < wks_count(sch->workers); i++) {
		struct wks_worker *w = wks_get(sch->workers, i);

		if (!w->unflushed)
			continue;
		w->unflushed = false;
		sch->opts.flush(w->link, sch->opts.ctx);
	}
}

static void
task_done(struct sch *sch, struct jt_task *task)
{
	if (task->job->spec->n_steps > 1)
		sch->waiting = true; /* the next step may be ready */
	if (jt_done(task))
		end_job(sch, task->job, SCH_COMPLETED, "");
}

/* Makes a task ready again, or ends its job. */
static void
task_again(struct sch *sch, struct jt_task *task, const char *reason)
{
	task->state = JT_READY;
	sch->waiting = true;
	if (task->failures >= task->job->max_attempts)
		end_job(sch, task->job, SCH_JOB_FAILED, reason);
	else if (task->sends >= MAX_SENDS)
		end_job(sch, task->job, SCH_BROKEN, reason);
}

static void
measure(const struct jt_task *task, struct wks_worker *w, int64_t run_ms)
{
	spd_measure(task->job->speed, &w->speed, w->kind, run_ms,
	    step_of(task)->estimate_ms);
}

/* The tasks of one job count once, unless the worker is being probed. */
static void
note_failure(struct jt_task *task, struct wks_worker *w, int64_t now_ms)
{
	if (hlt_is_ejected(&w->health) || !jt_job_has_failed_on(task->job, w))
		hlt_failed(&w->health, now_ms);
	jt_remember_failed_on(task, w);
}

static void
tell_setback(struct sch *sch, const struct jt_task *task,
    const struct wks_worker *w, enum sch_outcome outcome, const char *reason)
{
	struct sch_failed_start start_failed = {
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

	sch->opts.start_failed(w->link, &start_failed, sch->opts.ctx);
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
	unsend(sch, task);
	task->worker = NULL;
	switch (outcome) {
	case SCH_DONE:
		hlt_done(&w->health, now_ms);
		measure(task, w, run_ms);
		task_done(sch, task);
		return;
	case SCH_FAILED:
		task->failures++;
		note_failure(task, w, now_ms);
		break;
	case SCH_STALLED:
		task->projected_ms = MAX(task->projected_ms, run_ms);
		if (run_ms > 0)
			measure(task, w, run_ms);
		note_failure(task, w, now_ms);
		break;
	case SCH_LOST:
		jt_remember_failed_on(task, w);
		break;
	case SCH_NOT_STARTED:
		hlt_refused(&w->health, now_ms);
		break;
	}
	tell_setback(sch, task, w, outcome, reason);
	task_again(sch, task, reason);
}

/* Whether each step has a worker. */
static enum sch_submit_result
check_workers(const struct sch *sch, const char *service,
    const struct wk_job *spec, int64_t now_ms)
{
	bool starting = now_ms - sch->first_ms < STARTUP_MS;
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++) {
		switch (
		    wks_check(sch->workers, service, &spec->steps[i], now_ms)) {
		case WKS_USABLE:
			break;
		case WKS_TOO_LARGE:
			return SCH_TOO_LARGE;
		case WKS_UNKNOWN:
			if (!starting)
				return SCH_NO_WORKERS;
			break;
		case WKS_NONE:
			return SCH_NO_WORKERS;
		}
	}
	return SCH_ACCEPTED;
}

/* When answers to a request are worth what, from its arrival. */
struct worth {
	int64_t chain_ms;  /* expected run time, 0: not known */
	int64_t start_ms;  /* in full, if its tasks are sent by then */
	int64_t useful_ms; /* nothing later than this */
};

static struct worth
worth_of(const struct sch_request *request, const struct spd_queue *speed)
{
	int64_t chain_ms = (int64_t)((double)wk_job_chain_ms(request->job) *
				     spd_queue_ratio(speed));
	int64_t objective_ms =
	    (int64_t)(request->queue->stretch * (double)chain_ms) +
	    request->queue->target_ms;

	return (struct worth){
	    .chain_ms = chain_ms,
	    .start_ms = objective_ms - chain_ms,
	    .useful_ms = USEFUL_OBJECTIVES * objective_ms,
	};
}

/* Whether the first step of b asks as much of a worker as that of a. */
static bool
asks_as_much(const struct wk_job *a, const struct wk_job *b)
{
	return a->steps[0].required_label == NULL &&
	       a->steps[0].max_per_worker == 0 &&
	       wk_fits(&a->steps[0].size, &b->steps[0].size);
}

/* How long jobs of a queue that wait for their first start have waited. */
struct waits {
	int64_t oldest_ms;
	int64_t in_time_ms; /* the oldest of those that can still be in time */
};

/*
 * In a queue that is served in order, the time that its first job has waited
 * is what a new one must expect; jobs that ask more of a worker say nothing
 * about it.
 */
static struct waits
waits_of(struct sch *sch, const struct sch_request *request, int64_t now_ms)
{
	GList *l = list_of(sch, request->queue->priority)->head;
	struct waits waits = {0};

	for (; l != NULL; l = l->next) {
		const struct jt_job *job = l->data;

		if (job->sent ||
		    strcmp(job->queue, request->queue->name) != 0 ||
		    !asks_as_much(job->spec, request->job))
			continue;
		if (waits.oldest_ms == 0)
			waits.oldest_ms = now_ms - job->arrived_ms;
		if (now_ms <= job->start_by_ms) {
			waits.in_time_ms = now_ms - job->arrived_ms;
			break;
		}
	}
	return waits;
}

/*
 * Jobs are being given up, and a new one would be late too.  Those that can
 * be in time are let in as long as half of their time to start is left.
 */
static bool
is_hopeless(const struct waits *waits, const struct worth *worth)
{
	return worth->chain_ms > 0 &&
	       waits->oldest_ms + worth->chain_ms > worth->useful_ms &&
	       waits->in_time_ms > worth->start_ms / 2;
}

static void
read_clock(struct sch *sch, int64_t now_ms)
{
	if (sch->first_ms == 0)
		sch->first_ms = now_ms;
}

enum sch_submit_result
sch_submit(struct sch *sch, struct sch_request *request, int64_t now_ms)
{
	struct spd_queue *speed;
	struct worth worth;
	struct waits waits;
	enum sch_submit_result verdict;
	struct jt_job *job;

	if (request->queue->external_placement)
		return SCH_UNSUPPORTED;
	read_clock(sch, now_ms);
	verdict =
	    check_workers(sch, request->queue->service, request->job, now_ms);
	if (verdict != SCH_ACCEPTED)
		return verdict;
	if (g_hash_table_size(sch->jobs) >= sch->opts.max_jobs)
		return SCH_OVERLOADED;
	speed = queue_speed(sch, request->queue->name);
	worth = worth_of(request, speed);
	waits = waits_of(sch, request, now_ms);
	request->wait_ms = waits.oldest_ms;
	if (is_hopeless(&waits, &worth))
		return SCH_BACKLOG;
	job = jt_new(request->job, request->queue);
	job->speed = speed;
	job->waiter = request->waiter;
	job->arrived_ms = now_ms;
	job->deadline_ms = request->deadline_ms;
	job->start_by_ms = now_ms + worth.start_ms;
	job->useful_until_ms = request->deadline_ms;
	if (worth.chain_ms > 0)
		job->useful_until_ms =
		    MIN(request->deadline_ms, now_ms + worth.useful_ms);
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
	uint32_t n[JT_N_STATES];

	if (job == NULL)
		return false;
	jt_count(job, n);
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

static void
resolve_lost(struct sch *sch, int64_t now_ms)
{
	g_autoptr(GList) tasks = g_hash_table_get_keys(sch->unresolved);
	GList *l;

	for (l = tasks; l != NULL; l = l->next) {
		struct jt_task *task = l->data;

		/* An earlier one of the list may have ended the job. */
		if (!g_hash_table_contains(sch->unresolved, task) ||
		    task->resolved_ms > now_ms)
			continue;
		g_hash_table_remove(sch->unresolved, task);
		task_again(sch, task, "agent was lost");
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

void
sch_tick(struct sch *sch, int64_t now_ms)
{
	read_clock(sch, now_ms);
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
