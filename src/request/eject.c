#include <glib.h>
#include <string.h>

#include "eject.h"

#define OUTCOME_WINDOW	20U /* starts that count as recent */
#define MIN_STARTS	5U  /* fewer say too little to eject a worker */
#define MIN_EJECTION_MS 1000
#define MAX_EJECTION_MS 30000

struct worker {
	char *service;
	uint32_t outcomes;   /* latest ones, a bit each; 1: failed */
	uint32_t n_outcomes; /* number of bits in use */
	bool ejected;
	bool probing;
	uint32_t outstanding; /* starts without an outcome */
	int64_t ejected_until_ms;
	int64_t interval_ms; /* length of the next ejection */
};

struct eject {
	GHashTable *workers; /* id to struct worker */
};

static void
worker_free(gpointer data)
{
	struct worker *w = data;

	g_free(w->service);
	g_free(w);
}

static struct worker *
find_worker(const struct eject *eject, uint32_t id)
{
	return g_hash_table_lookup(eject->workers, GUINT_TO_POINTER(id));
}

/* Whether one more worker of the service may be ejected. */
static bool
may_eject(const struct eject *eject, const char *service)
{
	GHashTableIter iter;
	gpointer value;
	guint all = 0;
	guint ejected = 0;

	g_hash_table_iter_init(&iter, eject->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *w = value;

		if (strcmp(w->service, service) != 0)
			continue;
		all++;
		ejected += w->ejected ? 1 : 0;
	}
	return (ejected + 1) * 3 <= all;
}

static bool
mostly_fails(const struct worker *w)
{
	guint failed = (guint)__builtin_popcount(w->outcomes);

	return w->n_outcomes >= MIN_STARTS && failed * 2 >= w->n_outcomes;
}

static void
eject_for_interval(struct worker *w, int64_t now_ms)
{
	w->ejected = true;
	w->probing = false;
	w->ejected_until_ms = now_ms + w->interval_ms;
	w->interval_ms = MIN(w->interval_ms * 2, MAX_EJECTION_MS);
}

static void
readmit(struct worker *w)
{
	w->ejected = false;
	w->probing = false;
	w->outcomes = 0;
	w->n_outcomes = 0;
}

static void
record_outcome(struct worker *w, bool failed)
{
	w->outcomes = ((w->outcomes << 1) | (failed ? 1 : 0)) &
		      ((1U << OUTCOME_WINDOW) - 1);
	w->n_outcomes = MIN(w->n_outcomes + 1, OUTCOME_WINDOW);
	/* A full window of successes resets the length of the next ejection. */
	if (w->n_outcomes == OUTCOME_WINDOW && w->outcomes == 0)
		w->interval_ms = MIN_EJECTION_MS;
}

struct eject *
ej_new(void)
{
	struct eject *eject = g_new0(struct eject, 1);

	eject->workers = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, worker_free);
	return eject;
}

void
ej_free(struct eject *eject)
{
	if (eject == NULL)
		return;
	g_hash_table_unref(eject->workers);
	g_free(eject);
}

void
ej_add(struct eject *eject, uint32_t id, const char *service)
{
	struct worker *w = g_new0(struct worker, 1);

	w->service = g_strdup(service);
	w->interval_ms = MIN_EJECTION_MS;
	g_hash_table_replace(eject->workers, GUINT_TO_POINTER(id), w);
}

void
ej_remove(struct eject *eject, uint32_t id)
{
	g_hash_table_remove(eject->workers, GUINT_TO_POINTER(id));
}

/*
 * Records the outcome of a start.  While a worker is ejected only the outcome
 * of its probe counts; those of earlier starts are ignored.
 */
void
ej_record_outcome(struct eject *eject, uint32_t id, bool failed, int64_t now_ms)
{
	struct worker *w = find_worker(eject, id);

	if (w == NULL)
		return;
	if (w->outstanding > 0)
		w->outstanding--;
	if (!w->ejected) {
		record_outcome(w, failed);
		if (mostly_fails(w) && may_eject(eject, w->service))
			eject_for_interval(w, now_ms);
		return;
	}
	if (!w->probing || w->outstanding > 0)
		return;
	if (failed)
		eject_for_interval(w, now_ms);
	else
		readmit(w);
}

void
ej_record_start(struct eject *eject, uint32_t id, int64_t now_ms)
{
	struct worker *w = find_worker(eject, id);

	if (w == NULL)
		return;
	w->outstanding++;
	if (w->ejected && now_ms >= w->ejected_until_ms)
		w->probing = true;
}

/* The next start may be the probe again. */
void
ej_undo_start(struct eject *eject, uint32_t id)
{
	struct worker *w = find_worker(eject, id);

	if (w == NULL)
		return;
	if (w->outstanding > 0)
		w->outstanding--;
	if (w->outstanding == 0)
		w->probing = false;
}

/*
 * An ejected worker gets its probe only when all earlier starts have an
 * outcome, so that the next outcome is that of the probe.
 */
bool
ej_may_start(const struct eject *eject, uint32_t id, int64_t now_ms)
{
	const struct worker *w = find_worker(eject, id);

	if (w == NULL || !w->ejected)
		return true;
	return !w->probing && w->outstanding == 0 &&
	       now_ms >= w->ejected_until_ms;
}

bool
ej_is_ejected(const struct eject *eject, uint32_t id)
{
	const struct worker *w = find_worker(eject, id);

	return w != NULL && w->ejected;
}

int64_t
ej_next_probe_ms(const struct eject *eject, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	int64_t next_ms = -1;

	g_hash_table_iter_init(&iter, eject->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *w = value;

		if (w->ejected && w->ejected_until_ms > now_ms &&
		    (next_ms < 0 || w->ejected_until_ms < next_ms))
			next_ms = w->ejected_until_ms;
	}
	return next_ms;
}
