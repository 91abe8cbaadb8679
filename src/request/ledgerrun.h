#ifndef SP_LEDGERRUN_H
#define SP_LEDGERRUN_H

#include "request/ledger.h"
#include "request/progress.h"

/* A start in an agent's ledger, queued or active; for ledger.c alone. */

enum lrn_state {
	QUEUED,
	STARTING,
	RUNNING,
	STOPPING, /* a stop was sent for a running or an unanswered start */
};

struct run {
	enum lrn_state state;
	uint64_t session;
	uint64_t seq;
	char *task;
	char *queue;
	GBytes *spec; /* NULL once the start is confirmed */
	struct wk_size size;
	uint32_t priority;
	uint64_t order; /* number of the start in order of arrival */
	int64_t start_by_ms;
	int64_t number;		   /* run number given to the worker */
	int64_t sent_ms;	   /* when the start was last sent */
	int64_t first_sent_ms;	   /* with this run number */
	uint32_t start_calls;	   /* likewise */
	int64_t no_answer_ms;	   /* when the start timed out, 0: it did not */
	bool repeat_refused;	   /* the worker refused a repeated start */
	int64_t stop_sent_ms;	   /* when a stop was last sent, 0: never */
	uint32_t stop_calls;	   /* 0: it waits for its first call */
	int64_t stop_confirmed_ms; /* when the stop was confirmed, 0: not yet */
	bool given_up;		   /* by its entry, at given_up_ms */
	int64_t given_up_ms;
	uint32_t renumbers;
	bool started;		 /* the worker has confirmed the start */
	const char *stop_reason; /* why the run is being stopped */
	int64_t nominal_ms;
	struct pgr progress;
	bool stalled;
};

struct run *lrn_new(const struct led_start *start, uint64_t order);
void lrn_free(struct run *run);
/* Orders queued starts by priority and arrival; for g_sequence_sort(). */
int lrn_compare(gconstpointer left, gconstpointer right, gpointer data);
/* The worker has confirmed the start, so that it is not sent again. */
void lrn_set_started(struct run *run);
/* Adds the active run to the number of those in its state. */
void lrn_count_state(const struct run *run, struct led_states *states);

#endif
