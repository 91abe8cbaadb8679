#include <glib.h>

#include "process/clock.h"
#include "process/events.h"
#include "process/outdomains.h"
#include "version/mirror.h"

/*
 * The agent reads the store when no entry has had a confirmed copy for this
 * long.  Entries have one every ECF_STORE_WATCH_MS and tell it in the heartbeat
 * that follows.
 */
#define READ_AFTER_MS 2500
/* The same after the start, when entries are about to connect. */
#define READ_AT_START_MS 500

struct odm {
	struct odm_options opts;
	GHashTable *domains; /* set of names */
	int64_t revision;
	int64_t confirmed_ms; /* by the store; 0: never */
	int64_t told_ms;      /* latest confirmation that an entry told */
	struct mir *mirror;   /* NULL while entries have confirmed copies */
};

static void
replace_domains(
    struct odm *odm, int64_t revision, char *const *domains, size_t n)
{
	size_t i;

	odm->revision = revision;
	g_hash_table_remove_all(odm->domains);
	for (i = 0; i < n; i++)
		g_hash_table_add(odm->domains, g_strdup(domains[i]));
	odm->opts.changed(odm->opts.ctx);
}

/*
 * The store's own answer counts also when an entry has told a higher revision,
 * which it can't have had from this store.
 */
static void
on_mirror_changed(struct mir *mir, void *ctx)
{
	struct odm *odm = ctx;
	g_auto(GStrv) domains = odm->opts.layout->out(mir_items(mir));

	odm->confirmed_ms = clk_now_ms();
	replace_domains(
	    odm, mir_revision(mir), domains, g_strv_length(domains));
}

static void
on_reachable(
    struct mir *mir, bool reachable, const struct status *st, void *ctx)
{
	(void)ctx;
	ecf_log_store("out_domains", reachable, st, mir_revision(mir));
}

static void
start_reading(struct odm *odm)
{
	struct mir_options opts = {
	    .ks = odm->opts.ks,
	    .prefix = odm->opts.layout->out_prefix,
	    .wait_ms = ECF_STORE_WATCH_MS,
	    .changed = on_mirror_changed,
	    .reachable = on_reachable,
	    .ctx = odm,
	};

	evt_write("out_domains", evt_text("source", "store"),
	    evt_int("revision", odm->revision));
	odm->mirror = mir_new(&opts);
}

static void
stop_reading(struct odm *odm)
{
	evt_write("out_domains", evt_text("source", "entries"),
	    evt_int("revision", odm->revision));
	mir_free(g_steal_pointer(&odm->mirror));
}

struct odm *
odm_new(const struct odm_options *opts)
{
	struct odm *odm = g_new0(struct odm, 1);

	odm->opts = *opts;
	odm->domains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	odm->told_ms = clk_now_ms() - READ_AFTER_MS + READ_AT_START_MS;
	return odm;
}

void
odm_free(struct odm *odm)
{
	if (odm == NULL)
		return;
	mir_free(odm->mirror);
	g_hash_table_unref(odm->domains);
	g_free(odm);
}

void
odm_tell(struct odm *odm, const struct odm_news *news)
{
	bool was_known = odm_is_known(odm);

	if (news->revision == 0 || news->revision < odm->revision)
		return;
	odm->told_ms = MAX(odm->told_ms, news->confirmed_ms);
	odm->confirmed_ms = MAX(odm->confirmed_ms, news->confirmed_ms);
	if (news->revision > odm->revision)
		replace_domains(
		    odm, news->revision, news->domains, news->n_domains);
	else if (odm_is_known(odm) != was_known)
		odm->opts.changed(odm->opts.ctx);
}

void
odm_tick(struct odm *odm)
{
	bool wanted = clk_now_ms() - odm->told_ms > READ_AFTER_MS;

	if (wanted && odm->mirror == NULL)
		start_reading(odm);
	else if (!wanted && odm->mirror != NULL)
		stop_reading(odm);
	if (odm->mirror != NULL && mir_revision(odm->mirror) > 0)
		odm->confirmed_ms =
		    MAX(odm->confirmed_ms, mir_confirmed_ms(odm->mirror));
}

bool
odm_is_out(const struct odm *odm, const char *domain)
{
	return g_hash_table_contains(odm->domains, domain);
}

bool
odm_is_known(const struct odm *odm)
{
	return odm->confirmed_ms != 0 &&
	       clk_now_ms() - odm->confirmed_ms <= ODM_MAX_AGE_MS;
}

int64_t
odm_revision(const struct odm *odm)
{
	return odm->revision;
}
