#include <glib.h>
#include <math.h>
#include <string.h>

#include "estimate.h"
#include "place.h"

/*
 * Exponential decay, per mean run time, of the load that other entries put on a
 * worker.  An entry sees their tasks end only with the worker's next heartbeat.
 * 0 left slots idle, and 0.3 and more let queues grow at workers.
 */
#define OTHERS_DECAY_PER_RUN 0.15
/*
 * Factor on the expected finish time of workers that are not local, when local
 * ones are preferred.
 */
#define REMOTE_FINISH_FACTOR 1.1
/* Finish times within this factor differ by less than the error of a speed. */
#define SIMILAR_FINISH 1.05

struct service {
	char *name;
	GPtrArray *workers; /* struct worker, borrowed */
	struct est_service estimate;
};

struct worker {
	uint32_t id;
	bool local;
	bool usable;
	bool draining;
	uint32_t slots;
	uint32_t cores;
	uint64_t memory_mb;
	uint32_t reported; /* busy and queued in the last report */
	uint32_t unseen;   /* own dispatches that the report leaves out */
	uint32_t own;	   /* own dispatches that have not finished */
	uint32_t reserved; /* slots reserved by waiting tasks of a pass */
	int64_t report_ms;
	int64_t progress_ms; /* when a task was last known to end */
	struct est_worker estimate;
	struct service *service;
};

struct place {
	enum place_policy policy;
	char *failure_domain;
	uint32_t ahead;
	bool prefer_local;
	bool in_pass;
	int64_t now_ms; /* time of the latest call */
	uint64_t random;
	uint32_t next_id;
	GHashTable *services; /* name to struct service */
	GHashTable *workers;  /* id to struct worker */
};

static uint32_t
random_below(struct place *place, uint32_t n)
{
	place->random ^= place->random << 13;
	place->random ^= place->random >> 7;
	place->random ^= place->random << 17;
	return (uint32_t)((place->random >> 32) % n);
}

static void
service_free(gpointer data)
{
	struct service *service = data;

	g_ptr_array_unref(service->workers);
	g_free(service->name);
	g_free(service);
}

static struct service *
find_service(const struct place *place, const char *name)
{
	return g_hash_table_lookup(place->services, name);
}

static struct worker *
find_worker(const struct place *place, uint32_t id)
{
	return g_hash_table_lookup(place->workers, GUINT_TO_POINTER(id));
}

static struct service *
get_service(struct place *place, const char *name)
{
	struct service *service = find_service(place, name);

	if (service != NULL)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->workers = g_ptr_array_new();
	g_hash_table_insert(place->services, service->name, service);
	return service;
}

static bool
is_stale(const struct worker *w)
{
	return est_is_stale(&w->service->estimate, &w->estimate,
	    MAX(w->service->workers->len, 1));
}

/*
 * Expected run time of the task, or of a task of mean length when it is NULL.  A
 * worker whose measured speed is stale counts as average for one task, which
 * measures it: without tasks its speed would stay as it is.
 */
static double
worker_run_us(const struct worker *w, const struct place_task *task)
{
	bool is_average = w->own == 0 && is_stale(w);

	return est_run_us(&w->service->estimate,
	    is_average ? NULL : &w->estimate,
	    task == NULL ? 0 : task->declared_ms);
}

/*
 * Estimated number of tasks at the worker: the reported load plus own
 * dispatches since, with the part of other entries reduced by
 * OTHERS_DECAY_PER_RUN.
 */
static uint32_t
load_of(const struct place *place, const struct worker *w)
{
	uint32_t all = MAX(w->own, w->reported + w->unseen);
	double age_us = (double)(place->now_ms - w->report_ms) * 1000;
	double others = all - w->own;

	if (others <= 0 || age_us <= 0)
		return all;
	others *= exp(-OTHERS_DECAY_PER_RUN * age_us / worker_run_us(w, NULL));
	return w->own + (uint32_t)lround(others);
}

static uint32_t
limit_of(const struct place *place, const struct worker *w)
{
	return w->slots + place->ahead;
}

static bool
fits(const struct worker *w, const struct place_task *task)
{
	return task->cores <= w->cores && task->memory_mb <= w->memory_mb;
}

static bool
is_live(const struct worker *w)
{
	return w->usable && !w->draining && w->slots > 0;
}

static bool
can_take_task(const struct place *place, const struct worker *w)
{
	return is_live(w) && load_of(place, w) < limit_of(place, w);
}

/*
 * Expected time between two completions at a busy worker.  When none was seen
 * for longer than a mean run time, it is the time since the last one, so that
 * no task waits for a worker that hangs.
 */
static double
slot_gap_us(const struct place *place, const struct worker *w)
{
	double run_us = worker_run_us(w, NULL);
	double since_progress_us =
	    (double)(place->now_ms - w->progress_ms) * 1000;

	return since_progress_us > run_us ? since_progress_us
					  : run_us / w->slots;
}

static double
expected_finish_us(const struct place *place, const struct worker *w,
    const struct place_task *task)
{
	double run_us = worker_run_us(w, task);
	uint32_t load = load_of(place, w) + w->reserved;

	if (load < w->slots)
		return run_us;
	return run_us + slot_gap_us(place, w) * (load - w->slots + 1);
}

/* Smaller is better; values are comparable only within one choice. */
static double
cost_of(const struct place *place, const struct worker *w,
    const struct place_task *task)
{
	switch (place->policy) {
	case PLACE_RANDOM:
		return 0;
	case PLACE_LEAST_OUTSTANDING:
	case PLACE_TWO_CHOICES:
		return (double)load_of(place, w) / w->slots;
	case PLACE_LEAST_WAIT:
	case PLACE_EARLIEST_FINISH:
		break;
	}
	return expected_finish_us(place, w, task);
}

/* Expected finish of the task, with a preference for local workers. */
static double
finish_cost_us(const struct place *place, const struct worker *w,
    const struct place_task *task)
{
	double us = expected_finish_us(place, w, task);

	return place->prefer_local && !w->local ? us * REMOTE_FINISH_FACTOR
						: us;
}

static double
used_share(const struct place *place, const struct worker *w)
{
	return (double)(load_of(place, w) + w->reserved) / MAX(w->slots, 1);
}

static bool
has_free_slot(const struct place *place, const struct worker *w)
{
	return load_of(place, w) + w->reserved < w->slots;
}

/*
 * Of the workers with a free slot that finish the task in a similar time, returns
 * the one with the smallest share of its slots in use.
 */
static struct worker *
least_used(struct place *place, const struct service *service,
    const struct place_task *task, double least_us)
{
	struct worker *found = NULL;
	double least_share = INFINITY;
	guint i;

	for (i = 0; i < service->workers->len; i++) {
		struct worker *w = service->workers->pdata[i];

		if (!is_live(w) || !fits(w, task) || !has_free_slot(place, w) ||
		    used_share(place, w) >= least_share ||
		    finish_cost_us(place, w, task) > least_us * SIMILAR_FINISH)
			continue;
		found = w;
		least_share = used_share(place, w);
	}
	return found;
}

/* Returns the worker that is expected to finish the task first, busy or not. */
static struct worker *
first_to_finish(struct place *place, const struct service *service,
    const struct place_task *task)
{
	GPtrArray *workers = service->workers;
	guint offset = random_below(place, MAX(workers->len, 1));
	struct worker *best = NULL;
	double best_us = INFINITY;
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[(i + offset) % workers->len];
		double us;

		if (!is_live(w) || !fits(w, task))
			continue;
		us = finish_cost_us(place, w, task);
		if (us < best_us) {
			best = w;
			best_us = us;
		}
	}
	if (best == NULL || !has_free_slot(place, best))
		return best;
	return least_used(place, service, task, best_us);
}

/*
 * Returns the worker that is to take the task.  If it can't take the task now,
 * the task reserves one of its slots and PLACE_NONE is returned.
 */
static uint32_t
earliest_finish(struct place *place, const struct service *service,
    const struct place_task *task)
{
	struct worker *best = first_to_finish(place, service, task);

	if (best == NULL)
		return PLACE_NONE;
	if (load_of(place, best) + best->reserved < limit_of(place, best))
		return best->id;
	best->reserved++;
	return PLACE_NONE;
}

/*
 * Workers that can take the task now; with local_only only local ones that have
 * a free slot.
 */
static GPtrArray *
candidates(const struct place *place, const struct service *service,
    const struct place_task *task, bool local_only)
{
	GPtrArray *found = g_ptr_array_sized_new(service->workers->len);
	guint i;

	for (i = 0; i < service->workers->len; i++) {
		struct worker *w = service->workers->pdata[i];

		if (can_take_task(place, w) && fits(w, task) &&
		    (!local_only || (w->local && load_of(place, w) < w->slots)))
			g_ptr_array_add(found, w);
	}
	return found;
}

static struct worker *
take_random(struct place *place, GPtrArray *from)
{
	return g_ptr_array_remove_index_fast(
	    from, random_below(place, from->len));
}

/* Returns the cheapest of a random sample; the first drawn wins a tie. */
static struct worker *
cheapest(struct place *place, GPtrArray *from, guint sample,
    const struct place_task *task)
{
	struct worker *best = take_random(place, from);
	double best_cost = cost_of(place, best, task);

	while (--sample > 0 && from->len > 0) {
		struct worker *w = take_random(place, from);
		double cost = cost_of(place, w, task);

		if (cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

static guint
sample_size(const struct place *place, const GPtrArray *from)
{
	switch (place->policy) {
	case PLACE_RANDOM:
		return 1;
	case PLACE_TWO_CHOICES:
		return 2;
	case PLACE_LEAST_OUTSTANDING:
	case PLACE_LEAST_WAIT:
	case PLACE_EARLIEST_FINISH:
		break;
	}
	return from->len;
}

/* Parses the name of a policy as written in the settings. */
bool
place_policy_parse(const char *name, enum place_policy *policy)
{
	static const char *const names[] = {[PLACE_RANDOM] = "random",
	    [PLACE_LEAST_OUTSTANDING] = "least_outstanding",
	    [PLACE_TWO_CHOICES] = "two_choices",
	    [PLACE_LEAST_WAIT] = "least_wait",
	    [PLACE_EARLIEST_FINISH] = "earliest_finish"};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0) {
			*policy = (enum place_policy)i;
			return true;
		}
	}
	return false;
}

struct place *
place_new(const struct place_options *opts)
{
	struct place *place = g_new0(struct place, 1);

	place->policy = opts->policy;
	place->failure_domain = g_strdup(opts->failure_domain);
	place->ahead = opts->ahead;
	place->prefer_local = opts->prefer_local;
	/*
	 * Seed of xorshift64: an odd multiplier spreads small seeds, and the
	 * state must not be 0.
	 */
	place->random = (opts->seed + 1ULL) * 0x9e3779b97f4a7c15ULL;
	place->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	place->workers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return place;
}

void
place_free(struct place *place)
{
	if (place == NULL)
		return;
	g_hash_table_unref(place->workers);
	g_hash_table_unref(place->services);
	g_free(place->failure_domain);
	g_free(place);
}

/* Adds a usable worker without measured run times. */
uint32_t
place_add(
    struct place *place, const struct place_worker *worker, int64_t now_ms)
{
	struct worker *w = g_new0(struct worker, 1);

	w->id = place->next_id++;
	w->local =
	    g_strcmp0(worker->failure_domain, place->failure_domain) == 0;
	w->usable = true;
	w->slots = worker->slots;
	w->cores = worker->cores;
	w->memory_mb = worker->memory_mb;
	w->report_ms = now_ms - 1;
	w->progress_ms = now_ms;
	w->service = get_service(place, worker->service);
	g_ptr_array_add(w->service->workers, w);
	g_hash_table_insert(place->workers, GUINT_TO_POINTER(w->id), w);
	return w->id;
}

/* Removes a worker.  All functions ignore the id of a removed worker. */
void
place_remove(struct place *place, uint32_t id)
{
	struct worker *w = find_worker(place, id);

	if (w == NULL)
		return;
	g_ptr_array_remove(w->service->workers, w);
	g_hash_table_remove(place->workers, GUINT_TO_POINTER(id));
}

void
place_report(struct place *place, uint32_t id, const struct place_load *load,
    uint32_t outstanding, int64_t now_ms)
{
	struct worker *w = find_worker(place, id);

	if (w == NULL)
		return;
	if (w->reported != load->busy + load->queued)
		w->progress_ms = now_ms;
	w->slots = load->slots;
	w->reported = load->busy + load->queued;
	w->unseen = outstanding;
	w->draining = load->draining;
	w->report_ms = now_ms;
}

void
place_set_usable(struct place *place, uint32_t id, bool usable)
{
	struct worker *w = find_worker(place, id);

	if (w != NULL)
		w->usable = usable;
}

/* Drops the reservations of the last pass. */
void
place_begin_pass(struct place *place, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	place->now_ms = now_ms;
	place->in_pass = true;
	g_hash_table_iter_init(&iter, place->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct worker *)value)->reserved = 0;
}

bool
place_has_capacity(const struct place *place, const char *service_name)
{
	const struct service *service = find_service(place, service_name);
	guint i;

	for (i = 0; service != NULL && i < service->workers->len; i++) {
		if (can_take_task(place, service->workers->pdata[i]))
			return true;
	}
	return false;
}

int64_t
place_expected_run_us(const struct place *place, const struct place_task *task)
{
	static const struct est_service none;
	const struct service *service = find_service(place, task->service);

	return llround(est_run_us(service == NULL ? &none : &service->estimate,
	    NULL, task->declared_ms));
}

/*
 * Returns the worker that the policy prefers among those that can take the
 * task.  The caller reports the dispatch with place_dispatched().
 */
uint32_t
place_choose(struct place *place, const struct place_task *task, int64_t now_ms)
{
	const struct service *service = find_service(place, task->service);
	GPtrArray *from = NULL;
	uint32_t id = PLACE_NONE;

	place->now_ms = now_ms;
	if (service == NULL)
		return PLACE_NONE;
	/*
	 * Outside a pass the caller stops at the first task that is not placed,
	 * so a task that waits for a faster worker would block the others.
	 */
	if (place->policy == PLACE_EARLIEST_FINISH && place->in_pass)
		return earliest_finish(place, service, task);
	if (place->prefer_local) {
		from = candidates(place, service, task, true);
		if (from->len == 0)
			g_clear_pointer(&from, g_ptr_array_unref);
	}
	if (from == NULL)
		from = candidates(place, service, task, false);
	if (from->len > 0)
		id = cheapest(place, from, sample_size(place, from), task)->id;
	g_ptr_array_unref(from);
	return id;
}

bool
place_fits_live(const struct place *place, const struct place_task *task)
{
	const struct service *service = find_service(place, task->service);
	guint i;

	for (i = 0; service != NULL && i < service->workers->len; i++) {
		if (is_live(service->workers->pdata[i]) &&
		    fits(service->workers->pdata[i], task))
			return true;
	}
	return false;
}

bool
place_can_ever_run(const struct place *place, const struct place_task *task)
{
	const struct service *service = find_service(place, task->service);
	guint i;

	for (i = 0; service != NULL && i < service->workers->len; i++) {
		if (fits(service->workers->pdata[i], task))
			return true;
	}
	return false;
}

void
place_dispatched(struct place *place, uint32_t id,
    const struct place_task *task, int64_t now_ms)
{
	struct worker *w = find_worker(place, id);

	(void)task;
	if (w == NULL)
		return;
	if (load_of(place, w) < w->slots)
		w->progress_ms = now_ms;
	w->own++;
	w->unseen++;
}

/*
 * Ignores the run time of a failed task unless it reached the worker's mean,
 * since a worker that fails quickly would look fast.
 */
static void
learn_run_time(struct worker *w, const struct place_task *task,
    enum place_outcome outcome, int64_t run_us)
{
	if (outcome == PLACE_FAILED && est_is_below_mean(&w->estimate, run_us))
		return;
	if (is_stale(w))
		est_recheck(&w->service->estimate, &w->estimate, run_us);
	est_measure(
	    &w->service->estimate, &w->estimate, run_us, task->declared_ms);
}

/*
 * Records the end of a dispatch; run_us is the run time at the worker.  The
 * load falls by one, unless a report with the same now_ms already left the task
 * out, so the results and the load of one message may be given in either order.
 */
void
place_finished(struct place *place, uint32_t id, const struct place_task *task,
    enum place_outcome outcome, int64_t run_us, int64_t now_ms)
{
	struct worker *w = find_worker(place, id);

	if (w == NULL)
		return;
	w->progress_ms = now_ms;
	if (w->own > 0)
		w->own--;
	if (w->report_ms != now_ms) {
		if (w->reported > 0)
			w->reported--;
		else if (w->unseen > 0)
			w->unseen--;
	}
	if (outcome != PLACE_NOT_STARTED)
		learn_run_time(w, task, outcome, run_us);
	/* A worker that fails must not stay stale, which attracts tasks. */
	est_ended(&w->service->estimate, &w->estimate);
}

/*
 * Returns the time until a task behind "waiting" others would start, from the
 * measured run times of all usable workers.
 */
int64_t
place_expected_wait_ms(const struct place *place, const char *service_name,
    uint32_t waiting, int64_t now_ms)
{
	const struct service *service = find_service(place, service_name);
	double rate = 0;
	double excess = waiting;
	guint i;

	(void)now_ms;
	for (i = 0; service != NULL && i < service->workers->len; i++) {
		const struct worker *w = service->workers->pdata[i];

		if (!is_live(w))
			continue;
		rate += w->slots / worker_run_us(w, NULL);
		excess += (double)load_of(place, w) - w->slots;
	}
	if (rate <= 0)
		return -1;
	return excess < 0 ? 0 : llround((excess + 1) / rate / 1000);
}

uint32_t
place_free_slots(const struct place *place, const char *service_name)
{
	const struct service *service = find_service(place, service_name);
	uint32_t slots = 0;
	guint i;

	for (i = 0; service != NULL && i < service->workers->len; i++) {
		const struct worker *w = service->workers->pdata[i];

		if (is_live(w) && load_of(place, w) < w->slots)
			slots += w->slots - load_of(place, w);
	}
	return slots;
}

/* Whether the service has a usable worker that is not draining. */
bool
place_has_live_worker(const struct place *place, const char *service_name)
{
	const struct service *service = find_service(place, service_name);
	guint i;

	for (i = 0; service != NULL && i < service->workers->len; i++) {
		if (is_live(service->workers->pdata[i]))
			return true;
	}
	return false;
}
