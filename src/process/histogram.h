#ifndef SP_HISTOGRAM_H
#define SP_HISTOGRAM_H

#include <stdint.h>

#include "process/counters.h"

/* A histogram of durations, kept in counters of a registry. */
struct hst;

/*
 * Adds the counters NAME_bucket{le="..."}, which are cumulative, NAME_sum and
 * NAME_count, in milliseconds.  They stay in the registry after hst_free().
 */
struct hst *hst_new(
    struct ctr_registry *reg, const char *name, const char *help);
void hst_free(struct hst *histogram);
void hst_add(struct hst *histogram, int64_t ms);

#endif
