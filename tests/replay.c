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

static char *
replay_lines(const char *path, char **lines, const struct replay *replay)
{
	char *error = NULL, *where;
	void *ctx = NULL;
	int i, ran = 0;

	for (i = 0; lines[i] != NULL && error == NULL; i++) {
		g_strstrip(lines[i]);
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		if (g_str_has_prefix(lines[i], "case ")) {
			if (ctx != NULL)
				replay->end(ctx);
			ctx = replay->start();
			continue;
		}
		if (ctx == NULL)
			break;
		error = replay_line(replay, ctx, lines[i]);
		ran++;
	}
	if (ctx != NULL)
		replay->end(ctx);
	if (error == NULL && ran == 0)
		error = g_strdup("no command in a case");
	if (error == NULL)
		return NULL;
	where = g_strdup_printf("%s:%d: %s", path, i, error);
	g_free(error);
	return where;
}

char *
replay_file(const char *path, const struct replay *replay)
{
	char *text, **lines, *error;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return g_strdup_printf("%s can't be read", path);
	lines = g_strsplit(text, "\n", -1);
	error = replay_lines(path, lines, replay);
	g_strfreev(lines);
	g_free(text);
	return error;
}
