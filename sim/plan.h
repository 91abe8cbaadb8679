#ifndef SIM_PLAN_H
#define SIM_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "sim/options.h"

/*
 * The faults of a run, which follow from its seed alone.  Each run has a few
 * kinds of faults only, mostly on the same machines and close to each other, so
 * that they often overlap.
 */

enum spl_kind {
	SPL_PAUSE_ENTRY,
	SPL_PAUSE_AGENT,
	SPL_SLOW_ENTRY, /* many short pauses */
	SPL_SLOW_AGENT,
	SPL_KILL_ENTRY,
	SPL_KILL_AGENT,
	SPL_DELAY_LINK,
	SPL_CUT_LINK,
	SPL_RESET_LINK,
	SPL_CUT_ENTRY, /* all links of an entry */
	SPL_CUT_AGENT,
	SPL_DELAY_ENTRY, /* all links of an entry */
	SPL_LATE_CALLS,
	SPL_LOST_ANSWERS,
	SPL_SLOW_STOPS,
	SPL_SILENT_WORKER,
	SPL_CRASH_WORKER,
	SPL_LATE_HEARTBEAT,
	SPL_CALLERS_LEAVE, /* all callers of an entry leave */
	/* Only with sop.rooms or sop.cancels: */
	SPL_SHRINK_WORKER,
	SPL_STORE_DOWN,
	/* Only with sop.cancels: */
	SPL_POWER_LOSS, /* of all entries and agents */
	SPL_N_KINDS
};

struct spl_fault {
	enum spl_kind kind;
	int64_t at_ms;
	int64_t lasts_ms;
	uint32_t entry;
	uint32_t agent;
	uint32_t variant; /* meaning depends on the kind */
};

/* Array of struct spl_fault, by time. */
GArray *spl_make(uint64_t seed, const struct sop *opts);
/* Description of the fault; freed with g_free(). */
char *spl_text(const struct spl_fault *fault);

#endif
