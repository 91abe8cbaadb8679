#include "refusalcount.h"

void
rfc_append(GString *out, const struct ctr_registry *counters)
{
	g_autofree char *text = ctr_text(counters);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "sp_messages_refused_total"))
			g_string_append_printf(out, "\n%s", lines[i]);
	}
}
