#ifndef SP_KINDS_H
#define SP_KINDS_H

#include <stdbool.h>
#include <stdint.h>

#include "request/speed.h"
#include "request/work.h"

/*
 * Which kinds of worker a task may take now, by its job's objective.  Addresses
 * bursts on a fleet whose kinds differ in speed: a long task that is placed on
 * a slow worker can only end late, although a fast one would have been free in
 * time; and a short one that takes a fast worker leaves only slow ones to the
 * long tasks after it.  Plain data; reads no clock.
 */

/* Classes beyond these restrict no task and are not waited for. */
#define KND_MAX	 32
#define KND_NONE KND_MAX

/* The usable workers of one service, kind and capacity. */
struct knd_class {
	const char *service;
	const struct spd_worker *kind;
	struct wk_size capacity; /* of one worker */
	int64_t cpu_milli;	 /* of all */
	int64_t free_cpu_milli;
	double slowness;    /* run time over that on an average worker */
	double held_cpu_ms; /* work of the tasks that wait for it */
};

/* The classes as of the current placement pass, and the tasks that it held. */
struct knd {
	struct knd_class classes[KND_MAX];
	uint32_t n;
	/* The smallest task that found no worker of the classes left to it. */
	bool has_blocked;
	uint32_t blocked_allowed;
	struct wk_size blocked_size;
};

/* A task to be placed. */
struct knd_task {
	const char *service;
	struct wk_size size;
	uint32_t may_run; /* set of classes; those without its label are out */
	double average_run_ms; /* on a worker of average speed */
	double left_ms;	       /* until the job's objective */
};

/* Sets of classes have one bit for each index. */
struct knd_plan {
	uint32_t allowed; /* the task is placed on these only */
	uint32_t fast;	  /* the fastest kinds that could run it */
	/*
	 * Slower ones, to be taken first since fast capacity is scarce, if the
	 * worker is expected to need at most max_spare_ms.
	 */
	uint32_t spare;
	double max_spare_ms;
};

/* No restriction. */
#define KND_ANY ((struct knd_plan){.allowed = UINT32_MAX})

void knd_clear(struct knd *knd);
/*
 * Adds a usable worker.  Returns the index of its class, or KND_NONE when there
 * are too many.  service is borrowed.
 */
uint32_t knd_add(struct knd *knd, const char *service,
    const struct spd_worker *kind, const struct wk_size *capacity,
    const struct wk_size *room);
struct knd_plan knd_plan_of(const struct knd *knd, const struct knd_task *task);
/* A task was sent to a worker of the class. */
void knd_record_sent(
    struct knd *knd, uint32_t class_index, const struct wk_size *size);
/* n tasks wait for the fast classes of the plan. */
void knd_record_held(struct knd *knd, const struct knd_plan *plan,
    const struct knd_task *task, uint32_t n);
/* The task found no worker among the allowed classes. */
void knd_record_blocked(
    struct knd *knd, const struct knd_plan *plan, const struct wk_size *size);
/*
 * Whether a task that needs no more has found no worker among all classes that
 * are allowed to this one.
 */
bool knd_is_blocked(const struct knd *knd, const struct knd_plan *plan,
    const struct wk_size *size);

#endif
