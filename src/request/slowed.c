#include <glib.h>
#include <string.h>

#include "request/slowed.h"

#define PERMILLE 1000
/* A larger factor would exclude the worker, which is not what it is for. */
#define MAX_PERMILLE 4000

void
sld_clear(struct sld *sld)
{
	size_t i;

	for (i = 0; i < sld->n; i++)
		g_free(sld->rows[i].queue);
	g_free(sld->rows);
	*sld = (struct sld){0};
}

void
sld_set(struct sld *sld, const struct sld_row *rows, size_t n)
{
	size_t i;

	if (n == 0 && sld->n == 0)
		return;
	sld_clear(sld);
	n = MIN(n, SLD_MAX);
	sld->rows = g_new0(struct sld_row, n + 1);
	for (i = 0; i < n; i++) {
		if (rows[i].permille <= PERMILLE)
			continue;
		sld->rows[sld->n++] = (struct sld_row){
		    .queue = g_strdup(rows[i].queue),
		    .permille = MIN(rows[i].permille, MAX_PERMILLE),
		};
	}
}

double
sld_factor(const struct sld *sld, const char *queue)
{
	size_t i;

	for (i = 0; i < sld->n; i++) {
		if (strcmp(sld->rows[i].queue, queue) == 0)
			return (double)sld->rows[i].permille / PERMILLE;
	}
	return 1;
}
