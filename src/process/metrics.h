#ifndef SP_METRICS_H
#define SP_METRICS_H

#include "process/counters.h"
#include "process/status.h"

/* HTTP server of a counter registry in the Prometheus format at /metrics. */
struct met;

/* listen is "ip:port"; counters are borrowed. */
struct met *met_new(
    const char *listen, struct ctr_registry *counters, struct status *st);
/* NULL is allowed. */
void met_free(struct met *met);

#endif
