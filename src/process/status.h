#ifndef SP_STATUS_H
#define SP_STATUS_H

/* Error codes shared by the modules of one process. */
enum st_code {
	ST_OK = 0,
	ST_INVALID,  /* malformed argument, settings or message */
	ST_CONFLICT, /* conflicts with current state or a concurrent change */
	ST_NOT_FOUND,
	ST_UNAVAILABLE, /* peer or store is unreachable */
	ST_TIMEOUT,
	ST_LIMIT,   /* queue, quota or size limit reached */
	ST_UNKNOWN, /* the request may or may not have taken effect */
	ST_INTERNAL
};

#define ST_MESSAGE_MAX 512

/* An error code and its message; may be copied by value. */
struct status {
	enum st_code code;
	char message[ST_MESSAGE_MAX];
};

/* Sets code and message, and returns code.  st may be NULL. */
enum st_code st_set(struct status *st, enum st_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Sets code and puts the message before the present one: "new: old". */
enum st_code st_wrap(struct status *st, enum st_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Name of a code for logs. */
const char *st_name(enum st_code code);

#endif
