#ifndef SP_INTERPOOL_H
#define SP_INTERPOOL_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/pairwire.h"
#include "connection/worklink.h"
#include "process/counters.h"
#include "request/workerset.h"

/*
 * Merges at an entry what its agents have measured of queues that slow each
 * other, and returns it to them.  All functions allow NULL, which ignores what
 * agents report and sends nothing.
 */
struct itp;

/* Returns NULL when it is not enabled. */
struct itp *itp_new(bool enabled, struct ctr_registry *counters);
void itp_free(struct itp *itp);

/* Takes the queues that the worker slows at present. */
void itp_update(const struct itp *itp, struct wks_worker *worker,
    const struct run_update_args *args);
/* Estimates of the agent with this address. */
void itp_receive(struct itp *itp, const char *agent,
    const struct run_interference_args *args);
/*
 * To be called several times a second, and then itp_send() for each link, with
 * a pace that is zero for each new connection.
 */
void itp_tick(struct itp *itp);
void itp_send(struct itp *itp, struct wlk *link, struct pwr_pace *pace);

#endif
