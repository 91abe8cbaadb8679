#ifndef ENTRY_NODE_H
#define ENTRY_NODE_H

#include "version/change.h"

#define ENTRY_NODE_FRESHNESS_MS 600

/* The configuration part of one entry, without its listeners. */
struct entry_node {
	struct store *store;
	struct fresh *fresh;
	struct rdr *rdr;
	struct mem *mem;
	struct quo *quo;
	struct chg *chg;
	struct mem_entry self;
	bool cut; /* from its peers */
	char address[32];
};

void entry_node_start(struct entry_node *node, const char *store_url,
    uint64_t incarnation, const char *domain, int port);
/* Ends without leaving, as a killed process does. */
void entry_node_kill(struct entry_node *node);

#endif
