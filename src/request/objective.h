#ifndef SP_OBJECTIVE_H
#define SP_OBJECTIVE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The turn of a job in a placement pass, by its response-time objective.
 * Addresses bursts beyond the capacity of the fleet: an answer after the
 * objective is worth little, so that a job which has missed it must not delay
 * one which can still meet it, whatever their priorities.  Plain data; reads
 * no clock.
 */
struct obj_job {
	bool suspected;		 /* of crashing workers */
	bool sent;		 /* a task was sent and may have run */
	int64_t start_by_ms;	 /* objective is missed if begun later */
	int64_t objective_by_ms; /* the job should have ended by then */
	int64_t remaining_ms;	 /* expected, once its ready tasks start */
};

/* In the order in which jobs are placed. */
enum obj_turn {
	/*
	 * It can meet its objective, or a task of it was sent: the work on that
	 * is lost if the others do not follow before the deadline.
	 */
	OBJ_TIMELY,
	OBJ_LATE,
	OBJ_SUSPECTED, /* it may crash the worker, and so comes last */
	OBJ_N_TURNS
};

enum obj_turn obj_turn_of(const struct obj_job *job, int64_t now_ms);
/*
 * The same for the order within one priority, where a job is late when it has
 * not begun by start_by_ms.
 */
enum obj_turn obj_turn_in_priority(const struct obj_job *job, int64_t now_ms);

/* A job's place in the order of priority, then of arrival. */
struct obj_rank {
	uint32_t priority; /* 0 is the highest */
	int64_t arrived_ms;
};

/* Whether a comes before b when no job is late. */
bool obj_precedes(const struct obj_rank *a, const struct obj_rank *b);

#endif
