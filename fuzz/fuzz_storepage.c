/*
 * Answers of the platform's store to a mirror's lists and watches, several in
 * one input, a line each, as JSON or as bytes that choose the values of a page.
 * What is accepted lies in range and is what the store
 * sent; what is refused changes neither the copy nor its revision; each answer
 * leads to one call, to one with another key, or to a pause; and whatever came
 * before, the copy follows a store that answers truly.
 */
#include <glib.h>
#include <string.h>

#include "fuzz/check.h"
#include "fuzz/choices.h"
#include "fuzz/simtime.h"
#include "platform/kvpage.h"
#include "process/fields.h"
#include "version/mirror.h"

#define PREFIX "op/"
/* Of the true store, above those that inputs mostly have. */
#define FIRST_REVISION INT64_C(1000)
#define TRUE_KEY       PREFIX "true"
#define TRUE_ANSWERS   10

struct world {
	struct ks ks;
	struct mir *mir;
	struct json_object *body; /* of the answer that is being delivered */
	/* The call in progress; fn is NULL if there is none. */
	ks_page_fn fn;
	void *ctx;
	bool is_watch;
	char *after_key;
	bool accepted; /* the last answer */
};

static void
open_call(struct world *w, bool is_watch, ks_page_fn fn, void *ctx)
{
	fz_check(w->fn == NULL);
	w->is_watch = is_watch;
	w->fn = fn;
	w->ctx = ctx;
}

static void
on_list(void *store, const char *prefix, const char *after_key, ks_page_fn fn,
    void *ctx)
{
	struct world *w = store;

	fz_check(strcmp(prefix, PREFIX) == 0);
	open_call(w, false, fn, ctx);
	g_free(w->after_key);
	w->after_key = g_strdup(after_key);
}

static void
on_watch(void *store, const char *prefix, int64_t after, int64_t wait_ms,
    ks_page_fn fn, void *ctx)
{
	struct world *w = store;

	(void)wait_ms;
	fz_check(strcmp(prefix, PREFIX) == 0);
	fz_check(after >= 1 && after <= KVP_REVISION_MAX);
	fz_check(after == mir_revision(w->mir));
	open_call(w, true, fn, ctx);
}

static void
on_changed(struct mir *mir, void *ctx)
{
	(void)mir;
	(void)ctx;
}

static struct json_object *
member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

/* Also for a text with U+0000, which is never the same. */
static bool
is_text(struct json_object *from, const char *text)
{
	return json_object_is_type(from, json_type_string) &&
	       (size_t)json_object_get_string_len(from) == strlen(text) &&
	       strcmp(json_object_get_string(from), text) == 0;
}

/* Whether the item is what this row says. */
static bool
is_same(const struct ks_item *item, struct json_object *row)
{
	struct json_object *value = member(row, "value");
	bool deleted = json_object_get_boolean(member(row, "deleted"));
	g_autofree char *text = NULL;

	if (!is_text(member(row, "key"), item->key) ||
	    json_object_get_int64(member(row, "revision")) != item->revision)
		return false;
	if (item->data == NULL)
		return value == NULL && deleted;
	text = g_base64_encode((const guchar *)item->data, item->len);
	return !deleted && is_text(value, text);
}

static void
check_item(
    const struct world *w, const struct ks_item *item, int64_t page_revision)
{
	size_t len = strlen(item->key);

	fz_check(
	    len <= KVP_KEY_MAX_BYTES && g_utf8_validate(item->key, -1, NULL));
	fz_check(g_str_has_prefix(item->key, PREFIX));
	fz_check(item->revision >= 1 && item->revision <= page_revision);
	fz_check(item->data != NULL || w->is_watch);
}

/* All events of a watch, and those rows of a list that are not left out. */
static void
check_rows(const struct world *w, const struct ks_page *page)
{
	struct json_object *rows =
	    member(w->body, w->is_watch ? "events" : "items");
	size_t i, n, at = 0;

	fz_check(rows == NULL || json_object_is_type(rows, json_type_array));
	n = rows == NULL ? 0 : json_object_array_length(rows);
	fz_check(w->is_watch ? page->n_items == n : page->n_items <= n);
	for (i = 0; i < page->n_items; i++) {
		check_item(w, &page->items[i], page->as_of);
		while (at < n && !is_same(&page->items[i],
				     json_object_array_get_idx(rows, at)))
			at++;
		fz_check(at < n);
		at++;
	}
}

static void
check_page(const struct world *w, const struct ks_page *page)
{
	struct json_object *as_of = member(w->body, "as_of");
	struct json_object *has_more = member(w->body, "has_more");

	fz_check(json_object_is_type(as_of, json_type_int));
	fz_check(page->as_of == json_object_get_int64(as_of));
	fz_check(page->as_of >= 1 && page->as_of <= KVP_REVISION_MAX);
	fz_check(has_more == NULL
		     ? !page->has_more
		     : json_object_is_type(has_more, json_type_boolean) &&
			   page->has_more == json_object_get_boolean(has_more));
	check_rows(w, page);
}

/* Stands between the decoder and the mirror. */
static void
on_page(const struct status *st, const struct ks_page *page, void *ctx)
{
	struct world *w = ctx;
	ks_page_fn fn = w->fn;

	fz_check((st->code == ST_OK) == (page != NULL));
	fz_check(page != NULL || st->message[0] != '\0');
	w->accepted = page != NULL;
	if (page != NULL)
		check_page(w, page);
	w->fn = NULL;
	fn(st, page, w->ctx);
}

/* All keys and revisions, for comparison. */
static char *
describe_copy(const struct mir *mir)
{
	GHashTable *items = mir_items(mir);
	g_autoptr(GList) keys =
	    g_list_sort(g_hash_table_get_keys(items), (GCompareFunc)strcmp);
	GString *text = g_string_new(NULL);
	GList *at;

	g_string_append_printf(text, "%" G_GINT64_FORMAT, mir_revision(mir));
	for (at = keys; at != NULL; at = at->next) {
		const struct mir_item *item =
		    g_hash_table_lookup(items, at->data);

		g_string_append_printf(text, " %s@%" G_GINT64_FORMAT,
		    (char *)at->data, item->revision);
	}
	return g_string_free(text, FALSE);
}

static void
deliver(struct world *w, const struct ph_answer *answer)
{
	struct kvp_request request = {
	    .prefix = PREFIX,
	    .is_watch = w->is_watch,
	    .pages = {.source = "store_page"},
	    .items = {.source = "store_item"},
	};

	w->body = answer->body;
	kvp_deliver(&request, answer, on_page, w);
}

/*
 * A list that begins anew has no last key.  Only that which follows the loss of
 * the store's history may come without a pause.
 */
static void
check_progress(
    const struct world *w, const struct ph_answer *answer, const char *former)
{
	bool goes_on = w->fn != NULL && !w->is_watch && *w->after_key != '\0';

	fz_check((w->fn != NULL) != sim_has_timer());
	fz_check(w->accepted || answer->code == 410 || w->fn == NULL);
	fz_check(!goes_on || strcmp(w->after_key, former) > 0);
}

static void
answer_call(struct world *w, const struct ph_answer *answer)
{
	g_autofree char *former = g_strdup(w->is_watch ? "" : w->after_key);
	g_autofree char *before = describe_copy(w->mir);
	int64_t revision = mir_revision(w->mir);
	bool was_watch = w->is_watch;

	deliver(w, answer);
	/* Only a list may replace the copy by an older one. */
	fz_check(!was_watch || mir_revision(w->mir) >= revision);
	if (!w->accepted) {
		g_autofree char *after = describe_copy(w->mir);

		fz_check(strcmp(before, after) == 0);
	}
	check_progress(w, answer, former);
	if (w->fn == NULL)
		fz_check(sim_run_next() && w->fn != NULL);
}

static const char *const numbers[] = {"5", "7", "9", "12", NULL, "0", "-1",
    "1000", "9007199254740992", "9007199254740993", "9223372036854775807",
    "99999999999999999999", "7.5", "\"7\"", "null"};
static const char *const keys[] = {"\"op/a\"", "\"op/b\"", "\"op/c\"",
    "\"op/\"", NULL, "\"\"", "\"o\"", "\"elsewhere/a\"", "\"op/a\\u0000b\"",
    "\"op/\\ud800\"", "\"op/\xff\"", "7", "null"};
static const char *const values[] = {"\"eA==\"", "\"\"", NULL, "\"eHl6\"",
    "\"eA\"", "\"e-A==\"", "\"eB==\"", "\"====\"", "\"e=A=\"",
    "\"eA==\\u0000\"", "7", "null"};
static const char *const flags[] = {NULL, "false", "true", "1", "null"};
static const char *const lists[] = {
    "[", "[", "[", "[7,", "[null,", "[[],", "7", "null", "{}"};

/* A key may also be longer than any. */
static void
add_key(struct choices *in, GString *out)
{
	g_autofree char *filler = g_strnfill(KVP_KEY_MAX_BYTES, 'x');
	g_autofree char *too_long = g_strdup_printf("\"op/%s\"", filler);
	uint8_t choice = cho_next(in);

	cho_add(out, "key",
	    choice == UINT8_MAX ? too_long : keys[choice % G_N_ELEMENTS(keys)]);
}

static void
add_item(struct choices *in, GString *out)
{
	if (out->str[out->len - 1] == '}')
		g_string_append_c(out, ',');
	g_string_append_c(out, '{');
	add_key(in, out);
	cho_add(out, "revision", cho_pick(in, numbers, G_N_ELEMENTS(numbers)));
	cho_add(out, "value", cho_pick(in, values, G_N_ELEMENTS(values)));
	cho_add(out, "deleted", cho_pick(in, flags, G_N_ELEMENTS(flags)));
	g_string_append_c(out, '}');
}

/* A page whose values are chosen by bytes. */
static struct json_object *
choose_page(const struct world *w, const char *data, size_t size)
{
	struct choices in = {(const uint8_t *)data, size};
	g_autoptr(GString) out = g_string_new("{");
	const char *list;

	cho_add(out, "as_of", cho_pick(&in, numbers, G_N_ELEMENTS(numbers)));
	cho_add(out, "has_more", cho_pick(&in, flags, G_N_ELEMENTS(flags)));
	list = cho_pick(&in, lists, G_N_ELEMENTS(lists));
	cho_add(out, w->is_watch ? "events" : "items", list);
	if (*list == '[') {
		do
			add_item(&in, out);
		while (in.size > 0);
		g_string_append_c(out, ']');
	}
	g_string_append_c(out, '}');
	return fld_parse(out->str, out->len, NULL);
}

/*
 * The first byte of a line may stand for an answer without a page, or for one
 * that is chosen by the other bytes.
 */
static void
answer_line(struct world *w, const char *line, size_t len)
{
	struct ph_answer answer = {.code = 200};

	if (len > 0 && line[0] == 'g')
		answer.code = 410;
	else if (len > 0 && line[0] == 'b')
		answer.code = 503;
	else if (len > 0 && line[0] == 't')
		answer.code = 0;
	if (answer.code == 0)
		st_set(&answer.st, ST_TIMEOUT, "no answer");
	else if (len > 0 && line[0] == 'p')
		answer.body = choose_page(w, line + 1, len - 1);
	else if (answer.code == 200)
		answer.body = fld_parse(line, len, NULL);
	answer_call(w, &answer);
	json_object_put(answer.body);
}

/*
 * A store with one key, which is written before each answer.  The page needs no
 * decoder.
 */
static void
answer_truly(struct world *w, int64_t revision)
{
	struct status ok = {.code = ST_OK};
	struct ks_item item = {
	    .key = TRUE_KEY, .data = "v", .len = 1, .revision = revision};
	struct ks_page page = {.items = &item, .as_of = revision};
	ks_page_fn fn = w->fn;

	/* A watch from a later revision has no events. */
	page.n_items = w->is_watch && mir_revision(w->mir) >= revision ? 0 : 1;
	w->fn = NULL;
	fn(&ok, &page, w->ctx);
	if (w->fn == NULL)
		fz_check(sim_run_next() && w->fn != NULL);
}

static void
check_follows(struct world *w)
{
	const struct mir_item *item;
	int64_t revision = FIRST_REVISION;
	int i;

	for (i = 0; i < TRUE_ANSWERS; i++)
		answer_truly(w, ++revision);
	item = mir_get(w->mir, TRUE_KEY);
	fz_check(item != NULL && item->revision == revision);
}

static void
end(struct world *w)
{
	struct status st = {.code = ST_UNAVAILABLE};

	mir_free(w->mir);
	w->fn(&st, NULL, w->ctx);
	g_free(w->after_key);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world w = {.ks = {.list = on_list, .watch = on_watch}};
	struct mir_options opts = {
	    .ks = &w.ks,
	    .prefix = PREFIX,
	    .wait_ms = 1000,
	    .changed = on_changed,
	};
	const char *line = (const char *)data;
	size_t len;

	sim_reset(1000);
	w.ks.store = &w;
	w.mir = mir_new(&opts);
	while (size > 0) {
		const char *line_end = memchr(line, '\n', size);

		len = line_end == NULL ? size : (size_t)(line_end - line);
		answer_line(&w, line, len);
		size -= MIN(len + 1, size);
		line += len + 1;
	}
	check_follows(&w);
	end(&w);
	return 0;
}
