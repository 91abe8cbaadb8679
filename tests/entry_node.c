#include <stdio.h>
#include <string.h>

#include "entry_node.h"
#include "version/etcd.h"

void
entry_node_start(struct entry_node *node, const char *store_url,
    uint64_t incarnation, const char *domain, int port)
{
	struct etcd_options store_opts = {.url = store_url, .timeout_ms = 300};
	struct rdr_options rdr_opts = {.poll_ms = 50};
	struct mem_options mem_opts = {.lease_s = 1, .poll_ms = 50};
	struct chg_options chg_opts = {.freshness_ms = ENTRY_NODE_FRESHNESS_MS};

	memset(node, 0, sizeof(*node));
	snprintf(node->address, sizeof(node->address), "127.0.0.1:%d", port);
	node->self = (struct mem_entry){
	    incarnation, "e", domain, node->address, node->address};
	node->store = etcd_new(&store_opts);
	node->fresh = fresh_new(ENTRY_NODE_FRESHNESS_MS);
	rdr_opts.store = node->store;
	rdr_opts.fresh = node->fresh;
	node->rdr = rdr_new(&rdr_opts);
	mem_opts.store = node->store;
	mem_opts.self = node->self;
	node->mem = mem_new(&mem_opts);
	node->quo = quo_new(ENTRY_NODE_FRESHNESS_MS);
	chg_opts.store = node->store;
	chg_opts.rdr = node->rdr;
	chg_opts.fresh = node->fresh;
	chg_opts.mem = node->mem;
	chg_opts.quo = node->quo;
	chg_opts.self = node->self;
	node->chg = chg_new(&chg_opts);
}

void
entry_node_kill(struct entry_node *node)
{
	if (node->chg == NULL)
		return;
	chg_free(node->chg);
	mem_free(node->mem);
	rdr_free(node->rdr);
	quo_free(node->quo);
	fresh_free(node->fresh);
	node->store->ops->free(node->store);
	memset(node, 0, sizeof(*node));
}
