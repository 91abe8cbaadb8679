#ifndef SP_ADDRESS_H
#define SP_ADDRESS_H

#include <gio/gio.h>

#include "process/status.h"

/*
 * Parses "ip:port" or "[ip]:port"; the port may be 0.  Returns NULL, with the
 * reason in st, for any other text.  The caller unrefs the address.
 */
GSocketAddress *addr_parse(const char *text, struct status *st);

#endif
