#ifndef SP_INTERWATCH_H
#define SP_INTERWATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/sessions.h"
#include "process/counters.h"
#include "request/ledger.h"

/*
 * Measures at an agent which queues slow each other on its worker, exchanges
 * the estimates with the entries and tells them which queues are slowed at
 * present.  All functions allow NULL, which measures and sends nothing.
 */
struct itw;

/* Returns NULL when it is not enabled. */
struct itw *itw_new(bool enabled, struct ctr_registry *counters);
void itw_free(struct itw *itw);

/* The sessions that estimates are sent to; NULL: none. */
void itw_set_sessions(struct itw *itw, struct ses *ses);
/* A start was sent to the worker, or sent again. */
void itw_started(struct itw *itw, const char *task, const char *queue);
/* A start has ended, or was never sent. */
void itw_ended(struct itw *itw, const struct led_result *result);
/* Fills the rows of the queues that are slowed; valid until the next call. */
void itw_fill_update(struct itw *itw, run_update_args *args);
/* Merged estimates of an entry. */
void itw_receive(struct itw *itw, uint64_t session,
    const struct run_interference_args *args);
/* To be called several times a second. */
void itw_tick(struct itw *itw);

#endif
