#include <glib.h>
#include <string.h>

#include "version/routes.h"

struct rts {
	int refs;
	struct rts_options opts;
	GHashTable *by_host; /* lower-case host -> GPtrArray of queues */
};

void
rts_queue_clear(struct rts_queue *queue)
{
	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->service);
}

static void
index_queue(struct rts *rts, struct rts_queue *queue)
{
	char *host = g_ascii_strdown(queue->host, -1);
	GPtrArray *queues = g_hash_table_lookup(rts->by_host, host);

	if (queues == NULL) {
		queues = g_ptr_array_new();
		g_hash_table_insert(rts->by_host, host, queues);
	} else {
		g_free(host);
	}
	g_ptr_array_add(queues, queue);
}

/* Returns a table with one reference. */
struct rts *
rts_new(const struct rts_options *opts)
{
	struct rts *rts = g_new0(struct rts, 1);
	size_t i;

	rts->refs = 1;
	rts->opts = *opts;
	rts->by_host = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	for (i = 0; i < opts->n_queues; i++)
		index_queue(rts, &rts->opts.queues[i]);
	return rts;
}

struct rts *
rts_ref(struct rts *rts)
{
	rts->refs++;
	return rts;
}

/* NULL is allowed. */
void
rts_unref(struct rts *rts)
{
	size_t i;

	if (rts == NULL || --rts->refs > 0)
		return;
	g_hash_table_unref(rts->by_host);
	for (i = 0; i < rts->opts.n_queues; i++)
		rts_queue_clear(&rts->opts.queues[i]);
	g_free(rts->opts.queues);
	g_free(rts);
}

int64_t
rts_version(const struct rts *rts)
{
	return rts->opts.version;
}

const struct rts_limits *
rts_limits(const struct rts *rts)
{
	return &rts->opts.limits;
}

size_t
rts_n_queues(const struct rts *rts)
{
	return rts->opts.n_queues;
}

const struct rts_queue *
rts_queue_at(const struct rts *rts, size_t i)
{
	return &rts->opts.queues[i];
}

const struct rts_queue *
rts_find(const struct rts *rts, const char *host, const char *path)
{
	const struct rts_queue *best = NULL;
	g_autofree char *name = NULL;
	GPtrArray *queues;
	guint i;

	if (host == NULL)
		return NULL;
	name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	queues = g_hash_table_lookup(rts->by_host, name);
	for (i = 0; queues != NULL && i < queues->len; i++) {
		const struct rts_queue *queue = queues->pdata[i];

		if (g_str_has_prefix(path, queue->prefix) &&
		    (best == NULL ||
			strlen(queue->prefix) > strlen(best->prefix)))
			best = queue;
	}
	return best;
}

bool
rts_is_path_of(
    const struct rts_queue *queue, const char *path, const char *rest)
{
	if (!g_str_has_prefix(path, queue->prefix))
		return false;
	path += strlen(queue->prefix);
	if (*path == '/' && !g_str_has_suffix(queue->prefix, "/"))
		path++;
	return strcmp(path, rest) == 0;
}
