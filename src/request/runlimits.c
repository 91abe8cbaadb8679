#include <glib.h>

#include "request/runlimits.h"

/* Far above what a worker of 96 cores runs of tasks of half a core. */
#define DEFAULT_MAX_RUNS   512
#define DEFAULT_MAX_QUEUED 1024
/*
 * Starts of one session that wait for a place.  They come before those of
 * another one that arrive later, at some hundred a second.
 */
#define MAX_SESSION_QUEUED 128
/*
 * As many as the largest known worker has runs of its usual tasks, so that those
 * need not wait for a call.
 */
#define MAX_CALLS 16
/*
 * A session may hold this many runs for each free place: alone it takes two
 * thirds of the places, and another one always finds some.
 */
#define RUNS_PER_FREE_PLACE 2

struct session {
	uint64_t id;
	uint64_t received; /* starts since the session began */
	uint32_t queued;
	uint32_t runs;
	bool ended;
};

struct rlm {
	struct rlm_options opts;
	GHashTable *sessions; /* id to struct session */
	uint32_t queued;
	uint32_t runs;
	uint32_t open_starts;
	uint32_t open_stops;
};

struct rlm_options
rlm_defaults(uint32_t max_runs, uint32_t max_queued)
{
	return (struct rlm_options){
	    .max_runs = max_runs == 0 ? DEFAULT_MAX_RUNS : max_runs,
	    .max_calls = MAX_CALLS,
	    .max_queued = max_queued == 0 ? DEFAULT_MAX_QUEUED : max_queued,
	    .max_session_queued = MAX_SESSION_QUEUED,
	};
}

struct rlm *
rlm_new(const struct rlm_options *opts)
{
	struct rlm *rlm = g_new0(struct rlm, 1);

	rlm->opts = *opts;
	rlm->sessions =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return rlm;
}

/* NULL is allowed. */
void
rlm_free(struct rlm *rlm)
{
	if (rlm == NULL)
		return;
	g_hash_table_unref(rlm->sessions);
	g_free(rlm);
}

static struct session *
find(const struct rlm *rlm, uint64_t id)
{
	return g_hash_table_lookup(rlm->sessions, &id);
}

static struct session *
session_of(struct rlm *rlm, uint64_t id)
{
	struct session *s = find(rlm, id);

	if (s == NULL) {
		s = g_new0(struct session, 1);
		s->id = id;
		g_hash_table_insert(rlm->sessions, &s->id, s);
	}
	return s;
}

static void
forget_if_over(struct rlm *rlm, const struct session *s)
{
	if (s->ended && s->queued == 0 && s->runs == 0)
		g_hash_table_remove(rlm->sessions, &s->id);
}

bool
rlm_receive(struct rlm *rlm, uint64_t session)
{
	session_of(rlm, session)->received++;
	return rlm->queued < rlm->opts.max_queued;
}

void
rlm_queue(struct rlm *rlm, uint64_t session)
{
	session_of(rlm, session)->queued++;
	rlm->queued++;
}

void
rlm_unqueue(struct rlm *rlm, uint64_t session)
{
	struct session *s = session_of(rlm, session);

	s->queued--;
	rlm->queued--;
	forget_if_over(rlm, s);
}

void
rlm_begin_run(struct rlm *rlm, uint64_t session)
{
	session_of(rlm, session)->runs++;
	rlm->runs++;
}

void
rlm_end_run(struct rlm *rlm, uint64_t session)
{
	struct session *s = session_of(rlm, session);

	s->runs--;
	rlm->runs--;
	forget_if_over(rlm, s);
}

void
rlm_end_session(struct rlm *rlm, uint64_t session)
{
	struct session *s = find(rlm, session);

	if (s == NULL)
		return;
	s->ended = true;
	forget_if_over(rlm, s);
}

bool
rlm_lacks_place(const struct rlm *rlm, uint64_t session)
{
	const struct session *s = find(rlm, session);
	uint32_t free_places;

	if (rlm->runs >= rlm->opts.max_runs)
		return true;
	free_places = rlm->opts.max_runs - rlm->runs;
	return s != NULL && s->runs >= RUNS_PER_FREE_PLACE * free_places;
}

enum rlm_verdict
rlm_check_start(const struct rlm *rlm, uint64_t session)
{
	if (rlm->runs >= rlm->opts.max_runs || !rlm_may_call_start(rlm))
		return RLM_FULL;
	return rlm_lacks_place(rlm, session) ? RLM_SESSION_FULL : RLM_MAY_START;
}

uint64_t
rlm_start_limit(const struct rlm *rlm, uint64_t session, uint32_t n_sessions)
{
	const struct session *s = find(rlm, session);
	uint32_t share = MIN(rlm->opts.max_session_queued,
	    MAX(rlm->opts.max_queued / MAX(n_sessions, 1), 1));

	if (s == NULL)
		return share;
	return s->received + (share > s->queued ? share - s->queued : 0);
}

bool
rlm_may_call_start(const struct rlm *rlm)
{
	return rlm->open_starts < rlm->opts.max_calls;
}

void
rlm_start_called(struct rlm *rlm)
{
	rlm->open_starts++;
}

void
rlm_start_answered(struct rlm *rlm)
{
	if (rlm->open_starts > 0)
		rlm->open_starts--;
}

bool
rlm_may_call_stop(const struct rlm *rlm)
{
	return rlm->open_stops < rlm->opts.max_calls;
}

void
rlm_stop_called(struct rlm *rlm)
{
	rlm->open_stops++;
}

void
rlm_stop_answered(struct rlm *rlm)
{
	if (rlm->open_stops > 0)
		rlm->open_stops--;
}
