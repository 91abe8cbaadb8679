#ifndef SP_STATEDROOM_H
#define SP_STATEDROOM_H

#include <stdbool.h>

#include "request/work.h"

/*
 * The capacity that an agent takes from its worker's descriptions, one of which
 * may be of another writer.  Holds no sockets and reads no clock.
 */
struct srm {
	char *service;		 /* of the last description, NULL: none yet */
	struct wk_size capacity; /* as it stated it */
};

void srm_clear(struct srm *srm);
/*
 * Takes a description and sets the capacity that holds until the next one.
 * Returns whether it names another service than the last.
 */
bool srm_describe(struct srm *srm, const char *service,
    const struct wk_size *stated, struct wk_size *capacity);

#endif
