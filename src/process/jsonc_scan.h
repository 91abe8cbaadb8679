#ifndef SP_JSONC_SCAN_H
#define SP_JSONC_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define JSONC_MAX_DEPTH 32

struct jsonc_position {
	uint32_t line;
	uint32_t column;
};

/* where maps a g_strdup()ed path to a g_new()ed struct jsonc_position. */
bool jsonc_scan(const char *name, const char *text, size_t len,
    GHashTable *where, struct status *st);

#endif
