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
 * What callers can ask about jobs, apart from how they ask: by HTTP here, or
 * through another entry.
 */
struct api;

/* Strings are borrowed until the request is answered or returns. */
struct api_request {
	const char *method; /* PUT, GET or DELETE */
	const char *id;
	int64_t wait_ms;
	const void *body;
	size_t body_len;
	const char *traceparent; /* may be NULL */
	bool forwarded;		 /* by another entry; not forwarded again */
};

/* Runs exactly once unless cancelled; body is valid during the call. */
typedef void (*api_answer_fn)(
    uint32_t status, const char *body, size_t len, void *ctx);
struct api_call;

enum api_owner {
	API_OWNER_HERE,
	API_OWNER_REACHABLE,
	API_OWNER_UNREACHABLE,
	API_OWNER_GONE
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
	void (*snapshot)(
	    const char *service, struct adm_snapshot *snapshot, void *ctx);
	enum api_owner (*owner)(uint64_t incarnation, void *ctx);
	/* Returns false, without an answer, when nothing was sent. */
	bool (*forward)(uint64_t incarnation, const struct api_request *request,
	    api_answer_fn fn, void *fn_ctx, void *ctx);
	void *ctx;
};

#define API_MAX_WAIT_MS 300000

struct api *api_new(const struct api_options *opts);
void api_free(struct api *api);
/* Refuses new work from now on. */
void api_close(struct api *api);
bool api_is_closed(const struct api *api);

/* NULL: answered already; else api_cancel() is allowed until the answer. */
struct api_call *api_handle(struct api *api, const struct api_request *request,
    api_answer_fn fn, void *ctx);
/* The caller went away; its job goes on. */
/* Whether nothing with this id can have started, at any entry. */
bool api_is_unused(const struct api *api, const char *id);
void api_cancel(struct api_call *call);
/* Mints ids; the caller frees the JSON with g_free(). */
char *api_mint_ids(struct api *api, uint32_t count);

/*
 * Admits and queues a job.  spec->deadline_ms is relative; request gives the
 * same service and team.  REF_NONE: *job is set, with a reference.
 */
enum ref_code api_submit(struct api *api, struct job_spec *spec,
    const struct adm_request *request, struct job **job, struct status *why);
/* For the dispatcher: a submitted job has ended. */
void api_job_ended(struct api *api, struct job *job);

#endif
