/*
 * Costs of one entry and one agent, by real processes.  docs/CAPACITY.md
 * explains the figures.  A system has at most 80 agents.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "probe.h"

#define LIMIT_MS      60000
#define BULK_TASKS    100
#define BULK_CALLERS  16
#define BULK_AGENTS   6
#define LATENCY_CALLS 300
#define CHANGES	      4

static gint64 window_ms = 4000;
static struct sys sys;

static void
need(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "bench_slopes: %s\n", what);
	hn_finish();
	exit(EXIT_FAILURE);
}

/* The text of two years ahead: 23 teams, 20 services, 6 failure domains. */
static const char *
large_text(void)
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
start(int entries, int domains, const char *text)
{
	sys_launch(&sys, &(struct sys_options){.entries = entries,
			     .domains = domains,
			     .direct = true,
			     .text = text});
	need(hn_wait_until(sys_apply(&sys, 0, sys.text, 0), LIMIT_MS),
	    "the configuration was not accepted");
}

static bool
connected(int entry)
{
	const char *text =
	    hn_http("GET", sys_url(&sys, entry, "/metrics"), NULL)->body;

	return (int)metric(text, "sp_agents_connected") == sys.opts.agents;
}

static void
add_agents(int n, const char *settings)
{
	sys_add_agents(&sys, n, settings);
	need(hn_wait_until(connected(0), LIMIT_MS),
	    "the agents did not connect");
	hn_sleep(1000); /* announcements and first heartbeats */
}

/* Prints what a process uses in a second. */
static void
print_rates(const char *name, struct reading r)
{
	figure("us/s", r.cpu_us / r.at_s, "%s.cpu", name);
	figure("KB", r.rss_kb, "%s.memory", name);
	figure("B/s", r.bytes / r.at_s, "%s.bytes", name);
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
	figure("us/s", slope(x, cpu, n), "%s.cpu", name);
	figure("KB", slope(x, memory, n), "%s.memory", name);
	figure("B/s", slope(x, bytes, n), "%s.bytes", name);
}

static bool
all_hold(int64_t version)
{
	int i;

	for (i = 0; i < sys.opts.agents; i++) {
		if ((int64_t)metric(
			agent_metrics(&sys, i), "sp_config_version") < version)
			return false;
	}
	return true;
}

static double
agents_cpu(void)
{
	double sum = 0;
	int i;

	for (i = 0; i < sys.opts.agents; i++)
		sum += read_agent(&sys, i).cpu_us;
	return sum;
}

/*
 * Costs of a change: the document is written anew each time.  Nothing asks
 * for counters while the costs are taken; that load is measured beside it.
 */
static void
change_cost(struct reading idle, double agents_idle_us_s)
{
	int64_t version = sys_version(&sys, 0);
	struct reading before = read_entry(&sys, 0), used;
	double cpu = agents_cpu(), n = CHANGES, agents = sys.opts.agents;
	int i;

	for (i = 0; i < CHANGES; i++) {
		need(
		    sys_apply(&sys, 0, sys.text, version + i), "apply refused");
		hn_sleep(1200); /* over two heartbeats */
	}
	used = reading_since(before, read_entry(&sys, 0));
	cpu = agents_cpu() - cpu - agents_idle_us_s * used.at_s;
	figure("B",
	    (used.bytes - idle.bytes / idle.at_s * used.at_s) / n / agents,
	    "change.bytes_per_agent");
	figure("us",
	    (used.cpu_us - idle.cpu_us / idle.at_s * used.at_s) / n / agents,
	    "change.entry_cpu_per_agent");
	figure("us", cpu / n / agents, "change.agent_cpu");
	figure("calls",
	    (used.store_calls - idle.store_calls / idle.at_s * used.at_s) / n,
	    "change.store_calls");
}

static void
change_time(void)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *force = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	for (i = 0; i < CHANGES / 2; i++) {
		int64_t version = sys_version(&sys, 0);
		int64_t from_ms = hn_now_ms();
		double ms;

		need(sys_apply(&sys, 0, sys.text, version), "apply refused");
		need(hn_wait_until(all_hold(version + 1), LIMIT_MS),
		    "agents do not get the change");
		ms = (double)(hn_now_ms() - from_ms);
		g_array_append_val(held, ms);
		need(
		    hn_wait_until(sys_in_force(&sys, 0, version + 1), LIMIT_MS),
		    "the change does not come into force");
		ms = (double)(hn_now_ms() - from_ms);
		g_array_append_val(force, ms);
	}
	figure_spread("change.held_by_all_agents", "ms", held);
	figure_spread("change.in_force", "ms", force);
	g_array_unref(held);
	g_array_unref(force);
}

/* (a), (d), (e): one entry with more and more agents. */
static void
entry_slopes(void)
{
	static const double counts[] = {0, 10, 40, 80};
	struct reading used[4];
	double cpu = 0;
	int i;

	start(1, 6, large_text());
	for (i = 0; i < 4; i++) {
		struct reading before;

		add_agents((int)counts[i] - sys.opts.agents, NULL);
		cpu = i == 3 ? agents_cpu() : 0;
		before = read_entry(&sys, 0);
		hn_sleep(window_ms);
		used[i] = reading_since(before, read_entry(&sys, 0));
		print_rates(
		    hn_str("entry.idle.agents%d", (int)counts[i]), used[i]);
	}
	cpu = (agents_cpu() - cpu) / used[3].at_s;
	print_slopes("entry.idle.per_agent", counts, used, 4);
	figure("calls/s", used[3].store_calls / used[3].at_s,
	    "entry.idle.store_calls");
	figure("B", (double)strlen(sys.text), "change.text_size");
	change_cost(used[3], cpu);
	change_time();
	hn_finish();
}

/* (a): four agents with different numbers of connections. */
static void
agent_slopes(void)
{
	static const double counts[] = {1, 2, 4, 8};
	struct reading before[4], used[4], entry;
	int i;

	start(8, 3, NULL);
	for (i = 0; i < 4; i++)
		sys_add_agents(&sys, 1,
		    hn_str(",\"entry_connections\":%d", (int)counts[i]));
	for (i = 0; i < 4; i++)
		need(
		    hn_wait_until((int)metric(agent_metrics(&sys, i),
				      "sp_entries_connected") == (int)counts[i],
			LIMIT_MS),
		    "an agent lacks connections");
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
	figure("calls/s", entry.store_calls / entry.at_s,
	    "entry.idle.store_calls_of_8");
	hn_finish();
}

static GPtrArray *ids; /* minted ahead: callbacks must not wait for them */

static void
mint(guint n)
{
	int i;

	if (ids == NULL)
		ids = g_ptr_array_new();
	while (ids->len < n) {
		struct hn_http *http = hn_http(
		    "POST", sys_url(&sys, 0, "/v1/ids"), "{\"count\":1000}");

		need(http->status == 200, "no ids");
		for (i = 0; i < 1000; i++)
			g_ptr_array_add(ids,
			    (gpointer)hn_json_str(http, hn_str("ids.%d", i)));
	}
}

static const char *
job_url(void)
{
	return g_ptr_array_steal_index(ids, ids->len - 1);
}

struct bulk {
	const char *body;
	int left, open, failed;
};

static void submit(struct bulk *bulk);

static void
on_bulk(struct call *call, void *ctx)
{
	struct bulk *bulk = ctx;

	bulk->open--;
	bulk->failed += call->status != 200;
	call_free(call);
	submit(bulk);
}

static void
submit(struct bulk *bulk)
{
	const char *id;

	if (bulk->left == 0)
		return;
	bulk->left--;
	id = job_url();
	bulk->open++;
	call_send("PUT",
	    sys_url(&sys, 0, hn_str("/v1/jobs/%s?wait_ms=60000", id)),
	    bulk->body, on_bulk, bulk);
}

/* Submits n jobs from so many callers and waits for all answers. */
static void
run_bulk(int n, int callers, const char *body)
{
	struct bulk bulk = {.body = body, .left = n};
	int i;

	mint((guint)n);
	for (i = 0; i < callers; i++)
		submit(&bulk);
	need(hn_wait_until(bulk.open == 0 && bulk.left == 0, LIMIT_MS),
	    "jobs did not end");
	need(bulk.failed == 0, "jobs failed");
}

/* (b): starts of no-op tasks. */
static void
start_cost(int n_jobs)
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
	hn_sleep(250); /* counters are copied every 200 ms */
	used = reading_since(entry, read_entry(&sys, 0));
	for (i = 0; i < BULK_AGENTS; i++)
		agent_cpu +=
		    reading_since(agents[i], read_agent(&sys, i)).cpu_us;
	starts = (double)n_jobs * BULK_TASKS;
	used.at_s -= 0.25;
	figure("us", used.cpu_us / starts, "start.entry_cpu");
	figure("us", agent_cpu / starts, "start.agent_cpu");
	figure("starts/s", starts / used.at_s, "start.rate");
	figure("share", used.cpu_us / used.at_s / 1e6, "start.entry_core");
	figure("starts/s", starts / used.cpu_us * 1e6, "start.rate_of_a_core");
	figure("B", used.bytes / starts, "start.entry_bytes");
}

/* (c): memory of finished records and of queued tasks. */
static void
memory_cost(void)
{
	const char *one = sys_body(1, "{}");
	const char *many = sys_body(1000, "{\"run_ms\":60000}");
	const char *queued[20];
	double before;
	int i;

	before = read_entry(&sys, 0).rss_kb;
	run_bulk(4000, 32, one);
	figure("B", (read_entry(&sys, 0).rss_kb - before) * 1024 / 4000,
	    "memory.finished_record");
	mint(20);
	before = read_entry(&sys, 0).rss_kb;
	for (i = 0; i < 20; i++) {
		queued[i] = job_url();
		need(hn_http("PUT",
			 sys_url(&sys, 0, hn_str("/v1/jobs/%s", queued[i])),
			 many)
			     ->status == 202,
		    "a job was not queued");
	}
	figure("B", (read_entry(&sys, 0).rss_kb - before) * 1024 / 20000,
	    "memory.queued_task");
}

static double
timed(const char *method, const char *url, const char *body)
{
	struct call *call = call_send(method, url, body, NULL, NULL);
	double us;

	while (!call->done)
		g_main_context_iteration(NULL, TRUE);
	need(call->status == 200, url);
	us = (double)(call->ended_us - call->sent_us);
	call_free(call);
	return us;
}

/* (f): calls through the system over the same call made directly. */
static void
added_latency(void)
{
	const char *endpoint =
	    hn_str("http://127.0.0.1:%u/tasks", sys.agent[0].endpoint_port);
	const char *pass = sys_url(&sys, 0, "/v1/services/" SYS_SERVICE "/x");
	const char *one = sys_body(1, "{}");
	GArray *direct = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *job = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *passed = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	mint(LATENCY_CALLS);
	for (i = 0; i < LATENCY_CALLS; i++) {
		const char *url = sys_url(
		    &sys, 0, hn_str("/v1/jobs/%s?wait_ms=20000", job_url()));
		double us = timed("POST", endpoint, "{}");
		double us_job = timed("PUT", url, one) - us;
		double us_pass = timed("POST", pass, "{}") - us;

		g_array_append_val(direct, us);
		g_array_append_val(job, us_job);
		g_array_append_val(passed, us_pass);
	}
	figure_spread("latency.direct", "us", direct);
	figure_spread("latency.job_added", "us", job);
	figure_spread("latency.pass_added", "us", passed);
	g_array_unref(direct);
	g_array_unref(job);
	g_array_unref(passed);
}

static void
loaded(int n_jobs)
{
	start(1, 3, NULL);
	sys_add_agents(&sys, BULK_AGENTS, NULL);
	sys_wait_ready(&sys);
	added_latency();
	start_cost(n_jobs);
	memory_cost();
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
wanted(const char *part)
{
	return strcmp(only, "all") == 0 || strcmp(only, part) == 0;
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"json", 'j', NULL, 0, "print JSON", 0},
	    {"window", 'w', "MS", 0, "length of an idle reading (4000)", 0},
	    {"jobs", 'n', "N", 0, "jobs of 100 tasks (100)", 0},
	    {"only", 'o', "PART", 0, "entry, agent or load", 0}, {0}};
	static const struct argp argp = {options, parse_option, NULL,
	    "Measures costs of an entry and an agent.", NULL, NULL, NULL};

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return EXIT_FAILURE;
	figures_begin(json);
	if (wanted("load"))
		loaded(n_jobs);
	if (wanted("entry"))
		entry_slopes();
	if (wanted("agent"))
		agent_slopes();
	figures_end();
	return EXIT_SUCCESS;
}
