#include <glib.h>

#include "request/cancelled.h"

struct ccl {
	GHashTable *jobs; /* id to struct entry */
	GQueue order;	  /* struct entry, the oldest first */
};

struct entry {
	char *job;
	int64_t since_ms;
};

static void
entry_free(gpointer data)
{
	struct entry *entry = data;

	g_free(entry->job);
	g_free(entry);
}

struct ccl *
ccl_new(void)
{
	struct ccl *ccl = g_new0(struct ccl, 1);

	ccl->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	g_queue_init(&ccl->order);
	return ccl;
}

void
ccl_free(struct ccl *ccl)
{
	if (ccl == NULL)
		return;
	g_queue_clear(&ccl->order);
	g_hash_table_unref(ccl->jobs);
	g_free(ccl);
}

static void
expire(struct ccl *ccl, int64_t now_ms)
{
	const struct entry *oldest;

	while ((oldest = g_queue_peek_head(&ccl->order)) != NULL &&
	       (now_ms - oldest->since_ms > CCL_KEEP_MS ||
		   ccl->order.length > CCL_MAX)) {
		g_queue_pop_head(&ccl->order);
		g_hash_table_remove(ccl->jobs, oldest->job);
	}
}

bool
ccl_add(struct ccl *ccl, const char *job, int64_t now_ms)
{
	struct entry *entry;

	if (ccl_has(ccl, job, now_ms))
		return false;
	entry = g_new0(struct entry, 1);
	entry->job = g_strdup(job);
	entry->since_ms = now_ms;
	g_hash_table_insert(ccl->jobs, entry->job, entry);
	g_queue_push_tail(&ccl->order, entry);
	expire(ccl, now_ms);
	return true;
}

bool
ccl_has(struct ccl *ccl, const char *job, int64_t now_ms)
{
	expire(ccl, now_ms);
	return g_hash_table_contains(ccl->jobs, job);
}
