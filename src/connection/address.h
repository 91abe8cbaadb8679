#ifndef SP_ADDRESS_H
#define SP_ADDRESS_H

#include <gio/gio.h>

#include "process/status.h"

/*
 * Parses "ip:port" or "[ip]:port"; port 0 stays 0.  NULL, with the reason in
 * st, when it is anything else; the caller unrefs the address.
 */
GSocketAddress *addr_parse(const char *text, struct status *st);

#endif
