#include <glib.h>

#include "request/updates.h"

/*
 * Least time between two updates of a session that carry results.  A result is
 * sent at once if none was sent just before: a delay of each would add to every
 * answer, and to the time for which the run's place at the worker stays empty.
 */
#define URGENT_INTERVAL_MS 4
/* Delay that lets one update carry changes close together. */
#define ROOM_DELAY_MS 15
/*
 * Updates a second that only report free capacity, over all sessions.  With
 * more sessions each gets them less often, so that the agent's load does not
 * grow with the number of entries.
 */
#define ROOM_UPDATES_PER_S 300
#define MS_PER_S	   1000

struct session {
	uint64_t id;
	int64_t due_ms;	 /* -1: no update is due */
	int64_t sent_ms; /* 0: never */
};

struct upd {
	GArray *sessions; /* struct session */
};

struct upd *
upd_new(void)
{
	struct upd *upd = g_new0(struct upd, 1);

	upd->sessions = g_array_new(FALSE, FALSE, sizeof(struct session));
	return upd;
}

void
upd_free(struct upd *upd)
{
	if (upd == NULL)
		return;
	g_array_unref(upd->sessions);
	g_free(upd);
}

static struct session *
session_at(const struct upd *upd, guint i)
{
	return &g_array_index(upd->sessions, struct session, i);
}

static struct session *
find(const struct upd *upd, uint64_t id)
{
	guint i;

	for (i = 0; i < upd->sessions->len; i++) {
		if (session_at(upd, i)->id == id)
			return session_at(upd, i);
	}
	return NULL;
}

static void
make_due(struct session *s, int64_t due_ms)
{
	if (s->due_ms < 0 || due_ms < s->due_ms)
		s->due_ms = due_ms;
}

static void
make_urgent(struct session *s, int64_t now_ms)
{
	make_due(s, MAX(now_ms, s->sent_ms + URGENT_INTERVAL_MS));
}

void
upd_open(struct upd *upd, uint64_t session, int64_t now_ms)
{
	struct session s = {.id = session, .due_ms = now_ms};

	g_array_append_val(upd->sessions, s);
}

void
upd_close(struct upd *upd, uint64_t session)
{
	guint i;

	for (i = 0; i < upd->sessions->len; i++) {
		if (session_at(upd, i)->id != session)
			continue;
		g_array_remove_index_fast(upd->sessions, i);
		return;
	}
}

void
upd_mark_urgent(struct upd *upd, uint64_t session, int64_t now_ms)
{
	struct session *s = find(upd, session);

	if (s != NULL)
		make_urgent(s, now_ms);
}

void
upd_mark_all_urgent(struct upd *upd, int64_t now_ms)
{
	guint i;

	for (i = 0; i < upd->sessions->len; i++)
		make_urgent(session_at(upd, i), now_ms);
}

void
upd_mark_room(struct upd *upd, int64_t now_ms)
{
	int64_t interval_ms =
	    (int64_t)upd->sessions->len * MS_PER_S / ROOM_UPDATES_PER_S;
	guint i;

	for (i = 0; i < upd->sessions->len; i++) {
		struct session *s = session_at(upd, i);

		make_due(
		    s, MAX(now_ms + ROOM_DELAY_MS, s->sent_ms + interval_ms));
	}
}

int64_t
upd_next_ms(const struct upd *upd)
{
	int64_t next_ms = -1;
	guint i;

	for (i = 0; i < upd->sessions->len; i++) {
		int64_t due_ms = session_at(upd, i)->due_ms;

		if (due_ms >= 0 && (next_ms < 0 || due_ms < next_ms))
			next_ms = due_ms;
	}
	return next_ms;
}

static void
record_sent(struct session *s, int64_t now_ms)
{
	s->due_ms = -1;
	s->sent_ms = now_ms;
}

uint64_t
upd_take(struct upd *upd, int64_t now_ms)
{
	guint i;

	for (i = 0; i < upd->sessions->len; i++) {
		struct session *s = session_at(upd, i);

		if (s->due_ms < 0 || s->due_ms > now_ms)
			continue;
		record_sent(s, now_ms);
		return s->id;
	}
	return 0;
}

void
upd_record_sent(struct upd *upd, uint64_t session, int64_t now_ms)
{
	struct session *s = find(upd, session);

	if (s != NULL)
		record_sent(s, now_ms);
}

int64_t
upd_sent_ms(const struct upd *upd, uint64_t session)
{
	const struct session *s = find(upd, session);

	return s == NULL ? 0 : s->sent_ms;
}
