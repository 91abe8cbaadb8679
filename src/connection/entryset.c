#include <glib.h>
#include <string.h>

#include "connection/entryset.h"
#include "request/rendezvous.h"

/* Interval of the selection, which also closes surplus links that are idle. */
#define RESELECT_INTERVAL_MS 1000

struct es {
	struct es_options opts;
	GPtrArray *links; /* struct el */
	guint reselect_id;
	guint reselect_timer_id;
};

/* An entry to connect to; its incarnation (entry) is 0 for a seed. */
struct target {
	const char *address;
	uint64_t entry;
	uint64_t score;
	bool local;
};

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
		    .score = rdv_score(es->opts.worker, m->address),
		    .local =
			strcmp(m->failure_domain, es->opts.failure_domain) == 0,
		};

		if (!has_target(targets, t.address, t.entry))
			g_array_append_val(targets, t);
	}
}

/* Returns the entries to connect to, the preferred ones first. */
static GArray *
select_targets(const struct es *es)
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
is_link_to(const struct el *el, const struct target *t)
{
	return strcmp(el_address(el), t->address) == 0 ||
	       (t->entry != 0 && el_entry_incarnation(el) == t->entry &&
		   el_is_open(el));
}

static bool
is_selected(const struct el *el, const GArray *targets)
{
	guint i;

	for (i = 0; i < targets->len; i++) {
		if (is_link_to(el, &g_array_index(targets, struct target, i)))
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
		if (is_link_to(es->links->pdata[i], t))
			return;
	}
	opts.address = t->address;
	g_ptr_array_add(es->links, el_new(&opts));
}

/* Reports whether every selected entry is connected. */
static bool
all_open(const struct es *es, const GArray *targets)
{
	guint i, open = 0;

	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		open += el_is_open(el) && is_selected(el, targets);
	}
	return open >= targets->len;
}

/*
 * An open link to an entry that is not selected is kept until the links to all
 * selected ones are open.  Otherwise an entry that does not list itself yet
 * would be disconnected and dialled again as a seed in an endless loop.
 */
static bool
is_surplus(const struct es *es, struct el *el, const GArray *targets)
{
	if (is_selected(el, targets))
		return false;
	return !el_is_open(el) ||
	       (all_open(es, targets) &&
		   es->opts.is_idle(el_entry_incarnation(el), es->opts.ctx));
}

static gboolean
on_reselect(gpointer data)
{
	struct es *es = data;
	GArray *targets = select_targets(es);
	GPtrArray *surplus = g_ptr_array_new();
	guint i;

	es->reselect_id = 0;
	for (i = 0; i < targets->len; i++)
		ensure_link(es, &g_array_index(targets, struct target, i));
	for (i = 0; i < es->links->len; i++) {
		struct el *el = es->links->pdata[i];

		if (is_surplus(es, el, targets))
			g_ptr_array_add(surplus, el);
	}
	g_array_unref(targets); /* points into lists owned by the links */
	for (i = 0; i < surplus->len; i++) {
		g_ptr_array_remove_fast(es->links, surplus->pdata[i]);
		el_free(surplus->pdata[i]);
	}
	g_ptr_array_unref(surplus);
	return G_SOURCE_REMOVE;
}

/* Deferred, so that no link is freed while one of its callbacks runs. */
void
es_reselect(struct es *es)
{
	if (es->reselect_id == 0)
		es->reselect_id =
		    g_idle_add_full(G_PRIORITY_DEFAULT, on_reselect, es, NULL);
}

static gboolean
on_reselect_timer(gpointer data)
{
	es_reselect(data);
	return G_SOURCE_CONTINUE;
}

/* The seeds are dialled from the main loop. */
struct es *
es_new(const struct es_options *opts)
{
	struct es *es = g_new0(struct es, 1);

	es->opts = *opts;
	es->links = g_ptr_array_new();
	es->reselect_timer_id =
	    g_timeout_add(RESELECT_INTERVAL_MS, on_reselect_timer, es);
	es_reselect(es);
	return es;
}

void
es_free(struct es *es)
{
	guint i;

	if (es == NULL)
		return;
	g_clear_handle_id(&es->reselect_id, g_source_remove);
	g_clear_handle_id(&es->reselect_timer_id, g_source_remove);
	for (i = 0; i < es->links->len; i++)
		el_free(es->links->pdata[i]);
	g_ptr_array_unref(es->links);
	g_free(es);
}

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

uint32_t
es_open_links(const struct es *es)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < es->links->len; i++)
		n += el_is_open(es->links->pdata[i]);
	return n;
}

void
es_each(const struct es *es, es_link_fn fn, void *ctx)
{
	guint i;

	for (i = 0; i < es->links->len; i++)
		fn(es->links->pdata[i], ctx);
}
