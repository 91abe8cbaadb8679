#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/enlist.h"
#include "runner.h"

#define ADDRESS "10.0.0.1:7100"

/* A fake store with one key, which answers when the trace tells it to. */
struct trace {
	struct ks ks;
	struct enl *enl;
	GString *actual;
	char *stored; /* NULL: no such key */
	ks_page_fn list_fn;
	ks_write_fn put_fn;
	void *call_ctx;
};

static void
emit(struct trace *t, const char *fmt, ...)
{
	va_list ap;

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

	(void)after_key;
	ck_assert_str_eq(prefix, ENL_PREFIX ADDRESS);
	t->list_fn = fn;
	t->call_ctx = ctx;
}

static void
emit_worker(const struct wp_worker *worker, void *ctx)
{
	emit(ctx, "%s", worker->instance);
}

static void
on_put(void *store, const char *key, const char *data, size_t len,
    ks_write_fn fn, void *ctx)
{
	struct trace *t = store;

	ck_assert_str_eq(key, ENL_PREFIX ADDRESS);
	g_free(t->stored);
	t->stored = g_strndup(data, len);
	t->put_fn = fn;
	t->call_ctx = ctx;
	emit(t, "put");
	if (enl_parse(data, len, emit_worker, t, NULL) == ENL_NO_WORKER)
		emit(t, "none");
}

static void
on_recalled(const struct wp_worker *worker, void *ctx)
{
	emit(ctx, "recalled %s", worker->instance);
}

static void
begin(struct trace *t)
{
	struct enl_options opts = {
	    .ks = &t->ks,
	    .address = ADDRESS,
	    .recalled = on_recalled,
	    .ctx = t,
	};

	t->list_fn = NULL;
	t->put_fn = NULL;
	t->enl = enl_new(&opts);
}

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->ks = (struct ks){.store = t, .list = on_list, .put = on_put};
	begin(t);
	return t;
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	enl_free(t->enl);
	g_free(t->stored);
	g_free(t);
}

static void
answer_list(struct trace *t)
{
	struct status st = {.code = ST_OK};
	struct ks_item item = {.key = ENL_PREFIX ADDRESS, .data = t->stored};
	struct ks_page page = {.items = &item, .n_items = t->stored != NULL};

	/* The data of an empty value may be NULL, as that of a GBytes. */
	if (t->stored != NULL && *t->stored == '\0')
		item.data = NULL;
	else if (t->stored != NULL)
		item.len = strlen(t->stored);
	t->list_fn(&st, &page, t->call_ctx);
}

static void
heartbeat(struct trace *t, const char *instance)
{
	static const char *const labels[] = {"a", "rack1"};
	struct wp_worker worker = {
	    .instance = instance,
	    .born_ms = 1,
	    .service = "desk",
	    .address = "10.0.0.1:8080",
	    .failure_domain = "z1",
	    .labels = labels,
	    .n_labels = 2,
	    .capacity = {.cpu_milli = 1000, .memory_mb = 1},
	};

	enl_update(t->enl, &worker);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;
	struct status st = {.code = ST_OK};

	t->actual = actual;
	if (strcmp(w[0], "stored") == 0)
		t->stored = g_strdup(w[1] == NULL ? "" : w[1]);
	else if (strcmp(w[0], "list") == 0)
		answer_list(t);
	else if (strcmp(w[0], "written") == 0)
		t->put_fn(&st, t->call_ctx);
	else if (strcmp(w[0], "worker") == 0)
		heartbeat(t, w[1]);
	else if (strcmp(w[0], "left") == 0)
		enl_worker_left(t->enl, w[1]);
	else if (strcmp(w[0], "restart") == 0) {
		enl_free(t->enl);
		begin(t);
	} else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against a restarted agent that serves a worker which has left, and
 * against a registration that takes the agent down.
 */
REPLAY_MAIN("enlist", 0, start, end, step)
