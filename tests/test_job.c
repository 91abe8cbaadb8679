#include <string.h>

#include "request/job.h"
#include "runner.h"

/* The commands are listed in tests/cases/job.txt. */

#define MAX_JOBS 16

struct fixture {
	struct ident *ids;
	struct job_table *table;
	struct job *jobs[MAX_JOBS]; /* references, by counter */
	int64_t now_ms;
	GString *notified;
	uint64_t waiter;
};

static void *
start(void)
{
	static const uint8_t key[ID_KEY_BYTES];
	struct fixture *w = g_new0(struct fixture, 1);
	struct job_options opts = {
	    .max_jobs = 3,
	    .max_answer_bytes = 100,
	    .max_bytes = 1000,
	    .max_waiters = 2,
	    .retention_ms = 600,
	};

	w->ids = opts.ids = id_new(1, key);
	w->table = job_table_new(&opts);
	w->notified = g_string_new(NULL);
	return w;
}

static void
end(void *ctx)
{
	struct fixture *w = ctx;
	int i;

	job_table_free(w->table);
	for (i = 0; i < MAX_JOBS; i++) {
		if (w->jobs[i] != NULL)
			job_unref(w->jobs[i]);
	}
	id_free(w->ids);
	g_string_free(w->notified, TRUE);
	g_free(w);
}

static const char *
put(struct fixture *w, char **words)
{
	static const char *const names[] = {
	    "created", "same", "conflict", "expired", "full"};
	int n = atoi(words[1]), n_tasks = atoi(words[3]), i;
	struct job_task_spec tasks[8];
	struct job_spec spec = {.id = words[1],
	    .counter = (uint64_t)n,
	    .service = "s",
	    .team = "t",
	    .tasks = tasks,
	    .n_tasks = (uint32_t)n_tasks};
	enum job_put result;
	struct job *job;

	if (words[4] != NULL) { /* a passed-through request */
		spec.counter = 0;
		spec.method = "GET";
	}
	memset(tasks, 0, sizeof(tasks));
	for (i = 0; i < n_tasks; i++)
		tasks[i].payload = g_bytes_new("0123456789", 10);
	memcpy(spec.digest, words[2], strlen(words[2]));
	result = job_put(w->table, &spec, &job);
	for (i = 0; i < n_tasks; i++)
		g_bytes_unref(tasks[i].payload);
	if (result == JOB_CREATED) {
		if (w->jobs[n] != NULL)
			job_unref(w->jobs[n]);
		w->jobs[n] = job_ref(job);
	}
	return names[result];
}

static void
show(const struct job *job, GString *out)
{
	static const char *const states[] = {
	    "running", "failing", "complete", "failed"};
	uint32_t i;

	g_string_append(out, states[job_state(job)]);
	if (job_cause(job) != JOB_CAUSE_NONE)
		g_string_append_printf(out, " %s %s",
		    job_cause_name(job_cause(job)), job_ran_name(job_ran(job)));
	g_string_append_c(out, ' ');
	for (i = 0; i < job_n_tasks(job); i++)
		g_string_append_c(out, "WPDFUN"[job_task(job, i)->state]);
	for (i = 0; i < job_n_tasks(job); i++) {
		if (job_task(job, i)->body != NULL)
			g_string_append_printf(out, " %u:%zu", i,
			    g_bytes_get_size(job_task(job, i)->body));
	}
}

static void
on_finished(struct job *job, void *ctx)
{
	struct fixture *w = ctx;

	g_string_append_printf(w->notified, " told:%s:%s", job_id(job),
	    job_state(job) == JOB_COMPLETE ? "complete" : "failed");
}

static bool
wait_for(struct fixture *w, struct job *job)
{
	uint64_t waiter = job_wait(job, on_finished, w);

	if (waiter != 0)
		w->waiter = waiter;
	return waiter != 0;
}

static bool
finish_task(struct fixture *w, struct job *job, char **words)
{
	static const char body[200] = "";
	uint32_t task = (uint32_t)atoi(words[2]);
	uint64_t seq = (uint64_t)atoi(words[3]);
	struct job_result result = {.body = body};

	if (strcmp(words[0], "unstarted") == 0)
		return job_not_started(job, task, seq, w->now_ms);
	if (strcmp(words[0], "unknown") == 0)
		return job_unknown(job, task, seq, w->now_ms);
	if (strcmp(words[0], "retry") == 0)
		return job_retry(job, task, seq);
	result.status = (uint32_t)atoi(words[4]);
	result.body_len = (size_t)atoi(words[5]);
	return job_done(job, task, seq, &result, w->now_ms);
}

static void
fail_job(struct fixture *w, struct job *job, const char *cause)
{
	job_fail(job,
	    strcmp(cause, "deadline") == 0 ? JOB_CAUSE_DEADLINE
					   : JOB_CAUSE_CANCELLED,
	    w->now_ms);
}

static void
step_job(struct fixture *w, char **words, GString *actual)
{
	struct job *job = w->jobs[atoi(words[1])];

	if (strcmp(words[0], "place") == 0)
		job_placed(
		    job, (uint32_t)atoi(words[2]), (uint64_t)atoi(words[3]));
	else if (strcmp(words[0], "show") == 0)
		show(job, actual);
	else if (strcmp(words[0], "next") == 0)
		g_string_append_printf(
		    actual, "%d", (int)job_next_waiting(job, 0));
	else if (strcmp(words[0], "fail") == 0)
		fail_job(w, job, words[2]);
	else if (strcmp(words[0], "giveup") == 0)
		job_give_up(job, w->now_ms);
	else if (strcmp(words[0], "wait") == 0)
		g_string_append(actual, wait_for(w, job) ? "ok" : "no");
	else if (strcmp(words[0], "unwait") == 0)
		job_unwait(job, w->waiter);
	else if (!finish_task(w, job, words))
		g_string_append(actual, "dropped");
	g_string_append(actual, w->notified->str);
	g_string_truncate(w->notified, 0);
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct fixture *w = ctx;

	if (strcmp(words[0], "at") == 0) {
		w->now_ms = atoi(words[1]);
		job_expire(w->table, w->now_ms);
	} else if (strcmp(words[0], "put") == 0) {
		g_string_append(actual, put(w, words));
	} else if (strcmp(words[0], "table") == 0) {
		g_string_append_printf(actual, "%u jobs %u open %u bytes",
		    job_table_count(w->table), job_table_open(w->table),
		    (unsigned)job_table_bytes(w->table));
	} else {
		step_job(w, words, actual);
	}
}

/* Each case says which failure it guards against. */
REPLAY_MAIN("job", 0, start, end, step)
