#include <glib.h>

#include "process/cancelrelay.h"
#include "process/clock.h"
#include "process/events.h"
#include "request/cancelled.h"

/*
 * Jobs that an entry is told if it was not connected to this process before.
 * It has none of them open; they guard against late submissions only.
 */
#define MAX_FIRST_ROWS 4096

struct cry {
	struct ses *ses;
	struct ccl *cancelled;
	uint64_t source; /* names this process */
	int64_t *n_cancelled, *passed_on, *refused;
};

struct cry *
cry_new(uint32_t max_jobs, struct ctr_registry *counters)
{
	struct cry *cry = g_new0(struct cry, 1);

	cry->cancelled = ccl_new(max_jobs);
	/* 0 means that an entry has heard of no agent. */
	cry->source = (uint64_t)g_random_int() << 32 | g_random_int() | 1;
	cry->n_cancelled = ctr_gauge(counters, "sp_jobs_cancelled",
	    "Cancelled jobs that are remembered.");
	cry->passed_on = ctr_counter(counters, "sp_cancels_passed_on_total",
	    "Cancelled jobs that entries have told.");
	cry->refused = ctr_counter(counters, "sp_starts_cancelled_total",
	    "Starts refused since their job is cancelled.");
	return cry;
}

void
cry_free(struct cry *cry)
{
	if (cry == NULL)
		return;
	ccl_free(cry->cancelled);
	g_free(cry);
}

void
cry_set_sessions(struct cry *cry, struct ses *ses)
{
	cry->ses = ses;
}

/* Reads up to RUN_BATCH_MAX rows for the wire; returns their number. */
static uint32_t
read_rows(const struct cry *cry, uint64_t *position, run_cancelled *to)
{
	struct ccl_row rows[RUN_BATCH_MAX];
	size_t i, n = ccl_read(cry->cancelled, position, rows, RUN_BATCH_MAX);

	for (i = 0; i < n; i++) {
		to[i].key = rows[i].key;
		to[i].age_ms = clk_now_ms() - rows[i].since_ms;
	}
	return (uint32_t)n;
}

/* Sends at least one message, which names this process. */
void
cry_opened(
    struct cry *cry, uint64_t session, uint64_t source, uint64_t position)
{
	uint64_t end = ccl_position(cry->cancelled);
	run_cancelled rows[RUN_BATCH_MAX];
	run_cancelled_args args = {.source = cry->source};

	if (source != cry->source)
		position = end > MAX_FIRST_ROWS ? end - MAX_FIRST_ROWS : 0;
	args.jobs.jobs_val = rows;
	do {
		args.jobs.jobs_len = read_rows(cry, &position, rows);
		args.position = position;
		ses_send(cry->ses, session, RUN_CANCELLED,
		    (xdrproc_t)xdr_run_cancelled_args, &args);
	} while (position < end);
}

static void
pass_on(struct cry *cry, uint64_t from, run_cancelled *rows, uint32_t n)
{
	run_cancelled_args args = {
	    .source = cry->source,
	    .position = ccl_position(cry->cancelled),
	    .jobs = {n, rows},
	};
	g_autofree uint64_t *ids = NULL;
	uint32_t i, n_ids;

	ids = ses_ids(cry->ses, &n_ids);
	for (i = 0; i < n_ids; i++) {
		if (ids[i] != from)
			ses_send(cry->ses, ids[i], RUN_CANCELLED,
			    (xdrproc_t)xdr_run_cancelled_args, &args);
	}
}

/* The entry that asks acknowledges its callers' cancels by this. */
static void
answer(struct cry *cry, uint64_t session, const struct run_cancelled_args *args)
{
	uint32_t i, n = args->jobs.jobs_len;
	uint64_t keys[RUN_BATCH_MAX];
	run_cancels_known_args known = {{n, keys}};

	for (i = 0; i < n; i++)
		keys[i] = args->jobs.jobs_val[i].key;
	ses_send(cry->ses, session, RUN_CANCELS_KNOWN,
	    (xdrproc_t)xdr_run_cancels_known_args, &known);
}

void
cry_receive(
    struct cry *cry, uint64_t session, const struct run_cancelled_args *args)
{
	run_cancelled news[RUN_BATCH_MAX];
	int64_t now_ms = clk_now_ms();
	uint32_t i, n = 0;

	for (i = 0; i < args->jobs.jobs_len; i++) {
		const run_cancelled *job = &args->jobs.jobs_val[i];

		if (ccl_add(
			cry->cancelled, job->key, now_ms - job->age_ms, now_ms))
			news[n++] = *job;
	}
	*cry->n_cancelled = ccl_count(cry->cancelled);
	*cry->passed_on += n;
	if (n > 0) {
		evt_write("cancel", evt_uint("session", session),
		    evt_uint("jobs", n), evt_uint("first_key", news[0].key));
		pass_on(cry, session, news, n);
	}
	/* After it was passed on, which the answer says. */
	answer(cry, session, args);
}

bool
cry_has(struct cry *cry, const struct run_start *start)
{
	if (!ccl_has(cry->cancelled, start->job_key, clk_now_ms()))
		return false;
	++*cry->refused;
	return true;
}
