#ifndef SP_CALLERS_H
#define SP_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/counters.h"
#include "process/status.h"
#include "process/trace.h"
#include "request/api.h"
#include "request/passing.h"

/*
 * HTTP listener for callers: submission ids, jobs, pass-through requests,
 * readiness, metrics and traces.
 */
struct http;

struct http_options {
	const char *listen; /* "ip:port"; port 0: any */
	struct api *api;    /* borrowed, as everything below */
	struct pass *pass;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	uint64_t max_body_bytes;
	uint32_t max_requests; /* in progress */
	/* Time for a request to arrive; 0: HL_RECEIVE_TIMEOUT_MS. */
	int64_t receive_ms;
	bool (*is_ready)(void *ctx);
	void *ctx;
};

/* Returns NULL and sets *st if the address can't be bound. */
struct http *http_new(const struct http_options *opts, struct status *st);
/* Closes every connection. */
void http_free(struct http *http);
uint16_t http_port(const struct http *http);
/* Returns the number of requests whose answer is not sent completely. */
uint32_t http_in_progress(const struct http *http);

#endif
