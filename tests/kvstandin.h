#ifndef KVSTANDIN_H
#define KVSTANDIN_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

/* The key-value store of the stand-in for the platform; one a process. */

void kvs_open(void);
/* While it is down, the store answers 503 and leaves watches open. */
void kvs_set_down(bool down);
/* Writes a key and answers its watches; takes data, NULL deletes the key. */
void kvs_write(const char *key, GBytes *data);
/* Answers watches whose time is over; to be called now and then. */
void kvs_check_watches(void);
/* Handles a call of a client. */
void kvs_handle(SoupServerMessage *msg, const char *path, GHashTable *query);

#endif
