#include <glib.h>
#include <string.h>

#include "connection/claim.h"
#include "process/clock.h"
#include "process/events.h"

#define RETRY_MS 50
/* Claims that are checked at the same time; the oldest makes room. */
#define MAX_CLAIMS 4
/* How far a heartbeat may be ahead of the clock in a later answer: rounding. */
#define CLOCK_SLACK_MS 50

struct clm {
	struct clm_options opts;
	GPtrArray *claims; /* struct claim */
	bool closed;
};

struct claim {
	struct clm *clm;
	struct wp_worker *worker;
	int64_t until_ms;
	int64_t token; /* of its last call */
	bool in_call;
	bool dropped; /* freed when its call is answered */
	guint retry_id;
};

static void
claim_free(struct claim *claim)
{
	g_clear_handle_id(&claim->retry_id, g_source_remove);
	wp_worker_free(claim->worker);
	g_free(claim);
}

/* Removes the claim from the list. */
static void
drop(gpointer data)
{
	struct claim *claim = data;

	g_clear_handle_id(&claim->retry_id, g_source_remove);
	claim->dropped = true;
	if (!claim->in_call)
		claim_free(claim);
}

static void
log_end(const struct claim *claim, const char *state)
{
	evt_write("claim", evt_text("instance", claim->worker->instance),
	    evt_uint("born_ms", claim->worker->born_ms),
	    evt_text("address", claim->worker->address),
	    evt_text("state", state));
}

static void ask(struct claim *claim);

static gboolean
on_retry(gpointer data)
{
	struct claim *claim = data;

	claim->retry_id = 0;
	ask(claim);
	return G_SOURCE_REMOVE;
}

static void
retry(struct claim *claim)
{
	if (clk_now_ms() < claim->until_ms) {
		claim->retry_id = g_timeout_add(RETRY_MS, on_retry, claim);
		return;
	}
	log_end(claim, "unanswered");
	g_ptr_array_remove(claim->clm->claims, claim);
}

static void
refute(struct claim *claim)
{
	log_end(claim, "refuted");
	g_ptr_array_remove(claim->clm->claims, claim);
}

static void
confirm(struct claim *claim)
{
	struct clm *clm = claim->clm;
	struct wp_worker *worker = g_steal_pointer(&claim->worker);

	g_ptr_array_remove(clm->claims, claim);
	clm->opts.confirmed(worker, clm->opts.ctx);
	wp_worker_free(worker);
}

/*
 * A clock behind that of the heartbeat does not refute it yet: a later one may
 * have come during the call.
 */
static void
settle_answer(struct claim *claim, const struct wp_report *report)
{
	if (report->born_ms != claim->worker->born_ms)
		refute(claim);
	else if (claim->worker->clock_ms >
		 report->answer.clock_ms + CLOCK_SLACK_MS)
		retry(claim);
	else
		confirm(claim);
}

static void
settle(struct claim *claim, const struct wp_report *report)
{
	switch (report->answer.verdict) {
	case WP_DONE:
		settle_answer(claim, report);
		return;
	case WP_FENCED:
		claim->clm->opts.fenced(claim->token, claim->clm->opts.ctx);
		retry(claim);
		return;
	case WP_NO_ANSWER:
	case WP_REFUSED:
	case WP_STALE_RUN:
	case WP_DEADLINE_PASSED:
		retry(claim);
		return;
	case WP_REPLACED:
		refute(claim);
		return;
	}
}

static void
on_report(const struct wp_report *report, void *ctx)
{
	struct claim *claim = ctx;

	claim->in_call = false;
	if (claim->dropped)
		claim_free(claim);
	else
		settle(claim, report);
}

static void
ask(struct claim *claim)
{
	const struct clm_options *opts = &claim->clm->opts;
	struct wp_hold args = {0};
	struct wp_target target = {
	    .address = claim->worker->address,
	    .instance = claim->worker->instance,
	};

	opts->fill_target(&target, opts->ctx);
	claim->token = target.token;
	claim->in_call = true;
	opts->wp->hold(opts->wp->port, &target, &args, on_report, claim);
}

struct clm *
clm_new(const struct clm_options *opts)
{
	struct clm *clm = g_new0(struct clm, 1);

	clm->opts = *opts;
	clm->claims = g_ptr_array_new_with_free_func(drop);
	return clm;
}

void
clm_close(struct clm *clm)
{
	clm->closed = true;
	g_ptr_array_set_size(clm->claims, 0);
}

void
clm_free(struct clm *clm)
{
	if (clm == NULL)
		return;
	g_ptr_array_unref(clm->claims);
	g_free(clm);
}

static struct claim *
find(const struct clm *clm, const struct wp_worker *worker)
{
	guint i;

	for (i = 0; i < clm->claims->len; i++) {
		struct claim *claim = clm->claims->pdata[i];

		if (claim->worker->born_ms == worker->born_ms &&
		    strcmp(claim->worker->instance, worker->instance) == 0 &&
		    strcmp(claim->worker->address, worker->address) == 0)
			return claim;
	}
	return NULL;
}

void
clm_check(struct clm *clm, const struct wp_worker *worker)
{
	struct claim *claim = find(clm, worker);
	bool is_new = claim == NULL;

	if (clm->closed)
		return;
	if (is_new) {
		if (clm->claims->len == MAX_CLAIMS)
			g_ptr_array_remove_index(clm->claims, 0);
		claim = g_new0(struct claim, 1);
		claim->clm = clm;
		g_ptr_array_add(clm->claims, claim);
	}
	wp_worker_free(claim->worker);
	claim->worker = wp_worker_copy(worker);
	claim->until_ms = clk_now_ms() + CLM_LIMIT_MS;
	if (is_new)
		ask(claim);
}

void
clm_suggest(struct clm *clm, const struct wp_worker *worker)
{
	const struct claim *claim = find(clm, worker);

	if (claim == NULL || claim->worker->clock_ms < worker->clock_ms)
		clm_check(clm, worker);
}
