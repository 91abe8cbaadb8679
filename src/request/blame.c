#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/blame.h"
#include "request/work.h"

/* Crashes are remembered for this time, those for a queue's blame shorter. */
#define KEEP_MS		60000
#define QUEUE_RECENT_MS 10000
#define MAX_CRASHES	256
/*
 * Crashes within this time of each other have a common cause outside the tasks
 * more often than not, and count as one together.
 */
#define COMMON_CAUSE_MS 100
/* A worker that stays silent for this long is taken as crashed. */
#define SETTLE_MS 5000
/*
 * A task is given up after two crashes if it is the likely cause of both, and
 * after three in any case.  Crashes that may have come before its start reached
 * the worker are not counted, but with them it is not started after five.
 */
#define MAX_LIKELY_CRASHES 2
#define MAX_CRASHES_UNDER  3
#define MAX_CRASHES_KNOWN  5
#define LIKELY_BLAME	   1.0
#define SUSPECT_BLAME	   0.35
/*
 * Steps of the estimate for each recent crash.  With more it would settle on
 * one queue when few crashes are known, although others are nearly as likely.
 */
#define STEPS_PER_CRASH 3
#define MAX_STEPS	30
/* Crashes that a queue is taken to have caused before the first one. */
#define PRIOR_CRASHES 0.05

struct queue {
	char *name;
	double hazard; /* how likely it is the cause, not normalised */
	double caused; /* sum of the current step */
};

struct suspect {
	const struct crash *crash;
	char *task;
	struct queue *queue;
	double weight; /* 0: done since */
	double blame;  /* share of the crash that its job is to blame for */
	bool first_of_job;
	bool started; /* the worker has confirmed the start */
};

struct crash {
	char *agent;
	uint64_t id; /* of the agent */
	int64_t crashed_ms;
	enum crl_state state;
	double count; /* below 1 when it shares a cause with others */
	struct suspect *suspects;
	size_t n_suspects;
};

struct blm {
	GPtrArray *crashes; /* struct crash, in order of their arrival */
	GHashTable *queues; /* name to struct queue */
	GHashTable *tasks;  /* name to GPtrArray of struct suspect */
	bool is_current;    /* the estimate covers all that is known */
};

static void
list_free(gpointer data)
{
	g_ptr_array_unref(data);
}

static void
crash_free(gpointer data)
{
	struct crash *crash = data;
	size_t i;

	for (i = 0; i < crash->n_suspects; i++)
		g_free(crash->suspects[i].task);
	g_free(crash->suspects);
	g_free(crash->agent);
	g_free(crash);
}

static void
queue_free(gpointer data)
{
	struct queue *queue = data;

	g_free(queue->name);
	g_free(queue);
}

struct blm *
blm_new(void)
{
	struct blm *blm = g_new0(struct blm, 1);

	blm->crashes = g_ptr_array_new_with_free_func(crash_free);
	blm->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	blm->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, list_free);
	return blm;
}

void
blm_free(struct blm *blm)
{
	if (blm == NULL)
		return;
	g_hash_table_unref(blm->tasks);
	g_ptr_array_unref(blm->crashes);
	g_hash_table_unref(blm->queues);
	g_free(blm);
}

static struct queue *
find_queue(struct blm *blm, const char *name)
{
	struct queue *queue = g_hash_table_lookup(blm->queues, name);

	if (queue == NULL) {
		queue = g_new0(struct queue, 1);
		queue->name = g_strdup(name);
		g_hash_table_insert(blm->queues, queue->name, queue);
	}
	return queue;
}

static struct crash *
find_crash(const struct blm *blm, const char *agent, uint64_t id)
{
	guint i;

	for (i = 0; i < blm->crashes->len; i++) {
		struct crash *crash = blm->crashes->pdata[i];

		if (crash->id == id && strcmp(crash->agent, agent) == 0)
			return crash;
	}
	return NULL;
}

static void
add_to_task(struct blm *blm, struct suspect *s)
{
	GPtrArray *list = g_hash_table_lookup(blm->tasks, s->task);

	if (list == NULL) {
		list = g_ptr_array_new();
		g_hash_table_insert(blm->tasks, g_strdup(s->task), list);
	}
	g_ptr_array_add(list, s);
}

/* Takes the crash's suspects out of the lists of their tasks. */
static void
forget_suspects(struct blm *blm, struct crash *crash)
{
	size_t i;

	for (i = 0; i < crash->n_suspects; i++) {
		struct suspect *s = &crash->suspects[i];
		GPtrArray *list = g_hash_table_lookup(blm->tasks, s->task);

		g_ptr_array_remove(list, s);
		if (list->len == 0)
			g_hash_table_remove(blm->tasks, s->task);
	}
}

/* A withdrawn crash is kept, so that a late report does not bring it back. */
static void
withdraw(struct blm *blm, struct crash *crash)
{
	size_t i;

	forget_suspects(blm, crash);
	for (i = 0; i < crash->n_suspects; i++)
		g_free(crash->suspects[i].task);
	g_clear_pointer(&crash->suspects, g_free);
	crash->n_suspects = 0;
}

static void
set_suspects(
    struct blm *blm, struct crash *crash, const struct crl_crash *report)
{
	size_t i;

	crash->suspects = g_new0(struct suspect, report->n_suspects);
	crash->n_suspects = report->n_suspects;
	for (i = 0; i < report->n_suspects; i++) {
		const struct crl_suspect *from = &report->suspects[i];
		struct suspect *to = &crash->suspects[i];

		to->crash = crash;
		to->task = g_strdup(from->task);
		to->queue = find_queue(blm, from->queue);
		to->started = from->started;
		to->weight = from->weight_permille / 1000.0;
		to->first_of_job =
		    i == 0 || !wk_same_job(from->task, from[-1].task);
		add_to_task(blm, to);
	}
}

static void
expire(struct blm *blm, int64_t now_ms)
{
	while (blm->crashes->len > 0) {
		struct crash *crash = blm->crashes->pdata[0];

		if (blm->crashes->len <= MAX_CRASHES &&
		    now_ms - crash->crashed_ms <= KEEP_MS)
			return;
		forget_suspects(blm, crash);
		g_ptr_array_remove_index(blm->crashes, 0);
	}
}

void
blm_report(struct blm *blm, const char *agent, const struct crl_crash *report,
    int64_t now_ms)
{
	struct crash *crash = find_crash(blm, agent, report->id);

	blm->is_current = false;
	if (crash == NULL) {
		crash = g_new0(struct crash, 1);
		crash->agent = g_strdup(agent);
		crash->id = report->id;
		crash->crashed_ms = report->crashed_ms;
		set_suspects(blm, crash, report);
		g_ptr_array_add(blm->crashes, crash);
	}
	crash->state = report->state;
	if (crash->state == CRL_WITHDRAWN)
		withdraw(blm, crash);
	expire(blm, now_ms);
}

void
blm_record_done(struct blm *blm, const char *task)
{
	GPtrArray *list = g_hash_table_lookup(blm->tasks, task);
	guint i;

	for (i = 0; list != NULL && i < list->len; i++)
		((struct suspect *)list->pdata[i])->weight = 0;
	if (list != NULL)
		blm->is_current = false;
}

bool
blm_is_needed(const struct blm *blm)
{
	return blm->crashes->len > 0;
}

static bool
is_recent(const struct crash *crash, int64_t now_ms)
{
	return now_ms - crash->crashed_ms <= QUEUE_RECENT_MS;
}

/* Crashes of several workers at one moment count as one. */
static void
count_crash(const struct blm *blm, struct crash *crash)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < blm->crashes->len; i++) {
		const struct crash *other = blm->crashes->pdata[i];

		n +=
		    other->n_suspects > 0 &&
		    llabs((long long)(other->crashed_ms - crash->crashed_ms)) <=
			COMMON_CAUSE_MS;
	}
	crash->count = 1.0 / MAX(n, 1);
}

/*
 * Shares the blame for a crash among the jobs that were active, by the weights
 * of the report and the hazards of their queues.
 */
static void
share_blame(struct crash *crash)
{
	double sum = 0, blame = 0;
	size_t i;

	for (i = 0; i < crash->n_suspects; i++) {
		const struct suspect *s = &crash->suspects[i];

		if (s->first_of_job)
			sum += s->weight * s->queue->hazard;
	}
	for (i = 0; i < crash->n_suspects; i++) {
		struct suspect *s = &crash->suspects[i];

		if (s->first_of_job)
			blame =
			    sum > 0 ? s->weight * s->queue->hazard / sum : 0;
		s->blame = s->weight > 0 ? blame : 0;
		if (s->first_of_job)
			s->queue->caused += crash->count * blame;
	}
}

static void
estimate_step(struct blm *blm, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, blm->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct queue *)value)->caused = 0;
	for (i = 0; i < blm->crashes->len; i++) {
		if (is_recent(blm->crashes->pdata[i], now_ms))
			share_blame(blm->crashes->pdata[i]);
	}
	g_hash_table_iter_init(&iter, blm->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct queue *queue = value;

		queue->hazard = queue->caused + PRIOR_CRASHES;
	}
}

/*
 * Expectation maximisation: blame by the queues' hazards, hazards by the blame.
 * The queue whose jobs are closer to the crashes than usual ends with most of
 * the blame.
 */
static void
estimate(struct blm *blm, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	guint i, step, n_steps = 0;

	if (blm->is_current)
		return;
	for (i = 0; i < blm->crashes->len; i++) {
		count_crash(blm, blm->crashes->pdata[i]);
		if (is_recent(blm->crashes->pdata[i], now_ms))
			n_steps += STEPS_PER_CRASH;
	}
	g_hash_table_iter_init(&iter, blm->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct queue *)value)->hazard = 1;
	for (step = 0; step < MIN(n_steps, MAX_STEPS); step++)
		estimate_step(blm, now_ms);
	blm->is_current = true;
}

/* What is known of one task. */
struct history {
	uint32_t n_crashes;
	uint32_t n_under;   /* crashes that certainly followed its start */
	uint32_t n_settled; /* of these, those that were no cuts */
	double blame;	    /* sum of its shares */
};

static struct history
history_of(const GPtrArray *suspects, int64_t now_ms)
{
	struct history h = {0};
	guint i;

	for (i = 0; i < suspects->len; i++) {
		const struct suspect *s = suspects->pdata[i];
		bool settled = s->crash->state == CRL_CONFIRMED ||
			       now_ms - s->crash->crashed_ms > SETTLE_MS;

		if (s->weight == 0)
			continue;
		h.n_crashes++;
		h.n_under += s->started;
		h.n_settled += s->started && settled;
		h.blame += s->blame;
	}
	return h;
}

enum blm_status
blm_status_of(struct blm *blm, const char *task, int64_t now_ms)
{
	const GPtrArray *suspects = g_hash_table_lookup(blm->tasks, task);
	struct history h;

	if (suspects == NULL)
		return BLM_CLEAR;
	estimate(blm, now_ms);
	h = history_of(suspects, now_ms);
	if (h.n_under >= MAX_CRASHES_UNDER ||
	    (h.n_under >= MAX_LIKELY_CRASHES && h.blame >= LIKELY_BLAME))
		return h.n_settled >= MAX_LIKELY_CRASHES ? BLM_POISON
							 : BLM_PENDING;
	if (h.n_crashes >= MAX_CRASHES_KNOWN)
		return BLM_PENDING;
	return h.blame >= SUSPECT_BLAME ? BLM_SUSPECT : BLM_CLEAR;
}

struct blm_share
blm_share_of(
    struct blm *blm, const char *name, int64_t since_ms, int64_t now_ms)
{
	struct blm_share share = {0};
	guint i;
	size_t k;

	estimate(blm, now_ms);
	for (i = 0; i < blm->crashes->len; i++) {
		const struct crash *crash = blm->crashes->pdata[i];

		if (!is_recent(crash, now_ms) || crash->crashed_ms < since_ms)
			continue;
		for (k = 0; k < crash->n_suspects; k++) {
			const struct suspect *s = &crash->suspects[k];
			double blame = crash->count * s->blame;

			if (!s->first_of_job)
				continue;
			share.all += blame;
			if (strcmp(s->queue->name, name) == 0)
				share.caused += blame;
		}
	}
	return share;
}
