#ifndef STORE_PROCESS_H
#define STORE_PROCESS_H

#include "version/store.h"

/* Starts a standin_store and returns its URL; hn_finish() stops it. */
const char *store_process_start(void);
/* Sends a control request such as "outage?mode=refuse". */
void store_process_control(const char *request);

/*
 * Starts a standin_store and returns a client of it; store_process_close()
 * frees the client and calls hn_finish().
 */
struct store *store_process_open(int64_t timeout_ms);
void store_process_close(struct store *store);

#endif
