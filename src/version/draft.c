#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "draft.h"

/*
 * The store accepts values up to 1 MB, and peers accept no larger document
 * either.
 */
#define MAX_DOCUMENT_BYTES 1000000

/* The next document under construction; strings are borrowed. */
struct draft {
	struct cfg_parts parts;
	GArray *outs;
	GArray *changes;
	GArray *sets; /* struct cfg_voter_set */
	struct vot_sets voters;
};

/* Version created by the newest change of operators; 0 without a document. */
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
 * A change of the voter sets raises the version without touching what operators
 * edit, so expected_version may be any version since the newest change of
 * operators.
 */
static enum st_code
check_apply(
    const struct drf_change *change, const struct cfg *base, struct status *st)
{
	uint64_t version = base == NULL ? 0 : cfg_version(base);

	if (change->expected_version >= operators_version(base) &&
	    change->expected_version <= version)
		return ST_OK;
	return st_set(st, ST_CONFLICT,
	    "expected version %" PRIu64
	    ", but the configuration is at %" PRIu64,
	    change->expected_version, version);
}

static bool
is_configured(const struct cfg *base, enum cfg_kind kind, const char *name)
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
check_out(const struct drf_change *change, const struct cfg *base, bool *noop,
    struct status *st)
{
	if (!is_configured(base, change->out_kind, change->name))
		return st_set(st, ST_NOT_FOUND,
		    "%s \"%s\" is not in the configuration",
		    cfg_kind_name(change->out_kind), change->name);
	*noop = cfg_is_out(base, change->out_kind, change->name) == change->out;
	return ST_OK;
}

static enum st_code
check_ended(const struct drf_change *change, const struct vot_input *in,
    bool *noop, struct status *st)
{
	const struct cfg_voter *voters;
	size_t set, i, n;

	for (i = 0; i < in->n_members; i++) {
		if (in->members[i].incarnation == change->incarnation)
			return st_set(st, ST_CONFLICT,
			    "entry %016" PRIx64 " is registered",
			    change->incarnation);
	}
	for (set = 0; set < cfg_voter_sets(in->base); set++) {
		voters = cfg_voters(in->base, set, &n);
		for (i = 0; i < n; i++) {
			if (voters[i].incarnation != change->incarnation)
				continue;
			*noop = voters[i].ended;
			return ST_OK;
		}
	}
	return st_set(st, ST_NOT_FOUND, "%016" PRIx64 " is not a voter",
	    change->incarnation);
}

static enum st_code
check_voters(const struct vot_input *in, bool *noop)
{
	struct vot_input full = *in;
	struct vot_sets sets;

	full.domains = cfg_domains(in->base, &full.n_domains);
	vot_next(&full, &sets);
	*noop = !sets.adds_self && !sets.marks_ended;
	vot_free(&sets);
	return ST_OK;
}

/*
 * Checks whether a change can be applied to the document in->base.  Sets *noop
 * if that document contains the effect of the change already.
 */
enum st_code
drf_check(const struct drf_change *change, const struct vot_input *in,
    bool *noop, struct status *st)
{
	*noop = false;
	if (change->kind == DRF_APPLY)
		return check_apply(change, in->base, st);
	if (in->base == NULL)
		return st_set(
		    st, ST_NOT_FOUND, "no configuration was applied yet");
	if (change->kind == DRF_OUT)
		return check_out(change, in->base, noop, st);
	if (change->kind == DRF_ENDED)
		return check_ended(change, in, noop, st);
	return check_voters(in, noop);
}

static void
draft_outs(struct draft *draft, const struct drf_change *change,
    const struct cfg *base)
{
	const struct cfg_out *outs = NULL;
	size_t i, n = 0;

	draft->outs = g_array_new(FALSE, FALSE, sizeof(struct cfg_out));
	if (base != NULL)
		outs = cfg_outs(base, &n);
	for (i = 0; i < n; i++) {
		if (change->kind != DRF_OUT ||
		    outs[i].kind != change->out_kind ||
		    strcmp(outs[i].name, change->name) != 0)
			g_array_append_val(draft->outs, outs[i]);
	}
	if (change->kind == DRF_OUT && change->out) {
		struct cfg_out out = {change->out_kind, change->name};

		g_array_append_val(draft->outs, out);
	}
	draft->parts.outs = (const struct cfg_out *)draft->outs->data;
	draft->parts.n_outs = draft->outs->len;
}

static void
draft_changes(struct draft *draft, const struct drf_change *change,
    const struct cfg *base)
{
	const struct cfg_change *changes;
	size_t n;

	draft->changes = g_array_new(FALSE, FALSE, sizeof(struct cfg_change));
	if (base != NULL) {
		changes = cfg_changes(base, &n);
		g_array_append_vals(draft->changes, changes, (guint)n);
	}
	if (change->kind != DRF_VOTER) {
		struct cfg_change added = {
		    change->change_id, draft->parts.version};

		g_array_append_val(draft->changes, added);
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

/*
 * Returns the failure domains of the next document: those of base, or of the
 * change's text, which is parsed into *parsed.
 */
static const struct cfg_domain *
next_domains(const struct drf_change *change, const struct cfg *base,
    struct cfg **parsed, size_t *n)
{
	struct cfg_parts parts = {
	    .version = 1, .change_id = "", .text = change->text};
	char *document;

	*parsed = NULL;
	if (change->kind != DRF_APPLY)
		return cfg_domains(base, n);
	document = cfg_write(&parts);
	*parsed = cfg_parse(document, strlen(document), NULL);
	g_free(document);
	return cfg_domains(*parsed, n);
}

/*
 * Writes the document that follows in->base.  Returns NULL if it would exceed a
 * limit.
 */
char *
drf_write(const struct drf_change *change, const struct vot_input *in,
    struct status *st)
{
	const struct cfg *base = in->base;
	struct vot_input full = *in;
	struct draft draft = {0};
	struct cfg *parsed;
	char *document = NULL;

	full.domains = next_domains(change, base, &parsed, &full.n_domains);
	full.ended = change->kind == DRF_ENDED ? change->incarnation : 0;
	vot_next(&full, &draft.voters);
	draft.parts.version = base == NULL ? 1 : cfg_version(base) + 1;
	draft.parts.change_id = change->change_id;
	draft.parts.text =
	    change->kind == DRF_APPLY ? change->text : cfg_text(base);
	draft_outs(&draft, change, base);
	draft_changes(&draft, change, base);
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
