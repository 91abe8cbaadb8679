#ifndef SP_FORMERROUTES_H
#define SP_FORMERROUTES_H

#include <stdbool.h>
#include <stdint.h>

#include "version/routes.h"

/*
 * Remembers for some time the queues whose routes were removed, since their jobs
 * run on and can still be cancelled.  Reads no clock.
 */
struct frt;

/* Longer than the deadline of any job (600 s). */
#define FRT_KEEP_MS 660000
/* The oldest makes room for more. */
#define FRT_MAX 1024

struct frt *frt_new(void);
/* NULL is allowed. */
void frt_free(struct frt *frt);

/* A version of the configuration is replaced by another one. */
void frt_replace(struct frt *frt, const struct rts *former,
    const struct rts *present, int64_t now_ms);
/* Whether the path was that of a job of a removed queue. */
bool frt_has(struct frt *frt, const char *host, const char *path,
    const char *job, int64_t now_ms);
/* Whether none made room for another before its time. */
bool frt_is_complete(struct frt *frt, int64_t now_ms);

#endif
