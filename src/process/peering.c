#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "process/log.h"
#include "process/peering.h"

struct peering {
	struct peering_options opts;
	struct pl_set *links;
	GArray *wire_members; /* strings of the members list */
};

/* Tells whether the entry that owns a job can be asked. */
enum api_owner
peering_owner(struct peering *pr, uint64_t incarnation)
{
	if (pl_is_connected(pr->links, incarnation))
		return API_OWNER_REACHABLE;
	if (mem_is_deregistered(pr->opts.members, incarnation, clk_now_ms()))
		return API_OWNER_GONE;
	return API_OWNER_UNREACHABLE;
}

/* Sends a request about a job to its owner. */
bool
peering_forward(struct peering *pr, uint64_t incarnation,
    const struct api_request *request, api_answer_fn fn, void *fn_ctx)
{
	wire_peer_job_args args = {
	    .method = (char *)request->method,
	    .job_id = (char *)request->id,
	    .team = "",
	    .wait_ms = request->wait_ms,
	    .traceparent = (char *)request->traceparent,
	};

	args.body.body_val = (char *)request->body;
	args.body.body_len = (u_int)request->body_len;
	return pl_forward(pr->links, incarnation, &args, fn, fn_ctx);
}

static void *
serve_peer_job(
    const wire_peer_job_args *args, pl_answer_fn fn, void *fn_ctx, void *ctx)
{
	struct peering *pr = ctx;
	struct api_request request = {
	    .method = args->method,
	    .id = args->job_id,
	    .wait_ms = CLAMP(args->wait_ms, 0, API_MAX_WAIT_MS),
	    .body = args->body.body_val != NULL ? args->body.body_val : "",
	    .body_len = args->body.body_len,
	    .traceparent = args->traceparent,
	    .forwarded = true,
	};

	return api_handle(pr->opts.api, &request, fn, fn_ctx);
}

static void
cancel_peer_job(void *job, void *ctx)
{
	(void)ctx;
	api_cancel(job);
}

static uint64_t
version_held(void *ctx)
{
	struct peering *pr = ctx;

	return fresh_version(pr->opts.fresh);
}

static void
fill_status(uint64_t held, wire_peer_status_result *result, void *ctx)
{
	struct peering *pr = ctx;
	struct quo_answer self = chg_own_answer(pr->opts.change);
	struct cfg *cfg = fresh_config(pr->opts.fresh);
	size_t len;

	result->incarnation = self.incarnation;
	result->may_vote = self.may_vote;
	result->store_age_ms = self.store_age_ms;
	result->config.config_version = fresh_version(pr->opts.fresh);
	result->config.age_ms = fresh_age_ms(pr->opts.fresh, clk_now_ms());
	if (cfg == NULL || cfg_version(cfg) <= held)
		return;
	result->config.document.document_val = (char *)cfg_document(cfg, &len);
	result->config.document.document_len = (u_int)len;
}

static void
take_document(struct peering *pr, const wire_config *config)
{
	struct status st;
	struct cfg *cfg;

	if (config->document.document_len == 0)
		return;
	cfg = cfg_parse(
	    config->document.document_val, config->document.document_len, &st);
	if (cfg == NULL) {
		log_line(LOG_ERR, "configuration from a peer: %s", st.message);
		return;
	}
	fresh_update(pr->opts.fresh, cfg);
	cfg_unref(cfg);
}

static void
on_peer_status(
    const wire_peer_status_result *result, int64_t sent_ms, void *ctx)
{
	struct peering *pr = ctx;
	struct quo_answer answer = {
	    .incarnation = result->incarnation,
	    .version = result->config.config_version,
	    .store_age_ms = result->store_age_ms,
	    .may_vote = result->may_vote,
	    .as_of_ms = sent_ms,
	};

	take_document(pr, &result->config);
	quo_answer(pr->opts.quorum, &answer, clk_now_ms());
	chg_evaluate(pr->opts.change);
}

static void
clear_member(gpointer data)
{
	wire_member *member = data;

	g_free(member->name);
	g_free(member->failure_domain);
	g_free(member->address);
}

/* Dials the seeds of the settings and the registered entries. */
static void
update_targets(struct peering *pr)
{
	GPtrArray *addresses = g_ptr_array_new();
	const char *own = pr->opts.self->address;
	const struct mem_entry *list;
	size_t i, n;

	list = mem_list(pr->opts.members, &n);
	for (i = 0; i < n; i++) {
		if (list[i].incarnation != pr->opts.self->incarnation &&
		    strcmp(list[i].address, own) != 0)
			g_ptr_array_add(addresses, (char *)list[i].address);
	}
	for (i = 0; pr->opts.seeds != NULL && pr->opts.seeds[i] != NULL; i++) {
		if (strcmp(pr->opts.seeds[i], own) != 0)
			g_ptr_array_add(addresses, pr->opts.seeds[i]);
	}
	pl_set_targets(
	    pr->links, (const char *const *)addresses->pdata, addresses->len);
	g_ptr_array_unref(addresses);
}

/* Takes the list of registered entries. */
void
peering_update(struct peering *pr)
{
	const struct mem_entry *list;
	wire_member member;
	size_t i, n;

	list = mem_list(pr->opts.members, &n);
	g_array_set_size(pr->wire_members, 0);
	for (i = 0; i < MIN(n, WIRE_MEMBERS_MAX); i++) {
		member.incarnation = list[i].incarnation;
		member.name = g_strdup(list[i].name);
		member.failure_domain = g_strdup(list[i].failure_domain);
		member.address = g_strdup(list[i].address);
		g_array_append_val(pr->wire_members, member);
	}
	update_targets(pr);
}

/* Makes the links and dials the seeds. */
struct peering *
peering_new(const struct peering_options *opts)
{
	struct peering *pr = g_new0(struct peering, 1);
	struct pl_options links = {
	    .cluster_key = opts->cluster_key,
	    .self = opts->self,
	    .counters = opts->counters,
	    .silence_ms = opts->silence_ms,
	    .status_ms = opts->status_ms,
	    .fill_status = fill_status,
	    .version_held = version_held,
	    .on_status = on_peer_status,
	    .on_job = serve_peer_job,
	    .cancel_job = cancel_peer_job,
	    .ctx = pr,
	};

	pr->opts = *opts;
	pr->wire_members = g_array_new(FALSE, FALSE, sizeof(wire_member));
	g_array_set_clear_func(pr->wire_members, clear_member);
	pr->links = pl_set_new(&links);
	update_targets(pr);
	return pr;
}

/* Frees the links and the list. */
void
peering_free(struct peering *pr)
{
	pl_set_free(pr->links);
	g_array_unref(pr->wire_members);
	g_free(pr);
}

/* Returns the links, to which accepted connections go. */
struct pl_set *
peering_links(struct peering *pr)
{
	return pr->links;
}

/* Returns the registered entries. */
const wire_member *
peering_members(const struct peering *pr, size_t *n, uint64_t *digest)
{
	*n = pr->wire_members->len;
	*digest = mem_digest(pr->opts.members);
	return (const wire_member *)(void *)pr->wire_members->data;
}
