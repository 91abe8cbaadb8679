#ifndef SP_JSONC_H
#define SP_JSONC_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Validating reader of JSON with comments.  Error messages contain the file,
 * line, column, key and the expected value.
 */
struct jsonc;

/* An object in a document; valid until the document is freed. */
struct jsonc_node {
	const struct jsonc *doc;
	struct json_object *value;
	const char *path; /* as in "a.b[0]", "" for the root */
};

enum jsonc_need { JSONC_OPTIONAL, JSONC_REQUIRED };

/* Parses a text; name stands for it in messages.  NULL on error. */
struct jsonc *jsonc_parse(
    const char *name, const char *text, size_t len, struct status *st);
/* Reads and parses a file; NULL on error. */
struct jsonc *jsonc_load(const char *path, struct status *st);
void jsonc_free(struct jsonc *doc);

/* Returns the root of the document, which must be an object. */
bool jsonc_root(
    const struct jsonc *doc, struct jsonc_node *root, struct status *st);
/* Refuses keys of node that are not in the NULL-terminated list. */
bool jsonc_check_keys(
    const struct jsonc_node *node, const char *const *keys, struct status *st);
bool jsonc_has(const struct jsonc_node *node, const char *key);

/*
 * Typed getters.  An absent optional key leaves *out unchanged.  The string
 * getters free *out and set it to a copy, to be freed with g_free().
 */
bool jsonc_string(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char **out, struct status *st);
/* Like jsonc_string(), for 1 to 64 characters of [A-Za-z0-9._-]. */
bool jsonc_name(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char **out, struct status *st);
bool jsonc_bool(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, bool *out, struct status *st);
/* Accepts integers from min to max. */
bool jsonc_int(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, int64_t min, int64_t max, int64_t *out,
    struct status *st);
/* Frees *out and sets it to a NULL-terminated array for g_strfreev(). */
bool jsonc_strings(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, char ***out, struct status *st);
/* Length of an array; 0 if the optional key is absent. */
bool jsonc_array_length(const struct jsonc_node *node, const char *key,
    enum jsonc_need need, size_t *n, struct status *st);
/* The object at an index below the array's length. */
bool jsonc_array_object(const struct jsonc_node *node, const char *key,
    size_t index, struct jsonc_node *item, struct status *st);
/* The object under a required key. */
bool jsonc_object(const struct jsonc_node *node, const char *key,
    struct jsonc_node *item, struct status *st);

/*
 * Sets an ST_INVALID error at a key of node, or at node itself if key is "".
 * Always returns false.
 */
bool jsonc_error(const struct jsonc_node *node, const char *key,
    struct status *st, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Tells whether s is 1 to 64 characters of [A-Za-z0-9._-]. */
bool jsonc_is_name(const char *s);

#endif
