#ifndef SP_ACCEPTOR_H
#define SP_ACCEPTOR_H

#include <libsoup/soup.h>

/*
 * Accepts the connections of a listening socket for a server, in the
 * thread-default main context, and counts them and their requests against the
 * limits of the process.
 */
struct acp;

/* The server must outlive it; a reference to the socket is taken. */
struct acp *acp_new(SoupServer *server, GSocket *socket);
/* Closes the listening socket. */
void acp_free(struct acp *acp);

#endif
