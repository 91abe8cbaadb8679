#include <string.h>

#include "fuzz/choices.h"

uint8_t
cho_next(struct choices *in)
{
	if (in->size == 0)
		return 0;
	in->size--;
	return *in->data++;
}

const char *
cho_pick(struct choices *in, const char *const *texts, size_t n)
{
	return texts[cho_next(in) % n];
}

void
cho_add(GString *out, const char *name, const char *value)
{
	if (value == NULL)
		return;
	if (strchr("[{", out->str[out->len - 1]) == NULL)
		g_string_append_c(out, ',');
	if (name != NULL)
		g_string_append_printf(out, "\"%s\":", name);
	g_string_append(out, value);
}
