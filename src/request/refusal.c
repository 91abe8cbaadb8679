#include <json-c/json.h>
#include <glib.h>

#include "request/refusal.h"

#define NOT_RUN "not_run"
#define UNKNOWN "unknown"

/*
 * "unknown" stands where a submission with the same id may have run before;
 * everything else is decided before any task is queued.
 */
static const struct {
	uint32_t http_status;
	const char *name;
	const char *ran;
} refusals[] = {
    [REF_NONE] = {500, "internal", UNKNOWN},
    [REF_BAD_REQUEST] = {400, "bad_request", NOT_RUN},
    [REF_BAD_ID] = {400, "bad_id", NOT_RUN},
    [REF_TOO_DEEP] = {400, "too_deep", NOT_RUN},
    [REF_METHOD] = {405, "method_not_allowed", NOT_RUN},
    [REF_NOT_FOUND] = {404, "not_found", NOT_RUN},
    [REF_CONFLICT] = {409, "conflict", NOT_RUN},
    [REF_EXPIRED] = {410, "expired", UNKNOWN},
    [REF_LENGTH_REQUIRED] = {411, "length_required", NOT_RUN},
    [REF_TOO_LARGE] = {413, "too_large", NOT_RUN},
    [REF_TOO_MANY_TASKS] = {413, "too_many_tasks", NOT_RUN},
    [REF_UNKNOWN_SERVICE] = {404, "unknown_service", NOT_RUN},
    [REF_UNKNOWN_TEAM] = {403, "unknown_team", NOT_RUN},
    [REF_OUT] = {503, "out", NOT_RUN},
    [REF_DEPENDENCY] = {503, "dependency_unavailable", NOT_RUN},
    [REF_NO_ENDPOINT] = {503, "no_endpoint", NOT_RUN},
    [REF_CAN_NEVER_RUN] = {422, "can_never_run", NOT_RUN},
    [REF_QUEUE_FULL] = {429, "queue_full", NOT_RUN},
    [REF_HOPELESS] = {503, "deadline_too_short", NOT_RUN},
    [REF_TEAM_QUOTA] = {429, "team_quota", NOT_RUN},
    [REF_SERVICE_LIMIT] = {429, "service_limit", NOT_RUN},
    [REF_TABLE_FULL] = {429, "too_many_jobs", NOT_RUN},
    [REF_NOT_CURRENT] = {503, "not_current", NOT_RUN},
    [REF_SHUTTING_DOWN] = {503, "shutting_down", NOT_RUN},
    [REF_OVERLOADED] = {503, "overloaded", NOT_RUN},
    [REF_OWNER_GONE] = {502, "owner_gone", UNKNOWN},
    [REF_OWNER_UNREACHABLE] = {503, "owner_unreachable", UNKNOWN},
    [REF_FORWARD_TOO_LARGE] = {413, "too_large_to_forward", UNKNOWN},
    [REF_ANSWER_NOT_FORWARDED] = {502, "answer_too_large_to_forward", UNKNOWN},
};

/* Returns the HTTP status of a refusal. */
uint32_t
ref_http_status(enum ref_code code)
{
	return refusals[code].http_status;
}

/* Returns the error code as callers see it. */
const char *
ref_name(enum ref_code code)
{
	return refusals[code].name;
}

/* Returns what is known about the execution. */
const char *
ref_ran(enum ref_code code)
{
	return refusals[code].ran;
}

/* Writes the body of a refusal. */
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

/* Writes the body of a refusal with one of the codes above. */
char *
ref_json(enum ref_code code, const char *message)
{
	return ref_json_of(ref_name(code), ref_ran(code), message);
}
