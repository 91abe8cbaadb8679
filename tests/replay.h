#ifndef SP_REPLAY_H
#define SP_REPLAY_H

#include <glib.h>

/*
 * Replays a plain-text trace.  A line is "command argument... => expected";
 * without "=>" nothing is expected.  "case NAME" starts afresh, '#' starts a
 * comment.
 */
struct replay {
	void *(*start)(void);
	void (*end)(void *ctx);
	/* Runs one command and appends what it gave to actual. */
	void (*step)(void *ctx, char **words, GString *actual);
};

/*
 * NULL when every line gave what it expects, otherwise the first that did not;
 * the caller frees it with g_free().
 */
char *replay_file(const char *path, const struct replay *replay);
/* The same for the case of that index alone. */
char *replay_case(const char *path, const struct replay *replay, int index);
/* Number of cases; the file must begin with a comment. */
int replay_count(const char *path);

#endif
