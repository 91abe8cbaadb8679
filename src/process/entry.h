#ifndef SP_ENTRY_H
#define SP_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/settings.h"
#include "process/status.h"

/* The root object of spentryd: owns the listeners and everything below. */
struct entry;

/* NULL, with the reason, when a listener can't be opened.  set is borrowed. */
struct entry *entry_new(const struct set_entry *set, struct status *st);
/*
 * Runs until a graceful shutdown, begun by SIGTERM or SIGINT, is over.
 * False: requests were still in progress when drain_timeout_ms had passed.
 */
bool entry_run(struct entry *entry);
void entry_free(struct entry *entry);

#endif
