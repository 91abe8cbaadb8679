#ifndef SP_COUNTERS_H
#define SP_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* Named counters and gauges of one process. */
struct ctr_registry;

struct ctr_registry *ctr_new(void);
void ctr_free(struct ctr_registry *reg);

/*
 * Returns the value of the counter or gauge with this name, made on first
 * use, so the caller adds to it directly.  The registry owns it.  name may
 * carry labels: "starts_total{outcome=\"done\"}".
 */
int64_t *ctr_counter(
    struct ctr_registry *reg, const char *name, const char *help);
int64_t *ctr_gauge(
    struct ctr_registry *reg, const char *name, const char *help);

/* Prometheus text exposition; the caller frees it with g_free(). */
char *ctr_text(const struct ctr_registry *reg);

#endif
