#ifndef SP_EJECT_H
#define SP_EJECT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Ejection of workers whose recent starts mostly fail.  Workers have the ids
 * of place.h.  Holds no sockets and reads no clock.
 */
struct eject;

struct eject *ej_new(void);
void ej_free(struct eject *eject);

/* service is copied; at most a third of its workers is ejected at once. */
void ej_add(struct eject *eject, uint32_t id, const char *service);
void ej_remove(struct eject *eject, uint32_t id);

/* Starts that were returned without running are not reported here. */
void ej_outcome(struct eject *eject, uint32_t id, bool failed, int64_t now_ms);
/* A start was sent; after an interval of ejection it is the only probe. */
void ej_started(struct eject *eject, uint32_t id, int64_t now_ms);
/* A start came back without running, so that it was no probe. */
void ej_not_started(struct eject *eject, uint32_t id);

/* Whether the worker may get a start now. */
bool ej_may_start(const struct eject *eject, uint32_t id, int64_t now_ms);
bool ej_is_ejected(const struct eject *eject, uint32_t id);
/* Earliest end of an interval after now_ms, for a timer; -1: none. */
int64_t ej_next_ms(const struct eject *eject, int64_t now_ms);

#endif
