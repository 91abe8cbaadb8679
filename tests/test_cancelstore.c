/*
 * Cancelled jobs in the store.  Items of the store are named i1, i2, ... in the
 * order of their first write.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/cancelstore.h"
#include "runner.h"

#define MAX_ITEMS 8

struct trace {
	struct ks ks;
	struct cst *cst;
	GString *out;
	GPtrArray *names; /* of items that were written */
	int64_t revision;
	ks_page_fn page_fn; /* of the list or watch in progress */
	void *page_ctx;
	ks_write_fn write_fn; /* of the write in progress */
	void *write_ctx;
};

static void
on_page(void *store, ks_page_fn fn, void *ctx)
{
	struct trace *t = store;

	t->page_fn = fn;
	t->page_ctx = ctx;
}

static void
on_list(void *store, const char *prefix, const char *after_key, ks_page_fn fn,
    void *ctx)
{
	(void)prefix;
	(void)after_key;
	on_page(store, fn, ctx);
}

static void
on_watch(void *store, const char *prefix, int64_t after, int64_t wait_ms,
    ks_page_fn fn, void *ctx)
{
	(void)prefix;
	(void)after;
	(void)wait_ms;
	on_page(store, fn, ctx);
}

static guint
index_of(struct trace *t, const char *name)
{
	guint i;

	if (!g_ptr_array_find_with_equal_func(
		t->names, name, g_str_equal, &i)) {
		g_ptr_array_add(t->names, g_strdup(name));
		i = t->names->len - 1;
	}
	return i + 1;
}

static void
on_put(void *store, const char *key, const char *data, size_t len,
    ks_write_fn fn, void *ctx)
{
	struct trace *t = store;

	ck_assert_ptr_null(t->write_fn);
	t->write_fn = fn;
	t->write_ctx = ctx;
	g_string_append_printf(
	    t->out, "put:i%u=%.*s ", index_of(t, key), (int)len, data);
}

static void
on_written(bool ok, void *ctx)
{
	struct trace *t = ctx;

	g_string_append(t->out, ok ? "written " : "failed ");
}

static void
on_cancelled(uint64_t key, void *ctx)
{
	struct trace *t = ctx;

	g_string_append_printf(
	    t->out, "cancelled:%" G_GINT64_MODIFIER "x ", key);
}

static void
on_loaded(void *ctx)
{
	struct trace *t = ctx;

	g_string_append(t->out, "loaded ");
}

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);
	struct cst_options opts = {
	    .ks = &t->ks,
	    .written = on_written,
	    .cancelled = on_cancelled,
	    .loaded = on_loaded,
	    .ctx = t,
	};

	t->ks = (struct ks){
	    .store = t, .list = on_list, .watch = on_watch, .put = on_put};
	t->names = g_ptr_array_new_with_free_func(g_free);
	t->cst = cst_new(&opts);
	return t;
}

static void
end(void *ctx)
{
	struct status st = {.code = ST_UNAVAILABLE};
	struct trace *t = ctx;

	cst_free(t->cst);
	if (t->write_fn != NULL)
		t->write_fn(&st, t->write_ctx);
	if (t->page_fn != NULL)
		t->page_fn(&st, NULL, t->page_ctx);
	g_ptr_array_unref(t->names);
	g_free(t);
}

/* write FIRST LAST: the keys from one to the other. */
static void
write_keys(struct trace *t, uint64_t first, uint64_t last)
{
	uint64_t keys[CST_WRITE_MAX];
	size_t n = 0;

	for (; first <= last; first++)
		keys[n++] = first;
	cst_write(t->cst, keys, n);
}

static void
end_write(struct trace *t, enum st_code code)
{
	struct status st = {.code = code};
	ks_write_fn fn = t->write_fn;

	t->write_fn = NULL;
	fn(&st, t->write_ctx);
}

/* answer NAME=DATA...: each is a new revision. */
static void
answer(struct trace *t, char **w)
{
	struct ks_item items[MAX_ITEMS] = {0};
	struct ks_page page = {.items = items};
	struct status st = {.code = ST_OK};
	char *keys[MAX_ITEMS];
	ks_page_fn fn;

	while (t->page_fn == NULL)
		g_main_context_iteration(NULL, TRUE);
	fn = t->page_fn;
	for (w++; *w != NULL; w++) {
		char *equals = strchr(*w, '=');
		struct ks_item *item = &items[page.n_items];

		*equals = '\0';
		item->key = keys[page.n_items++] =
		    g_strconcat(CST_PREFIX, *w, NULL);
		item->data = equals + 1;
		item->len = strlen(item->data);
		item->revision = ++t->revision;
	}
	page.as_of = ++t->revision;
	t->page_fn = NULL;
	fn(&st, &page, t->page_ctx);
	for (; page.n_items > 0; page.n_items--)
		g_clear_pointer(&keys[page.n_items - 1], g_free);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;

	t->out = actual;
	if (strcmp(w[0], "write") == 0)
		write_keys(
		    t, strtoull(w[1], NULL, 16), strtoull(w[2], NULL, 16));
	else if (strcmp(w[0], "ok") == 0)
		end_write(t, ST_OK);
	else if (strcmp(w[0], "unknown") == 0)
		end_write(t, ST_UNKNOWN);
	else if (strcmp(w[0], "answer") == 0)
		answer(t, w);
	else
		ck_abort_msg("unknown command %s", w[0]);
	g_strchomp(actual->str);
	actual->len = strlen(actual->str);
}

/*
 * Guards against a cancel that is acknowledged and then lost in the store, or not
 * read from it.
 */
REPLAY_MAIN("cancelstore", 0, start, end, step)
