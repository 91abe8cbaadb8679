#ifndef SP_ENTRY_H
#define SP_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/settings.h"
#include "process/status.h"

/* The root object of spentryd: owns the main loop and all other objects. */
struct entry;

/*
 * NULL, with the reason in st, when a listener can't be opened.  set must
 * outlive the entry.
 */
struct entry *entry_new(const struct set_entry *set, struct status *st);
/*
 * Runs until a graceful shutdown, begun by SIGTERM or SIGINT, is complete.
 * False: requests were still in progress when drain_timeout_ms had passed.
 */
bool entry_run(struct entry *entry);
/* Closes all connections; requests in progress get no answer. */
void entry_free(struct entry *entry);

#endif
