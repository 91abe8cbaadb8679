#include "request/objective.h"

enum obj_turn
obj_turn_of(const struct obj_job *job, int64_t now_ms)
{
	if (job->suspected)
		return OBJ_SUSPECTED;
	if (job->sent || now_ms + job->remaining_ms <= job->objective_by_ms)
		return OBJ_TIMELY;
	return OBJ_LATE;
}

enum obj_turn
obj_turn_in_priority(const struct obj_job *job, int64_t now_ms)
{
	if (job->suspected)
		return OBJ_SUSPECTED;
	return job->sent || now_ms <= job->start_by_ms ? OBJ_TIMELY : OBJ_LATE;
}

bool
obj_precedes(const struct obj_rank *a, const struct obj_rank *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->arrived_ms < b->arrived_ms;
}
