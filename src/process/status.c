#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "status.h"

enum st_code
st_set(struct status *st, enum st_code code, const char *fmt, ...)
{
	va_list ap;

	if (st == NULL)
		return code;
	st->code = code;
	va_start(ap, fmt);
	vsnprintf(st->message, sizeof(st->message), fmt, ap);
	va_end(ap);
	return code;
}

enum st_code
st_wrap(struct status *st, enum st_code code, const char *fmt, ...)
{
	char message[ST_MESSAGE_MAX];
	size_t used;
	va_list ap;
	int n;

	if (st == NULL)
		return code;
	va_start(ap, fmt);
	n = vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	used = n < 0 ? 0 : (size_t)n;
	if (used < sizeof(message))
		snprintf(message + used, sizeof(message) - used, ": %s",
		    st->message);
	st->code = code;
	memcpy(st->message, message, sizeof(message));
	return code;
}

const char *
st_name(enum st_code code)
{
	switch (code) {
	case ST_OK:
		return "ok";
	case ST_INVALID:
		return "invalid";
	case ST_CONFLICT:
		return "conflict";
	case ST_NOT_FOUND:
		return "not_found";
	case ST_UNAVAILABLE:
		return "unavailable";
	case ST_TIMEOUT:
		return "timeout";
	case ST_LIMIT:
		return "limit";
	case ST_UNKNOWN:
		return "unknown";
	case ST_INTERNAL:
		return "internal";
	}
	return "internal";
}
