#include <json-c/json.h>
#include <string.h>

#include "process/jsonc.h"
#include "process/jsontext.h"
#include "request/jobform.h"

#define MAX_CORES     65536
#define MAX_MEMORY_MB (1LL << 32)

static enum ref_code
parse_json(
    const void *body, size_t len, struct json_object **root, struct status *why)
{
	struct status st = {.message = "another type"};

	if (!jtx_fits(body, len)) {
		st_set(why, ST_INVALID, "the body takes too much memory");
		return REF_BAD_REQUEST;
	}
	*root = jtx_parse(body, len, JF_MAX_JSON_DEPTH, &st);
	if (json_object_is_type(*root, json_type_object))
		return REF_NONE;
	g_clear_pointer(root, json_object_put);
	st_set(why, ST_INVALID, "the body is no JSON object: %s", st.message);
	return st.code == ST_LIMIT ? REF_TOO_DEEP : REF_BAD_REQUEST;
}

static bool
has_only_keys(struct json_object *object, const char *const *keys,
    const char *where, struct status *why)
{
	struct json_object_iterator it = json_object_iter_begin(object);
	struct json_object_iterator end = json_object_iter_end(object);

	for (; !json_object_iter_equal(&it, &end); json_object_iter_next(&it)) {
		if (g_strv_contains(keys, json_object_iter_peek_name(&it)))
			continue;
		st_set(why, ST_INVALID, "%s: unknown key \"%.64s\"", where,
		    json_object_iter_peek_name(&it));
		return false;
	}
	return true;
}

static bool
get_int(struct json_object *object, const char *key, int64_t min, int64_t max,
    int64_t *out, struct status *why)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return true;
	*out = json_object_get_int64(value);
	if (json_object_is_type(value, json_type_int) && *out >= min &&
	    *out <= max)
		return true;
	st_set(why, ST_INVALID,
	    "\"%s\": expected an integer from %" G_GINT64_FORMAT
	    " to %" G_GINT64_FORMAT,
	    key, min, max);
	return false;
}

static bool
get_name(
    struct json_object *object, const char *key, char **out, struct status *why)
{
	struct json_object *value;
	const char *name;

	if (json_object_object_get_ex(object, key, &value)) {
		name = jtx_text(value);
		if (name != NULL && jsonc_is_name(name)) {
			*out = g_strdup(name);
			return true;
		}
	}
	st_set(why, ST_INVALID,
	    "\"%s\": expected 1 to 64 characters of [A-Za-z0-9._-]", key);
	return false;
}

/* The payload of a string is its bytes, that of any other value its JSON. */
static GBytes *
payload_bytes(struct json_object *value)
{
	const char *text;
	size_t len;

	if (json_object_is_type(value, json_type_string))
		return g_bytes_new(json_object_get_string(value),
		    (gsize)json_object_get_string_len(value));
	text = json_object_to_json_string_length(value,
	    JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
	return g_bytes_new(text, len);
}

static enum ref_code
read_payload(struct json_object *object, const struct jf_limits *limits,
    struct job_task_spec *task, struct status *why)
{
	struct json_object *payload;
	const char *fault = NULL;

	if (!json_object_object_get_ex(object, "payload", &payload))
		fault = "a task has no \"payload\"";
	else if (!jtx_is_unicode(payload))
		fault = "\"payload\": malformed Unicode";
	else if (jtx_has_clamped_number(payload))
		fault = "\"payload\": a number is beyond 64 bits";
	if (fault != NULL) {
		st_set(why, ST_INVALID, "%s", fault);
		return REF_BAD_REQUEST;
	}
	task->payload = payload_bytes(payload);
	if (g_bytes_get_size(task->payload) <= limits->max_payload_bytes)
		return REF_NONE;
	st_set(why, ST_LIMIT, "a payload is larger than %u bytes",
	    limits->max_payload_bytes);
	return REF_TOO_LARGE;
}

static enum ref_code
read_task(struct json_object *object, const struct jf_limits *limits,
    struct job_task_spec *task, struct status *why)
{
	static const char *const keys[] = {
	    "payload", "run_ms", "cores", "memory_mb", NULL};
	int64_t cores = 0, memory_mb = 0;

	if (!json_object_is_type(object, json_type_object)) {
		st_set(why, ST_INVALID, "a task is no object");
		return REF_BAD_REQUEST;
	}
	if (!has_only_keys(object, keys, "task", why) ||
	    !get_int(
		object, "run_ms", 0, JF_MAX_DEADLINE_MS, &task->run_ms, why) ||
	    !get_int(object, "cores", 0, MAX_CORES, &cores, why) ||
	    !get_int(object, "memory_mb", 0, MAX_MEMORY_MB, &memory_mb, why))
		return REF_BAD_REQUEST;
	task->cores = (uint32_t)cores;
	task->memory_mb = (uint64_t)memory_mb;
	return read_payload(object, limits, task, why);
}

static enum ref_code
read_tasks(struct json_object *root, const struct jf_limits *limits,
    struct jf_submission *form, struct status *why)
{
	struct json_object *tasks;
	enum ref_code code = REF_NONE;
	size_t i, n = 0;

	if (json_object_object_get_ex(root, "tasks", &tasks) &&
	    json_object_is_type(tasks, json_type_array))
		n = json_object_array_length(tasks);
	if (n == 0) {
		st_set(why, ST_INVALID,
		    "\"tasks\": expected an array of at least one task");
		return REF_BAD_REQUEST;
	}
	if (n > limits->max_tasks) {
		st_set(why, ST_LIMIT, "%zu tasks, the limit is %u", n,
		    limits->max_tasks);
		return REF_TOO_MANY_TASKS;
	}
	form->tasks = g_new0(struct job_task_spec, n);
	form->n_tasks = (uint32_t)n;
	for (i = 0; i < n && code == REF_NONE; i++) {
		code = read_task(json_object_array_get_idx(tasks, i), limits,
		    &form->tasks[i], why);
		form->max_cores = MAX(form->max_cores, form->tasks[i].cores);
		form->max_memory_mb =
		    MAX(form->max_memory_mb, form->tasks[i].memory_mb);
	}
	return code;
}

/* Parses the body of a submission; unknown keys are an error. */
enum ref_code
jf_parse(const void *body, size_t len, const struct jf_limits *limits,
    struct jf_submission **form, struct status *why)
{
	static const char *const keys[] = {
	    "service", "team", "deadline_ms", "tasks", NULL};
	struct json_object *root;
	enum ref_code code = parse_json(body, len, &root, why);

	*form = NULL;
	if (code != REF_NONE)
		return code;
	*form = g_new0(struct jf_submission, 1);
	(*form)->deadline_ms = JF_DEFAULT_DEADLINE_MS;
	if (!has_only_keys(root, keys, "job", why) ||
	    !get_name(root, "service", &(*form)->service, why) ||
	    !get_name(root, "team", &(*form)->team, why) ||
	    !get_int(root, "deadline_ms", 1, JF_MAX_DEADLINE_MS,
		&(*form)->deadline_ms, why))
		code = REF_BAD_REQUEST;
	else
		code = read_tasks(root, limits, *form, why);
	json_object_put(root);
	if (code != REF_NONE)
		g_clear_pointer(form, jf_free);
	return code;
}

/* NULL is allowed. */
void
jf_free(struct jf_submission *form)
{
	uint32_t i;

	if (form == NULL)
		return;
	for (i = 0; i < form->n_tasks; i++)
		g_clear_pointer(&form->tasks[i].payload, g_bytes_unref);
	g_free(form->tasks);
	g_free(form->service);
	g_free(form->team);
	g_free(form);
}

enum ref_code
jf_parse_count(
    const void *body, size_t len, uint32_t *count, struct status *why)
{
	static const char *const keys[] = {"count", NULL};
	struct json_object *root;
	enum ref_code code;
	int64_t n = 1;

	*count = 1;
	if (len == 0)
		return REF_NONE;
	code = parse_json(body, len, &root, why);
	if (code != REF_NONE)
		return code;
	if (!has_only_keys(root, keys, "body", why) ||
	    !get_int(root, "count", 1, JF_MAX_IDS, &n, why))
		code = REF_BAD_REQUEST;
	json_object_put(root);
	*count = (uint32_t)n;
	return code;
}

static void
append_string(GString *out, const char *text, size_t len)
{
	struct json_object *value = json_object_new_string_len(text, (int)len);

	g_string_append(
	    out, json_object_to_json_string_ext(value,
		     JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(value);
}

static void
append_result(GString *out, uint32_t index, const struct job_task *task)
{
	gsize len = 0;
	const char *body = g_bytes_get_data(task->body, &len);
	char *base64;

	g_string_append_printf(out, "%s{\"task\":%u,\"status\":%u,",
	    index == 0 ? "" : ",", index, task->status);
	if (len == 0 || g_utf8_validate_len(body, len, NULL)) {
		g_string_append(out, "\"body\":");
		append_string(out, body != NULL ? body : "", len);
	} else {
		base64 = g_base64_encode((const guchar *)body, len);
		g_string_append_printf(
		    out, "\"encoding\":\"base64\",\"body\":\"%s\"", base64);
		g_free(base64);
	}
	g_string_append_c(out, '}');
}

static void
append_failure(GString *out, const struct job *job)
{
	static const char *const messages[] = {
	    [JOB_CAUSE_NONE] = "",
	    [JOB_CAUSE_TASK_FAILED] = "a task failed",
	    [JOB_CAUSE_TASK_UNKNOWN] = "the outcome of a task is unknown",
	    [JOB_CAUSE_DEADLINE] = "the deadline passed",
	    [JOB_CAUSE_CANCELLED] = "the job was cancelled",
	    [JOB_CAUSE_ANSWER_TOO_LARGE] = "the results are too large",
	};
	uint32_t i;

	g_string_append_printf(out,
	    "\"state\":\"failed\",\"error\":\"%s\",\"ran\":\"%s\","
	    "\"message\":\"%s",
	    job_cause_name(job_cause(job)), job_ran_name(job_ran(job)),
	    messages[job_cause(job)]);
	for (i = 0; i < job_n_tasks(job); i++) {
		if (job_task(job, i)->state != JOB_TASK_FAILED)
			continue;
		g_string_append_printf(
		    out, ": task %u, status %u", i, job_task(job, i)->status);
		break;
	}
	g_string_append(out, "\",");
}

GString *
jf_answer(const struct job *job, const char *next_id, uint32_t *http_status)
{
	GString *out = g_string_new("{\"id\":");
	uint32_t i;

	append_string(out, job_id(job), strlen(job_id(job)));
	g_string_append_c(out, ',');
	switch (job_state(job)) {
	case JOB_RUNNING:
	case JOB_FAILING:
		*http_status = 202;
		g_string_append(out, "\"state\":\"running\",");
		break;
	case JOB_FAILED:
		*http_status = job_cause(job) == JOB_CAUSE_DEADLINE ? 504 : 502;
		append_failure(out, job);
		break;
	case JOB_COMPLETE:
		*http_status = 200;
		g_string_append(out, "\"state\":\"complete\",\"results\":[");
		for (i = 0; i < job_n_tasks(job); i++)
			append_result(out, i, job_task(job, i));
		g_string_append(out, "],");
		break;
	}
	g_string_append_printf(out, "\"next_id\":\"%s\"}", next_id);
	return out;
}
