#ifndef SP_SCHED_H
#define SP_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/choice.h"
#include "request/crashlog.h"
#include "request/placing.h"
#include "request/work.h"
#include "request/workerset.h"
#include "version/routes.h"

/*
 * Scheduler of an entry: holds its open jobs, orders their tasks and chooses a
 * worker for each.  Learns the speed and failure rate of workers from the
 * outcomes of tasks.  Holds no sockets and reads no clock.
 */
struct sch;

enum sch_outcome {
	SCH_DONE,
	SCH_FAILED,
	SCH_NOT_STARTED,
	SCH_LOST,
	SCH_STALLED /* stopped as too slow; not counted as a failed attempt */
};

enum sch_job_end {
	SCH_COMPLETED,
	SCH_JOB_FAILED, /* a task used up its attempts */
	SCH_EXPIRED,	/* the deadline has passed; tasks may have run */
	SCH_NOT_RUN,	/* ended before any task was sent */
	SCH_BROKEN	/* ended by the entry after a task may have run */
};

enum sch_submit_result {
	SCH_ACCEPTED,
	SCH_NO_WORKERS, /* no worker of the service is usable now */
	SCH_TOO_LARGE,	/* a step needs more than any known worker has */
	SCH_OVERLOADED, /* too many jobs are open */
	SCH_BACKLOG,	/* its answer would come too late to be of use */
	SCH_CONFINED,	/* its queue crashes workers, and those left are away */
	SCH_CRASHING,	/* one of its tasks crashes workers */
	SCH_UNSUPPORTED /* queues with placement advice are not supported */
};

/* Request to start a task on a worker; strings are valid during the call. */
struct sch_start {
	uint64_t seq;
	const char *job;
	uint32_t step;
	uint32_t index;
	GBytes *spec;
	const char *service;
	const char *queue;
	struct wk_size size;
	uint32_t priority;
	int64_t
	    expected_ms;    /* run time on this worker, see chc_expected_ms() */
	int64_t nominal_ms; /* run time on any worker of its kind */
	int64_t start_within_ms;
};

/* A start that did not complete its task; strings are valid during the call. */
struct sch_failed_start {
	const char *job;
	uint32_t step;
	uint32_t index;
	uint64_t seq;
	enum sch_outcome outcome;
	const char *reason;
	uint32_t failures; /* failed attempts of the task, including this one */
	uint32_t max_attempts;
	int64_t sent_ms;
};

/* What the scheduler decides by; all false: by priority and arrival only. */
struct sch_policy {
	/* Jobs that can meet their objective come first in all priorities. */
	bool order_by_objective;
	/* Tasks wait for a faster worker if they would be late on the others. */
	bool wait_for_faster;
	/* Run times of a queue are learned as a distribution. */
	bool learn_distributions;
	/* A new job is refused by the work before it and the rate of starts. */
	bool refuse_by_wait;
	/*
	 * So long after the start of the process, jobs wait until their
	 * deadline for workers that are known, but not usable yet; 0: never.
	 */
	int64_t startup_wait_ms;
};

struct sch_options {
	struct chc_options choice;
	struct sch_policy policy;
	/* Time in which an agent that lost its connection ends its runs. */
	int64_t lost_run_timeout_ms;
	uint32_t max_jobs;
	/* Returns false when nothing was sent. */
	bool (*start)(void *link, const struct sch_start *start, void *ctx);
	/* Called when a pass has made its last start() on the link. */
	void (*flush)(void *link, void *ctx);
	void (*cancel)(void *link, uint64_t seq, void *ctx);
	void (*start_failed)(
	    void *link, const struct sch_failed_start *failure, void *ctx);
	/* The job has ended; waiter is the one of struct sch_request. */
	void (*ended)(void *waiter, const char *job, enum sch_job_end end,
	    const char *reason, void *ctx);
	/* A job waits although there is free capacity; may be NULL. */
	void (*delayed)(
	    const char *job, enum plg_delay why, uint32_t n_tasks, void *ctx);
	/* A queue was confined to few workers, or released. */
	void (*confined)(
	    const char *queue, bool confined, double caused, void *ctx);
	void *ctx;
};

struct sch_request {
	struct wk_job *job; /* owned by the scheduler once accepted */
	const struct rts_queue *queue;
	int64_t deadline_ms;
	void *waiter;
	/*
	 * Workers with the labels that the steps require exist, although none
	 * may be connected yet.
	 */
	bool workers_known;
	int64_t wait_ms;    /* output: expected time until the first start */
	bool by_prediction; /* output: refused by refuse_by_wait */
};

/* Task counts of an open job, by state. */
struct sch_progress {
	const char *queue;
	uint32_t n_tasks;
	uint32_t n_ready; /* wait for a worker */
	uint32_t n_sent;
	uint32_t n_unresolved; /* sent to a lost agent, outcome unknown */
	uint32_t n_done;
};

struct sch *sch_new(const struct sch_options *opts);
void sch_free(struct sch *sch);

/* The workers that may get tasks; their links are passed to the callbacks. */
struct wks *sch_workers(struct sch *sch);
/*
 * Frees the worker.  Tasks sent to it become ready again after
 * lost_run_timeout_ms.
 */
void sch_remove_worker(
    struct sch *sch, struct wks_worker *worker, int64_t now_ms);
/*
 * Handles a lost connection: like sch_remove_worker(), but the worker stays and
 * is unusable until it is described again.
 */
void sch_disconnect(struct sch *sch, struct wks_worker *worker, int64_t now_ms);

/* A report of an agent whose worker crashed. */
void sch_report_crash(struct sch *sch, const char *agent,
    const struct crl_crash *crash, int64_t now_ms);

enum sch_submit_result sch_submit(
    struct sch *sch, struct sch_request *request, int64_t now_ms);
/* When a caller that is refused now should come back; whole seconds. */
int64_t sch_retry_ms(struct sch *sch, int64_t now_ms);
/* Replaces the waiter of a known job; returns the former one. */
void *sch_replace_waiter(struct sch *sch, const char *job, void *waiter);
bool sch_has_job(const struct sch *sch, const char *job);
/* Returns false when the job is not known. */
bool sch_progress(
    const struct sch *sch, const char *job, struct sch_progress *progress);
/*
 * Drops a job whose caller has gone; ended() is not called.  Returns false when
 * the job is not known.
 */
bool sch_cancel(struct sch *sch, const char *job);
void sch_result(struct sch *sch, uint64_t seq, enum sch_outcome outcome,
    int64_t run_ms, const char *reason, int64_t now_ms);
/* Whether a task may be ready, so that sch_place_tasks() should be called. */
bool sch_has_waiting_tasks(const struct sch *sch);
/* Sends ready tasks to workers with room for them, by priority. */
void sch_place_tasks(struct sch *sch, int64_t now_ms);
void sch_tick(struct sch *sch, int64_t now_ms);
/* Ends every job, since this process was paused or is shutting down. */
void sch_abort_all(struct sch *sch, const char *reason);

uint32_t sch_n_jobs(const struct sch *sch);
/* Number of tasks of all open jobs. */
uint64_t sch_n_tasks(const struct sch *sch);
/* Number of a queue's jobs without any sent task. */
uint32_t sch_n_unsent_jobs(const struct sch *sch, const char *queue);

#endif
