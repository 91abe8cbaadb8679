#include <glib.h>
#include <string.h>

#include "connection/workerport.h"

bool
wp_id_is_valid(const char *text)
{
	return *text != '\0' && strlen(text) <= WP_ID_MAX_BYTES &&
	       strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-._") ==
		   strlen(text);
}

static bool
has_same_labels(const struct wp_worker *worker, const struct wp_worker *other)
{
	size_t i;

	if (worker->n_labels != other->n_labels)
		return false;
	for (i = 0; i < worker->n_labels; i++) {
		if (strcmp(worker->labels[i], other->labels[i]) != 0)
			return false;
	}
	return true;
}

bool
wp_worker_serves_as(
    const struct wp_worker *worker, const struct wp_worker *other)
{
	return worker->draining == other->draining &&
	       g_strcmp0(worker->service, other->service) == 0 &&
	       g_strcmp0(worker->failure_domain, other->failure_domain) == 0 &&
	       wk_fits(&worker->capacity, &other->capacity) &&
	       wk_fits(&other->capacity, &worker->capacity) &&
	       has_same_labels(worker, other);
}

struct wp_worker *
wp_worker_copy(const struct wp_worker *worker)
{
	struct wp_worker *copy = g_memdup2(worker, sizeof(*worker));
	char **labels = g_new0(char *, worker->n_labels + 1);
	size_t i;

	for (i = 0; i < worker->n_labels; i++)
		labels[i] = g_strdup(worker->labels[i]);
	copy->labels = (const char *const *)labels;
	copy->instance = g_strdup(worker->instance);
	copy->service = g_strdup(worker->service);
	copy->address = g_strdup(worker->address);
	copy->failure_domain = g_strdup(worker->failure_domain);
	return copy;
}

void
wp_worker_free(struct wp_worker *worker)
{
	if (worker == NULL)
		return;
	g_strfreev((char **)worker->labels);
	g_free((char *)worker->instance);
	g_free((char *)worker->service);
	g_free((char *)worker->address);
	g_free((char *)worker->failure_domain);
	g_free(worker);
}
