#include <stdlib.h>
#include <string.h>

#include "rig.h"

struct item {
	char *key;
	char *value; /* base64, NULL: deleted */
	int64_t revision, created;
};

struct watch {
	SoupServerMessage *msg;
	char *prefix;
	int64_t after, until_ms;
};

static GHashTable *items; /* key to struct item */
static GPtrArray *watches;
static int64_t revision = 100;

static void
reply(SoupServerMessage *msg, guint code, struct json_object *body)
{
	const char *text =
	    json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(body);
}

static void
add_int(struct json_object *to, const char *key, int64_t value)
{
	json_object_object_add(to, key, json_object_new_int64(value));
}

static struct json_object *
to_json(const struct item *item)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "key", json_object_new_string(item->key));
	add_int(json, "revision", item->revision);
	if (item->value == NULL) {
		json_object_object_add(
		    json, "deleted", json_object_new_boolean(TRUE));
		return json;
	}
	add_int(json, "created", item->created);
	add_int(json, "lease", 0);
	json_object_object_add(
	    json, "value", json_object_new_string(item->value));
	return json;
}

static int
by_revision(const void *a, const void *b)
{
	const struct item *left = *(struct item *const *)a;
	const struct item *right = *(struct item *const *)b;

	return (left->revision > right->revision) -
	       (left->revision < right->revision);
}

static int
by_key(const void *a, const void *b)
{
	return strcmp(
	    (*(struct item *const *)a)->key, (*(struct item *const *)b)->key);
}

static struct json_object *
select_items(const char *prefix, int64_t after, bool events)
{
	g_autoptr(GPtrArray) found = g_ptr_array_new();
	struct json_object *rows = json_object_new_array();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (g_str_has_prefix(item->key, prefix) &&
		    item->revision > after && (events || item->value != NULL))
			g_ptr_array_add(found, item);
	}
	g_ptr_array_sort(found, events ? by_revision : by_key);
	for (i = 0; i < found->len; i++)
		json_object_array_add(rows, to_json(found->pdata[i]));
	return rows;
}

static gboolean
check_watches(gpointer data)
{
	guint i = 0;

	(void)data;
	while (i < watches->len) {
		struct watch *watch = watches->pdata[i];
		struct json_object *rows =
		    select_items(watch->prefix, watch->after, true);
		struct json_object *body;

		if (json_object_array_length(rows) == 0 &&
		    rec_now_ms() < watch->until_ms) {
			json_object_put(rows);
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(watches, i);
		body = json_object_new_object();
		json_object_object_add(body, "events", rows);
		add_int(body, "as_of", revision);
		reply(watch->msg, 200, body);
		soup_server_message_unpause(watch->msg);
		g_object_unref(watch->msg);
		g_free(watch->prefix);
		g_free(watch);
	}
	return G_SOURCE_CONTINUE;
}

static void
set(const char *key, const char *value)
{
	struct item *item = g_hash_table_lookup(items, key);

	if (item == NULL) {
		item = g_new0(struct item, 1);
		item->key = g_strdup(key);
		g_hash_table_insert(items, item->key, item);
	}
	if (item->value == NULL)
		item->created = revision + 1;
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = revision + 1;
}

void
store_put(const char *key, const char *text)
{
	g_autofree char *value =
	    g_base64_encode((const guchar *)text, strlen(text));

	set(key, value);
	revision++;
	check_watches(NULL);
}

static int64_t
revision_of(const char *key)
{
	const struct item *item = g_hash_table_lookup(items, key);

	return item == NULL || item->value == NULL ? 0 : item->revision;
}

static struct json_object *
member(struct json_object *from, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(from, key, &value);
	return value;
}

static size_t
length(struct json_object *array)
{
	return array == NULL ? 0 : json_object_array_length(array);
}

static void
transact(SoupServerMessage *msg)
{
	SoupMessageBody *raw = soup_server_message_get_request_body(msg);
	struct json_object *body = json_tokener_parse(raw->data);
	struct json_object *answer = json_object_new_object();
	struct json_object *rows = member(body, "expected_revision");
	size_t i;

	for (i = 0; i < length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (revision_of(json_object_get_string(member(row, "key"))) ==
		    json_object_get_int64(member(row, "revision")))
			continue;
		json_object_object_add(
		    answer, "items", json_object_new_array());
		reply(msg, 412, answer);
		json_object_put(body);
		return;
	}
	rows = member(body, "set_keys");
	for (i = 0; i < length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		set(json_object_get_string(member(row, "key")),
		    json_object_get_string(member(row, "value")));
	}
	rows = member(body, "remove");
	for (i = 0; i < length(rows); i++)
		set(json_object_get_string(json_object_array_get_idx(rows, i)),
		    NULL);
	add_int(answer, "revision", ++revision);
	reply(msg, 200, answer);
	json_object_put(body);
	check_watches(NULL);
}

static const char *
param(GHashTable *query, const char *key)
{
	const char *value =
	    query == NULL ? NULL : g_hash_table_lookup(query, key);

	return value == NULL ? "" : value;
}

static void
handle(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct json_object *body;
	struct watch *watch;

	(void)server;
	(void)data;
	if (g_str_has_suffix(path, "/kv-txn")) {
		transact(msg);
	} else if (g_str_has_suffix(path, "/kv-range")) {
		body = json_object_new_object();
		json_object_object_add(body, "items",
		    select_items(param(query, "prefix"), 0, false));
		json_object_object_add(
		    body, "has_more", json_object_new_boolean(FALSE));
		add_int(body, "as_of", revision);
		reply(msg, 200, body);
	} else if (g_str_has_suffix(path, "/kv-watch")) {
		watch = g_new0(struct watch, 1);
		watch->msg = g_object_ref(msg);
		watch->prefix = g_strdup(param(query, "prefix"));
		watch->after = atoll(param(query, "after"));
		watch->until_ms = rec_now_ms() + atoll(param(query, "wait_ms"));
		soup_server_message_pause(msg);
		g_ptr_array_add(watches, watch);
		check_watches(NULL);
	} else {
		reply(msg, 404, json_object_new_object());
	}
}

uint16_t
store_start(void)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	uint16_t port = rig_free_port();
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GError *error = NULL;

	items = g_hash_table_new(g_str_hash, g_str_equal);
	watches = g_ptr_array_new();
	soup_server_add_handler(server, NULL, handle, NULL, NULL);
	if (!soup_server_listen(server, address, 0, &error))
		rig_fail("store: %s", error->message);
	g_object_unref(address);
	g_timeout_add(50, check_watches, NULL);
	return port;
}
