#include <string.h>

#include "replay.h"

static char *
replay_line(const struct replay *replay, void *ctx, const char *line)
{
	char **sides = g_strsplit(line, "=>", 2);
	char **words = g_strsplit_set(g_strstrip(sides[0]), " \t", -1);
	GString *actual = g_string_new(NULL);
	const char *expected = "";
	char *error = NULL;

	if (sides[1] != NULL)
		expected = g_strstrip(sides[1]);
	replay->step(ctx, words, actual);
	g_strstrip(actual->str);
	if (strcmp(actual->str, expected) != 0)
		error = g_strdup_printf("\"%s\": got \"%s\", expected \"%s\"",
		    sides[0], actual->str, expected);
	g_string_free(actual, TRUE);
	g_strfreev(words);
	g_strfreev(sides);
	return error;
}

/* Runs the case with the index, or all cases when it is -1. */
static char *
replay_lines(
    const char *path, char **lines, const struct replay *replay, int only_index)
{
	char *error = NULL, *located_error;
	void *ctx = NULL;
	int i, n_commands = 0, index = -1;

	for (i = 0; lines[i] != NULL && error == NULL; i++) {
		g_strstrip(lines[i]);
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		if (g_str_has_prefix(lines[i], "case ")) {
			if (ctx != NULL)
				replay->end(ctx);
			index++;
			ctx = only_index < 0 || only_index == index
				  ? replay->start()
				  : NULL;
			continue;
		}
		if (index < 0)
			break;
		if (ctx == NULL)
			continue;
		error = replay_line(replay, ctx, lines[i]);
		n_commands++;
	}
	if (ctx != NULL)
		replay->end(ctx);
	if (error == NULL && n_commands == 0)
		error = g_strdup("no command was run");
	if (error == NULL)
		return NULL;
	located_error = g_strdup_printf("%s:%d: %s", path, i, error);
	g_free(error);
	return located_error;
}

char *
replay_case(const char *path, const struct replay *replay, int only_index)
{
	char *text, **lines, *error;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return g_strdup_printf("cannot read %s", path);
	lines = g_strsplit(text, "\n", -1);
	error = replay_lines(path, lines, replay, only_index);
	g_strfreev(lines);
	g_free(text);
	return error;
}

char *
replay_file(const char *path, const struct replay *replay)
{
	return replay_case(path, replay, -1);
}

/* Counts "case " lines after the first line, which is a comment. */
int
replay_count(const char *path)
{
	char *text, *at;
	int n = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read %s", path);
	for (at = text; at != NULL; at = strstr(at + 1, "\ncase "))
		n++;
	g_free(text);
	return n - 1;
}
