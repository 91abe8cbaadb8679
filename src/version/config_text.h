#ifndef SP_CONFIG_TEXT_H
#define SP_CONFIG_TEXT_H

#include <glib.h>

#include "config.h"

/* The parsed text that operators write. */
struct cfg_text_parts {
	GArray *domains;  /* struct cfg_domain */
	GArray *services; /* struct cfg_service */
	GArray *teams;	  /* struct cfg_team */
};

void cfg_text_init(struct cfg_text_parts *text);
void cfg_text_clear(struct cfg_text_parts *text);
bool cfg_text_parse(const char *name, const char *bytes, size_t len,
    struct cfg_text_parts *text, struct status *st);
/*
 * Finds an element by name in an array of structs whose first member is the
 * name; NULL if there is none.
 */
void *cfg_find(const GArray *array, const char *name);

#endif
