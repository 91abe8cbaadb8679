#ifndef SP_SCHED_H
#define SP_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/work.h"
#include "request/workerset.h"
#include "version/routes.h"

/*
 * The entry's jobs, the order of their tasks, and the choice of a worker for
 * each.  Learns the speeds and faults of workers from the outcomes.  Holds no
 * sockets and reads no clock.
 */
struct sch;

enum sch_outcome {
	SCH_DONE,
	SCH_FAILED,
	SCH_NOT_STARTED,
	SCH_LOST,
	SCH_STALLED /* a fault of the worker, no attempt of the task */
};

enum sch_job_end {
	SCH_COMPLETED,
	SCH_JOB_FAILED, /* a task used up its attempts */
	SCH_EXPIRED,	/* the deadline has passed; tasks may have run */
	SCH_NOT_RUN,	/* given up before any task was sent */
	SCH_BROKEN	/* given up after a task may have run */
};

enum sch_submit_result {
	SCH_ACCEPTED,
	SCH_NO_WORKERS, /* none of the service is usable now */
	SCH_TOO_LARGE,	/* no known worker could ever run a task */
	SCH_OVERLOADED, /* too many jobs are open */
	SCH_BACKLOG,	/* would wait until its answer is worth nothing */
	SCH_UNSUPPORTED /* the queue needs what this product has not */
};

/* A start for a worker; strings are valid during the call. */
struct sch_start {
	uint64_t seq;
	const char *job;
	uint32_t step;
	uint32_t index;
	const char *spec;
	const char *service;
	struct wk_size size;
	uint32_t priority;
	int64_t expected_ms; /* run time on this worker */
	int64_t start_within_ms;
};

/* A start that did not end well; strings are valid during the call. */
struct sch_failed_start {
	const char *job;
	uint32_t step;
	uint32_t index;
	uint64_t seq;
	enum sch_outcome outcome;
	const char *reason;
	uint32_t failures; /* attempts of the task that failed, with this */
	uint32_t max_attempts;
	int64_t sent_ms;
};

struct sch_options {
	double cross_rack_factor; /* time on another rack than preferred */
	int64_t
	    lost_run_timeout_ms; /* runs of a lost agent have ended by then */
	uint32_t max_jobs;
	/* False when nothing was sent. */
	bool (*start)(void *link, const struct sch_start *start, void *ctx);
	/* After the starts of one pass. */
	void (*flush)(void *link, void *ctx);
	void (*cancel)(void *link, uint64_t seq, void *ctx);
	void (*start_failed)(
	    void *link, const struct sch_failed_start *start_failed, void *ctx);
	/* The job has ended; waiter is what sch_submit() got. */
	void (*ended)(void *waiter, const char *job, enum sch_job_end end,
	    const char *reason, void *ctx);
	void *ctx;
};

struct sch_request {
	struct wk_job *job; /* taken over when it was accepted */
	const struct rts_queue *queue;
	int64_t deadline_ms;
	void *waiter;
	int64_t wait_ms; /* set: expected time until a task is sent */
};

/* How far a job has come. */
struct sch_progress {
	const char *queue;
	uint32_t n_tasks;
	uint32_t n_ready; /* wait for a worker */
	uint32_t n_sent;
	uint32_t n_unresolved; /* sent to an agent that was lost */
	uint32_t n_done;
};

struct sch *sch_new(const struct sch_options *opts);
void sch_free(struct sch *sch);

/* The workers that tasks go to; their links are passed to the callbacks. */
struct wks *sch_workers(struct sch *sch);
/* Frees the worker; its open starts are lost after lost_run_timeout_ms. */
void sch_remove_worker(
    struct sch *sch, struct wks_worker *worker, int64_t now_ms);
/* The connection was lost: as sch_remove_worker(), but the worker stays. */
void sch_disconnect(struct sch *sch, struct wks_worker *worker, int64_t now_ms);

enum sch_submit_result sch_submit(
    struct sch *sch, struct sch_request *request, int64_t now_ms);
/* Another request for a job that is known here takes it over. */
void *sch_replace_waiter(struct sch *sch, const char *job, void *waiter);
bool sch_has_job(const struct sch *sch, const char *job);
/* False when the job is not known. */
bool sch_progress(
    const struct sch *sch, const char *job, struct sch_progress *progress);
/* Nobody waits for the job any more; ended() is not called. */
bool sch_cancel(struct sch *sch, const char *job);
void sch_result(struct sch *sch, uint64_t seq, enum sch_outcome outcome,
    int64_t run_ms, const char *reason, int64_t now_ms);
/* Whether a task waits for a worker, so that a run may place it. */
bool sch_has_waiting_tasks(const struct sch *sch);
/* Places what can be placed. */
void sch_place_tasks(struct sch *sch, int64_t now_ms);
void sch_tick(struct sch *sch, int64_t now_ms);
/* Gives every job up, since this process was paused or ends. */
void sch_abort_all(struct sch *sch, const char *reason);

uint32_t sch_n_jobs(const struct sch *sch);
/* Jobs of a queue of which no task has started. */
uint32_t sch_n_unsent_jobs(const struct sch *sch, const char *queue);

#endif
