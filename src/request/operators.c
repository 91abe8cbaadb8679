#include <gio/gio.h>
#include <inttypes.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "connection/httplisten.h"
#include "operators.h"
#include "process/clock.h"
#include "process/jsonc.h"
#include "process/jsontext.h"

#define MAX_BODY_BYTES (2L * 1024 * 1024)

struct ops {
	struct ops_options opts;
	SoupServer *server;
	uint16_t port;
	GPtrArray *waiting; /* paused struct request */
};

/* A request for a configuration change in progress. */
struct request {
	struct ops *ops;
	SoupServerMessage *msg;
	bool paused;
	bool done;
};

/* The last row stands for every code that is not listed. */
static const struct {
	enum st_code code;
	unsigned http;
	const char *error;
	const char *ran;
} refusals[] = {
    {ST_INVALID, 400, "invalid", "not_run"},
    {ST_CONFLICT, 409, "conflict", "not_run"},
    {ST_NOT_FOUND, 404, "not_found", "not_run"},
    {ST_UNAVAILABLE, 503, "store_unavailable", "not_run"},
    {ST_TIMEOUT, 503, "store_unavailable", "not_run"},
    {ST_LIMIT, 413, "limit", "not_run"},
    {ST_UNKNOWN, 504, "unknown", "unknown"},
    {ST_INTERNAL, 500, "internal", "unknown"},
};

/* Sends a JSON object and releases it. */
static void
send_json(SoupServerMessage *msg, unsigned code, struct json_object *object)
{
	const char *text =
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);

	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(object);
}

static void
send_refusal(SoupServerMessage *msg, const struct status *st)
{
	struct json_object *object = json_object_new_object();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals) - 1; i++) {
		if (refusals[i].code == st->code)
			break;
	}
	json_object_object_add(
	    object, "error", json_object_new_string(refusals[i].error));
	json_object_object_add(
	    object, "ran", json_object_new_string(refusals[i].ran));
	json_object_object_add(
	    object, "message", json_object_new_string(st->message));
	send_json(msg, refusals[i].http, object);
}

static void
refuse(SoupServerMessage *msg, enum st_code code, const char *message)
{
	struct status st;

	st_set(&st, code, "%s", message);
	send_refusal(msg, &st);
}

static void
add_string(struct json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void
add_int(struct json_object *object, const char *key, int64_t value)
{
	json_object_object_add(object, key, json_object_new_int64(value));
}

static void
add_bool(struct json_object *object, const char *key, bool value)
{
	json_object_object_add(object, key, json_object_new_boolean(value));
}

static void
add_hex(struct json_object *object, const char *key, uint64_t value)
{
	char hex[17];

	snprintf(hex, sizeof(hex), "%016" PRIx64, value);
	add_string(object, key, hex);
}

static struct json_object *
voter_json(const struct ops *ops, const struct cfg_voter *voter)
{
	struct json_object *object = json_object_new_object();
	const struct mem_entry *entry =
	    mem_find(ops->opts.mem, voter->incarnation);

	add_string(object, "failure_domain", voter->failure_domain);
	add_hex(object, "incarnation", voter->incarnation);
	if (voter->ended)
		add_bool(object, "ended", true);
	add_bool(object, "registered", entry != NULL);
	if (entry != NULL)
		add_string(object, "name", entry->name);
	return object;
}

/* Adds whether a version is in force, and the voters that still lack it. */
static void
add_version_progress(
    const struct ops *ops, struct json_object *object, uint64_t version)
{
	struct json_object *missing = json_object_new_array();
	struct chg_progress progress;
	size_t i;

	chg_progress(ops->opts.chg, version, &progress);
	add_int(object, "version", (int64_t)version);
	add_string(object, "state", chg_state_name(progress.state));
	add_bool(object, "in_force", progress.state == CHG_IN_FORCE);
	add_int(object, "remaining_ms", progress.remaining_ms);
	for (i = 0; i < progress.n_missing; i++)
		json_object_array_add(
		    missing, voter_json(ops, &progress.missing[i]));
	json_object_object_add(object, "missing", missing);
}

static void
add_out_of_service(struct json_object *object, const struct cfg *cfg)
{
	struct json_object *array = json_object_new_array();
	const struct cfg_out *outs = NULL;
	size_t i, n = 0;

	if (cfg != NULL)
		outs = cfg_outs(cfg, &n);
	for (i = 0; i < n; i++) {
		struct json_object *item = json_object_new_object();

		add_string(item, "kind", cfg_kind_name(outs[i].kind));
		add_string(item, "name", outs[i].name);
		json_object_array_add(array, item);
	}
	json_object_object_add(object, "out", array);
}

static void
add_freshness(const struct ops *ops, struct json_object *object)
{
	int64_t now_ms = clk_now_ms();

	add_int(object, "age_ms", fresh_age_ms(ops->opts.fresh, now_ms));
	add_bool(object, "current", fresh_is_current(ops->opts.fresh, now_ms));
	add_int(
	    object, "store_age_ms", rdr_store_age_ms(ops->opts.rdr, now_ms));
}

static void
get_config(struct ops *ops, SoupServerMessage *msg)
{
	struct json_object *object = json_object_new_object();
	const struct cfg *cfg = fresh_config(ops->opts.fresh);

	add_int(object, "version", cfg == NULL ? 0 : (int64_t)cfg_version(cfg));
	add_string(object, "change_id", cfg == NULL ? "" : cfg_change_id(cfg));
	add_string(object, "text", cfg == NULL ? "" : cfg_text(cfg));
	add_out_of_service(object, cfg);
	add_freshness(ops, object);
	send_json(msg, 200, object);
}

static void
get_config_status(struct ops *ops, SoupServerMessage *msg, GHashTable *query)
{
	const char *text =
	    query == NULL ? NULL : g_hash_table_lookup(query, "version");
	struct json_object *object;
	guint64 version = fresh_version(ops->opts.fresh);

	if (text != NULL && !g_ascii_string_to_unsigned(
				text, 10, 1, INT64_MAX, &version, NULL)) {
		refuse(msg, ST_INVALID, "version: expected a positive integer");
		return;
	}
	object = json_object_new_object();
	add_version_progress(ops, object, version);
	add_int(
	    object, "held_version", (int64_t)fresh_version(ops->opts.fresh));
	add_freshness(ops, object);
	send_json(msg, 200, object);
}

static void
add_entries(const struct ops *ops, struct json_object *object)
{
	struct json_object *array = json_object_new_array();
	const struct mem_entry *entries;
	size_t i, n;

	entries = mem_list(ops->opts.mem, &n);
	for (i = 0; i < n; i++) {
		struct json_object *item = json_object_new_object();

		add_string(item, "name", entries[i].name);
		add_string(item, "failure_domain", entries[i].failure_domain);
		add_hex(item, "incarnation", entries[i].incarnation);
		add_string(item, "address", entries[i].address);
		add_string(
		    item, "operator_address", entries[i].operator_address);
		json_object_array_add(array, item);
	}
	json_object_object_add(object, "entries", array);
}

static void
add_voters(const struct ops *ops, struct json_object *object)
{
	struct json_object *sets = json_object_new_array();
	const struct cfg *cfg = fresh_config(ops->opts.fresh);
	size_t set, i, n, n_sets = cfg == NULL ? 0 : cfg_voter_sets(cfg);

	for (set = 0; set < n_sets; set++) {
		struct json_object *array = json_object_new_array();
		const struct cfg_voter *voters = cfg_voters(cfg, set, &n);

		for (i = 0; i < n; i++)
			json_object_array_add(
			    array, voter_json(ops, &voters[i]));
		json_object_array_add(sets, array);
	}
	json_object_object_add(object, "voter_sets", sets);
}

static void
get_status(struct ops *ops, SoupServerMessage *msg)
{
	struct json_object *object = json_object_new_object();
	struct json_object *config = json_object_new_object();

	add_string(object, "entry", ops->opts.self.name);
	add_string(object, "failure_domain", ops->opts.self.failure_domain);
	add_hex(object, "incarnation", ops->opts.self.incarnation);
	add_bool(object, "registered", mem_is_registered(ops->opts.mem));
	add_version_progress(ops, config, fresh_version(ops->opts.fresh));
	add_out_of_service(config, fresh_config(ops->opts.fresh));
	add_freshness(ops, config);
	add_voters(ops, config);
	json_object_object_add(object, "config", config);
	add_entries(ops, object);
	if (ops->opts.add_status != NULL)
		ops->opts.add_status(object, ops->opts.ctx);
	send_json(msg, 200, object);
}

static void
request_free(struct request *request)
{
	g_object_unref(request->msg);
	g_free(request);
}

static void
on_done(const struct status *st, uint64_t version, void *ctx)
{
	struct request *request = ctx;
	struct ops *ops = request->ops;
	struct json_object *object;

	request->done = true;
	if (st->code == ST_OK) {
		object = json_object_new_object();
		add_version_progress(ops, object, version);
		send_json(request->msg, 200, object);
	} else {
		send_refusal(request->msg, st);
	}
	if (!request->paused)
		return;
	soup_server_message_unpause(request->msg);
	g_ptr_array_remove_fast(ops->waiting, request);
	request_free(request);
}

static struct request *
request_new(struct ops *ops, SoupServerMessage *msg)
{
	struct request *request = g_new0(struct request, 1);

	request->ops = ops;
	request->msg = g_object_ref(msg);
	return request;
}

/* Pauses the request until on_done(), unless that has run already. */
static void
request_wait(struct request *request)
{
	if (request->done) {
		request_free(request);
		return;
	}
	request->paused = true;
	soup_server_message_pause(request->msg);
	g_ptr_array_add(request->ops->waiting, request);
}

static void
put_config(
    struct ops *ops, SoupServerMessage *msg, const struct jsonc_node *body)
{
	static const char *const keys[] = {
	    "expected_version", "change_id", "text", NULL};
	struct request *request;
	struct status st;
	char *change_id = NULL, *text = NULL;
	int64_t expected = 0;

	if (jsonc_check_keys(body, keys, &st) &&
	    jsonc_int(body, "expected_version", JSONC_REQUIRED, 0, INT64_MAX,
		&expected, &st) &&
	    jsonc_name(body, "change_id", JSONC_REQUIRED, &change_id, &st) &&
	    jsonc_string(body, "text", JSONC_REQUIRED, &text, &st)) {
		request = request_new(ops, msg);
		chg_apply(ops->opts.chg, (uint64_t)expected, change_id, text,
		    on_done, request);
		request_wait(request);
	} else {
		send_refusal(msg, &st);
	}
	g_free(change_id);
	g_free(text);
}

static bool
read_kind(const struct jsonc_node *body, enum cfg_kind *kind, struct status *st)
{
	char *name = NULL;
	bool ok;

	ok = jsonc_string(body, "kind", JSONC_REQUIRED, &name, st);
	if (ok && !cfg_kind_parse(name, kind))
		ok = jsonc_error(body, "kind", st,
		    "expected failure_domain, worker or service");
	g_free(name);
	return ok;
}

static void
post_out(struct ops *ops, SoupServerMessage *msg, const struct jsonc_node *body)
{
	static const char *const keys[] = {
	    "kind", "name", "out", "change_id", NULL};
	struct request *request;
	enum cfg_kind kind;
	struct status st;
	char *name = NULL, *change_id = NULL;
	bool out = false;

	if (jsonc_check_keys(body, keys, &st) && read_kind(body, &kind, &st) &&
	    jsonc_name(body, "name", JSONC_REQUIRED, &name, &st) &&
	    jsonc_bool(body, "out", JSONC_REQUIRED, &out, &st) &&
	    jsonc_name(body, "change_id", JSONC_REQUIRED, &change_id, &st)) {
		request = request_new(ops, msg);
		chg_set_out(ops->opts.chg, kind, name, out, change_id, on_done,
		    request);
		request_wait(request);
	} else {
		send_refusal(msg, &st);
	}
	g_free(name);
	g_free(change_id);
}

static void
post_ended(
    struct ops *ops, SoupServerMessage *msg, const struct jsonc_node *body)
{
	static const char *const keys[] = {"incarnation", "change_id", NULL};
	struct request *request;
	struct status st;
	char *hex = NULL, *change_id = NULL;
	guint64 incarnation;

	if (!jsonc_check_keys(body, keys, &st) ||
	    !jsonc_name(body, "incarnation", JSONC_REQUIRED, &hex, &st) ||
	    !jsonc_name(body, "change_id", JSONC_REQUIRED, &change_id, &st)) {
		send_refusal(msg, &st);
	} else if (!g_ascii_string_to_unsigned(
		       hex, 16, 1, UINT64_MAX, &incarnation, NULL)) {
		refuse(msg, ST_INVALID, "incarnation: expected 16 hex digits");
	} else {
		request = request_new(ops, msg);
		chg_mark_ended(
		    ops->opts.chg, incarnation, change_id, on_done, request);
		request_wait(request);
	}
	g_free(hex);
	g_free(change_id);
}

typedef void (*change_fn)(
    struct ops *ops, SoupServerMessage *msg, const struct jsonc_node *body);

/* Parses the body of a request for a change and calls fn with it. */
static void
handle_change(struct ops *ops, SoupServerMessage *msg, change_fn fn)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct jsonc_node root;
	struct jsonc *doc;
	struct status st;

	if (body->length > MAX_BODY_BYTES) {
		refuse(msg, ST_LIMIT, "the request body is larger than 2 MB");
		return;
	}
	if (body->length > 0 && !jtx_fits(body->data, (size_t)body->length)) {
		refuse(msg, ST_LIMIT, "the request body takes too much memory");
		return;
	}
	doc = jsonc_parse("request", body->data == NULL ? "" : body->data,
	    (size_t)body->length, &st);
	if (doc == NULL || !jsonc_root(doc, &root, &st))
		send_refusal(msg, &st);
	else
		fn(ops, msg, &root);
	jsonc_free(doc);
}

static void
send_text(SoupServerMessage *msg, const char *type, char *text)
{
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(
	    msg, type, SOUP_MEMORY_TAKE, text, strlen(text));
}

static void
get_metrics(struct ops *ops, SoupServerMessage *msg)
{
	send_text(msg, "text/plain; version=0.0.4",
	    ops->opts.metrics != NULL ? ops->opts.metrics(ops->opts.ctx)
				      : g_strdup(""));
}

static void
get_traces(struct ops *ops, SoupServerMessage *msg, GHashTable *query)
{
	const char *trace_id =
	    query == NULL ? NULL : g_hash_table_lookup(query, "trace_id");

	send_text(msg, "application/json",
	    ops->opts.traces != NULL ? ops->opts.traces(trace_id, ops->opts.ctx)
				     : g_strdup("[]"));
}

static bool
route_get(struct ops *ops, SoupServerMessage *msg, const char *path,
    GHashTable *query)
{
	if (strcmp(path, "/v1/config") == 0)
		get_config(ops, msg);
	else if (strcmp(path, "/v1/config/status") == 0)
		get_config_status(ops, msg, query);
	else if (strcmp(path, "/v1/status") == 0)
		get_status(ops, msg);
	else if (strcmp(path, "/metrics") == 0)
		get_metrics(ops, msg);
	else if (strcmp(path, "/v1/traces") == 0)
		get_traces(ops, msg, query);
	else
		return false;
	return true;
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	const char *method = soup_server_message_get_method(msg);
	struct ops *ops = ctx;

	(void)server;
	if (soup_server_message_get_status(msg) != 0)
		return; /* refused by on_headers() */
	if (strcmp(method, "GET") == 0 && route_get(ops, msg, path, query))
		return;
	if (strcmp(method, "PUT") == 0 && strcmp(path, "/v1/config") == 0)
		handle_change(ops, msg, put_config);
	else if (strcmp(method, "POST") == 0 && strcmp(path, "/v1/out") == 0)
		handle_change(ops, msg, post_out);
	else if (strcmp(method, "POST") == 0 && strcmp(path, "/v1/ended") == 0)
		handle_change(ops, msg, post_ended);
	else
		refuse(msg, ST_NOT_FOUND, "no such method and path");
}

/* Refuses a body that is too large before it is stored. */
static void
on_headers(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	(void)server;
	(void)path;
	(void)query;
	(void)ctx;
	if (!hl_body_exceeds(msg, MAX_BODY_BYTES))
		return;
	hl_discard_body(msg);
	refuse(
	    msg, ST_LIMIT, "a body needs Content-Length and is at most 2 MB");
}

static bool
start_listening(struct ops *ops, struct status *st)
{
	hl_set_receive_timeout(ops->server, HL_RECEIVE_TIMEOUT_MS);
	if (!hl_listen(ops->server, ops->opts.listen, st))
		return false;
	ops->port = hl_port(ops->server);
	return true;
}

struct ops *
ops_new(const struct ops_options *opts, struct status *st)
{
	struct ops *ops = g_new0(struct ops, 1);

	ops->opts = *opts;
	ops->waiting = g_ptr_array_new();
	ops->server = soup_server_new("server-header", "spentryd", NULL);
	soup_server_add_early_handler(ops->server, NULL, on_headers, ops, NULL);
	hl_add_handler(ops->server, NULL, on_request, ops);
	if (start_listening(ops, st))
		return ops;
	ops_free(ops);
	return NULL;
}

void
ops_free(struct ops *ops)
{
	guint i;

	if (ops == NULL)
		return;
	for (i = 0; i < ops->waiting->len; i++) {
		struct request *request = g_ptr_array_index(ops->waiting, i);

		chg_cancel(ops->opts.chg, request);
		request_free(request);
	}
	g_ptr_array_free(ops->waiting, TRUE);
	hl_disconnect(ops->server);
	g_object_unref(ops->server);
	g_free(ops);
}

uint16_t
ops_port(const struct ops *ops)
{
	return ops->port;
}
