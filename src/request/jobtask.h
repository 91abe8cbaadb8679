#ifndef SP_JOBTASK_H
#define SP_JOBTASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/blame.h"
#include "request/confine.h"
#include "request/drainrate.h"
#include "request/speed.h"
#include "request/work.h"
#include "request/workerset.h"
#include "version/routes.h"

/* The tasks of an open job and their states. */

/* Limit on the workers remembered per task as having failed or lost it. */
#define JT_MAX_FAILED_ON 4

enum jt_state {
	JT_BLOCKED, /* an earlier step is not done */
	JT_READY,   /* waits for a worker */
	JT_SENT,
	JT_UNRESOLVED, /* sent to a worker that was lost; may still run */
	JT_DONE,
	JT_N_STATES
};

/* Which workers a task may use while crashes are known. */
enum jt_confinement {
	JT_FREE,      /* those that are not kept for confined queues */
	JT_SUSPECTED, /* those marked for suspected tasks, if one is usable */
	JT_CONFINED   /* those marked for its queue */
};

struct jt_task {
	struct jt_job *job;
	uint32_t step;
	uint32_t index;
	enum jt_state state; /* set by jt_set_state() only */
	guint active_index;  /* in the job's active tasks */
	uint32_t failures;
	uint32_t starts;
	uint64_t seq;
	struct wks_worker *worker; /* NULL when it was removed */
	struct wks_worker *failed_on[JT_MAX_FAILED_ON];
	int64_t sent_ms;
	int64_t resolved_ms;  /* when an unresolved run has certainly ended */
	int64_t projected_ms; /* longest projection of a stalled run; 0: none */
	bool was_lost;	      /* a worker may have crashed under it */
	int64_t lost_ms;      /* when it was last lost */
	enum jt_confinement confinement; /* as of the last pass */
	bool alone;			 /* only for an idle worker */
};

struct jt_step {
	uint32_t first_task; /* its tasks are next to each other */
	uint32_t n_left;     /* tasks not done */
	uint32_t n_blocking; /* steps that must be done first */
	uint32_t n_ready;    /* tasks that wait for a worker */
	/* Expected time from a start of its tasks to the end of the job. */
	int64_t tail_ms;
	double task_work; /* expected of one task, see drainrate.h */
};

struct jt_job {
	struct wk_job *spec;
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	int64_t arrived_ms;
	int64_t deadline_ms;
	int64_t start_by_ms;	 /* objective is missed if sent later */
	int64_t objective_by_ms; /* it should have ended by then */
	int64_t useful_until_ms; /* an answer is of no use later */
	void *waiter;
	struct jt_step *steps;
	struct jt_task *tasks;
	uint32_t n_tasks;
	uint32_t n_left;
	uint32_t n_in_state[JT_N_STATES];
	uint32_t first_ready;  /* no task before it is ready */
	GPtrArray *active;     /* struct jt_task, sent or unresolved */
	GHashTable *failed_on; /* set of struct wks_worker */
	bool sent;	       /* a task was sent and may have run */
	bool suspected;	       /* of crashing workers */
	bool held;	       /* a task has waited for a faster worker */
	bool overtaken;	       /* since it was late */
	struct spd_queue *speed;
	struct drt *drain;	       /* of its service */
	struct cfn_queue *confinement; /* of the job's queue */
	GList link;		       /* in the list of its priority */
};

/* Takes ownership of spec; tasks of steps without predecessors are ready. */
struct jt_job *jt_new(struct wk_job *spec, const struct rts_queue *queue);
void jt_free(struct jt_job *job);

const struct wk_step *jt_step_of(const struct jt_task *task);
/*
 * The index of the first task that is ready, from the given index on; n_tasks
 * if there is none.
 */
uint32_t jt_next_ready(struct jt_job *job, uint32_t from);

/* By what is now known of the run times of its queue. */
void jt_set_run_times(struct jt_job *job);
/* The work of its tasks that wait for a worker. */
double jt_waiting_work(const struct jt_job *job);
/* Expected time until the job's end if all its ready tasks start now. */
int64_t jt_remaining_ms(const struct jt_job *job);

void jt_set_state(struct jt_task *task, enum jt_state state);
/* Marks a task as done; returns true when it was the last of its job. */
bool jt_mark_done(struct jt_task *task);
/* Number of tasks of the step that run, or may still run, on the worker. */
uint32_t jt_n_on(
    const struct jt_job *job, uint32_t step, const struct wks_worker *worker);

void jt_remember_failed_on(struct jt_task *task, struct wks_worker *worker);
bool jt_has_failed_on(
    const struct jt_task *task, const struct wks_worker *worker);
/* Whether any task of the job has failed on the worker. */
bool jt_job_has_failed_on(
    const struct jt_job *job, const struct wks_worker *worker);
/* Drops all references to a worker that is about to be freed. */
void jt_forget_worker(struct jt_job *job, const struct wks_worker *worker);

/*
 * Marks the tasks of a new job under which workers have crashed: its caller may
 * have sent it to another entry before.  Returns the worst status of them.
 */
enum blm_status jt_recall_crashes(
    struct jt_job *job, struct blm *blame, int64_t now_ms);
/* The worst status of the tasks of the job that wait for a worker. */
enum blm_status jt_worst_status(
    struct jt_job *job, struct blm *blame, int64_t now_ms);
/* What may be done with the task, by the crashes under it. */
enum blm_status jt_blame_status(
    const struct jt_task *task, struct blm *blame, int64_t now_ms);

#endif
