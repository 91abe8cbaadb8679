#ifndef SP_API_H
#define SP_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/counters.h"
#include "process/trace.h"
#include "request/admit.h"
#include "request/dispatch.h"
#include "request/ident.h"
#include "request/job.h"
#include "request/jobform.h"
#include "request/refusal.h"

/*
 * Callers' requests about jobs: submit, query and cancel.  They come over HTTP
 * to this entry or forwarded by another entry.
 */
struct api;

/* Strings and body must stay valid until api_handle() returns. */
struct api_request {
	const char *method; /* PUT, GET or DELETE */
	const char *id;
	int64_t wait_ms;
	const void *body;
	size_t body_len;
	const char *traceparent; /* may be NULL */
	bool forwarded; /* came from another entry; not forwarded again */
};

/* Runs exactly once unless cancelled; body is valid only while it runs. */
typedef void (*api_answer_fn)(
    uint32_t status, const char *body, size_t len, void *ctx);
struct api_call;

/* Availability of the entry that issued a submission id and owns its job. */
enum api_owner {
	API_OWNER_HERE,
	API_OWNER_REACHABLE,
	API_OWNER_UNREACHABLE, /* not connected, but may still run */
	API_OWNER_GONE	       /* has exited; its job records are lost */
};

struct api_options {
	struct ident *ids; /* borrowed, as everything below */
	struct job_table *jobs;
	struct dispatch *dispatch;
	struct admit *admit;
	struct retry *retry;
	struct ctr_registry *counters;
	struct trc_ring *traces;
	struct jf_limits limits;
	/* Fills in the state for an admission decision about a service. */
	void (*snapshot)(
	    const char *service, struct adm_snapshot *snapshot, void *ctx);
	enum api_owner (*owner)(uint64_t incarnation, void *ctx);
	/* Returns false and never runs fn if the request was not sent. */
	bool (*forward)(uint64_t incarnation, const struct api_request *request,
	    api_answer_fn fn, void *fn_ctx, void *ctx);
	void *ctx;
};

#define API_MAX_WAIT_MS 300000

struct api *api_new(const struct api_options *opts);
void api_free(struct api *api);
void api_close(struct api *api);
bool api_is_closed(const struct api *api);

/*
 * Returns NULL if fn ran already; otherwise a call that may be passed to
 * api_cancel() until fn runs.
 */
struct api_call *api_handle(struct api *api, const struct api_request *request,
    api_answer_fn fn, void *ctx);
/* Returns true if no job with this id can have started at any entry. */
bool api_is_unused(const struct api *api, const char *id);
/* The caller disconnected: fn will not run, but the job goes on. */
void api_cancel(struct api_call *call);
/* Returns new submission ids as JSON, to be freed with g_free(). */
char *api_mint_ids(struct api *api, uint32_t count);

/*
 * Admits and queues a job.  spec->deadline_ms is the remaining time and is
 * made absolute here; request has the service and team of spec.  On REF_NONE
 * the caller owns a reference to *job; otherwise *job is NULL and *why is set.
 */
enum ref_code api_submit(struct api *api, struct job_spec *spec,
    const struct adm_request *request, struct job **job, struct status *why);
/* The dispatcher calls this once when a submitted job has ended. */
void api_job_ended(struct api *api, struct job *job);

#endif
