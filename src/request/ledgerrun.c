#include <glib.h>

#include "request/ledgerrun.h"

struct run *
lrn_new(const struct led_start *start, uint64_t order)
{
	struct run *run = g_new0(struct run, 1);

	run->session = start->session;
	run->seq = start->seq;
	run->task = g_strdup(start->task);
	run->queue = g_strdup(start->queue);
	run->spec = start->spec == NULL ? NULL : g_bytes_ref(start->spec);
	run->size = start->size;
	run->priority = start->priority;
	run->order = order;
	run->start_by_ms = start->start_by_ms;
	run->nominal_ms = start->nominal_ms;
	pgr_init(&run->progress, start->expected_ms);
	return run;
}

void
lrn_free(struct run *run)
{
	g_free(run->task);
	g_free(run->queue);
	g_clear_pointer(&run->spec, g_bytes_unref);
	g_free(run);
}

int
lrn_compare(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct run *a = left, *b = right;

	(void)data;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return (a->order > b->order) - (a->order < b->order);
}

void
lrn_set_started(struct run *run)
{
	run->started = true;
	g_clear_pointer(&run->spec, g_bytes_unref);
}

void
lrn_count_state(const struct run *run, struct led_states *states)
{
	switch (run->state) {
	case QUEUED:
		break;
	case STARTING:
		if (run->no_answer_ms == 0)
			states->starting++;
		else
			states->unanswered++;
		break;
	case RUNNING:
		states->running++;
		break;
	case STOPPING:
		if (run->stop_confirmed_ms == 0)
			states->stopping++;
		else
			states->stopped++;
		break;
	}
}
