#ifndef SP_JSONC_SCAN_H
#define SP_JSONC_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define JSONC_MAX_DEPTH 32

/* 1-based position in a text. */
struct jsonc_position {
	uint32_t line;
	uint32_t column;
};

/*
 * Checks the syntax of a text.  Fills positions with the position of every key
 * and array element: a g_strdup()ed path to a g_new()ed struct jsonc_position.
 */
bool jsonc_scan(const char *name, const char *text, size_t len,
    GHashTable *positions, struct status *st);

#endif
