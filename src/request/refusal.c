#include <json-c/json.h>
#include <glib.h>

#include "request/refusal.h"

#define RAN_NOT_RUN "not_run"
#define RAN_UNKNOWN "unknown"

/*
 * "unknown" marks errors that leave open if the job ran: an earlier submission
 * of the id may have, or this request at the entry that it was forwarded to.
 * The other refusals are decided before any task is queued.
 */
static const struct {
	uint32_t http_status;
	const char *name;
	const char *ran;
} refusals[] = {
    [REF_NONE] = {500, "internal", RAN_UNKNOWN},
    [REF_BAD_REQUEST] = {400, "bad_request", RAN_NOT_RUN},
    [REF_BAD_ID] = {400, "bad_id", RAN_NOT_RUN},
    [REF_TOO_DEEP] = {400, "too_deep", RAN_NOT_RUN},
    [REF_METHOD_NOT_ALLOWED] = {405, "method_not_allowed", RAN_NOT_RUN},
    [REF_NOT_FOUND] = {404, "not_found", RAN_NOT_RUN},
    [REF_CONFLICT] = {409, "conflict", RAN_NOT_RUN},
    [REF_EXPIRED] = {410, "expired", RAN_UNKNOWN},
    [REF_LENGTH_REQUIRED] = {411, "length_required", RAN_NOT_RUN},
    [REF_TOO_LARGE] = {413, "too_large", RAN_NOT_RUN},
    [REF_TOO_MANY_TASKS] = {413, "too_many_tasks", RAN_NOT_RUN},
    [REF_UNKNOWN_SERVICE] = {404, "unknown_service", RAN_NOT_RUN},
    [REF_UNKNOWN_TEAM] = {403, "unknown_team", RAN_NOT_RUN},
    [REF_SERVICE_OUT] = {503, "out", RAN_NOT_RUN},
    [REF_DEPENDENCY_UNAVAILABLE] = {503, "dependency_unavailable", RAN_NOT_RUN},
    [REF_NO_ENDPOINT] = {503, "no_endpoint", RAN_NOT_RUN},
    [REF_CAN_NEVER_RUN] = {422, "can_never_run", RAN_NOT_RUN},
    [REF_QUEUE_FULL] = {429, "queue_full", RAN_NOT_RUN},
    [REF_DEADLINE_TOO_SHORT] = {503, "deadline_too_short", RAN_NOT_RUN},
    [REF_TEAM_QUOTA] = {429, "team_quota", RAN_NOT_RUN},
    [REF_SERVICE_LIMIT] = {429, "service_limit", RAN_NOT_RUN},
    [REF_TOO_MANY_JOBS] = {429, "too_many_jobs", RAN_NOT_RUN},
    [REF_CONFIG_NOT_CURRENT] = {503, "not_current", RAN_NOT_RUN},
    [REF_SHUTTING_DOWN] = {503, "shutting_down", RAN_NOT_RUN},
    [REF_OVERLOADED] = {503, "overloaded", RAN_NOT_RUN},
    [REF_OWNER_GONE] = {502, "owner_gone", RAN_UNKNOWN},
    [REF_OWNER_UNREACHABLE] = {503, "owner_unreachable", RAN_UNKNOWN},
    [REF_FORWARD_TOO_LARGE] = {413, "too_large_to_forward", RAN_UNKNOWN},
    [REF_ANSWER_NOT_FORWARDED] = {502, "answer_too_large_to_forward",
	RAN_UNKNOWN},
};

uint32_t
ref_http_status(enum ref_code code)
{
	return refusals[code].http_status;
}

/* Returns the error code in the body of the answer. */
const char *
ref_name(enum ref_code code)
{
	return refusals[code].name;
}

const char *
ref_ran(enum ref_code code)
{
	return refusals[code].ran;
}

char *
ref_json_of(const char *error, const char *ran, const char *message)
{
	struct json_object *root = json_object_new_object();
	char *text;

	json_object_object_add(root, "error", json_object_new_string(error));
	json_object_object_add(root, "ran", json_object_new_string(ran));
	json_object_object_add(
	    root, "message", json_object_new_string(message));
	text = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

char *
ref_json(enum ref_code code, const char *message)
{
	return ref_json_of(ref_name(code), ref_ran(code), message);
}
