#ifndef SP_CHANGE_H
#define SP_CHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fresh.h"
#include "members.h"
#include "quorum.h"
#include "reader.h"
#include "store.h"

/*
 * Makes changes to the configuration document, one at a time, and reports
 * whether each is in force.  Also makes this entry a voter when its failure
 * domain needs one, and confirms the configuration by the answers of peers
 * while the store is unreachable.
 */
struct chg;

struct chg_options {
	struct store *store; /* all objects must outlive the chg */
	struct rdr *rdr;
	struct fresh *fresh;
	struct mem *mem;
	struct quo *quo;
	struct mem_entry self; /* strings must outlive the chg */
	int64_t freshness_ms;
};

/*
 * Runs once, with the version that contains the change.  Status codes:
 * ST_INVALID, ST_NOT_FOUND, ST_LIMIT, ST_CONFLICT and ST_UNAVAILABLE: nothing
 * was changed; ST_UNKNOWN: the change may have taken effect or may still do so;
 * repeat it with the same change_id to learn the outcome.
 */
typedef void (*chg_done_fn)(
    const struct status *st, uint64_t version, void *ctx);

struct chg *chg_new(const struct chg_options *opts);
/* Drops queued changes and the one in progress without a callback. */
void chg_free(struct chg *chg);

/* expected_version: version that the text was edited from; 0: none. */
void chg_apply(struct chg *chg, uint64_t expected_version,
    const char *change_id, const char *text, chg_done_fn fn, void *ctx);
void chg_set_out(struct chg *chg, enum cfg_kind kind, const char *name,
    bool out, const char *change_id, chg_done_fn fn, void *ctx);
/*
 * Marks a voter as ended, when operators state that its process has ended for
 * good.
 */
void chg_mark_ended(struct chg *chg, uint64_t incarnation,
    const char *change_id, chg_done_fn fn, void *ctx);
/* Drops the callbacks with this ctx; the changes themselves continue. */
void chg_cancel(struct chg *chg, const void *ctx);

/*
 * Evaluates the newest answers of the entries: confirms the configuration held,
 * records accepted versions and proposes this entry as a voter. Call it after
 * quo_answer(); a timer also runs it every 100 ms.
 */
void chg_evaluate(struct chg *chg);
/* This entry's answer to a peer; may_vote is false after chg_stop_voting(). */
struct quo_answer chg_own_answer(const struct chg *chg);
/*
 * Call this before the RPC listener closes: a new process that listens on the
 * same address treats this one as ended, so this one must not vote any more.
 */
void chg_stop_voting(struct chg *chg);

enum chg_state {
	CHG_UNSEEN,   /* this entry holds only lower versions */
	CHG_PENDING,  /* not known to be accepted */
	CHG_ACCEPTED, /* held by a majority of each of its voter sets */
	/*
	 * Accepted at least freshness_ms ago, so no process starts tasks under
	 * an older version any more.
	 */
	CHG_IN_FORCE
};

#define CHG_MISSING_MAX 64

struct chg_progress {
	enum chg_state state;
	int64_t remaining_ms; /* until in force, when accepted */
	/*
	 * Voters not known to hold the version; the strings are valid until the
	 * next change.
	 */
	struct cfg_voter missing[CHG_MISSING_MAX];
	size_t n_missing;
};

void chg_progress(
    struct chg *chg, uint64_t version, struct chg_progress *progress);
const char *chg_state_name(enum chg_state state);

#endif
