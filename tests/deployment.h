#ifndef SP_DEPLOYMENT_H
#define SP_DEPLOYMENT_H

#include "harness.h"

/*
 * The programs of the platform as real processes: entries, agents with one
 * worker each, and the stand-in for the platform, all on 127.0.0.1.
 */

#define DPL_ENTRIES 2
#define DPL_AGENTS  3

/* What the stand-in, entries and agents use to reach each other. */
enum dpl_path {
	DPL_CLIENTS_ENTRY, /* entry i */
	DPL_ENTRY_STORE,   /* entry i */
	DPL_AGENT_STORE,   /* agent i */
	DPL_ENTRIES_AGENT, /* agent i */
	DPL_N_PATHS
};

struct dpl_options {
	bool proxied; /* every path leads through the fault proxy */
};

struct dpl {
	struct hn_proc *platform;
	struct hn_proc *proxy; /* NULL: not proxied */
	struct hn_proc *entry[DPL_ENTRIES];
	struct hn_proc *agent[DPL_AGENTS];
	uint16_t store_port;
	uint16_t proxy_port;
	uint16_t entry_port[DPL_ENTRIES];
	uint16_t agent_port[DPL_AGENTS];
	uint16_t metrics_port;			/* of agent 0 */
	uint16_t path[DPL_N_PATHS][DPL_AGENTS]; /* near ports of the proxy */
};

/* Starts all and waits until every entry completes a job. */
void dpl_start(struct dpl *dpl, const struct dpl_options *opts);
const char *dpl_url(const struct dpl *dpl, int entry, const char *path);
/* The stand-in's own interface; tests/standin_platform.c lists the paths. */
struct hn_http *dpl_control(const struct dpl *dpl, const char *method,
    const char *path, const char *body);
/* The operator writes a configuration with one queue. */
void dpl_configure(const struct dpl *dpl, int version, const char *prefix);
/* Whether the entry completes a job with more tasks than one worker holds. */
bool dpl_completes_job(const struct dpl *dpl, int entry);
/* Sets a rule of the fault proxy for a path; direction "" is both. */
void dpl_set_fault(const struct dpl *dpl, enum dpl_path path, int index,
    const char *direction, const char *action, int ms);

#endif
