#ifndef SP_JOBSIZE_H
#define SP_JOBSIZE_H

#include <stdint.h>

#include "request/work.h"
#include "request/workerset.h"
#include "version/routes.h"

/*
 * Refuses jobs that can't be carried out whatever else is open: larger than the
 * workers can run until the deadline, more tasks than the entry may hold, or of
 * a queue whose name does not fit into a message.  Holds no sockets and reads no
 * clock.
 */
struct jsz_options {
	uint32_t max_open_tasks;
	uint32_t max_runs; /* of a worker at a time */
	/* Jobs of no more tasks are not refused for their estimates. */
	uint32_t large_tasks;
};

/* 0: the default. */
struct jsz_options jsz_options(uint32_t max_open_tasks, uint32_t max_runs);

/* within_ms: time until the deadline.  Returns a reason, or NULL. */
const char *jsz_reason_to_refuse(const struct jsz_options *opts,
    const struct rts_queue *queue, const struct wk_job *job,
    const struct wks *workers, uint64_t open_tasks, int64_t within_ms);

#endif
