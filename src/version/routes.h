#ifndef SP_ROUTES_H
#define SP_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * One version of the operators' configuration: which queue a request belongs
 * to and which service runs its tasks.  Immutable and reference counted.
 */
struct rts;

struct rts_queue {
	char *name;
	char *host;
	char *prefix;
	char *service;
	uint32_t priority;	 /* 0 first */
	uint32_t max_attempts;	 /* failed runs of a task; at least 1 */
	double stretch;		 /* objective over the job's chain */
	int64_t target_ms;	 /* and this much more */
	bool external_placement; /* only an outside service knows its workers */
};

struct rts_options {
	int64_t version;
	struct rts_queue *queues; /* array and contents are taken over */
	size_t n_queues;
	uint64_t max_body_bytes; /* 0: none given */
};

struct rts *rts_new(const struct rts_options *opts);
struct rts *rts_ref(struct rts *rts);
void rts_unref(struct rts *rts);

int64_t rts_version(const struct rts *rts);
uint64_t rts_max_body_bytes(const struct rts *rts);
size_t rts_n_queues(const struct rts *rts);
/*
 * The queue with this host and the longest prefix of the path, or NULL.  A
 * port in host is ignored.
 */
const struct rts_queue *rts_find(
    const struct rts *rts, const char *host, const char *path);
void rts_queue_clear(struct rts_queue *queue);

#endif
