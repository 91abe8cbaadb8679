#ifndef PROXY3_H
#define PROXY3_H

#include <stdbool.h>

/*
 * A proxy between loopback ports, in a thread of its own.  While it holds, what
 * callers send waits, new connections too; after that it goes on in its order,
 * also if the caller has left.
 */
struct prx;

/* Returns NULL if the port can't be used. */
struct prx *prx_new(int port, int to_port);
void prx_hold(struct prx *prx, bool hold);

#endif
