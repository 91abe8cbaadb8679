#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#include "connection/rpc.h"
#include "connection/wire_xdr.h"
#include "harness.h"
#include "process/clock.h"
#include "runner.h"

#define HEARTBEAT_MS 50
#define SILENCE_MS   400
#define FRESHNESS_MS 1000
#define SEQ_MAX	     64

/* The commands are listed in tests/cases/entrylink.txt. */

/*
 * A scripted entry for a real agent with a real stand-in endpoint.  It listens
 * on one port and records the messages of the agent.
 */
static struct {
	GSocketService *service;
	uint16_t port;
	uint64_t incarnation;
	struct rpc_conn *conn; /* the newest */
	GPtrArray *older;      /* connections that it replaced */
	struct wire_hello_args hello;
	int hellos, heartbeats, messages;
	bool lists_other;
	struct wire_load load;
	char service_name[WIRE_NAME_MAX + 1];
	int64_t age_ms; /* of the configuration, as sent to the agent */
	uint64_t version;
	const char *document;
	bool silent;	/* answers no call on open connections */
	bool hold_acks; /* does not acknowledge results */
	uint64_t acked_result;
	struct wire_result results[SEQ_MAX]; /* by seq; seq 0: none yet */
	int copies[SEQ_MAX];
	wire_state states[SEQ_MAX]; /* answer to the last QUERY, in order */
	u_int n_states;
	bool answered;
} fake;

static struct {
	struct hn_proc *agent, *endpoint;
	uint16_t agent_port, endpoint_port;
} system_;

static const char *
document(uint64_t version, const char *out)
{
	return hn_str("{\"version\":%u,\"change_id\":\"c\",\"text\":"
		      "\"{\\\"failure_domains\\\":[{\\\"name\\\":\\\"a\\\","
		      "\\\"region\\\":\\\"r\\\",\\\"entries\\\":true}],"
		      "\\\"services\\\":[{\\\"name\\\":\\\"desk\\\"}],"
		      "\\\"teams\\\":[]}\",\"out\":[%s],\"voter_sets\":[]}",
	    (unsigned int)version, out);
}

static void
fill_config(struct wire_config *config, uint64_t held)
{
	config->config_version = fake.version;
	config->age_ms = fake.age_ms;
	if (held >= fake.version)
		return;
	config->document.document_val = (char *)fake.document;
	config->document.document_len = strlen(fake.document);
}

/* A listed entry at an address where nothing listens. */
static struct wire_member other = {.incarnation = 99,
    .name = "other",
    .failure_domain = "a",
    .address = "127.0.0.1:1"};

static void
on_hello(struct rpc_conn *conn, const struct rpc_call *call)
{
	struct wire_hello_result result = {.accepted = TRUE, .reason = ""};

	xdr_free((xdrproc_t)xdr_wire_hello_args, &fake.hello);
	memset(&fake.hello, 0, sizeof(fake.hello));
	ck_assert(xdr_wire_hello_args(call->args, &fake.hello));
	ck_assert_str_eq(fake.hello.key, "test-key");
	fake.hellos++;
	fake.load = fake.hello.load;
	g_strlcpy(
	    fake.service_name, fake.hello.service, sizeof(fake.service_name));
	result.entry = (struct wire_member){.incarnation = fake.incarnation,
	    .name = "fake",
	    .failure_domain = "a",
	    .address = (char *)hn_str("127.0.0.1:%u", fake.port)};
	result.echo_ns = fake.hello.sent_ns;
	if (fake.lists_other) {
		result.members.members_val = &other;
		result.members.members_len = 1;
	}
	fill_config(&result.config, fake.hello.config_version);
	ck_assert(rpc_reply(
	    conn, call->xid, (xdrproc_t)xdr_wire_hello_result, &result));
}

static void
on_heartbeat(struct rpc_conn *conn, const struct rpc_call *call)
{
	struct wire_heartbeat_result result = {0};
	struct wire_heartbeat_args args = {0};

	ck_assert(xdr_wire_heartbeat_args(call->args, &args));
	fake.heartbeats++;
	fake.load = args.load;
	g_strlcpy(fake.service_name, args.service, sizeof(fake.service_name));
	result.echo_ns = args.sent_ns;
	result.acked_result = fake.hold_acks ? 0 : fake.acked_result;
	fill_config(&result.config, args.config_version);
	rpc_reply(
	    conn, call->xid, (xdrproc_t)xdr_wire_heartbeat_result, &result);
	xdr_free((xdrproc_t)xdr_wire_heartbeat_args, &args);
}

static void
on_results(const struct rpc_call *call)
{
	struct wire_results_args args = {0};
	u_int i;

	ck_assert(xdr_wire_results_args(call->args, &args));
	fake.messages++;
	fake.load = args.load;
	fake.acked_result = MAX(fake.acked_result,
	    args.first_result + args.results.results_len - 1);
	for (i = 0; i < args.results.results_len; i++) {
		struct wire_result *r = &args.results.results_val[i];

		ck_assert_uint_lt(r->seq, SEQ_MAX);
		xdr_free((xdrproc_t)xdr_wire_result, &fake.results[r->seq]);
		fake.results[r->seq] = *r;
		fake.copies[r->seq]++;
		memset(r, 0, sizeof(*r));
	}
	xdr_free((xdrproc_t)xdr_wire_results_args, &args);
}

static void
on_call(struct rpc_conn *conn, const struct rpc_call *call, void *ctx)
{
	(void)ctx;
	if (fake.silent && conn == fake.conn && call->proc != WIRE_HELLO)
		return;
	if (call->proc == WIRE_HELLO)
		on_hello(conn, call);
	else if (call->proc == WIRE_HEARTBEAT)
		on_heartbeat(conn, call);
	else if (call->proc == WIRE_RESULTS)
		on_results(call);
	else
		ck_abort_msg("procedure %u", call->proc);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *socket, GObject *from,
    gpointer data)
{
	struct rpc_options opts = {
	    .socket = socket, .prog = WIRE_AGENT_PROG, .on_call = on_call};

	(void)service;
	(void)from;
	(void)data;
	if (fake.conn != NULL)
		g_ptr_array_add(fake.older, fake.conn);
	fake.conn = rpc_new(&opts);
	fake.silent = false;
	return TRUE;
}

static void
fake_listen(void)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address =
	    g_inet_socket_address_new(loopback, fake.port);

	fake.service = g_socket_service_new();
	ck_assert(g_socket_listener_add_address(G_SOCKET_LISTENER(fake.service),
	    address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
	    NULL));
	g_signal_connect(
	    fake.service, "incoming", G_CALLBACK(on_incoming), NULL);
	g_object_unref(address);
	g_object_unref(loopback);
}

/* Simulates a restart of the entry: a new incarnation at the same port. */
static void
fake_become(uint64_t incarnation)
{
	fake.incarnation = incarnation;
	fake.acked_result = 0;
	rpc_close(fake.conn, ST_UNAVAILABLE, "restart");
}

static void
start_all(int slots)
{
	const char *settings;

	fake.port = hn_port();
	fake.incarnation = 100;
	fake.older = g_ptr_array_new();
	fake.version = 1;
	fake.document = document(1, "");
	fake_listen();
	system_.agent_port = hn_port();
	system_.endpoint_port = hn_port();
	settings = hn_write("agent.json",
	    hn_str("{\"worker\":\"w\",\"failure_domain\":\"a\","
		   "\"listen\":\"127.0.0.1:%u\",\"entries\":[\"127.0.0.1:%u\"],"
		   "\"cluster_key\":\"test-key\",\"heartbeat_ms\":%d,"
		   "\"silence_ms\":%d,\"freshness_ms\":%d,\"max_queue\":4,"
		   "\"drain_timeout_ms\":5000}",
		system_.agent_port, fake.port, HEARTBEAT_MS, SILENCE_MS,
		FRESHNESS_MS));
	system_.agent = hn_start("agent",
	    (const char *[]){"spagentd", "--settings", settings, NULL});
	system_.endpoint = hn_start("endpoint",
	    (const char *[]){"standin_endpoint", "--listen",
		hn_str("127.0.0.1:%u", system_.endpoint_port), "--agent",
		hn_str("http://127.0.0.1:%u", system_.agent_port), "--slots",
		hn_str("%d", slots), "--ttl-ms", "900", NULL});
	ck_assert(
	    hn_wait_until(strcmp(fake.service_name, "desk") == 0, HN_LIMIT_MS));
}

static void
send_start(struct rpc_conn *conn, uint64_t first, u_int n, int64_t deadline_ms,
    const char *payload)
{
	struct wire_start starts[SEQ_MAX] = {0};
	struct wire_start_args args = {0};
	u_int i;

	for (i = 0; i < n; i++) {
		starts[i] = (struct wire_start){.seq = first + i,
		    .task_id = (char *)hn_str("job/%u", (unsigned)first + i),
		    .service = "desk",
		    .deadline_ms = deadline_ms,
		    .method = "",
		    .path = "",
		    .traceparent = ""};
		starts[i].payload.wire_payload_val = (char *)payload;
		starts[i].payload.wire_payload_len = strlen(payload);
	}
	args.starts.starts_len = n;
	args.starts.starts_val = starts;
	rpc_send(conn, WIRE_START, (xdrproc_t)xdr_wire_start_args, &args);
}

static void
send_withdraw(uint64_t seq)
{
	struct wire_withdraw_args args = {.seqs = {1, &seq}};

	ck_assert(rpc_send(fake.conn, WIRE_WITHDRAW,
	    (xdrproc_t)xdr_wire_withdraw_args, &args));
}

static void
on_states(struct rpc_conn *conn, const struct status *st, XDR *xdrs, void *ctx)
{
	struct wire_query_result result = {0};

	(void)conn;
	(void)ctx;
	ck_assert_msg(st->code == ST_OK, "%s", st->message);
	ck_assert(xdr_wire_query_result(xdrs, &result));
	fake.n_states = result.states.states_len;
	memcpy(fake.states, result.states.states_val,
	    fake.n_states * sizeof(wire_state));
	fake.answered = true;
	xdr_free((xdrproc_t)xdr_wire_query_result, &result);
}

/* Sends a QUERY for seqs 1 to n. */
static void
query(uint64_t next_seq, u_int n)
{
	struct wire_query_args args = {.next_seq = next_seq};
	uint64_t seqs[SEQ_MAX];
	u_int i;

	for (i = 0; i < n; i++)
		seqs[i] = i + 1;
	args.seqs.seqs_len = n;
	args.seqs.seqs_val = seqs;
	fake.answered = false;
	ck_assert(rpc_request(fake.conn, WIRE_QUERY,
	    (xdrproc_t)xdr_wire_query_args, &args, 5000, on_states, NULL));
	ck_assert(hn_wait_until(fake.answered, HN_LIMIT_MS));
	ck_assert_uint_eq(fake.n_states, n);
}

/* Appends n states of the last QUERY, from that of seq first on. */
static void
show_states(u_int first, u_int n, GString *actual)
{
	static const char *const names[] = {
	    "unseen", "queued", "running", "done"};
	u_int i;

	for (i = first - 1; i < first - 1 + n; i++)
		g_string_append_printf(actual, "%s ", names[fake.states[i]]);
}

static bool
has_result(uint64_t seq)
{
	return fake.results[seq].seq != 0;
}

/* Appends a result.  One that is done must have the body of its own task. */
static void
show_result(uint64_t seq, bool reason, GString *actual)
{
	static const char *const outcomes[] = {
	    "done", "not_started", "unknown"};
	static const char *const reasons[] = {"", " stale", " out", " draining",
	    " deadline", " withdrawn", " sealed", " queue_full", " no_endpoint",
	    " connect", " broken", " too_large"};
	struct wire_result *r = &fake.results[seq];

	if (!hn_wait_until(has_result(seq), HN_LIMIT_MS))
		return;
	g_string_append_printf(actual, "%s%s", outcomes[r->outcome],
	    reason ? reasons[r->reason] : "");
	if (r->outcome != WIRE_DONE)
		return;
	ck_assert_uint_eq(r->status, 200);
	ck_assert_ptr_nonnull(g_strstr_len(r->body.wire_payload_val,
	    r->body.wire_payload_len, hn_str("\"job\\/%u\"", (unsigned)seq)));
}

static int64_t
endpoint_count(const char *path)
{
	const char *url =
	    hn_str("http://127.0.0.1:%u/control/starts", system_.endpoint_port);

	return hn_json_int(hn_http("GET", url, NULL), path);
}

/* Returns a count of the fake entry or of the endpoint. */
static int64_t
count_of(const char *name)
{
	if (strcmp(name, "hellos") == 0)
		return fake.hellos;
	if (strcmp(name, "draining") == 0)
		return fake.load.draining;
	if (strcmp(name, "busy") == 0)
		return fake.load.busy;
	if (g_str_has_prefix(name, "copies"))
		return fake.copies[atoi(name + strlen("copies"))];
	if (g_str_has_prefix(name, "has"))
		return has_result(strtoull(name + strlen("has"), NULL, 10));
	return endpoint_count(name);
}

static void *
start(void)
{
	return &fake;
}

static void
end(void *ctx)
{
	(void)ctx;
	hn_finish();
}

/* Commands that signal a process or wait for its exit. */
static void
process_command(const char *command, const char *name, GString *actual)
{
	struct hn_proc *proc =
	    strcmp(name, "agent") == 0 ? system_.agent : system_.endpoint;

	if (strcmp(command, "stop") == 0)
		hn_signal(proc, SIGSTOP);
	else if (strcmp(command, "continue") == 0)
		hn_signal(proc, SIGCONT);
	else if (strcmp(command, "term") == 0)
		hn_signal(proc, SIGTERM);
	else if (strcmp(command, "exit") == 0)
		g_string_append_printf(actual, "%d", hn_wait_exit(proc, 5000));
	else
		ck_abort_msg("command %s", command);
}

/* Commands for the fake entry; returns false for any other command. */
static bool
entry_command(char **words, const char *arg)
{
	if (strcmp(words[0], "silent") == 0)
		fake.silent = true;
	else if (strcmp(words[0], "hold_acks") == 0)
		fake.hold_acks = atoi(arg);
	else if (strcmp(words[0], "lists_other") == 0)
		fake.lists_other = true;
	else if (strcmp(words[0], "age") == 0)
		fake.age_ms = atoi(arg);
	else if (strcmp(words[0], "disconnect") == 0)
		rpc_close(fake.conn, ST_UNAVAILABLE, "test");
	else if (strcmp(words[0], "become") == 0)
		fake_become(strtoull(arg, NULL, 10));
	else if (strcmp(words[0], "out") == 0)
		fake.document = document(++fake.version,
		    hn_str("{\"kind\":\"%s\",\"name\":\"%s\"}", arg, words[2]));
	else
		return false;
	return true;
}

static void
step(void *ctx, char **words, GString *actual)
{
	const char *arg = words[1] != NULL ? words[1] : "";
	uint64_t n = strtoull(arg, NULL, 10);

	(void)ctx;
	if (entry_command(words, arg))
		return;
	if (strcmp(words[0], "slots") == 0)
		start_all((int)n);
	else if (strcmp(words[0], "start") == 0)
		send_start(fake.conn, n, (u_int)atoi(words[2]), atoi(words[3]),
		    words[4]);
	else if (strcmp(words[0], "start_on_old") == 0)
		send_start(fake.older->pdata[fake.older->len - 1], n,
		    (u_int)atoi(words[2]), atoi(words[3]), words[4]);
	else if (strcmp(words[0], "withdraw") == 0)
		send_withdraw(n);
	else if (strcmp(words[0], "result") == 0)
		show_result(n, true, actual);
	else if (strcmp(words[0], "any") == 0)
		show_result(n, false, actual);
	else if (strcmp(words[0], "query") == 0) {
		query(n, (u_int)atoi(words[2]));
		show_states(1, fake.n_states, actual);
	} else if (strcmp(words[0], "ask") == 0)
		query(n, (u_int)atoi(words[2]));
	else if (strcmp(words[0], "state") == 0)
		show_states((u_int)n, 1, actual);
	else if (strcmp(words[0], "count") == 0)
		g_string_append_printf(actual, "%d", (int)count_of(arg));
	else if (strcmp(words[0], "wait") == 0)
		ck_assert_msg(
		    hn_wait_until(count_of(arg) == atoi(words[2]),
			words[3] != NULL ? atoi(words[3]) : HN_LIMIT_MS),
		    "%s stays %d", arg, (int)count_of(arg));
	else if (strcmp(words[0], "service") == 0)
		ck_assert(hn_wait_until(
		    strcmp(fake.service_name, arg) == 0, HN_LIMIT_MS));
	else if (strcmp(words[0], "sleep") == 0)
		hn_sleep((int64_t)n);
	else
		process_command(words[0], arg, actual);
}

/* After an agent restart, slots used by its former process are not free. */
START_TEST(agent_restart)
{
	uint64_t incarnation;

	start_all(2);
	send_start(fake.conn, 1, 1, 20000, "{\"run_ms\":3000}");
	ck_assert(hn_wait_until(endpoint_count("total") == 1, HN_LIMIT_MS));
	incarnation = fake.hello.incarnation;
	hn_kill(system_.agent);
	fake.service_name[0] = '\0';
	hn_restart(system_.agent);
	ck_assert(
	    hn_wait_until(strcmp(fake.service_name, "desk") == 0, HN_LIMIT_MS));
	ck_assert_uint_ne(fake.hello.incarnation, incarnation);
	ck_assert_uint_eq(fake.load.busy, 1);
	/* The entry counts starts above received_seq as additional load. */
	ck_assert_uint_eq(fake.load.received_seq, 0);
	send_start(fake.conn, 2, 2, 20000, "{\"run_ms\":200}");
	ck_assert(hn_wait_until(has_result(3), HN_LIMIT_MS));
	ck_assert_int_eq(fake.results[3].outcome, WIRE_DONE);
	ck_assert_int_eq(fake.results[3].reason, WIRE_REASON_NONE);
	ck_assert_uint_eq(fake.load.received_seq, 3);
	ck_assert_int_eq(endpoint_count("over_slots"), 0);
	hn_finish();
}
END_TEST

/* Results that exceed one record together are split over several messages. */
START_TEST(results_split)
{
	uint64_t seq;

	start_all(8);
	send_start(fake.conn, 1, 8, 20000, "{\"run_ms\":100,\"size\":900000}");
	for (seq = 1; seq <= 8; seq++) {
		ck_assert(hn_wait_until(has_result(seq), HN_LIMIT_MS));
		ck_assert_int_eq(fake.results[seq].outcome, WIRE_DONE);
		ck_assert_int_eq(fake.results[seq].reason, WIRE_REASON_NONE);
		ck_assert_uint_gt(
		    fake.results[seq].body.wire_payload_len, 900000);
	}
	ck_assert_int_ge(fake.messages, 3);
	hn_finish();
}
END_TEST

/* The failures guarded against are in tests/cases/entrylink.txt. */
REPLAY_MAIN("entrylink", 60, start, end, step, agent_restart, results_split)
