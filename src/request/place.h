#ifndef SP_PLACE_H
#define SP_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Chooses a worker for a task from the loads that workers report, the entry's
 * own dispatches since those reports, and measured run times.  Holds no sockets
 * and reads no clock.
 */
struct place;

#define PLACE_NONE UINT32_MAX

enum place_policy {
	PLACE_RANDOM,
	PLACE_LEAST_OUTSTANDING,
	PLACE_TWO_CHOICES,
	PLACE_LEAST_WAIT,
	/*
	 * In a pass (see place_begin_pass()) a task may wait for a faster
	 * worker; outside a pass this is the same as PLACE_LEAST_WAIT.
	 */
	PLACE_EARLIEST_FINISH
};

struct place_options {
	enum place_policy policy;
	const char *failure_domain; /* of the entry; copied */
	uint32_t ahead; /* limit of tasks sent to a worker beyond its slots */
	uint32_t seed;
	bool prefer_local;
};

/* Strings are copied. */
struct place_worker {
	const char *name;
	const char *failure_domain;
	const char *service;
	uint32_t slots;
	uint32_t cores;
	uint64_t memory_mb;
};

struct place_load {
	uint32_t slots;
	uint32_t busy;
	uint32_t queued;
	bool draining;
};

struct place_task {
	const char *service;
	int64_t declared_ms; /* 0: not declared */
	uint32_t cores;
	uint64_t memory_mb;
};

bool place_policy_parse(const char *name, enum place_policy *policy);
struct place *place_new(const struct place_options *opts);
void place_free(struct place *place);

/* Returns the id of the worker, valid until it is removed. */
uint32_t place_add(
    struct place *place, const struct place_worker *worker, int64_t now_ms);
void place_remove(struct place *place, uint32_t id);
/* outstanding: dispatches of this entry that the load does not include. */
void place_report(struct place *place, uint32_t id,
    const struct place_load *load, uint32_t outstanding, int64_t now_ms);
/* An unusable worker gets no tasks; pool.h says which ones are usable. */
void place_set_usable(struct place *place, uint32_t id, bool usable);

/*
 * Starts a pass over the queued tasks of a service, in their order.  Within a
 * pass, a task for which place_choose() returns PLACE_NONE reserves a slot of
 * the worker that it waits for, and later tasks may still be placed.  The
 * caller ends the pass when place_has_capacity() is false or when
 * PLACE_PASS_MAX_SKIPPED tasks were not placed.
 */
#define PLACE_PASS_MAX_SKIPPED 64U
void place_begin_pass(struct place *place, int64_t now_ms);
/* Whether any worker of the service can take a task now. */
bool place_has_capacity(const struct place *place, const char *service);
/*
 * Expected run time of a task on an average worker.  The tasks of a job are
 * queued longest first.
 */
int64_t place_expected_run_us(
    const struct place *place, const struct place_task *task);
/* Returns PLACE_NONE when no worker can take the task now. */
uint32_t place_choose(
    struct place *place, const struct place_task *task, int64_t now_ms);
/* Whether the task fits any usable worker that is not draining. */
bool place_fits_live(const struct place *place, const struct place_task *task);
/* Whether the task fits any known worker, usable or not. */
bool place_can_ever_run(
    const struct place *place, const struct place_task *task);
void place_dispatched(struct place *place, uint32_t id,
    const struct place_task *task, int64_t now_ms);

enum place_outcome {
	PLACE_OK,
	PLACE_FAILED,	  /* ran and failed */
	PLACE_NOT_STARTED /* returned without running */
};
void place_finished(struct place *place, uint32_t id,
    const struct place_task *task, enum place_outcome outcome, int64_t run_us,
    int64_t now_ms);

/* Expected wait of a new task before its start; -1 without a usable worker. */
int64_t place_expected_wait_ms(const struct place *place, const char *service,
    uint32_t waiting, int64_t now_ms);
uint32_t place_free_slots(const struct place *place, const char *service);
bool place_has_live_worker(const struct place *place, const char *service);

#endif
