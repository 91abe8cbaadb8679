#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "request/sched.h"
#include "runner.h"

#define LOST_RUN_TIMEOUT_MS 1300
/* Cases start after STARTUP_GRACE_MS; "at" counts from their start. */
#define CASE_START_MS 100000
/* With the policy "startup" the process starts with the case. */
#define STARTUP_WAIT_MS 3000

struct link {
	char *name;
	struct wks_worker *worker;
	bool broken;
};

struct trace {
	struct sch *sch;
	GHashTable *links; /* name to struct link */
	GHashTable *out;
	GString *actual;
	int64_t now_ms;
	int64_t expected_ms; /* of the last start */
	uint64_t seq;	     /* likewise */
};

static const char *const ends[] = {
    "completed", "failed", "expired", "hopeless", "broken"};
static const char *const outcomes[] = {
    "done", "failed", "not_started", "lost", "stalled"};
static const char *const verdicts[] = {"accepted", "no_workers", "too_large",
    "overloaded", "backlog", "confined", "crashing", "unserved"};

static void
emit(struct trace *t, const char *fmt, ...)
{
	va_list ap;

	if (t->actual->len > 0)
		g_string_append_c(t->actual, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(t->actual, fmt, ap);
	va_end(ap);
}

static bool
on_start(void *data, const struct sch_start *s, void *ctx)
{
	struct link *link = data;

	if (link->broken)
		return false;
	emit(ctx, "%s<%s.%u.%u#%d", link->name, s->job, s->step, s->index,
	    (int)s->seq);
	((struct trace *)ctx)->expected_ms = s->expected_ms;
	((struct trace *)ctx)->seq = s->seq;
	return true;
}

static void
on_flush(void *data, void *ctx)
{
	(void)data;
	(void)ctx;
}

static void
on_cancel(void *data, uint64_t seq, void *ctx)
{
	struct link *link = data;

	emit(ctx, "cancel:%s#%d", link->name, (int)seq);
}

static void
on_start_failed(void *data, const struct sch_failed_start *failure, void *ctx)
{
	(void)data;
	(void)failure;
	(void)ctx;
}

static void
on_ended(void *waiter, const char *job, enum sch_job_end end,
    const char *reason, void *ctx)
{
	(void)waiter;
	(void)reason;
	emit(ctx, "%s=%s", job, ends[end]);
}

static bool
is_out(const char *domain, void *ctx)
{
	struct trace *t = ctx;

	return g_hash_table_contains(t->out, domain);
}

static void
link_free(gpointer data)
{
	struct link *link = data;

	g_free(link->name);
	g_free(link);
}

static void
on_delayed(const char *job, enum plg_delay why, uint32_t n_tasks, void *ctx)
{
	emit(ctx, "%s:%s%u", job, why == PLG_HELD ? "held" : "overtaken",
	    n_tasks);
}

static struct sch *
make_sch(struct trace *t, const struct sch_policy *policy, int64_t start_ms)
{
	struct sch_options opts = {
	    .policy = *policy,
	    .choice = {.cross_rack_factor = 1.5},
	    .lost_run_timeout_ms = LOST_RUN_TIMEOUT_MS,
	    .max_jobs = 8,
	    .start = on_start,
	    .flush = on_flush,
	    .cancel = on_cancel,
	    .start_failed = on_start_failed,
	    .ended = on_ended,
	    .delayed = on_delayed,
	    .ctx = t,
	};
	struct sch *sch = sch_new(&opts);

	sch_tick(sch, start_ms);
	wks_set_out_check(sch_workers(sch), is_out, t);
	return sch;
}

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->now_ms = CASE_START_MS;
	t->sch = make_sch(t, &(struct sch_policy){0}, 1);
	t->links =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	t->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}

static int64_t
number(const char *word)
{
	return word == NULL ? 0 : strtoll(word, NULL, 10);
}

/* retry COUNT: so many callers are refused. */
static void
retry(struct trace *t, char **w)
{
	int64_t i;

	for (i = 0; i < number(w[1]); i++)
		emit(t, "%d", (int)(sch_retry_ms(t->sch, t->now_ms) / 1000));
}

/* policy NAME...: as the first command of a case. */
static void
set_policy(struct trace *t, char **w)
{
	struct sch_policy policy = {
	    .order_by_objective =
		g_strv_contains((const char *const *)w, "order"),
	    .wait_for_faster =
		g_strv_contains((const char *const *)w, "faster"),
	    .learn_distributions =
		g_strv_contains((const char *const *)w, "distributions"),
	    .refuse_by_wait = g_strv_contains((const char *const *)w, "refuse"),
	    .startup_wait_ms =
		g_strv_contains((const char *const *)w, "startup")
		    ? STARTUP_WAIT_MS
		    : 0,
	};

	sch_free(t->sch);
	t->sch = make_sch(
	    t, &policy, policy.startup_wait_ms > 0 ? CASE_START_MS : 1);
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	sch_free(t->sch);
	g_hash_table_unref(t->links);
	g_hash_table_unref(t->out);
	g_free(t);
}

/* Jobs whose id begins with o are of another queue. */
static char *
queue_of(const char *id)
{
	return (char *)(*id == 'o' ? "other" : "q");
}

static struct link *
find(struct trace *t, const char *name)
{
	struct link *link = g_hash_table_lookup(t->links, name);

	ck_assert_msg(link != NULL, "no worker %s", name);
	return link;
}

/* worker NAME CPU DOMAIN KIND: adds or describes it, with its capacity free. */
static void
worker(struct trace *t, char **w)
{
	struct link *link = g_hash_table_lookup(t->links, w[1]);
	const char *labels[] = {w[4], "rack1"};
	struct wks_description d = {
	    .name = w[1],
	    .incarnation = 1,
	    .service = "desk",
	    .failure_domain = w[3],
	    .labels = labels,
	    .n_labels = 2,
	    .capacity = {.cpu_milli = number(w[2])},
	    .local = true,
	};

	if (link == NULL) {
		link = g_new0(struct link, 1);
		link->name = g_strdup(w[1]);
		g_hash_table_insert(t->links, link->name, link);
		link->worker = wks_add(sch_workers(t->sch), link);
	}
	wks_describe(sch_workers(t->sch), link->worker, &d);
	wks_set_room(link->worker, &d.capacity, true, t->now_ms);
}

/* COUNTxCPUxESTIMATE[%max_per_worker][@label][/after] */
static void
parse_step(const char *text, struct wk_step *step)
{
	const char *label = strchr(text, '@');
	const char *after = strchr(text, '/');
	const char *max = strchr(text, '%');
	long cpu, estimate;

	ck_assert_int_eq(
	    sscanf(text, "%ux%ldx%ld", &step->count, &cpu, &estimate), 3);
	step->size.cpu_milli = cpu;
	step->estimate_ms = estimate;
	if (max != NULL)
		step->max_per_worker = (uint32_t)number(max + 1);
	if (label != NULL)
		step->required_label =
		    g_strndup(label + 1, strcspn(label + 1, "/"));
	if (after == NULL)
		return;
	step->after = g_new0(uint32_t, 1);
	step->after[0] = (uint32_t)number(after + 1);
	step->n_after = 1;
}

/*
 * crash WORKER ID TASK...: the worker crashed under the tasks, the likeliest
 * cause first.
 */
static void
crash(struct trace *t, char **w)
{
	struct crl_suspect suspects[8];
	struct crl_crash report = {
	    .id = (uint64_t)number(w[2]),
	    .crashed_ms = t->now_ms,
	    .state = CRL_CONFIRMED,
	    .suspects = suspects,
	};

	for (; w[3 + report.n_suspects] != NULL; report.n_suspects++) {
		char *task = w[3 + report.n_suspects];

		ck_assert_uint_lt(report.n_suspects, G_N_ELEMENTS(suspects));
		suspects[report.n_suspects] = (struct crl_suspect){
		    .task = task,
		    .queue = queue_of(task),
		    .weight_permille = 1500 >> report.n_suspects,
		    .started = true,
		};
	}
	sch_report_crash(t->sch, w[1], &report, t->now_ms);
}

/* job ID PRIORITY DEADLINE ATTEMPTS STEP... */
static void
job(struct trace *t, char **w)
{
	struct rts_queue queue = {.name = queue_of(w[1]),
	    .service = (char *)"desk",
	    .stretch = 2,
	    .target_ms = 80};
	struct sch_request request = {.queue = &queue, .waiter = t};
	struct wk_job *spec = g_new0(struct wk_job, 1);
	enum sch_submit_result verdict;
	guint i;

	spec->id = g_strdup(w[1]);
	spec->spec = g_bytes_new_static("spec", 4);
	spec->n_steps = g_strv_length(w) - 5;
	spec->steps = g_new0(struct wk_step, spec->n_steps);
	for (i = 0; i < spec->n_steps; i++)
		parse_step(w[5 + i], &spec->steps[i]);
	queue.priority = (uint32_t)number(w[2]);
	queue.max_attempts = (uint32_t)number(w[4]);
	request.deadline_ms = t->now_ms + number(w[3]);
	request.job = spec;
	verdict = sch_submit(t->sch, &request, t->now_ms);
	if (verdict == SCH_ACCEPTED)
		return;
	emit(t, "%s", verdicts[verdict]);
	wk_job_free(spec);
}

/* result SEQ OUTCOME RUN_MS */
static void
result(struct trace *t, char **w)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		if (strcmp(outcomes[i], w[2]) == 0)
			sch_result(t->sch, (uint64_t)number(w[1]), i,
			    number(w[3]), "", t->now_ms);
	}
}

/*
 * many COUNT RUN_MS EVERY LONG_MS: jobs of one task of 60 ms, one after the
 * other, of which each EVERY-th runs for LONG_MS.
 */
static void
many(struct trace *t, char **w)
{
	char *words[] = {(char *)"job", (char *)"m", (char *)"0",
	    (char *)"5000", (char *)"1", (char *)"1x5x60", NULL};
	int64_t i, every = MAX(number(w[3]), 1);

	for (i = 1; i <= number(w[1]); i++) {
		bool is_long = i % every == 0;

		job(t, words);
		sch_place_tasks(t->sch, t->now_ms);
		sch_result(t->sch, t->seq, SCH_DONE, number(w[is_long ? 4 : 2]),
		    "", t->now_ms);
		wks_set_room(find(t, "a")->worker,
		    &find(t, "a")->worker->capacity, true, t->now_ms);
	}
	g_string_truncate(t->actual, 0);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;

	t->actual = actual;
	if (strcmp(w[0], "policy") == 0)
		set_policy(t, w);
	else if (strcmp(w[0], "pace") == 0)
		find(t, w[1])->worker->kind->log_slowness = (struct spd_mean){
		    .value = log((double)number(w[2]) / 100), .samples = 1000};
	else if (strcmp(w[0], "at") == 0) {
		t->now_ms = CASE_START_MS + number(w[1]);
		sch_tick(t->sch, t->now_ms);
	} else if (strcmp(w[0], "worker") == 0)
		worker(t, w);
	else if (strcmp(w[0], "room") == 0) {
		struct wk_size room = {.cpu_milli = number(w[2])};

		wks_set_room(find(t, w[1])->worker, &room, true, t->now_ms);
	} else if (strcmp(w[0], "lost") == 0)
		sch_disconnect(t->sch, find(t, w[1])->worker, t->now_ms);
	else if (strcmp(w[0], "remove") == 0) {
		sch_remove_worker(t->sch, find(t, w[1])->worker, t->now_ms);
		g_hash_table_remove(t->links, w[1]);
	} else if (strcmp(w[0], "break") == 0)
		find(t, w[1])->broken = true;
	else if (strcmp(w[0], "out") == 0)
		g_hash_table_add(t->out, g_strdup(w[1]));
	else if (strcmp(w[0], "in") == 0)
		g_hash_table_remove(t->out, w[1]);
	else if (strcmp(w[0], "slow") == 0)
		find(t, w[1])->worker->speed.reported_permille =
		    (uint32_t)number(w[2]);
	else if (strcmp(w[0], "job") == 0)
		job(t, w);
	else if (strcmp(w[0], "retry") == 0)
		retry(t, w);
	else if (strcmp(w[0], "many") == 0)
		many(t, w);
	else if (strcmp(w[0], "crash") == 0)
		crash(t, w);
	else if (strcmp(w[0], "run") == 0)
		sch_place_tasks(t->sch, t->now_ms);
	else if (strcmp(w[0], "result") == 0)
		result(t, w);
	else if (strcmp(w[0], "cancel") == 0)
		sch_cancel(t->sch, w[1]);
	else if (strcmp(w[0], "give_up") == 0)
		sch_abort_all(t->sch, "");
	else if (strcmp(w[0], "expected") == 0)
		emit(t, "%d", (int)t->expected_ms);
	else if (strcmp(w[0], "waiting") == 0)
		emit(t, sch_has_waiting_tasks(t->sch) ? "yes" : "no");
	else if (strcmp(w[0], "pending") == 0)
		emit(t, "%u", sch_n_unsent_jobs(t->sch, "q"));
	else
		ck_abort_msg("unknown command %s", w[0]);
}

/*
 * Guards against sending a task where it must not run or before its former run
 * has ended, and against running a job that was refused.
 */
REPLAY_MAIN("sched", 0, start, end, step)
