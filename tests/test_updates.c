#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/updates.h"
#include "runner.h"

struct trace {
	struct upd *upd;
	int64_t now_ms;
};

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->upd = upd_new();
	t->now_ms = 1000;
	return t;
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	upd_free(t->upd);
	g_free(t);
}

static uint64_t
number(const char *word)
{
	return word == NULL ? 0 : strtoull(word, NULL, 10);
}

/* Appends the sessions that are sent an update now. */
static void
take(struct trace *t, GString *actual)
{
	uint64_t session;

	while ((session = upd_take(t->upd, t->now_ms)) != 0)
		g_string_append_printf(actual, "%s%" G_GUINT64_FORMAT,
		    actual->len > 0 ? " " : "", session);
}

/* Updates a second that an agent may spend on news of its free capacity. */
#define MAX_UPDATES_PER_S 300

/*
 * busy N MS: N sessions; the free capacity changes every 5 ms for MS ms.
 * Appends whether the updates stayed within their bound and whether every
 * session got as many as the others.
 */
static void
busy(struct trace *t, char **w, GString *actual)
{
	uint64_t i, session, n_sessions = number(w[1]);
	int64_t end_ms, duration_ms = (int64_t)number(w[2]);
	unsigned *sent = g_new0(unsigned, n_sessions + 1);
	int64_t n = 0;
	bool even = true;

	for (i = 1; i <= n_sessions; i++)
		upd_open(t->upd, i, t->now_ms);
	while (upd_take(t->upd, t->now_ms) != 0)
		continue;
	end_ms = t->now_ms + duration_ms;
	for (; t->now_ms < end_ms; t->now_ms++) {
		if (t->now_ms % 5 == 0)
			upd_mark_room(t->upd, t->now_ms);
		while ((session = upd_take(t->upd, t->now_ms)) != 0) {
			n++;
			sent[session]++;
		}
	}
	for (i = 1; i <= n_sessions; i++)
		even = even && sent[i] > 0 && sent[i] == sent[1];
	g_free(sent);
	g_string_append_printf(actual, "%s %s",
	    n * 1000 <= MAX_UPDATES_PER_S * duration_ms ? "bounded"
							: "exceeded",
	    even ? "even" : "uneven");
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;

	if (strcmp(w[0], "at") == 0) {
		t->now_ms = 1000 + (int64_t)number(w[1]);
		take(t, actual);
	} else if (strcmp(w[0], "open") == 0)
		upd_open(t->upd, number(w[1]), t->now_ms);
	else if (strcmp(w[0], "close") == 0)
		upd_close(t->upd, number(w[1]));
	else if (strcmp(w[0], "urgent") == 0)
		upd_mark_urgent(t->upd, number(w[1]), t->now_ms);
	else if (strcmp(w[0], "all") == 0)
		upd_mark_all_urgent(t->upd, t->now_ms);
	else if (strcmp(w[0], "room") == 0)
		upd_mark_room(t->upd, t->now_ms);
	else if (strcmp(w[0], "next") == 0)
		g_string_append_printf(actual, "%" G_GINT64_FORMAT,
		    upd_next_ms(t->upd) < 0 ? -1 : upd_next_ms(t->upd) - 1000);
	else if (strcmp(w[0], "busy") == 0)
		busy(t, w, actual);
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against an agent whose load grows with the number of entries, and
 * against results or refusals that reach an entry late.
 */
REPLAY_MAIN("updates", 0, start, end, step)
