#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/health.h"
#include "request/sched.h"
#include "request/speed.h"

/* Starts sent without a proof of failure; bounds a task that never ends. */
#define MAX_SENDS 12
/* Tasks without a place that a pass looks at before it stops. */
#define MAX_MISSES 64
/* Preference for workers in the own failure domain. */
#define REMOTE_COST 1.04
/* A failing worker costs as much as so many runs at failure rate 1. */
#define FAILURE_COST 20.0
/*
 * Jobs wait for workers that were usable this recently, and after the start
 * of the process until they can have reported, instead of being refused.
 */
#define RETURN_MS  2000
#define STARTUP_MS 3000
/* An answer later than so many objectives is worth nothing to its caller. */
#define USEFUL_OBJECTIVES 3
/* Workers remembered that failed a task or lost it. */
#define MAX_FAILED_ON 4

enum task_state { BLOCKED, READY, SENT, UNRESOLVED, DONE };

struct task {
	struct job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	uint32_t failures;
	uint32_t sends;
	uint64_t seq;
	struct sch_worker *worker; /* NULL when it was removed */
	struct sch_worker *failed_on[MAX_FAILED_ON];
	int64_t sent_ms;
	int64_t resolved_ms;  /* an unresolved run has ended by then */
	int64_t projected_ms; /* run time that stopped it as too slow */
};

struct step {
	uint32_t left;	  /* tasks not done */
	uint32_t blocked; /* steps to be done first */
};

struct job {
	struct wk_job *spec;
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	int64_t deadline_ms;
	int64_t useful_until_ms; /* given up then if nothing was sent */
	void *waiter;
	struct step *steps;
	struct task *tasks;
	uint32_t n_tasks;
	uint32_t n_left;
	bool sent; /* a task was sent and may have run */
	struct spd_queue *speed;
	GList link; /* in its priority's list */
};

struct sch_worker {
	void *link;
	char *name;
	char *service;
	char *failure_domain;
	char **labels;
	uint64_t incarnation;
	struct wk_size capacity;
	struct wk_size room; /* reported, less what was sent since */
	bool described;
	bool accepting;
	bool draining;
	bool local;
	bool unflushed;
	int64_t usable_ms; /* when it last took tasks, 0: never */
	struct spd_worker speed;
	struct spd_worker *kind;
	uint32_t open; /* tasks sent and without an outcome */
	struct hlt health;
};

struct sch {
	struct sch_options opts;
	GPtrArray *workers;	  /* struct sch_worker */
	GHashTable *jobs;	  /* id to struct job */
	GHashTable *sent;	  /* seq to struct task */
	GHashTable *unresolved;	  /* struct task as key */
	GHashTable *queue_speeds; /* queue name to struct spd_queue */
	GHashTable *kind_speeds;  /* labels to struct spd_worker */
	GTree *lists;		  /* priority to GQueue of jobs */
	uint64_t next_seq;
	int64_t first_ms; /* of the clock, 0: not read yet */
	bool (*is_out)(const char *domain, void *ctx);
	void *is_out_ctx;
};

static gint
by_priority(gconstpointer a, gconstpointer b, gpointer data)
{
	guint left = GPOINTER_TO_UINT(a), right = GPOINTER_TO_UINT(b);

	(void)data;
	return (left > right) - (left < right);
}

static void
list_free(gpointer data)
{
	g_free(data);
}

static void
worker_free(gpointer data)
{
	struct sch_worker *w = data;

	g_free(w->name);
	g_free(w->service);
	g_free(w->failure_domain);
	g_strfreev(w->labels);
	g_free(w);
}

static void
job_free(gpointer data)
{
	struct job *job = data;

	wk_job_free(job->spec);
	g_free(job->queue);
	g_free(job->service);
	g_free(job->steps);
	g_free(job->tasks);
	g_free(job);
}

struct sch *
sch_new(const struct sch_options *opts)
{
	struct sch *sch = g_new0(struct sch, 1);

	sch->opts = *opts;
	sch->workers = g_ptr_array_new_with_free_func(worker_free);
	sch->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	sch->sent = g_hash_table_new(g_int64_hash, g_int64_equal);
	sch->unresolved = g_hash_table_new(NULL, NULL);
	sch->queue_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sch->kind_speeds =
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
	g_ptr_array_unref(sch->workers);
	g_hash_table_unref(sch->queue_speeds);
	g_hash_table_unref(sch->kind_speeds);
	g_free(sch);
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

static struct spd_worker *
kind_speed(struct sch *sch, const char *kind)
{
	struct spd_worker *speed = g_hash_table_lookup(sch->kind_speeds, kind);

	if (speed == NULL) {
		speed = g_new0(struct spd_worker, 1);
		g_hash_table_insert(sch->kind_speeds, g_strdup(kind), speed);
	}
	return speed;
}

struct sch_worker *
sch_add_worker(struct sch *sch, void *link)
{
	struct sch_worker *w = g_new0(struct sch_worker, 1);

	w->link = link;
	w->labels = g_new0(char *, 1);
	w->kind = kind_speed(sch, "");
	g_ptr_array_add(sch->workers, w);
	return w;
}

void
sch_describe(
    struct sch *sch, struct sch_worker *w, const struct sch_description *d)
{
	size_t i;

	if (w->incarnation != d->incarnation) {
		w->speed = (struct spd_worker){0};
		w->health = (struct hlt){0};
	}
	g_free(w->name);
	g_free(w->service);
	g_free(w->failure_domain);
	g_strfreev(w->labels);
	w->name = g_strdup(d->name);
	w->incarnation = d->incarnation;
	w->service = g_strdup(d->service);
	w->failure_domain = g_strdup(d->failure_domain);
	w->labels = g_new0(char *, d->n_labels + 1);
	for (i = 0; i < d->n_labels; i++)
		w->labels[i] = g_strdup(d->labels[i]);
	w->kind = kind_speed(sch, d->n_labels > 0 ? d->labels[0] : "");
	w->capacity = d->capacity;
	w->draining = d->draining;
	w->local = d->local;
	w->described = d->incarnation != 0;
}

/*
 * The room was reported before it saw the latest starts; an excess is queued
 * at the worker for a short time.
 */
void
sch_room(struct sch *sch, struct sch_worker *w, const struct wk_size *room,
    bool accepting, int64_t now_ms)
{
	(void)sch;
	w->room = *room;
	w->accepting = accepting;
	if (accepting && !w->draining)
		w->usable_ms = now_ms;
}

void
sch_set_out(
    struct sch *sch, bool (*is_out)(const char *domain, void *ctx), void *ctx)
{
	sch->is_out = is_out;
	sch->is_out_ctx = ctx;
}

static void
make_ready(struct job *job, uint32_t step)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].step == step &&
		    job->tasks[i].state == BLOCKED)
			job->tasks[i].state = READY;
	}
}

static void
unsend(struct sch *sch, struct task *task)
{
	if (g_hash_table_remove(sch->sent, &task->seq) && task->worker != NULL)
		task->worker->open--;
	g_hash_table_remove(sch->unresolved, task);
}

/* Withdraws what is open and frees the job. */
static void
drop_job(struct sch *sch, struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		struct task *task = &job->tasks[i];

		if (task->state == SENT && task->worker != NULL)
			sch->opts.cancel(
			    task->worker->link, task->seq, sch->opts.ctx);
		if (task->state == SENT || task->state == UNRESOLVED)
			unsend(sch, task);
	}
	g_queue_unlink(list_of(sch, job->priority), &job->link);
	g_hash_table_remove(sch->jobs, job->spec->id);
}

static void
end_job(struct sch *sch, struct job *job, enum sch_end end, const char *reason)
{
	if (job->waiter != NULL)
		sch->opts.ended(
		    job->waiter, job->spec->id, end, reason, sch->opts.ctx);
	drop_job(sch, job);
}

static void
lose_task(struct sch *sch, struct task *task, int64_t now_ms)
{
	unsend(sch, task);
	task->state = UNRESOLVED;
	task->worker = NULL;
	task->resolved_ms = now_ms + sch->opts.resolve_ms;
	g_hash_table_add(sch->unresolved, task);
}

static void
lose_tasks(struct sch *sch, const struct sch_worker *w, int64_t now_ms)
{
	g_autoptr(GList) tasks = g_hash_table_get_values(sch->sent);
	GList *l;

	for (l = tasks; l != NULL; l = l->next) {
		struct task *task = l->data;

		if (task->worker == w)
			lose_task(sch, task, now_ms);
	}
}

void
sch_disconnect(struct sch *sch, struct sch_worker *w, int64_t now_ms)
{
	w->described = false;
	w->accepting = false;
	lose_tasks(sch, w, now_ms);
}

static bool
is_out(const struct sch *sch, const struct sch_worker *w)
{
	return sch->is_out != NULL &&
	       sch->is_out(w->failure_domain, sch->is_out_ctx);
}

static bool
is_usable(
    const struct sch *sch, const struct sch_worker *w, const struct job *job)
{
	return w->described && w->accepting && !w->draining &&
	       strcmp(w->service, job->service) == 0 && !is_out(sch, w);
}

static bool
has_label(const struct sch_worker *w, const char *label)
{
	return g_strv_contains((const char *const *)w->labels, label);
}

static bool
could_run(const struct sch_worker *w, const struct wk_step *step)
{
	return wk_fits(&step->size, &w->capacity) &&
	       (step->required_label == NULL ||
		   has_label(w, step->required_label));
}

static uint32_t
tasks_on(const struct job *job, uint32_t step, const struct sch_worker *w)
{
	uint32_t i, n = 0;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].step == step && job->tasks[i].worker == w &&
		    job->tasks[i].state == SENT)
			n++;
	}
	return n;
}

static bool
has_failed_on(const struct task *task, const struct sch_worker *w)
{
	int i;

	for (i = 0; i < MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == w)
			return true;
	}
	return false;
}

static bool
job_has_failed_on(const struct job *job, const struct sch_worker *w)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (has_failed_on(&job->tasks[i], w))
			return true;
	}
	return false;
}

static void
remember_failed_on(struct task *task, struct sch_worker *w)
{
	int i;

	for (i = 0; i < MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == NULL) {
			task->failed_on[i] = w;
			return;
		}
	}
}

static void
forget_worker(struct task *task, const struct sch_worker *w)
{
	int i;

	for (i = 0; i < MAX_FAILED_ON; i++) {
		if (task->failed_on[i] == w)
			task->failed_on[i] = NULL;
	}
	if (task->worker == w)
		task->worker = NULL;
}

void
sch_remove_worker(struct sch *sch, struct sch_worker *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	lose_tasks(sch, w, now_ms);
	g_hash_table_iter_init(&iter, sch->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		for (i = 0; i < job->n_tasks; i++)
			forget_worker(&job->tasks[i], w);
	}
	g_ptr_array_remove(sch->workers, w);
}

/* Expected time to a good end of the task on the worker. */
static double
cost_of(const struct sch *sch, const struct sch_worker *w,
    const struct task *task, int64_t now_ms)
{
	const struct wk_step *step = &task->job->spec->steps[task->step];
	double cost =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	if (step->preferred_rack != NULL && !has_label(w, step->preferred_rack))
		cost *= sch->opts.cross_rack_factor;
	cost *= 1 + FAILURE_COST * hlt_failure_rate(&w->health, now_ms);
	if (has_failed_on(task, w))
		cost *= 1 + FAILURE_COST;
	return w->local ? cost : cost * REMOTE_COST;
}

static struct sch_worker *
choose(const struct sch *sch, const struct task *task, int64_t now_ms)
{
	const struct wk_step *step = &task->job->spec->steps[task->step];
	struct sch_worker *best = NULL;
	double best_cost = INFINITY;
	guint i;

	for (i = 0; i < sch->workers->len; i++) {
		struct sch_worker *w = sch->workers->pdata[i];
		double cost;

		if (!is_usable(sch, w, task->job) || !could_run(w, step) ||
		    !wk_fits(&step->size, &w->room) ||
		    !hlt_may_start(&w->health, w->open, now_ms))
			continue;
		if (step->max_per_worker > 0 &&
		    tasks_on(task->job, task->step, w) >= step->max_per_worker)
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
expected_ms(const struct task *task, const struct sch_worker *w)
{
	const struct wk_step *step = &task->job->spec->steps[task->step];
	double run_ms =
	    spd_run_ms(task->job->speed, &w->speed, w->kind, step->estimate_ms);

	return MAX((int64_t)run_ms, task->projected_ms);
}

static bool
send(struct sch *sch, struct task *task, struct sch_worker *w, int64_t now_ms)
{
	struct job *job = task->job;
	const struct wk_step *step = &job->spec->steps[task->step];
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
	task->state = SENT;
	task->seq = start.seq;
	task->worker = w;
	task->sent_ms = now_ms;
	task->sends++;
	job->sent = true;
	g_hash_table_insert(sch->sent, &task->seq, task);
	w->open++;
	return true;
}

/* Returns the number of tasks that found no worker, up to limit. */
static uint32_t
place_job(struct sch *sch, struct job *job, uint32_t limit, int64_t now_ms)
{
	uint32_t i, misses = 0;

	for (i = 0; i < job->n_tasks && misses < limit; i++) {
		struct task *task = &job->tasks[i];
		struct sch_worker *w;

		if (task->state != READY)
			continue;
		/* A link that takes nothing is out until its next report. */
		while ((w = choose(sch, task, now_ms)) != NULL &&
		       !send(sch, task, w, now_ms))
			w->accepting = false;
		if (w == NULL)
			misses++;
	}
	return misses;
}

struct pass {
	struct sch *sch;
	int64_t now_ms;
	uint32_t misses;
};

static gboolean
place_list(gpointer key, gpointer value, gpointer data)
{
	struct pass *pass = data;
	GQueue *list = value;
	GList *l;

	(void)key;
	for (l = list->head; l != NULL && pass->misses < MAX_MISSES;
	     l = l->next)
		pass->misses += place_job(pass->sch, l->data,
		    MAX_MISSES - pass->misses, pass->now_ms);
	return pass->misses >= MAX_MISSES;
}

void
sch_run(struct sch *sch, int64_t now_ms)
{
	struct pass pass = {.sch = sch, .now_ms = now_ms};
	guint i;

	g_tree_foreach(sch->lists, place_list, &pass);
	for (i = 0; i < sch->workers->len; i++) {
		struct sch_worker *w = sch->workers->pdata[i];

		if (!w->unflushed)
			continue;
		w->unflushed = false;
		sch->opts.flush(w->link, sch->opts.ctx);
	}
}

static void
step_done(struct job *job, uint32_t done)
{
	uint32_t i, j;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct wk_step *step = &job->spec->steps[i];

		for (j = 0; j < step->n_after; j++) {
			if (step->after[j] == done &&
			    --job->steps[i].blocked == 0)
				make_ready(job, i);
		}
	}
}

static void
task_done(struct sch *sch, struct task *task)
{
	struct job *job = task->job;

	task->state = DONE;
	job->n_left--;
	if (--job->steps[task->step].left == 0)
		step_done(job, task->step);
	if (job->n_left == 0)
		end_job(sch, job, SCH_COMPLETED, "");
}

/* Makes a task ready again, or ends its job. */
static void
task_again(struct sch *sch, struct task *task, const char *reason)
{
	task->state = READY;
	if (task->failures >= task->job->max_attempts)
		end_job(sch, task->job, SCH_JOB_FAILED, reason);
	else if (task->sends >= MAX_SENDS)
		end_job(sch, task->job, SCH_BROKEN, reason);
}

static void
measure(const struct task *task, struct sch_worker *w, int64_t run_ms)
{
	spd_measure(task->job->speed, &w->speed, w->kind, run_ms,
	    task->job->spec->steps[task->step].estimate_ms);
}

/* The tasks of one job count once, unless the worker is being probed. */
static void
note_failure(struct task *task, struct sch_worker *w, int64_t now_ms)
{
	if (hlt_is_ejected(&w->health) || !job_has_failed_on(task->job, w))
		hlt_failed(&w->health, now_ms);
	remember_failed_on(task, w);
}

static void
tell_setback(struct sch *sch, const struct task *task,
    const struct sch_worker *w, enum sch_outcome outcome, const char *reason)
{
	struct sch_setback setback = {
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

	sch->opts.setback(w->link, &setback, sch->opts.ctx);
}

void
sch_result(struct sch *sch, uint64_t seq, enum sch_outcome outcome,
    int64_t run_ms, const char *reason, int64_t now_ms)
{
	struct task *task = g_hash_table_lookup(sch->sent, &seq);
	struct sch_worker *w;

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
		remember_failed_on(task, w);
		break;
	case SCH_NOT_STARTED:
		hlt_refused(&w->health, now_ms);
		break;
	}
	tell_setback(sch, task, w, outcome, reason);
	task_again(sch, task, reason);
}

static void
init_tasks(struct job *job)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct wk_step *step = &job->spec->steps[i];

		job->steps[i].left = step->count;
		job->steps[i].blocked = step->n_after;
		for (j = 0; j < step->count; j++) {
			job->tasks[n].job = job;
			job->tasks[n].step = i;
			job->tasks[n].index = j;
			n++;
		}
	}
	for (i = 0; i < job->spec->n_steps; i++) {
		if (job->steps[i].blocked == 0)
			make_ready(job, i);
	}
}

/* Whether tasks can be sent to the worker now or, as it seems, soon. */
static bool
may_return(const struct sch *sch, const struct sch_worker *w, int64_t now_ms)
{
	if (is_out(sch, w))
		return false;
	return (w->described && w->accepting && !w->draining) ||
	       (w->usable_ms != 0 && now_ms - w->usable_ms < RETURN_MS);
}

static enum sch_verdict
check_step(const struct sch *sch, const char *service,
    const struct wk_step *step, int64_t now_ms)
{
	bool known = false, large = true;
	guint i;

	for (i = 0; i < sch->workers->len; i++) {
		const struct sch_worker *w = sch->workers->pdata[i];

		if (w->service == NULL || strcmp(w->service, service) != 0)
			continue;
		known = true;
		if (!could_run(w, step))
			continue;
		large = false;
		if (may_return(sch, w, now_ms))
			return SCH_ACCEPTED;
	}
	if (known && large)
		return SCH_TOO_LARGE;
	if (!known && now_ms - sch->first_ms < STARTUP_MS)
		return SCH_ACCEPTED;
	return SCH_NO_WORKERS;
}

/* Whether each step has a worker. */
static enum sch_verdict
check_workers(const struct sch *sch, const char *service,
    const struct wk_job *spec, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++) {
		enum sch_verdict verdict =
		    check_step(sch, service, &spec->steps[i], now_ms);

		if (verdict != SCH_ACCEPTED)
			return verdict;
	}
	return SCH_ACCEPTED;
}

static int64_t
useful_until_ms(const struct sch_request *request, int64_t now_ms)
{
	int64_t chain_ms = wk_job_chain_ms(request->job);
	double objective_ms = request->queue->stretch * (double)chain_ms +
			      (double)request->queue->target_ms;

	if (chain_ms == 0)
		return request->deadline_ms;
	return MIN(request->deadline_ms,
	    now_ms + (int64_t)(USEFUL_OBJECTIVES * objective_ms));
}

static void
read_clock(struct sch *sch, int64_t now_ms)
{
	if (sch->first_ms == 0)
		sch->first_ms = now_ms;
}

enum sch_verdict
sch_submit(struct sch *sch, const struct sch_request *request, int64_t now_ms)
{
	enum sch_verdict verdict;
	struct job *job;

	if (request->queue->advised)
		return SCH_UNSERVED;
	read_clock(sch, now_ms);
	verdict =
	    check_workers(sch, request->queue->service, request->job, now_ms);
	if (verdict != SCH_ACCEPTED)
		return verdict;
	if (g_hash_table_size(sch->jobs) >= sch->opts.max_jobs)
		return SCH_OVERLOADED;
	job = g_new0(struct job, 1);
	job->spec = request->job;
	job->queue = g_strdup(request->queue->name);
	job->service = g_strdup(request->queue->service);
	job->priority = request->queue->priority;
	job->max_attempts = MAX(request->queue->max_attempts, 1);
	job->deadline_ms = request->deadline_ms;
	job->useful_until_ms = useful_until_ms(request, now_ms);
	job->waiter = request->waiter;
	job->n_tasks = job->n_left = wk_job_n_tasks(job->spec);
	job->steps = g_new0(struct step, job->spec->n_steps);
	job->tasks = g_new0(struct task, job->n_tasks);
	job->speed = queue_speed(sch, job->queue);
	job->link.data = job;
	init_tasks(job);
	g_hash_table_insert(sch->jobs, job->spec->id, job);
	g_queue_push_tail_link(list_of(sch, job->priority), &job->link);
	return SCH_ACCEPTED;
}

void *
sch_take_over(struct sch *sch, const char *id, void *waiter)
{
	struct job *job = g_hash_table_lookup(sch->jobs, id);
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
	const struct job *job = g_hash_table_lookup(sch->jobs, id);
	uint32_t n[DONE + 1] = {0};
	uint32_t i;

	if (job == NULL)
		return false;
	for (i = 0; i < job->n_tasks; i++)
		n[job->tasks[i].state]++;
	*progress = (struct sch_progress){
	    .queue = job->queue,
	    .n_tasks = job->n_tasks,
	    .n_ready = n[READY],
	    .n_sent = n[SENT],
	    .n_unresolved = n[UNRESOLVED],
	    .n_done = n[DONE],
	};
	return true;
}

bool
sch_cancel(struct sch *sch, const char *id)
{
	struct job *job = g_hash_table_lookup(sch->jobs, id);

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
		struct task *task = l->data;

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
		struct job *job = l->data;

		if (!job->sent && job->useful_until_ms <= now_ms)
			end_job(sch, job, SCH_HOPELESS, "no room in time");
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
	sch_run(sch, now_ms);
}

void
sch_give_up_all(struct sch *sch, const char *reason)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(sch->jobs);
	GList *l;

	for (l = jobs; l != NULL; l = l->next) {
		struct job *job = l->data;

		end_job(
		    sch, job, job->sent ? SCH_BROKEN : SCH_HOPELESS, reason);
	}
}

uint32_t
sch_n_jobs(const struct sch *sch)
{
	return g_hash_table_size(sch->jobs);
}

uint32_t
sch_pending(const struct sch *sch, const char *queue)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, sch->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		if (!job->sent && strcmp(job->queue, queue) == 0)
			n++;
	}
	return n;
}
