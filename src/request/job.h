#ifndef SP_JOB_H
#define SP_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/ident.h"

/*
 * The jobs that this entry owns, with their tasks, results and answers.  Holds
 * no sockets and reads no clock.  A passed-through request is a job of one task
 * that has no submission id, and no record once it is answered.
 */
struct job_table;
/* Reference counted, so that a late result never uses a freed job. */
struct job;

#define JOB_DIGEST_BYTES 32
#define JOB_NO_TASK	 UINT32_MAX

enum job_state {
	JOB_RUNNING,
	JOB_FAILING, /* will fail; its starts are being withdrawn */
	JOB_COMPLETE,
	JOB_FAILED
};

enum job_task_state {
	JOB_TASK_WAITING,
	JOB_TASK_PLACED, /* sent to an agent, no outcome yet */
	JOB_TASK_DONE,
	JOB_TASK_FAILED,
	JOB_TASK_UNKNOWN,
	JOB_TASK_NOT_RUN /* certainly not started */
};

enum job_cause {
	JOB_CAUSE_NONE,
	JOB_CAUSE_TASK_FAILED,
	JOB_CAUSE_TASK_UNKNOWN,
	JOB_CAUSE_DEADLINE,
	JOB_CAUSE_CANCELLED,
	JOB_CAUSE_ANSWER_TOO_LARGE
};

enum job_ran { JOB_RAN_NOT, JOB_RAN_FAILED, JOB_RAN_UNKNOWN };

struct job_header {
	char *name;
	char *value;
};

/* The job takes a reference to payload. */
struct job_task_spec {
	GBytes *payload;
	int64_t run_ms; /* declared; 0: not declared */
	uint32_t cores;
	uint64_t memory_mb;
};

/* Strings and headers are copied. */
struct job_spec {
	const char *id;
	uint64_t counter; /* 0: passed-through request */
	const char *service;
	const char *team;
	const char *traceparent;
	int64_t deadline_ms; /* on the clock of now_ms */
	uint8_t digest[JOB_DIGEST_BYTES];
	const struct job_task_spec *tasks;
	uint32_t n_tasks;
	const char *method; /* NULL: a task, posted to /tasks */
	const char *path;
	const struct job_header *headers;
	uint32_t n_headers;
	bool idempotent;
};

struct job_task {
	struct job_task_spec spec;
	enum job_task_state state;
	uint32_t rank; /* position in the job's queue */
	uint32_t attempts;
	uint64_t seq; /* of the latest start */
	uint32_t status;
	GBytes *body;
	struct job_header *headers;
	uint32_t n_headers;
};

struct job_options {
	struct ident *ids; /* borrowed; its low-water mark is raised */
	uint32_t max_jobs;
	uint64_t max_answer_bytes; /* of one job */
	uint64_t max_bytes;	   /* payloads and results of all jobs */
	uint32_t max_waiters;	   /* of one job */
	int64_t retention_ms;
};

enum job_put { JOB_CREATED, JOB_SAME, JOB_CONFLICT, JOB_EXPIRED, JOB_FULL };

/* Result of one start as the agent reported it. */
struct job_result {
	uint32_t status;
	const void *body;
	size_t body_len;
	const struct job_header *headers;
	uint32_t n_headers;
};

typedef void (*job_done_fn)(struct job *job, void *ctx);

struct job_table *job_table_new(const struct job_options *opts);
void job_table_free(struct job_table *table);
uint32_t job_table_count(const struct job_table *table);
uint32_t job_table_open(const struct job_table *table);
/* Number of finished jobs whose answer no caller has got yet. */
uint32_t job_table_undelivered(const struct job_table *table);
uint64_t job_table_bytes(const struct job_table *table);

/* NULL when there is no record. */
struct job *job_find(struct job_table *table, const char *id);
/* Returns what job_put() would, without creating a job. */
enum job_put job_peek(struct job_table *table, const char *id, uint64_t counter,
    const uint8_t digest[JOB_DIGEST_BYTES]);
/* On JOB_CREATED and JOB_SAME sets *job to a borrowed pointer. */
enum job_put job_put(
    struct job_table *table, const struct job_spec *spec, struct job **job);
void job_expire(struct job_table *table, int64_t now_ms);

struct job *job_ref(struct job *job);
void job_unref(struct job *job);
const char *job_id(const struct job *job);
const char *job_service(const struct job *job);
const char *job_team(const struct job *job);
const struct job_spec *job_request(const struct job *job);
enum job_state job_state(const struct job *job);
bool job_is_finished(const struct job *job);
enum job_cause job_cause(const struct job *job);
const char *job_cause_name(enum job_cause cause);
enum job_ran job_ran(const struct job *job);
const char *job_ran_name(enum job_ran ran);
uint32_t job_n_tasks(const struct job *job);
const struct job_task *job_task(const struct job *job, uint32_t index);
uint32_t job_n_waiting(const struct job *job);
uint32_t job_n_placed(const struct job *job);
/* Orders the tasks by falling cost, those of equal cost by index. */
void job_sort(struct job *job, const int64_t *cost);
/*
 * Returns the first waiting task at or behind a rank in the job's queue, or
 * JOB_NO_TASK.
 */
uint32_t job_next_waiting(struct job *job, uint32_t rank);

void job_placed(struct job *job, uint32_t index, uint64_t seq);
/*
 * Outcomes of a start.  Each returns false, and changes nothing, when seq is
 * not the latest start of the task or its outcome is already recorded.  The
 * caller holds a reference, since the job may finish.
 */
bool job_not_started(
    struct job *job, uint32_t index, uint64_t seq, int64_t now_ms);
bool job_done(struct job *job, uint32_t index, uint64_t seq,
    const struct job_result *result, int64_t now_ms);
bool job_unknown(struct job *job, uint32_t index, uint64_t seq, int64_t now_ms);
/* Makes a task with an unknown outcome wait again; for idempotent requests. */
bool job_retry(struct job *job, uint32_t index, uint64_t seq);
void job_fail(struct job *job, enum job_cause cause, int64_t now_ms);
/* Ends a failing job; tasks without an outcome become unknown. */
void job_give_up(struct job *job, int64_t now_ms);

/* Records that a caller gets the answer. */
void job_set_delivered(struct job *job);
/*
 * Calls fn once, when the job is finished; returns a number for job_unwait().
 * Returns 0, and never calls fn, when the job is already finished or has too
 * many waiters.
 */
uint64_t job_wait(struct job *job, job_done_fn fn, void *ctx);
void job_unwait(struct job *job, uint64_t waiter);

#endif
