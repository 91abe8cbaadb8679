#ifndef SP_ROUTES_H
#define SP_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Routing table of one version of the operators' configuration: it maps a
 * request to its queue, and a queue to the service that runs its tasks.
 * Immutable and reference counted.
 */
struct rts;

struct rts_queue {
	char *name;
	char *host;
	char *prefix;
	char *service;
	uint32_t priority; /* 0 is the most urgent */
	/* failed attempts after which a task fails, >= 1 */
	uint32_t max_attempts;
	/*
	 * A job should complete within stretch * expected time of its longest
	 * chain of steps + target_ms.
	 */
	double stretch;
	int64_t target_ms;
	bool external_placement; /* an external service assigns its workers */
};

/* Limits on requests; 0: not set. */
struct rts_limits {
	uint64_t max_body_bytes;
	uint64_t max_header_bytes;
	int64_t header_timeout_ms; /* for a whole head */
	int64_t idle_timeout_ms;   /* between requests */
};

struct rts_options {
	int64_t version;
	struct rts_queue *queues; /* takes ownership of array and contents */
	size_t n_queues;
	struct rts_limits limits;
};

struct rts *rts_new(const struct rts_options *opts);
struct rts *rts_ref(struct rts *rts);
void rts_unref(struct rts *rts);

int64_t rts_version(const struct rts *rts);
const struct rts_limits *rts_limits(const struct rts *rts);
size_t rts_n_queues(const struct rts *rts);
const struct rts_queue *rts_queue_at(const struct rts *rts, size_t i);
/*
 * Returns the queue with this host and the longest matching path prefix, or
 * NULL.  A port in host is ignored.
 */
const struct rts_queue *rts_find(
    const struct rts *rts, const char *host, const char *path);
/*
 * Whether path is the prefix of the queue and then rest, which is a job id or "";
 * a slash may stand between them unless the prefix ends with one.
 */
bool rts_is_path_of(
    const struct rts_queue *queue, const char *path, const char *rest);
void rts_queue_clear(struct rts_queue *queue);

#endif
