#include <inttypes.h>
#include <glib.h>

#include "request/admit.h"

struct admit {
	GHashTable *services; /* name -> tasks in flight, absent at 0 */
	GHashTable *teams;    /* likewise */
};

struct admit *
adm_new(void)
{
	struct admit *adm = g_new0(struct admit, 1);

	adm->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	adm->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return adm;
}

void
adm_free(struct admit *adm)
{
	g_hash_table_unref(adm->services);
	g_hash_table_unref(adm->teams);
	g_free(adm);
}

static uint32_t
count_of(GHashTable *table, const char *name)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(table, name));
}

static void
set_count(GHashTable *table, const char *name, uint32_t n)
{
	if (n == 0)
		g_hash_table_remove(table, name);
	else
		g_hash_table_replace(
		    table, g_strdup(name), GUINT_TO_POINTER(n));
}

/* Returns the number of tasks of a team in flight at this entry. */
uint32_t
adm_team_tasks(const struct admit *adm, const char *team)
{
	return count_of(adm->teams, team);
}

void
adm_acquire(
    struct admit *adm, const char *service, const char *team, uint32_t n)
{
	set_count(adm->services, service, count_of(adm->services, service) + n);
	set_count(adm->teams, team, count_of(adm->teams, team) + n);
}

static uint32_t
subtract_saturating(uint32_t count, uint32_t n)
{
	return count > n ? count - n : 0;
}

void
adm_release(
    struct admit *adm, const char *service, const char *team, uint32_t n)
{
	set_count(adm->services, service,
	    subtract_saturating(count_of(adm->services, service), n));
	set_count(adm->teams, team,
	    subtract_saturating(count_of(adm->teams, team), n));
}

/* Returns the part of a quota that this entry enforces; quota 0: unlimited. */
static uint32_t
share_of_quota(uint32_t quota, uint32_t entries)
{
	if (quota == 0)
		return UINT32_MAX;
	if (entries == 0)
		entries = 1;
	return quota / entries + (quota % entries != 0);
}

static enum ref_code
refuse(
    struct status *why, enum ref_code code, const char *what, const char *name)
{
	st_set(why, ST_LIMIT, "%s: \"%s\"", what, name);
	return code;
}

static enum ref_code
check_names(const struct adm_snapshot *snapshot,
    const struct adm_request *request, struct status *why)
{
	const char *blocked;

	if (snapshot->cfg == NULL || !snapshot->config_confirmed) {
		st_set(why, ST_UNAVAILABLE,
		    "this entry has no confirmed configuration");
		return REF_CONFIG_NOT_CURRENT;
	}
	if (cfg_service(snapshot->cfg, request->service) == NULL)
		return refuse(why, REF_UNKNOWN_SERVICE,
		    "the configuration has no such service", request->service);
	if (cfg_team(snapshot->cfg, request->team) == NULL)
		return refuse(why, REF_UNKNOWN_TEAM,
		    "the configuration has no such team", request->team);
	if (cfg_is_out(snapshot->cfg, CFG_SERVICE, request->service))
		return refuse(why, REF_SERVICE_OUT,
		    "the service is out of service", request->service);
	blocked = cfg_blocked_by(snapshot->cfg, request->service,
	    snapshot->is_live, snapshot->is_live_ctx);
	if (blocked != NULL)
		return refuse(why, REF_DEPENDENCY_UNAVAILABLE,
		    "a dependency is out or has no live endpoint", blocked);
	return REF_NONE;
}

static enum ref_code
check_resources(const struct adm_snapshot *snapshot,
    const struct adm_request *request, struct status *why)
{
	const struct cfg_service *service =
	    cfg_service(snapshot->cfg, request->service);
	struct place_task task = {
	    .service = request->service,
	    .cores = request->cores,
	    .memory_mb = request->memory_mb,
	};
	bool fits = true;

	if (service->max_cores != 0)
		fits = request->cores <= service->max_cores;
	if (service->max_memory_mb != 0)
		fits = fits && request->memory_mb <= service->max_memory_mb;
	/*
	 * Without configured limits, the task must fit a worker that this entry
	 * knows.  With them it need not, since a larger worker may only be
	 * disconnected at the moment.
	 */
	if (service->max_cores == 0 && service->max_memory_mb == 0 &&
	    snapshot->service_live)
		fits = place_can_ever_run(snapshot->place, &task);
	if (!fits) {
		st_set(why, ST_LIMIT,
		    "a task of %u cores and %" PRIu64
		    " MB memory is larger than any worker of the service: "
		    "\"%s\"",
		    request->cores, request->memory_mb, request->service);
		return REF_CAN_NEVER_RUN;
	}
	if (!snapshot->service_live)
		return refuse(why, REF_NO_ENDPOINT,
		    "the service has no live endpoint", request->service);
	return REF_NONE;
}

static enum ref_code
check_limits(const struct admit *adm, const struct adm_snapshot *snapshot,
    const struct adm_request *request, struct status *why)
{
	const struct cfg_service *service =
	    cfg_service(snapshot->cfg, request->service);
	const struct cfg_team *team = cfg_team(snapshot->cfg, request->team);
	uint32_t queue = service->max_queue != 0 ? service->max_queue
						 : ADM_DEFAULT_MAX_QUEUED_TASKS;
	uint64_t n = request->n_tasks;

	if (snapshot->waiting + n > queue)
		return refuse(why, REF_QUEUE_FULL,
		    "the queue of the service is full", request->service);
	if (count_of(adm->services, request->service) + n >
	    share_of_quota(service->max_in_flight, snapshot->live_entries))
		return refuse(why, REF_SERVICE_LIMIT,
		    "the service is at its limit of tasks in flight",
		    request->service);
	if (count_of(adm->teams, request->team) + n >
	    share_of_quota(team->max_in_flight, snapshot->live_entries))
		return refuse(why, REF_TEAM_QUOTA,
		    "the team is at its quota of tasks in flight",
		    request->team);
	if (snapshot->expected_wait_ms >= request->deadline_ms)
		return refuse(why, REF_DEADLINE_TOO_SHORT,
		    "the expected wait is longer than the deadline allows",
		    request->service);
	return REF_NONE;
}

/*
 * Decides before any task is queued, so that callers can be told for every
 * refusal that the job did not run.
 */
enum ref_code
adm_check(const struct admit *adm, const struct adm_snapshot *snapshot,
    const struct adm_request *request, struct status *why)
{
	enum ref_code code = check_names(snapshot, request, why);

	if (code == REF_NONE)
		code = check_resources(snapshot, request, why);
	if (code == REF_NONE)
		code = check_limits(adm, snapshot, request, why);
	return code;
}
