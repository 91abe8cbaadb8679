/*
 * Bodies of jobs: what is accepted lies in range, sums do not overflow, and the
 * spec is whole.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz/check.h"
#include "platform/job.h"
#include "process/fields.h"

#define MAX_TASKS 20000
#define MAX_VALUE INT64_C(1000000000)

static void
check_step(const struct wk_step *step, uint32_t index)
{
	uint32_t i;

	fz_check(step->count >= 1 && step->count <= MAX_TASKS);
	fz_check(
	    step->size.cpu_milli >= 0 && step->size.cpu_milli <= MAX_VALUE);
	fz_check(
	    step->size.memory_mb >= 0 && step->size.memory_mb <= MAX_VALUE);
	fz_check(step->size.gpus >= 0 && step->size.gpus <= MAX_VALUE);
	fz_check(step->estimate_ms >= 0 && step->estimate_ms <= MAX_VALUE);
	for (i = 0; i < step->n_after; i++)
		fz_check(step->after[i] < index);
}

/* Compares the spec with that of the document. */
static void
check_spec(GBytes *spec, const char *body, size_t len)
{
	gsize spec_len;
	const char *data = g_bytes_get_data(spec, &spec_len);
	struct json_object *root = fld_parse(body, len, NULL);
	struct json_object *value;

	if (json_object_object_get_ex(root, "spec", &value)) {
		size_t n = (size_t)json_object_get_string_len(value);

		fz_check(spec_len == n);
		fz_check(n == 0 ||
			 memcmp(data, json_object_get_string(value), n) == 0);
	}
	json_object_put(root);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct status st = {.code = ST_OK};
	struct wk_job *job = pjob_decode("id", (const char *)data, size, &st);
	uint32_t i;

	if (job == NULL) {
		fz_check(st.code != ST_OK && *st.message != '\0');
		return 0;
	}
	fz_check(job->n_steps >= 1 && wk_job_n_tasks(job) <= MAX_TASKS);
	check_spec(job->spec, (const char *)data, size);
	for (i = 0; i < job->n_steps; i++)
		check_step(&job->steps[i], i);
	fz_check(wk_job_critical_path_ms(job) >= 0);
	wk_job_free(job);
	return 0;
}
