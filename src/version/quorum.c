#include <glib.h>
#include <stdlib.h>

#include "quorum.h"

/*
 * When PRUNE_AT_ANSWERS are stored, those older than ANSWER_RETENTION_MS are
 * dropped.
 */
#define PRUNE_AT_ANSWERS    1024
#define ANSWER_RETENTION_MS 600000

struct entry_state {
	struct quo_answer answer; /* the newest by as_of_ms */
	uint64_t highest_version; /* highest version ever reported */
};

struct quo {
	int64_t freshness_ms;
	int64_t store_contact_ms;
	GHashTable *entries; /* incarnation -> struct entry_state */
};

/*
 * A voter counts as in contact with the store for half of freshness_ms after
 * its last read.  With all of freshness_ms, answers of voters could confirm the
 * configuration only when the last confirmation by the store expires, and
 * agents would stop starting tasks for one heartbeat at every outage.
 */
struct quo *
quo_new(int64_t freshness_ms)
{
	struct quo *quo = g_new0(struct quo, 1);

	quo->freshness_ms = freshness_ms;
	quo->store_contact_ms = freshness_ms / 2;
	quo->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return quo;
}

void
quo_free(struct quo *quo)
{
	if (quo == NULL)
		return;
	g_hash_table_destroy(quo->entries);
	g_free(quo);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct entry_state *state = value;

	(void)key;
	return *(int64_t *)ctx - state->answer.as_of_ms > ANSWER_RETENTION_MS;
}

/*
 * Records an answer of a peer.  The version held by an incarnation never falls,
 * so the highest one reported counts for acceptance even if answers arrive out
 * of order.
 */
void
quo_answer(struct quo *quo, const struct quo_answer *answer, int64_t now_ms)
{
	struct entry_state *state =
	    g_hash_table_lookup(quo->entries, &answer->incarnation);

	if (state == NULL) {
		if (g_hash_table_size(quo->entries) >= PRUNE_AT_ANSWERS)
			g_hash_table_foreach_remove(
			    quo->entries, is_expired, &now_ms);
		state = g_new0(struct entry_state, 1);
		state->answer = *answer;
		g_hash_table_insert(quo->entries,
		    g_memdup2(&answer->incarnation, sizeof(uint64_t)), state);
	}
	if (answer->as_of_ms >= state->answer.as_of_ms)
		state->answer = *answer;
	if (answer->version > state->highest_version)
		state->highest_version = answer->version;
}

/* Records this process's own status, whose as_of_ms is the current time. */
void
quo_own_answer(struct quo *quo, const struct quo_answer *answer)
{
	quo_answer(quo, answer, answer->as_of_ms);
}

static const struct cfg_voter *
find_voter(const struct cfg *cfg, size_t set, uint64_t incarnation)
{
	const struct cfg_voter *voters;
	size_t i, n;

	voters = cfg_voters(cfg, set, &n);
	for (i = 0; i < n; i++) {
		if (voters[i].incarnation == incarnation)
			return &voters[i];
	}
	return NULL;
}

/*
 * Returns true if the answers of an entry count as votes.  A restarted process
 * has a new incarnation, which no document lists as a voter until a change
 * replaces the voter of its failure domain.
 */
bool
quo_may_vote(const struct cfg *held, uint64_t incarnation)
{
	size_t i;

	for (i = 0; held != NULL && i < cfg_voter_sets(held); i++) {
		const struct cfg_voter *voter =
		    find_voter(held, i, incarnation);

		if (voter != NULL)
			return !voter->ended;
	}
	return false;
}

static int
compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x > y ? -1 : x < y;
}

/*
 * An answer older than freshness_ms could only give a confirmation that has
 * expired already.
 */
static bool
is_recent(
    const struct quo *quo, const struct entry_state *state, int64_t now_ms)
{
	return now_ms - state->answer.as_of_ms <= quo->freshness_ms;
}

static bool
has_store_contact(
    const struct quo *quo, const struct entry_state *state, int64_t now_ms)
{
	const struct quo_answer *answer = &state->answer;

	return answer->store_age_ms >= 0 &&
	       answer->store_age_ms + now_ms - answer->as_of_ms <=
		   quo->store_contact_ms;
}

/*
 * Confirms by the newest store read of any entry.  After that read the entry
 * held at least the newest version committed before it, so no version above its
 * own had been accepted when the read was sent.
 */
static struct quo_confirmation
confirm_by_store(const struct quo *quo, int64_t now_ms)
{
	struct quo_confirmation confirmation = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quo->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_state *state = value;
		const struct quo_answer *answer = &state->answer;
		int64_t as_of_ms = answer->as_of_ms - answer->store_age_ms;

		if (answer->store_age_ms < 0 ||
		    now_ms - as_of_ms > quo->freshness_ms)
			continue;
		if (confirmation.confirmed && confirmation.as_of_ms >= as_of_ms)
			continue;
		confirmation.confirmed = true;
		confirmation.version = answer->version;
		confirmation.as_of_ms = as_of_ms;
	}
	return confirmation;
}

/*
 * Confirms if a majority of the last voter set reported no higher version than
 * the one held here.  A later version is accepted only when a majority of this
 * set holds it, since each document keeps the voter sets of its predecessors
 * until one of these documents is accepted; two majorities share a voter.
 * So no later version was accepted when the oldest of the answers was
 * requested.
 */
static struct quo_confirmation
confirm_by_voters(const struct quo *quo, const struct cfg *held, int64_t now_ms)
{
	struct quo_confirmation confirmation = {0};
	const struct cfg_voter *voters;
	size_t i, n, n_answers = 0;
	int64_t *as_of_ms;

	if (cfg_voter_sets(held) == 0)
		return confirmation;
	voters = cfg_voters(held, cfg_voter_sets(held) - 1, &n);
	as_of_ms = g_new0(int64_t, n + 1);
	for (i = 0; i < n; i++) {
		const struct entry_state *state =
		    g_hash_table_lookup(quo->entries, &voters[i].incarnation);

		if (state == NULL || voters[i].ended ||
		    !is_recent(quo, state, now_ms))
			continue;
		/*
		 * While a voter reaches the store, its store read confirms; see
		 * confirm_by_store().
		 */
		if (has_store_contact(quo, state, now_ms))
			break;
		if (state->answer.may_vote &&
		    state->highest_version <= cfg_version(held))
			as_of_ms[n_answers++] = state->answer.as_of_ms;
	}
	if (i == n && n_answers > n / 2) {
		qsort(as_of_ms, n_answers, sizeof(as_of_ms[0]),
		    compare_descending);
		confirmation.confirmed = true;
		confirmation.version = cfg_version(held);
		confirmation.as_of_ms = as_of_ms[n / 2];
	}
	g_free(as_of_ms);
	return confirmation;
}

/*
 * Returns what the answers confirm about the configuration held: nothing if
 * some peer holds a higher version.  That document must be adopted first, and
 * the answers counted by its own voter sets.
 */
struct quo_confirmation
quo_confirm(const struct quo *quo, const struct cfg *held, int64_t now_ms)
{
	struct quo_confirmation none = {0}, store, voters;
	GHashTableIter iter;
	gpointer value;

	if (held == NULL)
		return none;
	g_hash_table_iter_init(&iter, quo->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct entry_state *)value)->highest_version >
		    cfg_version(held))
			return none;
	}
	store = confirm_by_store(quo, now_ms);
	voters = confirm_by_voters(quo, held, now_ms);
	if (voters.confirmed &&
	    (!store.confirmed || voters.as_of_ms > store.as_of_ms))
		return voters;
	return store;
}

static void
add_missing(const struct cfg_voter *voter, struct cfg_voter *missing,
    size_t max, size_t *n_missing)
{
	size_t i;

	for (i = 0; i < *n_missing; i++) {
		if (missing[i].incarnation == voter->incarnation)
			return;
	}
	if (*n_missing < max)
		missing[(*n_missing)++] = *voter;
}

/*
 * A voter that has ended can't answer, so a majority of holders and ended
 * voters shares a voter with every majority that could still confirm an older
 * version.  A set without voters can't confirm anything, so it needs no holder.
 */
bool
quo_accepted(const struct quo *quo, const struct cfg *cfg, uint64_t version,
    struct cfg_voter *missing, size_t max, size_t *n_missing)
{
	const struct cfg_voter *voters;
	size_t set, i, n, holding;
	bool accepted = true;

	*n_missing = 0;
	for (set = 0; set < cfg_voter_sets(cfg); set++) {
		voters = cfg_voters(cfg, set, &n);
		holding = 0;
		for (i = 0; i < n; i++) {
			const struct entry_state *state = g_hash_table_lookup(
			    quo->entries, &voters[i].incarnation);

			if (voters[i].ended ||
			    (state != NULL &&
				state->highest_version >= version))
				holding++;
			else
				add_missing(
				    &voters[i], missing, max, n_missing);
		}
		if (n > 0 && holding <= n / 2)
			accepted = false;
	}
	return accepted;
}
