#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "connection/address.h"
#include "process/enlist.h"
#include "process/events.h"
#include "process/fields.h"

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

/* A registration as it is in the store. */
struct registration {
	const char *instance;
	const char *service;
	const char *address;
	const char *failure_domain;
	int64_t born_ms;
	struct wk_size capacity;
	struct fld_texts labels;
};

#define AT(member) offsetof(struct registration, member)
static const struct fld fields[] = {
    {"instance", FLD_TEXT, true, 1, WP_ID_MAX_BYTES, wp_id_is_valid,
	AT(instance), NULL},
    {"born_ms", FLD_INT, true, 1, WP_BORN_MAX_MS, NULL, AT(born_ms), NULL},
    {"service", FLD_TEXT, true, 1, WP_NAME_MAX_BYTES, NULL, AT(service), NULL},
    {"address", FLD_TEXT, true, 1, WP_NAME_MAX_BYTES, addr_is_valid,
	AT(address), NULL},
    {"failure_domain", FLD_TEXT, true, 1, WP_NAME_MAX_BYTES, NULL,
	AT(failure_domain), NULL},
    {"cpu_milli", FLD_INT, true, 0, WP_SIZE_MAX, NULL, AT(capacity.cpu_milli),
	NULL},
    {"memory_mb", FLD_INT, true, 0, WP_SIZE_MAX, NULL, AT(capacity.memory_mb),
	NULL},
    {"gpus", FLD_INT, true, 0, WP_SIZE_MAX, NULL, AT(capacity.gpus), NULL},
    {"labels", FLD_TEXTS, true, 0, WP_LABELS_MAX, NULL, AT(labels), NULL},
    {0},
};
#undef AT

/* Whether the registration names no worker, as agents write it. */
static bool
is_empty(struct json_object *from)
{
	return json_object_is_type(from, json_type_object) &&
	       json_object_object_length(from) == 0;
}

enum enl_verdict
enl_parse(const char *data, size_t len,
    void (*fn)(const struct wp_worker *worker, void *ctx), void *ctx,
    struct status *st)
{
	struct json_object *from = fld_parse_bounded(data, len, st);
	enum enl_verdict verdict = ENL_MALFORMED;
	struct registration r = {0};

	if (from == NULL)
		return ENL_MALFORMED;
	if (is_empty(from)) {
		verdict = ENL_NO_WORKER;
	} else if (fld_decode(from, fields, &r, st)) {
		struct wp_worker worker = {
		    .instance = r.instance,
		    .born_ms = (uint64_t)r.born_ms,
		    .clock_ms = -1,
		    .service = r.service,
		    .address = r.address,
		    .failure_domain = r.failure_domain,
		    .capacity = r.capacity,
		    .labels = r.labels.texts,
		    .n_labels = r.labels.n,
		};

		verdict = ENL_WORKER;
		fn(&worker, ctx);
	}
	json_object_put(from);
	return verdict;
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
	struct status st;

	if (enl->dirty)
		return;
	switch (enl_parse(item->data, item->len, recall, enl, &st)) {
	case ENL_WORKER:
	case ENL_NO_WORKER:
		break;
	case ENL_MALFORMED:
		evt_write("enlist", evt_text("state", "malformed"),
		    evt_text("reason", st.message));
		enl->dirty = true;
		break;
	}
	if (enl->dirty)
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
