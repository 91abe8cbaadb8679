#ifndef ENTRY_NODE_H
#define ENTRY_NODE_H

#include "version/change.h"

#define ENTRY_NODE_FRESHNESS_MS 600

/* The modules of one entry that handle the configuration, without listeners. */
struct entry_node {
	struct store *store;
	struct fresh *fresh;
	struct rdr *rdr;
	struct mem *mem;
	struct quo *quo;
	struct chg *chg;
	struct mem_entry self;
	bool cut; /* cut off from its peers */
	char address[32];
};

void entry_node_start(struct entry_node *node, const char *store_url,
    uint64_t incarnation, const char *domain, int port);
/* Frees the node without deregistering it, as if its process was killed. */
void entry_node_kill(struct entry_node *node);

#endif
