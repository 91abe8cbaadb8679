#ifndef SP_PAIRVOTES_H
#define SP_PAIRVOTES_H

#include <stddef.h>
#include <stdint.h>

#include "request/interference.h"

/*
 * Merges the estimates of agents at an entry.  Each agent has one vote a pair,
 * so that one that reports wrong rows is outvoted.  Holds at most PVT_PAIRS
 * pairs and PVT_VOTES votes of each; the least certain pair is dropped first.
 * Reads no clock.
 */
#define PVT_PAIRS 256
#define PVT_VOTES 32

struct pvt;

struct pvt *pvt_new(void);
/* NULL is allowed. */
void pvt_free(struct pvt *pvt);

/* Adds or replaces the vote of an agent. */
void pvt_add(struct pvt *pvt, const char *voter, const struct itf_row *row,
    int64_t now_ms);
/* Drops votes that have become too uncertain, and pairs without votes. */
void pvt_expire(struct pvt *pvt, int64_t now_ms);
size_t pvt_count(const struct pvt *pvt);
/*
 * Merged rows of pairs for which a vote indicates an effect; the agents that
 * get them report what they know of these pairs.  Fills at most max rows,
 * beginning with the pair *next, and advances that.  Names are valid until the
 * next change.
 */
size_t pvt_rows(const struct pvt *pvt, size_t *next, struct itf_row *rows,
    size_t max, int64_t now_ms);

#endif
