#ifndef SP_BACKLOG_H
#define SP_BACKLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/work.h"
#include "version/routes.h"

/*
 * Whether a new job would be answered too late to be of use, by how long the
 * jobs before it have waited.
 */

/* Time limits of a job, counted from its arrival. */
struct bkl_limits {
	int64_t critical_path_ms; /* expected run time, 0: unknown */
	int64_t start_ms;	  /* meets its objective if sent by then */
	int64_t useful_ms;	  /* an answer is of no use later */
};

/*
 * The work of the tasks that wait before a new job.  Addresses sustained
 * overload, in which a job that is accepted would be given up later.
 */
struct bkl_ahead {
	double timely; /* of jobs that can still meet their objective */
	double all;
};

/* ratio: run time of the queue's tasks over their estimates. */
struct bkl_limits bkl_limits_of(
    const struct wk_job *job, const struct rts_queue *queue, double ratio);
/*
 * jobs_by_priority maps a priority to a GQueue of struct jt_job.  Only jobs of
 * the service count, of a priority that is not lower than the new one's, and
 * which need no larger workers.
 */
struct bkl_ahead bkl_ahead_of(GTree *jobs_by_priority, const struct wk_job *job,
    const struct rts_queue *queue, int64_t now_ms);
/* The work of all tasks that wait. */
double bkl_work(GTree *jobs_by_priority);
/*
 * Whether the job would be answered too late to be of use, if the work before
 * it is placed at the rate, above 0.  It is still accepted if it would begin
 * within half the time in which it must start to meet its objective.
 */
bool bkl_is_hopeless(const struct bkl_ahead *ahead, double rate,
    const struct bkl_limits *limits, int64_t *wait_ms);
/*
 * The same where the rate is not known: if the job waits as long as the oldest
 * one of its queue.  It is still accepted if the oldest job that
 * can meet its objective has waited at most half the time in which the new one
 * must start.  jobs holds struct jt_job in the order of their arrival; *wait_ms
 * is set to how long the oldest has waited.
 */
bool bkl_is_too_late(const GQueue *jobs, const struct wk_job *job,
    const char *queue, const struct bkl_limits *limits, int64_t now_ms,
    int64_t *wait_ms);

#endif
