/*
 * In-memory stand-in for etcd: the part of its v3 JSON gateway that the entries
 * use, with faults on request.
 *
 *   standin_store [--port N] [--control-port N]
 *
 * Prints "port N control M" once it listens; 0 picks a free port.  Control
 * routes (POST, on the control port):
 *   /control/outage?mode=off|refuse|hang
 *   /control/slow?ms=N
 *   /control/drop?writes=N	executes the next N writes without a reply
 *   /control/expire		removes all leases now
 *   GET /control/counts	calls by kind as JSON
 */
#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXPIRY_CHECK_PERIOD_MS 100

struct item {
	char *data;
	gsize len;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
};

struct lease {
	int64_t ttl_s;
	int64_t expires_us;
};

static SoupServer *server;
static guint port;
static GTree *items;	   /* key -> struct item */
static GHashTable *leases; /* id -> struct lease */
static int64_t revision = 1;
static int64_t next_lease = 1000;
static bool hang_requests, refuse_connections;
static int64_t slow_ms, drop_writes;
static GPtrArray *hanging;
static int64_t n_range, n_prefix, n_txn, n_put, n_delete, n_grant, n_keepalive,
    n_revoke;

static void
item_free(void *p)
{
	struct item *item = p;

	g_free(item->data);
	g_free(item);
}

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
	char *text, *data;

	*len = 0;
	if (!json_object_object_get_ex(object, key, &value))
		return NULL;
	data = (char *)g_base64_decode(json_object_get_string(value), len);
	text = g_malloc(*len + 1);
	memcpy(text, data, *len);
	text[*len] = '\0';
	g_free(data);
	return text;
}

/* The gateway writes 64-bit integers as strings and omits zeros. */
static void
add_int(struct json_object *object, const char *key, int64_t n)
{
	char text[32];

	if (n == 0)
		return;
	snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, n);
	json_object_object_add(object, key, json_object_new_string(text));
}

static void
add_bytes(
    struct json_object *object, const char *key, const char *data, gsize len)
{
	char *text = g_base64_encode((const guchar *)data, len);

	json_object_object_add(object, key, json_object_new_string(text));
	g_free(text);
}

static struct json_object *
reply_new(void)
{
	struct json_object *reply = json_object_new_object();
	struct json_object *header = json_object_new_object();

	add_int(header, "revision", revision);
	json_object_object_add(reply, "header", header);
	return reply;
}

struct range {
	const char *key;
	const char *end; /* NULL: only key */
	int64_t min_mod;
	int64_t count;
	struct json_object *kvs;
};

static gboolean
add_in_range(gpointer key, gpointer value, gpointer ctx)
{
	struct range *range = ctx;
	struct item *item = value;
	struct json_object *kv;

	if (strcmp(key, range->key) < 0)
		return FALSE;
	if (range->end == NULL ? strcmp(key, range->key) != 0
			       : strcmp(key, range->end) >= 0)
		return TRUE;
	range->count++;
	if (item->mod_revision < range->min_mod)
		return FALSE;
	kv = json_object_new_object();
	add_bytes(kv, "key", key, strlen(key));
	add_bytes(kv, "value", item->data, item->len);
	add_int(kv, "create_revision", item->create_revision);
	add_int(kv, "mod_revision", item->mod_revision);
	add_int(kv, "version", item->version);
	add_int(kv, "lease", item->lease);
	json_object_array_add(range->kvs, kv);
	return FALSE;
}

static struct json_object *
do_range(struct json_object *body)
{
	struct json_object *reply = reply_new();
	gsize len;
	char *key = get_bytes(body, "key", &len);
	char *end = get_bytes(body, "range_end", &len);
	struct range range = {key != NULL ? key : "", end,
	    get_int(body, "min_mod_revision"), 0, json_object_new_array()};

	if (end != NULL)
		n_prefix++;
	else
		n_range++;
	g_tree_foreach(items, add_in_range, &range);
	json_object_object_add(reply, "kvs", range.kvs);
	add_int(reply, "count", range.count);
	g_free(key);
	g_free(end);
	return reply;
}

static bool
put(struct json_object *body)
{
	gsize key_len, len;
	char *key = get_bytes(body, "key", &key_len);
	char *data = get_bytes(body, "value", &len);
	int64_t lease = get_int(body, "lease");
	struct item *old, *item;

	if (key == NULL ||
	    (lease != 0 && !g_hash_table_contains(leases, &lease))) {
		g_free(key);
		g_free(data);
		return false;
	}
	old = g_tree_lookup(items, key);
	item = g_new0(struct item, 1);
	revision++;
	item->data = data;
	item->len = len;
	item->mod_revision = revision;
	item->create_revision = old != NULL ? old->create_revision : revision;
	item->version = old != NULL ? old->version + 1 : 1;
	item->lease = lease;
	g_tree_replace(items, key, item);
	return true;
}

static bool
compare_holds(struct json_object *compare)
{
	struct json_object *target = NULL;
	gsize len;
	char *key = get_bytes(compare, "key", &len);
	struct item *item = key == NULL ? NULL : g_tree_lookup(items, key);
	const char *name;

	g_free(key);
	json_object_object_get_ex(compare, "target", &target);
	name = json_object_get_string(target);
	if (name != NULL && strcmp(name, "MOD") == 0)
		return get_int(compare, "mod_revision") ==
		       (item == NULL ? 0 : item->mod_revision);
	return get_int(compare, "version") ==
	       (item == NULL ? 0 : item->version);
}

static struct json_object *
do_txn(struct json_object *body)
{
	struct json_object *reply, *list, *op;
	bool holds = true;
	size_t i;

	n_txn++;
	if (json_object_object_get_ex(body, "compare", &list)) {
		for (i = 0; i < json_object_array_length(list); i++)
			holds =
			    holds &&
			    compare_holds(json_object_array_get_idx(list, i));
	}
	if (json_object_object_get_ex(
		body, holds ? "success" : "failure", &list)) {
		for (i = 0; i < json_object_array_length(list); i++) {
			if (json_object_object_get_ex(
				json_object_array_get_idx(list, i),
				"request_put", &op))
				put(op);
		}
	}
	reply = reply_new();
	if (holds)
		json_object_object_add(
		    reply, "succeeded", json_object_new_boolean(1));
	return reply;
}

static struct json_object *
do_put(struct json_object *body)
{
	n_put++;
	return put(body) ? reply_new() : NULL;
}

static struct json_object *
do_delete(struct json_object *body)
{
	struct json_object *reply;
	gsize len;
	char *key = get_bytes(body, "key", &len);

	n_delete++;
	revision++;
	reply = reply_new();
	if (key != NULL && g_tree_remove(items, key))
		add_int(reply, "deleted", 1);
	g_free(key);
	return reply;
}

static struct json_object *
do_grant(struct json_object *body)
{
	struct json_object *reply = reply_new();
	struct lease *lease = g_new0(struct lease, 1);
	int64_t id = next_lease++;

	n_grant++;
	lease->ttl_s = get_int(body, "TTL");
	lease->expires_us =
	    g_get_monotonic_time() + lease->ttl_s * G_USEC_PER_SEC;
	g_hash_table_insert(leases, g_memdup2(&id, sizeof(id)), lease);
	add_int(reply, "ID", id);
	add_int(reply, "TTL", lease->ttl_s);
	return reply;
}

static struct json_object *
do_keepalive(struct json_object *body)
{
	struct json_object *reply = json_object_new_object();
	struct json_object *result = reply_new();
	int64_t id = get_int(body, "ID");
	struct lease *lease = g_hash_table_lookup(leases, &id);

	n_keepalive++;
	add_int(result, "ID", id);
	if (lease != NULL) {
		lease->expires_us =
		    g_get_monotonic_time() + lease->ttl_s * G_USEC_PER_SEC;
		add_int(result, "TTL", lease->ttl_s);
	}
	json_object_object_add(reply, "result", result);
	return reply;
}

static gboolean
collect_unleased(gpointer key, gpointer value, gpointer ctx)
{
	struct item *item = value;

	if (item->lease != 0 && !g_hash_table_contains(leases, &item->lease))
		g_ptr_array_add(ctx, g_strdup(key));
	return FALSE;
}

static void
remove_unleased_items(void)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	guint i;

	g_tree_foreach(items, collect_unleased, keys);
	if (keys->len > 0)
		revision++;
	for (i = 0; i < keys->len; i++)
		g_tree_remove(items, g_ptr_array_index(keys, i));
	g_ptr_array_free(keys, TRUE);
}

static struct json_object *
do_revoke(struct json_object *body)
{
	int64_t id = get_int(body, "ID");

	n_revoke++;
	if (!g_hash_table_remove(leases, &id))
		return NULL;
	remove_unleased_items();
	return reply_new();
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	return ((struct lease *)value)->expires_us < g_get_monotonic_time();
}

static gboolean
on_expire_timer(gpointer ctx)
{
	(void)ctx;
	if (g_hash_table_foreach_remove(leases, is_expired, NULL) > 0)
		remove_unleased_items();
	return G_SOURCE_CONTINUE;
}

static const struct route {
	const char *path;
	struct json_object *(*fn)(struct json_object *body);
	bool write;
} routes[] = {
    {"/v3/kv/range", do_range, false},
    {"/v3/kv/txn", do_txn, true},
    {"/v3/kv/put", do_put, true},
    {"/v3/kv/deleterange", do_delete, true},
    {"/v3/lease/grant", do_grant, false},
    {"/v3/lease/keepalive", do_keepalive, false},
    {"/v3/lease/revoke", do_revoke, false},
};

static void
answer(SoupServerMessage *msg, const struct route *route)
{
	SoupMessageBody *request = soup_server_message_get_request_body(msg);
	struct json_tokener *tok = json_tokener_new();
	struct json_object *body, *reply = NULL;
	const char *text;

	body = json_tokener_parse_ex(tok, request->data, (int)request->length);
	json_tokener_free(tok);
	if (body != NULL)
		reply = route->fn(body);
	if (reply == NULL) {
		soup_server_message_set_status(
		    msg, body == NULL ? 400 : 404, NULL);
		json_object_put(body);
		return;
	}
	text = json_object_to_json_string_ext(reply, JSON_C_TO_STRING_PLAIN);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(reply);
	json_object_put(body);
	if (route->write && drop_writes > 0) {
		drop_writes--;
		g_socket_shutdown(
		    soup_server_message_get_socket(msg), TRUE, TRUE, NULL);
	}
}

struct delayed {
	SoupServerMessage *msg;
	const struct route *route;
};

static gboolean
on_delayed(gpointer ctx)
{
	struct delayed *delayed = ctx;

	if (!hang_requests && !refuse_connections)
		answer(delayed->msg, delayed->route);
	soup_server_message_unpause(delayed->msg);
	g_object_unref(delayed->msg);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static void
on_request(SoupServer *soup, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	struct delayed *delayed;
	size_t i;

	(void)soup;
	(void)query;
	(void)ctx;
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, path) == 0)
			break;
	}
	if (i == G_N_ELEMENTS(routes)) {
		soup_server_message_set_status(msg, 404, NULL);
	} else if (hang_requests) {
		soup_server_message_pause(msg);
		g_ptr_array_add(hanging, g_object_ref(msg));
	} else if (slow_ms > 0) {
		delayed = g_new(struct delayed, 1);
		delayed->msg = g_object_ref(msg);
		delayed->route = &routes[i];
		soup_server_message_pause(msg);
		g_timeout_add((guint)slow_ms, on_delayed, delayed);
	} else {
		answer(msg, &routes[i]);
	}
}

static guint
listen_on(SoupServer *soup, guint wanted)
{
	GError *error = NULL;
	GSList *uris;
	guint bound;

	if (!soup_server_listen_local(
		soup, wanted, SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		fprintf(stderr, "standin_store: %s\n", error->message);
		exit(1);
	}
	uris = soup_server_get_uris(soup);
	bound = (guint)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return bound;
}

static void
release_hanging(void)
{
	guint i;

	/*
	 * Requests that were left hanging are not executed: their connections
	 * are closed.
	 */
	for (i = 0; i < hanging->len; i++) {
		SoupServerMessage *msg = g_ptr_array_index(hanging, i);
		GSocket *socket = soup_server_message_get_socket(msg);

		if (socket != NULL)
			g_socket_shutdown(socket, TRUE, TRUE, NULL);
		soup_server_message_set_status(msg, 503, NULL);
		soup_server_message_unpause(msg);
	}
	g_ptr_array_set_size(hanging, 0);
}

static void
set_outage(const char *mode)
{
	bool refuse_now = strcmp(mode, "refuse") == 0;

	hang_requests = strcmp(mode, "hang") == 0;
	if (!hang_requests)
		release_hanging();
	if (refuse_now && !refuse_connections)
		soup_server_disconnect(server);
	if (!refuse_now && refuse_connections)
		listen_on(server, port);
	refuse_connections = refuse_now;
}

static char *
counts(void)
{
	return g_strdup_printf("{\"range\":%d,\"prefix\":%d,\"txn\":%d,"
			       "\"put\":%d,\"delete\":%d,\"grant\":%d,"
			       "\"keepalive\":%d,\"revoke\":%d}\n",
	    (int)n_range, (int)n_prefix, (int)n_txn, (int)n_put, (int)n_delete,
	    (int)n_grant, (int)n_keepalive, (int)n_revoke);
}

static const char *
param(GHashTable *query, const char *name, const char *missing)
{
	const char *value =
	    query == NULL ? NULL : g_hash_table_lookup(query, name);

	return value == NULL ? missing : value;
}

static void
on_control(SoupServer *soup, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer ctx)
{
	char *text = NULL;

	(void)soup;
	(void)ctx;
	if (strcmp(path, "/control/outage") == 0) {
		set_outage(param(query, "mode", "off"));
	} else if (strcmp(path, "/control/slow") == 0) {
		slow_ms = g_ascii_strtoll(param(query, "ms", "0"), NULL, 10);
	} else if (strcmp(path, "/control/drop") == 0) {
		drop_writes =
		    g_ascii_strtoll(param(query, "writes", "0"), NULL, 10);
	} else if (strcmp(path, "/control/expire") == 0) {
		g_hash_table_remove_all(leases);
		remove_unleased_items();
	} else if (strcmp(path, "/control/counts") == 0) {
		text = counts();
	} else {
		soup_server_message_set_status(msg, 404, NULL);
		return;
	}
	if (text == NULL)
		text = g_strdup("{}\n");
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_TAKE, text, strlen(text));
}

static int
compare_keys(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

int
main(int argc, char **argv)
{
	int data_port = 0, control_port = 0;
	GOptionEntry options[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &data_port, "gateway port", "N"},
	    {"control-port", 0, 0, G_OPTION_ARG_INT, &control_port,
		"control port", "N"},
	    {0}};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	SoupServer *control;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "standin_store: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	leases =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	hanging = g_ptr_array_new_with_free_func(g_object_unref);
	server = soup_server_new(NULL, NULL);
	soup_server_add_handler(server, NULL, on_request, NULL, NULL);
	control = soup_server_new(NULL, NULL);
	soup_server_add_handler(control, NULL, on_control, NULL, NULL);
	port = listen_on(server, (guint)data_port);
	printf("port %u control %u\n", port,
	    listen_on(control, (guint)control_port));
	fflush(stdout);
	g_timeout_add(EXPIRY_CHECK_PERIOD_MS, on_expire_timer, NULL);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
