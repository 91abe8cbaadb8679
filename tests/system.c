#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "system.h"

#define CLUSTER_KEY   "test-cluster-key"
#define LOAD_MAX_JOBS 1000 /* one request returns all job ids */
#define LOAD_POLL_MS  5

static void
require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "system: %s\n", what);
	abort();
}

const char *
sys_url(struct sys *sys, int entry, const char *path)
{
	return hn_str("http://127.0.0.1:%u%s", sys->entry[entry].listen, path);
}

const char *
sys_proxied_url(struct sys *sys, int entry, const char *path)
{
	return hn_str(
	    "http://127.0.0.1:%u%s", sys->entry[entry].proxied_listen, path);
}

const char *
sys_ops_url(struct sys *sys, int entry, const char *path)
{
	return hn_str(
	    "http://127.0.0.1:%u%s", sys->entry[entry].operators, path);
}

void
sys_set_proxy_rule(struct sys *sys, uint16_t port, const char *query)
{
	const char *url = hn_str(
	    "http://127.0.0.1:%u/?pair=%u&%s", sys->proxy_control, port, query);

	require(hn_http("POST", url, "")->status == 200, query);
}

void
sys_store_control(struct sys *sys, const char *control)
{
	const char *url = hn_str(
	    "http://127.0.0.1:%u/control/%s", sys->store_control, control);

	require(hn_http("POST", url, "")->status == 200, control);
}

void
sys_set_endpoint_mode(struct sys *sys, int agent, const char *query)
{
	const char *url = hn_str("http://127.0.0.1:%u/control/mode?%s",
	    sys->agent[agent].endpoint_port, query);

	require(hn_http("GET", url, NULL)->status == 200, query);
}

static void
start_store_and_proxy(struct sys *sys)
{
	const char *argv[2 + 3 * SYS_MAX + 1] = {"fault_proxy"};
	int i, n = 2;

	sys->store_port = hn_port();
	for (i = 0; i < sys->opts.entries; i++)
		sys->entry[i].proxied_store =
		    sys->opts.direct ? sys->store_port : hn_port();
	sys->store_control = hn_port();
	sys->proxy_control = hn_port();
	sys->store = hn_start(
	    "store", (const char *[]){"standin_store", "--port",
			 hn_str("%u", sys->store_port), "--control-port",
			 hn_str("%u", sys->store_control), NULL});
	argv[1] = hn_str("%u", sys->proxy_control);
	for (i = 0; i < sys->opts.entries; i++) {
		struct sys_entry *e = &sys->entry[i];

		argv[n++] = hn_str("%u=%u", e->proxied_listen, e->listen);
		argv[n++] = hn_str("%u=%u", e->proxied_rpc, e->rpc);
		argv[n++] = hn_str("%u=%u", e->proxied_store, sys->store_port);
	}
	if (!sys->opts.direct) {
		sys->proxy = hn_start("proxy", argv);
		require(hn_wait_until(hn_http("GET",
					  hn_str("http://127.0.0.1:%u/",
					      sys->proxy_control),
					  NULL)
					      ->status == 200,
			    HN_LIMIT_MS),
		    "the fault proxy did not answer its control port in time");
	}
	require(hn_wait_until(hn_http("GET",
				  hn_str("http://127.0.0.1:%u/control/counts",
				      sys->store_control),
				  NULL)
				      ->status == 200,
		    HN_LIMIT_MS),
	    "standin_store did not answer its control port in time");
}

static void
start_entry(struct sys *sys, int i)
{
	struct sys_entry *e = &sys->entry[i];
	const char *extra = sys->opts.entry_settings;
	const char *path = hn_write(hn_str("%s.json", e->name),
	    hn_str("{\"name\":\"%s\",\"failure_domain\":\"%s\","
		   "\"listen\":\"127.0.0.1:%u\","
		   "\"operator_listen\":\"127.0.0.1:%u\","
		   "\"rpc_listen\":\"127.0.0.1:%u\","
		   "\"rpc_address\":\"127.0.0.1:%u\","
		   "\"store\":\"http://127.0.0.1:%u\","
		   "\"cluster_key\":\"" CLUSTER_KEY "\"%s}\n",
		e->name, e->domain, e->listen, e->operators, e->rpc,
		e->proxied_rpc, e->proxied_store, extra != NULL ? extra : ""));

	e->proc = hn_start(
	    e->name, (const char *[]){"spentryd", "--settings", path, NULL});
}

static const char *
entry_addresses(struct sys *sys)
{
	const char *list = "";
	int i;

	for (i = 0; i < sys->opts.entries; i++)
		list = hn_str("%s%s\"127.0.0.1:%u\"", list, i > 0 ? "," : "",
		    sys->entry[i].proxied_rpc);
	return list;
}

static void
start_agent(struct sys *sys, int i, const char *extra)
{
	struct sys_agent *a = &sys->agent[i];
	const char *path;

	a->name = hn_str("worker-%d", i);
	a->domain = hn_str("domain-%d", i % sys->opts.domains);
	a->listen = hn_port();
	a->endpoint_port = hn_port();
	path = hn_write(hn_str("%s.json", a->name),
	    hn_str("{\"worker\":\"%s\",\"failure_domain\":\"%s\","
		   "\"listen\":\"127.0.0.1:%u\",\"entries\":[%s],"
		   "\"cluster_key\":\"" CLUSTER_KEY "\"%s}\n",
		a->name, a->domain, a->listen, entry_addresses(sys),
		extra != NULL ? extra : ""));

	a->proc = hn_start(
	    a->name, (const char *[]){"spagentd", "--settings", path, NULL});
	a->endpoint = hn_start(hn_str("endpoint-%d", i),
	    (const char *[]){"standin_endpoint", "--listen",
		hn_str("127.0.0.1:%u", a->endpoint_port), "--agent",
		hn_str("http://127.0.0.1:%u", a->listen), "--service",
		SYS_SERVICE, "--slots", hn_str("%d", sys->opts.slots), NULL});
}

void
sys_add_agents(struct sys *sys, int n, const char *settings)
{
	require(sys->opts.agents + n <= SYS_MAX, "more than SYS_MAX agents");
	while (n-- > 0)
		start_agent(sys, sys->opts.agents++, settings);
}

static const char *
default_config_text(struct sys *sys)
{
	const char *domains = "";
	int i;

	for (i = 0; i < sys->opts.domains; i++)
		domains = hn_str("%s%s{\"name\":\"domain-%d\","
				 "\"entries\":true}",
		    domains, i > 0 ? "," : "", i);
	return hn_str("{\"failure_domains\":[%s],"
		      "\"services\":[{\"name\":\"" SYS_SERVICE "\"}],"
		      "\"teams\":[{\"name\":\"" SYS_TEAM "\"}]}",
	    domains);
}

bool
sys_apply(struct sys *sys, int entry, const char *text, int64_t expected)
{
	struct json_object *body = json_object_new_object();
	struct hn_http *http;

	json_object_object_add(
	    body, "expected_version", json_object_new_int64(expected));
	json_object_object_add(body, "change_id",
	    json_object_new_string(
		hn_str("apply-%u-%d", sys->store_port, (int)expected)));
	json_object_object_add(body, "text", json_object_new_string(text));
	http = hn_http("PUT", sys_ops_url(sys, entry, "/v1/config"),
	    hn_str("%s", json_object_to_json_string(body)));
	json_object_put(body);
	return http->status == 200 || http->status == 202;
}

void
sys_launch(struct sys *sys, const struct sys_options *opts)
{
	int i;

	memset(sys, 0, sizeof(*sys));
	sys->opts = *opts;
	if (opts->slots == 0)
		sys->opts.slots = 8;
	for (i = 0; i < opts->entries; i++) {
		struct sys_entry *e = &sys->entry[i];

		e->name = hn_str("entry-%d", i);
		e->domain = hn_str("domain-%d", i % opts->domains);
		e->listen = hn_port();
		e->operators = hn_port();
		e->rpc = hn_port();
		e->proxied_listen = opts->direct ? e->listen : hn_port();
		e->proxied_rpc = opts->direct ? e->rpc : hn_port();
	}
	start_store_and_proxy(sys);
	for (i = 0; i < opts->entries; i++)
		start_entry(sys, i);
	sys->opts.agents = 0;
	sys_add_agents(sys, opts->agents, opts->agent_settings);
	sys->text = opts->text != NULL ? opts->text : default_config_text(sys);
	for (i = 0; i < opts->entries; i++)
		require(hn_wait_until(
			    hn_http("GET", sys_url(sys, i, "/healthz"), NULL)
				    ->status == 200,
			    HN_LIMIT_MS),
		    "an entry did not answer /healthz in time");
}

/* Submits a job that fills all slots; true if every endpoint started tasks. */
static bool
reaches_all_endpoints(struct sys *sys, int entry)
{
	int n = sys->opts.agents, i, n_reached = 0;
	int64_t before[SYS_MAX];
	struct hn_http *http =
	    hn_http("GET", sys_url(sys, entry, "/metrics"), NULL);

	if (strstr(http->body, hn_str("\nsp_agents_connected %d\n", n)) == NULL)
		return false;
	for (i = 0; i < n; i++)
		before[i] = sys_endpoint_starts(sys, i);
	http =
	    hn_http_wait(sys_submit(sys, entry, sys_new_job_id(sys, entry),
			     sys_body(n * sys->opts.slots, "{\"run_ms\":50}")),
		HN_LIMIT_MS);
	for (i = 0; i < n; i++)
		n_reached += sys_endpoint_starts(sys, i) > before[i];
	return http->status == 200 && n_reached == n;
}

void
sys_wait_ready(struct sys *sys)
{
	int i;

	for (i = 0; i < sys->opts.entries; i++) {
		require(hn_wait_until(sys_in_force(sys, i, sys_version(sys, 0)),
			    HN_LIMIT_MS),
		    "the first configuration is not in force after "
		    "HN_LIMIT_MS");
		require(
		    hn_wait_until(reaches_all_endpoints(sys, i), HN_LIMIT_MS),
		    "an entry did not start tasks at every endpoint in time");
	}
}

void
sys_start(struct sys *sys, const struct sys_options *opts)
{
	sys_launch(sys, opts);
	require(hn_wait_until(sys_apply(sys, 0, sys->text, 0), HN_LIMIT_MS),
	    "the first configuration was not accepted");
	sys_wait_ready(sys);
}

bool
sys_wait_job_completes(struct sys *sys, int entry, int64_t limit_ms)
{
	return hn_wait_until(
	    hn_http_wait(sys_submit(sys, entry, sys_new_job_id(sys, entry),
			     sys_body(1, "{}")),
		HN_LIMIT_MS)
		    ->status == 200,
	    limit_ms);
}

const char *
sys_new_job_id(struct sys *sys, int entry)
{
	struct hn_http *http =
	    hn_http("POST", sys_url(sys, entry, "/v1/ids"), "{\"count\":1}");

	return http->status == 200 ? hn_json_str(http, "ids.0") : "none";
}

const char *
sys_body(int n, const char *payload)
{
	GString *body =
	    g_string_new("{\"service\":\"" SYS_SERVICE "\",\"team\":\"" SYS_TEAM
			 "\",\"tasks\":[");
	const char *text;
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(
		    body, "%s{\"payload\":%s}", i > 0 ? "," : "", payload);
	g_string_append(body, "]}");
	text = hn_str("%s", body->str);
	g_string_free(body, TRUE);
	return text;
}

struct hn_http *
sys_submit(struct sys *sys, int entry, const char *id, const char *body)
{
	return hn_http_start("PUT",
	    sys_url(sys, entry, hn_str("/v1/jobs/%s?wait_ms=20000", id)), NULL,
	    body);
}

/* Resubmits as a caller does that needs the final outcome of its job. */
struct hn_http *
sys_submit_until_final(
    struct sys *sys, int entry, const char *id, const char *body)
{
	struct hn_http *http = NULL;

	hn_wait_until(
	    (http = hn_http_wait(sys_submit(sys, entry, id, body), HN_LIMIT_MS))
			->status != 0 &&
		http->status != 202 && http->status != 503,
	    2 * HN_LIMIT_MS);
	return http;
}

const char *
sys_result_task(const struct hn_http *http, int index)
{
	struct json_object *body = json_tokener_parse(
	    hn_json_str(http, hn_str("results.%d.body", index)));
	struct json_object *task = json_object_object_get(body, "task");
	const char *id =
	    hn_str("%s", task != NULL ? json_object_get_string(task) : "");

	json_object_put(body);
	return id;
}

static struct hn_http *
endpoint_counts(struct sys *sys, int agent, const char *query)
{
	return hn_http("GET",
	    hn_str("http://127.0.0.1:%u/control/starts%s",
		sys->agent[agent].endpoint_port, query),
	    NULL);
}

struct sys_count
sys_job_starts(struct sys *sys, const char *id)
{
	GHashTable *tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *prefix = hn_str("%s/", id);
	struct sys_count count = {0};
	int i, n;

	for (i = 0; i < sys->opts.agents; i++) {
		struct hn_http *http = endpoint_counts(sys, i, "");
		struct json_object *starts =
		    json_object_object_get(http->json, "starts");

		if (!json_object_is_type(starts, json_type_object))
			continue;
		json_object_object_foreach(starts, key, value)
		{
			if (!g_str_has_prefix(key, prefix))
				continue;
			n = json_object_get_int(value) +
			    GPOINTER_TO_INT(g_hash_table_lookup(tasks, key));
			g_hash_table_replace(
			    tasks, g_strdup(key), GINT_TO_POINTER(n));
			count.total += json_object_get_int(value);
			count.most = MAX(count.most, n);
		}
	}
	count.tasks = (int)g_hash_table_size(tasks);
	g_hash_table_unref(tasks);
	return count;
}

int64_t
sys_endpoint_starts(struct sys *sys, int agent)
{
	return hn_json_int(endpoint_counts(sys, agent, "?summary=1"), "total");
}

/* Each call has a new change id, so that it is never taken for a repetition. */
struct hn_http *
sys_set_domain_out(struct sys *sys, int entry, const char *domain, bool out)
{
	static int n;

	return hn_http("POST", sys_ops_url(sys, entry, "/v1/out"),
	    hn_str("{\"kind\":\"failure_domain\",\"name\":\"%s\",\"out\":%s,"
		   "\"change_id\":\"change-%d\"}",
		domain, out ? "true" : "false", ++n));
}

int64_t
sys_version(struct sys *sys, int entry)
{
	return hn_json_int(
	    hn_http("GET", sys_ops_url(sys, entry, "/v1/config"), NULL),
	    "version");
}

bool
sys_is_out(struct sys *sys, int entry, const char *domain)
{
	struct hn_http *http =
	    hn_http("GET", sys_ops_url(sys, entry, "/v1/config"), NULL);
	int i;

	for (i = 0; *hn_json_str(http, hn_str("out.%d.name", i)) != '\0'; i++) {
		if (strcmp(hn_json_str(http, hn_str("out.%d.name", i)),
			domain) == 0)
			return true;
	}
	return false;
}

bool
sys_in_force(struct sys *sys, int entry, int64_t version)
{
	struct hn_http *http = hn_http("GET",
	    sys_ops_url(sys, entry,
		hn_str("/v1/config/status?version=%" G_GINT64_FORMAT, version)),
	    NULL);

	return http->status == 200 &&
	       strcmp(hn_json_str(http, "state"), "in_force") == 0;
}

struct sys_load {
	struct sys *sys;
	int entry, n_tasks, next_id, n_callers;
	const char *body;
	struct hn_http *ids;
	struct hn_http *caller[64];
	const char *caller_id[64];
	GPtrArray *complete; /* ids of complete jobs */
	struct sys_load_counts counts;
	guint timer;
	bool stopping;
};

static void
load_submit(struct sys_load *load, int caller)
{
	const char *id =
	    hn_json_str(load->ids, hn_str("ids.%d", load->next_id++));

	load->caller_id[caller] = id;
	load->caller[caller] =
	    sys_submit(load->sys, load->entry, id, load->body);
}

static void
load_record_answer(struct sys_load *load, int caller)
{
	const struct hn_http *http = load->caller[caller];
	const char *ran = hn_json_str(http, "ran");

	load->caller[caller] = NULL;
	if (http->status == 200) {
		load->counts.complete++;
		g_ptr_array_add(
		    load->complete, (gpointer)load->caller_id[caller]);
		require((int)json_object_array_length(json_object_object_get(
			    http->json, "results")) == load->n_tasks,
		    "a complete job has fewer or more results than tasks");
	} else if (http->status == 0) {
		load->counts.none++;
	} else if (strcmp(ran, "not_run") == 0) {
		load->counts.not_run++;
		require(
		    sys_job_starts(load->sys, load->caller_id[caller]).total ==
			0,
		    "a job was answered with not_run, but one of its tasks "
		    "started");
	} else if (strcmp(ran, "failed") == 0) {
		load->counts.failed++;
	} else {
		load->counts.unknown++;
	}
}

static gboolean
on_load_timer(gpointer data)
{
	struct sys_load *load = data;
	int i;

	for (i = 0; i < load->n_callers; i++) {
		if (load->caller[i] != NULL && !load->caller[i]->done)
			continue;
		if (load->caller[i] != NULL)
			load_record_answer(load, i);
		if (!load->stopping && load->next_id < LOAD_MAX_JOBS)
			load_submit(load, i);
	}
	return G_SOURCE_CONTINUE;
}

struct sys_load *
sys_load_start(
    struct sys *sys, int entry, int callers, int n_tasks, const char *payload)
{
	struct sys_load *load = g_new0(struct sys_load, 1);

	require(callers <= 64, "more than 64 callers");
	load->sys = sys;
	load->entry = entry;
	load->n_tasks = n_tasks;
	load->n_callers = callers;
	load->body = sys_body(n_tasks, payload);
	load->complete = g_ptr_array_new();
	load->ids = hn_http("POST", sys_url(sys, entry, "/v1/ids"),
	    hn_str("{\"count\":%d}", LOAD_MAX_JOBS));
	require(load->ids->status == 200, "the entry returned no job ids");
	load->timer = g_timeout_add(LOAD_POLL_MS, on_load_timer, load);
	return load;
}

struct sys_load_counts
sys_load_counts(const struct sys_load *load)
{
	return load->counts;
}

static bool
load_is_idle(const struct sys_load *load)
{
	int i;

	for (i = 0; i < load->n_callers; i++) {
		if (load->caller[i] != NULL)
			return false;
	}
	return true;
}

struct sys_load_counts
sys_load_stop(struct sys_load *load)
{
	struct sys_load_counts counts;
	int64_t duplicates;
	int i;

	load->stopping = true;
	require(hn_wait_until(load_is_idle(load), 3 * HN_LIMIT_MS),
	    "a job got no answer in time");
	g_source_remove(load->timer);
	for (i = 0; i < load->sys->opts.agents; i++) {
		duplicates = hn_json_int(
		    endpoint_counts(load->sys, i, "?summary=1"), "duplicates");
		require(duplicates <= 0, "an endpoint started a task twice");
	}
	for (i = 0; i < (int)load->complete->len; i += 17) {
		struct sys_count count =
		    sys_job_starts(load->sys, load->complete->pdata[i]);

		require(count.most <= 1, "two endpoints started the same task");
	}
	counts = load->counts;
	g_ptr_array_unref(load->complete);
	g_free(load);
	return counts;
}
