#ifndef SP_OVERLAP_H
#define SP_OVERLAP_H

#include <stdbool.h>
#include <stdint.h>

#include "request/interference.h"

/*
 * Which queues have runs on a worker, and how many runs of each queue were
 * active during a run, on average.  The work for a run does not grow with the
 * number of active runs.  Reads no clock.
 */
struct ovl;

struct ovl_options {
	/* The number stands for another queue from now on. */
	void (*renumbered)(uint32_t queue, void *ctx);
	void *ctx;
};

struct ovl *ovl_new(const struct ovl_options *opts);
/* NULL is allowed. */
void ovl_free(struct ovl *ovl);

/*
 * A start was sent.  One that is repeated is still counted as one run, but its
 * run time is not known.
 */
void ovl_start(
    struct ovl *ovl, const char *task, const char *queue, int64_t now_ms);
/*
 * A run has ended.  Returns true with the queue, concurrency and weight of the
 * run, or false if it was not counted or its run time is not known.
 */
bool ovl_end(
    struct ovl *ovl, const char *task, int64_t now_ms, struct itf_run *run);

/* Name of a queue's number; NULL: not in use. */
const char *ovl_queue(const struct ovl *ovl, uint32_t queue);
/* Number of active runs of the queue, 0 if it is not known. */
uint32_t ovl_active(const struct ovl *ovl, const char *queue);

#endif
