#include <string.h>

#include "connection/agentlink.h"
#include "process/clock.h"
#include "process/log.h"

struct al {
	struct al_set *set;
	char *key; /* "<failure domain>/<worker>" */
	char *worker;
	char *failure_domain;
	char *service; /* empty: no endpoint */
	uint64_t incarnation;
	struct rpc_conn *conn; /* NULL while disconnected */
	int64_t lost_ms;       /* time of the last disconnection */
	uint64_t acked_result; /* all results up to this were received */
	bool acked_result_known;
	uint64_t seen_seq;    /* highest start seq that the agent received */
	GHashTable *open;     /* &seq -> struct open_start */
	GArray *queried_seqs; /* of the QUERY in progress */
};

struct open_start {
	int64_t result_due_ms; /* then UNKNOWN; 0: no limit */
	bool withdrawn;
};

struct al_set {
	struct al_options opts;
	GHashTable *agents; /* key -> struct al */
	int64_t *connected;
	int64_t *refused;
	int64_t *heartbeats;
	int64_t *results_messages;
	int64_t *late_results;
};

static void
free_al(gpointer data)
{
	struct al *al = data;

	if (al->conn != NULL) {
		rpc_detach(al->conn);
		rpc_unref(al->conn);
	}
	g_hash_table_unref(al->open);
	g_array_unref(al->queried_seqs);
	g_free(al->key);
	g_free(al->worker);
	g_free(al->failure_domain);
	g_free(al->service);
	g_free(al);
}

struct al_set *
al_set_new(const struct al_options *opts)
{
	struct al_set *set = g_new0(struct al_set, 1);
	struct ctr_registry *reg = opts->counters;

	set->opts = *opts;
	set->agents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_al);
	set->connected =
	    ctr_gauge(reg, "sp_agents_connected", "agents connected");
	set->refused = ctr_counter(
	    reg, "sp_agents_refused_total", "agent connections refused");
	set->heartbeats = ctr_counter(
	    reg, "sp_heartbeats_total", "heartbeats received from agents");
	set->results_messages = ctr_counter(
	    reg, "sp_results_messages_total", "RESULTS messages received");
	set->late_results = ctr_counter(reg, "sp_results_late_total",
	    "results without an open start, dropped");
	return set;
}

void
al_set_free(struct al_set *set)
{
	g_hash_table_unref(set->agents);
	g_free(set);
}

uint32_t
al_connected(const struct al_set *set)
{
	return (uint32_t)*set->connected;
}

const char *
al_name(const struct al *al)
{
	return al->key;
}

static void
end_start(struct al *al, uint64_t seq, wire_outcome outcome, wire_reason reason)
{
	wire_result result;

	if (!g_hash_table_remove(al->open, &seq))
		return;
	memset(&result, 0, sizeof(result));
	result.seq = seq;
	result.outcome = outcome;
	result.reason = reason;
	al->set->opts.outcome(al, &result, al->set->opts.ctx);
}

static GArray *
open_seqs(const struct al *al)
{
	GArray *seqs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, al->open);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(seqs, key, 1);
	return seqs;
}

static void
end_all_unknown(struct al *al)
{
	GArray *seqs = open_seqs(al);
	guint i;

	if (seqs->len > 0)
		log_line(LOG_WARNING, "agent %s: outcome of %u starts unknown",
		    al->key, seqs->len);
	for (i = 0; i < seqs->len; i++)
		end_start(al, g_array_index(seqs, uint64_t, i), WIRE_UNKNOWN,
		    WIRE_REASON_BROKEN);
	g_array_unref(seqs);
}

static void
fill_config(const struct al_set *set, uint64_t held, wire_config *config)
{
	struct cfg *cfg = fresh_config(set->opts.fresh);
	size_t len;

	memset(config, 0, sizeof(*config));
	config->config_version = fresh_version(set->opts.fresh);
	config->age_ms = fresh_age_ms(set->opts.fresh, clk_now_ms());
	if (cfg == NULL || cfg_version(cfg) <= held)
		return;
	config->document.document_val = (char *)cfg_document(cfg, &len);
	config->document.document_len = len;
}

static void
fill_member(const wire_member *self, wire_member *member)
{
	if (self != NULL) {
		*member = *self;
		return;
	}
	memset(member, 0, sizeof(*member));
	member->name = member->failure_domain = member->address = "";
}

static void
reply_hello(struct al_set *set, struct rpc_conn *conn, uint32_t xid,
    const wire_hello_args *args, const char *refusal_reason)
{
	wire_hello_result result;
	uint64_t digest;
	size_t n = 0;

	memset(&result, 0, sizeof(result));
	result.accepted = refusal_reason == NULL;
	result.reason = (char *)(refusal_reason != NULL ? refusal_reason : "");
	fill_member(
	    refusal_reason == NULL ? set->opts.self : NULL, &result.entry);
	result.echo_ns = args->sent_ns;
	if (refusal_reason == NULL) {
		fill_config(set, args->config_version, &result.config);
		result.members.members_val = (wire_member *)set->opts.members(
		    &n, &digest, set->opts.ctx);
		result.members.members_len = n;
	}
	rpc_reply(conn, xid, (xdrproc_t)xdr_wire_hello_result, &result);
}

static uint32_t
count_unseen(const struct al *al)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, al->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (*(uint64_t *)key > al->seen_seq)
			n++;
	}
	return n;
}

static void
report_load(struct al *al, const wire_load *load)
{
	struct place_load out = {
	    .slots = load->slots,
	    .busy = load->busy,
	    .queued = load->queued,
	    .draining = load->draining,
	};

	al->seen_seq = MAX(al->seen_seq, load->received_seq);
	al->set->opts.load(al, &out, count_unseen(al), al->set->opts.ctx);
}

/* Applies the description of the endpoint in a HELLO or heartbeat. */
static void
update_endpoint(struct al *al, const char *service, uint32_t slots,
    uint32_t cores, uint64_t memory_mb)
{
	struct place_worker worker = {
	    .name = al->worker,
	    .failure_domain = al->failure_domain,
	    .slots = slots,
	    .cores = cores,
	    .memory_mb = memory_mb,
	};

	g_free(al->service);
	al->service = g_strdup(service);
	worker.service = al->service;
	if (service[0] == '\0')
		al->set->opts.down(al, al->set->opts.ctx);
	else
		al->set->opts.up(al, &worker, al->set->opts.ctx);
}

static void
on_heartbeat(struct al *al, const struct rpc_call *call)
{
	struct al_set *set = al->set;
	wire_heartbeat_args args;
	wire_heartbeat_result result;
	const wire_member *members;
	size_t n = 0;

	memset(&args, 0, sizeof(args));
	if (!xdr_wire_heartbeat_args(call->args, &args)) {
		rpc_close(al->conn, ST_INVALID, "malformed heartbeat");
		goto out;
	}
	(*set->heartbeats)++;
	update_endpoint(
	    al, args.service, args.slots, args.cores, args.memory_mb);
	report_load(al, &args.load);
	memset(&result, 0, sizeof(result));
	result.echo_ns = args.sent_ns;
	result.acked_result = al->acked_result;
	fill_config(set, args.config_version, &result.config);
	members = set->opts.members(&n, &result.members_digest, set->opts.ctx);
	if (result.members_digest != args.members_digest) {
		result.members.members_val = (wire_member *)members;
		result.members.members_len = n;
	}
	rpc_reply(
	    al->conn, call->xid, (xdrproc_t)xdr_wire_heartbeat_result, &result);
out:
	xdr_free((xdrproc_t)xdr_wire_heartbeat_args, &args);
}

static void
handle_result(struct al *al, const wire_result *result)
{
	if (!g_hash_table_remove(al->open, &result->seq)) {
		(*al->set->late_results)++;
		return;
	}
	al->set->opts.outcome(al, result, al->set->opts.ctx);
}

static void
on_results(struct al *al, const struct rpc_call *call)
{
	wire_results_args args;
	uint64_t last;
	u_int i;

	memset(&args, 0, sizeof(args));
	if (!xdr_wire_results_args(call->args, &args)) {
		rpc_close(al->conn, ST_INVALID, "malformed results");
		goto out;
	}
	(*al->set->results_messages)++;
	last = args.first_result + args.results.results_len;
	/*
	 * Results are acknowledged only up to the first gap, since the agent
	 * discards acknowledged ones and could not send a missing one again.
	 */
	if (!al->acked_result_known && args.first_result > 0) {
		/*
		 * The agent may have sent lower numbers before it was removed
		 * from the set; no start is open for them.
		 */
		al->acked_result = args.first_result - 1;
		al->acked_result_known = true;
	}
	if (args.results.results_len > 0 &&
	    args.first_result <= al->acked_result + 1)
		al->acked_result = MAX(al->acked_result, last - 1);
	for (i = 0; i < args.results.results_len; i++)
		handle_result(al, &args.results.results_val[i]);
	report_load(al, &args.load);
out:
	xdr_free((xdrproc_t)xdr_wire_results_args, &args);
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	struct al *al = ctx;

	switch (call->proc) {
	case WIRE_HEARTBEAT:
		on_heartbeat(al, call);
		return;
	case WIRE_RESULTS:
		on_results(al, call);
		return;
	default:
		rpc_close(conn, ST_INVALID, "unexpected call from an agent");
	}
}

static void
drop_conn(struct al *al)
{
	if (al->conn == NULL)
		return;
	rpc_detach(al->conn);
	rpc_unref(al->conn);
	al->conn = NULL;
	al->lost_ms = clk_now_ms();
	(*al->set->connected)--;
}

static void
on_closed(struct rpc_conn *conn, const struct status *why, void *ctx)
{
	struct al *al = ctx;

	(void)conn;
	log_line(LOG_NOTICE, "agent %s: connection lost: %s, %u starts open",
	    al->key, why->message, g_hash_table_size(al->open));
	drop_conn(al);
	al->set->opts.down(al, al->set->opts.ctx);
}

static void
apply_state(struct al *al, uint64_t seq, wire_state state)
{
	struct open_start *start = g_hash_table_lookup(al->open, &seq);

	if (start == NULL)
		return;
	if (state == WIRE_STATE_UNSEEN)
		end_start(al, seq, WIRE_NOT_STARTED, WIRE_REASON_SEALED);
	else if (state == WIRE_STATE_DONE)
		start->result_due_ms =
		    clk_now_ms() + al->set->opts.outcome_timeout_ms;
	else if (state == WIRE_STATE_QUEUED && start->withdrawn)
		al_withdraw(al, &seq, 1); /* the earlier WITHDRAW may be lost */
}

static void
on_query_reply(
    struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct al *al = ctx;
	wire_query_result result;
	u_int i;

	if (st->code != ST_OK) {
		rpc_close(conn, ST_UNAVAILABLE, "QUERY was not answered");
		return;
	}
	memset(&result, 0, sizeof(result));
	if (!xdr_wire_query_result(xdrs, &result) ||
	    result.states.states_len != al->queried_seqs->len) {
		rpc_close(conn, ST_INVALID, "malformed answer to QUERY");
	} else {
		for (i = 0; i < result.states.states_len; i++)
			apply_state(al,
			    g_array_index(al->queried_seqs, uint64_t, i),
			    result.states.states_val[i]);
	}
	xdr_free((xdrproc_t)xdr_wire_query_result, &result);
}

/*
 * Asks for the state of the open starts.  The agent seals those that it has not
 * received, so that they can be reported as not started.
 */
static void
send_query(struct al *al)
{
	struct al_set *set = al->set;
	wire_query_args args;

	g_array_unref(al->queried_seqs);
	al->queried_seqs = open_seqs(al);
	memset(&args, 0, sizeof(args));
	args.next_seq = set->opts.next_seq(set->opts.ctx);
	args.acked_result = al->acked_result;
	args.seqs.seqs_val = (uint64_t *)(void *)al->queried_seqs->data;
	args.seqs.seqs_len = al->queried_seqs->len;
	if (!rpc_request(al->conn, WIRE_QUERY, (xdrproc_t)xdr_wire_query_args,
		&args, set->opts.silence_ms, on_query_reply, al))
		rpc_close(al->conn, ST_INTERNAL, "QUERY was not sent");
}

static struct al *
find_agent(const struct al_set *set, const wire_hello_args *args)
{
	char *key =
	    g_strdup_printf("%s/%s", args->failure_domain, args->worker);
	struct al *al = g_hash_table_lookup(set->agents, key);

	g_free(key);
	return al;
}

static struct al *
get_agent(struct al_set *set, const wire_hello_args *args)
{
	struct al *al = find_agent(set, args);

	if (al != NULL)
		return al;
	al = g_new0(struct al, 1);
	al->set = set;
	al->key = g_strdup_printf("%s/%s", args->failure_domain, args->worker);
	al->worker = g_strdup(args->worker);
	al->failure_domain = g_strdup(args->failure_domain);
	al->service = g_strdup("");
	al->incarnation = args->incarnation;
	al->open =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	al->queried_seqs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(set->agents, al->key, al);
	return al;
}

static const char *
refusal_reason(const struct al_set *set, const wire_hello_args *args)
{
	/* Digests are compared so that the timing does not reveal the key. */
	char *want = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, set->opts.cluster_key, -1);
	char *got =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, args->key, -1);
	bool same = strcmp(want, got) == 0;

	g_free(want);
	g_free(got);
	if (!same)
		return "wrong cluster key";
	if (args->worker[0] == '\0' || args->failure_domain[0] == '\0' ||
	    args->incarnation == 0)
		return "worker, failure domain or incarnation is missing";
	/*
	 * The limit does not apply to a known agent, since it may have results
	 * of its open starts.
	 */
	if (g_hash_table_size(set->agents) >= set->opts.max_agents &&
	    find_agent(set, args) == NULL)
		return "too many agents";
	return NULL;
}

static void
accept_agent(struct al_set *set, struct rpc_conn *conn, uint32_t xid,
    const wire_hello_args *args)
{
	struct al *al = get_agent(set, args);
	bool reconnected = al->lost_ms != 0 || al->conn != NULL;

	drop_conn(al);
	if (al->incarnation != args->incarnation) {
		/* A new agent process can't tell what the old one started. */
		end_all_unknown(al);
		al->incarnation = args->incarnation;
		al->acked_result = 0;
		al->acked_result_known = false;
		al->seen_seq = 0;
		reconnected = false;
	}
	al->conn = rpc_ref(conn);
	(*set->connected)++;
	rpc_set_owner(conn, on_call, on_closed, al);
	log_line(LOG_INFO, "agent %s connected, service \"%s\", %u slots",
	    al->key, args->service, args->slots);
	reply_hello(set, conn, xid, args, NULL);
	if (reconnected)
		send_query(al);
	update_endpoint(
	    al, args->service, args->slots, args->cores, args->memory_mb);
	report_load(al, &args->load);
}

void
al_accept(
    struct al_set *set, struct rpc_conn *conn, const struct rpc_call *hello)
{
	wire_hello_args args;
	const char *why;

	memset(&args, 0, sizeof(args));
	if (hello->proc != WIRE_HELLO ||
	    !xdr_wire_hello_args(hello->args, &args)) {
		rpc_close(conn, ST_INVALID, "first call is not a valid HELLO");
	} else if ((why = refusal_reason(set, &args)) != NULL) {
		(*set->refused)++;
		log_line(
		    LOG_WARNING, "agent \"%s\" refused: %s", args.worker, why);
		reply_hello(set, conn, hello->xid, &args, why);
		rpc_close(conn, ST_INVALID, why);
	} else {
		accept_agent(set, conn, hello->xid, &args);
	}
	xdr_free((xdrproc_t)xdr_wire_hello_args, &args);
}

static void
end_overdue_starts(struct al *al, int64_t now_ms)
{
	GArray *seqs = open_seqs(al);
	struct open_start *start;
	uint64_t seq;
	guint i;

	for (i = 0; i < seqs->len; i++) {
		seq = g_array_index(seqs, uint64_t, i);
		start = g_hash_table_lookup(al->open, &seq);
		if (start != NULL && start->result_due_ms != 0 &&
		    start->result_due_ms <= now_ms)
			end_start(al, seq, WIRE_UNKNOWN, WIRE_REASON_BROKEN);
	}
	g_array_unref(seqs);
}

/*
 * Ends the open starts of agents that stay disconnected, and later removes the
 * agents.  The outcome is UNKNOWN, not NOT_STARTED, since any of the starts may
 * have reached the endpoint.
 */
void
al_tick(struct al_set *set, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	struct al *al;

	g_hash_table_iter_init(&iter, set->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		al = value;
		end_overdue_starts(al, now_ms);
		if (al->conn != NULL)
			continue;
		if (now_ms - al->lost_ms >= set->opts.outcome_timeout_ms)
			end_all_unknown(al);
		if (now_ms - al->lost_ms >= set->opts.remove_after_ms) {
			set->opts.gone(al, set->opts.ctx);
			g_hash_table_iter_remove(&iter);
		}
	}
}

bool
al_start(struct al *al, const wire_start *starts, size_t n)
{
	wire_start_args args;
	size_t i;

	if (al->conn == NULL || !rpc_is_open(al->conn) ||
	    g_hash_table_size(al->open) + n > WIRE_BATCH_MAX)
		return false;
	memset(&args, 0, sizeof(args));
	args.acked_result = al->acked_result;
	args.starts.starts_val = (wire_start *)starts;
	args.starts.starts_len = n;
	if (!rpc_send(
		al->conn, WIRE_START, (xdrproc_t)xdr_wire_start_args, &args) &&
	    rpc_is_open(al->conn))
		return false;
	/* If the connection closed in rpc_send(), a part may have been sent. */
	for (i = 0; i < n; i++)
		g_hash_table_insert(al->open,
		    g_memdup2(&starts[i].seq, sizeof(starts[i].seq)),
		    g_new0(struct open_start, 1));
	return true;
}

void
al_withdraw(struct al *al, const uint64_t *seqs, size_t n)
{
	struct open_start *start;
	wire_withdraw_args args;
	size_t i;

	for (i = 0; i < n; i++) {
		start = g_hash_table_lookup(al->open, &seqs[i]);
		if (start != NULL)
			start->withdrawn = true;
	}
	if (al->conn == NULL)
		return;
	args.seqs.seqs_val = (uint64_t *)seqs;
	args.seqs.seqs_len = n;
	rpc_send(
	    al->conn, WIRE_WITHDRAW, (xdrproc_t)xdr_wire_withdraw_args, &args);
}
