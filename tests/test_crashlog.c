#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/crashlog.h"
#include "runner.h"

#define MAX_RUNS 8

struct trace {
	struct crl *crl;
	struct crl_run runs[MAX_RUNS];
	size_t n_runs;
};

static void *
start(void)
{
	struct trace *t = g_new0(struct trace, 1);

	t->crl = crl_new(0);
	return t;
}

static void
forget_runs(struct trace *t)
{
	while (t->n_runs > 0) {
		g_free((char *)t->runs[--t->n_runs].task);
		g_free((char *)t->runs[t->n_runs].queue);
	}
}

static void
end(void *ctx)
{
	struct trace *t = ctx;

	forget_runs(t);
	crl_free(t->crl);
	g_free(t);
}

static void
run(struct trace *t, char **w)
{
	ck_assert_uint_lt(t->n_runs, MAX_RUNS);
	t->runs[t->n_runs++] = (struct crl_run){
	    .task = g_strdup(w[1]),
	    .queue = g_strndup(w[1], 1),
	    .sent_ms = atoi(w[2]),
	};
}

static void
crash(struct trace *t, char **w, GString *actual)
{
	const struct crl_crash *crash = crl_add(
	    t->crl, (uint64_t)atoi(w[1]), atoi(w[2]), t->runs, t->n_runs);
	size_t i;

	forget_runs(t);
	if (crash == NULL) {
		g_string_append(actual, "none");
		return;
	}
	for (i = 0; i < crash->n_suspects; i++)
		g_string_append_printf(actual, "%s%s/%s=%u", i > 0 ? " " : "",
		    crash->suspects[i].task, crash->suspects[i].queue,
		    crash->suspects[i].weight_permille);
}

static void
settle(struct trace *t, char **w, GString *actual)
{
	static const char *const states[] = {
	    "presumed", "confirmed", "withdrawn"};
	const struct crl_crash *crash = crl_settle(
	    t->crl, (uint64_t)atoi(w[1]), strcmp(w[2], "ready") == 0);

	if (crash != NULL)
		g_string_append_printf(actual, "%d:%s", (int)crash->incarnation,
		    states[crash->state]);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct trace *t = ctx;

	if (strcmp(w[0], "run") == 0)
		run(t, w);
	else if (strcmp(w[0], "crash") == 0)
		crash(t, w, actual);
	else if (strcmp(w[0], "sample") == 0) {
		crl_sample(t->crl, atoi(w[1]), t->runs, t->n_runs);
		forget_runs(t);
	} else if (strcmp(w[0], "settle") == 0)
		settle(t, w, actual);
	else if (strcmp(w[0], "expire") == 0)
		crl_expire(t->crl, atoi(w[1]));
	else if (strcmp(w[0], "count") == 0)
		g_string_append_printf(actual, "%zu", crl_count(t->crl));
	else
		ck_abort_msg("unknown command %s", w[0]);
}

#define MANY_RUNS 100000

/*
 * Guards against a pass over the runs that takes time with the square of their
 * number, minutes here, and against a report that names more than a message
 * holds.
 */
START_TEST(many_runs)
{
	struct crl_run *runs = g_new0(struct crl_run, MANY_RUNS);
	struct crl *crl = crl_new(0);
	const struct crl_crash *crash;
	int i;

	for (i = 0; i < MANY_RUNS; i++)
		runs[i] = (struct crl_run){
		    .task = g_strdup_printf("j%d.0.0.%d", i / 2, i % 2),
		    .queue = "q",
		    .sent_ms = i};
	crl_sample(crl, MANY_RUNS, runs, MANY_RUNS);
	crash = crl_add(crl, 1, MANY_RUNS, runs, MANY_RUNS);
	ck_assert_uint_le(crash->n_suspects, 4096);
	ck_assert_str_eq(crash->suspects[0].task, runs[MANY_RUNS - 2].task);
	for (i = 0; i < MANY_RUNS; i++)
		g_free((char *)runs[i].task);
	g_free(runs);
	crl_free(crl);
}
END_TEST

/*
 * Guards against blaming a crash on runs that cannot have caused it, and
 * against taking a worker that was cut off for one that crashed.
 */
REPLAY_MAIN("crashlog", 0, start, end, step, many_runs)
