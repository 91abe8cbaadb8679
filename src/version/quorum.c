#include <glib.h>
#include <stdlib.h>

#include "quorum.h"

/* Answers are forgotten after this time once there are many of them. */
#define MANY_ANSWERS   1024
#define KEEP_ANSWER_MS 600000

struct known {
	struct quo_answer answer; /* newest by as_of_ms */
	uint64_t held;		  /* highest version ever answered */
};

struct quo {
	int64_t freshness_ms;
	int64_t contact_ms;
	GHashTable *known; /* incarnation -> struct known */
};

/*
 * A store read counts as contact for half of freshness_ms.  With the whole
 * of it, a round would begin to count only when the last confirmation by the
 * store runs out, and agents would stop for a heartbeat at every outage.
 */
struct quo *
quo_new(int64_t freshness_ms)
{
	struct quo *quo = g_new0(struct quo, 1);

	quo->freshness_ms = freshness_ms;
	quo->contact_ms = freshness_ms / 2;
	quo->known =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return quo;
}

void
quo_free(struct quo *quo)
{
	if (quo == NULL)
		return;
	g_hash_table_destroy(quo->known);
	g_free(quo);
}

static gboolean
is_old(gpointer key, gpointer value, gpointer ctx)
{
	const struct known *known = value;

	(void)key;
	return *(int64_t *)ctx - known->answer.as_of_ms > KEEP_ANSWER_MS;
}

/*
 * Takes an answer of a peer.  An incarnation never lowers its version, so the
 * highest one counts for acceptance even when answers arrive out of order.
 */
void
quo_answer(struct quo *quo, const struct quo_answer *answer, int64_t now_ms)
{
	struct known *known =
	    g_hash_table_lookup(quo->known, &answer->incarnation);

	if (known == NULL) {
		if (g_hash_table_size(quo->known) >= MANY_ANSWERS)
			g_hash_table_foreach_remove(
			    quo->known, is_old, &now_ms);
		known = g_new0(struct known, 1);
		known->answer = *answer;
		g_hash_table_insert(quo->known,
		    g_memdup2(&answer->incarnation, sizeof(uint64_t)), known);
	}
	if (answer->as_of_ms >= known->answer.as_of_ms)
		known->answer = *answer;
	if (answer->version > known->held)
		known->held = answer->version;
}

/* Takes this process's own state, which is always as of now. */
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
 * Tells whether an entry may answer as a voter.  A process that has just
 * restarted has another incarnation, so no document lists it until it took
 * over its failure domain by a change of its own.
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
compare_newest_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x > y ? -1 : x < y;
}

/* An answer that is older than freshness_ms proves nothing useful. */
static bool
is_recent(const struct quo *quo, const struct known *known, int64_t now_ms)
{
	return now_ms - known->answer.as_of_ms <= quo->freshness_ms;
}

static bool
has_contact(const struct quo *quo, const struct known *known, int64_t now_ms)
{
	const struct quo_answer *answer = &known->answer;

	return answer->store_age_ms >= 0 &&
	       answer->store_age_ms + now_ms - answer->as_of_ms <=
		   quo->contact_ms;
}

/*
 * The newest store read by any entry.  That entry held at least the newest
 * committed version when it read, so nothing above its version was accepted
 * as of that read.
 */
static struct quo_confirmation
store_proof(const struct quo *quo, int64_t now_ms)
{
	struct quo_confirmation proof = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quo->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known *known = value;
		const struct quo_answer *answer = &known->answer;
		int64_t as_of_ms = answer->as_of_ms - answer->store_age_ms;

		if (answer->store_age_ms < 0 ||
		    now_ms - as_of_ms > quo->freshness_ms)
			continue;
		if (proof.confirmed && proof.as_of_ms >= as_of_ms)
			continue;
		proof.confirmed = true;
		proof.version = answer->version;
		proof.as_of_ms = as_of_ms;
	}
	return proof;
}

/*
 * Answers of a majority of the last voter set, all with at most the version
 * held.  An accepted later version would be held by a majority of that set,
 * since each document carries the sets of its predecessors until one of them
 * was accepted, and two majorities share a voter.  Hence the proof holds as of
 * the oldest of the answers.
 */
static struct quo_confirmation
voter_proof(const struct quo *quo, const struct cfg *held, int64_t now_ms)
{
	struct quo_confirmation proof = {0};
	const struct cfg_voter *voters;
	size_t i, n, n_answers = 0;
	int64_t *as_of_ms;

	if (cfg_voter_sets(held) == 0)
		return proof;
	voters = cfg_voters(held, cfg_voter_sets(held) - 1, &n);
	as_of_ms = g_new0(int64_t, n + 1);
	for (i = 0; i < n; i++) {
		const struct known *known =
		    g_hash_table_lookup(quo->known, &voters[i].incarnation);

		if (known == NULL || voters[i].ended ||
		    !is_recent(quo, known, now_ms))
			continue;
		/* The store answers that voter: its read is the proof. */
		if (has_contact(quo, known, now_ms))
			break;
		if (known->answer.may_vote && known->held <= cfg_version(held))
			as_of_ms[n_answers++] = known->answer.as_of_ms;
	}
	if (i == n && n_answers > n / 2) {
		qsort(as_of_ms, n_answers, sizeof(as_of_ms[0]),
		    compare_newest_first);
		proof.confirmed = true;
		proof.version = cfg_version(held);
		proof.as_of_ms = as_of_ms[n / 2];
	}
	g_free(as_of_ms);
	return proof;
}

/*
 * Tells what the answers prove about the configuration held.  While some
 * peer knows of a higher version nothing is proved: that document must be
 * taken first, and the answers judged by its own voter set.
 */
struct quo_confirmation
quo_confirm(const struct quo *quo, const struct cfg *held, int64_t now_ms)
{
	struct quo_confirmation none = {0}, store, voters;
	GHashTableIter iter;
	gpointer value;

	if (held == NULL)
		return none;
	g_hash_table_iter_init(&iter, quo->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct known *)value)->held > cfg_version(held))
			return none;
	}
	store = store_proof(quo, now_ms);
	voters = voter_proof(quo, held, now_ms);
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
 * See the header.  A voter that has ended can't answer a round, so a majority
 * of holders and ended voters meets every majority that could still answer.
 * A set without voters allows no round at all and needs no holder.
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
			const struct known *known = g_hash_table_lookup(
			    quo->known, &voters[i].incarnation);

			if (voters[i].ended ||
			    (known != NULL && known->held >= version))
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
