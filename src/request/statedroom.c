#include <glib.h>
#include <string.h>

#include "request/statedroom.h"

void
srm_clear(struct srm *srm)
{
	g_clear_pointer(&srm->service, g_free);
}

static struct wk_size
smaller(const struct wk_size *a, const struct wk_size *b)
{
	return (struct wk_size){
	    .cpu_milli = MIN(a->cpu_milli, b->cpu_milli),
	    .memory_mb = MIN(a->memory_mb, b->memory_mb),
	    .gpus = MIN(a->gpus, b->gpus),
	};
}

/*
 * With another service than before one of the two descriptions is not of the
 * worker, or it was given to another service.  The smaller capacity is safe in
 * both cases; the next description of the same service decides.
 */
bool
srm_describe(struct srm *srm, const char *service, const struct wk_size *stated,
    struct wk_size *capacity)
{
	bool other = srm->service != NULL && strcmp(srm->service, service) != 0;

	*capacity = other ? smaller(&srm->capacity, stated) : *stated;
	if (srm->service == NULL || other) {
		g_free(srm->service);
		srm->service = g_strdup(service);
	}
	srm->capacity = *stated;
	return other;
}
