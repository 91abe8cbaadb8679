#ifndef SP_ADMIT_H
#define SP_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"
#include "request/place.h"
#include "request/refusal.h"
#include "version/config.h"

/*
 * Admission of new work and the quotas of teams and services.  An entry
 * enforces its share, quota / live entries rounded up, without store calls;
 * the sum of the shares is at most (entries - 1) above the quota.
 */
struct admit;

/* What is known at the moment of the decision. */
struct adm_snapshot {
	const struct cfg *cfg;
	bool config_confirmed; /* the configuration is confirmed */
	uint32_t live_entries;
	uint32_t waiting; /* tasks of the service in the queue */
	bool service_live;
	int64_t expected_wait_ms; /* -1: no usable worker */
	cfg_is_live_fn is_live;
	void *is_live_ctx;
	const struct place *place;
};

struct adm_request {
	const char *service;
	const char *team;
	uint32_t n_tasks;
	uint32_t cores; /* the most that a task asks for */
	uint64_t memory_mb;
	int64_t deadline_ms; /* remaining time */
};

#define ADM_DEFAULT_QUEUE 100000U

struct admit *adm_new(void);
void adm_free(struct admit *adm);
/* REF_NONE: admitted; else why says more. */
enum ref_code adm_check(const struct admit *adm,
    const struct adm_snapshot *snapshot, const struct adm_request *request,
    struct status *why);
/* Counts admitted tasks until their job ends. */
void adm_acquire(
    struct admit *adm, const char *service, const char *team, uint32_t n);
void adm_release(
    struct admit *adm, const char *service, const char *team, uint32_t n);
uint32_t adm_team_tasks(const struct admit *adm, const char *team);

#endif
