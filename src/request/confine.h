#ifndef SP_CONFINE_H
#define SP_CONFINE_H

#include <stdbool.h>
#include <stdint.h>

#include "request/blame.h"
#include "request/workerset.h"

/*
 * Confines queues whose tasks crash workers to a few workers of their service,
 * so that the other queues are served by the rest.  A confined queue keeps
 * about the share of the workers that its work was before.  All entries choose
 * the same workers.  Holds no sockets and reads no clock.
 *
 * Load pattern: a share of one queue's jobs crashes each worker that starts
 * them, several a second, while a crashed worker needs seconds to return.
 */
struct cfn;

/* A queue, valid as long as the struct cfn. */
struct cfn_queue;

struct cfn_options {
	struct wks *workers;
	struct blm *blame;
	/* A queue was confined or released; caused: crashes it is blamed for. */
	void (*changed)(
	    const char *queue, bool confined, double caused, void *ctx);
	void *ctx;
};

struct cfn *cfn_new(const struct cfn_options *opts);
/* NULL is allowed. */
void cfn_free(struct cfn *cfn);

struct cfn_queue *cfn_find(
    struct cfn *cfn, const char *service, const char *queue);
/* Counts work that callers asked for, in milliseconds of a core. */
void cfn_count_work(struct cfn_queue *queue, double work, int64_t now_ms);
void cfn_count_completion(struct cfn_queue *queue);
bool cfn_is_confined(const struct cfn_queue *queue);
/*
 * Whether no worker that the confined queue may use takes starts now.  It can
 * take a while until one does.
 */
bool cfn_is_cut_off(const struct cfn *cfn, const struct cfn_queue *queue);
/* Confines and releases queues, and marks the workers that they use. */
void cfn_update(struct cfn *cfn, int64_t now_ms);

#endif
