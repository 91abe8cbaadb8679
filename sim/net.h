#ifndef SIM_NET_H
#define SIM_NET_H

#include <stdbool.h>
#include <stdint.h>

#include "sim/loop.h"

/*
 * Network between entries and agents: replaces rpc.h and the socket calls of
 * sessions.c and worklink.c.  A connection delivers messages in order, after
 * the delay of its link.  While a direction of a link is cut, its messages wait
 * and are delivered together after the cut.  A reset drops what waits.
 */

enum snt_direction { SNT_TO_AGENT, SNT_TO_ENTRY, SNT_N_DIRECTIONS };

struct snt_options {
	uint32_t n_entries;
	uint32_t n_agents;
	bool no_catch_up; /* the mutant of this name */
};

void snt_reset(const struct snt_options *opts);
/* Says whose connections the code of a process makes. */
void snt_register(struct slp_proc *proc, bool is_entry, uint32_t index);
/* The address at which the agent listens; freed with g_free(). */
char *snt_agent_address(uint32_t agent);
/* Resets the connections of a process that has died. */
void snt_close_all(struct slp_proc *proc);

/* The link between an entry and an agent. */
void snt_set_delay(uint32_t entry, uint32_t agent, enum snt_direction direction,
    int64_t delay_ms);
void snt_cut(uint32_t entry, uint32_t agent, enum snt_direction direction,
    int64_t until_ms);
void snt_reset_link(uint32_t entry, uint32_t agent);

#endif
