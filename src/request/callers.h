#ifndef SP_CALLERS_H
#define SP_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/counters.h"
#include "process/status.h"
#include "process/trace.h"
#include "request/api.h"
#include "request/passing.h"

/* The callers' HTTP listener. */
struct http;

struct http_options {
	const char *listen; /* "ip:port"; port 0: any */
	struct api *api;    /* borrowed, as everything below */
	struct pass *pass;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	uint64_t max_body_bytes;
	uint32_t max_requests; /* in progress */
	int64_t receive_ms;    /* of one request; 0: HL_RECEIVE_TIMEOUT_MS */
	bool (*is_ready)(void *ctx);
	void *ctx;
};

/* NULL, with the reason, when the address can't be used. */
struct http *http_new(const struct http_options *opts, struct status *st);
/* Closes every connection. */
void http_free(struct http *http);
uint16_t http_port(const struct http *http);
/* Requests that have no whole answer yet. */
uint32_t http_in_progress(const struct http *http);

#endif
