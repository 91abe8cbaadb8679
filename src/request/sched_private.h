#ifndef SP_SCHED_PRIVATE_H
#define SP_SCHED_PRIVATE_H

#include <glib.h>

#include "request/jobtask.h"
#include "request/retryafter.h"
#include "request/sched.h"

/* Shared by sched.c and sched_submit.c only. */

struct sch {
	struct sch_options opts;
	struct wks *workers;
	GHashTable *jobs;	  /* id to struct jt_job */
	GHashTable *sent;	  /* seq to struct jt_task */
	GHashTable *unresolved;	  /* set of struct jt_task */
	GHashTable *queue_speeds; /* queue name to struct spd_queue */
	GTree *jobs_by_priority;  /* priority to GQueue of struct jt_job */
	struct chc *choice;
	struct blm *blame;
	struct cfn *confinement;
	uint64_t next_seq;
	uint64_t n_tasks;   /* of all open jobs */
	int64_t first_ms;   /* of the first call; taken as the process start */
	bool waiting;	    /* a task may be ready to be sent */
	GHashTable *drains; /* service to struct drt */
	struct rta retry_after;
	int64_t drain_ms;    /* expected until no task waits */
	int64_t drain_at_ms; /* when it was found */
};

/* The jobs of a priority, in the order of their arrival. */
GQueue *sch_list_of(struct sch *sch, uint32_t priority);
/* To be called first by each function that uses the age of the process. */
void sch_record_first_time(struct sch *sch, int64_t now_ms);

#endif
