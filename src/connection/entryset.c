#include <glib.h>
#include <string.h>

#include "connection/entryset.h"

#define REVIEW_MS 1000 /* links that became idle are closed then */

struct es {
	struct es_options opts;
	GPtrArray *links; /* struct el */
	guint choose_id;
	guint review_id;
};

/* A place to connect to; entry is 0 for a seed. */
struct target {
	const char *address;
	uint64_t entry;
	uint64_t score;
	bool local;
};

/* FNV-1a with a final mix; stable over processes and versions. */
static uint64_t
hash_pair(const char *a, const char *b)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	for (; *a != '\0'; a++)
		hash = (hash ^ (unsigned char)*a) * 0x100000001b3ULL;
	hash = (hash ^ 0xff) * 0x100000001b3ULL;
	for (; *b != '\0'; b++)
		hash = (hash ^ (unsigned char)*b) * 0x100000001b3ULL;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdULL;
	hash ^= hash >> 33;
	return hash;
}

static gint
compare_targets(gconstpointer left, gconstpointer right)
{
	const struct target *a = left, *b = right;

	if (a->local != b->local)
		return a->local ? -1 : 1;
	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return 0;
}

static bool
has_target(const GArray *targets, const char *address, uint64_t entry)
{
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct target *t =
		    &g_array_index(targets, struct target, i);

		if (strcmp(t->address, address) == 0 ||
		    (entry != 0 && t->entry == entry))
			return true;
	}
	return false;
}

static void
add_members(const struct es *es, const struct el *el, GArray *targets)
{
	const struct wire_member *members;
	size_t n, i;

	members = el_members(el, &n);
	for (i = 0; i < n; i++) {
		const struct wire_member *m = &members[i];
		struct target t = {
		    .address = m->address,
		    .entry = m->incarnation,
		    .score = hash_pair(es->opts.worker, m->address),
		    .local =
			strcmp(m->failure_domain, es->opts.failure_domain) == 0,
		};

		if (!has_target(targets, t.address, t.entry))
			g_array_append_val(targets, t);
	}
}

/* The entries to be connected to, best first. */
static GArray *
wanted(const struct es *es)
{
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(struct target));
	bool any_open = es_open_links(es) > 0;
	size_t i;

	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		if (el_is_open(el) || !any_open)
			add_members(es, el, targets);
	}
	g_array_sort(targets, compare_targets);
	if (targets->len > es->opts.max_links)
		g_array_set_size(targets, es->opts.max_links);
	if (any_open && targets->len > 0)
		return targets;
	for (i = 0; es->opts.seeds[i] != NULL; i++) {
		struct target t = {.address = es->opts.seeds[i]};

		if (!has_target(targets, t.address, 0))
			g_array_append_val(targets, t);
	}
	return targets;
}

static bool
serves(const struct el *el, const struct target *t)
{
	return strcmp(el_address(el), t->address) == 0 ||
	       (t->entry != 0 && el_entry_incarnation(el) == t->entry &&
		   el_is_open(el));
}

static bool
is_wanted(const struct el *el, const GArray *targets)
{
	guint i;

	for (i = 0; i < targets->len; i++) {
		if (serves(el, &g_array_index(targets, struct target, i)))
			return true;
	}
	return false;
}

static void
ensure_link(struct es *es, const struct target *t)
{
	struct el_options opts = es->opts.link;
	guint i;

	for (i = 0; i < es->links->len; i++) {
		if (serves(es->links->pdata[i], t))
			return;
	}
	opts.address = t->address;
	g_ptr_array_add(es->links, el_new(&opts));
}

/* Reports whether every wanted entry is connected. */
static bool
all_open(const struct es *es, const GArray *targets)
{
	guint i, open = 0;

	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		open += el_is_open(el) && is_wanted(el, targets);
	}
	return open >= targets->len;
}

/*
 * An open link that is not wanted stays until all wanted ones are open.  An
 * entry that does not list itself yet would otherwise be dropped and dialled
 * again as a seed, without end.
 */
static bool
is_surplus(const struct es *es, struct el *el, const GArray *targets)
{
	if (is_wanted(el, targets))
		return false;
	return !el_is_open(el) ||
	       (all_open(es, targets) &&
		   es->opts.is_idle(el_entry_incarnation(el), es->opts.ctx));
}

static gboolean
on_choose(gpointer data)
{
	struct es *es = data;
	GArray *targets = wanted(es);
	GPtrArray *surplus = g_ptr_array_new();
	guint i;

	es->choose_id = 0;
	for (i = 0; i < targets->len; i++)
		ensure_link(es, &g_array_index(targets, struct target, i));
	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		if (is_surplus(es, el, targets))
			g_ptr_array_add(surplus, el);
	}
	g_array_unref(targets); /* refers to the lists of the links */
	for (i = 0; i < surplus->len; i++) {
		g_ptr_array_remove_fast(es->links, surplus->pdata[i]);
		el_free(surplus->pdata[i]);
	}
	g_ptr_array_unref(surplus);
	return G_SOURCE_REMOVE;
}

/* Asks for a new choice; links are never freed within a callback of theirs. */
void
es_reselect(struct es *es)
{
	if (es->choose_id == 0)
		es->choose_id =
		    g_idle_add_full(G_PRIORITY_DEFAULT, on_choose, es, NULL);
}

static gboolean
on_review(gpointer data)
{
	es_reselect(data);
	return G_SOURCE_CONTINUE;
}

/* Makes the set and dials the seeds from the main loop. */
struct es *
es_new(const struct es_options *opts)
{
	struct es *es = g_new0(struct es, 1);

	es->opts = *opts;
	es->links = g_ptr_array_new();
	es->review_id = g_timeout_add(REVIEW_MS, on_review, es);
	es_reselect(es);
	return es;
}

/* Closes and frees all links. */
void
es_free(struct es *es)
{
	guint i;

	if (es == NULL)
		return;
	g_clear_handle_id(&es->choose_id, g_source_remove);
	g_clear_handle_id(&es->review_id, g_source_remove);
	for (i = 0; i < es->links->len; i++)
		el_free(es->links->pdata[i]);
	g_ptr_array_unref(es->links);
	g_free(es);
}

/* Returns the open link to an entry incarnation. */
struct el *
es_find(const struct es *es, uint64_t entry)
{
	guint i;

	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		if (el_is_open(el) && el_entry_incarnation(el) == entry)
			return el;
	}
	return NULL;
}

/* Reports whether a connected entry lists this incarnation. */
bool
es_is_listed(const struct es *es, uint64_t entry)
{
	const struct wire_member *members;
	size_t n, j;
	guint i;

	for (i = 0; i < es->links->len; i++) {
		if (!el_is_open(es->links->pdata[i]))
			continue;
		members = el_members(es->links->pdata[i], &n);
		for (j = 0; j < n; j++) {
			if (members[j].incarnation == entry)
				return true;
		}
	}
	return false;
}

/* Returns the number of open links. */
uint32_t
es_open_links(const struct es *es)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < es->links->len; i++)
		n += el_is_open(es->links->pdata[i]);
	return n;
}

/* Runs fn for each link, open or not. */
void
es_each(const struct es *es, es_link_fn fn, void *ctx)
{
	guint i;

	for (i = 0; i < es->links->len; i++)
		fn(es->links->pdata[i], ctx);
}
