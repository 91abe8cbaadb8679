#include "process/clock.h"
#include "process/entryconfig.h"
#include "process/events.h"
#include "version/mirror.h"

struct ecf {
	struct ecf_options opts;
	struct mir *mirror;
	struct rts *routes;
	char **out_names;
	GHashTable *out_domains; /* the same as a set */
	/*
	 * Since when the copy was followed when it held the configuration that
	 * was written first; 0: it never did.
	 */
	int64_t first_since_ms;
};

/* Returns whether the configuration is the first valid one. */
static bool
update_routes(struct ecf *ecf, GHashTable *items)
{
	struct status st;
	struct rts *routes = ecf->opts.layout->routes(items, &st);
	bool first = ecf->routes == NULL;

	if (routes == NULL) {
		evt_write("config", evt_text("state", "ignored"),
		    evt_text("reason", st.message));
		return false;
	}
	if (!first && rts_version(routes) < rts_version(ecf->routes)) {
		rts_unref(routes);
		return false;
	}
	rts_unref(ecf->routes);
	ecf->routes = routes;
	return first;
}

static void
update_out_domains(struct ecf *ecf, GHashTable *items)
{
	char **p;

	g_hash_table_remove_all(ecf->out_domains);
	g_strfreev(ecf->out_names);
	ecf->out_names = ecf->opts.layout->out(items);
	for (p = ecf->out_names; *p != NULL; p++)
		g_hash_table_add(ecf->out_domains, *p);
}

static void
on_changed(struct mir *mir, void *ctx)
{
	struct ecf *ecf = ctx;
	bool first = update_routes(ecf, mir_items(mir));

	update_out_domains(ecf, mir_items(mir));
	if (ecf->opts.layout->is_first(mir_items(mir)))
		ecf->first_since_ms = mir_followed_since_ms(mir);
	evt_write("config",
	    evt_int(
		"version", ecf->routes == NULL ? 0 : rts_version(ecf->routes)),
	    evt_int("revision", mir_revision(mir)),
	    evt_int(
		"queues", ecf->routes == NULL ? 0 : rts_n_queues(ecf->routes)),
	    evt_int("out", g_strv_length(ecf->out_names)));
	ecf->opts.changed(first, ecf->opts.ctx);
}

void
ecf_log_store(
    const char *copy, bool reachable, const struct status *st, int64_t revision)
{
	evt_write("store", evt_text("copy", copy),
	    evt_bool("reachable", reachable),
	    evt_text("reason", reachable ? "" : st->message),
	    evt_int("revision", revision));
}

static void
on_reachable(
    struct mir *mir, bool reachable, const struct status *st, void *ctx)
{
	(void)ctx;
	ecf_log_store("operators", reachable, st, mir_revision(mir));
}

struct ecf *
ecf_new(const struct ecf_options *opts)
{
	struct ecf *ecf = g_new0(struct ecf, 1);
	struct mir_options mirror = {
	    .ks = opts->ks,
	    .prefix = opts->layout->operators_prefix,
	    .wait_ms = ECF_STORE_WATCH_MS,
	    .changed = on_changed,
	    .reachable = on_reachable,
	    .ctx = ecf,
	};

	ecf->opts = *opts;
	ecf->out_names = g_new0(char *, 1);
	ecf->out_domains = g_hash_table_new(g_str_hash, g_str_equal);
	ecf->mirror = mir_new(&mirror);
	return ecf;
}

void
ecf_free(struct ecf *ecf)
{
	if (ecf == NULL)
		return;
	mir_free(ecf->mirror);
	g_hash_table_unref(ecf->out_domains);
	g_strfreev(ecf->out_names);
	rts_unref(ecf->routes);
	g_free(ecf);
}

const struct rts *
ecf_routes(const struct ecf *ecf)
{
	return ecf->routes;
}

bool
ecf_is_out(const struct ecf *ecf, const char *domain)
{
	return g_hash_table_contains(ecf->out_domains, domain);
}

char **
ecf_out_domains(const struct ecf *ecf)
{
	return ecf->out_names;
}

int64_t
ecf_revision(const struct ecf *ecf)
{
	return mir_revision(ecf->mirror);
}

int64_t
ecf_age_ms(const struct ecf *ecf)
{
	if (mir_revision(ecf->mirror) == 0)
		return -1;
	return clk_now_ms() - mir_confirmed_ms(ecf->mirror);
}

bool
ecf_has_seen_all(const struct ecf *ecf, int64_t for_ms)
{
	int64_t since_ms = mir_followed_since_ms(ecf->mirror);
	int64_t age_ms = ecf_age_ms(ecf);

	if (ecf->routes == NULL || age_ms < 0 || age_ms > ECF_CURRENT_MS)
		return false;
	return since_ms == ecf->first_since_ms ||
	       clk_now_ms() - since_ms >= for_ms;
}
