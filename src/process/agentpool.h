#ifndef SP_AGENTPOOL_H
#define SP_AGENTPOOL_H

#include "connection/worklink.h"
#include "process/counters.h"
#include "request/sched.h"
#include "request/work.h"
#include "version/keyspace.h"

/*
 * The agents that an entry works with: reads their registrations, chooses a
 * share of them, keeps a link to each and tells the scheduler about their
 * workers.
 */
struct agp;
struct agp_agent;

/* Receiver of what agents tell of cancelled jobs. */
struct agp_cancels {
	/*
	 * An agent passes cancels on; runs again with each of its messages.
	 * is_new: its process is another one than that of the last message.
	 */
	void (*relay_up)(uint64_t relay, bool is_new, void *ctx);
	/* The agent is not connected any more. */
	void (*relay_down)(uint64_t relay, void *ctx);
	void (*cancelled)(const struct run_cancelled_args *args, void *ctx);
	/* The answer to agp_tell_cancelled(). */
	void (*known)(uint64_t relay, const struct run_cancels_known_args *args,
	    void *ctx);
	void *ctx;
};

struct agp_options {
	const char *name;	    /* of the entry; outlives the pool */
	const char *failure_domain; /* of the entry; outlives the pool */
	uint64_t incarnation;
	const struct ks *ks;	       /* borrowed */
	struct ctr_registry *counters; /* borrowed */
	struct sch *sch;	       /* borrowed */
	/* Agents of a service that are chosen at least. */
	uint32_t n_chosen;
	bool interference; /* whether to use what agents measure of it */
	int64_t watch_ms;  /* longest wait of a watch at the store */
	/* Whether a failure domain is out of service. */
	bool (*is_out)(const char *failure_domain, void *ctx);
	void (*fill_heartbeat)(struct run_heartbeat_args *args, void *ctx);
	int64_t (*noticed_ms)(void *ctx);
	/* Runs after the scheduler was given an agent's free capacity. */
	void (*update)(const struct run_update_args *args, void *ctx);
	struct agp_cancels cancels;
	void (*store_state)(bool reachable, const struct status *st,
	    int64_t revision, void *ctx);
	void *ctx;
};

struct agp *agp_new(const struct agp_options *opts);
/* Frees the links; closes them first. */
void agp_free(struct agp *pool);

/* To be called every few tens of milliseconds. */
void agp_tick(struct agp *pool);
/* The failure domains out of service have changed. */
void agp_domains_changed(struct agp *pool);
/* Replaces all connections. */
void agp_reconnect(struct agp *pool, const char *why);
/*
 * Makes the pool connect to workers with the labels that the job's steps ask
 * for.  Returns true when there are such workers for each step.
 */
bool agp_want(struct agp *pool, const char *service, const struct wk_job *job);

/* Tells an agent, and by it other entries, of cancelled jobs. */
void agp_tell_cancelled(
    struct agp *pool, uint64_t relay, const run_cancelled *jobs, uint32_t n);
/* Number of agents that are registered. */
uint32_t agp_n_agents(const struct agp *pool);

struct wlk *agp_link(const struct agp_agent *agent);

#endif
