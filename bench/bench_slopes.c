/*
 * Measures the CPU, memory and network costs of one entry and one agent with
 * real processes.  docs/CAPACITY.md explains the results.  The test harness
 * runs at most 80 agents.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "probe.h"

#define SLOPES_TIMEOUT_MS 60000
#define BULK_TASKS	  100
#define BULK_CALLERS	  16
#define BULK_AGENTS	  6
#define LATENCY_CALLS	  300
#define CONFIG_CHANGES	  4

static gint64 window_ms = 4000;
static struct sys sys;

static void
require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "bench_slopes: %s\n", what);
	hn_finish();
	exit(EXIT_FAILURE);
}

/*
 * Returns a configuration document of the size expected in two years: 23
 * teams, 20 services, 6 failure domains.
 */
static const char *
large_configuration(void)
{
	GString *text = g_string_new("{\"failure_domains\":[");
	const char *copy;
	int i;

	for (i = 0; i < 6; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"domain-%d\",\"region\":\"region-%d\","
		    "\"entries\":true}",
		    i > 0 ? "," : "", i, i / 3);
	g_string_append(text, "],\"services\":[{\"name\":\"" SYS_SERVICE
			      "\",\"max_cores\":64,\"max_memory_mb\":262144}");
	for (i = 1; i < 20; i++)
		g_string_append_printf(text,
		    ",{\"name\":\"service-%d\",\"depends_on\":[\"" SYS_SERVICE
		    "\"],\"max_in_flight\":4000,\"max_queue\":20000}",
		    i);
	g_string_append(text, "],\"teams\":[{\"name\":\"" SYS_TEAM "\"}");
	for (i = 1; i < 23; i++)
		g_string_append_printf(
		    text, ",{\"name\":\"team-%d\",\"max_in_flight\":500}", i);
	g_string_append(text, "]}");
	copy = hn_str("%s", text->str);
	g_string_free(text, TRUE);
	return copy;
}

static void
start_system(int entries, int domains, const char *text)
{
	sys_launch(&sys, &(struct sys_options){.entries = entries,
			     .domains = domains,
			     .direct = true,
			     .text = text});
	require(
	    hn_wait_until(sys_apply(&sys, 0, sys.text, 0), SLOPES_TIMEOUT_MS),
	    "the configuration was not accepted");
}

static bool
all_agents_connected(int entry)
{
	const char *text =
	    hn_http("GET", sys_url(&sys, entry, "/metrics"), NULL)->body;

	return (int)metric_value(text, "sp_agents_connected") ==
	       sys.opts.agents;
}

static void
add_agents(int n, const char *settings)
{
	sys_add_agents(&sys, n, settings);
	require(hn_wait_until(all_agents_connected(0), SLOPES_TIMEOUT_MS),
	    "the agents did not connect");
	hn_sleep(1000); /* for endpoint announcements and first heartbeats */
}

/* Reports CPU time and bytes per second, and resident memory. */
static void
print_rates(const char *name, struct reading r)
{
	report("us/s", r.cpu_us / r.at_s, "%s.cpu", name);
	report("KB", r.rss_kb, "%s.memory", name);
	report("B/s", r.bytes / r.at_s, "%s.bytes", name);
}

/* Least-squares slope of y over x. */
static double
slope(const double *x, const double *y, int n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	int i;

	for (i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

static void
print_slopes(
    const char *name, const double *x, const struct reading *used, int n)
{
	double cpu[8], memory[8], bytes[8];
	int i;

	for (i = 0; i < n; i++) {
		cpu[i] = used[i].cpu_us / used[i].at_s;
		memory[i] = used[i].rss_kb;
		bytes[i] = used[i].bytes / used[i].at_s;
	}
	report("us/s", slope(x, cpu, n), "%s.cpu", name);
	report("KB", slope(x, memory, n), "%s.memory", name);
	report("B/s", slope(x, bytes, n), "%s.bytes", name);
}

static bool
all_agents_have(int64_t version)
{
	int i;

	for (i = 0; i < sys.opts.agents; i++) {
		if ((int64_t)metric_value(
			agent_metrics(&sys, i), "sp_config_version") < version)
			return false;
	}
	return true;
}

static double
agents_cpu_us(void)
{
	double sum = 0;
	int i;

	for (i = 0; i < sys.opts.agents; i++)
		sum += read_agent(&sys, i).cpu_us;
	return sum;
}

/*
 * Measures the cost of a configuration change, less the idle cost.  Each
 * change writes the complete document again.  Metrics are not read between
 * the changes, since answering these requests would add to the cost;
 * measure_change_time(), which polls them, makes changes of its own.
 */
static void
measure_change_cost(struct reading idle, double agents_idle_us_s)
{
	int64_t version = sys_version(&sys, 0);
	struct reading before = read_entry(&sys, 0), used;
	double cpu = agents_cpu_us(), n = CONFIG_CHANGES,
	       agents = sys.opts.agents;
	int i;

	for (i = 0; i < CONFIG_CHANGES; i++) {
		require(
		    sys_apply(&sys, 0, sys.text, version + i), "apply refused");
		hn_sleep(1200); /* more than two heartbeat intervals */
	}
	used = reading_since(before, read_entry(&sys, 0));
	cpu = agents_cpu_us() - cpu - agents_idle_us_s * used.at_s;
	report("B",
	    (used.bytes - idle.bytes / idle.at_s * used.at_s) / n / agents,
	    "change.bytes_per_agent");
	report("us",
	    (used.cpu_us - idle.cpu_us / idle.at_s * used.at_s) / n / agents,
	    "change.entry_cpu_per_agent");
	report("us", cpu / n / agents, "change.agent_cpu");
	report("calls",
	    (used.store_calls - idle.store_calls / idle.at_s * used.at_s) / n,
	    "change.store_calls");
}

static void
measure_change_time(void)
{
	GArray *held_ms = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *in_force_ms = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	for (i = 0; i < CONFIG_CHANGES / 2; i++) {
		int64_t version = sys_version(&sys, 0);
		int64_t from_ms = hn_now_ms();
		double ms;

		require(sys_apply(&sys, 0, sys.text, version), "apply refused");
		require(hn_wait_until(
			    all_agents_have(version + 1), SLOPES_TIMEOUT_MS),
		    "agents did not receive the configuration");
		ms = (double)(hn_now_ms() - from_ms);
		g_array_append_val(held_ms, ms);
		require(hn_wait_until(sys_in_force(&sys, 0, version + 1),
			    SLOPES_TIMEOUT_MS),
		    "the configuration did not take effect");
		ms = (double)(hn_now_ms() - from_ms);
		g_array_append_val(in_force_ms, ms);
	}
	report_distribution("change.held_by_all_agents", "ms", held_ms);
	report_distribution("change.in_force", "ms", in_force_ms);
	g_array_unref(held_ms);
	g_array_unref(in_force_ms);
}

/* Measures the cost of one entry with 0, 10, 40 and 80 agents. */
static void
measure_entry_by_agents(void)
{
	static const double counts[] = {0, 10, 40, 80};
	struct reading used[4];
	double cpu = 0;
	int i;

	start_system(1, 6, large_configuration());
	for (i = 0; i < 4; i++) {
		struct reading before;

		add_agents((int)counts[i] - sys.opts.agents, NULL);
		cpu = i == 3 ? agents_cpu_us() : 0;
		before = read_entry(&sys, 0);
		hn_sleep(window_ms);
		used[i] = reading_since(before, read_entry(&sys, 0));
		print_rates(
		    hn_str("entry.idle.agents%d", (int)counts[i]), used[i]);
	}
	cpu = (agents_cpu_us() - cpu) / used[3].at_s;
	print_slopes("entry.idle.per_agent", counts, used, 4);
	report("calls/s", used[3].store_calls / used[3].at_s,
	    "entry.idle.store_calls");
	report("B", (double)strlen(sys.text), "change.text_size");
	measure_change_cost(used[3], cpu);
	measure_change_time();
	hn_finish();
}

/* Measures the cost of an agent connected to 1, 2, 4 and 8 entries. */
static void
measure_agent_by_entries(void)
{
	static const double counts[] = {1, 2, 4, 8};
	struct reading before[4], used[4], entry;
	int i;

	start_system(8, 3, NULL);
	for (i = 0; i < 4; i++)
		sys_add_agents(&sys, 1,
		    hn_str(",\"entry_connections\":%d", (int)counts[i]));
	for (i = 0; i < 4; i++)
		require(
		    hn_wait_until((int)metric_value(agent_metrics(&sys, i),
				      "sp_entries_connected") == (int)counts[i],
			SLOPES_TIMEOUT_MS),
		    "an agent did not connect to all its entries");
	hn_sleep(2000);
	entry = read_entry(&sys, 7);
	for (i = 0; i < 4; i++)
		before[i] = read_agent(&sys, i);
	hn_sleep(2 * window_ms);
	for (i = 0; i < 4; i++) {
		used[i] = reading_since(before[i], read_agent(&sys, i));
		print_rates(
		    hn_str("agent.idle.entries%d", (int)counts[i]), used[i]);
	}
	print_slopes("agent.idle.per_entry", counts, used, 4);
	entry = reading_since(entry, read_entry(&sys, 7));
	report("calls/s", entry.store_calls / entry.at_s,
	    "entry.idle.store_calls_of_8");
	hn_finish();
}

/* Job ids, requested before the load, since callbacks cannot wait for them. */
static GPtrArray *ids;

static void
request_ids(guint n)
{
	int i;

	if (ids == NULL)
		ids = g_ptr_array_new();
	while (ids->len < n) {
		struct hn_http *http = hn_http(
		    "POST", sys_url(&sys, 0, "/v1/ids"), "{\"count\":1000}");

		require(http->status == 200, "the entry issued no job ids");
		for (i = 0; i < 1000; i++)
			g_ptr_array_add(ids,
			    (gpointer)hn_json_str(http, hn_str("ids.%d", i)));
	}
}

static const char *
take_id(void)
{
	return g_ptr_array_steal_index(ids, ids->len - 1);
}

struct bulk {
	const char *body;
	int unsent, in_flight, failed;
};

static void submit_next(struct bulk *bulk);

static void
on_bulk_answer(struct call *call, void *ctx)
{
	struct bulk *bulk = ctx;

	bulk->in_flight--;
	bulk->failed += call->status != 200;
	call_free(call);
	submit_next(bulk);
}

static void
submit_next(struct bulk *bulk)
{
	const char *id;

	if (bulk->unsent == 0)
		return;
	bulk->unsent--;
	id = take_id();
	bulk->in_flight++;
	call_send("PUT",
	    sys_url(&sys, 0, hn_str("/v1/jobs/%s?wait_ms=60000", id)),
	    bulk->body, on_bulk_answer, bulk);
}

/*
 * Submits n jobs, at most "callers" of them at a time, and waits for the
 * answers.
 */
static void
run_bulk(int n, int callers, const char *body)
{
	struct bulk bulk = {.body = body, .unsent = n};
	int i;

	request_ids((guint)n);
	for (i = 0; i < callers; i++)
		submit_next(&bulk);
	require(hn_wait_until(
		    bulk.in_flight == 0 && bulk.unsent == 0, SLOPES_TIMEOUT_MS),
	    "jobs were not answered in time");
	require(bulk.failed == 0, "jobs failed");
}

/* Measures the cost of starting tasks that do nothing. */
static void
measure_start_cost(int n_jobs)
{
	const char *body = sys_body(BULK_TASKS, "{}");
	struct reading entry, agents[BULK_AGENTS], used = {0};
	double starts, agent_cpu = 0;
	int i;

	run_bulk(BULK_CALLERS, BULK_CALLERS, body);
	entry = read_entry(&sys, 0);
	for (i = 0; i < BULK_AGENTS; i++)
		agents[i] = read_agent(&sys, i);
	run_bulk(n_jobs, BULK_CALLERS, body);
	hn_sleep(250); /* processes publish their counters every 200 ms */
	used = reading_since(entry, read_entry(&sys, 0));
	for (i = 0; i < BULK_AGENTS; i++)
		agent_cpu +=
		    reading_since(agents[i], read_agent(&sys, i)).cpu_us;
	starts = (double)n_jobs * BULK_TASKS;
	used.at_s -= 0.25;
	report("us", used.cpu_us / starts, "start.entry_cpu");
	report("us", agent_cpu / starts, "start.agent_cpu");
	report("starts/s", starts / used.at_s, "start.rate");
	report("share", used.cpu_us / used.at_s / 1e6, "start.entry_core");
	report("starts/s", starts / used.cpu_us * 1e6, "start.rate_of_a_core");
	report("B", used.bytes / starts, "start.entry_bytes");
}

/* Measures the memory per record of a finished job and per queued task. */
static void
measure_memory(void)
{
	const char *one = sys_body(1, "{}");
	const char *many = sys_body(1000, "{\"run_ms\":60000}");
	const char *queued[20];
	double before;
	int i;

	before = read_entry(&sys, 0).rss_kb;
	run_bulk(4000, 32, one);
	report("B", (read_entry(&sys, 0).rss_kb - before) * 1024 / 4000,
	    "memory.finished_record");
	request_ids(20);
	before = read_entry(&sys, 0).rss_kb;
	for (i = 0; i < 20; i++) {
		queued[i] = take_id();
		require(hn_http("PUT",
			    sys_url(&sys, 0, hn_str("/v1/jobs/%s", queued[i])),
			    many)
				->status == 202,
		    "a job was not queued");
	}
	report("B", (read_entry(&sys, 0).rss_kb - before) * 1024 / 20000,
	    "memory.queued_task");
}

static double
call_time_us(const char *method, const char *url, const char *body)
{
	struct call *call = call_send(method, url, body, NULL, NULL);
	double us;

	while (!call->done)
		g_main_context_iteration(NULL, TRUE);
	require(call->status == 200, url);
	us = (double)(call->ended_us - call->sent_us);
	call_free(call);
	return us;
}

/*
 * Measures the latency that the system adds to a direct call of the endpoint,
 * for a job of one task and for a request passed through to the service.
 */
static void
measure_added_latency(void)
{
	const char *endpoint =
	    hn_str("http://127.0.0.1:%u/tasks", sys.agent[0].endpoint_port);
	const char *pass = sys_url(&sys, 0, "/v1/services/" SYS_SERVICE "/x");
	const char *one = sys_body(1, "{}");
	GArray *direct = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *job = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *passed = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	request_ids(LATENCY_CALLS);
	for (i = 0; i < LATENCY_CALLS; i++) {
		const char *url = sys_url(
		    &sys, 0, hn_str("/v1/jobs/%s?wait_ms=20000", take_id()));
		double us = call_time_us("POST", endpoint, "{}");
		double us_job = call_time_us("PUT", url, one) - us;
		double us_pass = call_time_us("POST", pass, "{}") - us;

		g_array_append_val(direct, us);
		g_array_append_val(job, us_job);
		g_array_append_val(passed, us_pass);
	}
	report_distribution("latency.direct", "us", direct);
	report_distribution("latency.job_added", "us", job);
	report_distribution("latency.pass_added", "us", passed);
	g_array_unref(direct);
	g_array_unref(job);
	g_array_unref(passed);
}

static void
measure_load(int n_jobs)
{
	start_system(1, 3, NULL);
	sys_add_agents(&sys, BULK_AGENTS, NULL);
	sys_wait_ready(&sys);
	measure_added_latency();
	measure_start_cost(n_jobs);
	measure_memory();
	hn_finish();
}

static bool json;
static int n_jobs = 100;
static const char *only = "all";

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'j':
		json = true;
		return 0;
	case 'w':
		window_ms = MAX(atoi(arg), 500);
		return 0;
	case 'n':
		n_jobs = CLAMP(atoi(arg), 1, 5000);
		return 0;
	case 'o':
		only = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool
part_selected(const char *part)
{
	return strcmp(only, "all") == 0 || strcmp(only, part) == 0;
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"json", 'j', NULL, 0, "print JSON", 0},
	    {"window", 'w', "MS", 0, "length of an idle measurement (4000)", 0},
	    {"jobs", 'n', "N", 0, "jobs of 100 tasks (100)", 0},
	    {"only", 'o', "PART", 0, "entry, agent or load", 0}, {0}};
	static const struct argp argp = {options, parse_option, NULL,
	    "Measures the costs of an entry and an agent.", NULL, NULL, NULL};

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return EXIT_FAILURE;
	results_begin(json);
	if (part_selected("load"))
		measure_load(n_jobs);
	if (part_selected("entry"))
		measure_entry_by_agents();
	if (part_selected("agent"))
		measure_agent_by_entries();
	results_end();
	return EXIT_SUCCESS;
}
