#include <glib.h>
#include <string.h>

#include "request/workerset.h"

/* A worker that was usable less than this time ago is expected to return. */
#define EXPECTED_RETURN_MS 2000

struct wks {
	GPtrArray *workers;	 /* struct wks_worker */
	GHashTable *kind_speeds; /* first label to struct spd_worker */
	bool (*is_out)(const char *domain, void *ctx);
	void *is_out_ctx;
};

static void
worker_free(gpointer data)
{
	struct wks_worker *w = data;

	g_free(w->name);
	g_free(w->service);
	g_free(w->failure_domain);
	g_strfreev(w->labels);
	sld_clear(&w->slowed);
	g_free(w);
}

struct wks *
wks_new(void)
{
	struct wks *set = g_new0(struct wks, 1);

	set->workers = g_ptr_array_new_with_free_func(worker_free);
	set->kind_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return set;
}

void
wks_free(struct wks *set)
{
	g_ptr_array_unref(set->workers);
	g_hash_table_unref(set->kind_speeds);
	g_free(set);
}

static struct spd_worker *
kind_speed(struct wks *set, const char *kind)
{
	struct spd_worker *speed = g_hash_table_lookup(set->kind_speeds, kind);

	if (speed == NULL) {
		speed = g_new0(struct spd_worker, 1);
		g_hash_table_insert(set->kind_speeds, g_strdup(kind), speed);
	}
	return speed;
}

struct wks_worker *
wks_add(struct wks *set, void *link)
{
	struct wks_worker *w = g_new0(struct wks_worker, 1);

	w->link = link;
	w->labels = g_new0(char *, 1);
	w->kind = kind_speed(set, "");
	g_ptr_array_add(set->workers, w);
	return w;
}

void
wks_remove(struct wks *set, struct wks_worker *w)
{
	g_ptr_array_remove(set->workers, w);
}

/* A new incarnation starts without the learned speed and health. */
void
wks_describe(
    struct wks *set, struct wks_worker *w, const struct wks_description *d)
{
	size_t i;

	if (w->incarnation != d->incarnation) {
		w->speed = (struct spd_worker){0};
		w->health = (struct hlt){0};
	}
	g_free(w->name);
	g_free(w->service);
	g_free(w->failure_domain);
	g_strfreev(w->labels);
	w->name = g_strdup(d->name);
	w->incarnation = d->incarnation;
	w->service = g_strdup(d->service);
	w->failure_domain = g_strdup(d->failure_domain);
	w->labels = g_new0(char *, d->n_labels + 1);
	for (i = 0; i < d->n_labels; i++)
		w->labels[i] = g_strdup(d->labels[i]);
	w->kind = kind_speed(set, d->n_labels > 0 ? d->labels[0] : "");
	w->capacity = d->capacity;
	w->draining = d->draining;
	w->local = d->local;
	w->described = d->incarnation != 0;
}

/*
 * The reported room may not yet reflect the latest starts, so that too many
 * starts are sent.  Those are queued at the worker for a short time.
 */
void
wks_set_room(struct wks_worker *w, const struct wk_size *room, bool accepting,
    int64_t now_ms)
{
	w->room = *room;
	w->accepting = accepting;
	if (accepting && !w->draining)
		w->last_usable_ms = now_ms;
}

void
wks_set_out_check(
    struct wks *set, bool (*is_out)(const char *domain, void *ctx), void *ctx)
{
	set->is_out = is_out;
	set->is_out_ctx = ctx;
}

size_t
wks_count(const struct wks *set)
{
	return set->workers->len;
}

struct wks_worker *
wks_get(const struct wks *set, size_t i)
{
	return set->workers->pdata[i];
}

static bool
is_out(const struct wks *set, const struct wks_worker *w)
{
	return set->is_out != NULL &&
	       set->is_out(w->failure_domain, set->is_out_ctx);
}

bool
wks_is_in_service(
    const struct wks *set, const struct wks_worker *w, const char *service)
{
	return w->service != NULL && strcmp(w->service, service) == 0 &&
	       !w->draining && !is_out(set, w);
}

bool
wks_is_usable(
    const struct wks *set, const struct wks_worker *w, const char *service)
{
	return w->described && w->accepting &&
	       wks_is_in_service(set, w, service);
}

bool
wks_has_label(const struct wks_worker *w, const char *label)
{
	return g_strv_contains((const char *const *)w->labels, label);
}

bool
wks_could_run(const struct wks_worker *w, const struct wk_step *step)
{
	return wk_fits(&step->size, &w->capacity) &&
	       (step->required_label == NULL ||
		   wks_has_label(w, step->required_label));
}

/* Whether tasks can be sent to the worker now, or probably soon. */
static bool
may_return(const struct wks *set, const struct wks_worker *w, int64_t now_ms)
{
	if (is_out(set, w))
		return false;
	return (w->described && w->accepting && !w->draining) ||
	       (w->last_usable_ms != 0 &&
		   now_ms - w->last_usable_ms < EXPECTED_RETURN_MS);
}

enum wks_availability
wks_check(const struct wks *set, const char *service,
    const struct wk_step *step, int64_t now_ms)
{
	enum wks_availability answer = WKS_UNKNOWN;
	guint i;

	for (i = 0; i < set->workers->len; i++) {
		const struct wks_worker *w = set->workers->pdata[i];

		if (w->service == NULL || strcmp(w->service, service) != 0)
			continue;
		if (!wks_could_run(w, step)) {
			if (answer == WKS_UNKNOWN)
				answer = WKS_TOO_LARGE;
			continue;
		}
		if (may_return(set, w, now_ms))
			return WKS_USABLE;
		answer = WKS_NOT_USABLE;
	}
	return answer;
}
