#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "change.h"
#include "process/clock.h"
#include "process/jsonc.h"
#include "process/log.h"
#include "voters.h"

#define TICK_MS	       100
#define VOTER_CHECK_MS 500
#define DEADLINE_MS    4000
#define RETRY_MAX_MS   50
#define MAX_QUEUED     256
#define MAX_ACCEPTED   64
/* The store takes values up to 1 MB; peers take no larger document either. */
#define MAX_DOCUMENT_BYTES 1000000

enum op_kind { OP_APPLY, OP_OUT, OP_ENDED, OP_VOTER };

struct op {
	enum op_kind kind;
	char *change_id;
	uint64_t expected_version;
	char *text;
	enum cfg_kind out_kind;
	char *name;
	bool out;
	uint64_t incarnation;
	chg_done_fn fn;
	void *ctx;
	int64_t started_ms;
	bool unknown;	/* a write had no reply and was not resolved yet */
	char *document; /* of the write in progress */
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
	guint tick_timer;
	int64_t voter_check_ms;
	bool voter_queued;
	uint32_t voter_changes;
	bool retired;
	GArray *accepted; /* struct accepted, both members rising */
};

/* The successor document in the making; strings are borrowed. */
struct draft {
	struct cfg_parts parts;
	GArray *outs;
	GArray *changes;
	GArray *sets; /* struct cfg_voter_set */
	struct vot_sets voters;
};

static void op_read(struct chg *chg);

static void
op_free(struct op *op)
{
	g_free(op->change_id);
	g_free(op->text);
	g_free(op->name);
	g_free(op->document);
	g_free(op);
}

static gboolean
on_retry(gpointer ctx)
{
	struct chg *chg = ctx;

	chg->retry_timer = 0;
	op_read(chg);
	return G_SOURCE_REMOVE;
}

static void
next_op(struct chg *chg)
{
	chg->current = g_queue_pop_head(&chg->queue);
	if (chg->current == NULL)
		return;
	chg->current->started_ms = clk_now_ms();
	op_read(chg);
}

static void
finish(struct chg *chg, const struct status *st, uint64_t version)
{
	struct op *op = chg->current;

	chg->current = NULL;
	if (op->kind == OP_VOTER)
		chg->voter_queued = false;
	if (op->kind != OP_VOTER || st->code == ST_OK)
		log_line(LOG_INFO, "change %s: %s%s, version %" PRIu64,
		    op->change_id, st_name(st->code),
		    st->code == ST_OK ? "" : st->message, version);
	if (op->fn != NULL)
		op->fn(st, version, op->ctx);
	op_free(op);
	if (chg->current == NULL)
		next_op(chg);
}

static void
refuse(struct chg *chg, enum st_code code, const char *message)
{
	struct status st;

	st_set(&st, code, "%s", message);
	finish(chg, &st, 0);
}

/* Reads again after a random pause, so that racing entries spread out. */
static void
try_again(struct chg *chg, const char *why)
{
	struct op *op = chg->current;

	if (clk_now_ms() - op->started_ms < DEADLINE_MS) {
		chg->retry_timer = g_timeout_add(
		    (guint)g_random_int_range(1, RETRY_MAX_MS), on_retry, chg);
		return;
	}
	refuse(chg, op->unknown ? ST_UNKNOWN : ST_UNAVAILABLE, why);
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
is_gone(uint64_t incarnation, void *ctx)
{
	struct chg *chg = ctx;

	return mem_is_gone(chg->opts.mem, incarnation, clk_now_ms());
}

static void
plan_voters(struct chg *chg, const struct cfg *base,
    const struct cfg_domain *domains, size_t n_domains, uint64_t ended,
    struct vot_sets *sets)
{
	struct vot_input in = {.base = base,
	    .base_accepted =
		base != NULL && is_accepted(chg, cfg_version(base)),
	    .domains = domains,
	    .n_domains = n_domains,
	    .self = &chg->opts.self,
	    .ended = ended,
	    .is_gone = is_gone,
	    .ctx = chg};

	in.members = mem_list(chg->opts.mem, &in.n_members);
	vot_next(&in, sets);
}

/* Version made by the newest change of operators; 0 without a document. */
static uint64_t
operators_version(const struct cfg *base)
{
	const struct cfg_change *changes;
	size_t n;

	if (base == NULL)
		return 0;
	changes = cfg_changes(base, &n);
	return n == 0 ? cfg_version(base) : changes[n - 1].version;
}

/*
 * Replaced voters raise the version too, but they don't touch what operators
 * see, so the version expected may be any since the last operators' change.
 */
static enum st_code
check_apply(const struct op *op, const struct cfg *base, struct status *st)
{
	uint64_t version = base == NULL ? 0 : cfg_version(base);

	if (op->expected_version >= operators_version(base) &&
	    op->expected_version <= version)
		return ST_OK;
	return st_set(st, ST_CONFLICT,
	    "expected version %" PRIu64
	    ", but the configuration is at %" PRIu64,
	    op->expected_version, version);
}

static bool
is_named(const struct cfg *base, enum cfg_kind kind, const char *name)
{
	const struct cfg_domain *domains;
	size_t i, n;

	if (kind == CFG_WORKER || cfg_is_out(base, kind, name))
		return true;
	if (kind == CFG_SERVICE)
		return cfg_service(base, name) != NULL;
	domains = cfg_domains(base, &n);
	for (i = 0; i < n; i++) {
		if (strcmp(domains[i].name, name) == 0)
			return true;
	}
	return false;
}

static enum st_code
check_out(
    const struct op *op, const struct cfg *base, bool *noop, struct status *st)
{
	if (!is_named(base, op->out_kind, op->name))
		return st_set(st, ST_NOT_FOUND,
		    "%s \"%s\" is not in the configuration",
		    cfg_kind_name(op->out_kind), op->name);
	*noop = cfg_is_out(base, op->out_kind, op->name) == op->out;
	return ST_OK;
}

static enum st_code
check_ended(struct chg *chg, const struct op *op, const struct cfg *base,
    bool *noop, struct status *st)
{
	const struct cfg_voter *voters;
	size_t set, i, n;

	if (mem_find(chg->opts.mem, op->incarnation) != NULL)
		return st_set(st, ST_CONFLICT,
		    "entry %016" PRIx64 " is registered", op->incarnation);
	for (set = 0; set < cfg_voter_sets(base); set++) {
		voters = cfg_voters(base, set, &n);
		for (i = 0; i < n; i++) {
			if (voters[i].incarnation != op->incarnation)
				continue;
			*noop = voters[i].ended;
			return ST_OK;
		}
	}
	return st_set(
	    st, ST_NOT_FOUND, "%016" PRIx64 " is not a voter", op->incarnation);
}

static enum st_code
check_op(struct chg *chg, const struct op *op, const struct cfg *base,
    bool *noop, struct status *st)
{
	*noop = false;
	if (op->kind == OP_APPLY)
		return check_apply(op, base, st);
	if (base == NULL)
		return st_set(
		    st, ST_NOT_FOUND, "no configuration was applied yet");
	if (op->kind == OP_OUT)
		return check_out(op, base, noop, st);
	if (op->kind == OP_ENDED)
		return check_ended(chg, op, base, noop, st);
	return ST_OK;
}

static void
draft_outs(struct draft *draft, const struct op *op, const struct cfg *base)
{
	const struct cfg_out *outs = NULL;
	size_t i, n = 0;

	draft->outs = g_array_new(FALSE, FALSE, sizeof(struct cfg_out));
	if (base != NULL)
		outs = cfg_outs(base, &n);
	for (i = 0; i < n; i++) {
		if (op->kind != OP_OUT || outs[i].kind != op->out_kind ||
		    strcmp(outs[i].name, op->name) != 0)
			g_array_append_val(draft->outs, outs[i]);
	}
	if (op->kind == OP_OUT && op->out) {
		struct cfg_out out = {op->out_kind, op->name};

		g_array_append_val(draft->outs, out);
	}
	draft->parts.outs = (const struct cfg_out *)draft->outs->data;
	draft->parts.n_outs = draft->outs->len;
}

static void
draft_changes(struct draft *draft, const struct op *op, const struct cfg *base)
{
	const struct cfg_change *changes;
	size_t n;

	draft->changes = g_array_new(FALSE, FALSE, sizeof(struct cfg_change));
	if (base != NULL) {
		changes = cfg_changes(base, &n);
		g_array_append_vals(draft->changes, changes, (guint)n);
	}
	if (op->kind != OP_VOTER) {
		struct cfg_change change = {
		    op->change_id, draft->parts.version};

		g_array_append_val(draft->changes, change);
	}
	if (draft->changes->len > CFG_CHANGES_MAX)
		g_array_remove_index(draft->changes, 0);
	draft->parts.changes = (const struct cfg_change *)draft->changes->data;
	draft->parts.n_changes = draft->changes->len;
}

static void
draft_voters(struct draft *draft)
{
	guint i;

	draft->sets = g_array_new(FALSE, FALSE, sizeof(struct cfg_voter_set));
	for (i = 0; i < draft->voters.sets->len; i++) {
		GArray *set = g_ptr_array_index(draft->voters.sets, i);
		struct cfg_voter_set view = {
		    (const struct cfg_voter *)set->data, set->len};

		g_array_append_val(draft->sets, view);
	}
	draft->parts.voter_sets =
	    (const struct cfg_voter_set *)draft->sets->data;
	draft->parts.n_voter_sets = draft->sets->len;
}

static void
draft_clear(struct draft *draft)
{
	g_array_free(draft->outs, TRUE);
	g_array_free(draft->changes, TRUE);
	g_array_free(draft->sets, TRUE);
	vot_free(&draft->voters);
}

/* The domains of the text to come: those of base unless op has a text. */
static const struct cfg_domain *
domains_of(
    const struct op *op, const struct cfg *base, struct cfg **parsed, size_t *n)
{
	struct cfg_parts parts = {
	    .version = 1, .change_id = "", .text = op->text};
	char *document;

	*parsed = NULL;
	if (op->kind != OP_APPLY)
		return cfg_domains(base, n);
	document = cfg_write(&parts);
	*parsed = cfg_parse(document, strlen(document), NULL);
	g_free(document);
	return cfg_domains(*parsed, n);
}

/* Writes the successor of base; NULL when a limit is reached. */
static char *
make_document(struct chg *chg, const struct op *op, const struct cfg *base,
    struct status *st)
{
	struct draft draft = {0};
	const struct cfg_domain *domains;
	struct cfg *parsed;
	char *document = NULL;
	size_t n;

	domains = domains_of(op, base, &parsed, &n);
	plan_voters(chg, base, domains, n,
	    op->kind == OP_ENDED ? op->incarnation : 0, &draft.voters);
	draft.parts.version = base == NULL ? 1 : cfg_version(base) + 1;
	draft.parts.change_id = op->change_id;
	draft.parts.text = op->kind == OP_APPLY ? op->text : cfg_text(base);
	draft_outs(&draft, op, base);
	draft_changes(&draft, op, base);
	draft_voters(&draft);
	if (draft.parts.n_voter_sets > CFG_VOTER_SETS_MAX)
		st_set(st, ST_LIMIT,
		    "%zu voter sets wait for acceptance, see the status",
		    draft.parts.n_voter_sets);
	else
		document = cfg_write(&draft.parts);
	draft_clear(&draft);
	cfg_unref(parsed);
	if (document == NULL || strlen(document) <= MAX_DOCUMENT_BYTES)
		return document;
	st_set(st, ST_LIMIT, "the document has %zu bytes, at most %d fit",
	    strlen(document), MAX_DOCUMENT_BYTES);
	g_free(document);
	return NULL;
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
		op->unknown = true;
	if (st->code != ST_OK) {
		try_again(chg, st->message);
		return;
	}
	cfg = cfg_parse(op->document, strlen(op->document), &parse);
	if (cfg == NULL) {
		refuse(chg, ST_INTERNAL, parse.message);
		return;
	}
	version = cfg_version(cfg);
	fresh_take(chg->opts.fresh, cfg);
	cfg_unref(cfg);
	finish(chg, &ok, version);
}

/* Whether a voter change is still needed, now that base was read. */
static bool
wants_voter_change(struct chg *chg, const struct cfg *base)
{
	const struct cfg_domain *domains;
	struct vot_sets sets;
	size_t n;
	bool wants;

	if (base == NULL || chg->retired)
		return false;
	domains = cfg_domains(base, &n);
	plan_voters(chg, base, domains, n, 0, &sets);
	wants = sets.names_self || sets.marked;
	vot_free(&sets);
	return wants;
}

static void
write_successor(struct chg *chg, const struct cfg *base)
{
	struct op *op = chg->current;
	struct status st = {.code = ST_OK};
	bool noop = false;

	if (check_op(chg, op, base, &noop, &st) != ST_OK) {
		finish(chg, &st, 0);
		return;
	}
	if (op->kind == OP_VOTER)
		noop = !wants_voter_change(chg, base);
	if (noop) {
		finish(chg, &st, cfg_version(base));
		return;
	}
	g_free(op->document);
	op->document = make_document(chg, op, base, &st);
	if (op->document == NULL) {
		finish(chg, &st, 0);
		return;
	}
	chg->opts.store->ops->swap(chg->opts.store, STORE_CONFIG_KEY,
	    base == NULL ? 0 : rdr_mod_revision(chg->opts.rdr), op->document,
	    strlen(op->document), on_written, chg);
}

/*
 * Goes on after a read that was sent after the change was asked for, or after
 * its last write.  A change that is listed was made.  A write without a reply
 * that is not listed either lost its race, or is still on its way; then the
 * next write competes with it for the same mod revision and only one of the
 * two takes effect.
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
		if (op->unknown)
			try_again(chg, st->message);
		else
			refuse(chg, ST_UNAVAILABLE, st->message);
		return;
	}
	version = base == NULL ? 0 : cfg_change_version(base, op->change_id);
	if (version != 0) {
		finish(chg, &ok, version);
		return;
	}
	/* A peer was faster, or the store lost what it had confirmed. */
	if ((base == NULL ? 0 : cfg_version(base)) <
	    fresh_version(chg->opts.fresh)) {
		try_again(
		    chg, "the store holds an older version than this entry");
		return;
	}
	write_successor(chg, base);
}

static void
op_read(struct chg *chg)
{
	rdr_read(chg->opts.rdr, on_read, chg);
}

static void
submit(struct chg *chg, struct op *op)
{
	struct status st;

	if (g_queue_get_length(&chg->queue) >= MAX_QUEUED) {
		st_set(&st, ST_LIMIT, "%d changes wait already", MAX_QUEUED);
		op->fn(&st, 0, op->ctx);
		op_free(op);
		return;
	}
	g_queue_push_tail(&chg->queue, op);
	if (chg->current == NULL)
		next_op(chg);
}

static struct op *
op_new(enum op_kind kind, const char *change_id, chg_done_fn fn, void *ctx)
{
	struct op *op = g_new0(struct op, 1);

	op->kind = kind;
	op->change_id = g_strdup(change_id);
	op->fn = fn;
	op->ctx = ctx;
	return op;
}

/* Replaces the operators' text, which is checked first. */
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
	op = op_new(OP_APPLY, change_id, fn, ctx);
	op->expected_version = expected_version;
	op->text = g_strdup(text);
	submit(chg, op);
}

/* Takes something out of service or back in. */
void
chg_out(struct chg *chg, enum cfg_kind kind, const char *name, bool out,
    const char *change_id, chg_done_fn fn, void *ctx)
{
	struct op *op = op_new(OP_OUT, change_id, fn, ctx);

	op->out_kind = kind;
	op->name = g_strdup(name);
	op->out = out;
	submit(chg, op);
}

/* See the header. */
void
chg_ended(struct chg *chg, uint64_t incarnation, const char *change_id,
    chg_done_fn fn, void *ctx)
{
	struct op *op = op_new(OP_ENDED, change_id, fn, ctx);

	op->incarnation = incarnation;
	submit(chg, op);
}

static void
forget_callback(gpointer data, gpointer ctx)
{
	struct op *op = data;

	if (op != NULL && op->ctx == ctx)
		op->fn = NULL;
}

void
chg_cancel(struct chg *chg, const void *ctx)
{
	forget_callback(chg->current, (gpointer)ctx);
	g_queue_foreach(&chg->queue, forget_callback, (gpointer)ctx);
}

/* Queues a change when this entry should become a voter, see vot_next(). */
static void
check_voter(struct chg *chg, int64_t now_ms)
{
	struct cfg *held = fresh_config(chg->opts.fresh);
	int64_t age_ms = rdr_store_age_ms(chg->opts.rdr, now_ms);
	char id[64];

	if (chg->voter_queued || now_ms < chg->voter_check_ms)
		return;
	chg->voter_check_ms = now_ms + VOTER_CHECK_MS;
	if (age_ms < 0 || age_ms > chg->opts.freshness_ms ||
	    !mem_is_registered(chg->opts.mem) || !wants_voter_change(chg, held))
		return;
	chg->voter_queued = true;
	g_snprintf(id, sizeof(id), "voter-%016" PRIx64 "-%" PRIu32,
	    chg->opts.self.incarnation, chg->voter_changes++);
	submit(chg, op_new(OP_VOTER, id, NULL, NULL));
}

static void
note_accepted(struct chg *chg, uint64_t version, int64_t now_ms)
{
	struct accepted accepted = {version, now_ms};

	if (is_accepted(chg, version))
		return;
	if (chg->accepted->len == MAX_ACCEPTED)
		g_array_remove_index(chg->accepted, 0);
	g_array_append_val(chg->accepted, accepted);
}

/* Returns what this entry tells a peer about itself, as of now. */
struct quo_answer
chg_self(const struct chg *chg)
{
	int64_t now_ms = clk_now_ms();
	struct quo_answer answer = {.incarnation = chg->opts.self.incarnation,
	    .version = fresh_version(chg->opts.fresh),
	    .store_age_ms = rdr_store_age_ms(chg->opts.rdr, now_ms),
	    .vouches =
		!chg->retired && quo_vouches(fresh_config(chg->opts.fresh),
				     chg->opts.self.incarnation),
	    .as_of_ms = now_ms};

	return answer;
}

/* See the header. */
void
chg_tick(struct chg *chg)
{
	struct cfg *held = fresh_config(chg->opts.fresh);
	struct quo_answer self = chg_self(chg);
	struct cfg_voter missing[1];
	struct quo_proof proof;
	size_t n;

	quo_self(chg->opts.quo, &self);
	if (held == NULL)
		return;
	proof = quo_round(chg->opts.quo, held, self.as_of_ms);
	if (proof.confirmed)
		fresh_confirm(chg->opts.fresh, proof.version, proof.as_of_ms);
	if (!is_accepted(chg, cfg_version(held)) &&
	    quo_accepted(
		chg->opts.quo, held, cfg_version(held), missing, 1, &n))
		note_accepted(chg, cfg_version(held), self.as_of_ms);
	check_voter(chg, self.as_of_ms);
}

void
chg_retire(struct chg *chg)
{
	chg->retired = true;
}

static gboolean
on_tick(gpointer ctx)
{
	chg_tick(ctx);
	return G_SOURCE_CONTINUE;
}

struct chg *
chg_new(const struct chg_options *opts)
{
	struct chg *chg = g_new0(struct chg, 1);

	chg->opts = *opts;
	g_queue_init(&chg->queue);
	chg->accepted = g_array_new(FALSE, FALSE, sizeof(struct accepted));
	chg->tick_timer = g_timeout_add(TICK_MS, on_tick, chg);
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
	g_source_remove(chg->tick_timer);
	if (chg->current != NULL)
		op_free(chg->current);
	while ((op = g_queue_pop_head(&chg->queue)) != NULL)
		op_free(op);
	g_array_free(chg->accepted, TRUE);
	g_free(chg);
}

/* When the version or a later one was first known to be accepted. */
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

/* Tells how far a version is in force. */
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
		note_accepted(chg, version, now_ms);
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
