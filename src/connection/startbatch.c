#include <string.h>

#include "connection/startbatch.h"
#include "connection/startspecs.h"

/*
 * Encoded bytes of a batch.  Agents take records of up to 1 MB; a start of the
 * longest names and the largest spec has 67 KB.
 */
#define MAX_BATCH_BYTES 524288
/* Of a start beside its texts, and of a spec beside its bytes. */
#define START_BYTES 96
#define SPEC_BYTES  8

struct sbt {
	GArray *starts;	  /* run_start; strings owned */
	GPtrArray *specs; /* GBytes, of the starts */
	size_t bytes;	  /* at most, when encoded */
	uint64_t n_added; /* since the reset */
	uint64_t limit;
};

static void
start_clear(gpointer data)
{
	run_start *start = data;

	g_free(start->task);
	g_free(start->service);
	g_free(start->queue);
}

struct sbt *
sbt_new(void)
{
	struct sbt *sbt = g_new0(struct sbt, 1);

	sbt->starts = g_array_new(FALSE, FALSE, sizeof(run_start));
	g_array_set_clear_func(sbt->starts, start_clear);
	sbt->specs = ssp_new();
	return sbt;
}

void
sbt_free(struct sbt *sbt)
{
	g_array_unref(sbt->starts);
	g_ptr_array_unref(sbt->specs);
	g_free(sbt);
}

void
sbt_reset(struct sbt *sbt)
{
	sbt_clear(sbt);
	sbt->n_added = 0;
	sbt->limit = 0;
}

void
sbt_set_limit(struct sbt *sbt, uint64_t limit)
{
	sbt->limit = limit;
}

static bool
is_encodable(const run_start *start, const GBytes *spec)
{
	return strlen(start->task) <= RUN_NAME_MAX &&
	       strlen(start->service) <= RUN_NAME_MAX &&
	       strlen(start->queue) <= RUN_NAME_MAX &&
	       g_bytes_get_size((GBytes *)spec) <= RUN_SPEC_MAX;
}

/* A spec is sent once for neighbours that share it. */
static size_t
encoded_bytes(const run_start *start, const struct sbt *sbt, GBytes *spec)
{
	guint n = sbt->specs->len;
	bool shared = n > 0 && sbt->specs->pdata[n - 1] == spec;

	return START_BYTES + strlen(start->task) + strlen(start->service) +
	       strlen(start->queue) +
	       (shared ? 0 : SPEC_BYTES + g_bytes_get_size(spec));
}

enum sbt_verdict
sbt_add(struct sbt *sbt, const run_start *start, GBytes *spec)
{
	size_t bytes = encoded_bytes(start, sbt, spec);
	run_start copy = *start;

	if (sbt->n_added >= sbt->limit || !is_encodable(start, spec))
		return SBT_REFUSED;
	if (sbt->starts->len >= RUN_BATCH_MAX ||
	    sbt->bytes + bytes > MAX_BATCH_BYTES)
		return SBT_BATCH_FULL;
	copy.task = g_strdup(start->task);
	copy.service = g_strdup(start->service);
	copy.queue = g_strdup(start->queue);
	copy.spec = ssp_add(sbt->specs, spec);
	g_array_append_val(sbt->starts, copy);
	sbt->bytes += bytes;
	sbt->n_added++;
	return SBT_ADDED;
}

uint32_t
sbt_count(const struct sbt *sbt)
{
	return sbt->starts->len;
}

void
sbt_to_wire(const struct sbt *sbt, run_start_args *args, run_spec **specs)
{
	*specs = ssp_to_wire(sbt->specs);
	args->specs.specs_len = sbt->specs->len;
	args->specs.specs_val = *specs;
	args->starts.starts_len = sbt->starts->len;
	args->starts.starts_val = (run_start *)sbt->starts->data;
}

void
sbt_clear(struct sbt *sbt)
{
	g_array_set_size(sbt->starts, 0);
	g_ptr_array_set_size(sbt->specs, 0);
	sbt->bytes = 0;
}
