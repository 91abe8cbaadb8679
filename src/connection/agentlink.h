#ifndef SP_AGENTLINK_H
#define SP_AGENTLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/rpc.h"
#include "connection/wire_xdr.h"
#include "process/counters.h"
#include "request/place.h"
#include "version/fresh.h"

/*
 * The agents that are connected to this entry.  An agent is identified by its
 * failure domain and worker.  It keeps its open starts, those without an
 * outcome, over a reconnection.
 */
struct al_set;
struct al;

struct al_options {
	const char *cluster_key; /* borrowed, as are all pointers below */
	const wire_member *self; /* this entry */
	const struct fresh *fresh;
	struct ctr_registry *counters;
	uint32_t max_agents;
	int64_t silence_ms; /* the connection closes if a QUERY takes longer */
	/*
	 * Open starts get the outcome UNKNOWN when the agent has no connection
	 * for this long, or when the result of a start that it reported as
	 * DONE in reply to a QUERY does not arrive within this time.
	 */
	int64_t outcome_timeout_ms;
	int64_t remove_after_ms; /* an agent without a connection is removed */
	uint64_t (*next_seq)(void *ctx);
	/* The list of entries, with a digest of it. */
	const wire_member *(*members)(size_t *n, uint64_t *digest, void *ctx);
	/* Runs at HELLO and each heartbeat if the agent has an endpoint. */
	void (*up)(struct al *al, const struct place_worker *worker, void *ctx);
	/* Runs at HELLO and each heartbeat if it has none, and at a close. */
	void (*down)(struct al *al, void *ctx);
	/* The agent is removed; al is freed after this. */
	void (*gone)(struct al *al, void *ctx);
	/* unseen: open starts that the agent has not received yet. */
	void (*load)(struct al *al, const struct place_load *load,
	    uint32_t unseen, void *ctx);
	/* Runs once for each start that al_start() has sent. */
	void (*outcome)(struct al *al, const wire_result *result, void *ctx);
	void *ctx;
};

struct al_set *al_set_new(const struct al_options *opts);
/* Closes every connection without running callbacks. */
void al_set_free(struct al_set *set);
/*
 * Takes over a connection whose first call is a valid HELLO, with its own
 * reference; closes any other connection.
 */
void al_accept(
    struct al_set *set, struct rpc_conn *conn, const struct rpc_call *hello);
/* To be called periodically; applies outcome_timeout_ms and remove_after_ms. */
void al_tick(struct al_set *set, int64_t now_ms);
uint32_t al_connected(const struct al_set *set);

/*
 * Sends starts in one message.  False: none was sent, and outcome() will not
 * run for them.
 */
bool al_start(struct al *al, const wire_start *starts, size_t n);
/*
 * Asks the agent to return starts that it has not begun.  The request is
 * repeated if a QUERY after a reconnection still finds them queued.
 */
void al_withdraw(struct al *al, const uint64_t *seqs, size_t n);
/* "<failure domain>/<worker>", owned by the agent. */
const char *al_name(const struct al *al);

#endif
