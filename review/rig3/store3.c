/*
 * Stand-in for the platform's store: kv-range, kv-key, kv-watch and kv-txn.
 *
 * store3 PORT CONTROL_PORT
 *
 * On the control port: PUT and DELETE /key?key=K write as an operator does, and
 * /mode?down=busy|silent|up ends and begins the service.
 */
#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <string.h>

#include "log3.h"

#define PAGE_ITEMS 500
#define TICK_MS	   10

struct item {
	char *text; /* base64; NULL: deleted */
	int64_t revision;
	int64_t created;
};

struct watch {
	SoupServerMessage *msg;
	char *prefix;
	int64_t after;
	int64_t until_ms;
};

static GTree *items; /* key to struct item */
static GPtrArray *watches;
static int64_t revision = 1;
static enum { UP, BUSY, SILENT } state;

static const char *
param(GHashTable *query, const char *key)
{
	const char *text =
	    query == NULL ? NULL : g_hash_table_lookup(query, key);

	return text == NULL ? "" : text;
}

static void
send_json(SoupServerMessage *msg, guint code, struct json_object *body)
{
	const char *text =
	    json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(body);
}

static struct json_object *
item_json(const char *key, const struct item *item)
{
	struct json_object *to = json_object_new_object();

	json_object_object_add(to, "key", json_object_new_string(key));
	json_object_object_add(
	    to, "revision", json_object_new_int64(item->revision));
	if (item->text == NULL) {
		json_object_object_add(
		    to, "deleted", json_object_new_boolean(TRUE));
		return to;
	}
	json_object_object_add(to, "value", json_object_new_string(item->text));
	json_object_object_add(
	    to, "created", json_object_new_int64(item->created));
	return to;
}

struct selection {
	const char *prefix;
	const char *after_key;
	int64_t after;
	bool deletions;
	struct json_object *rows;
	bool more;
};

static gboolean
select_item(gpointer key, gpointer value, gpointer data)
{
	struct selection *s = data;
	const struct item *item = value;

	if (!g_str_has_prefix(key, s->prefix) || item->revision <= s->after ||
	    (item->text == NULL && !s->deletions) ||
	    strcmp(key, s->after_key) <= 0)
		return FALSE;
	if (!s->deletions && json_object_array_length(s->rows) == PAGE_ITEMS) {
		s->more = true;
		return TRUE;
	}
	json_object_array_add(s->rows, item_json(key, item));
	return FALSE;
}

static void
answer_watches(void)
{
	guint i = 0;

	while (i < watches->len) {
		struct watch *w = watches->pdata[i];
		struct selection s = {.prefix = w->prefix,
		    .after_key = "",
		    .after = w->after,
		    .deletions = true,
		    .rows = json_object_new_array()};
		struct json_object *body;

		g_tree_foreach(items, select_item, &s);
		if (state != UP || (json_object_array_length(s.rows) == 0 &&
				       steady_ms() < w->until_ms)) {
			json_object_put(s.rows);
			i++;
			continue;
		}
		body = json_object_new_object();
		json_object_object_add(body, "events", s.rows);
		json_object_object_add(
		    body, "as_of", json_object_new_int64(revision));
		send_json(w->msg, 200, body);
		soup_server_message_unpause(w->msg);
		g_object_unref(w->msg);
		g_free(w->prefix);
		g_free(w);
		g_ptr_array_remove_index(watches, i);
	}
}

/* text is base64, or NULL to delete. */
static void
write_key(const char *key, const char *text)
{
	struct item *item = g_tree_lookup(items, key);

	if (item == NULL && text == NULL)
		return;
	if (item == NULL) {
		item = g_new0(struct item, 1);
		g_tree_insert(items, g_strdup(key), item);
	}
	if (item->text == NULL)
		item->created = revision + 1;
	g_free(item->text);
	item->text = g_strdup(text);
	item->revision = ++revision;
}

static int64_t
revision_of(const char *key)
{
	const struct item *item = g_tree_lookup(items, key);

	return item == NULL || item->text == NULL ? 0 : item->revision;
}

static const char *
text_of(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_string(value)
		   : "";
}

static int64_t
int_of(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_int64(value)
		   : 0;
}

static bool
is_expected(struct json_object *body)
{
	struct json_object *rows;
	size_t i;

	if (!json_object_object_get_ex(body, "expected_revision", &rows))
		return true;
	for (i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (revision_of(text_of(row, "key")) != int_of(row, "revision"))
			return false;
	}
	return true;
}

static void
transact(SoupServerMessage *msg)
{
	SoupMessageBody *from = soup_server_message_get_request_body(msg);
	struct json_object *body = json_tokener_parse(from->data);
	struct json_object *rows, *answer = json_object_new_object();
	size_t i;

	if (!is_expected(body)) {
		json_object_object_add(
		    answer, "items", json_object_new_array());
		send_json(msg, 412, answer);
		json_object_put(body);
		return;
	}
	if (json_object_object_get_ex(body, "set_keys", &rows))
		for (i = 0; i < json_object_array_length(rows); i++) {
			struct json_object *row =
			    json_object_array_get_idx(rows, i);

			rec("store set %s", text_of(row, "key"));
			write_key(text_of(row, "key"), text_of(row, "value"));
		}
	if (json_object_object_get_ex(body, "remove", &rows))
		for (i = 0; i < json_object_array_length(rows); i++)
			write_key(json_object_get_string(
				      json_object_array_get_idx(rows, i)),
			    NULL);
	json_object_object_add(
	    answer, "revision", json_object_new_int64(revision));
	send_json(msg, 200, answer);
	json_object_put(body);
	answer_watches();
}

static void
list(SoupServerMessage *msg, GHashTable *query)
{
	struct selection s = {.prefix = param(query, "prefix"),
	    .after_key = param(query, "after"),
	    .rows = json_object_new_array()};
	struct json_object *body = json_object_new_object();

	g_tree_foreach(items, select_item, &s);
	json_object_object_add(body, "items", s.rows);
	json_object_object_add(
	    body, "has_more", json_object_new_boolean(s.more));
	json_object_object_add(body, "as_of", json_object_new_int64(revision));
	send_json(msg, 200, body);
}

static void
watch(SoupServerMessage *msg, GHashTable *query)
{
	struct watch *w = g_new0(struct watch, 1);

	w->msg = g_object_ref(msg);
	w->prefix = g_strdup(param(query, "prefix"));
	w->after = atoll(param(query, "after"));
	w->until_ms = steady_ms() + atoll(param(query, "wait_ms"));
	soup_server_message_pause(msg);
	g_ptr_array_add(watches, w);
	answer_watches();
}

static void
on_store(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	(void)server;
	(void)data;
	if (state == BUSY)
		send_json(msg, 503, json_object_new_object());
	else if (state == SILENT)
		soup_server_message_pause(g_object_ref(msg));
	else if (g_str_has_suffix(path, "kv-range"))
		list(msg, query);
	else if (g_str_has_suffix(path, "kv-watch"))
		watch(msg, query);
	else if (g_str_has_suffix(path, "kv-txn"))
		transact(msg);
	else
		send_json(msg, 404, json_object_new_object());
}

static void
on_control(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	bool removes =
	    strcmp(soup_server_message_get_method(msg), "DELETE") == 0;

	(void)server;
	(void)data;
	if (strcmp(path, "/key") == 0) {
		g_autofree char *text = g_base64_encode(
		    (const guchar *)body->data, (gsize)body->length);

		write_key(param(query, "key"), removes ? NULL : text);
		rec("operator %s %s revision %lld",
		    removes ? "removes" : "writes", param(query, "key"),
		    (long long)revision);
		answer_watches();
	} else if (strcmp(path, "/mode") == 0) {
		const char *down = param(query, "down");

		state = strcmp(down, "busy") == 0     ? BUSY
			: strcmp(down, "silent") == 0 ? SILENT
						      : UP;
		rec("store is %s", down);
	}
	send_json(msg, 200, json_object_new_object());
}

static gboolean
on_tick(gpointer data)
{
	(void)data;
	answer_watches();
	return G_SOURCE_CONTINUE;
}

static void
serve(const char *port, SoupServerCallback handler)
{
	SoupServer *server = soup_server_new("server-header", NULL, NULL);
	GError *error = NULL;
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    "127.0.0.1", (guint)atoi(port));

	soup_server_add_handler(server, NULL, handler, NULL, NULL);
	if (!soup_server_listen(server, address, 0, &error)) {
		fprintf(stderr, "store3: %s\n", error->message);
		exit(2);
	}
	g_object_unref(address);
}

static gint
compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

int
main(int argc, char **argv)
{
	if (argc != 3)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	items = g_tree_new_full(compare, NULL, NULL, NULL);
	watches = g_ptr_array_new();
	serve(argv[1], on_store);
	serve(argv[2], on_control);
	g_timeout_add(TICK_MS, on_tick, NULL);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
