#ifndef SP_AGENT_H
#define SP_AGENT_H

#include <stdbool.h>

#include "process/settings.h"
#include "process/status.h"

/* The root object of spagentd: owns the main loop and all other objects. */
struct agent;

/* set must outlive the agent.  NULL on error, with the reason in st. */
struct agent *agent_new(const struct set_agent *set, struct status *st);
/*
 * Runs until a graceful shutdown is complete.  False: tasks were still running
 * or results unacknowledged when drain_timeout_ms had passed.
 */
bool agent_run(struct agent *agent);
void agent_free(struct agent *agent);
/* Starts a graceful shutdown: refuses starts, lets running tasks finish. */
void agent_drain(struct agent *agent);

#endif
