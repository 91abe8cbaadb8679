#include <glib.h>
#include <math.h>

#include "connection/pairwire.h"
#include "process/clock.h"
#include "process/events.h"
#include "process/interwatch.h"
#include "request/overlap.h"
#include "request/pairs.h"

/* Interval of the estimates and of the messages. */
#define INTERVAL_MS 1000

struct itw {
	struct ses *ses;
	struct ovl *overlap;
	struct itf *estimates;
	struct prs *pairs;
	GHashTable *paces; /* session to struct pwr_pace */
	int64_t due_ms;
	run_slowed slowed[RUN_SLOWED_MAX]; /* of the last update */
	int64_t *found_total, *n_found;
};

static void
on_renumbered(uint32_t queue, void *ctx)
{
	struct itw *itw = ctx;

	itf_reset(itw->estimates, queue);
}

static uint32_t
count_active(const char *queue, void *ctx)
{
	const struct itw *itw = ctx;

	return ovl_active(itw->overlap, queue);
}

static void
on_pair_changed(const struct itf_row *row, bool found, void *ctx)
{
	struct itw *itw = ctx;

	if (found)
		++*itw->found_total;
	evt_write("interference", evt_text("queue", row->queue),
	    evt_text("other", row->other), evt_bool("found", found),
	    evt_int("permille", lround(1000 * exp(row->mean))),
	    evt_uint("runs", row->weight));
}

struct itw *
itw_new(bool enabled, struct ctr_registry *counters)
{
	struct itw *itw = g_new0(struct itw, 1);
	struct ovl_options overlap = {.renumbered = on_renumbered, .ctx = itw};
	struct prs_options pairs = {
	    .changed = on_pair_changed,
	    .active = count_active,
	    .ctx = itw,
	};

	if (!enabled) {
		g_free(itw);
		return NULL;
	}
	itw->overlap = ovl_new(&overlap);
	itw->estimates = itf_new();
	itw->pairs = prs_new(&pairs);
	itw->paces =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	itw->found_total = ctr_counter(counters, "sp_interference_found_total",
	    "Pairs of queues found to slow each other on the worker.");
	itw->n_found = ctr_gauge(counters, "sp_interference_pairs",
	    "Pairs of queues that are known to slow each other.");
	return itw;
}

void
itw_free(struct itw *itw)
{
	if (itw == NULL)
		return;
	prs_free(itw->pairs);
	itf_free(itw->estimates);
	ovl_free(itw->overlap);
	g_hash_table_unref(itw->paces);
	g_free(itw);
}

void
itw_set_sessions(struct itw *itw, struct ses *ses)
{
	if (itw != NULL)
		itw->ses = ses;
}

void
itw_started(struct itw *itw, const char *task, const char *queue)
{
	if (itw != NULL && queue != NULL)
		ovl_start(itw->overlap, task, queue, clk_now_ms());
}

/*
 * As for the slowness of the worker, a stopped run has a projected run time.  A
 * start without a run number was never sent, but an earlier start of the same
 * task may still be active.
 */
void
itw_ended(struct itw *itw, const struct led_result *result)
{
	int64_t now_ms = clk_now_ms();
	struct itf_run run;

	if (itw == NULL || result->run == 0 ||
	    !ovl_end(itw->overlap, result->task, now_ms, &run))
		return;
	if (result->outcome != LED_DONE && result->outcome != LED_STALLED)
		return;
	run.run_ms = result->run_ms;
	run.nominal_ms = result->nominal_ms;
	itf_add(itw->estimates, &run, now_ms);
}

void
itw_fill_update(struct itw *itw, run_update_args *args)
{
	struct prs_slowed slowed[RUN_SLOWED_MAX];
	size_t i, n;

	if (itw == NULL)
		return;
	n = prs_slowed(itw->pairs, slowed, RUN_SLOWED_MAX);
	for (i = 0; i < n; i++)
		itw->slowed[i] = (run_slowed){
		    .queue = (char *)slowed[i].queue,
		    .permille = slowed[i].permille,
		};
	args->slowed.slowed_len = (uint32_t)n;
	args->slowed.slowed_val = itw->slowed;
}

void
itw_receive(
    struct itw *itw, uint64_t session, const struct run_interference_args *args)
{
	struct itf_row row;
	uint32_t i;

	if (itw == NULL)
		return;
	for (i = 0; i < args->pairs.pairs_len; i++) {
		if (pwr_from_wire(&args->pairs.pairs_val[i], &row))
			prs_share(itw->pairs, session, &row, clk_now_ms());
	}
}

static void
measure_pairs(struct itw *itw, int64_t now_ms)
{
	struct itf_row row;
	uint32_t q, o;

	itf_refresh(itw->estimates, now_ms);
	for (q = 0; q < ITF_QUEUES; q++) {
		for (o = 0; o < ITF_QUEUES; o++) {
			row.queue = ovl_queue(itw->overlap, q);
			row.other = ovl_queue(itw->overlap, o);
			if (row.queue != NULL && row.other != NULL &&
			    itf_estimate(itw->estimates, q, o, now_ms, &row))
				prs_measure(itw->pairs, &row, now_ms);
		}
	}
	prs_refresh(itw->pairs, now_ms);
	*itw->n_found = (int64_t)prs_n_found(itw->pairs);
}

static struct pwr_pace *
pace_of(struct itw *itw, uint64_t session)
{
	struct pwr_pace *pace = g_hash_table_lookup(itw->paces, &session);

	if (pace != NULL)
		return pace;
	pace = g_new0(struct pwr_pace, 1);
	g_hash_table_insert(
	    itw->paces, g_memdup2(&session, sizeof(session)), pace);
	return pace;
}

static void
send_rows(struct itw *itw, uint64_t session, int64_t now_ms)
{
	struct pwr_pace *pace = pace_of(itw, session);
	struct itf_row rows[RUN_PAIRS_MAX];
	run_pair pairs[RUN_PAIRS_MAX];
	run_interference_args args = {.pairs = {0, pairs}};
	size_t next = pace->next, i, n;

	n = prs_rows(itw->pairs, &next, rows, RUN_PAIRS_MAX, now_ms);
	if (!pwr_is_due(pace, n, now_ms))
		return;
	for (i = 0; i < n; i++)
		pwr_to_wire(&rows[i], &pairs[i]);
	args.pairs.pairs_len = (uint32_t)n;
	ses_send(itw->ses, session, RUN_INTERFERENCE,
	    (xdrproc_t)xdr_run_interference_args, &args);
	pace->next = next;
	pwr_record_sent(pace, n, now_ms);
}

static gboolean
is_closed(gpointer key, gpointer value, gpointer data)
{
	struct ses *ses = data;

	(void)value;
	return ses_last_sent_ms(ses, *(uint64_t *)key) == 0;
}

void
itw_tick(struct itw *itw)
{
	int64_t now_ms = clk_now_ms();
	g_autofree uint64_t *ids = NULL;
	uint32_t i, n;

	if (itw == NULL || now_ms < itw->due_ms)
		return;
	itw->due_ms = now_ms + INTERVAL_MS;
	measure_pairs(itw, now_ms);
	if (itw->ses == NULL)
		return;
	g_hash_table_foreach_remove(itw->paces, is_closed, itw->ses);
	ids = ses_ids(itw->ses, &n);
	for (i = 0; i < n; i++)
		send_rows(itw, ids[i], now_ms);
}
