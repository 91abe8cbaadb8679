#ifndef SP_ADMIT_H
#define SP_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"
#include "request/place.h"
#include "request/refusal.h"
#include "version/config.h"

/*
 * Admission control of new jobs, with the quotas of teams and services.  Each
 * entry enforces quota / live entries, rounded up, without store calls, so all
 * entries together admit at most (entries - 1) tasks above a quota.
 */
struct admit;

/* State of the entry on which an admission decision is based. */
struct adm_snapshot {
	const struct cfg *cfg;
	bool config_confirmed; /* fresh_is_current() */
	uint32_t live_entries;
	uint32_t waiting;	  /* tasks of the service in the queue */
	bool service_live;	  /* it has a live endpoint */
	int64_t expected_wait_ms; /* in the queue; -1: no usable worker */
	cfg_is_live_fn is_live;
	void *is_live_ctx;
	const struct place *place;
};

struct adm_request {
	const char *service;
	const char *team;
	uint32_t n_tasks;
	uint32_t cores;	     /* largest request of one task */
	uint64_t memory_mb;  /* largest request of one task */
	int64_t deadline_ms; /* remaining time */
};

#define ADM_DEFAULT_MAX_QUEUED_TASKS 100000U

struct admit *adm_new(void);
void adm_free(struct admit *adm);
/* Returns REF_NONE if the work is admitted; otherwise sets *why. */
enum ref_code adm_check(const struct admit *adm,
    const struct adm_snapshot *snapshot, const struct adm_request *request,
    struct status *why);
/* Adds the tasks of an admitted job to the counts of tasks in flight. */
void adm_acquire(
    struct admit *adm, const char *service, const char *team, uint32_t n);
/* Removes the tasks of a finished job from these counts. */
void adm_release(
    struct admit *adm, const char *service, const char *team, uint32_t n);
uint32_t adm_team_tasks(const struct admit *adm, const char *team);

#endif
