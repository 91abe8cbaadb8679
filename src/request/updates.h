#ifndef SP_UPDATES_H
#define SP_UPDATES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when an agent sends an update to which of its sessions.  A result
 * goes to its own session at once; free capacity goes to all sessions, at a
 * rate that does not grow with their number.  Holds no sockets and reads no
 * clock.
 */
struct upd;

struct upd *upd_new(void);
/* NULL is allowed. */
void upd_free(struct upd *upd);

/* Adds a session, whose first update is due at once. */
void upd_open(struct upd *upd, uint64_t session, int64_t now_ms);
void upd_close(struct upd *upd, uint64_t session);

/* The session has results, or news that it must not miss. */
void upd_mark_urgent(struct upd *upd, uint64_t session, int64_t now_ms);
/* As upd_mark_urgent(), for every session. */
void upd_mark_all_urgent(struct upd *upd, int64_t now_ms);
/* The free capacity has changed. */
void upd_mark_room(struct upd *upd, int64_t now_ms);

/* Time at which the next update is due; -1: none. */
int64_t upd_next_ms(const struct upd *upd);
/*
 * Returns a session whose update is due and takes it as sent now; 0 when there
 * is none.
 */
uint64_t upd_take(struct upd *upd, int64_t now_ms);
/* Takes an update as sent that was made outside the schedule. */
void upd_record_sent(struct upd *upd, uint64_t session, int64_t now_ms);
/* Time of the session's last update; 0: none. */
int64_t upd_sent_ms(const struct upd *upd, uint64_t session);

#endif
