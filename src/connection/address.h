#ifndef SP_ADDRESS_H
#define SP_ADDRESS_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Parses "ip:port" or "[ip]:port"; the port may be 0.  Returns NULL, with the
 * reason in st, for any other text.  The caller unrefs the address.
 */
GSocketAddress *addr_parse(const char *text, struct status *st);
/*
 * Whether text is "ip:port" or "[ip]:port" in its usual form with a port that
 * can be connected to, so that it can be put into a URL.
 */
bool addr_is_valid(const char *text);

#endif
