/*
 * Registrations in the store: what is accepted lies in range, and an agent that
 * reads its own registration writes the same one again.
 */
#include <string.h>

#include "connection/address.h"
#include "fuzz/check.h"
#include "process/enlist.h"

#define KEY ENL_PREFIX "10.0.0.1:7100"

/* A store that holds the input and records what is written. */
struct store {
	struct ks ks;
	const char *data;
	size_t len;
	char *written;
};

static void
list(void *ctx, const char *prefix, const char *after, ks_page_fn fn, void *arg)
{
	struct store *store = ctx;
	struct ks_item item = {
	    .key = KEY,
	    .data = store->len == 0 ? NULL : store->data,
	    .len = store->len,
	    .revision = 1,
	};
	struct ks_page page = {.items = &item, .n_items = 1, .as_of = 1};
	struct status st = {.code = ST_OK};

	(void)prefix;
	(void)after;
	fn(&st, &page, arg);
}

static void
put(void *ctx, const char *key, const char *data, size_t len, ks_write_fn fn,
    void *arg)
{
	struct store *store = ctx;

	(void)key;
	(void)fn;
	(void)arg;
	free(store->written);
	store->written = strndup(data, len);
}

static void
check_worker(const struct wp_worker *worker, void *ctx)
{
	size_t i;

	fz_check(wp_id_is_valid(worker->instance));
	fz_check(addr_is_valid(worker->address));
	fz_check(worker->born_ms >= 1 && worker->born_ms <= WP_BORN_MAX_MS);
	fz_check(worker->capacity.cpu_milli >= 0 &&
		 worker->capacity.cpu_milli <= WP_SIZE_MAX);
	fz_check(worker->n_labels <= WP_LABELS_MAX);
	for (i = 0; i < worker->n_labels; i++)
		fz_check(strlen(worker->labels[i]) <= WP_NAME_MAX_BYTES);
	*(struct wp_worker **)ctx = wp_worker_copy(worker);
}

static void
ignore(const struct wp_worker *worker, void *ctx)
{
	(void)worker;
	(void)ctx;
}

/* What an agent writes for the worker must be read as the same worker. */
static void
check_written(const struct wp_worker *worker)
{
	struct store store = {.ks = {.list = list, .put = put}, .data = "{}"};
	struct enl_options opts = {
	    .ks = &store.ks,
	    .address = "10.0.0.1:7100",
	    .recalled = ignore,
	};
	struct wp_worker *read = NULL;
	struct status st;
	struct enl *enl;

	store.ks.store = &store;
	store.len = strlen(store.data);
	enl = enl_new(&opts);
	enl_update(enl, worker);
	fz_check(store.written != NULL);
	fz_check(enl_parse(store.written, strlen(store.written), check_worker,
		     &read, &st) == ENL_WORKER);
	fz_check(strcmp(read->instance, worker->instance) == 0 &&
		 read->born_ms == worker->born_ms &&
		 wp_worker_serves_as(read, worker));
	wp_worker_free(read);
	free(store.written);
	enl_free(enl);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct wp_worker *worker = NULL;
	struct status st = {.code = ST_OK};
	const char *text = size == 0 ? NULL : (const char *)data;

	if (enl_parse(text, size, check_worker, &worker, &st) == ENL_WORKER)
		check_written(worker);
	wp_worker_free(worker);
	return 0;
}
