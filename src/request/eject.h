#ifndef SP_EJECT_H
#define SP_EJECT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Ejects workers whose recent starts mostly failed, for intervals of growing
 * length that each end with one probe.  Workers have the ids of place.h.  Holds
 * no sockets and reads no clock.
 */
struct eject;

struct eject *ej_new(void);
void ej_free(struct eject *eject);

/*
 * At most a third of the workers of a service is ejected at once, and none when
 * there are fewer than 3.  service is copied.
 */
void ej_add(struct eject *eject, uint32_t id, const char *service);
void ej_remove(struct eject *eject, uint32_t id);

/* Not called for starts that were returned without running. */
void ej_record_outcome(
    struct eject *eject, uint32_t id, bool failed, int64_t now_ms);
/*
 * Records a start that was sent.  After an ejection interval it is the probe,
 * and no other start is allowed until the probe has an outcome.
 */
void ej_record_start(struct eject *eject, uint32_t id, int64_t now_ms);
/*
 * Records that a start was returned without running, so that it was no probe.
 */
void ej_undo_start(struct eject *eject, uint32_t id);

bool ej_may_start(const struct eject *eject, uint32_t id, int64_t now_ms);
bool ej_is_ejected(const struct eject *eject, uint32_t id);
/* Earliest end of an ejection interval after now_ms; -1: none. */
int64_t ej_next_probe_ms(const struct eject *eject, int64_t now_ms);

#endif
