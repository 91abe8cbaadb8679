#ifndef SP_JOBTASK_H
#define SP_JOBTASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/speed.h"
#include "request/work.h"
#include "request/workerset.h"
#include "version/routes.h"

/* The tasks of one open job and how far each has come. */

/* Workers remembered that failed a task or lost it. */
#define JT_MAX_FAILED_ON 4

enum jt_state {
	JT_BLOCKED, /* an earlier step is not done */
	JT_READY,   /* waits for a worker */
	JT_SENT,
	JT_UNRESOLVED, /* sent to a worker that was lost, may still run */
	JT_DONE,
	JT_N_STATES
};

struct jt_task {
	struct jt_job *job;
	uint32_t step;
	uint32_t index;
	enum jt_state state;
	uint32_t failures;
	uint32_t sends;
	uint64_t seq;
	struct wks_worker *worker; /* NULL when it was removed */
	struct wks_worker *failed_on[JT_MAX_FAILED_ON];
	int64_t sent_ms;
	int64_t resolved_ms;  /* an unresolved run has ended by then */
	int64_t projected_ms; /* run time that stopped it as too slow */
};

struct jt_step {
	uint32_t left;	  /* tasks not done */
	uint32_t blocked; /* steps to be done first */
};

struct jt_job {
	struct wk_job *spec;
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	int64_t arrived_ms;
	int64_t deadline_ms;
	int64_t start_by_ms;	 /* its objective is missed if not sent */
	int64_t useful_until_ms; /* an answer is worth nothing later */
	void *waiter;
	struct jt_step *steps;
	struct jt_task *tasks;
	uint32_t n_tasks;
	uint32_t n_left;
	bool sent; /* a task was sent and may have run */
	struct spd_queue *speed;
	GList link; /* in its priority's list */
};

/* Takes the spec over; tasks of steps without predecessors are ready. */
struct jt_job *jt_new(struct wk_job *spec, const struct rts_queue *queue);
void jt_free(struct jt_job *job);

/* Counts a task as done; true when it was the last of its job. */
bool jt_done(struct jt_task *task);
/* Tasks of the step that were sent to the worker. */
uint32_t jt_sent_to(
    const struct jt_job *job, uint32_t step, const struct wks_worker *worker);
/* Tasks in each state; counts has JT_N_STATES entries. */
void jt_count(const struct jt_job *job, uint32_t *counts);

void jt_remember_failed_on(struct jt_task *task, struct wks_worker *worker);
bool jt_has_failed_on(
    const struct jt_task *task, const struct wks_worker *worker);
/* Whether any task of the job has. */
bool jt_job_has_failed_on(
    const struct jt_job *job, const struct wks_worker *worker);
/* The worker is about to be freed. */
void jt_forget_worker(struct jt_job *job, const struct wks_worker *worker);

#endif
