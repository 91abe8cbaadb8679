#ifndef SP_PAIRS_H
#define SP_PAIRS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/interference.h"

/*
 * The pairs of queues that an agent knows to slow each other, from its own
 * estimates and from those that entries have merged.  Holds at most PRS_PAIRS
 * pairs; the least certain of those that are not found is dropped first.  Reads
 * no clock.
 */
#define PRS_PAIRS 256

/* A queue that is slowed on the worker now; the name is borrowed. */
struct prs_slowed {
	const char *queue;
	uint32_t permille; /* expected run time over that without the others */
};

struct prs_options {
	/* A pair was found, or is forgotten, which changes what is used. */
	void (*changed)(const struct itf_row *row, bool found, void *ctx);
	/* Number of active runs of a queue. */
	uint32_t (*active)(const char *queue, void *ctx);
	void *ctx;
};

struct prs;

struct prs *prs_new(const struct prs_options *opts);
/* NULL is allowed. */
void prs_free(struct prs *prs);

/* Replaces the agent's own estimate of a pair. */
void prs_measure(struct prs *prs, const struct itf_row *row, int64_t now_ms);
/* Takes a row that an entry has merged; from names the entry's session. */
void prs_share(
    struct prs *prs, uint64_t from, const struct itf_row *row, int64_t now_ms);
/* Finds and forgets pairs; to be called every second. */
void prs_refresh(struct prs *prs, int64_t now_ms);
size_t prs_count(const struct prs *prs);
size_t prs_n_found(const struct prs *prs);
/*
 * The agent's own estimates that entries are to know: those that indicate an
 * effect, and those of pairs that an entry has merged.  As pvt_rows().
 */
size_t prs_rows(const struct prs *prs, size_t *next, struct itf_row *rows,
    size_t max, int64_t now_ms);
/* The queues that a run of would be slowed by the active runs of others. */
size_t prs_slowed(const struct prs *prs, struct prs_slowed *slowed, size_t max);

#endif
