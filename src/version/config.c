#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "config.h"
#include "config_text.h"
#include "process/jsonc.h"
#include "process/jsontext.h"

struct cfg {
	int refs;
	uint64_t version;
	char *change_id;
	char *text;
	char *document;
	size_t document_len;
	struct cfg_text_parts parsed;
	GArray *outs;	       /* struct cfg_out */
	GPtrArray *voter_sets; /* GArray of struct cfg_voter */
	GArray *changes;       /* struct cfg_change */
};

static const char *const kind_names[] = {
    [CFG_FAILURE_DOMAIN] = "failure_domain",
    [CFG_WORKER] = "worker",
    [CFG_SERVICE] = "service",
};

const char *
cfg_kind_name(enum cfg_kind kind)
{
	return kind_names[kind];
}

/* Returns false if name is not a kind. */
bool
cfg_kind_parse(const char *name, enum cfg_kind *kind)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kind_names); i++) {
		if (strcmp(kind_names[i], name) == 0) {
			*kind = (enum cfg_kind)i;
			return true;
		}
	}
	return false;
}

static void
clear_out(void *p)
{
	struct cfg_out *out = p;

	g_free((char *)out->name);
}

static void
clear_voter(void *p)
{
	struct cfg_voter *voter = p;

	g_free((char *)voter->failure_domain);
	g_free((char *)voter->address);
}

static void
clear_change(void *p)
{
	struct cfg_change *change = p;

	g_free((char *)change->change_id);
}

static GArray *
array_new(guint size, GDestroyNotify clear)
{
	GArray *array = g_array_new(FALSE, TRUE, size);

	g_array_set_clear_func(array, clear);
	return array;
}

bool
cfg_check_text(
    const char *name, const char *text, size_t len, struct status *st)
{
	struct cfg_text_parts parsed;
	bool ok;

	cfg_text_init(&parsed);
	ok = cfg_text_parse(name, text, len, &parsed, st);
	cfg_text_clear(&parsed);
	return ok;
}

static bool
read_outs(const struct jsonc_node *root, struct cfg *cfg, struct status *st)
{
	struct jsonc_node item;
	size_t i, n;

	if (!jsonc_array_length(root, "out", JSONC_REQUIRED, &n, st))
		return false;
	for (i = 0; i < n; i++) {
		struct cfg_out out = {0};
		char *kind = NULL, *name = NULL;
		bool ok;

		ok = jsonc_array_object(root, "out", i, &item, st) &&
		     jsonc_string(&item, "kind", JSONC_REQUIRED, &kind, st) &&
		     jsonc_name(&item, "name", JSONC_REQUIRED, &name, st);
		if (ok && !cfg_kind_parse(kind, &out.kind))
			ok = jsonc_error(&item, "kind", st,
			    "expected failure_domain, worker or service");
		g_free(kind);
		out.name = name;
		g_array_append_val(cfg->outs, out);
		if (!ok)
			return false;
	}
	return true;
}

/* Returns the string under key, or "" if there is none. */
static const char *
get_string(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_is_type(object, json_type_object) ||
	    !json_object_object_get_ex(object, key, &value) ||
	    jtx_text(value) == NULL)
		return "";
	return jtx_text(value);
}

static bool
read_voter(struct json_object *item, struct cfg_voter *voter, struct status *st)
{
	const char *domain = get_string(item, "failure_domain");
	const char *hex = get_string(item, "incarnation");
	struct json_object *ended = NULL;
	guint64 incarnation;

	if (!jsonc_is_name(domain) || !g_ascii_string_to_unsigned(hex, 16, 1,
					  UINT64_MAX, &incarnation, NULL)) {
		st_set(st, ST_INVALID, "voter \"%.64s\" \"%.64s\" is malformed",
		    domain, hex);
		return false;
	}
	json_object_object_get_ex(item, "ended", &ended);
	voter->failure_domain = g_strdup(domain);
	voter->incarnation = incarnation;
	voter->address = g_strdup(get_string(item, "address"));
	voter->ended = json_object_get_boolean(ended);
	return true;
}

static bool
read_changes(const struct jsonc_node *root, struct cfg *cfg, struct status *st)
{
	struct jsonc_node item;
	size_t i, n;

	if (!jsonc_array_length(root, "changes", JSONC_OPTIONAL, &n, st))
		return false;
	for (i = 0; i < n; i++) {
		struct cfg_change change;
		char *id = NULL;
		int64_t version = 0;
		bool ok;

		ok = jsonc_array_object(root, "changes", i, &item, st) &&
		     jsonc_string(&item, "id", JSONC_REQUIRED, &id, st) &&
		     jsonc_int(&item, "version", JSONC_REQUIRED, 1, INT64_MAX,
			 &version, st);
		change.change_id = id;
		change.version = (uint64_t)version;
		g_array_append_val(cfg->changes, change);
		if (!ok)
			return false;
	}
	return true;
}

static bool
read_voter_sets(
    const struct jsonc_node *root, struct cfg *cfg, struct status *st)
{
	struct json_object *sets, *set, *item;
	size_t i, j, n;

	if (!jsonc_array_length(root, "voter_sets", JSONC_REQUIRED, &n, st))
		return false;
	if (n > CFG_VOTER_SETS_MAX)
		return jsonc_error(root, "voter_sets", st,
		    "expected at most %d sets, got %zu", CFG_VOTER_SETS_MAX, n);
	json_object_object_get_ex(root->value, "voter_sets", &sets);
	for (i = 0; i < n; i++) {
		GArray *voters =
		    array_new(sizeof(struct cfg_voter), clear_voter);

		g_ptr_array_add(cfg->voter_sets, voters);
		set = json_object_array_get_idx(sets, i);
		if (!json_object_is_type(set, json_type_array))
			return jsonc_error(
			    root, "voter_sets", st, "expected arrays");
		for (j = 0; j < json_object_array_length(set); j++) {
			struct cfg_voter voter;

			item = json_object_array_get_idx(set, j);
			if (!read_voter(item, &voter, st))
				return false;
			g_array_append_val(voters, voter);
		}
	}
	return true;
}

static bool
read_document(const struct jsonc_node *root, struct cfg *cfg, struct status *st)
{
	static const char *const keys[] = {"version", "change_id", "text",
	    "out", "voter_sets", "changes", NULL};
	int64_t version = 0;

	if (!jsonc_check_keys(root, keys, st) ||
	    !jsonc_int(
		root, "version", JSONC_REQUIRED, 1, INT64_MAX, &version, st) ||
	    !jsonc_string(
		root, "change_id", JSONC_REQUIRED, &cfg->change_id, st) ||
	    !jsonc_string(root, "text", JSONC_REQUIRED, &cfg->text, st) ||
	    !read_outs(root, cfg, st) || !read_voter_sets(root, cfg, st) ||
	    !read_changes(root, cfg, st))
		return false;
	cfg->version = (uint64_t)version;
	if (strlen(cfg->change_id) > CFG_CHANGE_ID_MAX)
		return jsonc_error(root, "change_id", st,
		    "expected at most %d characters", CFG_CHANGE_ID_MAX);
	return cfg_text_parse(
	    "config", cfg->text, strlen(cfg->text), &cfg->parsed, st);
}

/* Parses a stored document; the caller owns the returned reference. */
struct cfg *
cfg_parse(const char *document, size_t len, struct status *st)
{
	struct jsonc *doc = jsonc_parse("document", document, len, st);
	struct jsonc_node root;
	struct cfg *cfg;
	bool ok;

	if (doc == NULL)
		return NULL;
	cfg = g_new0(struct cfg, 1);
	cfg->refs = 1;
	cfg->outs = array_new(sizeof(struct cfg_out), clear_out);
	cfg->voter_sets =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	cfg->changes = array_new(sizeof(struct cfg_change), clear_change);
	cfg->document = g_strndup(document, len);
	cfg->document_len = len;
	cfg_text_init(&cfg->parsed);
	ok = jsonc_root(doc, &root, st) && read_document(&root, cfg, st);
	jsonc_free(doc);
	if (ok)
		return cfg;
	cfg_unref(cfg);
	return NULL;
}

static struct json_object *
write_voters(const struct cfg_voter_set *set)
{
	struct json_object *array = json_object_new_array();
	char hex[17];
	size_t i;

	for (i = 0; i < set->n; i++) {
		struct json_object *item = json_object_new_object();

		snprintf(hex, sizeof(hex), "%016" PRIx64,
		    set->voters[i].incarnation);
		json_object_object_add(item, "failure_domain",
		    json_object_new_string(set->voters[i].failure_domain));
		json_object_object_add(
		    item, "incarnation", json_object_new_string(hex));
		if (set->voters[i].address != NULL &&
		    set->voters[i].address[0] != '\0')
			json_object_object_add(item, "address",
			    json_object_new_string(set->voters[i].address));
		if (set->voters[i].ended)
			json_object_object_add(
			    item, "ended", json_object_new_boolean(1));
		json_object_array_add(array, item);
	}
	return array;
}

static struct json_object *
write_changes(const struct cfg_parts *parts)
{
	struct json_object *array = json_object_new_array();
	size_t i;

	for (i = 0; i < parts->n_changes; i++) {
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "id",
		    json_object_new_string(parts->changes[i].change_id));
		json_object_object_add(item, "version",
		    json_object_new_int64((int64_t)parts->changes[i].version));
		json_object_array_add(array, item);
	}
	return array;
}

char *
cfg_write(const struct cfg_parts *parts)
{
	struct json_object *root = json_object_new_object();
	struct json_object *outs = json_object_new_array();
	struct json_object *sets = json_object_new_array();
	char *document;
	size_t i;

	for (i = 0; i < parts->n_outs; i++) {
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "kind",
		    json_object_new_string(kind_names[parts->outs[i].kind]));
		json_object_object_add(
		    item, "name", json_object_new_string(parts->outs[i].name));
		json_object_array_add(outs, item);
	}
	for (i = 0; i < parts->n_voter_sets; i++)
		json_object_array_add(
		    sets, write_voters(&parts->voter_sets[i]));
	json_object_object_add(
	    root, "version", json_object_new_int64((int64_t)parts->version));
	json_object_object_add(
	    root, "change_id", json_object_new_string(parts->change_id));
	json_object_object_add(
	    root, "text", json_object_new_string(parts->text));
	json_object_object_add(root, "out", outs);
	json_object_object_add(root, "voter_sets", sets);
	json_object_object_add(root, "changes", write_changes(parts));
	document = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return document;
}

struct cfg *
cfg_ref(struct cfg *cfg)
{
	cfg->refs++;
	return cfg;
}

void
cfg_unref(struct cfg *cfg)
{
	if (cfg == NULL || --cfg->refs > 0)
		return;
	cfg_text_clear(&cfg->parsed);
	g_array_free(cfg->outs, TRUE);
	g_ptr_array_free(cfg->voter_sets, TRUE);
	g_array_free(cfg->changes, TRUE);
	g_free(cfg->change_id);
	g_free(cfg->text);
	g_free(cfg->document);
	g_free(cfg);
}

uint64_t
cfg_version(const struct cfg *cfg)
{
	return cfg->version;
}

const char *
cfg_document(const struct cfg *cfg, size_t *len)
{
	*len = cfg->document_len;
	return cfg->document;
}

const char *
cfg_text(const struct cfg *cfg)
{
	return cfg->text;
}

const char *
cfg_change_id(const struct cfg *cfg)
{
	return cfg->change_id;
}

/* Returns true if operators have taken this object out of service. */
bool
cfg_is_out(const struct cfg *cfg, enum cfg_kind kind, const char *name)
{
	guint i;

	for (i = 0; i < cfg->outs->len; i++) {
		const struct cfg_out *out =
		    &g_array_index(cfg->outs, struct cfg_out, i);

		if (out->kind == kind && strcmp(out->name, name) == 0)
			return true;
	}
	return false;
}

const struct cfg_service *
cfg_services(const struct cfg *cfg, size_t *n)
{
	*n = cfg->parsed.services->len;
	return (const struct cfg_service *)cfg->parsed.services->data;
}

const struct cfg_service *
cfg_service(const struct cfg *cfg, const char *name)
{
	return cfg_find(cfg->parsed.services, name);
}

const struct cfg_team *
cfg_team(const struct cfg *cfg, const char *name)
{
	return cfg_find(cfg->parsed.teams, name);
}

const struct cfg_domain *
cfg_domains(const struct cfg *cfg, size_t *n)
{
	*n = cfg->parsed.domains->len;
	return (const struct cfg_domain *)cfg->parsed.domains->data;
}

const struct cfg_change *
cfg_changes(const struct cfg *cfg, size_t *n)
{
	*n = cfg->changes->len;
	return (const struct cfg_change *)cfg->changes->data;
}

uint64_t
cfg_change_version(const struct cfg *cfg, const char *change_id)
{
	const struct cfg_change *change = cfg_find(cfg->changes, change_id);

	return change == NULL ? 0 : change->version;
}

const struct cfg_out *
cfg_outs(const struct cfg *cfg, size_t *n)
{
	*n = cfg->outs->len;
	return (const struct cfg_out *)cfg->outs->data;
}

size_t
cfg_voter_sets(const struct cfg *cfg)
{
	return cfg->voter_sets->len;
}

const struct cfg_voter *
cfg_voters(const struct cfg *cfg, size_t set, size_t *n)
{
	const GArray *voters = g_ptr_array_index(cfg->voter_sets, set);

	*n = voters->len;
	return (const struct cfg_voter *)voters->data;
}

static const char *
blocked_dependency(const struct cfg *cfg, const struct cfg_service *service,
    cfg_is_live_fn is_live, void *ctx, GHashTable *seen)
{
	const struct cfg_service *dep;
	const char *blocked;
	size_t i;

	for (i = 0; service->depends_on[i] != NULL; i++) {
		dep = cfg_service(cfg, service->depends_on[i]);
		if (!g_hash_table_add(seen, (char *)dep->name))
			continue;
		if (cfg_is_out(cfg, CFG_SERVICE, dep->name))
			return dep->name;
		if (!dep->external && !is_live(dep->name, ctx))
			return dep->name;
		blocked = blocked_dependency(cfg, dep, is_live, ctx, seen);
		if (blocked != NULL)
			return blocked;
	}
	return NULL;
}

/* A service that the operators' text does not list counts as not blocked. */
const char *
cfg_blocked_by(const struct cfg *cfg, const char *service,
    cfg_is_live_fn is_live, void *ctx)
{
	const struct cfg_service *found = cfg_service(cfg, service);
	GHashTable *seen;
	const char *blocked;

	if (found == NULL)
		return NULL;
	if (cfg_is_out(cfg, CFG_SERVICE, service))
		return found->name;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	blocked = blocked_dependency(cfg, found, is_live, ctx, seen);
	g_hash_table_destroy(seen);
	return blocked;
}
