#include <glib.h>

#include "process/clock.h"
#include "process/log.h"
#include "reader.h"

struct waiter {
	rdr_done_fn fn;
	void *ctx;
};

struct rdr {
	struct store *store;
	struct fresh *fresh;
	guint timer;
	bool busy;
	int64_t sent_ms;
	bool answered;
	int64_t last_answered_sent_ms;
	int64_t mod_revision;
	struct cfg *cfg;
	GArray *waiting; /* struct waiter, for the read in progress */
	GArray *next;	 /* struct waiter, for the read after it */
};

static void start_read(struct rdr *rdr);

/*
 * Adopts a changed document.  Returns false if it is malformed or its version
 * is not higher.
 */
static bool
adopt_document(
    struct rdr *rdr, const struct store_value *value, struct status *st)
{
	struct cfg *cfg = cfg_parse(value->data, value->len, st);

	if (cfg == NULL)
		return false;
	if (rdr->cfg != NULL && cfg_version(cfg) <= cfg_version(rdr->cfg)) {
		st_set(st, ST_INVALID,
		    "store went back from version %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT,
		    cfg_version(rdr->cfg), cfg_version(cfg));
		cfg_unref(cfg);
		return false;
	}
	cfg_unref(rdr->cfg);
	rdr->cfg = cfg;
	rdr->mod_revision = value->mod_revision;
	fresh_update(rdr->fresh, cfg);
	return true;
}

static bool
handle_values(struct rdr *rdr, const struct store_value *values, size_t n,
    size_t total, struct status *st)
{
	if (n > 0 && !adopt_document(rdr, &values[0], st))
		return false;
	if (total == 0 && n == 0 && rdr->cfg != NULL) {
		st_set(st, ST_INVALID, "the store lost the configuration");
		return false;
	}
	rdr->answered = true;
	rdr->last_answered_sent_ms = rdr->sent_ms;
	if (rdr->cfg != NULL)
		fresh_confirm(rdr->fresh, cfg_version(rdr->cfg), rdr->sent_ms);
	return true;
}

static void
on_read(const struct status *st, const struct store_value *values, size_t n,
    size_t total, void *ctx)
{
	struct rdr *rdr = ctx;
	struct status outcome = *st;
	GArray *done = rdr->waiting;
	guint i;

	rdr->busy = false;
	if (st->code == ST_OK &&
	    !handle_values(rdr, values, n, total, &outcome))
		log_line(LOG_ERR,
		    "configuration read from the store rejected: %s",
		    outcome.message);
	rdr->waiting = rdr->next;
	rdr->next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	if (rdr->waiting->len > 0)
		start_read(rdr);
	for (i = 0; i < done->len; i++) {
		struct waiter *waiter = &g_array_index(done, struct waiter, i);

		waiter->fn(&outcome, waiter->ctx);
	}
	g_array_free(done, TRUE);
}

static void
start_read(struct rdr *rdr)
{
	rdr->busy = true;
	/*
	 * The store may evaluate the read at any time from here on, so the age
	 * of the configuration counts from the send.
	 */
	rdr->sent_ms = clk_now_ms();
	rdr->store->ops->read(
	    rdr->store, STORE_CONFIG_KEY, rdr->mod_revision + 1, on_read, rdr);
}

static gboolean
on_timer(gpointer ctx)
{
	struct rdr *rdr = ctx;

	if (!rdr->busy)
		start_read(rdr);
	return G_SOURCE_CONTINUE;
}

/* Sends the first read and starts polling. */
struct rdr *
rdr_new(const struct rdr_options *opts)
{
	struct rdr *rdr = g_new0(struct rdr, 1);

	rdr->store = opts->store;
	rdr->fresh = opts->fresh;
	rdr->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	rdr->next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	rdr->timer = g_timeout_add((guint)opts->poll_ms, on_timer, rdr);
	start_read(rdr);
	return rdr;
}

/* Drops the waiting callers without a callback. */
void
rdr_free(struct rdr *rdr)
{
	if (rdr == NULL)
		return;
	rdr->store->ops->cancel(rdr->store, rdr);
	g_source_remove(rdr->timer);
	g_array_free(rdr->waiting, TRUE);
	g_array_free(rdr->next, TRUE);
	cfg_unref(rdr->cfg);
	g_free(rdr);
}

/*
 * Sends a read.  A read in progress was sent too early to answer this caller,
 * who waits for the one after it.
 */
void
rdr_read(struct rdr *rdr, rdr_done_fn fn, void *ctx)
{
	struct waiter waiter = {fn, ctx};

	if (rdr->busy) {
		g_array_append_val(rdr->next, waiter);
		return;
	}
	g_array_append_val(rdr->waiting, waiter);
	start_read(rdr);
}

static void
remove_waiters(GArray *waiters, const void *ctx)
{
	guint i = 0;

	while (i < waiters->len) {
		if (g_array_index(waiters, struct waiter, i).ctx == ctx)
			g_array_remove_index(waiters, i);
		else
			i++;
	}
}

void
rdr_cancel(struct rdr *rdr, const void *ctx)
{
	remove_waiters(rdr->waiting, ctx);
	remove_waiters(rdr->next, ctx);
}

int64_t
rdr_mod_revision(const struct rdr *rdr)
{
	return rdr->mod_revision;
}

struct cfg *
rdr_config(const struct rdr *rdr)
{
	return rdr->cfg;
}

/*
 * Counts only reads that confirmed the document: not those that found it
 * missing, malformed or older.
 */
int64_t
rdr_store_age_ms(const struct rdr *rdr, int64_t now_ms)
{
	if (!rdr->answered)
		return -1;
	return now_ms > rdr->last_answered_sent_ms
		   ? now_ms - rdr->last_answered_sent_ms
		   : 0;
}
