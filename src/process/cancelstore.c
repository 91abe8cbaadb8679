#include <glib.h>
#include <string.h>

#include "process/cancelstore.h"
#include "process/clock.h"
#include "process/entryconfig.h"
#include "process/events.h"
#include "process/fields.h"
#include "request/cancelled.h"
#include "version/mirror.h"

/* Pause between watches of the store, so that one answer holds many cancels. */
#define WATCH_PAUSE_MS 100
/* Old items are looked for at this interval. */
#define CLEAN_INTERVAL_MS 10000
/*
 * Any entry removes an item, which may outlive its writer; each waits for another
 * time, so that mostly one does.
 */
#define CLEAN_JITTER_MS 60000
/*
 * An item takes further jobs up to this number and age.  Each of its writes
 * carries all of them, and reaches all entries.
 */
#define ITEM_KEYS   16
#define ITEM_AGE_MS 60000
#define KEY_DIGITS  16
#define KEY_FORMAT  "%016" G_GINT64_MODIFIER "x"

struct cst {
	struct cst_options opts;
	struct mir *mirror;
	GHashTable *seen; /* name of an item to struct seen */
	char *item;	  /* that takes further jobs; NULL: none */
	GArray *keys;	  /* uint64_t, of the item */
	int64_t item_until_ms;
	int64_t clean_at_ms;
	bool loaded;
	bool writing;
	bool freed;
};

/* An item as it was last told. */
struct seen {
	int64_t revision;
	int64_t remove_ms; /* when this entry removes it */
};

/* An item that has changed. */
struct change {
	char *name;
	GBytes *data;
};

struct item_fields {
	struct fld_texts keys;
};

/* The first version of the items named one job, and had no members. */
static const struct fld item_fields[] = {
    {.name = "keys",
	.type = FLD_TEXTS,
	.max = CST_WRITE_MAX,
	.offset = offsetof(struct item_fields, keys)},
    {0},
};

/* Returns 0 if the text is no key. */
static uint64_t
parse_key(const char *text)
{
	if (strlen(text) != KEY_DIGITS ||
	    strspn(text, "0123456789abcdef") != KEY_DIGITS)
		return 0;
	return g_ascii_strtoull(text, NULL, 16);
}

static void
tell_key(struct cst *cst, const char *text)
{
	uint64_t key = parse_key(text);

	if (key != 0)
		cst->opts.cancelled(key, cst->opts.ctx);
}

static void
tell_item(struct cst *cst, const struct change *change)
{
	struct item_fields f = {0};
	struct json_object *json;
	struct status st;
	gsize len;
	const char *text = g_bytes_get_data(change->data, &len);
	size_t i;

	json = fld_parse(text, len, &st);
	if (json == NULL || !fld_decode(json, item_fields, &f, &st)) {
		evt_write("cancel", evt_text("item", change->name),
		    evt_text("reason", st.message));
	} else {
		for (i = 0; i < f.keys.n; i++)
			tell_key(cst, f.keys.texts[i]);
		if (f.keys.n == 0)
			tell_key(cst, change->name + strlen(CST_PREFIX));
	}
	json_object_put(json);
}

static void
change_clear(void *data)
{
	struct change *change = data;

	g_free(change->name);
	g_bytes_unref(change->data);
}

static bool
has_changed(struct cst *cst, const char *name, const struct mir_item *item)
{
	struct seen *seen = g_hash_table_lookup(cst->seen, name);

	if (seen != NULL && seen->revision == item->revision)
		return false;
	if (seen == NULL) {
		seen = g_new0(struct seen, 1);
		g_hash_table_insert(cst->seen, g_strdup(name), seen);
	}
	seen->revision = item->revision;
	seen->remove_ms =
	    clk_now_ms() + CCL_KEEP_MS + g_random_int_range(0, CLEAN_JITTER_MS);
	return true;
}

static gboolean
is_gone(gpointer name, gpointer seen, gpointer items)
{
	(void)seen;
	return !g_hash_table_contains(items, name);
}

static void
on_changed(struct mir *mir, void *ctx)
{
	g_autoptr(GArray) changes =
	    g_array_new(FALSE, FALSE, sizeof(struct change));
	struct cst *cst = ctx;
	GHashTableIter iter;
	gpointer name, item;
	guint i;

	g_array_set_clear_func(changes, change_clear);
	g_hash_table_iter_init(&iter, mir_items(mir));
	while (g_hash_table_iter_next(&iter, &name, &item)) {
		struct change change = {
		    name, ((const struct mir_item *)item)->data};

		if (!has_changed(cst, name, item))
			continue;
		change.name = g_strdup(name);
		g_bytes_ref(change.data);
		g_array_append_val(changes, change);
	}
	g_hash_table_foreach_remove(cst->seen, is_gone, mir_items(mir));
	for (i = 0; i < changes->len; i++)
		tell_item(cst, &g_array_index(changes, struct change, i));
	if (cst->loaded)
		return;
	cst->loaded = true;
	cst->opts.loaded(cst->opts.ctx);
}

static void
on_reachable(
    struct mir *mir, bool reachable, const struct status *st, void *ctx)
{
	(void)ctx;
	ecf_log_store("cancels", reachable, st, mir_revision(mir));
}

struct cst *
cst_new(const struct cst_options *opts)
{
	struct cst *cst = g_new0(struct cst, 1);
	struct mir_options mirror = {
	    .ks = opts->ks,
	    .prefix = CST_PREFIX,
	    .wait_ms = ECF_STORE_WATCH_MS,
	    .pause_ms = WATCH_PAUSE_MS,
	    .changed = on_changed,
	    .reachable = on_reachable,
	    .ctx = cst,
	};

	cst->opts = *opts;
	cst->keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cst->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cst->mirror = mir_new(&mirror);
	return cst;
}

static void
destroy(struct cst *cst)
{
	g_array_unref(cst->keys);
	g_hash_table_unref(cst->seen);
	g_free(cst->item);
	g_free(cst);
}

/* A write in progress frees it when it ends. */
void
cst_free(struct cst *cst)
{
	if (cst == NULL)
		return;
	mir_free(cst->mirror);
	cst->freed = true;
	if (!cst->writing)
		destroy(cst);
}

/*
 * After a write that may take effect later, the item gets no others, which that
 * one could replace.
 */
static void
on_written(const struct status *st, void *ctx)
{
	struct cst *cst = ctx;

	cst->writing = false;
	if (cst->freed) {
		destroy(cst);
		return;
	}
	if (st->code != ST_OK) {
		evt_write("cancel", evt_text("item", cst->item),
		    evt_text("reason", st->message));
		g_clear_pointer(&cst->item, g_free);
	}
	cst->opts.written(st->code == ST_OK, cst->opts.ctx);
}

/* Items of all processes have different names. */
static void
open_item(struct cst *cst, int64_t now_ms)
{
	uint64_t name = (uint64_t)g_random_int() << 32 | g_random_int();

	g_free(cst->item);
	cst->item = g_strdup_printf(CST_PREFIX KEY_FORMAT, name);
	cst->item_until_ms = now_ms + ITEM_AGE_MS;
	g_array_set_size(cst->keys, 0);
}

static struct json_object *
encode(const GArray *keys)
{
	struct json_object *json = json_object_new_object();
	struct json_object *list = json_object_new_array();
	guint i;

	for (i = 0; i < keys->len; i++) {
		char text[KEY_DIGITS + 1];

		g_snprintf(text, sizeof(text), KEY_FORMAT,
		    g_array_index(keys, uint64_t, i));
		json_object_array_add(list, json_object_new_string(text));
	}
	json_object_object_add(json, "keys", list);
	return json;
}

void
cst_write(struct cst *cst, const uint64_t *keys, size_t n)
{
	const struct ks *ks = cst->opts.ks;
	int64_t now_ms = clk_now_ms();
	struct json_object *json;
	const char *text;

	if (cst->item == NULL || cst->keys->len + n > ITEM_KEYS ||
	    now_ms >= cst->item_until_ms)
		open_item(cst, now_ms);
	g_array_append_vals(cst->keys, keys, (guint)n);
	cst->writing = true;
	json = encode(cst->keys);
	text = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	ks->put(ks->store, cst->item, text, strlen(text), on_written, cst);
	json_object_put(json);
}

bool
cst_is_loaded(const struct cst *cst)
{
	return cst->loaded;
}

/* Another entry may have removed the item, or will. */
static void
on_removed(const struct status *st, void *ctx)
{
	(void)st;
	(void)ctx;
}

void
cst_tick(struct cst *cst)
{
	const struct ks *ks = cst->opts.ks;
	int64_t now_ms = clk_now_ms();
	GHashTableIter iter;
	gpointer name, value;

	if (now_ms < cst->clean_at_ms)
		return;
	cst->clean_at_ms = now_ms + CLEAN_INTERVAL_MS;
	g_hash_table_iter_init(&iter, cst->seen);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct mir_item *item = mir_get(cst->mirror, name);
		const struct seen *seen = value;

		if (item != NULL && now_ms >= seen->remove_ms)
			ks->remove(
			    ks->store, name, item->revision, on_removed, NULL);
	}
}
