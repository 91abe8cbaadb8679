#ifndef SP_LOCALHTTP_H
#define SP_LOCALHTTP_H

#include "connection/announce.h"
#include "process/counters.h"
#include "process/status.h"
#include "process/trace.h"

/* The agent's local HTTP listener: announcement, health, metrics, traces. */
struct lh;

struct lh_options {
	const char *listen; /* "ip:port" */
	struct ann *ann;
	const struct ctr_registry *counters;
	const struct trc_ring *traces;
	uint32_t (*running)(void *ctx); /* number of calls to the endpoint */
	void (*changed)(void *ctx);	/* the announcement has changed */
	void *ctx;
};

/* Returns NULL, with the reason in st, when the address can't be bound. */
struct lh *lh_new(const struct lh_options *opts, struct status *st);
void lh_free(struct lh *lh);

#endif
