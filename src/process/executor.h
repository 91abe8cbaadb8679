#ifndef SP_EXECUTOR_H
#define SP_EXECUTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/announce.h"
#include "connection/wire_xdr.h"
#include "process/counters.h"
#include "process/trace.h"
#include "request/outcome.h"
#include "version/fresh.h"

/*
 * Executes starts at the endpoint: queues the starts that entries send, checks
 * for each one whether it may still run, calls the endpoint and records the
 * result.
 */
struct ex;

/* Called when there are results to send to this entry incarnation. */
typedef void (*ex_results_fn)(uint64_t entry, void *ctx);

/* Everything that the pointers refer to must outlive the executor. */
struct ex_options {
	const char *worker;
	const char *failure_domain;
	/* Tasks start only if the configuration was confirmed this recently. */
	int64_t freshness_ms;
	uint32_t max_queue;
	uint64_t max_answer_bytes;
	struct fresh *fresh;
	struct ann *ann;
	struct out *out;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	ex_results_fn on_results;
	void *ctx;
};

struct ex *ex_new(const struct ex_options *opts);
/* Drops queued tasks and cancels open calls; no results are recorded. */
void ex_free(struct ex *ex);

/*
 * Queues or refuses a batch of starts; takes over contents of args.  False
 * when there is no room left to record refusals: close the connection.
 */
bool ex_start(struct ex *ex, uint64_t entry, struct wire_start_args *args);
/*
 * Gives the listed starts that are still queued the outcome NOT_STARTED.
 * Running ones continue.
 */
void ex_withdraw(
    struct ex *ex, uint64_t entry, const struct wire_withdraw_args *args);
/*
 * Refuses from now on every start below args->next_seq that was not received
 * before.  Fills states with the state of each start in args->seqs.
 */
void ex_query(struct ex *ex, uint64_t entry, const struct wire_query_args *args,
    wire_state *states);
/* Gives all queued starts of an entry incarnation the outcome NOT_STARTED. */
void ex_return_queued(struct ex *ex, uint64_t entry);
/* Gives all queued starts the outcome NOT_STARTED and refuses new ones. */
void ex_drain(struct ex *ex);
/*
 * Starts queued tasks while slots are free, and gives those that may not run
 * any more the outcome NOT_STARTED.  Call it when the configuration was changed
 * or confirmed, and when the endpoint's announcement has changed.
 */
void ex_run_queue(struct ex *ex);
void ex_get_load(struct ex *ex, struct wire_load *load);
/* Number of open calls to the endpoint. */
uint32_t ex_running(const struct ex *ex);

#endif
