#ifndef SP_SETTINGS_H
#define SP_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"

/* What clients may take, of which most defaults are shares of the resources. */
struct set_limits {
	int64_t memory_mb; /* of the process */
	uint32_t max_fds;  /* of the process; 0: as many as the system allows */
	/* On accepted connections; 0: a share of the above. */
	uint32_t max_connections;
	int64_t max_incomplete_kb; /* of requests that are not whole */
	int64_t max_whole_kb;	   /* of whole requests until their end */
	int64_t max_unsent_kb;	   /* of answers that are not read */
	int64_t max_json_kb;	   /* of one document once it is parsed */
	int64_t header_timeout_ms; /* for a whole head */
	int64_t body_timeout_ms;   /* from there to a whole body */
	int64_t idle_timeout_ms;   /* between requests */
	int64_t send_timeout_ms;   /* without a byte of an answer being taken */
};

/* Settings of spentryd.  Strings and arrays are owned by the struct. */
struct set_entry {
	char *name;
	char *failure_domain;
	char *region;
	char *listen;		/* "ip:port", HTTP for callers */
	char *operator_listen;	/* "ip:port", HTTP for operators */
	char *rpc_listen;	/* "ip:port", RPC for agents, peers */
	char *rpc_address;	/* advertised; default rpc_listen */
	char *operator_address; /* advertised; default operator_listen */
	char *store;		/* "http://ip:port" */
	char *cluster_key;
	char **peers; /* rpc seed addresses, NULL-terminated; may be empty */
	char *log_level;
	char *policy; /* placement policy, see docs/POLICY.md */
	/*
	 * Tasks start only within this time after the configuration was
	 * confirmed as current.
	 */
	int64_t freshness_ms;
	int64_t store_poll_ms;
	int64_t members_poll_ms;
	int64_t lease_s;
	int64_t store_timeout_ms;
	int64_t silence_ms; /* input timeout after which a connection closes */
	int64_t job_retention_s;
	int64_t drain_timeout_ms;
	uint32_t max_jobs;
	uint32_t max_tasks; /* in one job */
	uint64_t max_answer_bytes;
	uint64_t max_body_bytes;
	uint32_t agent_queue; /* limit of tasks sent beyond an agent's slots */
	uint32_t trace_spans;
	struct set_limits limits;
};

/* Settings of spagentd.  Strings and arrays are owned by the struct. */
struct set_agent {
	char *worker;
	char *failure_domain;
	char *region;
	char *rack;
	char *listen;	/* "ip:port", local HTTP */
	char **entries; /* rpc seed addresses, NULL-terminated */
	char *cluster_key;
	char *log_level;
	/*
	 * Tasks start only within this time after the configuration was
	 * confirmed as current.
	 */
	int64_t freshness_ms;
	int64_t heartbeat_ms;
	int64_t silence_ms; /* input timeout after which a connection closes */
	int64_t drain_timeout_ms;
	uint32_t entry_connections;
	uint32_t max_queue; /* starts queued for a slot */
	uint64_t max_answer_bytes;
	uint32_t trace_spans;
	struct set_limits limits;
};

/*
 * Settings of spjobd, as an entry or as an agent.  Strings are owned by the
 * struct; members that the role does not use are NULL or 0.
 */
struct set_job {
	char *name;
	char *failure_domain;
	char *listen; /* "ip:port"; entry: for callers, agent: for entries */
	char *ready_listen;   /* entry: "ip:port", readiness check */
	char *worker_listen;  /* agent: "ip:port", the worker's heartbeats */
	char *advertise;      /* agent: address for entries; NULL: listen */
	char *metrics_listen; /* "ip:port" */
	char *store;	      /* "ip:port" */
	int64_t lease_ms;     /* longest lease that a worker grants */
	int64_t worker_heartbeat_ms; /* interval of the worker's heartbeats */
	int64_t drain_ms;	     /* longest time of a graceful shutdown */
	/*
	 * Run time assumed outside the preferred rack, where a task's data is,
	 * in percent of the run time inside it.
	 */
	int64_t cross_rack_percent;
	uint32_t cancelled_jobs; /* that are remembered */
	uint32_t agent_connections;
	/* Placement by objective, see docs/platform.md. */
	bool order_by_objective;
	bool wait_for_faster;
	bool learn_distributions;
	bool refuse_by_wait;
	int64_t startup_wait_ms;
	bool interference;	 /* between queues on a worker: measure, use */
	uint32_t max_open_tasks; /* entry: of all open jobs */
	uint32_t max_runs;	 /* of an agent at a time */
	uint32_t max_queued_starts; /* agent: of all entries */
	uint32_t log_lines_per_s;   /* of each event type */
	struct set_limits limits;
};

/* NULL on error; st names the file, line, key and the expected value. */
struct set_entry *set_entry_load(const char *path, struct status *st);
struct set_agent *set_agent_load(const char *path, struct status *st);
struct set_job *set_job_entry_load(const char *path, struct status *st);
struct set_job *set_job_agent_load(const char *path, struct status *st);
void set_entry_free(struct set_entry *set);
void set_agent_free(struct set_agent *set);
void set_job_free(struct set_job *set);

#endif
