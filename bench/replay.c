#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "replay.h"

#define MAX_ENTRIES	   3
#define HEARTBEAT_US	   500000
#define WARM_UP_SHARE	   0.1 /* share of jobs excluded from the results */
#define SAMPLE_INTERVAL_US 1000000
#define COLD_TASKS	   50.0	    /* until a returned worker has full speed */
#define RETURN_WINDOW_US   10000000 /* see return_mean_ms in replay.h */
#define NO_TASK		   UINT32_MAX

enum event_kind {
	JOB_ARRIVES,	/* at the entry; index is the job */
	START_ARRIVES,	/* at the agent; index is the task */
	RUN_ENDS,	/* index is the task */
	REPORT_ARRIVES, /* index is the finished task or NO_TASK */
	HEARTBEAT,	/* index is the worker */
	SAMPLE,
	DOMAIN_LEAVES,
	DOMAIN_RETURNS
};

/* Load of an agent, as sent to one entry. */
struct report {
	uint32_t busy;
	uint32_t queued;
	uint32_t received; /* starts received from that entry so far */
};

struct event {
	int64_t at_us;
	uint64_t order;
	enum event_kind kind;
	uint32_t index;
	uint32_t entry;
	uint32_t worker;
	struct report report;
};

enum task_state { WAITING, SENT, QUEUED, RUNNING, DONE };

struct run {
	enum task_state state;
	uint32_t worker;
	uint32_t place_id;
	int64_t expected_us;
	int64_t arrived_us; /* at the agent */
	int64_t run_us;
};

struct job_state {
	uint32_t done;
	uint32_t started;
	uint32_t unanswered_in[DOMAINS]; /* dispatched and not answered */
	int64_t answered_us;		 /* at the client */
	int64_t free_ideal_us;
};

struct agent {
	uint32_t busy;
	GQueue queue;
	uint32_t received[MAX_ENTRIES];
	double tasks_since_return;
	bool cold;
	bool away;
};

struct entry {
	struct place *place;
	uint32_t id[WORKERS];
	uint32_t sent[WORKERS];
	GQueue waiting;
	GQueue outstanding[WORKERS];
};

struct sim {
	const struct workload *load;
	struct replay_options opts;
	GArray *heap;
	uint64_t next_order;
	int64_t now_us;
	struct run *runs;
	struct job_state *jobs;
	struct agent agents[WORKERS];
	struct entry entries[MAX_ENTRIES];
	uint32_t jobs_done;
	uint32_t first_unanswered;
	uint32_t n_arrived;
	double agent_wait_us;
	double samples_in_flight;
	double samples_lost;
	double started_in_flight;
	double started_lost;
	GArray *returns; /* int64_t: when domain 0 came back */
};

static struct event *
event_at(const struct sim *s, guint i)
{
	return &g_array_index(s->heap, struct event, i);
}

static bool
event_before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap_events(struct event *a, struct event *b)
{
	struct event copy = *a;

	*a = *b;
	*b = copy;
}

static void
schedule(struct sim *s, int64_t delay_us, struct event ev)
{
	guint i = s->heap->len;

	ev.at_us = s->now_us + delay_us;
	ev.order = s->next_order++;
	g_array_append_val(s->heap, ev);
	while (
	    i > 0 && event_before(event_at(s, i), event_at(s, (i - 1) / 2))) {
		swap_events(event_at(s, i), event_at(s, (i - 1) / 2));
		i = (i - 1) / 2;
	}
}

static struct event
next_event(struct sim *s)
{
	struct event top = *event_at(s, 0);
	guint n = s->heap->len - 1;
	guint i = 0;

	*event_at(s, 0) = *event_at(s, n);
	g_array_set_size(s->heap, n);
	while (2 * i + 1 < n) {
		guint child = 2 * i + 1;

		if (child + 1 < n &&
		    event_before(event_at(s, child + 1), event_at(s, child)))
			child++;
		if (!event_before(event_at(s, child), event_at(s, i)))
			break;
		swap_events(event_at(s, i), event_at(s, child));
		i = child;
	}
	return top;
}

static int64_t
now_ms(const struct sim *s)
{
	return s->now_us / 1000;
}

static struct place_task
place_task(const struct sim *s, uint32_t task)
{
	struct place_task t = {.service = "s",
	    .declared_ms =
		task == NO_TASK
		    ? 0
		    : MAX(s->load->tasks[task].declared_us / 1000, 1)};

	return t;
}

static uint32_t
entry_of(const struct sim *s, uint32_t task)
{
	return s->load->jobs[s->load->tasks[task].job].entry;
}

static struct job_state *
job_of(struct sim *s, uint32_t task)
{
	return &s->jobs[s->load->tasks[task].job];
}

static uint32_t
worker_by_id(const struct entry *e, uint32_t id)
{
	uint32_t w = 0;

	while (e->id[w] != id)
		w++;
	return w;
}

static void
dispatch(struct sim *s, struct entry *e, uint32_t id, uint32_t task)
{
	struct place_task t = place_task(s, task);
	uint32_t entry = entry_of(s, task);
	uint32_t w = worker_by_id(e, id);
	struct run *r = &s->runs[task];

	place_dispatched(e->place, id, &t, now_ms(s));
	r->state = SENT;
	r->worker = w;
	r->place_id = id;
	e->sent[w]++;
	job_of(s, task)->unanswered_in[worker_domain(w)]++;
	g_queue_push_tail(&e->outstanding[w], GUINT_TO_POINTER(task));
	schedule(s, latency_us(entry, w),
	    (struct event){.kind = START_ARRIVES, .index = task, .worker = w});
}

static void
dispatch_waiting(struct sim *s, uint32_t entry)
{
	struct entry *e = &s->entries[entry];
	GList *l = e->waiting.head;
	guint skipped = 0;

	if (!s->opts.head_only)
		place_begin_pass(e->place, now_ms(s));
	while (l != NULL && skipped < PLACE_PASS_MAX_SKIPPED &&
	       place_has_capacity(e->place, "s")) {
		uint32_t task = GPOINTER_TO_UINT(l->data);
		struct place_task t = place_task(s, task);
		uint32_t id = place_choose(e->place, &t, now_ms(s));
		GList *next = l->next;

		if (id == PLACE_NONE) {
			if (s->opts.head_only)
				break;
			skipped++;
		} else {
			g_queue_delete_link(&e->waiting, l);
			dispatch(s, e, id, task);
		}
		l = next;
	}
}

static struct report
report_of(const struct sim *s, uint32_t worker, uint32_t entry)
{
	const struct agent *a = &s->agents[worker];
	struct report report = {.busy = a->busy,
	    .queued = a->queue.length,
	    .received = a->received[entry]};

	return report;
}

static void
apply_report(
    struct sim *s, uint32_t entry, uint32_t w, const struct report *report)
{
	struct entry *e = &s->entries[entry];
	struct place_load load = {
	    .slots = SLOTS, .busy = report->busy, .queued = report->queued};

	place_report(e->place, e->id[w], &load, e->sent[w] - report->received,
	    now_ms(s));
}

/* Sends the entry the worker's load and, unless NO_TASK, a task's outcome. */
static void
send_report(struct sim *s, uint32_t worker, uint32_t entry, uint32_t task)
{
	schedule(s, latency_us(entry, worker),
	    (struct event){.kind = REPORT_ARRIVES,
		.index = task,
		.entry = entry,
		.worker = worker,
		.report = report_of(s, worker, entry)});
}

static void
report_at_once(struct sim *s, uint32_t worker)
{
	uint32_t e;

	for (e = 0; s->opts.instant && e < s->opts.entries; e++) {
		struct report report = report_of(s, worker, e);

		apply_report(s, e, worker, &report);
	}
	for (e = 0; s->opts.instant && e < s->opts.entries; e++)
		dispatch_waiting(s, e);
}

static double
speed_factor(const struct sim *s, const struct agent *a)
{
	double done = MIN(a->tasks_since_return / COLD_TASKS, 1);

	return a->cold ? s->opts.cold + (1 - s->opts.cold) * done : 1;
}

static void
run_next(struct sim *s, uint32_t worker)
{
	struct agent *a = &s->agents[worker];

	while (a->busy < SLOTS && !g_queue_is_empty(&a->queue)) {
		uint32_t task = GPOINTER_TO_UINT(g_queue_pop_head(&a->queue));
		struct run *r = &s->runs[task];

		a->busy++;
		r->state = RUNNING;
		r->run_us =
		    (int64_t)((double)run_time_us(s->load, task, worker) /
			      speed_factor(s, a));
		s->agent_wait_us += (double)(s->now_us - r->arrived_us);
		job_of(s, task)->started++;
		schedule(s, r->run_us,
		    (struct event){
			.kind = RUN_ENDS, .index = task, .worker = worker});
	}
}

static void
on_start(struct sim *s, const struct event *ev)
{
	struct run *r = &s->runs[ev->index];
	struct agent *a = &s->agents[ev->worker];

	r->state = QUEUED;
	r->arrived_us = s->now_us;
	a->received[entry_of(s, ev->index)]++;
	g_queue_push_tail(&a->queue, GUINT_TO_POINTER(ev->index));
	run_next(s, ev->worker);
	report_at_once(s, ev->worker);
}

static void
on_run_end(struct sim *s, const struct event *ev)
{
	struct agent *a = &s->agents[ev->worker];

	a->busy--;
	a->tasks_since_return++;
	run_next(s, ev->worker);
	send_report(s, ev->worker, entry_of(s, ev->index), ev->index);
	report_at_once(s, ev->worker);
}

static void
finish_job(struct sim *s, uint32_t job)
{
	s->jobs[job].answered_us = s->now_us + CLIENT_US;
	s->jobs_done++;
	while (s->first_unanswered < s->load->n_jobs &&
	       s->jobs[s->first_unanswered].answered_us > 0)
		s->first_unanswered++;
}

static void
apply_outcome(struct sim *s, const struct event *ev)
{
	struct entry *e = &s->entries[ev->entry];
	struct run *r = &s->runs[ev->index];
	struct place_task t = place_task(s, ev->index);
	struct job_state *p = job_of(s, ev->index);
	uint32_t job = s->load->tasks[ev->index].job;

	place_finished(
	    e->place, r->place_id, &t, PLACE_OK, r->run_us, now_ms(s));
	g_queue_remove(
	    &e->outstanding[ev->worker], GUINT_TO_POINTER(ev->index));
	p->unanswered_in[worker_domain(ev->worker)]--;
	r->state = DONE;
	if (++p->done == s->load->jobs[job].n)
		finish_job(s, job);
}

static void
on_report(struct sim *s, const struct event *ev)
{
	if (ev->index != NO_TASK)
		apply_outcome(s, ev);
	if (!s->opts.instant)
		apply_report(s, ev->entry, ev->worker, &ev->report);
	dispatch_waiting(s, ev->entry);
}

static void
on_heartbeat(struct sim *s, const struct event *ev)
{
	uint32_t e;

	for (e = 0; e < s->opts.entries && !s->agents[ev->index].away; e++)
		send_report(s, ev->index, e, NO_TASK);
	schedule(s,
	    s->opts.heartbeat_us > 0 ? s->opts.heartbeat_us : HEARTBEAT_US,
	    *ev);
}

/*
 * Returns the response time of the job's first task on the fastest worker with
 * a free slot; 0 when no slot is free.
 */
static int64_t
free_ideal_us(const struct sim *s, uint32_t job)
{
	const struct job *j = &s->load->jobs[job];
	int64_t best_us = INT64_MAX;
	uint32_t w;

	for (w = 0; w < WORKERS; w++) {
		int64_t us = 2 * (CLIENT_US + latency_us(j->entry, w)) +
			     run_time_us(s->load, j->first, w);

		if (s->agents[w].busy < SLOTS)
			best_us = MIN(best_us, us);
	}
	return best_us == INT64_MAX ? 0 : best_us;
}

/*
 * Queues the tasks of a job behind those of earlier jobs, with longest_first
 * in falling order of the expected run time.
 */
static void
enqueue(struct sim *s, struct entry *e, const struct job *j)
{
	GList *before_job = e->waiting.tail;
	uint32_t k;

	for (k = 0; k < j->n; k++) {
		struct place_task t = place_task(s, j->first + k);
		GList *l = e->waiting.tail;

		s->runs[j->first + k].expected_us =
		    place_expected_run_us(e->place, &t);
		while (s->opts.longest_first && l != before_job &&
		       s->runs[GPOINTER_TO_UINT(l->data)].expected_us <
			   s->runs[j->first + k].expected_us)
			l = l->prev;
		g_queue_insert_after(
		    &e->waiting, l, GUINT_TO_POINTER(j->first + k));
	}
}

static void
on_job(struct sim *s, const struct event *ev)
{
	const struct job *j = &s->load->jobs[ev->index];

	s->n_arrived = ev->index + 1;
	s->jobs[ev->index].free_ideal_us = free_ideal_us(s, ev->index);
	enqueue(s, &s->entries[j->entry], j);
	dispatch_waiting(s, j->entry);
	if (s->n_arrived < s->load->n_jobs)
		schedule(s,
		    s->load->jobs[s->n_arrived].sent_us + CLIENT_US - s->now_us,
		    (struct event){.kind = JOB_ARRIVES, .index = s->n_arrived});
}

/*
 * For each failure domain, counts the jobs in flight and their started tasks,
 * and those that would be lost if the domain failed now.  A job is lost if its
 * entry or the worker of one of its unanswered tasks is in the domain.
 */
static void
on_sample(struct sim *s, const struct event *ev)
{
	uint32_t i;
	uint32_t d;

	schedule(s, SAMPLE_INTERVAL_US, *ev);
	if (s->n_arrived < (uint32_t)(WARM_UP_SHARE * s->load->n_jobs) ||
	    s->n_arrived == s->load->n_jobs)
		return;
	for (i = s->first_unanswered; i < s->n_arrived; i++) {
		const struct job_state *p = &s->jobs[i];

		if (p->answered_us > 0)
			continue;
		for (d = 0; d < DOMAINS; d++) {
			bool lost = s->load->jobs[i].entry % DOMAINS == d ||
				    p->unanswered_in[d] > 0;

			s->samples_in_flight++;
			s->samples_lost += lost ? 1 : 0;
			s->started_in_flight += p->started;
			s->started_lost += lost ? p->started : 0;
		}
	}
}

static void
add_worker(struct sim *s, uint32_t entry, uint32_t w)
{
	static const char *const domains[] = {"0", "1", "2"};
	struct place_worker pw = {.name = "w",
	    .failure_domain = domains[worker_domain(w)],
	    .service = "s",
	    .slots = SLOTS};
	struct entry *e = &s->entries[entry];

	e->id[w] = place_add(e->place, &pw, now_ms(s));
}

/*
 * DOMAIN_LEAVES drains domain 0: it finishes its tasks and gets no new ones.
 * DOMAIN_RETURNS adds its workers again, without their speed history.
 */
static void
on_domain_change(struct sim *s, const struct event *ev)
{
	bool leaves = ev->kind == DOMAIN_LEAVES;
	uint32_t w;
	uint32_t e;

	for (w = 0; w < WORKERS; w += DOMAINS) {
		s->agents[w].away = leaves;
		s->agents[w].cold = !leaves && s->opts.cold > 0;
		s->agents[w].tasks_since_return = 0;
		for (e = 0; e < s->opts.entries; e++) {
			struct report report = report_of(s, w, e);

			if (leaves) {
				place_set_usable(s->entries[e].place,
				    s->entries[e].id[w], false);
				continue;
			}
			place_remove(s->entries[e].place, s->entries[e].id[w]);
			add_worker(s, e, w);
			apply_report(s, e, w, &report);
		}
	}
	if (!leaves)
		g_array_append_val(s->returns, s->now_us);
	schedule(s, s->opts.period_us, *ev);
	for (e = 0; e < s->opts.entries; e++)
		dispatch_waiting(s, e);
}

static void
handle_event(struct sim *s, const struct event *ev)
{
	switch (ev->kind) {
	case JOB_ARRIVES:
		on_job(s, ev);
		break;
	case START_ARRIVES:
		on_start(s, ev);
		break;
	case RUN_ENDS:
		on_run_end(s, ev);
		break;
	case REPORT_ARRIVES:
		on_report(s, ev);
		break;
	case HEARTBEAT:
		on_heartbeat(s, ev);
		break;
	case SAMPLE:
		on_sample(s, ev);
		break;
	case DOMAIN_LEAVES:
	case DOMAIN_RETURNS:
		on_domain_change(s, ev);
		break;
	}
}

static void
sim_start(struct sim *s)
{
	static const char *const domains[] = {"0", "1", "2"};
	uint32_t e;
	uint32_t w;

	for (e = 0; e < s->opts.entries; e++) {
		struct place_options opts = {.policy = s->opts.policy,
		    .failure_domain = domains[e % DOMAINS],
		    .ahead = s->opts.ahead,
		    .seed = (uint32_t)s->opts.seed * MAX_ENTRIES + e,
		    .prefer_local = s->opts.prefer_local};

		s->entries[e].place = place_new(&opts);
		for (w = 0; w < WORKERS; w++)
			add_worker(s, e, w);
	}
	for (w = 0; w < WORKERS; w++)
		schedule(s, (int64_t)w * HEARTBEAT_US / WORKERS,
		    (struct event){.kind = HEARTBEAT, .index = w});
	schedule(s, s->load->jobs[0].sent_us + CLIENT_US,
	    (struct event){.kind = JOB_ARRIVES});
	schedule(s, SAMPLE_INTERVAL_US, (struct event){.kind = SAMPLE});
	if (s->opts.period_us > 0) {
		schedule(s, s->opts.period_us,
		    (struct event){.kind = DOMAIN_LEAVES});
		schedule(s, s->opts.period_us + s->opts.away_us,
		    (struct event){.kind = DOMAIN_RETURNS});
	}
}

static void
sim_clear(struct sim *s)
{
	uint32_t e;
	uint32_t w;

	for (e = 0; e < s->opts.entries; e++) {
		place_free(s->entries[e].place);
		for (w = 0; w < WORKERS; w++)
			g_queue_clear(&s->entries[e].outstanding[w]);
	}
	g_array_unref(s->heap);
	g_array_unref(s->returns);
	g_free(s->runs);
	g_free(s->jobs);
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void
mean_p99(GArray *values, double *mean, double *p99)
{
	double sum = 0;
	guint i;

	for (i = 0; i < values->len; i++)
		sum += g_array_index(values, double, i);
	g_array_sort(values, compare_doubles);
	*mean = values->len == 0 ? 0 : sum / values->len;
	*p99 = values->len == 0 ? 0
				: g_array_index(values, double,
				      (guint)(0.99 * (values->len - 1)));
	g_array_unref(values);
}

static bool
sent_after_return(const struct sim *s, int64_t sent_us)
{
	guint i;

	for (i = 0; i < s->returns->len; i++) {
		int64_t since_us =
		    sent_us - g_array_index(s->returns, int64_t, i);

		if (since_us >= 0 && since_us < RETURN_WINDOW_US)
			return true;
	}
	return false;
}

static struct replay_result
summarize(const struct sim *s)
{
	struct replay_result res = {0};
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *free_ratios = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *return_times = g_array_new(FALSE, FALSE, sizeof(double));
	uint32_t i;

	for (i = (uint32_t)(WARM_UP_SHARE * s->load->n_jobs);
	     i < s->load->n_jobs; i++) {
		const struct job *j = &s->load->jobs[i];
		double us = (double)(s->jobs[i].answered_us - j->sent_us);
		double ms = us / 1000;
		double ratio = us / (double)j->ideal_us;
		double free_us = (double)s->jobs[i].free_ideal_us;
		double free_ratio = free_us > 0 ? us / free_us : 0;

		g_array_append_val(times, ms);
		g_array_append_val(ratios, ratio);
		if (j->n == 1 && free_us > 0)
			g_array_append_val(free_ratios, free_ratio);
		if (sent_after_return(s, j->sent_us))
			g_array_append_val(return_times, ms);
	}
	mean_p99(ratios, &res.mean_ratio, &res.p99_ratio);
	mean_p99(times, &res.mean_ms, &res.p99_ms);
	mean_p99(free_ratios, &res.free_mean_ratio, &res.free_p99_ratio);
	mean_p99(return_times, &res.return_mean_ms, &res.return_p99_ms);
	res.agent_wait_ms = s->agent_wait_us / 1000 / s->load->n_tasks;
	res.lost_jobs = s->samples_lost / MAX(s->samples_in_flight, 1);
	res.lost_work = s->started_lost / MAX(s->started_in_flight, 1);
	return res;
}

struct replay_result
replay_run(const struct workload *load, const struct replay_options *opts)
{
	struct sim s = {.load = load, .opts = *opts};
	struct replay_result result;

	s.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	s.returns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s.runs = g_new0(struct run, load->n_tasks);
	s.jobs = g_new0(struct job_state, load->n_jobs);
	sim_start(&s);
	while (s.jobs_done < load->n_jobs) {
		struct event ev = next_event(&s);

		s.now_us = ev.at_us;
		handle_event(&s, &ev);
	}
	result = summarize(&s);
	sim_clear(&s);
	return result;
}
