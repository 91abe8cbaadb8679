#include <glib.h>
#include <string.h>

#include "process/cancelstore.h"
#include "sim/store.h"
#include "sim/worker.h"

#define ANSWER_MS    2
#define MAX_ATTEMPTS "3"
#define CONFIGURATION                                                          \
	"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"" SST_HOST      \
	"\",\"prefix\":\"" SST_PREFIX "\",\"service\":\"" SWK_SERVICE          \
	"\",\"priority\":1,\"max_attempts\":" MAX_ATTEMPTS                     \
	",\"stretch\":3,\"target_completion_ms\":2000}]}"

struct item {
	char *key;
	char *data;
	int64_t revision;
	int64_t created; /* revision of the first value */
};

struct client {
	struct ks ks; /* first member */
	struct slp_proc *proc;
	GPtrArray *calls; /* struct call that may have no answer yet */
};

struct call {
	struct client *client;
	char *prefix;
	int64_t after; /* answered with later revisions */
	ks_page_fn page_fn;
	ks_write_fn write_fn;
	void *ctx;
	bool answered;
	bool failed; /* the store was down when it arrived */
	bool silent; /* is answered without changes */
	int refs;
};

static struct {
	GPtrArray *items; /* struct item */
	int64_t revision;
	GPtrArray *watches; /* struct call that waits for a change */
	int64_t down_until_ms;
	enum sop_mutant mutant;
} store;

static void
item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->data);
	g_free(item);
}

static void
call_unref(void *data)
{
	struct call *call = data;

	if (--call->refs > 0)
		return;
	g_free(call->prefix);
	g_free(call);
}

static struct call *
call_ref(struct call *call)
{
	call->refs++;
	return call;
}

static void
set_item(const char *key, const char *data, size_t len)
{
	struct item *item = NULL;
	guint i;

	for (i = 0; i < store.items->len && item == NULL; i++) {
		struct item *at = store.items->pdata[i];

		if (strcmp(at->key, key) == 0)
			item = at;
	}
	if (item == NULL) {
		item = g_new0(struct item, 1);
		item->key = g_strdup(key);
		item->created = store.revision + 1;
		g_ptr_array_add(store.items, item);
	}
	g_free(item->data);
	item->data = g_strndup(data, len);
	item->revision = ++store.revision;
}

void
sst_reset(enum sop_mutant mutant)
{
	if (store.items == NULL) {
		store.items = g_ptr_array_new_with_free_func(item_free);
		store.watches = g_ptr_array_new_with_free_func(call_unref);
	}
	g_ptr_array_set_size(store.items, 0);
	g_ptr_array_set_size(store.watches, 0);
	store.revision = 0;
	store.down_until_ms = 0;
	store.mutant = mutant;
	set_item("op/config", CONFIGURATION, strlen(CONFIGURATION));
}

void
sst_forget_cancels(void)
{
	guint i = 0;

	while (i < store.items->len) {
		const struct item *item = store.items->pdata[i];

		if (g_str_has_prefix(item->key, CST_PREFIX))
			g_ptr_array_remove_index(store.items, i);
		else
			i++;
	}
}

/* Answers with the items of the prefix that changed after the revision. */
static void
on_answer(void *data)
{
	struct call *call = data;
	struct status ok = {.code = ST_OK};
	struct status down = {
	    .code = ST_UNAVAILABLE, .message = "store is down"};
	const struct status *st = call->failed ? &down : &ok;
	g_autoptr(GArray) items =
	    g_array_new(FALSE, FALSE, sizeof(struct ks_item));
	struct ks_page page = {.as_of = store.revision};
	guint i;

	if (call->answered)
		return;
	call->answered = true;
	g_ptr_array_remove_fast(call->client->calls, call);
	if (call->write_fn != NULL) {
		call->write_fn(st, call->ctx);
		return;
	}
	for (i = 0; i < store.items->len && !call->failed && !call->silent;
	     i++) {
		const struct item *item = store.items->pdata[i];
		struct ks_item row = {
		    .key = item->key,
		    .data = item->data,
		    .len = strlen(item->data),
		    .revision = item->revision,
		    .created = item->created,
		};

		if (g_str_has_prefix(item->key, call->prefix) &&
		    item->revision > call->after)
			g_array_append_val(items, row);
	}
	page.items = (const struct ks_item *)items->data;
	page.n_items = items->len;
	call->page_fn(st, &page, call->ctx);
}

static void
answer_in(struct call *call, int64_t wait_ms)
{
	slp_at(call->client->proc, slp_now_ms() + wait_ms, on_answer,
	    call_ref(call), call_unref);
}

static struct call *
call_new(void *data, const char *prefix, void *ctx)
{
	struct client *client = data;
	struct call *call = g_new0(struct call, 1);

	call->refs = 1;
	call->client = client;
	g_ptr_array_add(client->calls, call_ref(call));
	call->prefix = g_strdup(prefix);
	call->ctx = ctx;
	call->failed = slp_now_ms() < store.down_until_ms;
	return call;
}

static void
list(void *data, const char *prefix, const char *after_key, ks_page_fn fn,
    void *ctx)
{
	struct call *call = call_new(data, prefix, ctx);

	(void)after_key;
	call->page_fn = fn;
	answer_in(call, ANSWER_MS);
	call_unref(call);
}

static bool
has_changed(const struct call *call)
{
	guint i;

	for (i = 0; i < store.items->len; i++) {
		const struct item *item = store.items->pdata[i];

		if (g_str_has_prefix(item->key, call->prefix) &&
		    item->revision > call->after)
			return true;
	}
	return false;
}

static void
watch(void *data, const char *prefix, int64_t after, int64_t wait_ms,
    ks_page_fn fn, void *ctx)
{
	struct call *call = call_new(data, prefix, ctx);

	call->after = after;
	call->page_fn = fn;
	call->silent =
	    store.mutant == SOP_NO_CATCH_UP && strcmp(prefix, CST_PREFIX) == 0;
	if (call->failed || (has_changed(call) && !call->silent)) {
		answer_in(call, ANSWER_MS);
	} else {
		answer_in(call, wait_ms);
		g_ptr_array_add(store.watches, call_ref(call));
	}
	call_unref(call);
}

static void
answer_watches(void)
{
	guint i = 0;

	while (i < store.watches->len) {
		struct call *call = store.watches->pdata[i];

		if (!call->answered && !has_changed(call)) {
			i++;
			continue;
		}
		if (!call->answered)
			answer_in(call, ANSWER_MS);
		g_ptr_array_remove_index_fast(store.watches, i);
	}
}

static void
put(void *data, const char *key, const char *value, size_t len, ks_write_fn fn,
    void *ctx)
{
	struct call *call = call_new(data, key, ctx);

	call->write_fn = fn;
	if (!call->failed && !(store.mutant == SOP_DEAF_STORE &&
				 g_str_has_prefix(key, CST_PREFIX))) {
		set_item(key, value, len);
		answer_watches();
	}
	answer_in(call, ANSWER_MS);
	call_unref(call);
}

/* Keys of agents are never removed: they are not down for long enough. */
static void
remove_key(
    void *data, const char *key, int64_t revision, ks_write_fn fn, void *ctx)
{
	struct call *call = call_new(data, key, ctx);

	(void)revision;
	call->write_fn = fn;
	answer_in(call, ANSWER_MS);
	call_unref(call);
}

void
sst_stop(int64_t until_ms)
{
	store.down_until_ms = MAX(store.down_until_ms, until_ms);
}

struct ks *
sst_client_new(struct slp_proc *proc)
{
	struct client *client = g_new0(struct client, 1);

	client->proc = proc;
	client->calls = g_ptr_array_new_with_free_func(call_unref);
	client->ks = (struct ks){client, list, watch, put, remove_key};
	return &client->ks;
}

void
sst_client_free(struct ks *ks)
{
	struct client *client = ks->store;
	struct status down = {.code = ST_UNAVAILABLE};

	while (client->calls->len > 0) {
		struct call *call =
		    g_ptr_array_steal_index_fast(client->calls, 0);

		call->answered = true;
		if (call->write_fn != NULL)
			call->write_fn(&down, call->ctx);
		else
			call->page_fn(&down, NULL, call->ctx);
		call_unref(call);
	}
	g_ptr_array_unref(client->calls);
	g_free(client);
}
