#include <string.h>

#include "deployment.h"
#include "runner.h"

const char *
dpl_url(const struct dpl *dpl, int entry, const char *path)
{
	return hn_str(
	    "http://127.0.0.1:%u%s", dpl->path[DPL_CLIENTS_ENTRY][entry], path);
}

struct hn_http *
dpl_control(const struct dpl *dpl, const char *method, const char *path,
    const char *body)
{
	return hn_http(method,
	    hn_str("http://127.0.0.1:%u/control/%s", dpl->store_port, path),
	    body);
}

void
dpl_configure(const struct dpl *dpl, int version, const char *prefix)
{
	dpl_control(dpl, "PUT", "key?key=op/config",
	    hn_str("{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":"
		   "\"127.0.0.1\",\"prefix\":\"%s\",\"service\":\"desk\","
		   "\"priority\":0,\"max_attempts\":4,\"stretch\":1.5,"
		   "\"target_completion_ms\":60}],\"services\":[],"
		   "\"limits\":{}}",
		version, prefix));
}

static void
start_entry(struct dpl *dpl, int i, const char *settings)
{
	uint16_t metrics_port = hn_port(), ready_port = hn_port();
	const char *path = hn_write(hn_str("entry%d.json", i),
	    hn_str("{\"name\":\"e%d\",\"failure_domain\":\"z%d\","
		   "\"listen\":\"127.0.0.1:%u\",\"ready_listen\":"
		   "\"127.0.0.1:%u\",\"store\":\"127.0.0.1:%u\","
		   "\"metrics_listen\":\"127.0.0.1:%u\","
		   "\"drain_ms\":3000%s%s}",
		i, i, dpl->entry_port[i], ready_port,
		dpl->path[DPL_ENTRY_STORE][i], metrics_port,
		settings == NULL ? "" : ",", settings == NULL ? "" : settings));

	if (i == 0) {
		dpl->entry_metrics_port = metrics_port;
		dpl->entry_ready_port = ready_port;
	}
	dpl->entry[i] = hn_start("spjobd",
	    (const char *const[]){"spjobd", "entry", "--settings", path, NULL});
}

static void
start_agent(struct dpl *dpl, int i, const char *settings)
{
	uint16_t metrics_port = hn_port();
	const char *path = hn_write(hn_str("agent%d.json", i),
	    hn_str("{\"name\":\"a%d\",\"failure_domain\":\"z%d\","
		   "\"listen\":\"127.0.0.1:%u\",\"advertise\":"
		   "\"127.0.0.1:%u\",\"worker_listen\":"
		   "\"127.0.0.1:%u\",\"store\":\"127.0.0.1:%u\",\"metrics_"
		   "listen\":\"127.0.0.1:%u\"%s%s}",
		i, i, dpl->agent_port[i], dpl->path[DPL_ENTRIES_AGENT][i],
		dpl->control_port[i], dpl->path[DPL_AGENT_STORE][i],
		metrics_port, settings == NULL ? "" : ",",
		settings == NULL ? "" : settings));

	if (i == 0)
		dpl->agent_metrics_port = metrics_port;
	dpl->agent[i] = hn_start("spjobd",
	    (const char *const[]){"spjobd", "agent", "--settings", path, NULL});
}

bool
dpl_completes_job(const struct dpl *dpl, int entry)
{
	static int n;
	struct hn_http *http = hn_http("POST",
	    dpl_url(
		dpl, entry, hn_str("/q/%016x", 0xf0000000U + (unsigned)n++)),
	    "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":12,"
	    "\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":100}]}");

	return http->status == 200;
}

int
dpl_count_running(const struct dpl *dpl, int entry, int n)
{
	static unsigned id = 0xe0000000U;
	struct hn_http *job = hn_http_start("POST",
	    dpl_url(dpl, entry, hn_str("/q/%016x", id++)), NULL,
	    hn_str("{\"spec\":\"300\",\"best_effort\":true,\"steps\":[{"
		   "\"count\":%d,\"cpu\":1000,\"mem_mb\":1,"
		   "\"estimate_ms\":300}]}",
		n));
	int64_t most = 0, running;

	while (!job->done) {
		running = hn_json_int(
		    dpl_control(dpl, "GET", "counts", NULL), "running");
		most = MAX(most, running);
		hn_sleep(10);
	}
	return job->status == 200 ? (int)most : -1;
}

int64_t
dpl_count(const struct dpl *dpl, const char *name)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), name);
}

int64_t
dpl_agent_metric(const struct dpl *dpl, const char *name)
{
	const char *text = hn_str("\n%s ", name);
	struct hn_http *metrics = hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", dpl->agent_metrics_port),
	    NULL);
	const char *line = strstr(metrics->body, text);

	ck_assert_ptr_nonnull(line);
	return g_ascii_strtoll(line + strlen(text), NULL, 10);
}

void
dpl_send_jobs(const struct dpl *dpl, const char *body, int64_t for_ms)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 1000", NULL};
	static unsigned id = 0xd0000000U;
	int64_t until_ms = hn_now_ms() + for_ms;

	while (hn_now_ms() < until_ms) {
		hn_http_wait(hn_http_start("POST",
				 dpl_url(dpl, 0, hn_str("/q/%016x", id++)),
				 headers, body),
		    HN_LIMIT_MS);
		hn_sleep(20);
	}
}

/* Returns the server's port that a path leads to; 0 if there is none. */
static uint16_t
path_target_port(const struct dpl *dpl, enum dpl_path path, int index)
{
	switch (path) {
	case DPL_CLIENTS_ENTRY:
		return index < DPL_ENTRIES ? dpl->entry_port[index] : 0;
	case DPL_ENTRY_STORE:
		return index < DPL_ENTRIES ? dpl->store_port : 0;
	case DPL_AGENT_STORE:
		return dpl->store_port;
	case DPL_ENTRIES_AGENT:
	case DPL_N_PATHS:
		break;
	}
	return dpl->agent_port[index];
}

static void
assign_ports(struct dpl *dpl, bool proxied)
{
	int i, p;

	dpl->store_port = hn_port();
	for (i = 0; i < DPL_ENTRIES; i++)
		dpl->entry_port[i] = hn_port();
	for (i = 0; i < DPL_AGENTS; i++)
		dpl->agent_port[i] = hn_port();
	for (p = 0; p < DPL_N_PATHS; p++) {
		for (i = 0; i < DPL_AGENTS; i++)
			dpl->path[p][i] =
			    proxied ? hn_port() : path_target_port(dpl, p, i);
	}
}

static void
start_proxy(struct dpl *dpl)
{
	const char *argv[3 + DPL_N_PATHS * DPL_AGENTS] = {"fault_proxy"};
	int i, p, n = 1;

	dpl->proxy_port = hn_port();
	argv[n++] = hn_str("%u", dpl->proxy_port);
	for (p = 0; p < DPL_N_PATHS; p++) {
		for (i = 0; i < DPL_AGENTS; i++) {
			if (path_target_port(dpl, p, i) != 0)
				argv[n++] = hn_str("%u=%u", dpl->path[p][i],
				    path_target_port(dpl, p, i));
		}
	}
	dpl->proxy = hn_start("fault_proxy", argv);
}

void
dpl_start(struct dpl *dpl, const struct dpl_options *opts)
{
	const char *argv[4 + 2 * DPL_AGENTS] = {"standin_platform"};
	int i, n = 1;

	memset(dpl, 0, sizeof(*dpl));
	assign_ports(dpl, opts->proxied);
	if (opts->proxied)
		start_proxy(dpl);
	argv[n++] = "--store";
	argv[n++] = hn_str("%u", dpl->store_port);
	for (i = 0; i < DPL_AGENTS; i++) {
		dpl->control_port[i] = hn_port();
		argv[n++] = "--worker";
		argv[n++] =
		    hn_str("%u:%u:z%d", hn_port(), dpl->control_port[i], i);
	}
	dpl->platform = hn_start("standin_platform", argv);
	ck_assert(hn_wait_until(
	    dpl_control(dpl, "GET", "counts", NULL)->status == 200,
	    HN_LIMIT_MS));
	dpl_configure(dpl, 1, "/q/");
	for (i = 0; i < DPL_AGENTS; i++)
		start_agent(dpl, i, opts->settings);
	for (i = 0; i < DPL_ENTRIES; i++)
		start_entry(dpl, i, opts->settings);
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert(
		    hn_wait_until(dpl_completes_job(dpl, i), HN_LIMIT_MS));
}

void
dpl_set_fault(const struct dpl *dpl, enum dpl_path path, int index,
    const char *direction, const char *action, int ms)
{
	hn_http("POST",
	    hn_str("http://127.0.0.1:%u/?pair=%u&action=%s&ms=%d%s%s",
		dpl->proxy_port, dpl->path[path][index], action, ms,
		*direction == '\0' ? "" : "&direction=", direction),
	    NULL);
}

void
dpl_set_entry_fault(
    const struct dpl *dpl, int entry, const char *direction, const char *action)
{
	int i;

	/* The first message of a link names its entry. */
	for (i = 0; i < DPL_AGENTS; i++)
		hn_http("POST",
		    hn_str("http://127.0.0.1:%u/?pair=%u&action=%s&"
			   "direction=%s&match=e%d",
			dpl->proxy_port, dpl->path[DPL_ENTRIES_AGENT][i],
			action, direction, entry),
		    NULL);
}

void
dpl_restart_all(struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++)
		hn_kill(dpl->entry[i]);
	for (i = 0; i < DPL_AGENTS; i++)
		hn_kill(dpl->agent[i]);
	for (i = 0; i < DPL_AGENTS; i++)
		hn_restart(dpl->agent[i]);
	for (i = 0; i < DPL_ENTRIES; i++)
		hn_restart(dpl->entry[i]);
}
