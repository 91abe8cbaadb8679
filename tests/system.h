#ifndef SP_SYSTEM_H
#define SP_SYSTEM_H

#include "harness.h"

/*
 * A small system of real processes: standin_store, entries, agents with one
 * endpoint each, and a fault proxy in front of the entries and the store.
 * Entry i and agent i belong to failure domain i % domains ("domain-0" and so
 * on).
 */

#define SYS_MAX	    96
#define SYS_SERVICE "desk"
#define SYS_TEAM    "blue"
/* Time after a change until no process starts work under the old version. */
#define SYS_CONFIG_BOUND_MS 5000

struct sys_options {
	int entries, agents, domains;
	int slots;   /* of each endpoint; 0 means 8 */
	bool direct; /* no proxy; proxied_* are the direct ports */
	/* Further JSON members, ",\"key\":value...", or NULL. */
	const char *entry_settings;
	const char *agent_settings;
	const char *text; /* configuration; NULL: one service, one team */
};

struct sys_entry {
	struct hn_proc *proc;
	const char *name, *domain;
	uint16_t listen, operators, rpc;
	uint16_t proxied_listen; /* proxy port for callers */
	uint16_t proxied_rpc;	 /* proxy port for agents and other entries */
	uint16_t proxied_store;	 /* proxy port for this entry's store calls */
};

struct sys_agent {
	struct hn_proc *proc, *endpoint;
	const char *name, *domain;
	uint16_t listen, endpoint_port;
};

struct sys {
	struct sys_options opts;
	struct hn_proc *store, *proxy;
	uint16_t store_port, store_control, proxy_control;
	struct sys_entry entry[SYS_MAX];
	struct sys_agent agent[SYS_MAX];
	const char *text;
};

/*
 * Starts all processes, applies the configuration and waits until each entry
 * reaches each endpoint.
 */
void sys_start(struct sys *sys, const struct sys_options *opts);
/*
 * The steps of sys_start() before and after the configuration is applied, for
 * tests that apply it themselves.
 */
void sys_launch(struct sys *sys, const struct sys_options *opts);
void sys_wait_ready(struct sys *sys);
/* Starts n more agents; settings as in sys_options.agent_settings, or NULL. */
void sys_add_agents(struct sys *sys, int n, const char *settings);
/*
 * Submits a configuration text that replaces the version "expected", 0 for the
 * first.  Returns true if it was accepted.
 */
bool sys_apply(struct sys *sys, int entry, const char *text, int64_t expected);
/* Submits jobs of one task until one completes; false on time-out. */
bool sys_wait_job_completes(struct sys *sys, int entry, int64_t limit_ms);

/*
 * Sets a rule of the fault proxy for one of an entry's proxied_* ports, or for
 * all if port is 0.  An invalid rule aborts the test.
 */
void sys_set_proxy_rule(struct sys *sys, uint16_t port, const char *query);
/* Calls /control/CONTROL of standin_store. */
void sys_store_control(struct sys *sys, const char *control);
/* Sets the failure mode of an agent's endpoint. */
void sys_set_endpoint_mode(struct sys *sys, int agent, const char *query);

/* URLs of an entry; only sys_proxied_url() passes through the proxy. */
const char *sys_url(struct sys *sys, int entry, const char *path);
const char *sys_proxied_url(struct sys *sys, int entry, const char *path);
const char *sys_ops_url(struct sys *sys, int entry, const char *path);

/* Gets a new job id from an entry; "none", which is invalid, on failure. */
const char *sys_new_job_id(struct sys *sys, int entry);
/* Returns the body of a job of n tasks that all have this payload. */
const char *sys_body(int n, const char *payload);
/* Starts a submission with wait_ms=20000, bypassing the proxy. */
struct hn_http *sys_submit(
    struct sys *sys, int entry, const char *id, const char *body);
/* Resubmits until the answer is final: neither 202, 503 nor a failed call. */
struct hn_http *sys_submit_until_final(
    struct sys *sys, int entry, const char *id, const char *body);

/* Returns the task id that the endpoint put into the result at the index. */
const char *sys_result_task(const struct hn_http *http, int index);

/* Starts of a job's tasks, summed over all endpoints that answer. */
struct sys_count {
	int total, tasks, most; /* most: maximum for one task */
};
struct sys_count sys_job_starts(struct sys *sys, const char *id);
/* Returns the count of all starts at one endpoint, -1 when it is down. */
int64_t sys_endpoint_starts(struct sys *sys, int agent);

/* Takes a failure domain out of service or puts it back in. */
struct hn_http *sys_set_domain_out(
    struct sys *sys, int entry, const char *domain, bool out);
int64_t sys_version(struct sys *sys, int entry); /* -1 if unavailable */
/* Returns true if the entry's configuration has the domain out of service. */
bool sys_is_out(struct sys *sys, int entry, const char *domain);
/* Returns true if the entry reports the version as in force everywhere. */
bool sys_in_force(struct sys *sys, int entry, int64_t version);

/* Concurrent callers, each of which submits jobs one after the other. */
struct sys_load;
struct sys_load_counts {
	int complete, failed, not_run, unknown, none; /* none: no answer */
};
/* Submits at most 1000 jobs in all, through one entry. */
struct sys_load *sys_load_start(
    struct sys *sys, int entry, int callers, int n_tasks, const char *payload);
struct sys_load_counts sys_load_counts(const struct sys_load *load);
/*
 * Stops submitting, waits for outstanding answers and frees the load.  Checks
 * that no endpoint started a task twice and, for every 17th complete job, that
 * no two endpoints started the same task.
 */
struct sys_load_counts sys_load_stop(struct sys_load *load);

#endif
