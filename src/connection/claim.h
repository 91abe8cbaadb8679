#ifndef SP_CLAIM_H
#define SP_CLAIM_H

#include <stdint.h>

#include "connection/workerport.h"

/*
 * Checks what heartbeats claim.  A heartbeat may come from another writer, or
 * late from a former incarnation, so its sender is asked for a report at the
 * address that it names.  The claim holds if the answer is of the same
 * incarnation and its clock has reached the time of the heartbeat.
 */
struct clm;

struct clm_options {
	const struct wp *wp; /* borrowed */
	/* Fencing token and timeout of the next call. */
	void (*fill_target)(struct wp_target *target, void *ctx);
	/* The worker refused a call with this token as too low. */
	void (*fenced)(int64_t token, void *ctx);
	/* The claim of worker holds. */
	void (*confirmed)(const struct wp_worker *worker, void *ctx);
	void *ctx;
};

struct clm *clm_new(const struct clm_options *opts);
/* The worker port must not deliver any answer after this. */
void clm_free(struct clm *clm);
/* Sends no call and ignores pending answers from then on. */
void clm_close(struct clm *clm);

/*
 * Checks the claim of worker, which is copied.  An unanswered check is repeated
 * until CLM_LIMIT_MS after the claim's last heartbeat.
 */
void clm_check(struct clm *clm, const struct wp_worker *worker);
/*
 * The same for an earlier statement from another source.  It does not take the
 * place of a claim of a later time.
 */
void clm_suggest(struct clm *clm, const struct wp_worker *worker);

/* Upper limit of the time between two heartbeats of a worker. */
#define CLM_LIMIT_MS 3000

#endif
