#ifndef SP_LIMITSHARES_H
#define SP_LIMITSHARES_H

#include "process/counters.h"
#include "process/settings.h"

/*
 * Puts the limits on what clients may take into force, as shares of the resources
 * of the process where the settings have none; see cnl_start() and
 * jtx_set_max_memory().  The shares of memory stay below three quarters of it, but
 * there is always room for a message of max_message_kb to arrive.  The registry is
 * borrowed until cnl_stop().
 */
void lsh_start(const struct set_limits *set, int64_t max_message_kb,
    struct ctr_registry *counters);

#endif
