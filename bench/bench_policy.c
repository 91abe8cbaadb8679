#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replay.h"
#include "workload.h"

/*
 * Simulates placement policies: feeds generated job arrivals to the placement
 * module, without sockets, and prints one result per line as "name value
 * unit".  docs/POLICY.md explains the model and the results.
 */

#define MAX_SEEDS	20
#define AHEAD_UNLIMITED 100000 /* tasks; entries never hold tasks back */

static guint n_seeds = 5;
static guint n_tasks = 100000;

struct variant {
	const char *name;
	struct replay_options opts;
};

static const struct variant variants[] = {
    {"random.agent_queue", {.policy = PLACE_RANDOM, .ahead = AHEAD_UNLIMITED}},
    {"least_outstanding.agent_queue",
	{.policy = PLACE_LEAST_OUTSTANDING, .ahead = AHEAD_UNLIMITED}},
    {"two_choices.agent_queue",
	{.policy = PLACE_TWO_CHOICES, .ahead = AHEAD_UNLIMITED}},
    {"least_wait.agent_queue",
	{.policy = PLACE_LEAST_WAIT, .ahead = AHEAD_UNLIMITED}},
    {"random.ahead0", {.policy = PLACE_RANDOM}},
    {"least_outstanding.ahead0", {.policy = PLACE_LEAST_OUTSTANDING}},
    {"two_choices.ahead0", {.policy = PLACE_TWO_CHOICES}},
    {"least_wait.ahead0", {.policy = PLACE_LEAST_WAIT}},
    {"least_wait.ahead1", {.policy = PLACE_LEAST_WAIT, .ahead = 1}},
    {"least_wait.ahead2", {.policy = PLACE_LEAST_WAIT, .ahead = 2}},
    {"least_wait.ahead8", {.policy = PLACE_LEAST_WAIT, .ahead = 8}},
    {"least_wait.ahead0.longest_first",
	{.policy = PLACE_LEAST_WAIT, .longest_first = true}},
    {"earliest_finish.ahead0",
	{.policy = PLACE_EARLIEST_FINISH, .longest_first = true}},
    {"earliest_finish.ahead1",
	{.policy = PLACE_EARLIEST_FINISH, .longest_first = true, .ahead = 1}},
    {"earliest_finish.ahead2",
	{.policy = PLACE_EARLIEST_FINISH, .longest_first = true, .ahead = 2}},
    {"earliest_finish.ahead8",
	{.policy = PLACE_EARLIEST_FINISH, .longest_first = true, .ahead = 8}},
    {"earliest_finish.ahead1.arrival_order",
	{.policy = PLACE_EARLIEST_FINISH, .ahead = 1}},
    {"earliest_finish.ahead1.head_only",
	{.policy = PLACE_EARLIEST_FINISH, .ahead = 1, .head_only = true}},
    {"earliest_finish.ahead1.local", {.policy = PLACE_EARLIEST_FINISH,
					 .longest_first = true,
					 .ahead = 1,
					 .prefer_local = true}},
    {"earliest_finish.ahead1.heartbeat100", {.policy = PLACE_EARLIEST_FINISH,
						.longest_first = true,
						.ahead = 1,
						.heartbeat_us = 100000}},
    {"earliest_finish.ahead0.instant", {.policy = PLACE_EARLIEST_FINISH,
					   .longest_first = true,
					   .instant = true}},
    {"least_wait.ahead0.local",
	{.policy = PLACE_LEAST_WAIT, .prefer_local = true}},
    {"least_wait.ahead0.heartbeat100",
	{.policy = PLACE_LEAST_WAIT, .heartbeat_us = 100000}},
    {"least_wait.ahead0.instant",
	{.policy = PLACE_LEAST_WAIT, .instant = true}},
};

/* The values of one result, one per seed. */
struct samples {
	double values[MAX_SEEDS];
	guint n;
};

static void
add_sample(struct samples *f, double value)
{
	f->values[f->n++] = value;
}

static void
print_samples(
    const char *prefix, const char *name, const char *unit, struct samples *f)
{
	double sum = 0;
	double low = f->values[0];
	double high = f->values[0];
	guint i;

	for (i = 0; i < f->n; i++) {
		sum += f->values[i];
		low = MIN(low, f->values[i]);
		high = MAX(high, f->values[i]);
	}
	printf("%s.%s %.3f %s\n", prefix, name, sum / f->n, unit);
	printf("%s.%s.low %.3f %s\n", prefix, name, low, unit);
	printf("%s.%s.high %.3f %s\n", prefix, name, high, unit);
	f->n = 0;
}

struct result_samples {
	struct samples mean_ratio, p99_ratio, mean_ms, p99_ms, free_mean,
	    free_p99, agent_wait, lost_jobs, lost_work, return_mean, return_p99;
};

static void
add_result(struct result_samples *f, const struct replay_result *res)
{
	add_sample(&f->mean_ratio, res->mean_ratio);
	add_sample(&f->p99_ratio, res->p99_ratio);
	add_sample(&f->mean_ms, res->mean_ms);
	add_sample(&f->p99_ms, res->p99_ms);
	add_sample(&f->free_mean, res->free_mean_ratio);
	add_sample(&f->free_p99, res->free_p99_ratio);
	add_sample(&f->agent_wait, res->agent_wait_ms);
	add_sample(&f->lost_jobs, res->lost_jobs);
	add_sample(&f->lost_work, res->lost_work);
	add_sample(&f->return_mean, res->return_mean_ms);
	add_sample(&f->return_p99, res->return_p99_ms);
}

static void
print_result(
    const char *prefix, struct result_samples *f, guint job_size, bool returns)
{
	print_samples(prefix, "mean_ratio", "ratio", &f->mean_ratio);
	print_samples(prefix, "p99_ratio", "ratio", &f->p99_ratio);
	print_samples(prefix, "mean", "ms", &f->mean_ms);
	print_samples(prefix, "p99", "ms", &f->p99_ms);
	if (job_size == 1) {
		print_samples(
		    prefix, "free_mean_ratio", "ratio", &f->free_mean);
		print_samples(prefix, "free_p99_ratio", "ratio", &f->free_p99);
	}
	print_samples(prefix, "agent_wait", "ms", &f->agent_wait);
	print_samples(prefix, "lost_jobs", "share", &f->lost_jobs);
	print_samples(prefix, "lost_work", "share", &f->lost_work);
	if (returns) {
		print_samples(prefix, "return_mean", "ms", &f->return_mean);
		print_samples(prefix, "return_p99", "ms", &f->return_p99);
	}
	fflush(stdout);
}

static struct {
	const char *only; /* run variants whose name ends in this */
	guint entries;
	double load;
	double declared_error;
	gint job_size;
	bool domain_returns;
} args = {.entries = 3, .load = 0, .job_size = -1};

static void
run_variant(const char *name, const struct replay_options *base,
    struct workload_options wl)
{
	struct result_samples *f = g_new0(struct result_samples, 1);
	char *prefix = g_strdup_printf("entries%u.load%.0f.job%u.%s",
	    wl.entries, wl.load * 100, wl.job_size, name);
	guint seed;

	for (seed = 1; seed <= n_seeds; seed++) {
		struct replay_options opts = *base;
		struct replay_result res;
		struct workload *load;

		wl.seed = seed;
		wl.n_tasks = n_tasks;
		wl.declared_error = args.declared_error;
		opts.seed = seed;
		opts.entries = wl.entries;
		load = workload_new(&wl);
		res = replay_run(load, &opts);
		add_result(f, &res);
		workload_free(load);
	}
	print_result(prefix, f, wl.job_size, base->period_us > 0);
	g_free(prefix);
	g_free(f);
}

static void
run_variants(void)
{
	static const double loads[] = {0.5, 0.8, 0.95};
	static const gint sizes[] = {1, 20, 100};
	guint l;
	guint k;
	guint v;

	for (l = 0; l < G_N_ELEMENTS(loads); l++) {
		for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
			struct workload_options wl = {.load = loads[l],
			    .job_size = (uint32_t)sizes[k],
			    .entries = args.entries};

			if ((args.load > 0 && loads[l] != args.load) ||
			    (args.job_size >= 0 && sizes[k] != args.job_size))
				continue;
			for (v = 0; v < G_N_ELEMENTS(variants); v++) {
				if (args.only == NULL ||
				    g_str_has_suffix(
					variants[v].name, args.only))
					run_variant(variants[v].name,
					    &variants[v].opts, wl);
			}
		}
	}
}

/*
 * Failure domain 0 is drained for 10 s of every 30 s.  Its workers return at a
 * quarter of their speed, which rises again with each task they finish.
 */
static void
run_domain_returns(void)
{
	static const struct variant return_variants[] = {
	    {"return.equal_share",
		{.policy = PLACE_RANDOM, .ahead = AHEAD_UNLIMITED}},
	    {"return.least_wait.agent_queue",
		{.policy = PLACE_LEAST_WAIT, .ahead = AHEAD_UNLIMITED}},
	    {"return.earliest_finish.ahead1",
		{.policy = PLACE_EARLIEST_FINISH, .ahead = 1}},
	};
	static const double loads[] = {0.5, 0.6};
	guint l;
	guint v;

	for (l = 0; l < G_N_ELEMENTS(loads); l++) {
		for (v = 0; v < G_N_ELEMENTS(return_variants); v++) {
			struct workload_options wl = {.load = loads[l],
			    .job_size = 1,
			    .entries = args.entries};
			struct replay_options opts = return_variants[v].opts;

			opts.period_us = 30000000;
			opts.away_us = 10000000;
			opts.cold = 0.25;
			run_variant(return_variants[v].name, &opts, wl);
		}
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 's':
		n_seeds = MIN((guint)strtoul(arg, NULL, 10), MAX_SEEDS);
		break;
	case 't':
		n_tasks = (guint)strtoul(arg, NULL, 10);
		break;
	case 'e':
		args.entries = CLAMP((guint)strtoul(arg, NULL, 10), 1, 3);
		break;
	case 'l':
		args.load = g_ascii_strtod(arg, NULL) / 100;
		break;
	case 'j':
		args.job_size = (gint)strtol(arg, NULL, 10);
		break;
	case 'o':
		args.only = arg;
		break;
	case 'd':
		args.declared_error = g_ascii_strtod(arg, NULL);
		break;
	case 'r':
		args.domain_returns = true;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"seeds", 's', "N", 0, "run seeds 1 to N (5)", 0},
	    {"tasks", 't', "N", 0, "tasks per run (100000)", 0},
	    {"entries", 'e', "N", 0, "entries (3)", 0},
	    {"load", 'l', "PERCENT", 0, "only this load", 0},
	    {"job", 'j', "N", 0, "only jobs of this size", 0},
	    {"only", 'o', "TEXT", 0, "only variants whose name ends in TEXT",
		0},
	    {"declared-error", 'd', "FACTOR", 0,
		"largest error of the declared run times (10)", 0},
	    {"returns", 'r', NULL, 0, "only the return of a failure domain", 0},
	    {0}};
	static const struct argp argp = {options, parse_option, NULL,
	    "Simulates placement policies on generated job arrivals.", NULL,
	    NULL, NULL};

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return EXIT_FAILURE;
	if (!args.domain_returns)
		run_variants();
	if (args.domain_returns ||
	    (args.only == NULL && args.load == 0 && args.job_size < 0))
		run_domain_returns();
	return EXIT_SUCCESS;
}
