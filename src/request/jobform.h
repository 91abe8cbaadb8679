#ifndef SP_JOBFORM_H
#define SP_JOBFORM_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"
#include "request/job.h"
#include "request/refusal.h"

/* A submission, parsed from its JSON body. */
struct jf_submission {
	char *service;
	char *team;
	int64_t deadline_ms; /* time from the submission on */
	struct job_task_spec *tasks;
	uint32_t n_tasks;
	uint32_t max_cores; /* of any task */
	uint64_t max_memory_mb;
};

#define JF_MAX_JSON_DEPTH      32
#define JF_DEFAULT_DEADLINE_MS 60000
#define JF_MAX_DEADLINE_MS     3600000
#define JF_MAX_IDS	       1000

struct jf_limits {
	uint32_t max_tasks;
	uint32_t max_payload_bytes;
};

/*
 * On REF_NONE sets *form, to be freed with jf_free(); otherwise why holds the
 * error message.
 */
enum ref_code jf_parse(const void *body, size_t len,
    const struct jf_limits *limits, struct jf_submission **form,
    struct status *why);
void jf_free(struct jf_submission *form);
/* Parses {"count":n}, a request for ids; an empty body asks for one id. */
enum ref_code jf_parse_count(
    const void *body, size_t len, uint32_t *count, struct status *why);

/*
 * Returns the JSON answer about the job in its present state and sets its HTTP
 * status.  The caller owns the string.
 */
GString *jf_answer(
    const struct job *job, const char *next_id, uint32_t *http_status);

#endif
