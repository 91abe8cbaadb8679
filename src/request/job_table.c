#include <string.h>

#include "request/job_private.h"

struct job_table *
job_table_new(const struct job_options *opts)
{
	struct job_table *table = g_new0(struct job_table, 1);

	table->opts = *opts;
	table->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&table->finished);
	return table;
}

/* Frees the table; jobs with other references outlive it. */
void
job_table_free(struct job_table *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		g_hash_table_iter_remove(&iter);
		job->table = NULL;
		job_unref(job);
	}
	g_hash_table_unref(table->jobs);
	g_queue_clear(&table->finished);
	g_free(table);
}

uint32_t
job_table_count(const struct job_table *table)
{
	return g_hash_table_size(table->jobs);
}

/* Returns the number of unfinished jobs. */
uint32_t
job_table_open(const struct job_table *table)
{
	return table->n_open;
}

uint32_t
job_table_undelivered(const struct job_table *table)
{
	return table->n_undelivered;
}

/* Returns the number of bytes of payloads and results held. */
uint64_t
job_table_bytes(const struct job_table *table)
{
	return table->bytes;
}

/*
 * Removes the record.  From now on its submission id, if any, and all lower ids
 * that have no record count as expired.
 */
static void
drop_record(struct job_table *table, struct job *job)
{
	if (job->spec.counter != 0)
		id_raise_low_water(table->opts.ids, job->spec.counter + 1);
	if (job->spec.counter != 0 && !job->delivered)
		table->n_undelivered--;
	g_hash_table_remove(table->jobs, job->spec.id);
	table->bytes -= job->bytes;
	job->table = NULL;
	job_unref(job);
}

static bool
drop_oldest(struct job_table *table)
{
	struct job *job = g_queue_pop_head(&table->finished);

	if (job == NULL)
		return false;
	drop_record(table, job);
	return true;
}

/* Drops records of finished jobs that are older than the retention time. */
void
job_expire(struct job_table *table, int64_t now_ms)
{
	struct job *job;

	while ((job = g_queue_peek_head(&table->finished)) != NULL &&
	       now_ms - job->finished_ms >= table->opts.retention_ms)
		drop_oldest(table);
}

struct job *
job_find(struct job_table *table, const char *id)
{
	return g_hash_table_lookup(table->jobs, id);
}

enum job_put
job_peek(struct job_table *table, const char *id, uint64_t counter,
    const uint8_t digest[JOB_DIGEST_BYTES])
{
	struct job *job = job_find(table, id);

	if (job != NULL)
		return memcmp(job->spec.digest, digest, JOB_DIGEST_BYTES) == 0
			   ? JOB_SAME
			   : JOB_CONFLICT;
	if (counter != 0 && counter < id_low_water(table->opts.ids))
		return JOB_EXPIRED;
	return JOB_CREATED;
}

static uint64_t
spec_bytes(const struct job_spec *spec)
{
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < spec->n_tasks; i++)
		bytes += g_bytes_get_size(spec->tasks[i].payload);
	return bytes;
}

/*
 * Creates the job, or finds the one with the same id.  Another body for a known
 * id is a conflict, so an id never stands for two submissions.
 */
enum job_put
job_put(struct job_table *table, const struct job_spec *spec, struct job **job)
{
	enum job_put put;
	uint64_t bytes;

	put = job_peek(table, spec->id, spec->counter, spec->digest);
	*job = put == JOB_SAME ? job_find(table, spec->id) : NULL;
	if (put != JOB_CREATED)
		return put;
	bytes = spec_bytes(spec);
	while (job_table_count(table) >= table->opts.max_jobs ||
	       table->bytes + bytes > table->opts.max_bytes) {
		if (!drop_oldest(table))
			return JOB_FULL;
	}
	/* Dropping records may have raised the low-water mark past this id. */
	if (spec->counter != 0 && spec->counter < id_low_water(table->opts.ids))
		return JOB_EXPIRED;
	*job = job_new(table, spec);
	job_add_bytes(*job, bytes);
	g_hash_table_insert(table->jobs, (char *)(*job)->spec.id, *job);
	table->n_open++;
	return JOB_CREATED;
}

void
job_table_finished(struct job_table *table, struct job *job)
{
	table->n_open--;
	if (job->spec.counter == 0) {
		drop_record(table, job);
		return;
	}
	g_queue_push_tail(&table->finished, job);
	table->n_undelivered++;
}

/* Results are stored after admission and may exceed max_bytes. */
void
job_table_trim(struct job_table *table, const struct job *job)
{
	if (table->bytes > table->opts.max_bytes &&
	    g_queue_peek_head(&table->finished) != job)
		drop_oldest(table);
}
