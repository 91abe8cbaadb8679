#ifndef SP_JSONC_H
#define SP_JSONC_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Checked reader of JSON with comments.  Errors name the file, the line and
 * column, the key, and what was expected.
 */
struct jsonc;

/* An object inside a document; lives as long as the document. */
struct jsonc_node {
	const struct jsonc *doc;
	struct json_object *value;
	const char *path; /* "" for the root */
};

enum jsonc_need { JSONC_OPTIONAL, JSONC_REQUIRED };

struct jsonc *jsonc_parse(
    const char *name, const char *text, size_t len, struct status *st);
struct jsonc *jsonc_load(const char *path, struct status *st);
void jsonc_free(struct jsonc *doc);

bool jsonc_root(
    const struct jsonc *doc, struct jsonc_node *root, struct status *st);
/* keys is NULL-terminated. */
bool jsonc_check_keys(
    const struct jsonc_node *node, const char *const *keys, struct status *st);
bool jsonc_has(const struct jsonc_node *node, const char *key);

/*
 * Typed getters.  An absent optional key leaves *out as it was; the string
 * getters replace *out with a copy that the caller frees with g_free().
 */
bool jsonc_string(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char **out, struct status *st);
/* As jsonc_string(), of 1 to 64 characters of [A-Za-z0-9._-]. */
bool jsonc_name(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char **out, struct status *st);
bool jsonc_bool(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, bool *out, struct status *st);
bool jsonc_int(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, int64_t min, int64_t max, int64_t *out,
    struct status *st);
/* *out is a NULL-terminated array for g_strfreev(). */
bool jsonc_strings(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char ***out, struct status *st);
/* Number of elements of an array; 0 when an optional key is absent. */
bool jsonc_array_length(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, size_t *n, struct status *st);
/* The object at an index of an array whose length jsonc_array_length() gave. */
bool jsonc_array_object(const struct jsonc_node *node, const char *key,
    size_t index, struct jsonc_node *item, struct status *st);
bool jsonc_object(const struct jsonc_node *node, const char *key,
    struct jsonc_node *item, struct status *st);

/* Sets an ST_INVALID error at a key of node; always returns false. */
bool jsonc_error(const struct jsonc_node *node, const char *key,
    struct status *st, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

bool jsonc_is_name(const char *s);

#endif
