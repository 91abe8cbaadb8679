#include <glib.h>
#include <string.h>

#include "process/jsontext.h"

/* The number of bytes that json-c takes is an int. */
#define MAX_DOCUMENT_BYTES INT32_MAX
#define ESCAPE_BYTES	   6 /* of \uXXXX */
#define HIGH_SURROGATE	   0xd800u
#define LOW_SURROGATE	   0xdc00u
#define SURROGATE_MASK	   0xfc00u
#define NO_UNIT		   UINT32_MAX

/*
 * Memory that json-c takes, beside the text: for a value in a list or an object,
 * for an object and a list, and for the name of a member.
 */
#define VALUE_BYTES  112
#define OBJECT_BYTES 800
#define LIST_BYTES   352
#define NAME_BYTES   176

static uint64_t max_memory_bytes;

/*
 * Two encoded surrogates, as long as an escape.  json-c lets them through, and
 * they are no UTF-8, so that a text that has them is not Unicode.
 */
static const uint8_t lone_mark[ESCAPE_BYTES] = {
    0xed, 0xa0, 0x80, 0xed, 0xa0, 0x80};

/* Strings of a document, before json-c decodes them. */
struct scan {
	const char *data;
	const char *end;
	char *marked; /* copy of data with marks, or NULL */
	size_t n_names;
	bool has_cut_name; /* one with U+0000 */
};

/* Returns the code unit of the escape at p, or NO_UNIT if there is none. */
static uint32_t
escaped_unit(const char *p, const char *end)
{
	uint32_t unit = 0;
	int i, digit;

	if (end - p < ESCAPE_BYTES || p[0] != '\\' || p[1] != 'u')
		return NO_UNIT;
	for (i = 2; i < ESCAPE_BYTES; i++) {
		digit = g_ascii_xdigit_value(p[i]);
		if (digit < 0)
			return NO_UNIT;
		unit = unit * 16 + (uint32_t)digit;
	}
	return unit;
}

static bool
is_half(uint32_t unit, uint32_t half)
{
	return unit != NO_UNIT && (unit & SURROGATE_MASK) == half;
}

static bool
is_pair(const char *p, const char *end)
{
	return is_half(escaped_unit(p, end), HIGH_SURROGATE) &&
	       is_half(escaped_unit(p + ESCAPE_BYTES, end), LOW_SURROGATE);
}

bool
jtx_is_lone_surrogate(const char *p, const char *end)
{
	uint32_t unit = escaped_unit(p, end);

	return is_half(unit, LOW_SURROGATE) ||
	       (is_half(unit, HIGH_SURROGATE) && !is_pair(p, end));
}

size_t
jtx_escape_bytes(const char *p, const char *end)
{
	if (is_pair(p, end))
		return (size_t)2 * ESCAPE_BYTES;
	return escaped_unit(p, end) != NO_UNIT ? ESCAPE_BYTES : 2;
}

static void
mark_lone(struct scan *sc, const char *p)
{
	if (sc->marked == NULL)
		sc->marked = g_memdup2(sc->data, (gsize)(sc->end - sc->data));
	memcpy(sc->marked + (p - sc->data), lone_mark, ESCAPE_BYTES);
}

/*
 * Reads a string, from after its opening quote.  Returns what follows its
 * closing quote, or the end of the document.
 */
static const char *
scan_string(struct scan *sc, const char *p, bool *has_zero)
{
	*has_zero = false;
	while (p < sc->end && *p != '"') {
		if (*p != '\\') {
			p++;
			continue;
		}
		if (jtx_is_lone_surrogate(p, sc->end))
			mark_lone(sc, p);
		*has_zero = *has_zero || escaped_unit(p, sc->end) == 0;
		p += jtx_escape_bytes(p, sc->end);
	}
	return p < sc->end ? p + 1 : sc->end;
}

static bool
is_followed_by_colon(const char *p, const char *end)
{
	while (p < end && strchr(" \t\r\n", *p) != NULL)
		p++;
	return p < end && *p == ':';
}

static void
scan_strings(struct scan *sc)
{
	const char *p = sc->data;
	bool has_zero;

	while ((p = memchr(p, '"', (size_t)(sc->end - p))) != NULL) {
		p = scan_string(sc, p + 1, &has_zero);
		if (!is_followed_by_colon(p, sc->end))
			continue;
		sc->n_names++;
		sc->has_cut_name = sc->has_cut_name || has_zero;
	}
}

/* Number of members of all objects in a value. */
static size_t
count_members(struct json_object *value)
{
	size_t i, n = 0;

	if (json_object_is_type(value, json_type_array)) {
		for (i = 0; i < json_object_array_length(value); i++)
			n += count_members(json_object_array_get_idx(value, i));
	} else if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, name, member)
		{
			(void)name;
			n += 1 + count_members(member);
		}
	}
	return n;
}

static struct json_object *
parse(const char *data, size_t len, uint32_t max_depth, struct status *st)
{
	struct json_tokener *tokener = json_tokener_new_ex((int)max_depth);
	struct json_object *root;
	enum json_tokener_error error;

	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tokener, data, (int)len);
	/* At the end of input, json-c waits for further digits of a number. */
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		root = json_tokener_parse_ex(tokener, "\n", 1);
	error = json_tokener_get_error(tokener);
	json_tokener_free(tokener);
	if (error == json_tokener_success && root != NULL)
		return root;
	json_object_put(root);
	if (error == json_tokener_success)
		st_set(st, ST_INVALID, "null in place of a document");
	else if (error == json_tokener_continue)
		st_set(st, ST_INVALID, "the document is not complete");
	else
		st_set(st,
		    error == json_tokener_error_depth ? ST_LIMIT : ST_INVALID,
		    "%s", json_tokener_error_desc(error));
	return NULL;
}

struct json_object *
jtx_parse(const char *data, size_t len, uint32_t max_depth, struct status *st)
{
	struct scan sc = {.data = data};
	struct json_object *root;

	/* json-c takes a zero byte for the end of the document. */
	if (len == 0 || len > MAX_DOCUMENT_BYTES ||
	    memchr(data, '\0', len) != NULL) {
		st_set(st, ST_INVALID, "%zu bytes are no JSON", len);
		return NULL;
	}
	sc.end = data + len;
	scan_strings(&sc);
	root = parse(sc.marked != NULL ? sc.marked : data, len, max_depth, st);
	g_free(sc.marked);
	if (root == NULL)
		return NULL;
	if (!sc.has_cut_name && count_members(root) == sc.n_names)
		return root;
	json_object_put(root);
	st_set(st, ST_INVALID, "%s",
	    sc.has_cut_name ? "a name has U+0000"
			    : "an object has two members of one name");
	return NULL;
}

/* Returns what follows the closing quote of the string that begins before p. */
static const char *
skip_string(const char *p, const char *end)
{
	while (p < end && *p != '"')
		p += *p == '\\' && p + 1 < end ? 2 : 1;
	return p < end ? p + 1 : end;
}

static uint64_t
memory_of(const char *data, size_t len)
{
	const char *p = data, *end = data + len;
	uint64_t bytes = len;

	while (p < end) {
		switch (*p++) {
		case '"':
			p = skip_string(p, end);
			break;
		case '{':
			bytes += OBJECT_BYTES;
			break;
		case '[':
			bytes += LIST_BYTES;
			break;
		case ',':
			bytes += VALUE_BYTES;
			break;
		case ':':
			bytes += NAME_BYTES;
			break;
		default:
			break;
		}
	}
	return bytes;
}

void
jtx_set_max_memory(uint64_t bytes)
{
	max_memory_bytes = bytes;
}

bool
jtx_fits(const char *data, size_t len)
{
	return max_memory_bytes == 0 ||
	       memory_of(data, len) <= max_memory_bytes;
}

static bool
is_unicode(const char *text, size_t len)
{
	const char *zero;

	/* g_utf8_validate_len() takes no zero bytes. */
	while ((zero = memchr(text, '\0', len)) != NULL) {
		if (!g_utf8_validate_len(text, (gsize)(zero - text), NULL))
			return false;
		len -= (size_t)(zero - text) + 1;
		text = zero + 1;
	}
	return g_utf8_validate_len(text, len, NULL);
}

bool
jtx_is_unicode(struct json_object *value)
{
	size_t i;

	switch (json_object_get_type(value)) {
	case json_type_string:
		return is_unicode(json_object_get_string(value),
		    (size_t)json_object_get_string_len(value));
	case json_type_array:
		for (i = 0; i < json_object_array_length(value); i++) {
			if (!jtx_is_unicode(
				json_object_array_get_idx(value, i)))
				return false;
		}
		return true;
	case json_type_object: {
		json_object_object_foreach(value, name, member)
		{
			if (!is_unicode(name, strlen(name)) ||
			    !jtx_is_unicode(member))
				return false;
		}
		return true;
	}
	default:
		return true;
	}
}

const char *
jtx_text(struct json_object *value)
{
	const char *text;

	if (!json_object_is_type(value, json_type_string))
		return NULL;
	text = json_object_get_string(value);
	/* This refuses U+0000 as well. */
	return g_utf8_validate_len(
		   text, (gsize)json_object_get_string_len(value), NULL)
		   ? text
		   : NULL;
}

bool
jtx_has_clamped_number(struct json_object *value)
{
	size_t i;

	switch (json_object_get_type(value)) {
	case json_type_int:
		return json_object_get_uint64(value) == UINT64_MAX ||
		       json_object_get_int64(value) == INT64_MIN;
	case json_type_array:
		for (i = 0; i < json_object_array_length(value); i++) {
			if (jtx_has_clamped_number(
				json_object_array_get_idx(value, i)))
				return true;
		}
		return false;
	case json_type_object: {
		json_object_object_foreach(value, name, member)
		{
			(void)name;
			if (jtx_has_clamped_number(member))
				return true;
		}
		return false;
	}
	default:
		return false;
	}
}
