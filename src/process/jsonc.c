#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "jsonc.h"
#include "jsonc_scan.h"
#include "jsontext.h"

#define MAX_FILE_BYTES (4UL * 1024 * 1024)
#define NAME_MAX_LEN   64

struct jsonc {
	char *name;
	struct json_object *root;
	GHashTable *positions; /* path to struct jsonc_position */
	GStringChunk *paths;   /* owns the paths of all nodes */
};

static bool
parse_text(struct jsonc *doc, const char *text, size_t len, struct status *st)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSONC_MAX_DEPTH + 1);
	enum json_tokener_error err;

	json_tokener_set_flags(tokener, JSON_TOKENER_VALIDATE_UTF8);
	doc->root = json_tokener_parse_ex(tokener, text, (int)len);
	err = json_tokener_get_error(tokener);
	/* At the end of input, json-c waits for further digits of a number. */
	if (err == json_tokener_continue) {
		doc->root = json_tokener_parse_ex(tokener, "\n", 1);
		err = json_tokener_get_error(tokener);
	}
	json_tokener_free(tokener);
	if (err == json_tokener_success)
		return true;
	st_set(
	    st, ST_INVALID, "%s: %s", doc->name, json_tokener_error_desc(err));
	return false;
}

struct jsonc *
jsonc_parse(const char *name, const char *text, size_t len, struct status *st)
{
	struct jsonc *doc;

	if (len > MAX_FILE_BYTES) {
		st_set(st, ST_LIMIT, "%s: larger than %lu bytes", name,
		    MAX_FILE_BYTES);
		return NULL;
	}
	doc = g_new0(struct jsonc, 1);
	doc->name = g_strdup(name);
	doc->positions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	doc->paths = g_string_chunk_new(256);
	if (!jsonc_scan(doc->name, text, len, doc->positions, st) ||
	    !parse_text(doc, text, len, st)) {
		jsonc_free(doc);
		return NULL;
	}
	return doc;
}

struct jsonc *
jsonc_load(const char *path, struct status *st)
{
	GError *error = NULL;
	struct jsonc *doc;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		st_set(st, ST_NOT_FOUND, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	doc = jsonc_parse(path, text, len, st);
	g_free(text);
	return doc;
}

void
jsonc_free(struct jsonc *doc)
{
	if (doc == NULL)
		return;
	json_object_put(doc->root);
	g_hash_table_destroy(doc->positions);
	g_string_chunk_free(doc->paths);
	g_free(doc->name);
	g_free(doc);
}

static const char *
intern_path(const struct jsonc_node *node, const char *key, ssize_t index)
{
	const char *dot = node->path[0] != '\0' && key[0] != '\0' ? "." : "";
	const char *path;
	char *joined;

	if (index < 0)
		joined = g_strdup_printf("%s%s%s", node->path, dot, key);
	else
		joined =
		    g_strdup_printf("%s%s%s[%zd]", node->path, dot, key, index);
	path = g_string_chunk_insert_const(node->doc->paths, joined);
	g_free(joined);
	return path;
}

static void
set_error_at(const struct jsonc *doc, const char *path, struct status *st,
    const char *message)
{
	const struct jsonc_position *position =
	    g_hash_table_lookup(doc->positions, path);

	if (position == NULL)
		st_set(st, ST_INVALID, "%s: %s%s%s", doc->name, path,
		    path[0] != '\0' ? ": " : "", message);
	else
		st_set(st, ST_INVALID, "%s:%u:%u: %s: %s", doc->name,
		    position->line, position->column, path, message);
}

bool
jsonc_error(const struct jsonc_node *node, const char *key, struct status *st,
    const char *fmt, ...)
{
	const char *path = intern_path(node, key, -1);
	char *message;
	va_list ap;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	/* A missing key is reported at the object that lacks it. */
	if (g_hash_table_lookup(node->doc->positions, path) == NULL &&
	    node->path[0] != '\0') {
		char *full_message =
		    g_strdup_printf("\"%s\": %s", key, message);

		set_error_at(node->doc, node->path, st, full_message);
		g_free(full_message);
	} else {
		set_error_at(node->doc, path, st, message);
	}
	g_free(message);
	return false;
}

static const char *
type_name(const struct json_object *value)
{
	return value == NULL ? "null"
			     : json_type_to_name(json_object_get_type(value));
}

bool
jsonc_root(const struct jsonc *doc, struct jsonc_node *root, struct status *st)
{
	root->doc = doc;
	root->value = doc->root;
	root->path = "";
	if (json_object_is_type(doc->root, json_type_object))
		return true;
	st_set(st, ST_INVALID, "%s: expected an object, got %s", doc->name,
	    type_name(doc->root));
	return false;
}

bool
jsonc_check_keys(
    const struct jsonc_node *node, const char *const *keys, struct status *st)
{
	json_object_object_foreach(node->value, key, value)
	{
		(void)value;
		if (!g_strv_contains(keys, key))
			return jsonc_error(node, key, st, "unknown key");
	}
	return true;
}

bool
jsonc_has(const struct jsonc_node *node, const char *key)
{
	return json_object_object_get_ex(node->value, key, NULL);
}

/* Looks up a value of a type; *out is NULL if an optional key is absent. */
static bool
get_value(const struct jsonc_node *node, const char *key, enum jsonc_need need,
    enum json_type type, const char *expected, struct json_object **out,
    struct status *st)
{
	*out = NULL;
	if (!json_object_object_get_ex(node->value, key, out)) {
		if (need == JSONC_OPTIONAL)
			return true;
		return jsonc_error(node, key, st,
		    "required key is missing, expected %s", expected);
	}
	if (*out != NULL && json_object_is_type(*out, type))
		return true;
	return jsonc_error(
	    node, key, st, "expected %s, got %s", expected, type_name(*out));
}

bool
jsonc_string(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char **out, struct status *st)
{
	struct json_object *value;
	const char *s;

	if (!get_value(
		node, key, need, json_type_string, "a string", &value, st))
		return false;
	if (value == NULL)
		return true;
	s = json_object_get_string(value);
	if (strlen(s) != (size_t)json_object_get_string_len(value))
		return jsonc_error(node, key, st, "string contains \\u0000");
	g_free(*out);
	*out = g_strdup(s);
	return true;
}

bool
jsonc_is_name(const char *s)
{
	size_t i;

	for (i = 0; s[i] != '\0'; i++) {
		if (!g_ascii_isalnum(s[i]) && strchr("._-", s[i]) == NULL)
			return false;
	}
	return i > 0 && i <= NAME_MAX_LEN;
}

bool
jsonc_name(const struct jsonc_node *node, const char *key, enum jsonc_need need,
    char **out, struct status *st)
{
	if (!jsonc_string(node, key, need, out, st))
		return false;
	if (!jsonc_has(node, key) || jsonc_is_name(*out))
		return true;
	return jsonc_error(node, key, st,
	    "expected a name of 1 to %d characters of [A-Za-z0-9._-], got "
	    "\"%.80s\"",
	    NAME_MAX_LEN, *out);
}

bool
jsonc_bool(const struct jsonc_node *node, const char *key, enum jsonc_need need,
    bool *out, struct status *st)
{
	struct json_object *value;

	if (!get_value(node, key, need, json_type_boolean, "true or false",
		&value, st))
		return false;
	if (value != NULL)
		*out = json_object_get_boolean(value);
	return true;
}

bool
jsonc_int(const struct jsonc_node *node, const char *key, enum jsonc_need need,
    int64_t min, int64_t max, int64_t *out, struct status *st)
{
	struct json_object *value;
	char expected[80];
	int64_t n;

	g_snprintf(expected, sizeof(expected),
	    "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min,
	    max);
	if (!get_value(node, key, need, json_type_int, expected, &value, st))
		return false;
	if (value == NULL)
		return true;
	n = json_object_get_int64(value);
	/* json-c clamps numbers outside the range of int64_t. */
	if (n < min || n > max)
		return jsonc_error(node, key, st, "expected %s, got %s",
		    expected,
		    n == INT64_MAX ? "a larger number"
				   : json_object_to_json_string(value));
	*out = n;
	return true;
}

bool
jsonc_strings(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char ***out, struct status *st)
{
	struct json_object *value, *item;
	size_t i, n;
	char **copy;

	if (!get_value(node, key, need, json_type_array, "an array of strings",
		&value, st))
		return false;
	if (value == NULL)
		return true;
	n = json_object_array_length(value);
	copy = g_new0(char *, n + 1);
	for (i = 0; i < n; i++) {
		item = json_object_array_get_idx(value, i);
		if (!json_object_is_type(item, json_type_string)) {
			g_strfreev(copy);
			return jsonc_error(node, key, st,
			    "expected an array of strings, got %s at index %zu",
			    type_name(item), i);
		}
		if (jtx_text(item) == NULL) {
			g_strfreev(copy);
			return jsonc_error(node, key, st,
			    "string contains \\u0000 at index %zu", i);
		}
		copy[i] = g_strdup(jtx_text(item));
	}
	g_strfreev(*out);
	*out = copy;
	return true;
}

bool
jsonc_array_length(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, size_t *n, struct status *st)
{
	struct json_object *value;

	*n = 0;
	if (!get_value(
		node, key, need, json_type_array, "an array", &value, st))
		return false;
	if (value != NULL)
		*n = json_object_array_length(value);
	return true;
}

bool
jsonc_array_object(const struct jsonc_node *node, const char *key, size_t index,
    struct jsonc_node *item, struct status *st)
{
	struct json_object *array = NULL;

	json_object_object_get_ex(node->value, key, &array);
	item->doc = node->doc;
	item->value = json_object_array_get_idx(array, index);
	item->path = intern_path(node, key, (ssize_t)index);
	if (json_object_is_type(item->value, json_type_object))
		return true;
	return jsonc_error(
	    item, "", st, "expected an object, got %s", type_name(item->value));
}

bool
jsonc_object(const struct jsonc_node *node, const char *key,
    struct jsonc_node *item, struct status *st)
{
	struct json_object *value;

	if (!get_value(node, key, JSONC_REQUIRED, json_type_object, "an object",
		&value, st))
		return false;
	item->doc = node->doc;
	item->value = value;
	item->path = intern_path(node, key, -1);
	return true;
}
