#ifndef SEQUOIAPLANK_H
#define SEQUOIAPLANK_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Public interface of libsequoiaplank, for programs that embed an entry or an
 * agent, or that check a configuration before it is applied.  A process can run
 * at most one entry or agent, in the thread that calls sp_*_run().
 */

#define SP_MESSAGE_MAX 512 /* bytes, with the terminating NUL */

enum sp_result {
	SP_OK = 0,
	SP_INVALID = 1,	    /* invalid settings or text; message tells where */
	SP_UNAVAILABLE = 2, /* an address can't be listened on */
	SP_INTERRUPTED = 3  /* requests still ran after drain_timeout_ms */
};

/* Owned by the caller; message is empty after SP_OK. */
struct sp_error {
	char message[SP_MESSAGE_MAX];
};

/* Version "major.minor.patch"; a static string. */
const char *sp_version(void);

/*
 * Checks an operators' text of len bytes.  The error message refers to it by
 * name ("name:line:column: ...").  Errors: SP_INVALID.
 */
enum sp_result sp_text_check(
    const char *name, const char *text, size_t len, struct sp_error *error);

/* Checks a settings file and starts nothing.  Errors: SP_INVALID. */
enum sp_result sp_entry_check(const char *path, struct sp_error *error);
enum sp_result sp_agent_check(const char *path, struct sp_error *error);

/*
 * Run an entry or an agent until SIGTERM or SIGINT has led to a graceful
 * shutdown, which takes up to the setting drain_timeout_ms (milliseconds).
 * Errors: SP_INVALID, SP_UNAVAILABLE, SP_INTERRUPTED.
 */
enum sp_result sp_entry_run(const char *path, struct sp_error *error);
enum sp_result sp_agent_run(const char *path, struct sp_error *error);

#ifdef __cplusplus
}
#endif

#endif
