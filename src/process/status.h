#ifndef SP_STATUS_H
#define SP_STATUS_H

/* Error codes shared by the modules of one process. */
enum st_code {
	ST_OK = 0,
	ST_INVALID,  /* argument, settings or message is malformed */
	ST_CONFLICT, /* a concurrent change won, or the id has another body */
	ST_NOT_FOUND,
	ST_UNAVAILABLE, /* peer or store can't be reached now */
	ST_TIMEOUT,
	ST_LIMIT,   /* queue, quota or size limit reached */
	ST_UNKNOWN, /* the request may or may not have taken effect */
	ST_INTERNAL
};

#define ST_MESSAGE_MAX 512

/* A status with its last message; plain data, copied by value. */
struct status {
	enum st_code code;
	char message[ST_MESSAGE_MAX];
};

enum st_code st_set(struct status *st, enum st_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
enum st_code st_wrap(struct status *st, enum st_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
const char *st_name(enum st_code code);

#endif
