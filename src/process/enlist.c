#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "process/enlist.h"
#include "process/events.h"

/* Delay before a failed store call is retried, plus up to half of it. */
#define ENL_RETRY_MS 300

/* Registration without a worker. */
#define NO_WORKER "{}"

struct enl {
	struct enl_options opts;
	char *key;
	char *text;	/* JSON that the registration should hold */
	char *instance; /* of the worker in text, NULL: none */
	char *left;	/* instance that left last, NULL: none */
	bool read;	/* the registration was read once */
	bool writing;
	bool dirty; /* another write of text is needed */
	guint retry_id;
};

static void sync_registration(struct enl *enl);

static gboolean
on_retry(gpointer data)
{
	struct enl *enl = data;

	enl->retry_id = 0;
	sync_registration(enl);
	return G_SOURCE_REMOVE;
}

static void
retry_later(struct enl *enl, const struct status *st)
{
	evt_write("enlist", evt_text("state", "failed"),
	    evt_text("reason", st->message));
	if (enl->retry_id == 0)
		enl->retry_id =
		    g_timeout_add(ENL_RETRY_MS + (guint)g_random_int_range(
						     0, ENL_RETRY_MS / 2),
			on_retry, enl);
}

static void
on_written(const struct status *st, void *ctx)
{
	struct enl *enl = ctx;

	enl->writing = false;
	if (st->code != ST_OK) {
		enl->dirty = true;
		retry_later(enl, st);
		return;
	}
	evt_write("enlist", evt_text("state", "written"));
	sync_registration(enl);
}

static const char *
string_member(struct json_object *from, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(from, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

static int64_t
int_member(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_int64(value)
		   : 0;
}

static GPtrArray *
labels_of(struct json_object *from)
{
	GPtrArray *labels = g_ptr_array_new();
	struct json_object *array;
	size_t i;

	if (!json_object_object_get_ex(from, "labels", &array) ||
	    !json_object_is_type(array, json_type_array))
		return labels;
	for (i = 0; i < json_object_array_length(array); i++)
		if (json_object_is_type(
			json_object_array_get_idx(array, i), json_type_string))
			g_ptr_array_add(
			    labels, (gpointer)json_object_get_string(
					json_object_array_get_idx(array, i)));
	return labels;
}

bool
enl_parse(const char *data, size_t len,
    void (*fn)(const struct wp_worker *worker, void *ctx), void *ctx)
{
	/* The data of an empty value may be NULL. */
	g_autofree char *text = len == 0 ? g_strdup("") : g_strndup(data, len);
	struct json_object *from = json_tokener_parse(text);
	GPtrArray *labels = labels_of(from);
	struct wp_worker worker = {
	    .instance = string_member(from, "instance"),
	    .born_ms = (uint64_t)int_member(from, "born_ms"),
	    .service = string_member(from, "service"),
	    .address = string_member(from, "address"),
	    .failure_domain = string_member(from, "failure_domain"),
	    .capacity =
		{
		    .cpu_milli = int_member(from, "cpu_milli"),
		    .memory_mb = int_member(from, "memory_mb"),
		    .gpus = int_member(from, "gpus"),
		},
	    .labels = (const char *const *)labels->pdata,
	    .n_labels = labels->len,
	};
	bool named = worker.instance != NULL && worker.service != NULL &&
		     worker.address != NULL && worker.failure_domain != NULL &&
		     worker.born_ms != 0;

	if (named)
		fn(&worker, ctx);
	g_ptr_array_unref(labels);
	json_object_put(from);
	return named;
}

static void
set_instance(struct enl *enl, const char *instance)
{
	g_free(enl->instance);
	enl->instance = g_strdup(instance);
}

static void
recall(const struct wp_worker *worker, void *ctx)
{
	struct enl *enl = ctx;

	if (g_strcmp0(worker->instance, enl->left) == 0) {
		enl->dirty = true;
		return;
	}
	set_instance(enl, worker->instance);
	enl->opts.recalled(worker, enl->opts.ctx);
}

/*
 * Passes on the worker that an earlier process registered, unless a heartbeat
 * has described the worker meanwhile, or that worker has left.
 */
static void
recall_item(struct enl *enl, const struct ks_item *item)
{
	if (enl->dirty || !enl_parse(item->data, item->len, recall, enl) ||
	    enl->dirty)
		return;
	g_free(enl->text);
	enl->text = g_strndup(item->data, item->len);
}

static void
on_read(const struct status *st, const struct ks_page *page, void *ctx)
{
	struct enl *enl = ctx;
	size_t i;

	if (st->code != ST_OK) {
		retry_later(enl, st);
		return;
	}
	enl->read = true;
	for (i = 0; i < page->n_items; i++) {
		if (strcmp(page->items[i].key, enl->key) != 0)
			continue;
		recall_item(enl, &page->items[i]);
	}
	sync_registration(enl);
}

static void
sync_registration(struct enl *enl)
{
	const struct ks *ks = enl->opts.ks;

	if (!enl->read) {
		ks->list(ks->store, enl->key, "", on_read, enl);
		return;
	}
	if (enl->writing || !enl->dirty)
		return;
	enl->writing = true;
	enl->dirty = false;
	ks->put(
	    ks->store, enl->key, enl->text, strlen(enl->text), on_written, enl);
}

struct enl *
enl_new(const struct enl_options *opts)
{
	struct enl *enl = g_new0(struct enl, 1);

	enl->opts = *opts;
	enl->key = g_strconcat(ENL_PREFIX, opts->address, NULL);
	enl->text = g_strdup(NO_WORKER);
	sync_registration(enl);
	return enl;
}

void
enl_free(struct enl *enl)
{
	if (enl == NULL)
		return;
	g_clear_handle_id(&enl->retry_id, g_source_remove);
	g_free(enl->key);
	g_free(enl->text);
	g_free(enl->instance);
	g_free(enl->left);
	g_free(enl);
}

static void
add_string(struct json_object *to, const char *key, const char *value)
{
	json_object_object_add(to, key, json_object_new_string(value));
}

static void
add_int(struct json_object *to, const char *key, int64_t value)
{
	json_object_object_add(to, key, json_object_new_int64(value));
}

static char *
encode(const struct wp_worker *worker)
{
	struct json_object *to = json_object_new_object();
	struct json_object *labels = json_object_new_array();
	char *text;
	size_t i;

	add_string(to, "instance", worker->instance);
	add_int(to, "born_ms", (int64_t)worker->born_ms);
	add_string(to, "service", worker->service);
	add_string(to, "address", worker->address);
	add_string(to, "failure_domain", worker->failure_domain);
	add_int(to, "cpu_milli", worker->capacity.cpu_milli);
	add_int(to, "memory_mb", worker->capacity.memory_mb);
	add_int(to, "gpus", worker->capacity.gpus);
	for (i = 0; i < worker->n_labels; i++)
		json_object_array_add(
		    labels, json_object_new_string(worker->labels[i]));
	json_object_object_add(to, "labels", labels);
	text = g_strdup(
	    json_object_to_json_string_ext(to, JSON_C_TO_STRING_PLAIN));
	json_object_put(to);
	return text;
}

/* Takes ownership of text. */
static void
set_text(struct enl *enl, char *text)
{
	if (strcmp(text, enl->text) == 0) {
		g_free(text);
		return;
	}
	g_free(enl->text);
	enl->text = text;
	enl->dirty = true;
	if (enl->read)
		sync_registration(enl);
}

void
enl_update(struct enl *enl, const struct wp_worker *worker)
{
	set_instance(enl, worker->instance);
	set_text(enl, encode(worker));
}

void
enl_worker_left(struct enl *enl, const char *instance)
{
	g_free(enl->left);
	enl->left = g_strdup(instance);
	if (g_strcmp0(enl->instance, instance) != 0)
		return;
	set_instance(enl, NULL);
	set_text(enl, g_strdup(NO_WORKER));
}
