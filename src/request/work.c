#include <glib.h>
#include <string.h>

#include "request/work.h"

/* Whether a task of this size fits into the free capacity. */
bool
wk_fits(const struct wk_size *size, const struct wk_size *room)
{
	return size->cpu_milli <= room->cpu_milli &&
	       size->memory_mb <= room->memory_mb && size->gpus <= room->gpus;
}

void
wk_add(struct wk_size *to, const struct wk_size *size)
{
	to->cpu_milli += size->cpu_milli;
	to->memory_mb += size->memory_mb;
	to->gpus += size->gpus;
}

void
wk_subtract(struct wk_size *from, const struct wk_size *size)
{
	from->cpu_milli -= size->cpu_milli;
	from->memory_mb -= size->memory_mb;
	from->gpus -= size->gpus;
}

/* The 0 is the number of the occurrence, of which a job has only one. */
char *
wk_task_name(const char *job, uint32_t step, uint32_t index)
{
	return g_strdup_printf("%s.0.%u.%u", job, step, index);
}

/* Length of the job's id at the start of a task's name. */
static size_t
job_id_length(const char *task)
{
	size_t length = strlen(task);
	int n_dots = 0;

	while (length > 0 && n_dots < 3)
		n_dots += task[--length] == '.';
	return length;
}

bool
wk_same_job(const char *task, const char *other)
{
	size_t length = job_id_length(task);

	return length == job_id_length(other) &&
	       strncmp(task, other, length) == 0;
}

uint32_t
wk_job_hash(const char *task)
{
	size_t i, length = job_id_length(task);
	uint32_t hash = 5381;

	for (i = 0; i < length; i++)
		hash = hash * 33 + (unsigned char)task[i];
	return hash;
}

uint32_t
wk_job_n_tasks(const struct wk_job *job)
{
	uint32_t i, n = 0;

	for (i = 0; i < job->n_steps; i++)
		n += job->steps[i].count;
	return n;
}

double
wk_job_work(const struct wk_job *job)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		work += (double)job->steps[i].count *
			(double)MAX(job->steps[i].size.cpu_milli, 1) *
			(double)MAX(job->steps[i].estimate_ms, 1) / 1000;
	return work;
}

int64_t
wk_job_critical_path_ms(const struct wk_job *job)
{
	int64_t *end_ms = g_new0(int64_t, job->n_steps + 1);
	int64_t longest_ms = 0;
	uint32_t i, j;

	for (i = 0; i < job->n_steps; i++) {
		const struct wk_step *step = &job->steps[i];

		for (j = 0; j < step->n_after; j++)
			end_ms[i] = MAX(end_ms[i], end_ms[step->after[j]]);
		end_ms[i] += step->estimate_ms;
		longest_ms = MAX(longest_ms, end_ms[i]);
	}
	g_free(end_ms);
	return longest_ms;
}

void
wk_job_free(struct wk_job *job)
{
	uint32_t i;

	if (job == NULL)
		return;
	for (i = 0; i < job->n_steps; i++) {
		g_free(job->steps[i].after);
		g_free(job->steps[i].required_label);
		g_free(job->steps[i].preferred_rack);
	}
	g_free(job->steps);
	g_free(job->id);
	g_clear_pointer(&job->spec, g_bytes_unref);
	g_free(job);
}
