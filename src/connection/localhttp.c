#include <json-c/json.h>
#include <libsoup/soup.h>
#include <string.h>

#include "connection/httplisten.h"
#include "connection/localhttp.h"
#include "process/clock.h"

#define MAX_BODY_BYTES 65536 /* of an announcement */

struct lh {
	struct lh_options opts;
	SoupServer *server;
};

static void
reply_text(
    SoupServerMessage *msg, guint status, const char *type, const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(
	    msg, type, SOUP_MEMORY_COPY, text, strlen(text));
}

static void
reply_error(
    SoupServerMessage *msg, guint status, const char *code, const char *text)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(root, "error", json_object_new_string(code));
	json_object_object_add(root, "message", json_object_new_string(text));
	reply_text(
	    msg, status, "application/json", json_object_to_json_string(root));
	json_object_put(root);
}

static void
on_announce(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	const char *method = soup_server_message_get_method(msg);
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct lh *lh = data;
	struct status st;

	(void)server;
	(void)query;
	if (soup_server_message_get_status(msg) != 0)
		return; /* refused by on_headers() */
	if (strcmp(path, "/v1/announce") != 0) {
		reply_error(msg, SOUP_STATUS_NOT_FOUND, "not_found", path);
	} else if (strcmp(method, "DELETE") == 0) {
		ann_delete(lh->opts.ann);
		reply_text(msg, SOUP_STATUS_OK, "application/json", "{}");
		lh->opts.changed(lh->opts.ctx);
	} else if (strcmp(method, "PUT") != 0) {
		reply_error(msg, SOUP_STATUS_METHOD_NOT_ALLOWED,
		    "method_not_allowed", "expected PUT or DELETE");
	} else if (!ann_put(lh->opts.ann, body->data, body->length,
		       lh->opts.running(lh->opts.ctx), clk_now_ms(), &st)) {
		reply_error(
		    msg, SOUP_STATUS_BAD_REQUEST, "invalid", st.message);
	} else {
		reply_text(msg, SOUP_STATUS_OK, "application/json", "{}");
		lh->opts.changed(lh->opts.ctx);
	}
}

static void
on_get(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct lh *lh = data;
	char *text;

	(void)server;
	if (soup_server_message_get_status(msg) != 0)
		return; /* refused by on_headers() */
	if (strcmp(soup_server_message_get_method(msg), "GET") != 0) {
		reply_error(msg, SOUP_STATUS_METHOD_NOT_ALLOWED,
		    "method_not_allowed", "expected GET");
	} else if (strcmp(path, "/healthz") == 0) {
		reply_text(msg, SOUP_STATUS_OK, "text/plain", "ok\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = ctr_text(lh->opts.counters);
		reply_text(msg, SOUP_STATUS_OK, "text/plain", text);
		g_free(text);
	} else if (strcmp(path, "/v1/traces") == 0) {
		text = trc_json(lh->opts.traces,
		    query == NULL ? NULL
				  : g_hash_table_lookup(query, "trace_id"));
		reply_text(msg, SOUP_STATUS_OK, "application/json", text);
		g_free(text);
	} else {
		reply_error(msg, SOUP_STATUS_NOT_FOUND, "not_found", path);
	}
}

/* Refuses a body that is too large before it is received. */
static void
on_headers(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	(void)server;
	(void)path;
	(void)query;
	(void)data;
	if (!hl_body_exceeds(msg, MAX_BODY_BYTES))
		return;
	hl_discard_body(msg);
	reply_error(msg, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "too_large",
	    "a body needs Content-Length and is at most 64 KB");
}

/* Requests are handled in the main loop. */
struct lh *
lh_new(const struct lh_options *opts, struct status *st)
{
	struct lh *lh;

	lh = g_new0(struct lh, 1);
	lh->opts = *opts;
	lh->server = soup_server_new(NULL, NULL);
	hl_add_handler(lh->server, "/v1/announce", on_announce, lh);
	hl_add_handler(lh->server, NULL, on_get, lh);
	soup_server_add_early_handler(lh->server, NULL, on_headers, lh, NULL);
	soup_server_add_early_handler(
	    lh->server, "/v1/announce", on_headers, lh, NULL);
	hl_set_receive_timeout(lh->server, HL_RECEIVE_TIMEOUT_MS);
	if (!hl_listen(lh->server, opts->listen, st)) {
		lh_free(lh);
		lh = NULL;
	}
	return lh;
}

void
lh_free(struct lh *lh)
{
	if (lh == NULL)
		return;
	hl_disconnect(lh->server);
	g_object_unref(lh->server);
	g_free(lh);
}
