#ifndef REFUSALCOUNT_H
#define REFUSALCOUNT_H

#include <glib.h>

#include "process/counters.h"

/* Appends a line for each source and reason of refused messages. */
void rfc_append(GString *out, const struct ctr_registry *counters);

#endif
