#include <string.h>

#include "process/fields.h"
#include "process/jsontext.h"

/* Follows the name of the field in the message of a refusal. */
#define NAME_END "\": "

bool
fld_refuse(struct status *st, const char *name, const char *why)
{
	st_set(st, ST_INVALID, "field \"%s" NAME_END "%s", name, why);
	return false;
}

const char *
fld_reason(const struct status *st)
{
	const char *name_end = strstr(st->message, NAME_END);

	return name_end == NULL ? st->message : name_end + strlen(NAME_END);
}

struct json_object *
fld_parse(const char *data, size_t len, struct status *st)
{
	struct json_object *root =
	    jtx_parse(data, len, JSON_TOKENER_DEFAULT_DEPTH, st);

	/* A document that is too deep is as malformed as any other. */
	if (root == NULL && st != NULL)
		st->code = ST_INVALID;
	return root;
}

struct json_object *
fld_parse_bounded(const char *data, size_t len, struct status *st)
{
	if (jtx_fits(data, len))
		return fld_parse(data, len, st);
	st_set(st, ST_INVALID, "the document takes too much memory");
	return NULL;
}

static bool
decode_int(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	/* json-c clamps numbers outside the range of int64_t. */
	int64_t number = json_object_get_int64(value);

	if (number < field->min || number > field->max)
		return fld_refuse(st, field->name, "number out of range");
	memcpy(to, &number, sizeof(number));
	return true;
}

static bool
decode_real(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	double number = json_object_get_double(value);

	if (!json_object_is_type(value, json_type_double) &&
	    !json_object_is_type(value, json_type_int))
		return fld_refuse(st, field->name, "another type");
	/* NaN compares as false. */
	if (!(number >= (double)field->min && number <= (double)field->max))
		return fld_refuse(st, field->name, "number out of range");
	memcpy(to, &number, sizeof(number));
	return true;
}

static bool
check_bytes(struct json_object *value, const struct fld *field, int64_t min,
    int64_t max, struct status *st)
{
	int64_t len = json_object_get_string_len(value);

	if (len < min || len > max)
		return fld_refuse(st, field->name, "length out of range");
	if (!jtx_is_unicode(value))
		return fld_refuse(st, field->name, "malformed Unicode");
	return true;
}

static bool
check_text(struct json_object *value, const struct fld *field, int64_t min,
    int64_t max, struct status *st)
{
	const char *text = json_object_get_string(value);
	int64_t len = json_object_get_string_len(value);

	if (!check_bytes(value, field, min, max, st))
		return false;
	if (strlen(text) != (size_t)len)
		return fld_refuse(st, field->name, "text with U+0000");
	if (field->is_valid != NULL && !field->is_valid(text))
		return fld_refuse(st, field->name, "malformed text");
	return true;
}

static bool
decode_text(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	const char *text = json_object_get_string(value);

	if (!check_text(value, field, field->min, field->max, st))
		return false;
	memcpy(to, &text, sizeof(text));
	return true;
}

static bool
decode_bytes(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	struct fld_bytes *bytes = to;

	if (!check_bytes(value, field, field->min, field->max, st))
		return false;
	bytes->data = json_object_get_string(value);
	bytes->len = (size_t)json_object_get_string_len(value);
	return true;
}

static bool
decode_texts(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	size_t i, n = json_object_array_length(value);
	struct fld_texts *texts = to;

	if ((int64_t)n < field->min || (int64_t)n > field->max ||
	    n > FLD_MAX_TEXTS)
		return fld_refuse(
		    st, field->name, "number of texts out of range");
	for (i = 0; i < n; i++) {
		struct json_object *item = json_object_array_get_idx(value, i);

		if (!json_object_is_type(item, json_type_string))
			return fld_refuse(
			    st, field->name, "not a list of texts");
		if (!check_text(item, field, 0, FLD_MAX_TEXT_BYTES, st))
			return false;
		texts->texts[i] = json_object_get_string(item);
	}
	texts->n = n;
	return true;
}

static bool
decode_value(struct json_object *value, const struct fld *field, void *to,
    struct status *st)
{
	static const enum json_type types[] = {[FLD_INT] = json_type_int,
	    [FLD_TEXT] = json_type_string,
	    [FLD_BYTES] = json_type_string,
	    [FLD_BOOL] = json_type_boolean,
	    [FLD_TEXTS] = json_type_array,
	    [FLD_OBJECT] = json_type_object};
	char *at = (char *)to + field->offset;

	if (field->type == FLD_ANY)
		return true;
	if (field->type == FLD_REAL)
		return decode_real(value, field, at, st);
	if (!json_object_is_type(value, types[field->type]))
		return fld_refuse(st, field->name, "another type");
	switch (field->type) {
	case FLD_INT:
		return decode_int(value, field, at, st);
	case FLD_REAL:
	case FLD_ANY:
		break; /* have no single type, see above */
	case FLD_TEXT:
		return decode_text(value, field, at, st);
	case FLD_BYTES:
		return decode_bytes(value, field, at, st);
	case FLD_BOOL:
		*(bool *)at = json_object_get_boolean(value);
		return true;
	case FLD_TEXTS:
		return decode_texts(value, field, at, st);
	case FLD_OBJECT:
		return fld_decode(value, field->members, to, st);
	}
	return false;
}

bool
fld_decode(struct json_object *from, const struct fld *fields, void *to,
    struct status *st)
{
	const struct fld *field;
	struct json_object *value;

	if (!json_object_is_type(from, json_type_object)) {
		st_set(st, ST_INVALID, "not an object");
		return false;
	}
	for (field = fields; field->name != NULL; field++) {
		if (json_object_object_get_ex(from, field->name, &value)) {
			if (!decode_value(value, field, to, st))
				return false;
		} else if (field->required) {
			return fld_refuse(st, field->name, "missing");
		}
	}
	return true;
}

bool
fld_decode_row(struct json_object *from, const struct fld *fields, void *to,
    struct status *st)
{
	struct json_object *value;
	size_t i;

	if (!json_object_is_type(from, json_type_array)) {
		st_set(st, ST_INVALID, "not an array");
		return false;
	}
	for (i = 0; fields[i].name != NULL; i++) {
		value = json_object_array_get_idx(from, i);
		if (value != NULL) {
			if (!decode_value(value, &fields[i], to, st))
				return false;
		} else if (fields[i].required) {
			return fld_refuse(st, fields[i].name, "missing");
		}
	}
	return true;
}
