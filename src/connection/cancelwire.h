#ifndef SP_CANCELWIRE_H
#define SP_CANCELWIRE_H

#include <stdbool.h>

#include "connection/run_xdr.h"

/* Whether the keys and ages of a message are in their ranges. */
bool ccw_are_valid(const run_cancelled_args *args);

#endif
