#ifndef SP_ETCD_H
#define SP_ETCD_H

#include "store.h"

struct etcd_options {
	const char *url;    /* "http://ip:port"; copied */
	int64_t timeout_ms; /* for one call */
	int64_t *calls;	    /* counter incremented by each call; may be NULL */
};

/*
 * Returns an adapter to the JSON gateway of etcd v3, which runs on the default
 * main context.  The caller frees it with store->ops->free(), after which no
 * callback runs.
 */
struct store *etcd_new(const struct etcd_options *opts);

#endif
