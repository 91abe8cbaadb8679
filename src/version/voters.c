#include <string.h>

#include "voters.h"

/*
 * Returns true if a voter's process has certainly ended: it is marked as ended,
 * operators state it, or it listened on the address on which this entry listens
 * now.
 */
static bool
has_ended(const struct vot_input *in, const struct cfg_voter *voter)
{
	if (voter->ended || (in->ended != 0 && voter->incarnation == in->ended))
		return true;
	/* Port 0 stands for any free port; running processes may share it. */
	return voter->incarnation != in->self->incarnation &&
	       voter->address != NULL && voter->address[0] != '\0' &&
	       !g_str_has_suffix(voter->address, ":0") &&
	       strcmp(voter->address, in->self->address) == 0;
}

static const struct cfg_voter *
find_domain_voter(const GArray *set, const char *domain)
{
	guint i;

	for (i = 0; set != NULL && i < set->len; i++) {
		const struct cfg_voter *voter =
		    &g_array_index(set, struct cfg_voter, i);

		if (strcmp(voter->failure_domain, domain) == 0)
			return voter;
	}
	return NULL;
}

/*
 * Excludes processes that have ended: they stay registered until their lease
 * expires.
 */
static bool
is_eligible(const struct vot_input *in, const struct mem_entry *entry)
{
	struct cfg_voter voter = {.failure_domain = entry->failure_domain,
	    .incarnation = entry->incarnation,
	    .address = entry->address};
	const struct cfg_voter *voters;
	size_t set, i, n;

	if (has_ended(in, &voter))
		return false;
	for (set = 0; in->base != NULL && set < cfg_voter_sets(in->base);
	     set++) {
		voters = cfg_voters(in->base, set, &n);
		for (i = 0; i < n; i++) {
			if (voters[i].incarnation == entry->incarnation &&
			    voters[i].ended)
				return false;
		}
	}
	return true;
}

/*
 * Picks the eligible entry of the domain with the lowest incarnation.  An entry
 * proposes itself as a voter only if it is picked, and all entries pick the
 * same one, so few of them write at the same time.
 */
static const struct mem_entry *
find_candidate(const struct vot_input *in, const char *domain)
{
	const struct mem_entry *best = NULL;
	size_t i;

	for (i = 0; i < in->n_members; i++) {
		const struct mem_entry *entry = &in->members[i];

		if (strcmp(entry->failure_domain, domain) == 0 &&
		    is_eligible(in, entry) &&
		    (best == NULL || entry->incarnation < best->incarnation))
			best = entry;
	}
	return best;
}

/* Copies a voter set of base and marks the voters that have ended. */
static GArray *
copy_set(const struct vot_input *in, size_t index, bool *marks_ended)
{
	GArray *set = g_array_new(FALSE, FALSE, sizeof(struct cfg_voter));
	const struct cfg_voter *voters;
	size_t i, n;

	voters = cfg_voters(in->base, index, &n);
	for (i = 0; i < n; i++) {
		struct cfg_voter voter = voters[i];

		voter.ended = has_ended(in, &voters[i]);
		if (voter.ended && !voters[i].ended)
			*marks_ended = true;
		g_array_append_val(set, voter);
	}
	return set;
}

static GArray *
next_set(const struct vot_input *in, const GArray *last)
{
	GArray *set = g_array_new(FALSE, FALSE, sizeof(struct cfg_voter));
	size_t i;

	for (i = 0; i < in->n_domains; i++) {
		const char *domain = in->domains[i].name;
		const struct cfg_voter *old = find_domain_voter(last, domain);
		const struct mem_entry *candidate = find_candidate(in, domain);
		struct cfg_voter voter = {.failure_domain = domain};

		if (!in->domains[i].entries)
			continue;
		if (old != NULL &&
		    (candidate == NULL ||
			(!old->ended &&
			    !in->is_deregistered(old->incarnation, in->ctx)))) {
			g_array_append_val(set, *old);
		} else if (candidate != NULL) {
			voter.incarnation = candidate->incarnation;
			voter.address = candidate->address;
			g_array_append_val(set, voter);
		}
	}
	return set;
}

static bool
contains(const GArray *set, uint64_t incarnation)
{
	guint i;

	for (i = 0; set != NULL && i < set->len; i++) {
		if (g_array_index(set, struct cfg_voter, i).incarnation ==
		    incarnation)
			return true;
	}
	return false;
}

/*
 * Each failure domain has at most one voter in a set, so two sets of equal size
 * are the same if one includes the other.
 */
static bool
same_voters(const GArray *a, const GArray *b)
{
	guint i;

	if (a->len != b->len)
		return false;
	for (i = 0; i < a->len; i++) {
		if (!contains(
			b, g_array_index(a, struct cfg_voter, i).incarnation))
			return false;
	}
	return true;
}

static void
add_set(GPtrArray *sets, GArray *set)
{
	guint i;

	for (i = 0; i < sets->len; i++) {
		/*
		 * Keep the newer of equal sets: quo_confirm() uses the
		 * last one.
		 */
		if (same_voters(g_ptr_array_index(sets, i), set)) {
			g_ptr_array_remove_index(sets, i);
			break;
		}
	}
	g_ptr_array_add(sets, set);
}

/*
 * Computes the voter sets of the document after base.  They include the last
 * set of base, and also its earlier sets unless base is known to be accepted:
 * an entry that can't reach the store may still count votes by any of them.
 */
void
vot_next(const struct vot_input *in, struct vot_sets *out)
{
	size_t n = in->base == NULL ? 0 : cfg_voter_sets(in->base);
	size_t i = in->base_accepted && n > 0 ? n - 1 : 0;
	GArray *last = NULL, *next;

	memset(out, 0, sizeof(*out));
	out->sets =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	for (; i < n; i++) {
		last = copy_set(in, i, &out->marks_ended);
		add_set(out->sets, last);
	}
	next = next_set(in, last);
	out->replaced = last == NULL || !same_voters(last, next);
	out->adds_self = contains(next, in->self->incarnation) &&
			 !contains(last, in->self->incarnation);
	if (out->replaced)
		add_set(out->sets, next);
	else
		g_array_unref(next);
}

void
vot_free(struct vot_sets *sets)
{
	g_ptr_array_free(sets->sets, TRUE);
}
