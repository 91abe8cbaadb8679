#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "members.h"
#include "process/clock.h"
#include "process/jsonc.h"
#include "process/log.h"

#define RETRY_DELAY_MS	     500
#define KEEPALIVES_PER_LEASE 3
/*
 * Poll periods within which a live entry whose lease was lost registers again.
 */
#define REREGISTER_POLLS    5
#define MAX_REMOVED_ENTRIES 4096

struct mem {
	struct store *store;
	struct mem_entry self;
	int64_t lease_s;
	int64_t poll_ms;
	mem_changed_fn on_changed;
	void *ctx;

	int64_t lease; /* 0: none */
	bool registered;
	bool lease_call_active;
	bool deregistering;
	mem_changed_fn on_deregistered;
	void *deregistered_ctx;
	guint lease_timer;

	guint poll_timer;
	bool poll_active;
	int64_t poll_sent_ms;
	int64_t last_poll_ms;	  /* time of the last answered poll */
	int64_t gapless_since_ms; /* first poll answered after a gap */
	GArray *list;		  /* struct mem_entry, sorted */
	uint64_t digest;
	GHashTable *removed; /* incarnation -> time it left the list */
};

static void lease_step(struct mem *mem);

static void
copy_entry(struct mem_entry *to, const struct mem_entry *from)
{
	to->incarnation = from->incarnation;
	to->name = g_strdup(from->name);
	to->failure_domain = g_strdup(from->failure_domain);
	to->address = g_strdup(from->address);
	to->operator_address = g_strdup(from->operator_address);
}

static void
clear_entry(void *p)
{
	struct mem_entry *entry = p;

	g_free((char *)entry->name);
	g_free((char *)entry->failure_domain);
	g_free((char *)entry->address);
	g_free((char *)entry->operator_address);
}

static char *
own_key(const struct mem *mem)
{
	return g_strdup_printf(
	    STORE_ENTRIES_PREFIX "%016" PRIx64, mem->self.incarnation);
}

static char *
own_value(const struct mem *mem)
{
	struct json_object *value = json_object_new_object();
	char *text;

	json_object_object_add(
	    value, "name", json_object_new_string(mem->self.name));
	json_object_object_add(value, "failure_domain",
	    json_object_new_string(mem->self.failure_domain));
	json_object_object_add(
	    value, "address", json_object_new_string(mem->self.address));
	json_object_object_add(value, "operator_address",
	    json_object_new_string(mem->self.operator_address));
	text = g_strdup(json_object_to_json_string(value));
	json_object_put(value);
	return text;
}

static gboolean
on_lease_timer(gpointer ctx)
{
	struct mem *mem = ctx;

	mem->lease_timer = 0;
	lease_step(mem);
	return G_SOURCE_REMOVE;
}

static void
schedule_lease_step(struct mem *mem, int64_t after_ms)
{
	mem->lease_call_active = false;
	if (mem->lease_timer == 0 && !mem->deregistering)
		mem->lease_timer =
		    g_timeout_add((guint)after_ms, on_lease_timer, mem);
}

static void
on_put(const struct status *st, int64_t mod_revision, void *ctx)
{
	struct mem *mem = ctx;

	(void)mod_revision;
	if (st->code == ST_OK) {
		mem->registered = true;
		log_line(LOG_INFO, "registered as %016" PRIx64,
		    mem->self.incarnation);
		schedule_lease_step(
		    mem, mem->lease_s * 1000 / KEEPALIVES_PER_LEASE);
		return;
	}
	/*
	 * The put may have taken effect; repeating it under the same lease is
	 * harmless.
	 */
	if (st->code == ST_NOT_FOUND)
		mem->lease = 0;
	log_line(LOG_WARNING, "registration failed, retrying: %s", st->message);
	schedule_lease_step(mem, RETRY_DELAY_MS);
}

static void
on_granted(const struct status *st, int64_t lease, int64_t ttl_s, void *ctx)
{
	struct mem *mem = ctx;

	(void)ttl_s;
	if (st->code != ST_OK) {
		log_line(LOG_WARNING, "lease not granted, retrying: %s",
		    st->message);
		schedule_lease_step(mem, RETRY_DELAY_MS);
		return;
	}
	mem->lease = lease;
	mem->lease_call_active = false;
	lease_step(mem);
}

static void
on_keepalive(const struct status *st, int64_t lease, int64_t ttl_s, void *ctx)
{
	struct mem *mem = ctx;

	(void)lease;
	(void)ttl_s;
	if (st->code == ST_OK) {
		schedule_lease_step(
		    mem, mem->lease_s * 1000 / KEEPALIVES_PER_LEASE);
		return;
	}
	if (st->code == ST_NOT_FOUND) {
		log_line(LOG_WARNING, "lease expired, registering again");
		mem->lease = 0;
		mem->registered = false;
	}
	schedule_lease_step(mem, st->code == ST_NOT_FOUND ? 0 : RETRY_DELAY_MS);
}

/*
 * Makes the next call that the registration needs: grants the lease, writes the
 * key, or keeps the lease alive.
 */
static void
lease_step(struct mem *mem)
{
	char *key, *value;

	if (mem->lease_call_active || mem->deregistering)
		return;
	mem->lease_call_active = true;
	if (mem->lease == 0) {
		mem->store->ops->grant(
		    mem->store, mem->lease_s, on_granted, mem);
	} else if (mem->registered) {
		mem->store->ops->keepalive(
		    mem->store, mem->lease, on_keepalive, mem);
	} else {
		key = own_key(mem);
		value = own_value(mem);
		mem->store->ops->put(mem->store, key, value, strlen(value),
		    mem->lease, on_put, mem);
		g_free(key);
		g_free(value);
	}
}

static int
compare_entries(const void *a, const void *b)
{
	const struct mem_entry *x = a, *y = b;

	return x->incarnation < y->incarnation
		   ? -1
		   : x->incarnation > y->incarnation;
}

static bool
parse_entry(const struct store_value *value, struct mem_entry *entry)
{
	struct status st;
	struct jsonc_node root;
	struct jsonc *doc;
	guint64 incarnation = 0;
	bool ok;

	doc = jsonc_parse(value->key, value->data, value->len, &st);
	ok = doc != NULL && jsonc_root(doc, &root, &st) &&
	     jsonc_name(
		 &root, "name", JSONC_REQUIRED, (char **)&entry->name, &st) &&
	     jsonc_name(&root, "failure_domain", JSONC_REQUIRED,
		 (char **)&entry->failure_domain, &st) &&
	     jsonc_string(&root, "address", JSONC_REQUIRED,
		 (char **)&entry->address, &st) &&
	     jsonc_string(&root, "operator_address", JSONC_REQUIRED,
		 (char **)&entry->operator_address, &st);
	if (ok && !g_ascii_string_to_unsigned(
		      value->key + strlen(STORE_ENTRIES_PREFIX), 16, 1,
		      UINT64_MAX, &incarnation, NULL)) {
		st_set(&st, ST_INVALID, "%s: malformed key", value->key);
		ok = false;
	}
	if (!ok)
		log_line(LOG_WARNING, "ignored a malformed registration: %s",
		    st.message);
	entry->incarnation = incarnation;
	jsonc_free(doc);
	return ok;
}

/* 64-bit FNV-1a over all fields; never 0, which stands for no list. */
static uint64_t
compute_digest(const GArray *list)
{
	uint64_t hash = 0xcbf29ce484222325ULL;
	guint i;
	char *line, *p;

	for (i = 0; i < list->len; i++) {
		const struct mem_entry *entry =
		    &g_array_index(list, struct mem_entry, i);

		line = g_strdup_printf("%016" PRIx64 " %s %s %s %s\n",
		    entry->incarnation, entry->name, entry->failure_domain,
		    entry->address, entry->operator_address);
		for (p = line; *p != '\0'; p++)
			hash = (hash ^ (unsigned char)*p) * 0x100000001b3ULL;
		g_free(line);
	}
	return hash == 0 ? 1 : hash;
}

static const struct mem_entry *
find_in(const GArray *list, uint64_t incarnation)
{
	struct mem_entry key = {.incarnation = incarnation};

	if (list->len == 0)
		return NULL;
	return bsearch(
	    &key, list->data, list->len, sizeof(key), compare_entries);
}

/* Records the time at which entries left the list. */
static void
record_removed(struct mem *mem, const GArray *list, int64_t now_ms)
{
	guint i;

	if (g_hash_table_size(mem->removed) > MAX_REMOVED_ENTRIES)
		g_hash_table_remove_all(mem->removed);
	for (i = 0; i < mem->list->len; i++) {
		const struct mem_entry *old =
		    &g_array_index(mem->list, struct mem_entry, i);

		if (find_in(list, old->incarnation) == NULL)
			g_hash_table_insert(mem->removed,
			    g_memdup2(&old->incarnation, sizeof(uint64_t)),
			    g_memdup2(&now_ms, sizeof(now_ms)));
	}
}

static void
on_list(const struct status *st, const struct store_value *values, size_t n,
    size_t total, void *ctx)
{
	struct mem *mem = ctx;
	GArray *list;
	uint64_t digest;
	size_t i;
	int64_t now_ms = clk_now_ms();

	(void)total;
	mem->poll_active = false;
	if (st->code != ST_OK) {
		log_line(LOG_DEBUG,
		    "reading the list of registered entries failed: %s",
		    st->message);
		return;
	}
	/*
	 * An entry may have registered and left unnoticed during a gap of more
	 * than two poll periods, so the time without gaps starts anew.
	 */
	if (mem->last_poll_ms == 0 ||
	    mem->poll_sent_ms - mem->last_poll_ms > 2 * mem->poll_ms)
		mem->gapless_since_ms = now_ms;
	mem->last_poll_ms = now_ms;
	list = g_array_new(FALSE, TRUE, sizeof(struct mem_entry));
	g_array_set_clear_func(list, clear_entry);
	for (i = 0; i < n; i++) {
		struct mem_entry entry = {0};

		if (parse_entry(&values[i], &entry))
			g_array_append_val(list, entry);
		else
			clear_entry(&entry);
	}
	g_array_sort(list, compare_entries);
	digest = compute_digest(list);
	record_removed(mem, list, now_ms);
	g_array_free(mem->list, TRUE);
	mem->list = list;
	if (digest == mem->digest)
		return;
	mem->digest = digest;
	if (mem->on_changed != NULL)
		mem->on_changed(mem->ctx);
}

static gboolean
on_poll_timer(gpointer ctx)
{
	struct mem *mem = ctx;

	if (mem->poll_active)
		return G_SOURCE_CONTINUE;
	mem->poll_active = true;
	mem->poll_sent_ms = clk_now_ms();
	mem->store->ops->read_prefix(
	    mem->store, STORE_ENTRIES_PREFIX, on_list, mem);
	return G_SOURCE_CONTINUE;
}

/* Starts registering this entry and polling the list. */
struct mem *
mem_new(const struct mem_options *opts)
{
	struct mem *mem = g_new0(struct mem, 1);

	mem->store = opts->store;
	copy_entry(&mem->self, &opts->self);
	mem->lease_s = opts->lease_s;
	mem->poll_ms = opts->poll_ms;
	mem->on_changed = opts->on_changed;
	mem->ctx = opts->ctx;
	mem->list = g_array_new(FALSE, TRUE, sizeof(struct mem_entry));
	g_array_set_clear_func(mem->list, clear_entry);
	mem->removed =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	lease_step(mem);
	on_poll_timer(mem);
	mem->poll_timer =
	    g_timeout_add((guint)opts->poll_ms, on_poll_timer, mem);
	return mem;
}

/*
 * Does not remove the registration, which expires with its lease; see
 * mem_deregister().
 */
void
mem_free(struct mem *mem)
{
	if (mem == NULL)
		return;
	mem->store->ops->cancel(mem->store, mem);
	if (mem->lease_timer != 0)
		g_source_remove(mem->lease_timer);
	if (mem->poll_timer != 0)
		g_source_remove(mem->poll_timer);
	g_array_free(mem->list, TRUE);
	g_hash_table_destroy(mem->removed);
	clear_entry(&mem->self);
	g_free(mem);
}

static void
on_revoked(const struct status *st, int64_t lease, int64_t ttl_s, void *ctx)
{
	struct mem *mem = ctx;

	(void)lease;
	(void)ttl_s;
	if (st->code != ST_OK)
		log_line(LOG_WARNING,
		    "registration stays until its lease "
		    "expires: %s",
		    st->message);
	mem->on_deregistered(mem->deregistered_ctx);
}

static gboolean
on_no_lease(gpointer ctx)
{
	struct status st = {.code = ST_OK};
	struct mem *mem = ctx;

	mem->poll_timer = 0;
	on_revoked(&st, 0, 0, mem);
	return G_SOURCE_REMOVE;
}

/* Revokes the lease, so that the store removes the registration. */
void
mem_deregister(struct mem *mem, mem_changed_fn fn, void *ctx)
{
	mem->store->ops->cancel(mem->store, mem);
	mem->deregistering = true;
	mem->registered = false;
	mem->on_deregistered = fn;
	mem->deregistered_ctx = ctx;
	if (mem->lease_timer != 0)
		g_source_remove(mem->lease_timer);
	g_source_remove(mem->poll_timer);
	mem->lease_timer = 0;
	mem->poll_timer = 0;
	if (mem->lease != 0)
		mem->store->ops->revoke(
		    mem->store, mem->lease, on_revoked, mem);
	else
		mem->poll_timer = g_idle_add(on_no_lease, mem);
}

const struct mem_entry *
mem_list(const struct mem *mem, size_t *n)
{
	*n = mem->list->len;
	return (const struct mem_entry *)mem->list->data;
}

const struct mem_entry *
mem_find(const struct mem *mem, uint64_t incarnation)
{
	return find_in(mem->list, incarnation);
}

uint64_t
mem_digest(const struct mem *mem)
{
	return mem->digest;
}

bool
mem_is_registered(const struct mem *mem)
{
	return mem->registered;
}

/*
 * Returns false while the store does not answer, since the list may be out of
 * date then.
 */
bool
mem_is_deregistered(const struct mem *mem, uint64_t incarnation, int64_t now_ms)
{
	int64_t grace_ms = REREGISTER_POLLS * MAX(mem->poll_ms, RETRY_DELAY_MS);
	int64_t since_ms = mem->gapless_since_ms;
	const int64_t *removed_ms;

	if (mem->last_poll_ms == 0 || find_in(mem->list, incarnation) != NULL ||
	    now_ms - mem->last_poll_ms > 2 * mem->poll_ms + RETRY_DELAY_MS)
		return false;
	removed_ms = g_hash_table_lookup(mem->removed, &incarnation);
	if (removed_ms != NULL && *removed_ms > since_ms)
		since_ms = *removed_ms;
	return now_ms - since_ms >= grace_ms;
}
