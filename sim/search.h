#ifndef SIM_SEARCH_H
#define SIM_SEARCH_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "sim/fleet.h"

/* Search for seeds that break a rule. */

struct srh_options {
	struct sop fleet;
	uint64_t first_seed;
	uint64_t n_seeds;
	uint32_t max_findings; /* the search ends after so many; 0: never */
	FILE *out;	       /* findings are printed to it; NULL: none */
};

struct srh_result {
	uint64_t n_run;
	uint32_t n_findings;
	uint64_t first_finding; /* seed, valid if there are any */
	uint64_t n_jobs;
	uint64_t n_completed;
	uint64_t n_events;
};

struct srh_result srh_search(const struct srh_options *opts);
/*
 * Leaves out faults one by one as long as the same rule still breaks; returns
 * the faults that are left.
 */
GArray *srh_shrink(uint64_t seed, const struct sop *opts, enum sck_rule rule);

#endif
