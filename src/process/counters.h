#ifndef SP_COUNTERS_H
#define SP_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* Named counters and gauges of one process. */
struct ctr_registry;

struct ctr_registry *ctr_new(void);
void ctr_free(struct ctr_registry *reg);

/*
 * Return a pointer to the value of the counter or gauge with this name, which
 * is created on first use.  The caller must never decrease a counter; a gauge
 * may take any value.  The pointer is valid until the registry is freed.  name
 * may carry labels: "starts_total{outcome=\"done\"}".
 */
int64_t *ctr_counter(
    struct ctr_registry *reg, const char *name, const char *help);
int64_t *ctr_gauge(
    struct ctr_registry *reg, const char *name, const char *help);

/* All values in the Prometheus text format; free with g_free(). */
char *ctr_text(const struct ctr_registry *reg);

#endif
