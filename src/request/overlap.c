#include <glib.h>
#include <string.h>

#include "request/overlap.h"

/* A queue without active runs for this long gives its number to another one. */
#define IDLE_MS 10000
/* Jobs of a queue whose runs are weighted; several may be active. */
#define RECENT_JOBS 8
/* A task is named JOB.0.STEP.INDEX, see wk_task_name(). */
#define TASK_SUFFIX_PARTS 3

struct recent_job {
	guint hash;
	double weight; /* of its next run, 0: none */
};

struct queue {
	char *name; /* NULL: the number is free */
	uint32_t active;
	double exposure_ms; /* integral of itf_exposure(active) over time */
	int64_t at_ms;	    /* until then */
	struct recent_job jobs[RECENT_JOBS];
	uint32_t next_job;
};

struct run {
	uint32_t queue;
	int64_t started_ms;
	bool repeated;
	double exposure_ms[ITF_QUEUES]; /* of each queue at the start */
};

struct ovl {
	struct ovl_options opts;
	struct queue queues[ITF_QUEUES];
	GHashTable *runs; /* task to struct run */
};

struct ovl *
ovl_new(const struct ovl_options *opts)
{
	struct ovl *ovl = g_new0(struct ovl, 1);

	ovl->opts = *opts;
	ovl->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ovl;
}

void
ovl_free(struct ovl *ovl)
{
	uint32_t i;

	if (ovl == NULL)
		return;
	for (i = 0; i < ITF_QUEUES; i++)
		g_free(ovl->queues[i].name);
	g_hash_table_unref(ovl->runs);
	g_free(ovl);
}

static void
advance(struct ovl *ovl, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < ITF_QUEUES; i++) {
		struct queue *q = &ovl->queues[i];

		if (q->active == 0)
			continue;
		q->exposure_ms +=
		    itf_exposure(q->active) * (double)(now_ms - q->at_ms);
		q->at_ms = now_ms;
	}
}

static int
find_queue(const struct ovl *ovl, const char *name)
{
	int i;

	for (i = 0; i < ITF_QUEUES; i++) {
		if (ovl->queues[i].name != NULL &&
		    strcmp(ovl->queues[i].name, name) == 0)
			return i;
	}
	return -1;
}

/*
 * The number of a queue that was idle for the longest time, at least IDLE_MS,
 * so that more queues than numbers do not displace each other all the time.
 */
static int
take_number(struct ovl *ovl, const char *name, int64_t now_ms)
{
	struct queue *q;
	int i, best = -1;

	for (i = 0; i < ITF_QUEUES; i++) {
		q = &ovl->queues[i];
		if (q->name != NULL &&
		    (q->active > 0 || now_ms - q->at_ms < IDLE_MS))
			continue;
		if (q->name == NULL) {
			best = i;
			break;
		}
		if (best < 0 || q->at_ms < ovl->queues[best].at_ms)
			best = i;
	}
	if (best < 0)
		return -1;
	q = &ovl->queues[best];
	if (q->name != NULL)
		ovl->opts.renumbered((uint32_t)best, ovl->opts.ctx);
	g_free(q->name);
	*q = (struct queue){
	    .name = g_strdup(name), .exposure_ms = q->exposure_ms};
	return best;
}

void
ovl_start(struct ovl *ovl, const char *task, const char *queue, int64_t now_ms)
{
	struct run *run = g_hash_table_lookup(ovl->runs, task);
	int i = find_queue(ovl, queue);
	uint32_t k;

	if (run != NULL) {
		run->repeated = true;
		return;
	}
	if (i < 0)
		i = take_number(ovl, queue, now_ms);
	if (i < 0)
		return;
	advance(ovl, now_ms);
	run = g_new0(struct run, 1);
	run->queue = (uint32_t)i;
	run->started_ms = now_ms;
	for (k = 0; k < ITF_QUEUES; k++)
		run->exposure_ms[k] = ovl->queues[k].exposure_ms;
	ovl->queues[i].active++;
	ovl->queues[i].at_ms = now_ms;
	g_hash_table_insert(ovl->runs, g_strdup(task), run);
}

static guint
job_hash(const char *task)
{
	size_t len = strlen(task);
	int parts = 0;
	guint hash = 5381;
	size_t i;

	while (len > 0 && parts < TASK_SUFFIX_PARTS)
		parts += task[--len] == '.';
	for (i = 0; i < len; i++)
		hash = hash * 33 + (guchar)task[i];
	return hash;
}

/*
 * Each further run of a job counts half: tasks of a job share the error of its
 * estimate, so that together they say little more than two of them.
 */
static double
weight_of(struct queue *q, const char *task)
{
	guint hash = job_hash(task);
	uint32_t i;

	for (i = 0; i < RECENT_JOBS; i++) {
		struct recent_job *job = &q->jobs[i];

		if (job->hash == hash && job->weight > 0)
			return job->weight /= 2;
	}
	q->jobs[q->next_job] = (struct recent_job){hash, 1};
	q->next_job = (q->next_job + 1) % RECENT_JOBS;
	return 1;
}

bool
ovl_end(struct ovl *ovl, const char *task, int64_t now_ms, struct itf_run *out)
{
	struct run *run = g_hash_table_lookup(ovl->runs, task);
	double ms;
	bool known;
	uint32_t k;

	if (run == NULL)
		return false;
	advance(ovl, now_ms);
	ms = (double)(now_ms - run->started_ms);
	known = !run->repeated && ms > 0;
	*out = (struct itf_run){.queue = run->queue};
	for (k = 0; known && k < ITF_QUEUES; k++)
		out->exposure[k] =
		    (ovl->queues[k].exposure_ms - run->exposure_ms[k]) / ms;
	/* A longer run meets fewer of the runs that its job began with. */
	out->exposure[run->queue] = 0;
	if (known)
		out->weight = weight_of(&ovl->queues[run->queue], task);
	ovl->queues[run->queue].active--;
	g_hash_table_remove(ovl->runs, task);
	return known;
}

const char *
ovl_queue(const struct ovl *ovl, uint32_t queue)
{
	return ovl->queues[queue].name;
}

uint32_t
ovl_active(const struct ovl *ovl, const char *queue)
{
	int i = find_queue(ovl, queue);

	return i < 0 ? 0 : ovl->queues[i].active;
}
