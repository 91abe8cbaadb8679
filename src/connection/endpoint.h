#ifndef SP_ENDPOINT_H
#define SP_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/wire_xdr.h"
#include "process/status.h"

/*
 * HTTP calls to the endpoint beside this agent.  Each call uses a fresh
 * connection and is never sent twice.
 */
struct ep;

struct ep_options {
	uint64_t max_answer_bytes; /* at most WIRE_PAYLOAD_MAX */
};

/* One call.  Strings need to live only until ep_call() returns. */
struct ep_request {
	const char *address;	  /* "http://ip:port" */
	struct wire_start *start; /* its payload is taken over */
	int64_t deadline_ms;	  /* CLOCK_BOOTTIME, to the whole answer */
	int64_t start_by_ns;	  /* CLOCK_BOOTTIME, not sent after this */
	const char *traceparent;
};

/*
 * Runs once for each call, never from within ep_call().  NOT_STARTED means
 * that no byte was written.  The contents of result belong to the callee.
 */
typedef void (*ep_done_fn)(struct wire_result *result, void *ctx);

struct ep *ep_new(const struct ep_options *opts);
/* Calls still open are cancelled; their callbacks do not run. */
void ep_free(struct ep *ep);
void ep_call(struct ep *ep, const struct ep_request *request, ep_done_fn done,
    void *ctx);
/* Whether an address has the form "http://host:port". */
bool ep_address_is_valid(const char *address);

#endif
