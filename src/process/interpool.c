#include <glib.h>

#include "process/clock.h"
#include "process/interpool.h"
#include "request/pairvotes.h"

#define INTERVAL_MS 1000

struct itp {
	struct pvt *votes;
	int64_t due_ms;
	bool sending; /* messages may be sent in this tick */
	int64_t *n_pairs;
};

struct itp *
itp_new(bool enabled, struct ctr_registry *counters)
{
	struct itp *itp;

	if (!enabled)
		return NULL;
	itp = g_new0(struct itp, 1);
	itp->votes = pvt_new();
	itp->n_pairs = ctr_gauge(counters, "sp_interference_pairs",
	    "Pairs of queues for which agents have reported estimates.");
	return itp;
}

void
itp_free(struct itp *itp)
{
	if (itp == NULL)
		return;
	pvt_free(itp->votes);
	g_free(itp);
}

void
itp_update(const struct itp *itp, struct wks_worker *worker,
    const struct run_update_args *args)
{
	struct sld_row rows[RUN_SLOWED_MAX];
	uint32_t i, n = args->slowed.slowed_len;

	if (itp == NULL)
		return;
	for (i = 0; i < n; i++)
		rows[i] = (struct sld_row){
		    .queue = args->slowed.slowed_val[i].queue,
		    .permille = args->slowed.slowed_val[i].permille,
		};
	sld_set(&worker->slowed, rows, n);
}

void
itp_receive(struct itp *itp, const char *agent,
    const struct run_interference_args *args)
{
	struct itf_row row;
	uint32_t i;

	if (itp == NULL)
		return;
	for (i = 0; i < args->pairs.pairs_len; i++) {
		if (pwr_from_wire(&args->pairs.pairs_val[i], &row))
			pvt_add(itp->votes, agent, &row, clk_now_ms());
	}
}

void
itp_tick(struct itp *itp)
{
	int64_t now_ms = clk_now_ms();

	if (itp == NULL)
		return;
	itp->sending = now_ms >= itp->due_ms;
	if (!itp->sending)
		return;
	itp->due_ms = now_ms + INTERVAL_MS;
	pvt_expire(itp->votes, now_ms);
	*itp->n_pairs = (int64_t)pvt_count(itp->votes);
}

void
itp_send(struct itp *itp, struct wlk *link, struct pwr_pace *pace)
{
	struct itf_row rows[RUN_PAIRS_MAX];
	run_pair pairs[RUN_PAIRS_MAX];
	run_interference_args args = {.pairs = {0, pairs}};
	size_t next = pace->next, i, n;
	int64_t now_ms = clk_now_ms();

	if (itp == NULL || !itp->sending || !wlk_is_open(link))
		return;
	n = pvt_rows(itp->votes, &next, rows, RUN_PAIRS_MAX, now_ms);
	if (!pwr_is_due(pace, n, now_ms))
		return;
	for (i = 0; i < n; i++)
		pwr_to_wire(&rows[i], &pairs[i]);
	args.pairs.pairs_len = (uint32_t)n;
	wlk_send_interference(link, &args);
	pace->next = next;
	pwr_record_sent(pace, n, now_ms);
}
