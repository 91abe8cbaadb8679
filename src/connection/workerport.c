#include <glib.h>
#include <string.h>

#include "connection/workerport.h"

bool
wp_id_is_valid(const char *text)
{
	return *text != '\0' && strlen(text) <= WP_ID_MAX_BYTES &&
	       strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-._") ==
		   strlen(text);
}
