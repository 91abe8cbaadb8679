#ifndef JSONREPLY_H
#define JSONREPLY_H

#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdint.h>

/* JSON in the requests and answers of stand-ins; absent values are 0 or "". */

/* Takes ownership of body. */
void jrep_send(SoupServerMessage *msg, guint code, struct json_object *body);
/* The body of a request, which the caller puts, or NULL. */
struct json_object *jrep_body(SoupServerMessage *msg);
int64_t jrep_int(struct json_object *from, const char *key);
const char *jrep_string(struct json_object *from, const char *key);
void jrep_add_int(struct json_object *to, const char *key, int64_t value);
/* A parameter of the query, which may be NULL. */
const char *jrep_param(GHashTable *query, const char *key);

#endif
