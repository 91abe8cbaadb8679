#include <glib.h>
#include <string.h>

#include "connection/run_xdr.h"
#include "request/jobsize.h"

#define DEFAULT_MAX_OPEN_TASKS 100000
#define DEFAULT_MAX_RUNS       512
/*
 * Callers' usual jobs have up to 1,300 tasks.  Their estimates may be off by any
 * factor, and they hold little.
 */
#define LARGE_TASKS 2000
/*
 * A job is refused only if it would need this many times the time that it has:
 * estimates may be several times too long.
 */
#define ESTIMATE_MARGIN 4

struct jsz_options
jsz_options(uint32_t max_open_tasks, uint32_t max_runs)
{
	return (struct jsz_options){
	    .max_open_tasks =
		max_open_tasks == 0 ? DEFAULT_MAX_OPEN_TASKS : max_open_tasks,
	    .max_runs = max_runs == 0 ? DEFAULT_MAX_RUNS : max_runs,
	    .large_tasks = LARGE_TASKS,
	};
}

static int64_t
times(int64_t capacity, int64_t size, int64_t most)
{
	return size <= 0 ? most : MIN(capacity / size, most);
}

/* How many tasks of the step the worker can run at a time. */
static int64_t
places_on(const struct jsz_options *opts, const struct wks_worker *w,
    const struct wk_step *step)
{
	int64_t n = opts->max_runs;

	if (!wks_could_run(w, step))
		return 0;
	n = times(w->capacity.cpu_milli, step->size.cpu_milli, n);
	n = times(w->capacity.memory_mb, step->size.memory_mb, n);
	n = times(w->capacity.gpus, step->size.gpus, n);
	return step->max_per_worker > 0 ? MIN(n, (int64_t)step->max_per_worker)
					: n;
}

/*
 * 0: no worker of the service is known, which is not decided here, or some agent
 * has not described its worker yet, so that there may be more places.
 */
static int64_t
places_of(const struct jsz_options *opts, const struct wks *workers,
    const char *service, const struct wk_step *step)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < wks_count(workers); i++) {
		const struct wks_worker *w = wks_get(workers, i);

		if (w->service == NULL)
			return 0;
		if (wks_is_in_service(workers, w, service))
			n += places_on(opts, w, step);
	}
	return n;
}

static bool
is_too_long(const struct jsz_options *opts, const struct wks *workers,
    const char *service, const struct wk_step *step, int64_t within_ms)
{
	int64_t places = places_of(opts, workers, service, step);
	int64_t rounds;

	if (places == 0 || step->count <= places)
		return false;
	rounds = (step->count + places - 1) / places;
	return rounds * step->estimate_ms > ESTIMATE_MARGIN * within_ms;
}

const char *
jsz_reason_to_refuse(const struct jsz_options *opts,
    const struct rts_queue *queue, const struct wk_job *job,
    const struct wks *workers, uint64_t open_tasks, int64_t within_ms)
{
	uint32_t i, n_tasks = wk_job_n_tasks(job);

	if (strlen(queue->name) > RUN_NAME_MAX)
		return "the queue's name is too long for agents";
	if (strlen(queue->service) > RUN_NAME_MAX)
		return "the service's name is too long for agents";
	if (open_tasks + n_tasks > opts->max_open_tasks)
		return "too many open tasks";
	for (i = 0; i < job->n_steps && n_tasks > opts->large_tasks; i++) {
		if (is_too_long(opts, workers, queue->service, &job->steps[i],
			within_ms))
			return "the workers can't run so many tasks in time";
	}
	return NULL;
}
