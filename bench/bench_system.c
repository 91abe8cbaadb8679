/*
 * Puts open-loop load on a system of real processes: 3 entries and 10 workers
 * of different speed in 3 failure domains.  A proxy adds the network latencies
 * that the workload model assumes.  docs/POLICY.md explains the results.  The
 * exit status is not 0 when a guarantee was violated.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "probe.h"
#include "workload.h"

#define JOBS_TIMEOUT_MS	   120000
#define IDS_PER_REQUEST	   1000
#define WARM_UP_SHARE	   0.1 /* share of jobs excluded, as in replay.c */
#define SAMPLE_INTERVAL_MS 100
#define OUTAGE_LOAD	   1.2 /* over capacity, so that workers never idle */
#define OUTAGE_BEGIN_MS	   4000
#define OUTAGE_END_MS	   12000
#define OUTAGE_RUN_MS	   18000

static struct sys sys;
static struct workload *load;
static uint64_t seed = 1;

/*
 * Violations of guarantees; all must stay 0: tasks started more than once,
 * answers without all results, results of another task, tasks that started
 * although their job was answered "not_run", and starts in a failure domain
 * more than SYS_CONFIG_BOUND_MS after "spctl out" was called for it.
 */
static struct {
	int duplicate_starts, partial_answers, foreign_results,
	    not_run_that_ran, starts_after_out;
} violations;

static GHashTable *refusals; /* code -> count */
static GHashTable *starts;   /* task id -> starts at all endpoints */
static GPtrArray *not_run;   /* ids of jobs answered "not_run" */

struct job_call {
	const char *id;
	uint32_t job;
	struct call *call;
	bool complete;
	double ms; /* response time, counted from the scheduled send time */
};

static struct {
	struct job_call *jobs;
	uint32_t next, in_flight, complete, failed;
	int64_t start_us;
	guint timer;
	GPtrArray *ids[DOMAINS];
} run;

static const char *
take_id(uint32_t entry)
{
	GPtrArray *ids = run.ids[entry];

	return g_ptr_array_steal_index(ids, ids->len - 1);
}

static void
request_ids(void)
{
	uint32_t e, n;
	int i;

	for (e = 0; e < DOMAINS; e++) {
		run.ids[e] = g_ptr_array_new();
		for (n = 0; n < load->n_jobs; n += IDS_PER_REQUEST) {
			struct hn_http *http =
			    hn_http("POST", sys_url(&sys, (int)e, "/v1/ids"),
				hn_str("{\"count\":%d}", IDS_PER_REQUEST));

			for (i = 0; i < IDS_PER_REQUEST; i++)
				g_ptr_array_add(
				    run.ids[e], (gpointer)hn_json_str(
						    http, hn_str("ids.%d", i)));
		}
	}
}

static char *
job_body(const struct job *job)
{
	GString *body =
	    g_string_new("{\"service\":\"" SYS_SERVICE "\",\"team\":\"" SYS_TEAM
			 "\",\"deadline_ms\":120000,\"tasks\":[");
	uint32_t i;

	for (i = 0; i < job->n; i++) {
		const struct task *t = &load->tasks[job->first + i];

		g_string_append_printf(body,
		    "%s{\"payload\":{\"run_ms\":%.3f},\"run_ms\":%d}",
		    i > 0 ? "," : "", (double)t->work_us / 1000,
		    (int)MAX(t->declared_us / 1000, 1));
	}
	g_string_append(body, "]}");
	return g_string_free(body, FALSE);
}

/* Checks that each task has a result and that it is the task's own. */
static void
check_results(const struct job_call *job_call, struct json_object *root)
{
	struct json_object *results = json_object_object_get(root, "results");
	size_t i, n = json_object_is_type(results, json_type_array)
			  ? json_object_array_length(results)
			  : 0;

	if (n != load->jobs[job_call->job].n)
		violations.partial_answers++;
	for (i = 0; i < n; i++) {
		struct json_object *item =
		    json_object_array_get_idx(results, i);
		char *id = g_strdup_printf("%s/%u", job_call->id, (guint)i);
		const char *text = json_object_get_string(
		    json_object_object_get(item, "body"));

		struct json_object *body =
		    text != NULL ? json_tokener_parse(text) : NULL;

		if (g_strcmp0(json_object_get_string(
				  json_object_object_get(body, "task")),
			id) != 0)
			violations.foreign_results++;
		json_object_put(body);
		g_free(id);
	}
}

static void
count_refusal(
    const struct job_call *job_call, struct json_object *root, int status)
{
	const char *code =
	    json_object_get_string(json_object_object_get(root, "error"));
	const char *ran =
	    json_object_get_string(json_object_object_get(root, "ran"));
	const char *key = hn_str("%s.%s", code != NULL ? code : "no_answer",
	    ran != NULL ? ran : hn_str("%d", status));
	int n = GPOINTER_TO_INT(g_hash_table_lookup(refusals, key));

	g_hash_table_replace(refusals, (gpointer)key, GINT_TO_POINTER(n + 1));
	if (g_strcmp0(ran, "not_run") == 0)
		g_ptr_array_add(not_run, (gpointer)job_call->id);
	run.failed++;
}

static void
on_answer(struct call *call, void *ctx)
{
	struct job_call *job_call = ctx;
	struct json_object *root =
	    call->body != NULL ? json_tokener_parse(call->body) : NULL;

	job_call->ms = (double)(call->ended_us - run.start_us -
				load->jobs[job_call->job].sent_us) /
		       1000;
	job_call->complete = call->status == 200;
	if (job_call->complete) {
		run.complete++;
		check_results(job_call, root);
	} else {
		count_refusal(job_call, root, call->status);
	}
	json_object_put(root);
	call_free(call);
	run.in_flight--;
}

static void
submit(uint32_t job)
{
	struct job_call *job_call = &run.jobs[job];
	int entry = (int)load->jobs[job].entry;
	char *body = job_body(&load->jobs[job]);

	job_call->job = job;
	job_call->id = take_id(load->jobs[job].entry);
	run.in_flight++;
	call_send("PUT",
	    sys_proxied_url(&sys, entry,
		hn_str("/v1/jobs/%s?wait_ms=120000", job_call->id)),
	    body, on_answer, job_call);
	g_free(body);
}

static gboolean
on_due(gpointer data)
{
	int64_t now_us = g_get_monotonic_time() - run.start_us;

	(void)data;
	while (
	    run.next < load->n_jobs && load->jobs[run.next].sent_us <= now_us)
		submit(run.next++);
	if (run.next < load->n_jobs)
		return G_SOURCE_CONTINUE;
	run.timer = 0;
	return G_SOURCE_REMOVE;
}

static void
start_load(double share, uint32_t job_size, double seconds)
{
	struct workload_options opts = {.seed = seed,
	    .load = share,
	    .job_size = job_size,
	    .entries = DOMAINS,
	    .n_tasks = 1};

	memset(&run, 0, sizeof(run));
	load = workload_new(&opts);
	/* A task has 0.43 s of work on average. */
	opts.n_tasks =
	    (uint32_t)(seconds * share * workload_capacity(load) / 0.43);
	workload_free(load);
	load = workload_new(&opts);
	run.jobs = g_new0(struct job_call, load->n_jobs);
	request_ids();
	run.start_us = g_get_monotonic_time();
	run.timer = g_timeout_add(1, on_due, NULL);
}

/* Waits for all answers. */
static void
finish_load(void)
{
	int i;

	if (!hn_wait_until(
		run.timer == 0 && run.in_flight == 0, JOBS_TIMEOUT_MS)) {
		fprintf(stderr,
		    "bench_system: %u jobs were not answered in time\n",
		    run.in_flight);
		exit(EXIT_FAILURE);
	}
	for (i = 0; i < DOMAINS; i++)
		g_ptr_array_unref(run.ids[i]);
	g_free(run.jobs);
	workload_free(load);
}

static void
print_ratios(const char *prefix)
{
	static const uint32_t sizes[] = {1, 20, 100};
	uint32_t i, k;

	for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
		GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));

		for (i = (uint32_t)(WARM_UP_SHARE * load->n_jobs);
		     i < load->n_jobs; i++) {
			double ratio = run.jobs[i].ms * 1000 /
				       (double)load->jobs[i].ideal_us;

			if (load->jobs[i].n == sizes[k] && run.jobs[i].complete)
				g_array_append_val(ratios, ratio);
		}
		if (ratios->len > 0)
			report_distribution(
			    hn_str("%s.job%u.ratio", prefix, sizes[k]), "ratio",
			    ratios);
		g_array_unref(ratios);
	}
}

struct messages {
	double all, started_tasks, start_messages, results_messages, heartbeats,
	    store, seconds;
};

static struct messages
count_messages(void)
{
	struct messages m = {0};
	int i;

	m.seconds = (double)g_get_monotonic_time() / 1e6;
	for (i = 0; i < sys.opts.entries; i++) {
		const char *text =
		    hn_http("GET", sys_url(&sys, i, "/metrics"), NULL)->body;

		m.all += metric_value(text, "sp_rpc_records_out_total");
		m.started_tasks += metric_value(text, "sp_starts_total");
		m.start_messages +=
		    metric_value(text, "sp_start_messages_total");
		m.results_messages +=
		    metric_value(text, "sp_results_messages_total");
		m.heartbeats += metric_value(text, "sp_heartbeats_total");
		m.store += metric_value(text, "sp_store_calls_total");
	}
	for (i = 0; i < sys.opts.agents; i++)
		m.all += metric_value(
		    agent_metrics(&sys, i), "sp_rpc_records_out_total");
	return m;
}

/*
 * Reports messages per started task.  Called when the last job has been sent,
 * so that the time in which the load runs down does not count.  Messages that
 * start tasks or return results are needed, all others are overhead.
 */
static void
print_messages(const char *prefix, struct messages before)
{
	struct messages m = count_messages();
	double tasks = m.started_tasks - before.started_tasks;
	double needed = m.start_messages - before.start_messages +
			m.results_messages - before.results_messages;
	double all = m.all - before.all;
	/* Each heartbeat has a reply. */
	double heartbeat_messages = 2 * (m.heartbeats - before.heartbeats);
	double store = m.store - before.store;

	report("messages/task", needed / tasks, "%s.needed", prefix);
	report("messages/task", (all - needed + store) / tasks, "%s.wasted",
	    prefix);
	report("messages/task", heartbeat_messages / tasks,
	    "%s.wasted.heartbeats", prefix);
	report("messages/task", store / tasks, "%s.wasted.store", prefix);
	report("messages/task", (all - needed - heartbeat_messages) / tasks,
	    "%s.wasted.other", prefix);
	report("s", m.seconds - before.seconds, "%s.time", prefix);
}

static void
measure_load(double share, uint32_t job_size, double seconds)
{
	const char *prefix = hn_str("system.load%.0f", share * 100);
	struct messages before;

	before = count_messages();
	start_load(share, job_size, seconds);
	hn_wait_until(run.timer == 0, JOBS_TIMEOUT_MS);
	print_messages(prefix, before);
	hn_wait_until(run.in_flight == 0, JOBS_TIMEOUT_MS);
	print_ratios(prefix);
	report("jobs", run.failed, "%s.failed", prefix);
	finish_load();
}

/* Adds the starts that one endpoint has counted to the table of starts. */
static void
collect_starts(int agent)
{
	struct hn_http *http = hn_http("GET",
	    hn_str("http://127.0.0.1:%u/control/starts",
		sys.agent[agent].endpoint_port),
	    NULL);
	struct json_object *counts =
	    json_object_object_get(http->json, "starts");

	if (!json_object_is_type(counts, json_type_object))
		return;
	json_object_object_foreach(counts, key, value)
	{
		int n = json_object_get_int(value) +
			GPOINTER_TO_INT(g_hash_table_lookup(starts, key));

		g_hash_table_replace(starts, g_strdup(key), GINT_TO_POINTER(n));
	}
}

static void
check_starts(void)
{
	GHashTableIter iter;
	gpointer key, value;
	guint i;

	for (i = 0; i < (guint)sys.opts.agents; i++)
		collect_starts((int)i);
	g_hash_table_iter_init(&iter, starts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		violations.duplicate_starts += GPOINTER_TO_INT(value) > 1;
		for (i = 0; i < not_run->len; i++)
			violations.not_run_that_ran +=
			    g_str_has_prefix(key, not_run->pdata[i]);
	}
}

/* Sums over samples: slots in use * speed, and available slots * speed. */
static struct {
	int in_use[WORKERS];
	bool away; /* domain 0 is out or killed: no capacity */
	double done, capacity;
	bool sampling;
} outage_work;

static void
on_slots_in_use(struct call *call, void *ctx)
{
	const char *at =
	    call->body != NULL ? strstr(call->body, "\"in_use\":") : NULL;

	*(int *)ctx = at != NULL ? atoi(at + strlen("\"in_use\":")) : 0;
	call_free(call);
}

static gboolean
on_sample(gpointer data)
{
	int i;

	(void)data;
	for (i = 0; i < WORKERS && outage_work.sampling; i++) {
		bool away = outage_work.away && worker_domain((uint32_t)i) == 0;

		outage_work.done += outage_work.in_use[i] * load->speed[i];
		outage_work.capacity += away ? 0 : SLOTS * load->speed[i];
		call_send("GET",
		    hn_str("http://127.0.0.1:%u/control/starts?summary=1",
			sys.agent[i].endpoint_port),
		    NULL, on_slots_in_use, &outage_work.in_use[i]);
	}
	return outage_work.sampling;
}

static int64_t
starts_in_domain_0(void)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < WORKERS; i += DOMAINS)
		sum += MAX(sys_endpoint_starts(&sys, i), 0);
	return sum;
}

static void
run_spctl(const char *command)
{
	struct hn_proc *proc = hn_start(
	    "spctl", (const char *[]){"spctl", "--entry",
			 hn_str("http://127.0.0.1:%u", sys.entry[1].operators),
			 command, "failure_domain", "domain-0", NULL});

	if (hn_wait_exit(proc, JOBS_TIMEOUT_MS) != 0)
		fprintf(stderr, "bench_system: spctl %s failed\n", command);
}

static void
set_speed(int agent)
{
	sys_set_endpoint_mode(
	    &sys, agent, hn_str("speed=%.4f", load->speed[agent]));
}

static void
sleep_until(int64_t ms)
{
	int64_t left = ms - (g_get_monotonic_time() - run.start_us) / 1000;

	if (left > 0)
		hn_sleep(left);
}

static void
take_domain_out(void)
{
	int64_t counted;

	outage_work.away = true;
	run_spctl("out");
	sleep_until(OUTAGE_BEGIN_MS + SYS_CONFIG_BOUND_MS);
	counted = starts_in_domain_0();
	sleep_until(OUTAGE_END_MS);
	violations.starts_after_out += (int)(starts_in_domain_0() - counted);
	outage_work.away = false;
	run_spctl("in");
}

/*
 * Kills the agents and endpoints of domain 0.  The agents get SIGSTOP first, so
 * that no task starts after the endpoints' counts of starts have been read.
 */
static void
kill_domain(void)
{
	int i;

	for (i = 0; i < WORKERS; i += DOMAINS)
		hn_signal(sys.agent[i].proc, SIGSTOP);
	for (i = 0; i < WORKERS; i += DOMAINS)
		collect_starts(i);
	for (i = 0; i < WORKERS; i += DOMAINS) {
		hn_kill(sys.agent[i].proc);
		hn_kill(sys.agent[i].endpoint);
	}
	outage_work.away = true;
	sleep_until(OUTAGE_END_MS);
	for (i = 0; i < WORKERS; i += DOMAINS) {
		hn_restart(sys.agent[i].proc);
		hn_restart(sys.agent[i].endpoint);
	}
	for (i = 0; i < WORKERS; i += DOMAINS) {
		hn_wait_until(
		    sys_endpoint_starts(&sys, i) >= 0, JOBS_TIMEOUT_MS);
		set_speed(i);
	}
	outage_work.away = false;
}

/*
 * Makes domain 0 unavailable for 8 s under overload and reports the work done
 * as a share of the remaining capacity.
 */
static void
measure_outage(const char *name, void (*take_out)(void))
{
	start_load(OUTAGE_LOAD, 20, OUTAGE_RUN_MS / 1000.0);
	memset(&outage_work, 0, sizeof(outage_work));
	sleep_until(OUTAGE_BEGIN_MS - 1000);
	outage_work.sampling = true;
	g_timeout_add(SAMPLE_INTERVAL_MS, on_sample, NULL);
	sleep_until(OUTAGE_BEGIN_MS - 500);
	outage_work.done = outage_work.capacity = 0;
	sleep_until(OUTAGE_BEGIN_MS);
	take_out();
	sleep_until(OUTAGE_RUN_MS);
	outage_work.sampling = false;
	report("share", outage_work.done / outage_work.capacity,
	    "system.%s.work_of_capacity", name);
	hn_wait_until(run.timer == 0 && run.in_flight == 0, JOBS_TIMEOUT_MS);
	report("jobs", run.complete, "system.%s.complete", name);
	report("jobs", run.failed, "system.%s.failed", name);
	finish_load();
}

static void
start_system(void)
{
	struct workload_options opts = {
	    .seed = seed, .load = 0.5, .entries = DOMAINS, .n_tasks = 1};
	int i, d;

	sys_start(&sys, &(struct sys_options){.entries = DOMAINS,
			    .agents = WORKERS,
			    .domains = DOMAINS,
			    .slots = SLOTS,
			    .entry_settings = ",\"policy\":\"earliest_finish\","
					      "\"agent_queue\":1"});
	load = workload_new(&opts);
	for (i = 0; i < WORKERS; i++)
		set_speed(i);
	workload_free(load);
	for (i = 0; i < DOMAINS; i++) {
		sys_set_proxy_rule(
		    &sys, sys.entry[i].proxied_listen, "action=delay&ms=3");
		/*
		 * The model has 1.5 ms each way.  The proxy delays by whole
		 * milliseconds, hence the rules for 1 ms up and 2 ms down; but
		 * a delay rule resets the other direction, so only 2 ms apply.
		 */
		for (d = 0; d < DOMAINS; d++) {
			if (d == i)
				continue;
			sys_set_proxy_rule(&sys, sys.entry[i].proxied_rpc,
			    hn_str("action=delay&direction=up&ms=1"
				   "&match=domain-%d",
				d));
			sys_set_proxy_rule(&sys, sys.entry[i].proxied_rpc,
			    hn_str("action=delay&direction=down&ms=2"
				   "&match=domain-%d",
				d));
		}
	}
}

static int
print_violations(void)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, refusals);
	while (g_hash_table_iter_next(&iter, &key, &value))
		report("jobs", GPOINTER_TO_INT(value), "system.refused.%s",
		    (char *)key);
	report("tasks", g_hash_table_size(starts), "system.started");
	report("tasks", violations.duplicate_starts,
	    "violations.duplicate_starts");
	report(
	    "jobs", violations.partial_answers, "violations.partial_answers");
	report("results", violations.foreign_results,
	    "violations.foreign_results");
	report("tasks", violations.not_run_that_ran,
	    "violations.not_run_that_ran");
	report("starts", violations.starts_after_out,
	    "violations.starts_after_out");
	return violations.duplicate_starts + violations.partial_answers +
	       violations.foreign_results + violations.not_run_that_ran +
	       violations.starts_after_out;
}

static bool json, changes = true, mixed;
static double seconds = 10, only_load;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'j':
		json = true;
		return 0;
	case 's':
		seed = g_ascii_strtoull(arg, NULL, 10);
		return 0;
	case 'd':
		seconds = CLAMP(g_ascii_strtod(arg, NULL), 1, 300);
		return 0;
	case 'l':
		only_load = g_ascii_strtod(arg, NULL) / 100;
		return 0;
	case 'm':
		mixed = true;
		return 0;
	case 'n':
		changes = false;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
measure_loads(void)
{
	static const double loads[] = {0.5, 0.8, 0.95};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		if (only_load > 0 && loads[i] != only_load)
			continue;
		if (mixed) {
			measure_load(loads[i], 0, seconds);
			continue;
		}
		measure_load(loads[i], 1, seconds);
		measure_load(loads[i], 20, seconds);
		measure_load(loads[i], 100, seconds);
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"json", 'j', NULL, 0, "print JSON", 0},
	    {"seed", 's', "N", 0, "seed of the workload (1)", 0},
	    {"duration", 'd', "SECONDS", 0,
		"time in which jobs arrive at each load (10)", 0},
	    {"load", 'l', "PERCENT", 0, "only this load", 0},
	    {"mixed", 'm', NULL, 0, "jobs of 1, 20 and 100 at once", 0},
	    {"no-changes", 'n', NULL, 0,
		"skip the runs in which a failure domain is out", 0},
	    {0}};
	static const struct argp argp = {options, parse_option, NULL,
	    "Measures a system of real processes.", NULL, NULL, NULL};
	int n;

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return EXIT_FAILURE;
	results_begin(json);
	refusals = g_hash_table_new(g_str_hash, g_str_equal);
	starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	not_run = g_ptr_array_new();
	start_system();
	measure_loads();
	if (changes) {
		measure_outage("planned", take_domain_out);
		measure_outage("killed", kill_domain);
	}
	check_starts();
	n = print_violations();
	results_end();
	hn_finish();
	return n == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
