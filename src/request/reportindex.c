#include <glib.h>
#include <string.h>

#include "request/reportindex.h"

/*
 * The key is the task too: a report may list a run of another agent under the
 * same number.
 */
struct rpi {
	GHashTable *rows; /* set of struct wp_running */
};

static guint
hash_row(gconstpointer key)
{
	const struct wp_running *row = key;

	return g_int64_hash(&row->run);
}

static gboolean
equal_rows(gconstpointer left, gconstpointer right)
{
	const struct wp_running *a = left, *b = right;

	return a->run == b->run && strcmp(a->task, b->task) == 0;
}

struct rpi *
rpi_new(const struct wp_report *report)
{
	struct rpi *rpi = g_new0(struct rpi, 1);
	size_t i;

	rpi->rows = g_hash_table_new(hash_row, equal_rows);
	for (i = 0; i < report->n_running; i++)
		g_hash_table_add(rpi->rows, (gpointer)&report->running[i]);
	return rpi;
}

void
rpi_free(struct rpi *rpi)
{
	g_hash_table_unref(rpi->rows);
	g_free(rpi);
}

bool
rpi_lists(const struct rpi *rpi, const char *task, int64_t run)
{
	struct wp_running row = {.task = (char *)task, .run = run};

	return g_hash_table_contains(rpi->rows, &row);
}
