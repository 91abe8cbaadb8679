#ifndef SIM_OPTIONS_H
#define SIM_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Deliberate faults of the model, each of which must make a rule break. */
enum sop_mutant {
	SOP_NO_MUTANT,
	SOP_SLOW_CLOCK,	  /* workers' clocks are 20% slow */
	SOP_LATE_EXPIRY,  /* workers end runs 500 ms after the lease */
	SOP_NO_WAIT,	  /* entries place the tasks of a lost agent at once */
	SOP_EARLY_RESEND, /* callers send again after 100 ms */
	SOP_HIDDEN_STOPS, /* reports omit runs that are being stopped */
	SOP_NO_SEAL,	  /* a stop does not seal a run that is not there yet */
	SOP_REFUSE_SENT,  /* callers see a 502 as a 503 */
	SOP_FAST_AGENTS,  /* agents' clocks are 30% fast */
	/* With cancels only: */
	/* neither agents nor the store tell entries the cancels they missed */
	SOP_NO_CATCH_UP,
	SOP_DEAF_STORE, /* the store hides cancels from all but their writer */
	/* the store does not hold cancels when all machines lose power */
	SOP_FORGOTTEN_CANCELS,
	SOP_N_MUTANTS
};

struct sop {
	uint32_t n_entries;
	uint32_t n_agents;
	uint32_t n_callers;
	int64_t duration_ms;
	enum sop_mutant mutant;
	/* Also faults of this kind; the others of a seed are then others. */
	bool rooms; /* workers shrink, the store is down */
	/* Callers cancel jobs, which have several steps, and the store is down. */
	bool cancels;
	/* Never at the entry that the job was submitted to. */
	bool elsewhere;
};

#define SOP_DEFAULTS                                                           \
	{                                                                      \
		.n_entries = 3, .n_agents = 4, .n_callers = 8,                 \
		.duration_ms = 12000                                           \
	}

/* Cancelled jobs that entries and agents remember. */
#define SOP_CANCELLED_JOBS 100000

const char *sop_mutant_name(enum sop_mutant mutant);

#endif
