#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <string.h>

#include "etcd.h"
#include "process/fields.h"

#define MAX_CONNECTIONS 16

struct etcd {
	struct store store; /* first, see store.h */
	SoupSession *session;
	char *url;
	int64_t timeout_ms;
	int64_t *calls;
	GPtrArray *active; /* struct call, not owned */
};

enum call_kind { READ, WRITE, LEASE };

struct call {
	struct etcd *etcd; /* NULL after the adapter was freed */
	enum call_kind kind;
	store_read_fn on_read;
	store_write_fn on_write;
	store_lease_fn on_lease;
	void *ctx;
	bool cancelled;
	SoupMessage *msg;
	GCancellable *cancellable;
	guint timer;
	bool timed_out;
};

static struct json_object *
base64_string(const char *data, size_t len)
{
	char *text = g_base64_encode((const guchar *)data, len);
	struct json_object *value = json_object_new_string(text);

	g_free(text);
	return value;
}

/* The gateway writes 64-bit integers as strings and omits zeros. */
static int64_t
get_int(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return 0;
	return json_object_get_int64(value);
}

static char *
get_bytes(struct json_object *object, const char *key, gsize *len)
{
	struct json_object *value;

	*len = 0;
	if (!json_object_object_get_ex(object, key, &value))
		return g_strdup("");
	return (char *)g_base64_decode(json_object_get_string(value), len);
}

static void
complete_call(struct call *call, const struct status *st, const void *values,
    size_t n, size_t total, int64_t number, int64_t ttl_s)
{
	if (call->cancelled)
		return;
	call->cancelled = true;
	if (call->kind == READ)
		call->on_read(st, values, n, total, call->ctx);
	else if (call->kind == WRITE)
		call->on_write(st, number, call->ctx);
	else
		call->on_lease(st, number, ttl_s, call->ctx);
}

static void
complete_read(
    struct call *call, struct json_object *reply, const struct status *st)
{
	struct json_object *kvs = NULL, *kv;
	struct store_value *values;
	size_t i, n = 0;
	gsize len;

	if (json_object_object_get_ex(reply, "kvs", &kvs) &&
	    json_object_is_type(kvs, json_type_array))
		n = json_object_array_length(kvs);
	values = g_new0(struct store_value, n + 1);
	for (i = 0; i < n; i++) {
		kv = json_object_array_get_idx(kvs, i);
		values[i].key = get_bytes(kv, "key", &len);
		values[i].data = get_bytes(kv, "value", &len);
		values[i].len = len;
		values[i].mod_revision = get_int(kv, "mod_revision");
	}
	complete_call(
	    call, st, values, n, (size_t)get_int(reply, "count"), 0, 0);
	for (i = 0; i < n; i++) {
		g_free((char *)values[i].key);
		g_free((char *)values[i].data);
	}
	g_free(values);
}

static void
complete_write(struct call *call, struct json_object *reply, struct status *st)
{
	struct json_object *header = NULL, *succeeded = NULL;
	int64_t revision;

	json_object_object_get_ex(reply, "header", &header);
	revision = get_int(header, "revision");
	/* Only a transaction has "succeeded", which is omitted if false. */
	if (json_object_object_get_ex(reply, "succeeded", &succeeded) &&
	    json_object_get_boolean(succeeded)) {
		complete_call(call, st, NULL, 0, 0, revision, 0);
		return;
	}
	if (g_str_has_suffix(
		g_uri_get_path(soup_message_get_uri(call->msg)), "/txn")) {
		st_set(st, ST_CONFLICT, "the key was changed concurrently");
		revision = 0;
	}
	complete_call(call, st, NULL, 0, 0, revision, 0);
}

static void
complete_lease(struct call *call, struct json_object *reply, struct status *st)
{
	struct json_object *result;
	int64_t lease, ttl_s;

	/* keepalive is a streaming call: each message is under "result". */
	if (!json_object_object_get_ex(reply, "result", &result))
		result = reply;
	lease = get_int(result, "ID");
	ttl_s = get_int(result, "TTL");
	if (ttl_s <= 0 &&
	    !g_str_has_suffix(
		g_uri_get_path(soup_message_get_uri(call->msg)), "/revoke"))
		st_set(st, ST_NOT_FOUND, "the lease has expired");
	complete_call(call, st, NULL, 0, 0, lease, ttl_s);
}

static void
fail_call(struct call *call, const char *why, bool may_have_arrived)
{
	struct status st;

	if (call->kind == WRITE && may_have_arrived)
		st_set(&st, ST_UNKNOWN, "store write has no reply: %s", why);
	else if (call->timed_out)
		st_set(&st, ST_TIMEOUT, "store: %s", why);
	else
		st_set(&st, ST_UNAVAILABLE, "store: %s", why);
	complete_call(call, &st, NULL, 0, 0, 0, 0);
}

static void
handle_reply(struct call *call, GBytes *body)
{
	struct status st = {.code = ST_OK};
	struct json_object *reply;
	const char *data;
	gsize len;
	guint code = soup_message_get_status(call->msg);
	char why[160];

	data = g_bytes_get_data(body, &len);
	/* gRPC code 5 (NOT_FOUND), for an expired lease, gives status 404. */
	if (code == SOUP_STATUS_NOT_FOUND && call->kind != READ) {
		st_set(&st, ST_NOT_FOUND, "the lease has expired");
		complete_call(call, &st, NULL, 0, 0, 0, 0);
		return;
	}
	if (code != SOUP_STATUS_OK) {
		g_snprintf(why, sizeof(why), "HTTP status %u: %.*s", code,
		    (int)MIN(len, 100), len > 0 ? data : "");
		fail_call(call, why, true);
		return;
	}
	reply = fld_parse(data, len, &st);
	if (!json_object_is_type(reply, json_type_object))
		fail_call(call, "reply is not a JSON object", true);
	else if (call->kind == READ)
		complete_read(call, reply, &st);
	else if (call->kind == WRITE)
		complete_write(call, reply, &st);
	else
		complete_lease(call, reply, &st);
	json_object_put(reply);
}

static void
call_free(struct call *call)
{
	if (call->timer != 0)
		g_source_remove(call->timer);
	if (call->etcd != NULL)
		g_ptr_array_remove_fast(call->etcd->active, call);
	g_object_unref(call->msg);
	g_object_unref(call->cancellable);
	g_free(call);
}

static void
on_sent(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct call *call = ctx;
	GError *error = NULL;
	GBytes *body;

	body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, &error);
	if (body != NULL) {
		handle_reply(call, body);
		g_bytes_unref(body);
	} else {
		/* Only a refused connection proves that nothing was sent. */
		fail_call(call,
		    call->timed_out ? "no reply in time" : error->message,
		    !g_error_matches(
			error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED));
		g_error_free(error);
	}
	call_free(call);
}

static gboolean
on_timeout(gpointer ctx)
{
	struct call *call = ctx;

	call->timer = 0;
	call->timed_out = true;
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

/* Sends a request and takes ownership of body. */
static void
send_request(struct store *store, const char *path, struct json_object *body,
    const struct call *template)
{
	struct etcd *etcd = (struct etcd *)store;
	struct call *call = g_memdup2(template, sizeof(*template));
	char *uri = g_strconcat(etcd->url, path, NULL);
	const char *text;
	GBytes *bytes;

	if (etcd->calls != NULL)
		(*etcd->calls)++;
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	bytes = g_bytes_new(text, strlen(text));
	call->etcd = etcd;
	call->msg = soup_message_new(SOUP_METHOD_POST, uri);
	soup_message_set_request_body_from_bytes(
	    call->msg, "application/json", bytes);
	call->cancellable = g_cancellable_new();
	call->timer = g_timeout_add((guint)etcd->timeout_ms, on_timeout, call);
	g_ptr_array_add(etcd->active, call);
	soup_session_send_and_read_async(etcd->session, call->msg,
	    G_PRIORITY_DEFAULT, call->cancellable, on_sent, call);
	g_bytes_unref(bytes);
	g_free(uri);
	json_object_put(body);
}

static void
etcd_read(struct store *store, const char *key, int64_t min_mod_revision,
    store_read_fn fn, void *ctx)
{
	struct call call = {.kind = READ, .on_read = fn, .ctx = ctx};
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "key", base64_string(key, strlen(key)));
	if (min_mod_revision > 0)
		json_object_object_add(body, "min_mod_revision",
		    json_object_new_int64(min_mod_revision));
	send_request(store, "/v3/kv/range", body, &call);
}

static void
etcd_read_prefix(
    struct store *store, const char *prefix, store_read_fn fn, void *ctx)
{
	struct call call = {.kind = READ, .on_read = fn, .ctx = ctx};
	struct json_object *body = json_object_new_object();
	size_t len = strlen(prefix);
	char *end = g_strdup(prefix);

	/* The smallest key greater than all keys with the prefix. */
	end[len - 1]++;
	json_object_object_add(body, "key", base64_string(prefix, len));
	json_object_object_add(body, "range_end", base64_string(end, len));
	g_free(end);
	send_request(store, "/v3/kv/range", body, &call);
}

static struct json_object *
put_request(const char *key, const char *data, size_t len, int64_t lease)
{
	struct json_object *put = json_object_new_object();

	json_object_object_add(put, "key", base64_string(key, strlen(key)));
	json_object_object_add(put, "value", base64_string(data, len));
	if (lease != 0)
		json_object_object_add(
		    put, "lease", json_object_new_int64(lease));
	return put;
}

/* A key that does not exist has the mod revision 0. */
static void
etcd_compare_and_swap(struct store *store, const char *key,
    int64_t mod_revision, const char *data, size_t len, store_write_fn fn,
    void *ctx)
{
	struct call call = {.kind = WRITE, .on_write = fn, .ctx = ctx};
	struct json_object *body = json_object_new_object();
	struct json_object *compare = json_object_new_object();
	struct json_object *compares = json_object_new_array();
	struct json_object *op = json_object_new_object();
	struct json_object *ops = json_object_new_array();

	json_object_object_add(compare, "key", base64_string(key, strlen(key)));
	json_object_object_add(
	    compare, "target", json_object_new_string("MOD"));
	json_object_object_add(
	    compare, "result", json_object_new_string("EQUAL"));
	json_object_object_add(
	    compare, "mod_revision", json_object_new_int64(mod_revision));
	json_object_array_add(compares, compare);
	json_object_object_add(
	    op, "request_put", put_request(key, data, len, 0));
	json_object_array_add(ops, op);
	json_object_object_add(body, "compare", compares);
	json_object_object_add(body, "success", ops);
	send_request(store, "/v3/kv/txn", body, &call);
}

static void
etcd_put(struct store *store, const char *key, const char *data, size_t len,
    int64_t lease, store_write_fn fn, void *ctx)
{
	struct call call = {.kind = WRITE, .on_write = fn, .ctx = ctx};

	send_request(
	    store, "/v3/kv/put", put_request(key, data, len, lease), &call);
}

static void
etcd_remove(struct store *store, const char *key, store_write_fn fn, void *ctx)
{
	struct call call = {.kind = WRITE, .on_write = fn, .ctx = ctx};
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "key", base64_string(key, strlen(key)));
	send_request(store, "/v3/kv/deleterange", body, &call);
}

static void
send_lease_request(struct store *store, const char *path, const char *key,
    int64_t value, store_lease_fn fn, void *ctx)
{
	struct call call = {.kind = LEASE, .on_lease = fn, .ctx = ctx};
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, key, json_object_new_int64(value));
	send_request(store, path, body, &call);
}

static void
etcd_grant(struct store *store, int64_t ttl_s, store_lease_fn fn, void *ctx)
{
	send_lease_request(store, "/v3/lease/grant", "TTL", ttl_s, fn, ctx);
}

static void
etcd_keepalive(struct store *store, int64_t lease, store_lease_fn fn, void *ctx)
{
	send_lease_request(store, "/v3/lease/keepalive", "ID", lease, fn, ctx);
}

static void
etcd_revoke(struct store *store, int64_t lease, store_lease_fn fn, void *ctx)
{
	send_lease_request(store, "/v3/lease/revoke", "ID", lease, fn, ctx);
}

static void
etcd_cancel(struct store *store, const void *ctx)
{
	struct etcd *etcd = (struct etcd *)store;
	guint i;

	for (i = 0; i < etcd->active->len; i++) {
		struct call *call = g_ptr_array_index(etcd->active, i);

		if (call->ctx == ctx)
			call->cancelled = true;
	}
}

static void
etcd_free(struct store *store)
{
	struct etcd *etcd = (struct etcd *)store;
	guint i;

	/* The cancelled calls free themselves when the main loop runs next. */
	for (i = 0; i < etcd->active->len; i++) {
		struct call *call = g_ptr_array_index(etcd->active, i);

		call->cancelled = true;
		call->etcd = NULL;
		g_cancellable_cancel(call->cancellable);
	}
	g_ptr_array_free(etcd->active, TRUE);
	g_object_unref(etcd->session);
	g_free(etcd->url);
	g_free(etcd);
}

static const struct store_ops etcd_ops = {
    .read = etcd_read,
    .read_prefix = etcd_read_prefix,
    .compare_and_swap = etcd_compare_and_swap,
    .put = etcd_put,
    .remove = etcd_remove,
    .grant = etcd_grant,
    .keepalive = etcd_keepalive,
    .revoke = etcd_revoke,
    .cancel = etcd_cancel,
    .free = etcd_free,
};

/* Opens no connection before the first call. */
struct store *
etcd_new(const struct etcd_options *opts)
{
	struct etcd *etcd = g_new0(struct etcd, 1);

	etcd->store.ops = &etcd_ops;
	etcd->url = g_strdup(opts->url);
	etcd->timeout_ms = opts->timeout_ms;
	etcd->calls = opts->calls;
	etcd->active = g_ptr_array_new();
	etcd->session = soup_session_new_with_options("max-conns",
	    MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
	    "idle-timeout", 10, "proxy-resolver", NULL, NULL);
	return &etcd->store;
}
