#include <string.h>

#include "process/clock.h"
#include "version/mirror.h"

#define BACKOFF_MIN_MS 50
/*
 * With delays of up to 800 ms a copy is up to date within two seconds after the
 * end of an outage.
 */
#define BACKOFF_MAX_MS 800
/*
 * The store's answers are linearizable.  After more than so many in a row that
 * are older than the copy, the answer that set the revision of the copy was
 * false, and the next list replaces it.
 */
#define MAX_OLDER_ANSWERS 3

struct mir {
	struct mir_options opts;
	char *prefix;
	GHashTable *items;   /* key to struct mir_item */
	GHashTable *listing; /* pages of the list in progress, or NULL */
	int64_t listing_revision;
	int64_t revision;
	int64_t confirmed_ms;
	int64_t followed_since_ms;
	int64_t backoff_ms;
	uint32_t n_older; /* answers in a row that are older than the copy */
	bool listed;
	bool reachable;
	bool in_call;
	bool freed;
	guint retry_id;
};

static void start_next_call(struct mir *mir);

static void
item_free(gpointer data)
{
	struct mir_item *item = data;

	g_bytes_unref(item->data);
	g_free(item);
}

static GHashTable *
items_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, item_free);
}

static void
put_item(GHashTable *items, const struct ks_item *from)
{
	struct mir_item *item = g_new0(struct mir_item, 1);

	item->data = g_bytes_new(from->data, from->len);
	item->revision = from->revision;
	item->created = from->created;
	g_hash_table_replace(items, g_strdup(from->key), item);
}

static void
destroy(struct mir *mir)
{
	g_clear_handle_id(&mir->retry_id, g_source_remove);
	g_hash_table_unref(mir->items);
	g_clear_pointer(&mir->listing, g_hash_table_unref);
	g_free(mir->prefix);
	g_free(mir);
}

static gboolean
on_retry(gpointer data)
{
	struct mir *mir = data;

	mir->retry_id = 0;
	start_next_call(mir);
	return G_SOURCE_REMOVE;
}

/*
 * Half of the delay is random, so that processes do not all call the store at
 * the same time.
 */
static void
call_later(struct mir *mir, int64_t delay_ms)
{
	int64_t half_ms = delay_ms / 2;

	mir->retry_id = g_timeout_add(
	    (guint)(half_ms + g_random_int_range(0, (gint32)half_ms + 1)),
	    on_retry, mir);
}

static void
schedule_retry(struct mir *mir, const struct status *st)
{
	if (mir->reachable && mir->opts.reachable != NULL)
		mir->opts.reachable(mir, false, st, mir->opts.ctx);
	mir->reachable = false;
	mir->backoff_ms =
	    CLAMP(mir->backoff_ms * 2, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
	call_later(mir, mir->backoff_ms);
}

static void
mark_confirmed(struct mir *mir, const struct status *st)
{
	mir->confirmed_ms = clk_now_ms();
	if (!mir->reachable && mir->opts.reachable != NULL)
		mir->opts.reachable(mir, true, st, mir->opts.ctx);
	mir->reachable = true;
}

static void
restart_list(struct mir *mir)
{
	g_clear_pointer(&mir->listing, g_hash_table_unref);
	mir->listed = false;
}

static bool
items_equal(GHashTable *a, GHashTable *b)
{
	GHashTableIter iter;
	gpointer key, value;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return false;
	g_hash_table_iter_init(&iter, a);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct mir_item *other = g_hash_table_lookup(b, key);

		if (other == NULL ||
		    other->revision != ((struct mir_item *)value)->revision)
			return false;
	}
	return true;
}

/* Replaces the copy by a complete list. */
static void
finish_list(struct mir *mir)
{
	bool changed =
	    mir->revision == 0 || !items_equal(mir->items, mir->listing);

	g_hash_table_unref(mir->items);
	mir->items = g_steal_pointer(&mir->listing);
	mir->revision = mir->listing_revision;
	mir->n_older = 0;
	mir->listed = true;
	mir->followed_since_ms = clk_now_ms();
	if (changed)
		mir->opts.changed(mir, mir->opts.ctx);
}

/*
 * Returns the last key of the pages read so far; keys are listed in byte order.
 */
static const char *
last_key(GHashTable *items)
{
	const char *last = "";
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (strcmp(key, last) > 0)
			last = key;
	}
	return last;
}

/*
 * The pages of a list are read at different revisions.  So the watch starts at
 * the revision of the first page, and repeats changes that later pages
 * contained already.  Returns false if more pages are to follow, but this one
 * has no key after the last.
 */
static bool
add_page(struct mir *mir, const struct ks_page *page)
{
	g_autofree char *former = NULL;
	size_t i;

	if (mir->listing == NULL) {
		mir->listing = items_new();
		mir->listing_revision = page->as_of;
	}
	former = g_strdup(last_key(mir->listing));
	for (i = 0; i < page->n_items; i++)
		put_item(mir->listing, &page->items[i]);
	if (!page->has_more) {
		finish_list(mir);
		return true;
	}
	return strcmp(last_key(mir->listing), former) > 0;
}

/* Whether an answer is older than the copy and is to be ignored. */
static bool
is_older(struct mir *mir, const struct ks_page *page)
{
	if (page->as_of >= mir->revision) {
		mir->n_older = 0;
		return false;
	}
	mir->n_older++;
	return mir->n_older <= MAX_OLDER_ANSWERS;
}

/* Lists again after a pause. */
static void
list_later(struct mir *mir, const struct status *st)
{
	restart_list(mir);
	schedule_retry(mir, st);
}

static void
on_list(const struct status *st, const struct ks_page *page, void *ctx)
{
	struct mir *mir = ctx;
	struct status bad;

	mir->in_call = false;
	if (mir->freed) {
		destroy(mir);
		return;
	}
	if (st->code != ST_OK) {
		list_later(mir, st);
		return;
	}
	if (is_older(mir, page)) {
		st_set(&bad, ST_UNAVAILABLE, "list is older than the copy");
		list_later(mir, &bad);
		return;
	}
	if (!add_page(mir, page)) {
		st_set(&bad, ST_UNAVAILABLE, "page of a list has no new key");
		list_later(mir, &bad);
		return;
	}
	mark_confirmed(mir, st);
	start_next_call(mir);
}

/*
 * Applies one event unless the copy holds this or a newer revision of the key.
 */
static bool
apply_event(struct mir *mir, const struct ks_item *event)
{
	const struct mir_item *held =
	    g_hash_table_lookup(mir->items, event->key);

	if (held != NULL && held->revision >= event->revision)
		return false;
	if (held == NULL && event->data == NULL)
		return false;
	/* An earlier event of this answer, whose value nobody will see. */
	if (held != NULL && held->revision > mir->revision)
		mir->followed_since_ms = clk_now_ms();
	if (event->data == NULL)
		g_hash_table_remove(mir->items, event->key);
	else
		put_item(mir->items, event);
	return true;
}

static void
on_watch(const struct status *st, const struct ks_page *page, void *ctx)
{
	struct mir *mir = ctx;
	struct status bad;
	bool changed = false;
	size_t i;

	mir->in_call = false;
	if (mir->freed) {
		destroy(mir);
		return;
	}
	if (st->code == ST_NOT_FOUND) {
		restart_list(mir);
		start_next_call(mir);
		return;
	}
	/* The changes of a malformed answer would be missed. */
	if (st->code == ST_INVALID) {
		list_later(mir, st);
		return;
	}
	if (st->code != ST_OK) {
		schedule_retry(mir, st);
		return;
	}
	if (page->as_of < mir->revision) {
		mir->n_older++;
		st_set(&bad, ST_UNAVAILABLE, "watch is older than the copy");
		list_later(mir, &bad);
		return;
	}
	mir->n_older = 0;
	mir->backoff_ms = 0;
	mark_confirmed(mir, st);
	for (i = 0; i < page->n_items; i++) {
		if (apply_event(mir, &page->items[i]))
			changed = true;
	}
	mir->revision = page->as_of;
	if (changed)
		mir->opts.changed(mir, mir->opts.ctx);
	if (changed && mir->opts.pause_ms > 0)
		call_later(mir, mir->opts.pause_ms);
	else
		start_next_call(mir);
}

static void
start_next_call(struct mir *mir)
{
	const struct ks *ks = mir->opts.ks;

	mir->in_call = true;
	if (mir->listed)
		ks->watch(ks->store, mir->prefix, mir->revision,
		    mir->opts.wait_ms, on_watch, mir);
	else
		ks->list(ks->store, mir->prefix,
		    mir->listing == NULL ? "" : last_key(mir->listing), on_list,
		    mir);
}

/* Sends the first list request. */
struct mir *
mir_new(const struct mir_options *opts)
{
	struct mir *mir = g_new0(struct mir, 1);

	mir->opts = *opts;
	mir->prefix = g_strdup(opts->prefix);
	mir->items = items_new();
	start_next_call(mir);
	return mir;
}

/*
 * Frees the copy; if a call is in progress, its callback does so.  NULL is
 * allowed.
 */
void
mir_free(struct mir *mir)
{
	if (mir == NULL)
		return;
	g_clear_handle_id(&mir->retry_id, g_source_remove);
	mir->freed = true;
	if (!mir->in_call)
		destroy(mir);
}

int64_t
mir_revision(const struct mir *mir)
{
	return mir->revision;
}

int64_t
mir_confirmed_ms(const struct mir *mir)
{
	return mir->confirmed_ms;
}

int64_t
mir_followed_since_ms(const struct mir *mir)
{
	return mir->followed_since_ms;
}

const struct mir_item *
mir_get(const struct mir *mir, const char *key)
{
	return g_hash_table_lookup(mir->items, key);
}

GHashTable *
mir_items(const struct mir *mir)
{
	return mir->items;
}
