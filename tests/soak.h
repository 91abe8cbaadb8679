#ifndef SP_SOAK_H
#define SP_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "deployment.h"

/* The state of one run of test_soak, and the faults that it injects. */

#define SOAK_MAX_FAULTS 64
/* Range of a fault's duration and of the time between faults. */
#define SOAK_FAULT_MIN_MS 200
#define SOAK_FAULT_MAX_MS 1500

struct soak_job {
	struct soak_job *next;
	struct hn_http *http;
	char id[17];
	char *body;
	char *spec; /* JSON of the spec; NULL: workers must not be told it */
	int tries;
	int entry; /* of the latest submission */
	bool cancelled;
	struct hn_http *cancel; /* its DELETE; NULL: none */
	bool cancel_known; /* was acknowledged before the latest submission */
	int64_t first_ms;
	int64_t resend_at_ms; /* 0: an answer is outstanding */
};

struct soak;

/* An active fault; end() undoes it at end_ms. */
struct soak_fault {
	void (*end)(struct soak *soak, int target);
	/* NULL: nothing changes while the fault lasts. */
	void (*grow)(struct soak *soak, int target, int64_t elapsed_ms);
	int target;
	int64_t begin_ms;
	int64_t end_ms;
};

struct soak {
	struct dpl dpl;
	GRand *rand;
	struct soak_job *open_jobs; /* jobs without a final answer */
	int n_open_jobs;
	uint32_t last_id;
	int completed, failed, refused, given_up, malformed, cancelled;
	/* Which faults and jobs the seed has, see test_soak.c. */
	bool wide;
	bool odd_specs;
	bool late;
	bool rooms;
	bool power;
	int version;
	int64_t start_ms;
	struct soak_fault faults[SOAK_MAX_FAULTS];
	int n_faults;
	/* By process number: stopped or not running, and that for a loss of power. */
	bool unavailable[DPL_ENTRIES + DPL_AGENTS];
	bool without_power[DPL_ENTRIES + DPL_AGENTS];
};

/* Sets a mode of the stand-in platform. */
void soak_set_mode(struct soak *soak, const char *mode, int value);
/* Begins a random fault, if it can be injected into its random target. */
void soak_begin_fault(struct soak *soak);
/* Increases the effect of faults that grow while they last. */
void soak_grow_faults(struct soak *soak);
/* Ends the faults whose time is over, or all of them. */
void soak_end_faults(struct soak *soak, bool all);

#endif
