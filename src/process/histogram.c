#include <glib.h>

#include "process/histogram.h"

/* Bucket bounds for run times of tasks, from 50 ms to a few seconds. */
static const int64_t bounds_ms[] = {10, 25, 50, 100, 150, 200, 300, 400, 600,
    800, 1200, 1600, 2400, 3200, 6400};

#define N_BOUNDS G_N_ELEMENTS(bounds_ms)

struct hst {
	int64_t *buckets[N_BOUNDS + 1]; /* the last one is +Inf */
	int64_t *sum;
	int64_t *count;
};

static int64_t *
bucket_counter(struct ctr_registry *reg, const char *name, const char *help,
    const char *bound)
{
	g_autofree char *full =
	    g_strdup_printf("%s_bucket{le=\"%s\"}", name, bound);

	return ctr_counter(reg, full, help);
}

struct hst *
hst_new(struct ctr_registry *reg, const char *name, const char *help)
{
	struct hst *h = g_new0(struct hst, 1);
	g_autofree char *sum = g_strconcat(name, "_sum", NULL);
	g_autofree char *count = g_strconcat(name, "_count", NULL);
	size_t i;

	for (i = 0; i < N_BOUNDS; i++) {
		g_autofree char *bound =
		    g_strdup_printf("%" G_GINT64_FORMAT, bounds_ms[i]);

		h->buckets[i] = bucket_counter(reg, name, help, bound);
	}
	h->buckets[N_BOUNDS] = bucket_counter(reg, name, help, "+Inf");
	h->sum = ctr_counter(reg, sum, help);
	h->count = ctr_counter(reg, count, help);
	return h;
}

void
hst_free(struct hst *h)
{
	g_free(h);
}

void
hst_add(struct hst *h, int64_t ms)
{
	size_t i;

	for (i = 0; i < N_BOUNDS; i++) {
		if (ms <= bounds_ms[i])
			++*h->buckets[i];
	}
	++*h->buckets[N_BOUNDS];
	*h->sum += ms;
	++*h->count;
}
