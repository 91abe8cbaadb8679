#ifndef SP_PLACING_H
#define SP_PLACING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/blame.h"
#include "request/choice.h"
#include "request/jobtask.h"

/*
 * One pass over the ready tasks of an entry's open jobs: the order in which
 * they are offered to the workers.
 */

/* Why a job waits although there is free capacity. */
enum plg_delay {
	PLG_HELD,     /* its tasks wait for a faster kind of worker */
	PLG_OVERTAKEN /* it is late, and a job after it was placed before it */
};

struct plg_options {
	struct chc *choice;
	struct blm *blame;
	/*
	 * Jobs that can meet their objective come before late ones of all
	 * priorities, rather than of their own.
	 */
	bool by_objective;
	/* Returns false when nothing was sent. */
	bool (*send)(struct jt_task *task, struct wks_worker *worker,
	    int64_t now_ms, void *ctx);
	/* The first time that the job is delayed so; may be NULL. */
	void (*delayed)(
	    const struct jt_job *job, enum plg_delay why, void *ctx);
	/* A task of the job found no worker. */
	void (*unplaced)(const struct jt_job *job, void *ctx);
	void *ctx;
};

/*
 * Places tasks by priority, and by objective if opts say so.  jobs_by_priority maps a priority to a GQueue of
 * struct jt_job in the order of their arrival.  Returns whether a task found no
 * worker.
 */
bool plg_run(
    const struct plg_options *opts, GTree *jobs_by_priority, int64_t now_ms);

#endif
