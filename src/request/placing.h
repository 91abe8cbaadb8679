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
struct plg_options {
	struct chc *choice;
	struct blm *blame;
	/* Returns false when nothing was sent. */
	bool (*send)(struct jt_task *task, struct wks_worker *worker,
	    int64_t now_ms, void *ctx);
	void *ctx;
};

/*
 * Places tasks by priority.  jobs_by_priority maps a priority to a GQueue of
 * struct jt_job in the order of their arrival.  Returns whether a task found no
 * worker.
 */
bool plg_run(
    const struct plg_options *opts, GTree *jobs_by_priority, int64_t now_ms);

#endif
