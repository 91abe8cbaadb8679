#include <string.h>

#include "config_text.h"
#include "process/jsonc.h"

#define MAX_LIMIT     100000000
#define MAX_MEMORY_MB 1000000000LL

static void
clear_domain(void *p)
{
	struct cfg_domain *domain = p;

	g_free((char *)domain->name);
	g_free((char *)domain->region);
}

static void
clear_service(void *p)
{
	struct cfg_service *service = p;

	g_free((char *)service->name);
	g_strfreev((char **)service->depends_on);
}

static void
clear_team(void *p)
{
	struct cfg_team *team = p;

	g_free((char *)team->name);
}

static GArray *
array_new(guint size, GDestroyNotify clear)
{
	GArray *array = g_array_new(FALSE, TRUE, size);

	g_array_set_clear_func(array, clear);
	return array;
}

void
cfg_text_init(struct cfg_text_parts *text)
{
	text->domains = array_new(sizeof(struct cfg_domain), clear_domain);
	text->services = array_new(sizeof(struct cfg_service), clear_service);
	text->teams = array_new(sizeof(struct cfg_team), clear_team);
}

void
cfg_text_clear(struct cfg_text_parts *text)
{
	g_array_free(text->domains, TRUE);
	g_array_free(text->services, TRUE);
	g_array_free(text->teams, TRUE);
}

void *
cfg_find(const GArray *array, const char *name)
{
	guint i, size = g_array_get_element_size((GArray *)array);

	for (i = 0; i < array->len; i++) {
		void *element = array->data + (size_t)i * size;

		if (strcmp(*(const char **)element, name) == 0)
			return element;
	}
	return NULL;
}

/* Reads the name of an item, which must differ from those of earlier items. */
static bool
read_unique_name(const struct jsonc_node *item, const GArray *array,
    const char **out, struct status *st)
{
	char *name = NULL;

	if (!jsonc_name(item, "name", JSONC_REQUIRED, &name, st)) {
		g_free(name);
		return false;
	}
	if (cfg_find(array, name) != NULL) {
		jsonc_error(
		    item, "name", st, "\"%s\" is already defined", name);
		g_free(name);
		return false;
	}
	*out = name;
	return true;
}

static bool
read_domain(const struct jsonc_node *item, struct cfg_text_parts *text,
    char **regions, struct status *st)
{
	static const char *const keys[] = {"name", "region", "entries", NULL};
	struct cfg_domain domain = {0};
	char *region = g_strdup("");
	bool ok;

	ok = jsonc_check_keys(item, keys, st) &&
	     read_unique_name(item, text->domains, &domain.name, st) &&
	     jsonc_name(item, "region", JSONC_OPTIONAL, &region, st) &&
	     jsonc_bool(item, "entries", JSONC_OPTIONAL, &domain.entries, st);
	if (ok && regions != NULL && region[0] != '\0' &&
	    !g_strv_contains((const char *const *)regions, region))
		ok = jsonc_error(
		    item, "region", st, "unknown region \"%s\"", region);
	domain.region = region;
	g_array_append_val(text->domains, domain);
	return ok;
}

static bool
read_limit(const struct jsonc_node *node, const char *key, uint32_t *out,
    struct status *st)
{
	int64_t n = *out;

	if (!jsonc_int(node, key, JSONC_OPTIONAL, 1, MAX_LIMIT, &n, st))
		return false;
	*out = (uint32_t)n;
	return true;
}

static bool
read_limits(const struct jsonc_node *node, struct cfg_service *limits,
    struct status *st)
{
	int64_t memory_mb = (int64_t)limits->max_memory_mb;

	if (!read_limit(node, "max_in_flight", &limits->max_in_flight, st) ||
	    !read_limit(node, "max_queue", &limits->max_queue, st) ||
	    !read_limit(node, "max_cores", &limits->max_cores, st) ||
	    !jsonc_int(node, "max_memory_mb", JSONC_OPTIONAL, 1, MAX_MEMORY_MB,
		&memory_mb, st))
		return false;
	limits->max_memory_mb = (uint64_t)memory_mb;
	return true;
}

static bool
read_service(const struct jsonc_node *item, struct cfg_text_parts *text,
    const struct cfg_service *defaults, struct status *st)
{
	static const char *const keys[] = {"name", "depends_on", "external",
	    "max_in_flight", "max_queue", "max_cores", "max_memory_mb", NULL};
	struct cfg_service service = *defaults;
	char **depends_on = g_new0(char *, 1);
	bool ok;

	ok = jsonc_check_keys(item, keys, st) &&
	     read_unique_name(item, text->services, &service.name, st) &&
	     jsonc_strings(
		 item, "depends_on", JSONC_OPTIONAL, &depends_on, st) &&
	     jsonc_bool(
		 item, "external", JSONC_OPTIONAL, &service.external, st) &&
	     read_limits(item, &service, st);
	service.depends_on = (const char *const *)depends_on;
	g_array_append_val(text->services, service);
	return ok;
}

static bool
read_team(const struct jsonc_node *item, struct cfg_text_parts *text,
    struct status *st)
{
	static const char *const keys[] = {"name", "max_in_flight", NULL};
	struct cfg_team team = {0};
	bool ok;

	ok = jsonc_check_keys(item, keys, st) &&
	     read_unique_name(item, text->teams, &team.name, st) &&
	     read_limit(item, "max_in_flight", &team.max_in_flight, st);
	g_array_append_val(text->teams, team);
	return ok;
}

/* Reads "limits", the default limits of all services. */
static bool
read_default_limits(const struct jsonc_node *root, struct cfg_service *defaults,
    struct status *st)
{
	static const char *const keys[] = {
	    "max_in_flight", "max_queue", "max_cores", "max_memory_mb", NULL};
	struct jsonc_node node;

	memset(defaults, 0, sizeof(*defaults));
	if (!jsonc_has(root, "limits"))
		return true;
	return jsonc_object(root, "limits", &node, st) &&
	       jsonc_check_keys(&node, keys, st) &&
	       read_limits(&node, defaults, st);
}

static bool
read_items(const struct jsonc_node *root, struct cfg_text_parts *text,
    char **regions, const struct cfg_service *defaults, struct status *st)
{
	struct jsonc_node item;
	size_t i, n;

	if (!jsonc_array_length(
		root, "failure_domains", JSONC_REQUIRED, &n, st))
		return false;
	for (i = 0; i < n; i++) {
		if (!jsonc_array_object(
			root, "failure_domains", i, &item, st) ||
		    !read_domain(&item, text, regions, st))
			return false;
	}
	if (!jsonc_array_length(root, "services", JSONC_REQUIRED, &n, st))
		return false;
	for (i = 0; i < n; i++) {
		if (!jsonc_array_object(root, "services", i, &item, st) ||
		    !read_service(&item, text, defaults, st))
			return false;
	}
	if (!jsonc_array_length(root, "teams", JSONC_OPTIONAL, &n, st))
		return false;
	for (i = 0; i < n; i++) {
		if (!jsonc_array_object(root, "teams", i, &item, st) ||
		    !read_team(&item, text, st))
			return false;
	}
	return true;
}

enum mark { UNVISITED, VISITING, VISITED };

/*
 * Depth-first search from a service; a dependency that is still being visited
 * closes a cycle.
 */
static bool
check_cycle(const struct jsonc_node *root, const GArray *services, guint i,
    enum mark *marks, struct status *st)
{
	const struct cfg_service *all = (const void *)services->data;
	const struct cfg_service *dep;
	struct jsonc_node item;
	guint j, d;

	marks[i] = VISITING;
	for (j = 0; all[i].depends_on[j] != NULL; j++) {
		dep = cfg_find(services, all[i].depends_on[j]);
		d = (guint)(dep - all);
		if (marks[d] == VISITING) {
			jsonc_array_object(root, "services", i, &item, st);
			return jsonc_error(&item, "depends_on", st,
			    "dependency on \"%s\" closes a cycle", dep->name);
		}
		if (marks[d] == UNVISITED &&
		    !check_cycle(root, services, d, marks, st))
			return false;
	}
	marks[i] = VISITED;
	return true;
}

static bool
check_dependencies(
    const struct jsonc_node *root, const GArray *services, struct status *st)
{
	const struct cfg_service *all = (const void *)services->data;
	struct jsonc_node item;
	enum mark *marks;
	guint i, j;
	bool ok = true;

	for (i = 0; i < services->len; i++) {
		for (j = 0; all[i].depends_on[j] != NULL; j++) {
			if (cfg_find(services, all[i].depends_on[j]) != NULL)
				continue;
			jsonc_array_object(root, "services", i, &item, st);
			return jsonc_error(&item, "depends_on", st,
			    "unknown service \"%.80s\"", all[i].depends_on[j]);
		}
	}
	marks = g_new0(enum mark, services->len + 1);
	for (i = 0; ok && i < services->len; i++) {
		if (marks[i] == UNVISITED)
			ok = check_cycle(root, services, i, marks, st);
	}
	g_free(marks);
	return ok;
}

/*
 * Parses an operators' text into *text, which the caller frees with
 * cfg_text_clear() even after an error.
 */
bool
cfg_text_parse(const char *name, const char *bytes, size_t len,
    struct cfg_text_parts *text, struct status *st)
{
	static const char *const keys[] = {
	    "regions", "failure_domains", "services", "teams", "limits", NULL};
	struct jsonc *doc = jsonc_parse(name, bytes, len, st);
	struct cfg_service defaults;
	struct jsonc_node root;
	char **regions = NULL;
	bool ok;

	if (doc == NULL)
		return false;
	ok = jsonc_root(doc, &root, st) && jsonc_check_keys(&root, keys, st) &&
	     jsonc_strings(&root, "regions", JSONC_OPTIONAL, &regions, st) &&
	     read_default_limits(&root, &defaults, st) &&
	     read_items(&root, text, regions, &defaults, st) &&
	     check_dependencies(&root, text->services, st);
	g_strfreev(regions);
	jsonc_free(doc);
	return ok;
}
