#ifndef SP_REFUSAL_H
#define SP_REFUSAL_H

#include <stdint.h>

/* Error codes of answers to callers; see docs/callers.md. */
enum ref_code {
	REF_NONE,
	REF_BAD_REQUEST,
	REF_BAD_ID,
	REF_TOO_DEEP,
	REF_METHOD_NOT_ALLOWED,
	REF_NOT_FOUND,
	REF_CONFLICT,
	REF_EXPIRED,
	REF_LENGTH_REQUIRED,
	REF_TOO_LARGE,
	REF_TOO_MANY_TASKS,
	REF_UNKNOWN_SERVICE,
	REF_UNKNOWN_TEAM,
	REF_SERVICE_OUT,
	REF_DEPENDENCY_UNAVAILABLE,
	REF_NO_ENDPOINT,
	REF_CAN_NEVER_RUN,
	REF_QUEUE_FULL,
	REF_DEADLINE_TOO_SHORT,
	REF_TEAM_QUOTA,
	REF_SERVICE_LIMIT,
	REF_TOO_MANY_JOBS,
	REF_CONFIG_NOT_CURRENT,
	REF_SHUTTING_DOWN,
	REF_OVERLOADED,
	REF_OWNER_GONE,
	REF_OWNER_UNREACHABLE,
	REF_FORWARD_TOO_LARGE,
	REF_ANSWER_NOT_FORWARDED
};

uint32_t ref_http_status(enum ref_code code);
const char *ref_name(enum ref_code code);
/* Returns "not_run" or "unknown", for the field "ran" of an answer. */
const char *ref_ran(enum ref_code code);
/* Return {"error","ran","message"}, to be freed with g_free(). */
char *ref_json(enum ref_code code, const char *message);
char *ref_json_of(const char *error, const char *ran, const char *message);

#endif
