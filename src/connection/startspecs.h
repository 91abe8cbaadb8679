#ifndef SP_STARTSPECS_H
#define SP_STARTSPECS_H

#include <glib.h>
#include <stdint.h>

#include "connection/run_xdr.h"

/*
 * Specs of a START message: each of its starts names one by its index.  Tasks of
 * a job share their spec.
 */

/* Returns a list of GBytes, to be freed with g_ptr_array_unref(). */
GPtrArray *ssp_new(void);
/* Returns the index of the spec in the list, to which it is added if needed. */
uint32_t ssp_add(GPtrArray *specs, GBytes *spec);
/* Returns an array that borrows from specs; free with g_free(). */
run_spec *ssp_to_wire(const GPtrArray *specs);
/* Returns a copy of the specs of a message, as ssp_new() does. */
GPtrArray *ssp_from_wire(const run_start_args *args);

#endif
