#include <glib.h>

#include "process/clock.h"
#include "process/crashwatch.h"
#include "process/events.h"
#include "request/crashlog.h"

/* Crashes of the worker are remembered for this time. */
#define KEEP_MS 60000
/* Interval of the samples that crashes are compared with. */
#define SAMPLE_INTERVAL_MS 200

struct crw {
	struct crw_options opts;
	struct ses *ses;
	struct crl *crashes; /* of the worker */
	int64_t sample_due_ms;
};

/* The crash ids of a restarted agent are above those of the former one. */
struct crw *
crw_new(const struct crw_options *opts)
{
	struct crw *crw = g_new0(struct crw, 1);

	crw->opts = *opts;
	crw->crashes = crl_new((uint64_t)clk_wall_ms());
	return crw;
}

void
crw_free(struct crw *crw)
{
	if (crw == NULL)
		return;
	crl_free(crw->crashes);
	g_free(crw);
}

void
crw_set_sessions(struct crw *crw, struct ses *ses)
{
	crw->ses = ses;
}

static void
send_crash(struct crw *crw, uint64_t session, const struct crl_crash *crash)
{
	g_autofree run_suspect *suspects =
	    g_new0(run_suspect, crash->n_suspects);
	run_crash_args args = {
	    .id = crash->id,
	    .age_ms = clk_now_ms() - crash->crashed_ms,
	    .state = (run_crash_state)crash->state,
	    .suspects = {(uint32_t)crash->n_suspects, suspects},
	};
	size_t i;

	for (i = 0; i < crash->n_suspects; i++) {
		const struct crl_suspect *s = &crash->suspects[i];

		suspects[i].task = s->task;
		suspects[i].queue = s->queue;
		suspects[i].weight_permille = s->weight_permille;
		suspects[i].started = s->started;
	}
	ses_send(
	    crw->ses, session, RUN_CRASH, (xdrproc_t)xdr_run_crash_args, &args);
}

void
crw_send_all(struct crw *crw, uint64_t session)
{
	size_t i;

	for (i = 0; i < crl_count(crw->crashes); i++)
		send_crash(crw, session, crl_get(crw->crashes, i));
}

static void
log_crash(const struct crl_crash *crash)
{
	static const char *const states[] = {[CRL_PRESUMED] = "presumed",
	    [CRL_CONFIRMED] = "confirmed",
	    [CRL_WITHDRAWN] = "withdrawn"};

	evt_write("crash", evt_text("state", states[crash->state]),
	    evt_uint("incarnation", crash->incarnation),
	    evt_int("silent_ms", clk_now_ms() - crash->crashed_ms),
	    evt_uint("runs", crash->n_suspects),
	    evt_text("closest", crash->suspects[0].task),
	    evt_text("queue", crash->suspects[0].queue));
}

static void
announce(struct crw *crw, const struct crl_crash *crash)
{
	uint32_t i, n;
	g_autofree uint64_t *ids = NULL;

	log_crash(crash);
	if (crw->ses == NULL)
		return;
	ids = ses_ids(crw->ses, &n);
	for (i = 0; i < n; i++)
		send_crash(crw, ids[i], crash);
}

static void
append_run(const struct led_active_run *active, void *ctx)
{
	struct crl_run run = {
	    .task = active->task,
	    .queue = active->queue,
	    .sent_ms = active->sent_ms,
	    .started = active->started,
	};

	g_array_append_val(ctx, run);
}

/* The active runs; their strings are those of the ledger. */
static GArray *
active_runs(const struct crw *crw)
{
	GArray *runs = g_array_new(FALSE, FALSE, sizeof(struct crl_run));

	led_each_active(crw->opts.led, append_run, runs);
	return runs;
}

void
crw_record(struct crw *crw, const struct hold_lost *lost)
{
	g_autoptr(GArray) runs = active_runs(crw);
	const struct crl_crash *crash;

	crl_expire(crw->crashes, clk_now_ms() - KEEP_MS);
	crash = crl_add(crw->crashes, lost->incarnation, lost->heard_ms,
	    (const struct crl_run *)runs->data, runs->len);
	if (crash != NULL)
		announce(crw, crash);
}

/* An incarnation that answers again was only cut off. */
void
crw_settle(struct crw *crw)
{
	const struct crl_crash *crash;

	while (
	    (crash = crl_settle(crw->crashes, hold_incarnation(crw->opts.hold),
		 hold_is_ready(crw->opts.hold))) != NULL)
		announce(crw, crash);
}

void
crw_tick(struct crw *crw)
{
	g_autoptr(GArray) runs = NULL;

	if (clk_now_ms() < crw->sample_due_ms || !hold_is_ready(crw->opts.hold))
		return;
	crw->sample_due_ms = clk_now_ms() + SAMPLE_INTERVAL_MS;
	runs = active_runs(crw);
	crl_sample(crw->crashes, clk_now_ms(),
	    (const struct crl_run *)runs->data, runs->len);
}
