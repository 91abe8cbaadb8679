#include <string.h>

#include "process/clock.h"
#include "request/api.h"

/* Limit of wire_peer_job_args.body. */
#define MAX_FORWARDED_BODY_BYTES 4194304

struct api {
	struct api_options opts;
	bool closed;
	int64_t *submitted, *resubmitted, *complete, *failed, *forwarded;
	int64_t *tasks_in_flight;
};

struct api_call {
	struct api *api;
	api_answer_fn fn; /* NULL after api_cancel() of a forwarded call */
	void *ctx;
	struct job *job; /* NULL for a forwarded call */
	uint64_t waiter; /* of job_wait(); 0: none */
	guint timer;	 /* limits the wait */
	bool cancels;	 /* DELETE: a cancelled job is answered 200 or 202 */
	struct trc_context span;
	int64_t start_wall_us;
	int64_t start_ns;
	const char *span_name;
};

struct api *
api_new(const struct api_options *opts)
{
	struct api *api = g_new0(struct api, 1);
	struct ctr_registry *reg = opts->counters;

	api->opts = *opts;
	api->submitted =
	    ctr_counter(reg, "sp_jobs_submitted_total", "jobs admitted");
	api->resubmitted = ctr_counter(reg, "sp_jobs_resubmitted_total",
	    "submissions of an id that had a record already");
	api->complete = ctr_counter(
	    reg, "sp_jobs_ended_total{state=\"complete\"}", "jobs ended");
	api->failed = ctr_counter(
	    reg, "sp_jobs_ended_total{state=\"failed\"}", "jobs ended");
	api->forwarded = ctr_counter(reg, "sp_jobs_forwarded_total",
	    "requests sent to the entry that owns the job");
	api->tasks_in_flight = ctr_gauge(
	    reg, "sp_tasks_in_flight", "tasks of jobs that have not ended");
	return api;
}

/* Calls in progress must have been cancelled. */
void
api_free(struct api *api)
{
	g_free(api);
}

/* Refuses new jobs from now on; requests about known jobs are answered. */
void
api_close(struct api *api)
{
	api->closed = true;
}

bool
api_is_closed(const struct api *api)
{
	return api->closed;
}

/* Returns {"ids":[...]}. */
char *
api_mint_ids(struct api *api, uint32_t count)
{
	GString *out = g_string_new("{\"ids\":[");
	char id[ID_LEN + 1];
	uint32_t i;

	for (i = 0; i < count; i++) {
		id_mint(api->opts.ids, id);
		g_string_append_printf(out, "%s\"%s\"", i == 0 ? "" : ",", id);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

static void
free_call(struct api_call *call)
{
	if (call->timer != 0)
		g_source_remove(call->timer);
	if (call->job != NULL) {
		job_unwait(call->job, call->waiter);
		job_unref(call->job);
	}
	g_free(call);
}

static void
deliver(struct api_call *call, uint32_t status, const char *body, size_t len)
{
	trc_finish(call->api->opts.traces, &call->span, call->span_name,
	    call->start_wall_us, (clk_now_ns() - call->start_ns) / 1000,
	    status < 400, NULL);
	if (call->fn != NULL)
		call->fn(status, body, len, call->ctx);
	free_call(call);
}

static void
refuse(struct api_call *call, enum ref_code code, const char *message)
{
	char *body = ref_json(code, message);

	deliver(call, ref_http_status(code), body, strlen(body));
	g_free(body);
}

static void
answer_job(struct api_call *call)
{
	char next_id[ID_LEN + 1];
	uint32_t status;
	GString *body;

	id_mint(call->api->opts.ids, next_id);
	body = jf_answer(call->job, next_id, &status);
	if (call->cancels && job_cause(call->job) == JOB_CAUSE_CANCELLED)
		status = job_is_finished(call->job) ? 200 : 202;
	job_set_delivered(call->job);
	deliver(call, status, body->str, body->len);
	g_string_free(body, TRUE);
}

static void
on_job_done(struct job *job, void *ctx)
{
	(void)job;
	answer_job(ctx);
}

static gboolean
on_wait_timeout(gpointer data)
{
	struct api_call *call = data;

	call->timer = 0;
	answer_job(call);
	return G_SOURCE_REMOVE;
}

/*
 * Answers when the job has finished or after wait_ms; at once, returning NULL,
 * if wait_ms is 0, the job has finished or it has too many waiters.
 */
static struct api_call *
wait_for_job(struct api_call *call, struct job *job, int64_t wait_ms)
{
	call->job = job_ref(job);
	if (wait_ms > 0)
		call->waiter = job_wait(job, on_job_done, call);
	if (call->waiter == 0) {
		answer_job(call);
		return NULL;
	}
	call->timer = g_timeout_add((guint)wait_ms, on_wait_timeout, call);
	return call;
}

/* A refused job leaves no record. */
enum ref_code
api_submit(struct api *api, struct job_spec *spec,
    const struct adm_request *request, struct job **job, struct status *why)
{
	struct adm_snapshot snapshot;
	enum ref_code code;
	int64_t now_ms = clk_now_ms();
	enum job_put put;

	*job = NULL;
	if (api->closed) {
		st_set(why, ST_UNAVAILABLE, "this entry is shutting down");
		return REF_SHUTTING_DOWN;
	}
	api->opts.snapshot(request->service, &snapshot, api->opts.ctx);
	code = adm_check(api->opts.admit, &snapshot, request, why);
	if (code != REF_NONE)
		return code;
	spec->deadline_ms += now_ms;
	put = job_put(api->opts.jobs, spec, job);
	if (put == JOB_EXPIRED) {
		st_set(why, ST_NOT_FOUND, "the id has expired");
		return REF_EXPIRED;
	}
	if (put != JOB_CREATED) {
		st_set(why, ST_LIMIT, "this entry holds too many jobs");
		return REF_TOO_MANY_JOBS;
	}
	job_ref(*job);
	adm_acquire(api->opts.admit, spec->service, spec->team, spec->n_tasks);
	rty_count_request(api->opts.retry);
	(*api->submitted)++;
	*api->tasks_in_flight += spec->n_tasks;
	dsp_submit(api->opts.dispatch, *job);
	return REF_NONE;
}

/* Releases the tasks of a job from the quotas and counts its result. */
void
api_job_ended(struct api *api, struct job *job)
{
	adm_release(
	    api->opts.admit, job_service(job), job_team(job), job_n_tasks(job));
	*api->tasks_in_flight -= job_n_tasks(job);
	if (job_state(job) == JOB_COMPLETE)
		(*api->complete)++;
	else
		(*api->failed)++;
}

/* identity has only the id, the counter in the id and the body's digest set. */
static struct api_call *
submit_form(struct api_call *call, const struct api_request *request,
    const struct jf_submission *form, const struct job_spec *identity)
{
	char traceparent[TRC_PARENT_LEN + 1];
	struct adm_request admission = {
	    .service = form->service,
	    .team = form->team,
	    .n_tasks = form->n_tasks,
	    .cores = form->max_cores,
	    .memory_mb = form->max_memory_mb,
	    .deadline_ms = form->deadline_ms,
	};
	struct job_spec spec = *identity;
	struct status why;
	enum ref_code code;
	struct job *job;

	trc_format_traceparent(&call->span, traceparent);
	spec.traceparent = traceparent;
	spec.service = form->service;
	spec.team = form->team;
	spec.deadline_ms = form->deadline_ms;
	spec.tasks = form->tasks;
	spec.n_tasks = form->n_tasks;
	code = api_submit(call->api, &spec, &admission, &job, &why);
	if (code != REF_NONE) {
		refuse(call, code, why.message);
		return NULL;
	}
	call = wait_for_job(call, job, request->wait_ms);
	job_unref(job);
	return call;
}

static void
digest_body(const struct api_request *request, uint8_t *digest)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = JOB_DIGEST_BYTES;

	g_checksum_update(sum, request->body, (gssize)request->body_len);
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
}

static struct api_call *
put_job(
    struct api_call *call, const struct api_request *request, uint64_t counter)
{
	struct api *api = call->api;
	struct job_spec spec = {.id = request->id, .counter = counter};
	struct jf_submission *form;
	struct status why;
	enum ref_code code;

	digest_body(request, spec.digest);
	switch (job_peek(api->opts.jobs, spec.id, counter, spec.digest)) {
	case JOB_SAME:
		(*api->resubmitted)++;
		return wait_for_job(
		    call, job_find(api->opts.jobs, spec.id), request->wait_ms);
	case JOB_CONFLICT:
		refuse(call, REF_CONFLICT,
		    "the id was submitted before with another body");
		return NULL;
	case JOB_EXPIRED:
		refuse(call, REF_EXPIRED, "the record of this id was dropped");
		return NULL;
	default:
		break;
	}
	code = jf_parse(
	    request->body, request->body_len, &api->opts.limits, &form, &why);
	if (code != REF_NONE) {
		refuse(call, code, why.message);
		return NULL;
	}
	call = submit_form(call, request, form, &spec);
	jf_free(form);
	return call;
}

static struct api_call *
handle_own_job(
    struct api_call *call, const struct api_request *request, uint64_t counter)
{
	struct api *api = call->api;
	struct job *job;

	if (strcmp(request->method, "PUT") == 0)
		return put_job(call, request, counter);
	call->cancels = strcmp(request->method, "DELETE") == 0;
	if (!call->cancels && strcmp(request->method, "GET") != 0) {
		refuse(call, REF_METHOD_NOT_ALLOWED,
		    "expected PUT, GET or DELETE");
		return NULL;
	}
	job = job_find(api->opts.jobs, request->id);
	if (job == NULL) {
		if (counter < id_low_water(api->opts.ids))
			refuse(call, REF_EXPIRED,
			    "the record of this id was dropped");
		else
			refuse(call, REF_NOT_FOUND,
			    "nothing was submitted with this id");
		return NULL;
	}
	job_ref(job);
	if (call->cancels)
		dsp_cancel(api->opts.dispatch, job, clk_now_ms());
	call = wait_for_job(call, job, request->wait_ms);
	job_unref(job);
	return call;
}

static void
on_forwarded(uint32_t status, const char *body, size_t len, void *ctx)
{
	struct api_call *call = ctx;

	if (status == 0)
		refuse(call, REF_OWNER_UNREACHABLE,
		    "the entry that owns this id did not answer; ask again");
	else
		deliver(call, status, body, len);
}

static void
answer_owner_gone(struct api_call *call, const char *id)
{
	char next_id[ID_LEN + 1];
	char *body;

	id_mint(call->api->opts.ids, next_id);
	body = g_strdup_printf(
	    "{\"id\":\"%s\",\"state\":\"failed\","
	    "\"error\":\"%s\",\"ran\":\"%s\",\"message\":\"the entry that "
	    "owned this id is gone\",\"next_id\":\"%s\"}",
	    id, ref_name(REF_OWNER_GONE), ref_ran(REF_OWNER_GONE), next_id);
	deliver(call, ref_http_status(REF_OWNER_GONE), body, strlen(body));
	g_free(body);
}

static struct api_call *
handle_job_of_other_entry(struct api_call *call,
    const struct api_request *request, uint64_t incarnation)
{
	struct api *api = call->api;
	enum api_owner owner = api->opts.owner(incarnation, api->opts.ctx);

	call->span_name = "peer";
	if (owner == API_OWNER_GONE) {
		answer_owner_gone(call, request->id);
		return NULL;
	}
	if (request->body_len > MAX_FORWARDED_BODY_BYTES) {
		refuse(call, REF_FORWARD_TOO_LARGE,
		    "the body is too large for another entry");
		return NULL;
	}
	if (owner == API_OWNER_REACHABLE && !request->forwarded) {
		struct api_request copy = *request;
		char traceparent[TRC_PARENT_LEN + 1];

		trc_format_traceparent(&call->span, traceparent);
		copy.traceparent = traceparent;
		if (api->opts.forward(incarnation, &copy, on_forwarded, call,
			api->opts.ctx)) {
			(*api->forwarded)++;
			return call;
		}
	}
	on_forwarded(0, NULL, 0, call);
	return NULL;
}

static struct api_call *
new_call(struct api *api, const struct api_request *request, api_answer_fn fn,
    void *ctx)
{
	struct api_call *call = g_new0(struct api_call, 1);

	call->api = api;
	call->fn = fn;
	call->ctx = ctx;
	call->span_name = "entry";
	call->start_wall_us = clk_wall_ms() * 1000;
	call->start_ns = clk_now_ns();
	trc_start(&call->span, request->traceparent);
	return call;
}

bool
api_is_unused(const struct api *api, const char *id)
{
	struct id_parts parts;

	switch (id_check(api->opts.ids, id, &parts)) {
	case ID_OWN:
		return parts.counter >= id_low_water(api->opts.ids) &&
		       job_find(api->opts.jobs, id) == NULL;
	case ID_OTHER:
		return false;
	default:
		return true; /* no entry issued it */
	}
}

/* Answers a request about one job, which may be that of another entry. */
struct api_call *
api_handle(struct api *api, const struct api_request *request, api_answer_fn fn,
    void *ctx)
{
	struct api_call *call = new_call(api, request, fn, ctx);
	struct id_parts parts;

	switch (id_check(api->opts.ids, request->id, &parts)) {
	case ID_OWN:
		return handle_own_job(call, request, parts.counter);
	case ID_OTHER:
		return handle_job_of_other_entry(
		    call, request, parts.incarnation);
	case ID_FORGED:
		refuse(call, REF_NOT_FOUND, "this entry never issued this id");
		return NULL;
	case ID_MALFORMED:
		break;
	}
	refuse(call, REF_BAD_ID, "the id is malformed");
	return NULL;
}

void
api_cancel(struct api_call *call)
{
	/* A forwarded call is freed when the other entry's answer arrives. */
	if (call->job == NULL)
		call->fn = NULL;
	else
		free_call(call);
}
