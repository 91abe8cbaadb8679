#include "request/backlog.h"
#include "request/reach.h"
#include "request/sched_private.h"

/* Expected time until a worker returns that a confined queue may use. */
#define CONFINED_WAIT_MS 2000
#define MIN_RETRY_MS	 1000
/* The time to drain the backlog is found anew after this. */
#define DRAIN_INTERVAL_MS 50

static struct spd_queue *
queue_speed(struct sch *sch, const char *name)
{
	struct spd_queue *speed = g_hash_table_lookup(sch->queue_speeds, name);

	if (speed == NULL) {
		speed = g_new0(struct spd_queue, 1);
		speed->by_distribution = sch->opts.policy.learn_distributions;
		g_hash_table_insert(sch->queue_speeds, g_strdup(name), speed);
	}
	return speed;
}

static struct drt *
drain_of(struct sch *sch, const char *service)
{
	struct drt *drain = g_hash_table_lookup(sch->drains, service);

	if (drain == NULL) {
		drain = g_new0(struct drt, 1);
		g_hash_table_insert(sch->drains, g_strdup(service), drain);
	}
	return drain;
}

static enum rch_result
check_workers(
    struct sch *sch, const struct sch_request *request, int64_t now_ms)
{
	struct rch_query query = {
	    .workers = sch->workers,
	    .service = request->queue->service,
	    .job = request->job,
	    .workers_known = request->workers_known,
	    .age_ms = now_ms - sch->first_ms,
	    .startup_wait_ms = sch->opts.policy.startup_wait_ms,
	};

	return rch_check(&query, now_ms);
}

/* Whether the job would be answered too late to be of use. */
static bool
is_of_no_use(struct sch *sch, struct sch_request *request,
    const struct bkl_limits *limits, int64_t now_ms)
{
	const struct rts_queue *queue = request->queue;
	double rate = drt_rate(drain_of(sch, queue->service));
	struct bkl_ahead ahead;

	if (!sch->opts.policy.refuse_by_wait || rate <= 0)
		return bkl_is_too_late(sch_list_of(sch, queue->priority),
		    request->job, queue->name, limits, now_ms,
		    &request->wait_ms);
	ahead =
	    bkl_ahead_of(sch->jobs_by_priority, request->job, queue, now_ms);
	request->by_prediction =
	    bkl_is_hopeless(&ahead, rate, limits, &request->wait_ms);
	return request->by_prediction;
}

static void
set_times(struct jt_job *job, const struct sch_request *request,
    const struct bkl_limits *limits, int64_t now_ms)
{
	job->arrived_ms = now_ms;
	job->deadline_ms = request->deadline_ms;
	job->start_by_ms = now_ms + limits->start_ms;
	job->objective_by_ms = job->start_by_ms + limits->critical_path_ms;
	job->useful_until_ms = request->deadline_ms;
	if (limits->critical_path_ms > 0)
		job->useful_until_ms =
		    MIN(request->deadline_ms, now_ms + limits->useful_ms);
	jt_set_run_times(job);
}

static void
add_job(struct sch *sch, struct jt_job *job)
{
	sch->n_tasks += job->n_tasks;
	g_hash_table_insert(sch->jobs, job->spec->id, job);
	g_queue_push_tail_link(sch_list_of(sch, job->priority), &job->link);
	sch->waiting = true;
}

/* Whether the job may be taken, by all but the time that it would wait. */
static enum sch_submit_result
check_request(struct sch *sch, struct sch_request *request,
    struct cfn_queue *confinement, enum rch_result reach)
{
	if (reach == RCH_NONE)
		return SCH_NO_WORKERS;
	if (reach == RCH_TOO_LARGE)
		return SCH_TOO_LARGE;
	if (cfn_is_cut_off(sch->confinement, confinement)) {
		request->wait_ms = CONFINED_WAIT_MS;
		return SCH_CONFINED;
	}
	if (g_hash_table_size(sch->jobs) >= sch->opts.max_jobs)
		return SCH_OVERLOADED;
	return SCH_ACCEPTED;
}

enum sch_submit_result
sch_submit(struct sch *sch, struct sch_request *request, int64_t now_ms)
{
	const struct rts_queue *queue = request->queue;
	struct spd_queue *speed;
	struct bkl_limits limits;
	enum sch_submit_result verdict;
	enum rch_result reach;
	struct cfn_queue *confinement;
	struct jt_job *job;

	if (queue->external_placement)
		return SCH_UNSUPPORTED;
	sch_record_first_time(sch, now_ms);
	confinement = cfn_find(sch->confinement, queue->service, queue->name);
	cfn_count_work(confinement, wk_job_work(request->job), now_ms);
	reach = check_workers(sch, request, now_ms);
	verdict = check_request(sch, request, confinement, reach);
	if (verdict != SCH_ACCEPTED)
		return verdict;
	speed = queue_speed(sch, queue->name);
	limits = bkl_limits_of(request->job, queue, spd_queue_ratio(speed));
	if (is_of_no_use(sch, request, &limits, now_ms))
		return SCH_BACKLOG;
	job = jt_new(request->job, queue);
	if (jt_recall_crashes(job, sch->blame, now_ms) == BLM_POISON) {
		job->spec = NULL; /* stays with the caller */
		jt_free(job);
		return SCH_CRASHING;
	}
	job->confinement = confinement;
	job->speed = speed;
	job->drain = drain_of(sch, queue->service);
	job->waiter = request->waiter;
	set_times(job, request, &limits, now_ms);
	if (reach == RCH_EXPECTED && sch->opts.policy.startup_wait_ms > 0)
		job->useful_until_ms = request->deadline_ms;
	add_job(sch, job);
	return SCH_ACCEPTED;
}

/* Expected time until all waiting tasks are placed; 0: unknown, or none. */
static int64_t
drain_ms(const struct sch *sch)
{
	GHashTableIter iter;
	gpointer drain;
	double rate = 0;

	g_hash_table_iter_init(&iter, sch->drains);
	while (g_hash_table_iter_next(&iter, NULL, &drain))
		rate += drt_rate(drain);
	if (rate <= 0)
		return 0;
	return (int64_t)MIN(bkl_work(sch->jobs_by_priority) / rate, INT32_MAX);
}

int64_t
sch_retry_ms(struct sch *sch, int64_t now_ms)
{
	if (!sch->opts.policy.refuse_by_wait)
		return MIN_RETRY_MS;
	/* Many jobs may be refused at once, each of which walks all others. */
	if (now_ms - sch->drain_at_ms >= DRAIN_INTERVAL_MS) {
		sch->drain_ms = drain_ms(sch);
		sch->drain_at_ms = now_ms;
	}
	return rta_next_ms(&sch->retry_after, sch->drain_ms);
}
