#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "change.h"
#include "draft.h"
#include "process/clock.h"
#include "process/log.h"

#define EVALUATION_PERIOD_MS  100
#define VOTER_CHECK_PERIOD_MS 500
#define CHANGE_DEADLINE_MS    4000
#define RETRY_DELAY_MAX_MS    50
#define MAX_QUEUED_CHANGES    256
#define MAX_ACCEPTED_VERSIONS 64

struct op {
	struct drf_change change; /* strings are owned by the op */
	chg_done_fn fn;		  /* NULL: no caller to notify */
	void *ctx;
	int64_t started_ms;
	bool outcome_unknown; /* a write got no reply; outcome unresolved */
	char *document;	      /* of the write in progress */
};

struct accepted {
	uint64_t version;
	int64_t at_ms;
};

struct chg {
	struct chg_options opts;
	GQueue queue;
	struct op *current;
	guint retry_timer;
	guint evaluation_timer;
	int64_t next_voter_check_ms;
	bool voter_queued;
	uint32_t voter_changes;
	bool voting_stopped;
	GArray *accepted; /* struct accepted, by rising version and time */
};

static void start_read(struct chg *chg);

static void
op_free(struct op *op)
{
	g_free((char *)op->change.change_id);
	g_free((char *)op->change.text);
	g_free((char *)op->change.name);
	g_free(op->document);
	g_free(op);
}

static gboolean
on_retry(gpointer ctx)
{
	struct chg *chg = ctx;

	chg->retry_timer = 0;
	start_read(chg);
	return G_SOURCE_REMOVE;
}

static void
start_next_op(struct chg *chg)
{
	chg->current = g_queue_pop_head(&chg->queue);
	if (chg->current == NULL)
		return;
	chg->current->started_ms = clk_now_ms();
	start_read(chg);
}

static void
finish_op(struct chg *chg, const struct status *st, uint64_t version)
{
	struct op *op = chg->current;

	chg->current = NULL;
	if (op->change.kind == DRF_VOTER)
		chg->voter_queued = false;
	if (op->change.kind != DRF_VOTER || st->code == ST_OK)
		log_line(LOG_INFO, "change %s: %s %s, version %" PRIu64,
		    op->change.change_id, st_name(st->code),
		    st->code == ST_OK ? "" : st->message, version);
	if (op->fn != NULL)
		op->fn(st, version, op->ctx);
	op_free(op);
	if (chg->current == NULL)
		start_next_op(chg);
}

static void
fail_op(struct chg *chg, enum st_code code, const char *message)
{
	struct status st;

	st_set(&st, code, "%s", message);
	finish_op(chg, &st, 0);
}

/*
 * Retries the change after a random delay, so that entries that changed the
 * document at the same time don't collide again.  Fails it after
 * CHANGE_DEADLINE_MS.
 */
static void
retry_later(struct chg *chg, const char *why)
{
	struct op *op = chg->current;

	if (clk_now_ms() - op->started_ms < CHANGE_DEADLINE_MS) {
		chg->retry_timer = g_timeout_add(
		    (guint)g_random_int_range(1, RETRY_DELAY_MAX_MS), on_retry,
		    chg);
		return;
	}
	fail_op(chg, op->outcome_unknown ? ST_UNKNOWN : ST_UNAVAILABLE, why);
}

static bool
is_accepted(const struct chg *chg, uint64_t version)
{
	return chg->accepted->len > 0 &&
	       g_array_index(
		   chg->accepted, struct accepted, chg->accepted->len - 1)
		       .version >= version;
}

static bool
is_deregistered(uint64_t incarnation, void *ctx)
{
	struct chg *chg = ctx;

	return mem_is_deregistered(chg->opts.mem, incarnation, clk_now_ms());
}

static void
fill_vot_input(struct chg *chg, const struct cfg *base, struct vot_input *in)
{
	memset(in, 0, sizeof(*in));
	in->base = base;
	in->base_accepted = base != NULL && is_accepted(chg, cfg_version(base));
	in->members = mem_list(chg->opts.mem, &in->n_members);
	in->self = &chg->opts.self;
	in->is_deregistered = is_deregistered;
	in->ctx = chg;
}

static void
on_written(const struct status *st, int64_t mod_revision, void *ctx)
{
	struct chg *chg = ctx;
	struct op *op = chg->current;
	struct status ok = {.code = ST_OK}, parse;
	struct cfg *cfg;
	uint64_t version;

	(void)mod_revision;
	if (st->code == ST_UNKNOWN)
		op->outcome_unknown = true;
	if (st->code != ST_OK) {
		retry_later(chg, st->message);
		return;
	}
	cfg = cfg_parse(op->document, strlen(op->document), &parse);
	if (cfg == NULL) {
		fail_op(chg, ST_INTERNAL, parse.message);
		return;
	}
	version = cfg_version(cfg);
	fresh_update(chg->opts.fresh, cfg);
	cfg_unref(cfg);
	finish_op(chg, &ok, version);
}

static void
write_successor(struct chg *chg, const struct cfg *base)
{
	struct op *op = chg->current;
	struct status st = {.code = ST_OK};
	struct vot_input in;
	bool noop = false;

	fill_vot_input(chg, base, &in);
	if (drf_check(&op->change, &in, &noop, &st) != ST_OK) {
		finish_op(chg, &st, 0);
		return;
	}
	if (noop) {
		finish_op(chg, &st, base == NULL ? 0 : cfg_version(base));
		return;
	}
	g_free(op->document);
	op->document = drf_write(&op->change, &in, &st);
	if (op->document == NULL) {
		finish_op(chg, &st, 0);
		return;
	}
	chg->opts.store->ops->compare_and_swap(chg->opts.store,
	    STORE_CONFIG_KEY,
	    base == NULL ? 0 : rdr_mod_revision(chg->opts.rdr), op->document,
	    strlen(op->document), on_written, chg);
}

/*
 * Continues the current change after a read that was sent after the change was
 * submitted and after its last write.  If the document lists the change, it has
 * taken effect.  If it doesn't, a write without a reply has either failed its
 * compare-and-swap or is still on its way to the store; the next write compares
 * with the same mod revision, so only one of the two can succeed.
 */
static void
on_read(const struct status *st, void *ctx)
{
	struct chg *chg = ctx;
	struct op *op = chg->current;
	struct status ok = {.code = ST_OK};
	struct cfg *base = rdr_config(chg->opts.rdr);
	uint64_t version;

	if (st->code != ST_OK) {
		if (op->outcome_unknown)
			retry_later(chg, st->message);
		else
			fail_op(chg, ST_UNAVAILABLE, st->message);
		return;
	}
	version =
	    base == NULL ? 0 : cfg_change_version(base, op->change.change_id);
	if (version != 0) {
		finish_op(chg, &ok, version);
		return;
	}
	/*
	 * This entry holds a newer document than the store returned: a peer
	 * sent it meanwhile, or the store lost a write that it had confirmed.
	 */
	if ((base == NULL ? 0 : cfg_version(base)) <
	    fresh_version(chg->opts.fresh)) {
		retry_later(
		    chg, "the store holds an older version than this entry");
		return;
	}
	write_successor(chg, base);
}

static void
start_read(struct chg *chg)
{
	rdr_read(chg->opts.rdr, on_read, chg);
}

static void
submit(struct chg *chg, struct op *op)
{
	struct status st;

	if (op->fn != NULL &&
	    g_queue_get_length(&chg->queue) >= MAX_QUEUED_CHANGES) {
		st_set(&st, ST_LIMIT, "%d changes wait already",
		    MAX_QUEUED_CHANGES);
		op->fn(&st, 0, op->ctx);
		op_free(op);
		return;
	}
	g_queue_push_tail(&chg->queue, op);
	if (chg->current == NULL)
		start_next_op(chg);
}

static struct op *
op_new(enum drf_kind kind, const char *change_id, chg_done_fn fn, void *ctx)
{
	struct op *op = g_new0(struct op, 1);

	op->change.kind = kind;
	op->change.change_id = g_strdup(change_id);
	op->fn = fn;
	op->ctx = ctx;
	return op;
}

/* Replaces the operators' text; an invalid text fails at once. */
void
chg_apply(struct chg *chg, uint64_t expected_version, const char *change_id,
    const char *text, chg_done_fn fn, void *ctx)
{
	struct status st;
	struct op *op;

	if (!cfg_check_text("text", text, strlen(text), &st)) {
		fn(&st, 0, ctx);
		return;
	}
	op = op_new(DRF_APPLY, change_id, fn, ctx);
	op->change.expected_version = expected_version;
	op->change.text = g_strdup(text);
	submit(chg, op);
}

/* Takes a failure domain, worker or service out of service or back in. */
void
chg_set_out(struct chg *chg, enum cfg_kind kind, const char *name, bool out,
    const char *change_id, chg_done_fn fn, void *ctx)
{
	struct op *op = op_new(DRF_OUT, change_id, fn, ctx);

	op->change.out_kind = kind;
	op->change.name = g_strdup(name);
	op->change.out = out;
	submit(chg, op);
}

void
chg_mark_ended(struct chg *chg, uint64_t incarnation, const char *change_id,
    chg_done_fn fn, void *ctx)
{
	struct op *op = op_new(DRF_ENDED, change_id, fn, ctx);

	op->change.incarnation = incarnation;
	submit(chg, op);
}

static void
clear_callback(gpointer data, gpointer ctx)
{
	struct op *op = data;

	if (op != NULL && op->ctx == ctx)
		op->fn = NULL;
}

void
chg_cancel(struct chg *chg, const void *ctx)
{
	clear_callback(chg->current, (gpointer)ctx);
	g_queue_foreach(&chg->queue, clear_callback, (gpointer)ctx);
}

/*
 * Queues a change of the voter sets if vot_next() adds this entry to them or
 * marks voters as ended.
 */
static void
propose_voter_change(struct chg *chg, const struct cfg *held, int64_t now_ms)
{
	const struct drf_change change = {.kind = DRF_VOTER};
	int64_t age_ms = rdr_store_age_ms(chg->opts.rdr, now_ms);
	struct vot_input in;
	bool noop = true;
	char id[64];

	if (chg->voting_stopped || chg->voter_queued ||
	    now_ms < chg->next_voter_check_ms)
		return;
	chg->next_voter_check_ms = now_ms + VOTER_CHECK_PERIOD_MS;
	if (age_ms < 0 || age_ms > chg->opts.freshness_ms ||
	    !mem_is_registered(chg->opts.mem))
		return;
	fill_vot_input(chg, held, &in);
	if (drf_check(&change, &in, &noop, NULL) != ST_OK || noop)
		return;
	chg->voter_queued = true;
	g_snprintf(id, sizeof(id), "voter-%016" PRIx64 "-%" PRIu32,
	    chg->opts.self.incarnation, chg->voter_changes++);
	submit(chg, op_new(DRF_VOTER, id, NULL, NULL));
}

static void
record_accepted(struct chg *chg, uint64_t version, int64_t now_ms)
{
	struct accepted accepted = {version, now_ms};

	if (is_accepted(chg, version))
		return;
	if (chg->accepted->len == MAX_ACCEPTED_VERSIONS)
		g_array_remove_index(chg->accepted, 0);
	g_array_append_val(chg->accepted, accepted);
}

/* Returns this entry's current status, as sent to peers. */
struct quo_answer
chg_own_answer(const struct chg *chg)
{
	int64_t now_ms = clk_now_ms();
	struct quo_answer answer = {.incarnation = chg->opts.self.incarnation,
	    .version = fresh_version(chg->opts.fresh),
	    .store_age_ms = rdr_store_age_ms(chg->opts.rdr, now_ms),
	    .may_vote = !chg->voting_stopped &&
			quo_may_vote(fresh_config(chg->opts.fresh),
			    chg->opts.self.incarnation),
	    .as_of_ms = now_ms};

	return answer;
}

void
chg_evaluate(struct chg *chg)
{
	struct cfg *held = fresh_config(chg->opts.fresh);
	struct quo_answer self = chg_own_answer(chg);
	struct cfg_voter missing[1];
	struct quo_confirmation confirmation;
	size_t n;

	quo_own_answer(chg->opts.quo, &self);
	if (held == NULL)
		return;
	confirmation = quo_confirm(chg->opts.quo, held, self.as_of_ms);
	if (confirmation.confirmed)
		fresh_confirm(chg->opts.fresh, confirmation.version,
		    confirmation.as_of_ms);
	if (!is_accepted(chg, cfg_version(held)) &&
	    quo_accepted(
		chg->opts.quo, held, cfg_version(held), missing, 1, &n))
		record_accepted(chg, cfg_version(held), self.as_of_ms);
	propose_voter_change(chg, held, self.as_of_ms);
}

void
chg_stop_voting(struct chg *chg)
{
	chg->voting_stopped = true;
}

static gboolean
on_evaluation_timer(gpointer ctx)
{
	chg_evaluate(ctx);
	return G_SOURCE_CONTINUE;
}

struct chg *
chg_new(const struct chg_options *opts)
{
	struct chg *chg = g_new0(struct chg, 1);

	chg->opts = *opts;
	g_queue_init(&chg->queue);
	chg->accepted = g_array_new(FALSE, FALSE, sizeof(struct accepted));
	chg->evaluation_timer =
	    g_timeout_add(EVALUATION_PERIOD_MS, on_evaluation_timer, chg);
	return chg;
}

void
chg_free(struct chg *chg)
{
	struct op *op;

	if (chg == NULL)
		return;
	chg->opts.store->ops->cancel(chg->opts.store, chg);
	rdr_cancel(chg->opts.rdr, chg);
	if (chg->retry_timer != 0)
		g_source_remove(chg->retry_timer);
	g_source_remove(chg->evaluation_timer);
	if (chg->current != NULL)
		op_free(chg->current);
	while ((op = g_queue_pop_head(&chg->queue)) != NULL)
		op_free(op);
	g_array_free(chg->accepted, TRUE);
	g_free(chg);
}

/* Looks up when the version or a later one was first known to be accepted. */
static bool
accepted_at(const struct chg *chg, uint64_t version, int64_t *at_ms)
{
	guint i;

	for (i = 0; i < chg->accepted->len; i++) {
		const struct accepted *accepted =
		    &g_array_index(chg->accepted, struct accepted, i);

		if (accepted->version >= version) {
			*at_ms = accepted->at_ms;
			return true;
		}
	}
	return false;
}

/*
 * Reports whether a version is pending, accepted or in force, and which voters
 * are missing for its acceptance.
 */
void
chg_progress(struct chg *chg, uint64_t version, struct chg_progress *progress)
{
	struct cfg *held = fresh_config(chg->opts.fresh);
	int64_t now_ms = clk_now_ms(), at_ms;

	memset(progress, 0, sizeof(*progress));
	if (held == NULL || cfg_version(held) < version)
		return;
	progress->state = CHG_PENDING;
	if (!accepted_at(chg, version, &at_ms)) {
		if (!quo_accepted(chg->opts.quo, held, version,
			progress->missing, CHG_MISSING_MAX,
			&progress->n_missing))
			return;
		record_accepted(chg, version, now_ms);
		at_ms = now_ms;
	}
	progress->state = CHG_ACCEPTED;
	progress->remaining_ms = at_ms + chg->opts.freshness_ms - now_ms;
	if (progress->remaining_ms > 0)
		return;
	progress->remaining_ms = 0;
	progress->state = CHG_IN_FORCE;
}

const char *
chg_state_name(enum chg_state state)
{
	static const char *const names[] = {
	    "unseen", "pending", "accepted", "in_force"};

	return names[state];
}
