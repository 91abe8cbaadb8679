#include <stdlib.h>
#include <string.h>

#include "jsonreply.h"
#include "kvstandin.h"
#include "process/clock.h"

struct item {
	GBytes *data; /* NULL: deleted */
	int64_t revision;
	int64_t created; /* revision of the first value since a deletion */
};

/* A call that is answered when a key with its prefix changes. */
struct watch {
	SoupServerMessage *msg;
	char *prefix;
	int64_t after;	  /* answered with later revisions */
	int64_t until_ms; /* answered then at the latest */
};

static GHashTable *items; /* key -> struct item */
static GPtrArray *watches;
static int64_t revision = 1;
static bool is_down;

static void
item_free(gpointer data)
{
	struct item *item = data;

	g_clear_pointer(&item->data, g_bytes_unref);
	g_free(item);
}

static struct json_object *
item_json(const char *key, const struct item *item)
{
	struct json_object *json = json_object_new_object();
	gsize len;

	json_object_object_add(json, "key", json_object_new_string(key));
	jrep_add_int(json, "revision", item->revision);
	if (item->data == NULL) {
		json_object_object_add(
		    json, "deleted", json_object_new_boolean(TRUE));
	} else {
		const guchar *data = g_bytes_get_data(item->data, &len);
		g_autofree char *text = g_base64_encode(data, len);

		json_object_object_add(
		    json, "value", json_object_new_string(text));
		jrep_add_int(json, "created", item->created);
	}
	return json;
}

/* Returns items changed after a revision; deleted ones only with deletions. */
static struct json_object *
select_items(const char *prefix, int64_t after, bool deletions)
{
	struct json_object *rows = json_object_new_array();
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct item *item = value;

		if (g_str_has_prefix(key, prefix) && item->revision > after &&
		    (deletions || item->data != NULL))
			json_object_array_add(rows, item_json(key, item));
	}
	return rows;
}

static void
answer_watch(struct watch *watch, struct json_object *events)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "events", events);
	jrep_add_int(body, "as_of", revision);
	jrep_send(watch->msg, 200, body);
	soup_server_message_unpause(watch->msg);
	g_object_unref(watch->msg);
	g_free(watch->prefix);
	g_free(watch);
}

void
kvs_check_watches(void)
{
	guint i = 0;

	while (i < watches->len) {
		struct watch *watch = watches->pdata[i];
		struct json_object *events =
		    select_items(watch->prefix, watch->after, true);

		if (!is_down && (json_object_array_length(events) > 0 ||
				    clk_now_ms() >= watch->until_ms)) {
			g_ptr_array_remove_index_fast(watches, i);
			answer_watch(watch, events);
			continue;
		}
		json_object_put(events);
		i++;
	}
}

/* Writes a key and answers its watches; data NULL deletes the key. */
void
kvs_write(const char *key, GBytes *data)
{
	const struct item *former = g_hash_table_lookup(items, key);
	struct item *item = g_new0(struct item, 1);

	item->data = data;
	item->revision = ++revision;
	item->created = former != NULL && former->data != NULL ? former->created
							       : item->revision;
	g_hash_table_replace(items, g_strdup(key), item);
	kvs_check_watches();
}

static void
handle_transaction(SoupServerMessage *msg)
{
	struct json_object *body = jrep_body(msg);
	struct json_object *answer = json_object_new_object();
	struct json_object *sets;
	size_t i;

	if (json_object_object_get_ex(body, "set_keys", &sets)) {
		for (i = 0; i < json_object_array_length(sets); i++) {
			struct json_object *set =
			    json_object_array_get_idx(sets, i);
			gsize len;
			guchar *data =
			    g_base64_decode(jrep_string(set, "value"), &len);

			kvs_write(jrep_string(set, "key"),
			    g_bytes_new_take(data, len));
		}
	}
	jrep_add_int(answer, "revision", revision);
	jrep_send(msg, 200, answer);
	json_object_put(body);
}

static void
add_watch(SoupServerMessage *msg, GHashTable *query)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->msg = g_object_ref(msg);
	watch->prefix = g_strdup(jrep_param(query, "prefix"));
	watch->after = atoll(jrep_param(query, "after"));
	watch->until_ms = clk_now_ms() + atoll(jrep_param(query, "wait_ms"));
	soup_server_message_pause(msg);
	g_ptr_array_add(watches, watch);
	kvs_check_watches();
}

void
kvs_handle(SoupServerMessage *msg, const char *path, GHashTable *query)
{
	struct json_object *body;

	if (is_down) {
		jrep_send(msg, 503, json_object_new_object());
	} else if (g_str_has_suffix(path, "kv-range")) {
		body = json_object_new_object();
		json_object_object_add(body, "items",
		    select_items(jrep_param(query, "prefix"), 0, false));
		json_object_object_add(
		    body, "has_more", json_object_new_boolean(FALSE));
		jrep_add_int(body, "as_of", revision);
		jrep_send(msg, 200, body);
	} else if (g_str_has_suffix(path, "kv-watch")) {
		add_watch(msg, query);
	} else {
		handle_transaction(msg);
	}
}

void
kvs_set_down(bool down)
{
	is_down = down;
}

void
kvs_open(void)
{
	items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	watches = g_ptr_array_new();
}
