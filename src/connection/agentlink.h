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
 * The entry's side of its agents.  An agent is known by its failure domain
 * and worker; it keeps its open starts while its connection is replaced.
 */
struct al_set;
struct al;

struct al_options {
	const char *cluster_key; /* borrowed, as everything below */
	const wire_member *self;
	const struct fresh *fresh;
	struct ctr_registry *counters;
	uint32_t max_agents;
	int64_t silence_ms; /* a QUERY is answered within this time */
	int64_t
	    outcome_timeout_ms; /* open starts of a lost agent become unknown */
	int64_t remove_after_ms; /* a lost agent is removed */
	uint64_t (*next_seq)(void *ctx);
	const wire_member *(*members)(size_t *n, uint64_t *digest, void *ctx);
	void (*up)(struct al *al, const struct place_worker *worker, void *ctx);
	void (*down)(struct al *al, void *ctx);
	void (*gone)(struct al *al, void *ctx); /* al is freed after this */
	void (*load)(struct al *al, const struct place_load *load,
	    uint32_t unseen, void *ctx);
	/* Runs once for each start, with the outcome. */
	void (*outcome)(struct al *al, const wire_result *result, void *ctx);
	void *ctx;
};

struct al_set *al_set_new(const struct al_options *opts);
/* Closes every connection; no callback runs. */
void al_set_free(struct al_set *set);
/*
 * Takes over a connection whose first call is a HELLO, or closes it.  Adds
 * its own reference when it keeps the connection.
 */
void al_accept(
    struct al_set *set, struct rpc_conn *conn, const struct rpc_call *hello);
void al_tick(struct al_set *set, int64_t now_ms);
uint32_t al_connected(const struct al_set *set);

/* False: nothing was sent and nothing is open. */
bool al_start(struct al *al, const wire_start *starts, size_t n);
void al_withdraw(struct al *al, const uint64_t *seqs, size_t n);
const char *al_name(const struct al *al);

#endif
