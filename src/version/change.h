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
 * Changes of the configuration document, one at a time, and how far each is
 * in force.  Also keeps this entry's voter up to date and confirms the
 * configuration by rounds while the store gives no answer.
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
 * Runs once with the version that holds the change.  Status codes:
 * ST_INVALID, ST_NOT_FOUND, ST_LIMIT, ST_CONFLICT and ST_UNAVAILABLE: nothing
 * was changed; ST_UNKNOWN: the change may or may not take effect, which
 * repeating it with the same change_id resolves.
 */
typedef void (*chg_done_fn)(
    const struct status *st, uint64_t version, void *ctx);

struct chg *chg_new(const struct chg_options *opts);
/* Changes in progress end without a callback. */
void chg_free(struct chg *chg);

/* expected_version is the one that the text was made from; 0: none. */
void chg_apply(struct chg *chg, uint64_t expected_version,
    const char *change_id, const char *text, chg_done_fn fn, void *ctx);
void chg_set_out(struct chg *chg, enum cfg_kind kind, const char *name,
    bool out, const char *change_id, chg_done_fn fn, void *ctx);
/* Operators state that the process of a voter has ended for good. */
void chg_mark_ended(struct chg *chg, uint64_t incarnation,
    const char *change_id, chg_done_fn fn, void *ctx);
/* No done callback with this ctx runs any more; the changes go on. */
void chg_cancel(struct chg *chg, const void *ctx);

/*
 * Judges the newest answers.  Call it after quo_answer(); runs by itself
 * every 100 ms.
 */
void chg_evaluate(struct chg *chg);
/* This entry's answer to a peer; vouches is false after chg_stop_voting(). */
struct quo_answer chg_own_answer(const struct chg *chg);
/*
 * Call before the rpc listener closes: a new process that listens on the
 * same address takes this one for ended, so it must vote no more.
 */
void chg_stop_voting(struct chg *chg);

enum chg_state {
	CHG_UNSEEN,  /* this entry holds only lower versions */
	CHG_PENDING, /* not accepted as far as this entry knows */
	CHG_ACCEPTED,
	CHG_IN_FORCE /* accepted, and freshness_ms have passed */
};

#define CHG_MISSING_MAX 64

struct chg_progress {
	enum chg_state state;
	int64_t remaining_ms; /* until in force, when accepted */
	/* Voters not known to hold it; strings live until the next change. */
	struct cfg_voter missing[CHG_MISSING_MAX];
	size_t n_missing;
};

void chg_progress(
    struct chg *chg, uint64_t version, struct chg_progress *progress);
const char *chg_state_name(enum chg_state state);

#endif
