#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "connection/announce.h"
#include "connection/endpoint.h"
#include "process/fields.h"
#include "process/jsontext.h"

#define TTL_MIN_MS     100
#define TTL_MAX_MS     600000
#define SLOTS_MAX      65536
#define BODY_MAX_BYTES 65536
/*
 * slots_in_use of an announcement may include calls whose end this agent has
 * seen already.  Calls that ended within this time are subtracted, so that they
 * are not taken for requests of others.
 */
#define RECENT_END_MS	200
#define RECENT_ENDS_MAX 256

struct ann {
	struct ann_state state;
	char *service;
	char *address;
	int64_t expires_ms;
	int64_t ended_ms[RECENT_ENDS_MAX]; /* ring buffer of call end times */
	uint32_t ended_pos;
};

struct field {
	const char *name;
	json_type type;
	int64_t min;
	int64_t max;
	bool required;
};

enum {
	F_SERVICE,
	F_ADDRESS,
	F_SLOTS,
	F_CONNECTIONS,
	F_CORES,
	F_MEMORY,
	F_TTL,
	F_IN_USE,
	F_DRAINING,
	N_FIELDS
};

static const struct field fields[N_FIELDS] = {
    [F_SERVICE] = {"service", json_type_string, 1, WIRE_NAME_MAX, true},
    [F_ADDRESS] = {"address", json_type_string, 1, WIRE_ADDRESS_MAX, true},
    [F_SLOTS] = {"slots", json_type_int, 1, SLOTS_MAX, true},
    [F_CONNECTIONS] = {"connections", json_type_int, 1, SLOTS_MAX, true},
    [F_CORES] = {"cores", json_type_int, 0, SLOTS_MAX, false},
    [F_MEMORY] = {"memory_mb", json_type_int, 0, INT64_MAX, false},
    [F_TTL] = {"ttl_ms", json_type_int, TTL_MIN_MS, TTL_MAX_MS, true},
    [F_IN_USE] = {"slots_in_use", json_type_int, 0, SLOTS_MAX, false},
    [F_DRAINING] = {"draining", json_type_boolean, 0, 0, false},
};

struct ann *
ann_new(void)
{
	struct ann *ann = g_new0(struct ann, 1);
	size_t i;

	for (i = 0; i < RECENT_ENDS_MAX; i++)
		ann->ended_ms[i] = -RECENT_END_MS - 1;
	return ann;
}

void
ann_free(struct ann *ann)
{
	if (ann == NULL)
		return;
	g_free(ann->service);
	g_free(ann->address);
	g_free(ann);
}

static bool
check_field(const struct field *f, struct json_object *value, struct status *st)
{
	int64_t size;

	if (json_object_get_type(value) != f->type)
		return st_set(st, ST_INVALID, "key \"%s\": expected %s",
			   f->name, json_type_to_name(f->type)) == ST_OK;
	if (f->type == json_type_boolean)
		return true;
	size = f->type == json_type_string ? json_object_get_string_len(value)
					   : json_object_get_int64(value);
	if (size < f->min || size > f->max)
		return st_set(st, ST_INVALID,
			   "key \"%s\": %s out of range %" G_GINT64_FORMAT
			   " to %" G_GINT64_FORMAT,
			   f->name,
			   f->type == json_type_string ? "length" : "value",
			   f->min, f->max) == ST_OK;
	if (f->type == json_type_string && jtx_text(value) == NULL)
		return st_set(st, ST_INVALID,
			   "key \"%s\": malformed Unicode or U+0000",
			   f->name) == ST_OK;
	return true;
}

/* Stores the value of each key in values; false if any key is invalid. */
static bool
read_fields(
    struct json_object *root, struct json_object **values, struct status *st)
{
	size_t i;

	if (!json_object_is_type(root, json_type_object))
		return st_set(st, ST_INVALID, "expected an object") == ST_OK;
	json_object_object_foreach(root, key, value)
	{
		for (i = 0; i < N_FIELDS; i++) {
			if (strcmp(key, fields[i].name) == 0)
				break;
		}
		if (i == N_FIELDS)
			return st_set(st, ST_INVALID, "unknown key \"%s\"",
				   key) == ST_OK;
		if (!check_field(&fields[i], value, st))
			return false;
		values[i] = value;
	}
	for (i = 0; i < N_FIELDS; i++) {
		if (fields[i].required && values[i] == NULL)
			return st_set(st, ST_INVALID, "missing key \"%s\"",
				   fields[i].name) == ST_OK;
	}
	if (!ep_address_is_valid(json_object_get_string(values[F_ADDRESS])))
		return st_set(st, ST_INVALID,
			   "key \"address\": expected \"http://ip:port\"") ==
		       ST_OK;
	return true;
}

static uint32_t
slots_used_by_others(
    const struct ann *ann, uint32_t in_use, uint32_t running, int64_t now_ms)
{
	uint32_t own = running, i;

	for (i = 0; i < RECENT_ENDS_MAX; i++) {
		if (now_ms - ann->ended_ms[i] <= RECENT_END_MS)
			own++;
	}
	return in_use > own ? in_use - own : 0;
}

static void
apply_fields(struct ann *ann, struct json_object **values, uint32_t running,
    int64_t now_ms)
{
	struct ann_state *s = &ann->state;
	uint32_t in_use = json_object_get_int64(values[F_IN_USE]);

	g_free(ann->service);
	g_free(ann->address);
	ann->service = g_strdup(json_object_get_string(values[F_SERVICE]));
	ann->address = g_strdup(json_object_get_string(values[F_ADDRESS]));
	s->slots = json_object_get_int64(values[F_SLOTS]);
	s->connections = json_object_get_int64(values[F_CONNECTIONS]);
	s->cores = json_object_get_int64(values[F_CORES]);
	s->memory_mb = json_object_get_int64(values[F_MEMORY]);
	s->draining = json_object_get_boolean(values[F_DRAINING]);
	s->slots_in_use = slots_used_by_others(ann, in_use, running, now_ms);
	ann->expires_ms = now_ms + json_object_get_int64(values[F_TTL]);
}

static struct json_object *
parse_body(const char *json, size_t len, struct status *st)
{
	if (len == 0 || len > BODY_MAX_BYTES) {
		st_set(st, ST_INVALID, "body of %zu bytes", len);
		return NULL;
	}
	return fld_parse_bounded(json, len, st);
}

bool
ann_put(struct ann *ann, const char *json, size_t len, uint32_t running,
    int64_t now_ms, struct status *st)
{
	struct json_object *values[N_FIELDS] = {NULL};
	struct json_object *root = parse_body(json, len, st);
	bool ok;

	if (root == NULL)
		return false;
	ok = read_fields(root, values, st);
	if (ok)
		apply_fields(ann, values, running, now_ms);
	json_object_put(root);
	return ok;
}

void
ann_delete(struct ann *ann)
{
	g_clear_pointer(&ann->service, g_free);
	g_clear_pointer(&ann->address, g_free);
	memset(&ann->state, 0, sizeof(ann->state));
}

void
ann_call_ended(struct ann *ann, int64_t now_ms)
{
	ann->ended_ms[ann->ended_pos++ % RECENT_ENDS_MAX] = now_ms;
}

const struct ann_state *
ann_state(struct ann *ann, int64_t now_ms)
{
	if (ann->service != NULL && now_ms >= ann->expires_ms)
		ann_delete(ann);
	ann->state.service = ann->service;
	ann->state.address = ann->address;
	return &ann->state;
}
