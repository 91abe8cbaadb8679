#ifndef SP_AGENT_H
#define SP_AGENT_H

#include <stdbool.h>

#include "process/settings.h"
#include "process/status.h"

/* Root object of spagentd: owns the loop and every object below it. */
struct agent;

/* set outlives the agent.  NULL on error, with the reason in st. */
struct agent *agent_new(const struct set_agent *set, struct status *st);
/* Runs until a drain has ended; true when no work was interrupted. */
bool agent_run(struct agent *agent);
void agent_free(struct agent *agent);
/* Starts the graceful shutdown. */
void agent_drain(struct agent *agent);

#endif
