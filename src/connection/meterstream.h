#ifndef SP_METERSTREAM_H
#define SP_METERSTREAM_H

#include <gio/gio.h>

#include "connection/connlimit.h"

/*
 * A stream over an accepted connection whose input is counted against the bounds
 * of the process.  Reading fails when the bounds require its end.  Takes
 * ownership of limit; a reference to base is taken.
 */
GIOStream *mst_new(GSocketConnection *base, struct cnl_conn *limit);

#endif
