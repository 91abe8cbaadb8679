#ifndef SP_REPLAY_H
#define SP_REPLAY_H

#include <glib.h>

/*
 * Replays a plain-text trace.  A line is "command argument... => expected";
 * without "=>" the output must be empty.  "case NAME" begins a new case with a
 * new context.  Lines that begin with '#' are comments.
 */
struct replay {
	void *(*start)(void);
	void (*end)(void *ctx);
	/* Runs one command and appends its output to actual. */
	void (*step)(void *ctx, char **words, GString *actual);
};

/*
 * Returns NULL when the output of every command was as expected, otherwise a
 * message for the first that differs, to be freed with g_free().
 */
char *replay_file(const char *path, const struct replay *replay);
/* Runs only the case with the index, counted from 0. */
char *replay_case(const char *path, const struct replay *replay, int index);
/* Returns the number of cases; the file must begin with a comment line. */
int replay_count(const char *path);

#endif
