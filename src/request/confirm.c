#include <glib.h>

#include "request/confirm.h"

/*
 * Probability that an entry is connected to none of the relays, when each entry
 * is connected to a random share of the agents.
 */
#define MAX_MISSED 1e-6
/* Relays that are asked beyond those that are needed. */
#define SPARE_RELAYS 1
/* A write that failed is repeated after this. */
#define WRITE_RETRY_MS 300
#define WRITE_PAUSE_MS (1000 / CFM_WRITES_PER_S)

struct pending {
	uint64_t key;
	int64_t since_ms;
	GPtrArray *waiters;
	GHashTable *asked; /* set of relays */
	GHashTable *known; /* set of relays that have answered */
	bool stored;
	int64_t write_at_ms; /* not before this time */
};

struct cfm {
	struct cfm_options opts;
	GArray *relays; /* uint64_t, connected */
	uint32_t n_agents;
	GHashTable *pending; /* key to struct pending */
	GQueue order;	     /* struct pending, the oldest first */
	GArray *written;     /* uint64_t, keys of the write in progress */
	int64_t next_write_ms;
};

static void
pending_free(gpointer data)
{
	struct pending *p = data;

	g_ptr_array_unref(p->waiters);
	g_hash_table_unref(p->asked);
	g_hash_table_unref(p->known);
	g_free(p);
}

/* Keys of the tables are numbers of 64 bits, cast to pointers. */
static gpointer
pointer_of(uint64_t number)
{
	return (gpointer)(uintptr_t)number;
}

struct cfm *
cfm_new(const struct cfm_options *opts)
{
	struct cfm *cfm = g_new0(struct cfm, 1);

	cfm->opts = *opts;
	cfm->relays = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cfm->pending = g_hash_table_new_full(NULL, NULL, NULL, pending_free);
	g_queue_init(&cfm->order);
	cfm->written = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return cfm;
}

static void
drop_waiter(gpointer waiter, gpointer cfm)
{
	((struct cfm *)cfm)->opts.drop(waiter);
}

void
cfm_free(struct cfm *cfm)
{
	struct pending *p;

	if (cfm == NULL)
		return;
	while ((p = g_queue_pop_head(&cfm->order)) != NULL)
		g_ptr_array_foreach(p->waiters, drop_waiter, cfm);
	g_hash_table_unref(cfm->pending);
	g_array_unref(cfm->relays);
	g_array_unref(cfm->written);
	g_free(cfm);
}

static uint64_t
relay_at(const struct cfm *cfm, guint i)
{
	return g_array_index(cfm->relays, uint64_t, i);
}

/* Returns the number of relays if it is none of them. */
static guint
find_relay(const struct cfm *cfm, uint64_t relay)
{
	guint i = 0;

	while (i < cfm->relays->len && relay_at(cfm, i) != relay)
		i++;
	return i;
}

void
cfm_relay_up(struct cfm *cfm, uint64_t relay)
{
	if (find_relay(cfm, relay) == cfm->relays->len)
		g_array_append_val(cfm->relays, relay);
}

void
cfm_relay_down(struct cfm *cfm, uint64_t relay)
{
	guint i = find_relay(cfm, relay);

	if (i < cfm->relays->len)
		g_array_remove_index(cfm->relays, i);
}

void
cfm_set_agents(struct cfm *cfm, uint32_t n_agents)
{
	cfm->n_agents = n_agents;
}

/*
 * Agents that are down count too, so that an entry that has lost most of its
 * connections asks for more answers than it can get.
 */
uint32_t
cfm_needed(const struct cfm *cfm)
{
	uint32_t up = cfm->relays->len, n = MAX(cfm->n_agents, up), needed = 1;
	double missed, share;

	if (up == 0)
		return 0;
	share = (double)up / n;
	/* One relay may fail before it has passed the cancel on. */
	for (missed = 1 - share; missed > MAX_MISSED || needed < MIN(2, n);
	     missed *= 1 - share) {
		if (++needed > up)
			return 2 * up > n ? up : 0;
	}
	return needed;
}

static void
ask(struct cfm *cfm, struct pending *p, uint64_t relay)
{
	if (g_hash_table_add(p->asked, pointer_of(relay)))
		cfm->opts.ask(relay, p->key, cfm->opts.ctx);
}

/* Different cancels ask different relays first. */
static void
ask_some(struct cfm *cfm, struct pending *p, uint32_t n)
{
	guint i, up = cfm->relays->len;

	for (i = 0; i < MIN(n, up); i++)
		ask(cfm, p, relay_at(cfm, (guint)((p->key + i) % up)));
}

static void
decide(struct cfm *cfm, struct pending *p, bool confirmed)
{
	g_autoptr(GPtrArray) waiters = g_ptr_array_ref(p->waiters);
	guint i;

	g_queue_remove(&cfm->order, p);
	g_hash_table_remove(cfm->pending, pointer_of(p->key));
	for (i = 0; i < waiters->len; i++)
		cfm->opts.decided(waiters->pdata[i], confirmed, cfm->opts.ctx);
}

static struct pending *
find(const struct cfm *cfm, uint64_t key)
{
	return g_hash_table_lookup(cfm->pending, pointer_of(key));
}

static bool
is_known(const struct cfm *cfm, const struct pending *p)
{
	uint32_t needed = cfm_needed(cfm);

	return needed > 0 && g_hash_table_size(p->known) >= needed;
}

/* Without enough relays, or when they are late, the store suffices. */
static bool
may_confirm(const struct cfm *cfm, const struct pending *p, int64_t now_ms)
{
	return p->stored && (is_known(cfm, p) || cfm_needed(cfm) == 0 ||
				now_ms - p->since_ms >= CFM_STORE_MS);
}

/* Writes all that wait for it, unless a write is in progress. */
static void
write_if_due(struct cfm *cfm, int64_t now_ms)
{
	GArray *keys = cfm->written;
	const GList *link;

	if (keys->len > 0 || now_ms < cfm->next_write_ms)
		return;
	for (link = cfm->order.head; link != NULL && keys->len < CFM_WRITE_MAX;
	     link = link->next) {
		const struct pending *p = link->data;

		if (!p->stored && now_ms >= p->write_at_ms)
			g_array_append_val(keys, p->key);
	}
	if (keys->len == 0)
		return;
	cfm->next_write_ms = now_ms + WRITE_PAUSE_MS;
	cfm->opts.write(
	    (const uint64_t *)(void *)keys->data, keys->len, cfm->opts.ctx);
}

void
cfm_begin(struct cfm *cfm, uint64_t key, void *waiter, int64_t now_ms)
{
	struct pending *p = find(cfm, key);
	uint32_t needed = cfm_needed(cfm);

	if (p != NULL) {
		g_ptr_array_add(p->waiters, waiter);
		return;
	}
	p = g_new0(struct pending, 1);
	p->key = key;
	p->since_ms = now_ms;
	p->write_at_ms = now_ms;
	p->waiters = g_ptr_array_new();
	p->asked = g_hash_table_new(NULL, NULL);
	p->known = g_hash_table_new(NULL, NULL);
	g_ptr_array_add(p->waiters, waiter);
	g_hash_table_insert(cfm->pending, pointer_of(key), p);
	g_queue_push_tail(&cfm->order, p);
	ask_some(cfm, p, needed == 0 ? UINT32_MAX : needed + SPARE_RELAYS);
	write_if_due(cfm, now_ms);
}

void
cfm_known(struct cfm *cfm, uint64_t relay, uint64_t key)
{
	struct pending *p = find(cfm, key);

	if (p == NULL)
		return;
	g_hash_table_add(p->known, pointer_of(relay));
	if (p->stored && is_known(cfm, p))
		decide(cfm, p, true);
}

/* Some may have been refused meanwhile. */
void
cfm_stored(struct cfm *cfm, bool ok, int64_t now_ms)
{
	g_autoptr(GArray) keys = cfm->written;
	guint i;

	cfm->written = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < keys->len; i++) {
		struct pending *p = find(cfm, g_array_index(keys, uint64_t, i));

		if (p == NULL)
			continue;
		p->stored = p->stored || ok;
		p->write_at_ms = now_ms + WRITE_RETRY_MS;
		if (may_confirm(cfm, p, now_ms))
			decide(cfm, p, true);
	}
	write_if_due(cfm, now_ms);
}

static void
advance(struct cfm *cfm, struct pending *p, int64_t now_ms)
{
	int64_t age_ms = now_ms - p->since_ms;

	if (may_confirm(cfm, p, now_ms))
		decide(cfm, p, true);
	else if (age_ms >= CFM_GIVE_UP_MS)
		decide(cfm, p, false);
	else if (age_ms >= CFM_ASK_ALL_MS)
		ask_some(cfm, p, UINT32_MAX);
}

void
cfm_tick(struct cfm *cfm, int64_t now_ms)
{
	GList *link = cfm->order.head;

	while (link != NULL) {
		struct pending *p = link->data;

		link = link->next;
		advance(cfm, p, now_ms);
	}
	write_if_due(cfm, now_ms);
}

uint32_t
cfm_n_pending(const struct cfm *cfm)
{
	return cfm->order.length;
}
