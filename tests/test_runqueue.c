#include <stdlib.h>
#include <string.h>

#include "request/runqueue.h"
#include "runner.h"

#define MAX_QUEUE 3
#define MAX_BYTES 1000

static const char *const reasons[] = {"start", "stale", "out", "draining",
    "deadline", "withdrawn", "sealed", "queue_full", "no_endpoint"};

/* The configuration counts as fresh until fresh_until_ms. */
struct trace {
	struct rq *rq;
	struct rq_conditions cond;
	int64_t now_ms;
	int64_t fresh_until_ms;
};

static void *
start(void)
{
	struct rq_options opts = {MAX_QUEUE, MAX_BYTES};
	struct trace *t = g_new0(struct trace, 1);

	t->rq = rq_new(&opts);
	t->cond.service = "desk";
	t->cond.slots = 2;
	t->fresh_until_ms = 3000;
	return t;
}

static void
end(void *ctx)
{
	struct trace *t = ctx;
	struct rq_task *task;
	uint64_t entry;

	for (entry = 1; entry <= 2; entry++) {
		while ((task = rq_take_of_entry(t->rq, entry)) != NULL)
			g_free(task);
	}
	rq_free(t->rq);
	g_free(t);
}

static void
push(struct trace *t, char **words, GString *actual)
{
	struct rq_task *task = g_new0(struct rq_task, 1);
	enum wire_reason reason;

	ck_assert_int_ge((int)g_strv_length(words), 4);
	task->entry = strtoull(words[1], NULL, 10);
	task->seq = strtoull(words[2], NULL, 10);
	task->deadline_ms = t->now_ms + strtoll(words[3], NULL, 10);
	task->service = "desk";
	if (words[4] != NULL)
		task->bytes = strtoull(words[4], NULL, 10);
	reason = rq_push(t->rq, task, &t->cond, t->now_ms);
	if (reason == WIRE_REASON_NONE)
		return;
	g_string_append(actual, reasons[reason]);
	g_free(task);
}

static void
run(struct trace *t, GString *actual)
{
	enum wire_reason reason;
	struct rq_task *task;

	t->cond.fresh = t->now_ms <= t->fresh_until_ms;
	while ((task = rq_next(t->rq, &t->cond, t->now_ms, &reason)) != NULL) {
		g_string_append_printf(
		    actual, "%d:%s ", (int)task->seq, reasons[reason]);
		g_free(task);
	}
}

static void
take(struct rq_task *task, GString *actual)
{
	if (task != NULL)
		g_string_append_printf(actual, "%d", (int)task->seq);
	else
		g_string_append(actual, "none");
	g_free(task);
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct trace *t = ctx;
	const char *arg = words[1] == NULL ? "" : words[1];
	uint64_t n = strtoull(arg, NULL, 10);
	struct wire_load load;

	if (strcmp(words[0], "at") == 0)
		t->now_ms = (int64_t)n;
	else if (strcmp(words[0], "confirm") == 0)
		t->fresh_until_ms = (int64_t)n + 3000;
	else if (strcmp(words[0], "push") == 0)
		push(t, words, actual);
	else if (strcmp(words[0], "run") == 0)
		run(t, actual);
	else if (strcmp(words[0], "finished") == 0)
		rq_finished(t->rq);
	else if (strcmp(words[0], "out") == 0)
		t->cond.out = n != 0;
	else if (strcmp(words[0], "draining") == 0)
		t->cond.draining = n != 0;
	else if (strcmp(words[0], "service") == 0)
		t->cond.service =
		    strcmp(arg, "-") == 0 ? NULL : g_intern_string(arg);
	else if (strcmp(words[0], "slots") == 0)
		t->cond.slots = (uint32_t)n;
	else if (strcmp(words[0], "foreign") == 0)
		t->cond.slots_in_use = (uint32_t)n;
	else if (strcmp(words[0], "withdraw") == 0)
		take(rq_withdraw(t->rq, n, strtoull(words[2], NULL, 10)),
		    actual);
	else if (strcmp(words[0], "drop") == 0)
		take(rq_take_of_entry(t->rq, n), actual);
	else if (strcmp(words[0], "load") == 0) {
		rq_load(t->rq, &t->cond, &load);
		g_string_append_printf(actual, "%u/%u+%u%s", load.busy,
		    load.slots, load.queued, load.draining ? " draining" : "");
	} else
		ck_abort_msg("unknown command %s", words[0]);
}

/* Guards against starting a task that must not run, or keeping it queued. */
REPLAY_MAIN("runqueue", 0, start, end, step)
