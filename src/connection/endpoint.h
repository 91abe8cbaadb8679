#ifndef SP_ENDPOINT_H
#define SP_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "process/status.h"

/*
 * HTTP client for the endpoint beside this agent.  Each call uses a new
 * connection and is never sent twice.
 */
struct ep;

struct ep_options {
	uint64_t max_answer_bytes; /* at most WIRE_PAYLOAD_MAX */
};

/* One call.  Strings need to live only until ep_call() returns. */
struct ep_request {
	const char *address;	  /* "http://ip:port" */
	struct wire_start *start; /* the call takes over its payload */
	int64_t deadline_ms;	  /* CLOCK_BOOTTIME, for the complete answer */
	int64_t start_by_ns;	  /* CLOCK_BOOTTIME, not sent after this */
	const char *traceparent;
};

/*
 * Runs once for each call, but never within ep_call(): with the complete
 * answer, when none can arrive any more, or at the deadline.  The outcome
 * NOT_STARTED means that no byte was sent, or that the endpoint answered that
 * it did not run the task.  The callee owns the contents of result.
 */
typedef void (*ep_done_fn)(struct wire_result *result, void *ctx);

struct ep *ep_new(const struct ep_options *opts);
/* Cancels open calls without running their callbacks. */
void ep_free(struct ep *ep);
void ep_call(struct ep *ep, const struct ep_request *request, ep_done_fn done,
    void *ctx);
/* Whether address is an "http://host:port" URL without any other part. */
bool ep_address_is_valid(const char *address);

#endif
