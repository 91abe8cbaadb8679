#include <glib.h>
#include <string.h>

#include "request/runqueue.h"

struct rq {
	struct rq_options opts;
	GQueue queue; /* struct rq_task */
	uint64_t bytes;
	uint32_t running;
};

struct rq *
rq_new(const struct rq_options *opts)
{
	struct rq *rq = g_new0(struct rq, 1);

	rq->opts = *opts;
	g_queue_init(&rq->queue);
	return rq;
}

void
rq_free(struct rq *rq)
{
	if (rq == NULL)
		return;
	g_queue_clear(&rq->queue);
	g_free(rq);
}

/*
 * Returns why a task can't start under these conditions.  A configuration that
 * is not fresh is no reason to return a task, since it may be confirmed again
 * before the deadline.
 */
static enum wire_reason
refusal(const struct rq_task *task, const struct rq_conditions *cond,
    int64_t now_ms)
{
	if (task->deadline_ms <= now_ms)
		return WIRE_REASON_DEADLINE;
	if (cond->draining)
		return WIRE_REASON_DRAINING;
	if (cond->service == NULL || strcmp(cond->service, task->service) != 0)
		return WIRE_REASON_NO_ENDPOINT;
	if (cond->out)
		return WIRE_REASON_OUT;
	return WIRE_REASON_NONE;
}

enum wire_reason
rq_push(struct rq *rq, struct rq_task *task, const struct rq_conditions *cond,
    int64_t now_ms)
{
	enum wire_reason reason = refusal(task, cond, now_ms);
	uint32_t in_use = rq->running + cond->slots_in_use;
	uint64_t limit = rq->opts.max_queue;

	if (reason != WIRE_REASON_NONE)
		return reason;
	/*
	 * All tasks of a batch are queued before any is started, so the limit
	 * is raised by the number of free slots.
	 */
	if (in_use < cond->slots)
		limit += cond->slots - in_use;
	if (rq->queue.length >= limit ||
	    rq->bytes + task->bytes > rq->opts.max_bytes)
		return WIRE_REASON_QUEUE_FULL;
	g_queue_push_tail(&rq->queue, task);
	rq->bytes += task->bytes;
	return WIRE_REASON_NONE;
}

static struct rq_task *
take(struct rq *rq, GList *link)
{
	struct rq_task *task = link->data;

	g_queue_delete_link(&rq->queue, link);
	rq->bytes -= task->bytes;
	return task;
}

struct rq_task *
rq_next(struct rq *rq, const struct rq_conditions *cond, int64_t now_ms,
    enum wire_reason *reason)
{
	uint64_t in_use = (uint64_t)rq->running + cond->slots_in_use;
	GList *l;

	for (l = rq->queue.head; l != NULL; l = l->next) {
		*reason = refusal(l->data, cond, now_ms);
		if (*reason != WIRE_REASON_NONE)
			return take(rq, l);
	}
	if (rq->queue.head == NULL || !cond->fresh || in_use >= cond->slots)
		return NULL;
	rq->running++;
	*reason = WIRE_REASON_NONE;
	return take(rq, rq->queue.head);
}

/* Records the end of a task that rq_next() returned for a start. */
void
rq_finished(struct rq *rq)
{
	if (rq->running > 0)
		rq->running--;
}

struct rq_task *
rq_withdraw(struct rq *rq, uint64_t entry, uint64_t seq)
{
	GList *l;

	for (l = rq->queue.head; l != NULL; l = l->next) {
		struct rq_task *task = l->data;

		if (task->entry == entry && task->seq == seq)
			return take(rq, l);
	}
	return NULL;
}

struct rq_task *
rq_take_of_entry(struct rq *rq, uint64_t entry)
{
	GList *l;

	for (l = rq->queue.head; l != NULL; l = l->next) {
		struct rq_task *task = l->data;

		if (task->entry == entry)
			return take(rq, l);
	}
	return NULL;
}

uint32_t
rq_queued(const struct rq *rq)
{
	return rq->queue.length;
}

uint32_t
rq_running(const struct rq *rq)
{
	return rq->running;
}

/* Sets the load that is reported to entries. */
void
rq_load(const struct rq *rq, const struct rq_conditions *cond,
    struct wire_load *load)
{
	load->slots = cond->service == NULL ? 0 : cond->slots;
	load->busy = rq->running + cond->slots_in_use;
	load->queued = rq->queue.length;
	load->draining = cond->draining;
}
