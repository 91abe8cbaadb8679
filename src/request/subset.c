#include <string.h>

#include "request/rendezvous.h"
#include "request/subset.h"

/* Agents of each kind of worker that are chosen at least. */
#define MIN_PER_KIND 8
/* Agents that are chosen for a wanted label at least, and for how long. */
#define MIN_PER_LABEL	 8
#define LABEL_TIMEOUT_MS 30000
/*
 * Limit of chosen agents, usable or not, in multiples of the usable ones
 * wanted: when most agents are down, an entry must not try all of them.
 */
#define MAX_TRIED_FACTOR 3
/*
 * Entries that should be connected to an agent: with fewer, the load of an
 * entry may exceed what its agents can take while others are idle.  The number
 * of chosen agents grows below MIN_SESSIONS and shrinks above MAX_SESSIONS.
 */
#define MIN_SESSIONS 12.0
#define MAX_SESSIONS 24.0

struct member {
	char *address;
	char *service;
	char *kind;
	char *failure_domain;
	char **labels;
	uint64_t score;
	bool local;
};

struct wanted {
	char *service;
	char *label;
	int64_t until_ms;
};

struct sub {
	struct sub_options opts;
	char *entry;
	char *failure_domain;
	GHashTable *members; /* address to struct member */
	GPtrArray *sorted;   /* by service, kind and falling score; borrowed */
	bool is_sorted;
	GPtrArray *wanted; /* struct wanted */
	uint32_t size;
};

static void
member_free(gpointer data)
{
	struct member *m = data;

	g_free(m->address);
	g_free(m->service);
	g_free(m->kind);
	g_free(m->failure_domain);
	g_strfreev(m->labels);
	g_free(m);
}

static void
wanted_free(gpointer data)
{
	struct wanted *wanted = data;

	g_free(wanted->service);
	g_free(wanted->label);
	g_free(wanted);
}

struct sub *
sub_new(const struct sub_options *opts)
{
	struct sub *sub = g_new0(struct sub, 1);

	sub->opts = *opts;
	sub->entry = g_strdup(opts->entry);
	sub->failure_domain = g_strdup(opts->failure_domain);
	sub->size = opts->size;
	sub->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	sub->sorted = g_ptr_array_new();
	sub->wanted = g_ptr_array_new_with_free_func(wanted_free);
	return sub;
}

void
sub_free(struct sub *sub)
{
	if (sub == NULL)
		return;
	g_ptr_array_unref(sub->sorted);
	g_ptr_array_unref(sub->wanted);
	g_hash_table_unref(sub->members);
	g_free(sub->entry);
	g_free(sub->failure_domain);
	g_free(sub);
}

void
sub_put(struct sub *sub, const struct sub_agent *agent)
{
	struct member *m = g_new0(struct member, 1);
	size_t i;

	m->address = g_strdup(agent->address);
	m->service = g_strdup(agent->service);
	m->kind = g_strdup(agent->n_labels > 0 ? agent->labels[0] : "");
	m->failure_domain = g_strdup(agent->failure_domain);
	m->labels = g_new0(char *, agent->n_labels + 1);
	for (i = 0; i < agent->n_labels; i++)
		m->labels[i] = g_strdup(agent->labels[i]);
	m->score = rdv_score(sub->entry, agent->address);
	m->local = strcmp(agent->failure_domain, sub->failure_domain) == 0;
	g_hash_table_replace(sub->members, m->address, m);
	sub->is_sorted = false;
}

void
sub_remove(struct sub *sub, const char *address)
{
	if (g_hash_table_remove(sub->members, address))
		sub->is_sorted = false;
}

uint32_t
sub_count(const struct sub *sub)
{
	return g_hash_table_size(sub->members);
}

static gint
compare_members(gconstpointer left, gconstpointer right)
{
	const struct member *a = *(const struct member *const *)left;
	const struct member *b = *(const struct member *const *)right;
	int order = strcmp(a->service, b->service);

	if (order == 0)
		order = strcmp(a->kind, b->kind);
	if (order != 0)
		return order;
	return (a->score < b->score) - (a->score > b->score);
}

static void
sort_members(struct sub *sub)
{
	GHashTableIter iter;
	gpointer value;

	if (sub->is_sorted)
		return;
	g_ptr_array_set_size(sub->sorted, 0);
	g_hash_table_iter_init(&iter, sub->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(sub->sorted, value);
	g_ptr_array_sort(sub->sorted, compare_members);
	sub->is_sorted = true;
}

static bool
has_label(const struct member *m, const char *label)
{
	return g_strv_contains((const char *const *)m->labels, label);
}

bool
sub_want_label(
    struct sub *sub, const char *service, const char *label, int64_t now_ms)
{
	struct wanted *wanted;
	bool known = false;
	guint i;

	sort_members(sub);
	for (i = 0; i < sub->sorted->len && !known; i++) {
		const struct member *m = sub->sorted->pdata[i];

		known = strcmp(m->service, service) == 0 && has_label(m, label);
	}
	if (!known)
		return false;
	for (i = 0; i < sub->wanted->len; i++) {
		wanted = sub->wanted->pdata[i];
		if (strcmp(wanted->service, service) != 0 ||
		    strcmp(wanted->label, label) != 0)
			continue;
		wanted->until_ms = now_ms + LABEL_TIMEOUT_MS;
		return true;
	}
	wanted = g_new0(struct wanted, 1);
	wanted->service = g_strdup(service);
	wanted->label = g_strdup(label);
	wanted->until_ms = now_ms + LABEL_TIMEOUT_MS;
	g_ptr_array_add(sub->wanted, wanted);
	return true;
}

void
sub_adapt(struct sub *sub, double mean_sessions)
{
	uint32_t n = sub_count(sub);

	if (mean_sessions < MIN_SESSIONS && sub->size < n)
		sub->size = MIN(n, sub->size + sub->size / 4 + 1);
	else if (mean_sessions > MAX_SESSIONS)
		sub->size = MAX(sub->opts.size, sub->size - sub->size / 4);
}

/* A range of sub->sorted with the same service and kind. */
struct range {
	guint begin, end;
};

/*
 * Adds the member to the choice if it is worth a connection; returns whether
 * tasks can be sent to it.
 */
static bool
choose(const struct sub *sub, GHashTable *chosen, struct member *m)
{
	enum sub_state state =
	    sub->opts.state(m->address, m->failure_domain, sub->opts.ctx);

	if (state != SUB_UNUSABLE)
		g_hash_table_add(chosen, m->address);
	return state == SUB_USABLE;
}

/*
 * Chooses members of the range by falling score until quota usable ones are
 * chosen; returns their number.
 */
static uint32_t
choose_best(const struct sub *sub, GHashTable *chosen,
    const struct range *range, uint32_t quota, bool local_only)
{
	guint n_before = g_hash_table_size(chosen);
	uint32_t n = 0;
	guint i;

	for (i = range->begin; i < range->end && n < quota; i++) {
		struct member *m = sub->sorted->pdata[i];

		if (g_hash_table_size(chosen) - n_before >=
		    quota * MAX_TRIED_FACTOR)
			break;
		if ((local_only && !m->local) ||
		    g_hash_table_contains(chosen, m->address))
			continue;
		if (choose(sub, chosen, m))
			n++;
	}
	return n;
}

/*
 * Half of the choice comes from the entry's own failure domain, whose messages
 * are faster and cheaper; the other half evens out the load of the domains.
 */
static void
choose_range(const struct sub *sub, GHashTable *chosen,
    const struct range *range, uint32_t n_service)
{
	uint32_t n = range->end - range->begin;
	uint32_t share =
	    (uint32_t)(((uint64_t)sub->size * n + n_service - 1) / n_service);
	uint32_t quota = MIN(n, MAX(MIN_PER_KIND, share));
	uint32_t n_local =
	    choose_best(sub, chosen, range, (quota + 1) / 2, true);

	choose_best(sub, chosen, range, quota - n_local, false);
}

static guint
range_end(const struct sub *sub, guint begin, bool same_kind)
{
	const struct member *first = sub->sorted->pdata[begin];
	guint i;

	for (i = begin; i < sub->sorted->len; i++) {
		const struct member *m = sub->sorted->pdata[i];

		if (strcmp(m->service, first->service) != 0 ||
		    (same_kind && strcmp(m->kind, first->kind) != 0))
			break;
	}
	return i;
}

static void
choose_service(
    const struct sub *sub, GHashTable *chosen, const struct range *service)
{
	struct range kind = {.begin = service->begin};

	for (; kind.begin < service->end; kind.begin = kind.end) {
		kind.end = range_end(sub, kind.begin, true);
		choose_range(sub, chosen, &kind, service->end - service->begin);
	}
}

static void
choose_wanted(
    const struct sub *sub, GHashTable *chosen, const struct wanted *wanted)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < sub->sorted->len && n < MIN_PER_LABEL; i++) {
		struct member *m = sub->sorted->pdata[i];

		if (strcmp(m->service, wanted->service) == 0 &&
		    has_label(m, wanted->label) && choose(sub, chosen, m))
			n++;
	}
}

GHashTable *
sub_choose(struct sub *sub, int64_t now_ms)
{
	GHashTable *chosen = g_hash_table_new(g_str_hash, g_str_equal);
	struct range service = {0};
	guint i;

	sort_members(sub);
	for (; service.begin < sub->sorted->len; service.begin = service.end) {
		service.end = range_end(sub, service.begin, false);
		choose_service(sub, chosen, &service);
	}
	for (i = sub->wanted->len; i > 0; i--) {
		const struct wanted *wanted = sub->wanted->pdata[i - 1];

		if (wanted->until_ms < now_ms)
			g_ptr_array_remove_index_fast(sub->wanted, i - 1);
		else
			choose_wanted(sub, chosen, wanted);
	}
	return chosen;
}
