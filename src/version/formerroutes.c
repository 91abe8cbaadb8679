#include <glib.h>
#include <string.h>

#include "version/formerroutes.h"

struct former {
	struct rts_queue queue; /* host and prefix only */
	int64_t until_ms;
};

struct frt {
	GQueue queues; /* struct former, the oldest first */
	/* Queues that made room for others would be remembered until then. */
	int64_t incomplete_until_ms;
};

static void
former_free(gpointer data)
{
	struct former *former = data;

	rts_queue_clear(&former->queue);
	g_free(former);
}

struct frt *
frt_new(void)
{
	struct frt *frt = g_new0(struct frt, 1);

	g_queue_init(&frt->queues);
	return frt;
}

void
frt_free(struct frt *frt)
{
	if (frt == NULL)
		return;
	g_queue_clear_full(&frt->queues, former_free);
	g_free(frt);
}

static void
expire(struct frt *frt, int64_t now_ms)
{
	const struct former *oldest;

	while ((oldest = g_queue_peek_head(&frt->queues)) != NULL &&
	       (now_ms > oldest->until_ms || frt->queues.length > FRT_MAX)) {
		frt->incomplete_until_ms =
		    MAX(frt->incomplete_until_ms, oldest->until_ms);
		former_free(g_queue_pop_head(&frt->queues));
	}
}

static bool
has_route(const struct rts *rts, const struct rts_queue *queue)
{
	const struct rts_queue *found =
	    rts_find(rts, queue->host, queue->prefix);

	return found != NULL && strcmp(found->prefix, queue->prefix) == 0;
}

void
frt_replace(struct frt *frt, const struct rts *former,
    const struct rts *present, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < rts_n_queues(former); i++) {
		const struct rts_queue *queue = rts_queue_at(former, i);
		struct former *entry;

		if (has_route(present, queue))
			continue;
		entry = g_new0(struct former, 1);
		entry->queue.host = g_strdup(queue->host);
		entry->queue.prefix = g_strdup(queue->prefix);
		entry->until_ms = now_ms + FRT_KEEP_MS;
		g_queue_push_tail(&frt->queues, entry);
	}
	expire(frt, now_ms);
}

bool
frt_has(struct frt *frt, const char *host, const char *path, const char *job,
    int64_t now_ms)
{
	size_t len = host == NULL ? 0 : strcspn(host, ":");
	const GList *link;

	expire(frt, now_ms);
	for (link = frt->queues.head; link != NULL; link = link->next) {
		const struct former *former = link->data;

		if (strlen(former->queue.host) == len &&
		    g_ascii_strncasecmp(former->queue.host, host, len) == 0 &&
		    rts_is_path_of(&former->queue, path, job))
			return true;
	}
	return false;
}

bool
frt_is_complete(struct frt *frt, int64_t now_ms)
{
	expire(frt, now_ms);
	return now_ms > frt->incomplete_until_ms;
}
