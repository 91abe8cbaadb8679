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
 * Takes starts from entries, queues them, makes the checks at the moment of
 * each start, calls the endpoint and records the results.
 */
struct ex;

/* Results for this entry incarnation wait to be sent. */
typedef void (*ex_results_fn)(uint64_t entry, void *ctx);

/* Everything referred to outlives the executor. */
struct ex_options {
	const char *worker;
	const char *failure_domain;
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
/* Queued tasks are dropped and open calls cancelled. */
void ex_free(struct ex *ex);

/* Takes contents of args; false: no room for refusals, close the connection. */
bool ex_start(struct ex *ex, uint64_t entry, struct wire_start_args *args);
void ex_withdraw(
    struct ex *ex, uint64_t entry, const struct wire_withdraw_args *args);
void ex_query(struct ex *ex, uint64_t entry, const struct wire_query_args *args,
    wire_state *states);
/* Returns the queued starts of an entry incarnation as not started. */
void ex_drop(struct ex *ex, uint64_t entry);
/* From now on no task starts. */
void ex_drain(struct ex *ex);
/* Starts what can start; call after a change of the conditions. */
void ex_pump(struct ex *ex);
void ex_load(struct ex *ex, struct wire_load *load);
uint32_t ex_running(const struct ex *ex);

#endif
