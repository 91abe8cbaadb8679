#ifndef SP_CANCELLED_H
#define SP_CANCELLED_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Remembers cancelled jobs for CCL_KEEP_MS, at most CCL_MAX of them.  Reads no
 * clock.
 */
struct ccl;

#define CCL_KEEP_MS 60000
#define CCL_MAX	    10000

struct ccl *ccl_new(void);
/* NULL is allowed. */
void ccl_free(struct ccl *ccl);
/* Returns false if the job is remembered already. */
bool ccl_add(struct ccl *ccl, const char *job, int64_t now_ms);
bool ccl_has(struct ccl *ccl, const char *job, int64_t now_ms);

#endif
