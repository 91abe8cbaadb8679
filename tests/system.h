#ifndef SP_SYSTEM_H
#define SP_SYSTEM_H

#include "harness.h"

/*
 * A small system of real processes: the store stand-in, entries, agents with
 * one endpoint each, and a fault proxy between all of them.  Entry and agent
 * i belong to failure domain i % domains ("domain-0" and so on).
 */

#define SYS_MAX	    96
#define SYS_SERVICE "desk"
#define SYS_TEAM    "blue"
/* No process starts work under an old configuration after this. */
#define SYS_CONFIG_BOUND_MS 5000

struct sys_options {
	int entries, agents, domains;
	int slots;		    /* of each endpoint; 0: 8 */
	bool direct;		    /* no proxy; far_ ports are the near ones */
	const char *entry_settings; /* ",\"key\":value..." or NULL */
	const char *agent_settings;
	const char *text; /* operators' text; NULL: one service, one team */
};

struct sys_entry {
	struct hn_proc *proc;
	const char *name, *domain;
	uint16_t listen, operators, rpc;
	uint16_t proxied_listen; /* caller's side of the proxy */
	uint16_t proxied_rpc;	 /* agents' and peers' side of the proxy */
	uint16_t proxied_store;	 /* this entry's way to the store */
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

/* Starts everything and waits until each entry reaches each endpoint. */
void sys_start(struct sys *sys, const struct sys_options *opts);
/* The two halves of it, for a text that is applied in another way. */
void sys_launch(struct sys *sys, const struct sys_options *opts);
void sys_wait_ready(struct sys *sys);
/* Starts n more agents; settings as of agent_settings, or NULL. */
void sys_add_agents(struct sys *sys, int n, const char *settings);
/* Submits a text as a new version; returns whether it was accepted. */
bool sys_apply(struct sys *sys, int entry, const char *text, int64_t expected);
/* Waits until a job of one entry completes again. */
bool sys_wait_job_completes(struct sys *sys, int entry, int64_t limit_ms);

/* Sets a rule of the proxy; pair is a far_ port, or 0 for all. */
void sys_set_proxy_rule(struct sys *sys, uint16_t pair, const char *query);
void sys_store_control(struct sys *sys, const char *control);
void sys_set_endpoint_mode(struct sys *sys, int agent, const char *query);

/* URLs; the far one leads through the proxy. */
const char *sys_url(struct sys *sys, int entry, const char *path);
const char *sys_proxied_url(struct sys *sys, int entry, const char *path);
const char *sys_ops_url(struct sys *sys, int entry, const char *path);

/* A new submission id of an entry. */
const char *sys_new_job_id(struct sys *sys, int entry);
/* A body of n tasks with this payload. */
const char *sys_body(int n, const char *payload);
/* Starts a submission that waits for the answer. */
struct hn_http *sys_submit(
    struct sys *sys, int entry, const char *id, const char *body);
/* Repeats the submission until an answer is final: not 202, 503 or none. */
struct hn_http *sys_submit_until_final(
    struct sys *sys, int entry, const char *id, const char *body);

/* The task id in the endpoint's answer at this place of the results. */
const char *sys_result_task(const struct hn_http *http, int index);

/* Starts of a job's tasks that the endpoints counted. */
struct sys_count {
	int total, tasks, most; /* most: of one task */
};
struct sys_count sys_job_starts(struct sys *sys, const char *id);
/* All starts at one endpoint. */
int64_t sys_endpoint_starts(struct sys *sys, int agent);

/* Takes a failure domain out or brings it back; returns the answer. */
struct hn_http *sys_set_domain_out(
    struct sys *sys, int entry, const char *domain, bool out);
int64_t sys_version(struct sys *sys, int entry); /* -1: no answer */
bool sys_is_out(struct sys *sys, int entry, const char *domain);
/* Whether the entry reports the version as in force everywhere. */
bool sys_in_force(struct sys *sys, int entry, int64_t version);

/* Callers that submit one job after the other until stopped. */
struct sys_load;
struct sys_load_counts {
	int complete, failed, not_run, unknown, none;
};
struct sys_load *sys_load_start(
    struct sys *sys, int entry, int callers, int n_tasks, const char *payload);
struct sys_load_counts sys_load_counts(const struct sys_load *load);
/* Lets the submissions in progress end; checks each start was counted once. */
struct sys_load_counts sys_load_stop(struct sys_load *load);

#endif
