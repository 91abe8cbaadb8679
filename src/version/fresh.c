#include <glib.h>

#include "fresh.h"

struct listener {
	fresh_changed_fn fn;
	void *ctx;
};

struct fresh {
	int64_t max_age_ms;
	struct cfg *cfg;
	bool confirmed;
	int64_t as_of_ms;
	GArray *listeners;
};

/* max_age_ms: greatest age at which the configuration counts as current. */
struct fresh *
fresh_new(int64_t max_age_ms)
{
	struct fresh *fresh = g_new0(struct fresh, 1);

	fresh->max_age_ms = max_age_ms;
	fresh->listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	return fresh;
}

void
fresh_free(struct fresh *fresh)
{
	if (fresh == NULL)
		return;
	if (fresh->cfg != NULL)
		cfg_unref(fresh->cfg);
	g_array_free(fresh->listeners, TRUE);
	g_free(fresh);
}

/* Adds a listener, which stays until fresh is freed. */
void
fresh_on_changed(struct fresh *fresh, fresh_changed_fn fn, void *ctx)
{
	struct listener listener = {fn, ctx};

	g_array_append_val(fresh->listeners, listener);
}

/*
 * Replaces the configuration by cfg if that is newer, and notifies the
 * listeners.
 */
void
fresh_update(struct fresh *fresh, struct cfg *cfg)
{
	struct cfg *old = fresh->cfg;
	guint i;

	if (cfg == NULL || cfg_version(cfg) <= fresh_version(fresh))
		return;
	fresh->cfg = cfg_ref(cfg);
	for (i = 0; i < fresh->listeners->len; i++) {
		struct listener *listener =
		    &g_array_index(fresh->listeners, struct listener, i);

		listener->fn(cfg, listener->ctx);
	}
	if (old != NULL)
		cfg_unref(old);
}

/*
 * Advances the confirmation time.  This also confirms a version held that is
 * higher than the given one: no version above the given one was accepted at
 * as_of_ms, so none above the version held was either.
 */
void
fresh_confirm(struct fresh *fresh, uint64_t version, int64_t as_of_ms)
{
	if (fresh_version(fresh) < version)
		return;
	if (fresh->confirmed && fresh->as_of_ms >= as_of_ms)
		return;
	fresh->confirmed = true;
	fresh->as_of_ms = as_of_ms;
}

struct cfg *
fresh_config(const struct fresh *fresh)
{
	return fresh->cfg;
}

uint64_t
fresh_version(const struct fresh *fresh)
{
	return fresh->cfg == NULL ? 0 : cfg_version(fresh->cfg);
}

/* Returns the time since the last confirmation, or -1 if there was none. */
int64_t
fresh_age_ms(const struct fresh *fresh, int64_t now_ms)
{
	if (!fresh->confirmed || fresh->cfg == NULL)
		return -1;
	return now_ms > fresh->as_of_ms ? now_ms - fresh->as_of_ms : 0;
}

/* Returns true if tasks may start under the configuration held. */
bool
fresh_is_current(const struct fresh *fresh, int64_t now_ms)
{
	int64_t age_ms = fresh_age_ms(fresh, now_ms);

	return age_ms >= 0 && age_ms <= fresh->max_age_ms;
}
