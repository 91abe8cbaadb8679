#ifndef SP_QUORUM_H
#define SP_QUORUM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"

/*
 * Decides from the answers of entries whether the configuration held is still
 * the newest accepted one, and whether a version is accepted by majorities of
 * its voter sets.  Keeps the newest answer of each entry; does no I/O and reads
 * no clock. Times are CLOCK_BOOTTIME milliseconds of this process.
 */
struct quo;

/* The status that an entry reported about itself. */
struct quo_answer {
	uint64_t incarnation;
	uint64_t version;     /* of the configuration held */
	int64_t store_age_ms; /* since its last store read, -1: never */
	bool may_vote;	      /* its answers count as votes */
	int64_t as_of_ms;     /* when the request was sent */
};

struct quo *quo_new(int64_t freshness_ms);
void quo_free(struct quo *quo);
/* If the peer sent a newer document, call fresh_update() with it first. */
void quo_answer(
    struct quo *quo, const struct quo_answer *answer, int64_t now_ms);
/* Records the status of this process; its as_of_ms is the current time. */
void quo_own_answer(struct quo *quo, const struct quo_answer *answer);

/* True if the document lists the entry as a voter that has not ended. */
bool quo_may_vote(const struct cfg *held, uint64_t incarnation);

/* What the latest answers confirm; as_of_ms is at most freshness_ms ago. */
struct quo_confirmation {
	bool confirmed;
	uint64_t version; /* arguments for fresh_confirm() */
	int64_t as_of_ms;
};

struct quo_confirmation quo_confirm(
    const struct quo *quo, const struct cfg *held, int64_t now_ms);

/*
 * Returns true if the version is known to be accepted: in each voter set of
 * cfg, a document of that version or a later one, a majority of the voters
 * holds at least the version or has ended.  Writes up to max voters that are
 * not known to hold the version to missing.
 */
bool quo_accepted(const struct quo *quo, const struct cfg *cfg,
    uint64_t version, struct cfg_voter *missing, size_t max, size_t *n_missing);

#endif
