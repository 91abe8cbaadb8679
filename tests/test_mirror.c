#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "runner.h"
#include "version/mirror.h"

#define MAX_ITEMS 8

/* A fake store that answers when the trace tells it to. */
struct trace {
	struct ks ks;
	struct mir *mir;
	GString *actual;
	ks_page_fn fn; /* of the call in progress */
	void *ctx;
	int changes;
	int64_t followed_since_ms; /* as last asked */
};

static void
record(struct trace *t, const char *fmt, ...)
{
	va_list ap;

	if (t->actual == NULL)
		return;
	if (t->actual->len > 0)
		g_string_append_c(t->actual, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(t->actual, fmt, ap);
	va_end(ap);
}

static void
on_list(void *store, const char *prefix, const char *after_key, ks_page_fn fn,
    void *ctx)
{
	struct trace *t = store;

	t->fn = fn;
	t->ctx = ctx;
	record(t, "list:%s>%s", prefix, after_key);
}

static void
on_watch(void *store, const char *prefix, int64_t after, int64_t wait_ms,
    ks_page_fn fn, void *ctx)
{
	struct trace *t = store;

	(void)wait_ms;
	t->fn = fn;
	t->ctx = ctx;
	record(t, "watch:%s>%d", prefix, (int)after);
}

static void
on_changed(struct mir *mir, void *ctx)
{
	struct trace *t = ctx;

	(void)mir;
	record(t, "changed");
}

static void
make_mirror(struct trace *t, int64_t pause_ms)
{
	struct mir_options opts = {
	    .ks = &t->ks,
	    .prefix = "op/",
	    .wait_ms = 1000,
	    .pause_ms = pause_ms,
	    .changed = on_changed,
	    .ctx = t,
	};

	t->mir = mir_new(&opts);
}

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->ks = (struct ks){.store = t, .list = on_list, .watch = on_watch};
	make_mirror(t, 0);
	return t;
}

static void
free_mirror(struct trace *t)
{
	struct status st = {.code = ST_UNAVAILABLE};
	ks_page_fn fn = t->fn;

	t->fn = NULL;
	mir_free(t->mir);
	/*
	 * The callback of a call in progress runs after the mirror was freed.
	 */
	if (fn != NULL)
		fn(&st, NULL, t->ctx);
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	t->actual = NULL;
	free_mirror(t);
	g_free(t);
}

/* KEY=VALUE@REVISION, or KEY@REVISION for a deletion. */
static void
parse_item(char *word, struct ks_item *item)
{
	char *at = strchr(word, '@');
	char *equals = strchr(word, '=');

	ck_assert_ptr_nonnull(at);
	*at = '\0';
	item->revision = strtoll(at + 1, NULL, 10);
	item->key = word;
	if (equals == NULL)
		return;
	*equals = '\0';
	item->data = equals + 1;
	item->len = strlen(item->data);
}

/* "answer AS_OF[+] ITEM...": with "+" more pages follow. */
static void
run_answer(struct trace *t, char **w)
{
	struct ks_item items[MAX_ITEMS] = {0};
	struct ks_page page = {
	    .items = items,
	    .as_of = strtoll(w[1], NULL, 10),
	    .has_more = strchr(w[1], '+') != NULL,
	};
	struct status st = {.code = ST_OK};
	ks_page_fn fn = t->fn;
	int i;

	/* Answers come at different times. */
	g_usleep(2000);
	for (i = 2; w[i] != NULL; i++)
		parse_item(w[i], &items[page.n_items++]);
	t->fn = NULL;
	fn(&st, &page, t->ctx);
}

static void
fail_call(struct trace *t, enum st_code code)
{
	struct status st = {.code = code};
	ks_page_fn fn = t->fn;

	t->fn = NULL;
	fn(&st, NULL, t->ctx);
}

static void
tell_followed(struct trace *t)
{
	int64_t since_ms = mir_followed_since_ms(t->mir);

	record(t, since_ms == t->followed_since_ms ? "still" : "anew");
	t->followed_since_ms = since_ms;
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;
	const struct mir_item *item;

	t->actual = actual;
	if (strcmp(w[0], "answer") == 0)
		run_answer(t, w);
	else if (strcmp(w[0], "unavailable") == 0)
		fail_call(t, ST_UNAVAILABLE);
	else if (strcmp(w[0], "compacted") == 0)
		fail_call(t, ST_NOT_FOUND);
	else if (strcmp(w[0], "malformed") == 0)
		fail_call(t, ST_INVALID);
	else if (strcmp(w[0], "retry") == 0) {
		while (t->fn == NULL)
			g_main_context_iteration(NULL, TRUE);
	} else if (strcmp(w[0], "pause") == 0) {
		free_mirror(t);
		make_mirror(t, strtoll(w[1], NULL, 10));
	} else if (strcmp(w[0], "followed") == 0) {
		tell_followed(t);
	} else if (strcmp(w[0], "get") == 0) {
		item = mir_get(t->mir, w[1]);
		if (item == NULL)
			record(t, "none");
		else
			record(t, "%.*s@%d", (int)g_bytes_get_size(item->data),
			    (const char *)g_bytes_get_data(item->data, NULL),
			    (int)item->revision);
	} else
		ck_abort_msg("command %s", w[0]);
}

/*
 * The cases guard against a copy that goes back to an older value or misses
 * one.
 */
REPLAY_MAIN("mirror", 0, start, end, step)
