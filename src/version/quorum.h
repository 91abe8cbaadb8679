#ifndef SP_QUORUM_H
#define SP_QUORUM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"

/*
 * Voter sets, majorities, outage rounds and acceptance.  Holds the newest
 * answer of each entry; no sockets and no clock.  Times are CLOCK_BOOTTIME
 * milliseconds of this process.
 */
struct quo;

/* What an entry answered about itself. */
struct quo_answer {
	uint64_t incarnation;
	uint64_t version;     /* configuration that it holds */
	int64_t store_age_ms; /* since its last store read, -1: never */
	bool may_vote;	      /* quo_may_vote() at that entry */
	int64_t as_of_ms;     /* when the question was sent */
};

struct quo *quo_new(int64_t freshness_ms);
void quo_free(struct quo *quo);
/* A peer's document, when newer, must go to fresh_update() before this. */
void quo_answer(
    struct quo *quo, const struct quo_answer *answer, int64_t now_ms);
/* The answer of this process itself; its as_of_ms is now. */
void quo_own_answer(struct quo *quo, const struct quo_answer *answer);

/* Whether an entry may answer as a voter: its own document lists it. */
bool quo_may_vote(const struct cfg *held, uint64_t incarnation);

/* What the latest answers prove; as_of_ms is at most freshness_ms ago. */
struct quo_confirmation {
	bool confirmed;
	uint64_t version; /* arguments for fresh_confirm() */
	int64_t as_of_ms;
};

struct quo_confirmation quo_confirm(
    const struct quo *quo, const struct cfg *held, int64_t now_ms);

/*
 * Whether a version is accepted as far as is known.  cfg is a document of
 * that version or a later one; every one of its voter sets must have a
 * majority that holds at least the version or has ended.  Writes the voters
 * that are not known to hold it to missing, which has room for max.
 */
bool quo_accepted(const struct quo *quo, const struct cfg *cfg,
    uint64_t version, struct cfg_voter *missing, size_t max, size_t *n_missing);

#endif
