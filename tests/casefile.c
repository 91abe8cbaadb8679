#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "casefile.h"

static void
add_case(GArray *cases, const char *block)
{
	struct text_case tc = {0};
	const char *newline = strchr(block, '\n');
	const char *separator;

	if (newline == NULL)
		g_error("case has no line after its name: %s", block);
	separator = strstr(newline, "\n--- expected\n");
	if (separator == NULL)
		g_error("case has no \"--- expected\" line: %s", block);
	tc.name = g_strndup(block, (gsize)(newline - block));
	tc.input = separator == newline
		       ? g_strdup("")
		       : g_strndup(newline + 1, (gsize)(separator - newline));
	tc.expected =
	    g_strchomp(g_strdup(separator + strlen("\n--- expected\n")));
	g_array_append_val(cases, tc);
}

/* Loads all cases; text before the first "=== " line is ignored. */
struct text_case *
casefile_load(const char *path, size_t *n)
{
	GArray *cases = g_array_new(FALSE, FALSE, sizeof(struct text_case));
	char **blocks, *text;
	size_t i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read %s", path);
	blocks = g_strsplit(text, "=== ", -1);
	for (i = 1; blocks[i] != NULL; i++)
		add_case(cases, blocks[i]);
	g_strfreev(blocks);
	g_free(text);
	*n = cases->len;
	return (struct text_case *)g_array_free(cases, FALSE);
}
