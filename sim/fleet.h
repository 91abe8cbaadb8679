#ifndef SIM_FLEET_H
#define SIM_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sim/check.h"
#include "sim/options.h"

/*
 * Runs one fleet: the entries and agents of the product, with modelled workers,
 * network, store and callers.
 */

struct sfl_result {
	struct sck_violation violation; /* rule SCK_KEPT: none */
	uint64_t n_events;
	uint32_t n_jobs;      /* that callers submitted */
	uint32_t n_completed; /* of these */
};

/*
 * faults are struct spl_fault.  With recording, sck_print_story() works
 * afterwards.
 */
struct sfl_result sfl_run(uint64_t seed, const struct sop *opts,
    const GArray *faults, bool recording);

#endif
