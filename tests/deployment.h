#ifndef SP_DEPLOYMENT_H
#define SP_DEPLOYMENT_H

#include "harness.h"

/*
 * Starts a deployment for the platform as real processes on 127.0.0.1:
 * entries, agents with one worker each, and standin_platform, which emulates
 * the platform's store and workers.
 */

#define DPL_ENTRIES 2
#define DPL_AGENTS  3

/* Network paths between the processes, each named client_server. */
enum dpl_path {
	DPL_CLIENTS_ENTRY, /* indexed by entry */
	DPL_ENTRY_STORE,   /* indexed by entry */
	DPL_AGENT_STORE,   /* indexed by agent */
	DPL_ENTRIES_AGENT, /* indexed by agent */
	DPL_N_PATHS
};

struct dpl_options {
	bool proxied; /* every path passes through the fault proxy */
	/* Further members of the settings of each process, or NULL. */
	const char *settings;
};

struct dpl {
	struct hn_proc *platform;
	struct hn_proc *proxy; /* NULL when not proxied */
	struct hn_proc *entry[DPL_ENTRIES];
	struct hn_proc *agent[DPL_AGENTS];
	uint16_t store_port;
	uint16_t proxy_port;
	uint16_t entry_port[DPL_ENTRIES];
	uint16_t agent_port[DPL_AGENTS];
	uint16_t control_port[DPL_AGENTS]; /* of the agents, for heartbeats */
	uint16_t entry_metrics_port;	   /* of entry 0 */
	uint16_t entry_ready_port;	   /* of entry 0 */
	uint16_t agent_metrics_port;	   /* of agent 0 */
	/* Ports that the clients of each path connect to. */
	uint16_t path[DPL_N_PATHS][DPL_AGENTS];
};

/* Starts all processes and waits until every entry completes a job. */
void dpl_start(struct dpl *dpl, const struct dpl_options *opts);
const char *dpl_url(const struct dpl *dpl, int entry, const char *path);
/*
 * Calls /control/PATH of standin_platform; tests/standin_platform.c lists the
 * paths.
 */
struct hn_http *dpl_control(const struct dpl *dpl, const char *method,
    const char *path, const char *body);
/* Writes a configuration with one queue to the store, as an operator does. */
void dpl_configure(const struct dpl *dpl, int version, const char *prefix);
/*
 * Returns true if the entry completes a job of 12 tasks, more than fit on one
 * worker.
 */
bool dpl_completes_job(const struct dpl *dpl, int entry);
/*
 * Lets the entry run a job of n tasks of 300 ms.  Returns how many of them ran
 * at the same time, or -1 if the job was not completed.
 */
int dpl_count_running(const struct dpl *dpl, int entry, int n);
/* A counter of standin_platform, by its name. */
int64_t dpl_count(const struct dpl *dpl, const char *name);
/* A metric of agent 0, by its name. */
int64_t dpl_agent_metric(const struct dpl *dpl, const char *name);
/* Sends jobs to entry 0, one after the other, each with a deadline of 1 s. */
void dpl_send_jobs(const struct dpl *dpl, const char *body, int64_t for_ms);
/* Kills all entries and agents at once, then starts them again. */
void dpl_restart_all(struct dpl *dpl);
/* Sets a fault proxy rule for a path; direction "" means both directions. */
void dpl_set_fault(const struct dpl *dpl, enum dpl_path path, int index,
    const char *direction, const char *action, int ms);
/* Sets a rule for the links of one entry to all agents. */
void dpl_set_entry_fault(const struct dpl *dpl, int entry,
    const char *direction, const char *action);

#endif
