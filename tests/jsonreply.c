#include <string.h>

#include "jsonreply.h"

void
jrep_send(SoupServerMessage *msg, guint code, struct json_object *body)
{
	const char *text = json_object_to_json_string(body);

	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(body);
}

struct json_object *
jrep_body(SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);

	return body->length == 0 ? NULL : json_tokener_parse(body->data);
}

int64_t
jrep_int(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_int64(value)
		   : 0;
}

const char *
jrep_string(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_string(value)
		   : "";
}

const char *
jrep_param(GHashTable *query, const char *key)
{
	const char *value =
	    query == NULL ? NULL : g_hash_table_lookup(query, key);

	return value == NULL ? "" : value;
}

void
jrep_add_int(struct json_object *to, const char *key, int64_t value)
{
	json_object_object_add(to, key, json_object_new_int64(value));
}
