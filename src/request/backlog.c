#include <math.h>
#include <string.h>

#include "request/backlog.h"
#include "request/jobtask.h"

/*
 * An answer later than this multiple of the job's response-time objective is of
 * no use to its caller.
 */
#define MAX_USEFUL_OBJECTIVES 3

struct bkl_limits
bkl_limits_of(
    const struct wk_job *job, const struct rts_queue *queue, double ratio)
{
	int64_t critical_path_ms =
	    (int64_t)((double)wk_job_critical_path_ms(job) * ratio);
	int64_t objective_ms =
	    (int64_t)(queue->stretch * (double)critical_path_ms) +
	    queue->target_ms;

	return (struct bkl_limits){
	    .critical_path_ms = critical_path_ms,
	    .start_ms = objective_ms - critical_path_ms,
	    .useful_ms = MAX_USEFUL_OBJECTIVES * objective_ms,
	};
}

/* Whether the first step of b needs at least as large a worker as that of a. */
static bool
needs_as_much(const struct wk_job *a, const struct wk_job *b)
{
	return a->steps[0].required_label == NULL &&
	       a->steps[0].max_per_worker == 0 &&
	       wk_fits(&a->steps[0].size, &b->steps[0].size);
}

/* How long jobs of a queue without any sent task have waited; 0: no job. */
struct waits {
	int64_t oldest_ms;  /* the oldest job */
	int64_t in_time_ms; /* the oldest that can still meet its objective */
};

/*
 * Jobs of a queue start in their order, so a new one is expected to wait as
 * long as the oldest has.  Jobs that need a larger worker than the new one are
 * left out, since their wait says nothing about it.
 */
static struct waits
waits_of(const GQueue *jobs, const struct wk_job *new_job, const char *queue,
    int64_t now_ms)
{
	GList *l = jobs->head;
	struct waits waits = {0};

	for (; l != NULL; l = l->next) {
		const struct jt_job *job = l->data;

		if (job->sent || strcmp(job->queue, queue) != 0 ||
		    !needs_as_much(job->spec, new_job))
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

bool
bkl_is_too_late(const GQueue *jobs, const struct wk_job *job, const char *queue,
    const struct bkl_limits *limits, int64_t now_ms, int64_t *wait_ms)
{
	struct waits waits = waits_of(jobs, job, queue, now_ms);

	*wait_ms = waits.oldest_ms;
	return limits->critical_path_ms > 0 &&
	       waits.oldest_ms + limits->critical_path_ms > limits->useful_ms &&
	       waits.in_time_ms > limits->start_ms / 2;
}

/* The walk over the waiting tasks of all open jobs. */
struct walk {
	const struct wk_job *new_job;
	const struct rts_queue *queue; /* NULL: all jobs count */
	int64_t now_ms;
	struct bkl_ahead ahead;
};

static bool
is_before(const struct walk *walk, const struct jt_job *job)
{
	return walk->queue == NULL ||
	       (strcmp(job->service, walk->queue->service) == 0 &&
		   needs_as_much(job->spec, walk->new_job));
}

static gboolean
add_list(gpointer key, gpointer value, gpointer data)
{
	struct walk *walk = data;
	const GQueue *jobs = value;
	GList *l;

	if (walk->queue != NULL &&
	    GPOINTER_TO_UINT(key) > walk->queue->priority)
		return TRUE;
	for (l = jobs->head; l != NULL; l = l->next) {
		const struct jt_job *job = l->data;
		double work;

		if (job->n_in_state[JT_READY] == 0 || !is_before(walk, job))
			continue;
		work = jt_waiting_work(job);
		walk->ahead.all += work;
		if (walk->now_ms + jt_remaining_ms(job) <= job->objective_by_ms)
			walk->ahead.timely += work;
	}
	return FALSE;
}

struct bkl_ahead
bkl_ahead_of(GTree *jobs_by_priority, const struct wk_job *job,
    const struct rts_queue *queue, int64_t now_ms)
{
	struct walk walk = {.new_job = job, .queue = queue, .now_ms = now_ms};

	g_tree_foreach(jobs_by_priority, add_list, &walk);
	return walk.ahead;
}

double
bkl_work(GTree *jobs_by_priority)
{
	struct walk walk = {0};

	g_tree_foreach(jobs_by_priority, add_list, &walk);
	return walk.ahead.all;
}

/*
 * A job that does not start in time waits for the late ones before it, too.
 * Those that arrive after it come on top, so that it may wait longer.
 */
bool
bkl_is_hopeless(const struct bkl_ahead *ahead, double rate,
    const struct bkl_limits *limits, int64_t *wait_ms)
{
	double timely_ms = ahead->timely / rate;
	double late_ms = ahead->all / rate;
	bool in_time = timely_ms <= (double)limits->start_ms / 2;

	*wait_ms = (int64_t)fmin(in_time ? timely_ms : late_ms, INT32_MAX);
	return limits->critical_path_ms > 0 && !in_time &&
	       *wait_ms + limits->critical_path_ms > limits->useful_ms;
}
