#ifndef SP_FRESH_H
#define SP_FRESH_H

#include <stdbool.h>
#include <stdint.h>

#include "version/config.h"

/*
 * The newest configuration that this process holds, and the last time at which
 * it was confirmed that no newer version was accepted.  Times are
 * CLOCK_BOOTTIME milliseconds.
 */
struct fresh;

typedef void (*fresh_changed_fn)(struct cfg *cfg, void *ctx);

struct fresh *fresh_new(int64_t max_age_ms);
void fresh_free(struct fresh *fresh);
/*
 * Runs fn whenever a newer configuration is held; may be called repeatedly to
 * add several listeners.
 */
void fresh_on_changed(struct fresh *fresh, fresh_changed_fn fn, void *ctx);

/* Replaces the configuration held if cfg is newer; adds its own reference. */
void fresh_update(struct fresh *fresh, struct cfg *cfg);
/*
 * Records that no version above the given one was accepted as of as_of_ms.
 * Ignored if the version held is lower than the given one.
 */
void fresh_confirm(struct fresh *fresh, uint64_t version, int64_t as_of_ms);

struct cfg *fresh_config(const struct fresh *fresh); /* borrowed, or NULL */
uint64_t fresh_version(const struct fresh *fresh);   /* 0: none */
int64_t fresh_age_ms(const struct fresh *fresh, int64_t now_ms); /* -1: never */
bool fresh_is_current(const struct fresh *fresh, int64_t now_ms);

#endif
