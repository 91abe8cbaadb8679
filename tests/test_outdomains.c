#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "process/outdomains.h"
#include "runner.h"
#include "version/mirror.h"

/* The commands are listed in tests/cases/outdomains.txt. */

#define PREFIX	    "out/"
#define MAX_DOMAINS 8

struct fixture {
	struct ks ks;
	struct odm *odm;
	ks_page_fn answer; /* of the call in progress, NULL: none */
	void *answer_ctx;
	GString *actual;
};

static int64_t now_ms;

/* These replace the library's clock by a simulated one. */
int64_t
clk_now_ms(void)
{
	return now_ms;
}

int64_t
clk_now_ns(void)
{
	return now_ms * 1000000;
}

int64_t
clk_wall_ms(void)
{
	return now_ms;
}

static void
append(struct fixture *f, const char *text)
{
	if (f->actual == NULL)
		return;
	if (f->actual->len > 0)
		g_string_append_c(f->actual, ' ');
	g_string_append(f->actual, text);
}

static void
take_call(struct fixture *f, const char *name, ks_page_fn fn, void *ctx)
{
	append(f, name);
	f->answer = fn;
	f->answer_ctx = ctx;
}

static void
on_list(void *store, const char *prefix, const char *after_key, ks_page_fn fn,
    void *ctx)
{
	(void)after_key;
	ck_assert_str_eq(prefix, PREFIX);
	take_call(store, "list", fn, ctx);
}

static void
on_watch(void *store, const char *prefix, int64_t after, int64_t wait_ms,
    ks_page_fn fn, void *ctx)
{
	(void)prefix;
	(void)after;
	(void)wait_ms;
	take_call(store, "watch", fn, ctx);
}

static char **
domains_of(GHashTable *items)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(
		    names, g_strdup((const char *)key + strlen(PREFIX)));
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_free(names, FALSE);
}

static void
on_changed(void *ctx)
{
	append(ctx, "changed");
}

static void *
start(void)
{
	static const struct ecf_layout layout = {
	    .out_prefix = PREFIX, .out = domains_of};
	struct fixture *f = g_new0(struct fixture, 1);
	struct odm_options opts = {
	    .ks = &f->ks,
	    .layout = &layout,
	    .changed = on_changed,
	    .ctx = f,
	};

	now_ms = 0;
	f->ks = (struct ks){.store = f, .list = on_list, .watch = on_watch};
	f->odm = odm_new(&opts);
	return f;
}

/* Answers the call in progress with the domains that are named. */
static void
answer(struct fixture *f, int64_t revision, char **domains)
{
	struct status st = {.code = ST_OK};
	struct ks_item items[MAX_DOMAINS];
	struct ks_page page = {.items = items, .as_of = revision};
	ks_page_fn fn = f->answer;
	size_t i;

	ck_assert_ptr_nonnull(fn);
	f->answer = NULL;
	for (i = 0; domains != NULL && domains[i] != NULL; i++)
		items[page.n_items++] = (struct ks_item){
		    .key = g_strconcat(PREFIX, domains[i], NULL),
		    .data = "",
		    .revision = revision,
		};
	fn(&st, &page, f->answer_ctx);
	for (i = 0; i < page.n_items; i++)
		g_free((char *)items[i].key);
}

static void
end(void *ctx)
{
	struct fixture *f = ctx;

	f->actual = NULL;
	odm_free(f->odm);
	if (f->answer != NULL)
		answer(f, 0, NULL);
	g_free(f);
}

/* tell REVISION AGE [DOMAIN]... */
static void
tell(struct fixture *f, char **words)
{
	int64_t age_ms = strcmp(words[2], "-") == 0 ? -1 : atoi(words[2]);
	struct odm_news news = {
	    .revision = atoi(words[1]),
	    .domains = words + 3,
	    .n_domains = g_strv_length(words + 3),
	    .confirmed_ms = age_ms < 0 ? 0 : now_ms - age_ms,
	};

	odm_tell(f->odm, &news);
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct fixture *f = ctx;

	f->actual = actual;
	if (strcmp(words[0], "at") == 0) {
		now_ms = atoi(words[1]);
		odm_tick(f->odm);
	} else if (strcmp(words[0], "tell") == 0)
		tell(f, words);
	else if (strcmp(words[0], "answer") == 0)
		answer(f, atoi(words[1]), words + 2);
	else if (strcmp(words[0], "out") == 0)
		append(f, odm_is_out(f->odm, words[1]) ? "yes" : "no");
	else if (strcmp(words[0], "known") == 0)
		append(f, odm_is_known(f->odm) ? "yes" : "no");
	else
		ck_abort_msg("command %s", words[0]);
}

/*
 * The cases guard against starts in a domain that is out while no entry knows
 * it, against calls to the store where entries know it, and against starts by
 * what was known long ago.
 */
REPLAY_MAIN("outdomains", 0, start, end, step)
