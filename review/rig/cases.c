#include <string.h>

#include "cases.h"

bool trouble = true;

void
check_twice(struct worker *w, const struct run *run)
{
	int i;

	for (i = 0; i < RIG_WORKERS; i++) {
		const struct run *other;

		if (!workers[i].up)
			continue;
		other = worker_find_task(&workers[i], run->task);
		if (other != NULL)
			rec_broken("TWICE: %s starts on worker %d as run "
				   "%" G_GINT64_FORMAT
				   " while run %" G_GINT64_FORMAT
				   " is at work on worker %d",
			    run->task, w->index, run->number, other->number, i);
	}
}

struct call *
post_job(const struct node *entry, const char *id, const char *body,
    int64_t deadline_ms)
{
	g_autofree char *path = g_strconcat(RIG_PREFIX, id, NULL);

	rec_line("client: POST %s to %s: %s", path, entry->name, body);
	return client_send(entry->front_port, "POST", path, body, deadline_ms);
}

void
record_answer(const char *what, const struct call *call)
{
	rec_line("client: %s is answered %d %s", what, call->status,
	    call->answer == NULL ? "" : call->answer);
}
