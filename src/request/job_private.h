#ifndef SP_JOB_PRIVATE_H
#define SP_JOB_PRIVATE_H

#include "request/job.h"

/* Shared by job.c and job_table.c only. */

struct job {
	int refs;
	struct job_table *table; /* NULL after the table is freed */
	struct job_spec spec;	 /* strings owned by the job */
	struct job_task *tasks;
	uint32_t n_waiting;
	uint32_t n_placed;
	uint32_t *order;     /* indexes of the tasks by rank */
	uint32_t first_rank; /* no task with a lower rank is waiting */
	enum job_state state;
	enum job_cause cause;
	int64_t finished_ms;
	uint64_t answer_bytes;
	uint64_t bytes; /* of payloads and results, as counted by the table */
	GArray *waiters;
	uint64_t next_waiter;
	bool delivered;
};

struct job_table {
	struct job_options opts;
	GHashTable *jobs; /* id -> job, holds a reference */
	GQueue finished;  /* oldest first; no reference */
	uint32_t n_open;
	uint32_t n_undelivered;
	uint64_t bytes;
};

struct job *job_new(struct job_table *table, const struct job_spec *spec);
void job_add_bytes(struct job *job, uint64_t bytes);
/*
 * Keeps the record of a job that has just finished, or drops that of a
 * passed-through request.
 */
void job_table_finished(struct job_table *table, struct job *job);
/*
 * Drops the oldest finished record, unless it is this job's, when the table
 * holds too many bytes.
 */
void job_table_trim(struct job_table *table, const struct job *job);

#endif
