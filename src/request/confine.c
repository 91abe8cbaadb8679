#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/confine.h"
#include "request/rendezvous.h"

/*
 * A queue is confined when it is blamed for this many recent crashes; for fewer
 * when it was released less than REPEAT_MS ago.
 */
#define CONFINE_CRASHES	      1.2
#define CONFINE_CRASHES_AGAIN 0.5
#define REPEAT_MS	      10000
/*
 * And for this share of all: jobs that are only active beside the cause get
 * some of the blame for each crash, so that it adds up.
 */
#define CONFINE_SHARE 0.5
#define RELEASE_SHARE 0.35
/*
 * It is released after this many completed jobs and this time without another
 * crash, or when it is blamed for fewer recent crashes than RELEASE_CRASHES.
 * The jobs alone say little where few of many crash, the time alone where all
 * workers of the queue are away.
 */
#define RELEASE_JOBS	 24
#define RELEASE_AFTER_MS 3000
#define RELEASE_CRASHES	 0.5
/* A rise of a queue's blame by this much counts as another crash. */
#define ANOTHER_CRASH 0.3
/* Time constant of the work that a queue is taken to have. */
#define WORK_DECAY_MS 10000
/*
 * With less work of other queues there is nothing to protect, and a queue is
 * better served by all workers.
 */
#define MIN_OTHER_SHARE 0.1
/* A worker that took no starts for longer is not expected to return soon. */
#define RETURN_MS 6000
/* Share of the workers that single suspected tasks may use. */
#define SUSPECT_SHARE 0.25

struct cfn_queue {
	char *service;
	char *name;
	double work; /* of late, decaying */
	int64_t work_ms;
	bool blamed;	     /* is to be confined */
	bool confined;	     /* as last reported */
	double caused;	     /* as last estimated */
	uint32_t n_done;     /* jobs completed since the last crash */
	int64_t crashed_ms;  /* when that was noticed */
	int64_t released_ms; /* earlier crashes count no more */
};

struct cfn {
	struct cfn_options opts;
	GPtrArray *queues; /* struct cfn_queue */
};

static void
queue_free(gpointer data)
{
	struct cfn_queue *queue = data;

	g_free(queue->service);
	g_free(queue->name);
	g_free(queue);
}

struct cfn *
cfn_new(const struct cfn_options *opts)
{
	struct cfn *cfn = g_new0(struct cfn, 1);

	cfn->opts = *opts;
	cfn->queues = g_ptr_array_new_with_free_func(queue_free);
	return cfn;
}

void
cfn_free(struct cfn *cfn)
{
	if (cfn == NULL)
		return;
	g_ptr_array_unref(cfn->queues);
	g_free(cfn);
}

struct cfn_queue *
cfn_find(struct cfn *cfn, const char *service, const char *name)
{
	struct cfn_queue *queue;
	guint i;

	for (i = 0; i < cfn->queues->len; i++) {
		queue = cfn->queues->pdata[i];
		if (strcmp(queue->name, name) == 0 &&
		    strcmp(queue->service, service) == 0)
			return queue;
	}
	queue = g_new0(struct cfn_queue, 1);
	queue->service = g_strdup(service);
	queue->name = g_strdup(name);
	g_ptr_array_add(cfn->queues, queue);
	return queue;
}

static double
decayed_work(const struct cfn_queue *queue, int64_t now_ms)
{
	return queue->work *
	       exp(-(double)(now_ms - queue->work_ms) / WORK_DECAY_MS);
}

void
cfn_count_work(struct cfn_queue *queue, double work, int64_t now_ms)
{
	queue->work = decayed_work(queue, now_ms) + work;
	queue->work_ms = now_ms;
}

void
cfn_count_completion(struct cfn_queue *queue)
{
	queue->n_done++;
}

bool
cfn_is_confined(const struct cfn_queue *queue)
{
	return queue->confined;
}

bool
cfn_is_cut_off(const struct cfn *cfn, const struct cfn_queue *queue)
{
	size_t i;

	for (i = 0; i < wks_count(cfn->opts.workers); i++) {
		const struct wks_worker *w = wks_get(cfn->opts.workers, i);

		if (w->use == WKS_RESERVED &&
		    wks_is_usable(cfn->opts.workers, w, queue->service))
			return false;
	}
	return queue->confined;
}

/* Share of the service's work that blamed queues make up. */
static double
blamed_share(const struct cfn *cfn, const char *service, int64_t now_ms)
{
	double blamed = 0, all = 0;
	guint i;

	for (i = 0; i < cfn->queues->len; i++) {
		const struct cfn_queue *queue = cfn->queues->pdata[i];

		if (strcmp(queue->service, service) != 0)
			continue;
		all += decayed_work(queue, now_ms);
		if (queue->blamed)
			blamed += decayed_work(queue, now_ms);
	}
	return all > 0 ? blamed / all : 0;
}

static void
set_confined(struct cfn *cfn, struct cfn_queue *queue, bool confined)
{
	queue->confined = confined;
	queue->n_done = 0;
	cfn->opts.changed(queue->name, confined, queue->caused, cfn->opts.ctx);
}

static double
confine_crashes(const struct cfn_queue *queue, int64_t now_ms)
{
	return queue->released_ms != 0 &&
		       now_ms - queue->released_ms < REPEAT_MS
		   ? CONFINE_CRASHES_AGAIN
		   : CONFINE_CRASHES;
}

static bool
has_proved_safe(const struct cfn_queue *queue, int64_t now_ms)
{
	return queue->n_done >= RELEASE_JOBS &&
	       now_ms - queue->crashed_ms >= RELEASE_AFTER_MS;
}

/* Brings the queue's blame up to date; returns whether it is to be confined. */
static bool
is_blamed(struct cfn *cfn, struct cfn_queue *queue, int64_t now_ms)
{
	struct blm_share share = blm_share_of(
	    cfn->opts.blame, queue->name, queue->released_ms, now_ms);

	if (share.caused >= queue->caused + ANOTHER_CRASH) {
		queue->n_done = 0;
		queue->crashed_ms = now_ms;
	}
	queue->caused = share.caused;
	if (!queue->confined)
		return share.caused >= confine_crashes(queue, now_ms) &&
		       share.caused >= share.all * CONFINE_SHARE;
	return !has_proved_safe(queue, now_ms) &&
	       share.caused >= RELEASE_CRASHES &&
	       share.caused >= share.all * RELEASE_SHARE;
}

static gint
compare_caused(gconstpointer left, gconstpointer right)
{
	const struct cfn_queue *a = *(struct cfn_queue *const *)left;
	const struct cfn_queue *b = *(struct cfn_queue *const *)right;

	return (a->caused < b->caused) - (a->caused > b->caused);
}

/* A worker that may be marked, and its place in the order of all entries. */
struct candidate {
	struct wks_worker *w;
	uint64_t score;
};

static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct candidate *a = left, *b = right;

	return (a->score < b->score) - (a->score > b->score);
}

/* The service's workers that may be marked. */
static GArray *
find_candidates(const struct cfn *cfn, const char *service, int64_t now_ms)
{
	GArray *candidates =
	    g_array_new(FALSE, FALSE, sizeof(struct candidate));
	size_t i;

	for (i = 0; i < wks_count(cfn->opts.workers); i++) {
		struct candidate c = {.w = wks_get(cfn->opts.workers, i)};

		if (!wks_is_in_service(cfn->opts.workers, c.w, service) ||
		    now_ms - c.w->last_usable_ms > RETURN_MS)
			continue;
		c.score = rdv_score(service, c.w->name);
		g_array_append_val(candidates, c);
	}
	g_array_sort(candidates, compare_candidates);
	return candidates;
}

/* With one worker there is none to keep apart. */
static bool
can_confine(const struct cfn *cfn, const char *service, int64_t now_ms)
{
	g_autoptr(GArray) candidates = find_candidates(cfn, service, now_ms);

	return candidates->len >= 2 &&
	       blamed_share(cfn, service, now_ms) <= 1 - MIN_OTHER_SHARE;
}

/*
 * Confines the blamed queues, those that caused most first, as long as enough
 * work of others of the service, and a worker for it, is left.
 */
static void
confine_blamed(struct cfn *cfn, GPtrArray *blamed, int64_t now_ms)
{
	guint i;

	for (i = 0; i < blamed->len; i++)
		((struct cfn_queue *)blamed->pdata[i])->blamed = false;
	g_ptr_array_sort(blamed, compare_caused);
	for (i = 0; i < blamed->len; i++) {
		struct cfn_queue *queue = blamed->pdata[i];

		queue->blamed = true;
		queue->blamed = can_confine(cfn, queue->service, now_ms);
	}
}

static void
update_queues(struct cfn *cfn, int64_t now_ms)
{
	g_autoptr(GPtrArray) blamed = g_ptr_array_new();
	guint i;

	for (i = 0; i < cfn->queues->len; i++) {
		struct cfn_queue *queue = cfn->queues->pdata[i];

		queue->blamed = is_blamed(cfn, queue, now_ms);
		if (queue->blamed)
			g_ptr_array_add(blamed, queue);
		else if (queue->confined)
			queue->released_ms = now_ms;
	}
	confine_blamed(cfn, blamed, now_ms);
	for (i = 0; i < cfn->queues->len; i++) {
		struct cfn_queue *queue = cfn->queues->pdata[i];

		if (queue->confined != queue->blamed)
			set_confined(cfn, queue, queue->blamed);
	}
}

/*
 * Marks the service's first n workers in the order of their scores.  One that
 * has crashed keeps its place: otherwise the next one would take it, and crash.
 */
static void
mark_workers(struct cfn *cfn, const char *service, double share,
    enum wks_use use, int64_t now_ms)
{
	g_autoptr(GArray) candidates = find_candidates(cfn, service, now_ms);
	guint i, n;

	if (candidates->len < 2)
		return;
	n = (guint)CLAMP(ceil(share * candidates->len), 1, candidates->len - 1);
	for (i = 0; i < n; i++)
		g_array_index(candidates, struct candidate, i).w->use = use;
}

static void
mark_service(struct cfn *cfn, const char *service, int64_t now_ms)
{
	double share = blamed_share(cfn, service, now_ms);

	if (share > 0)
		mark_workers(cfn, service, share, WKS_RESERVED, now_ms);
	else
		mark_workers(cfn, service, SUSPECT_SHARE, WKS_SUSPECTS, now_ms);
}

static bool
is_first_of_service(const struct cfn *cfn, guint index)
{
	const struct cfn_queue *queue = cfn->queues->pdata[index];
	guint i;

	for (i = 0; i < index; i++) {
		const struct cfn_queue *other = cfn->queues->pdata[i];

		if (strcmp(other->service, queue->service) == 0)
			return false;
	}
	return true;
}

void
cfn_update(struct cfn *cfn, int64_t now_ms)
{
	guint i;

	update_queues(cfn, now_ms);
	for (i = 0; i < wks_count(cfn->opts.workers); i++)
		wks_get(cfn->opts.workers, i)->use = WKS_ALL;
	if (!blm_is_needed(cfn->opts.blame))
		return;
	for (i = 0; i < cfn->queues->len; i++) {
		const struct cfn_queue *queue = cfn->queues->pdata[i];

		if (is_first_of_service(cfn, i))
			mark_service(cfn, queue->service, now_ms);
	}
}
