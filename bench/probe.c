#include <libsoup/soup.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "probe.h"

#define MAX_CONNECTIONS 1000
#define CALL_TIMEOUT_S	120
#define STAT_UTIME	14 /* fields of /proc/<pid>/stat, from 1 */
#define STAT_COMM	2
#define US_PER_S	1000000.0

static struct json_object *json_results; /* NULL: print lines */
static SoupSession *session;

void
results_begin(bool json)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (json)
		json_results = json_object_new_array();
}

void
report(const char *unit, double value, const char *name, ...)
{
	struct json_object *item;
	va_list ap;
	char *text;

	va_start(ap, name);
	text = g_strdup_vprintf(name, ap);
	va_end(ap);
	if (json_results == NULL) {
		printf("%s %.3f %s\n", text, value, unit);
	} else {
		item = json_object_new_object();
		json_object_object_add(
		    item, "name", json_object_new_string(text));
		json_object_object_add(
		    item, "value", json_object_new_double(value));
		json_object_object_add(
		    item, "unit", json_object_new_string(unit));
		json_object_array_add(json_results, item);
	}
	g_free(text);
}

void
results_end(void)
{
	if (json_results != NULL)
		printf("%s\n", json_object_to_json_string_ext(
				   json_results, JSON_C_TO_STRING_PRETTY));
	g_clear_pointer(&json_results, json_object_put);
	g_clear_object(&session);
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

void
report_distribution(const char *name, const char *unit, GArray *doubles)
{
	const double *v = (const double *)(void *)doubles->data;
	guint i, n = doubles->len;
	double sum = 0;

	report("count", n, "%s.n", name);
	if (n == 0)
		return;
	g_array_sort(doubles, compare_doubles);
	for (i = 0; i < n; i++)
		sum += v[i];
	report(unit, v[n / 2], "%s.median", name);
	report(unit, sum / n, "%s.mean", name);
	report(unit, v[MIN((guint)(0.99 * n), n - 1)], "%s.p99", name);
}

static double
cpu_us(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL, **fields;
	double ticks = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		/* The command name, in parentheses, may contain blanks. */
		fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
		ticks = atof(fields[STAT_UTIME - STAT_COMM - 1]) +
			atof(fields[STAT_UTIME - STAT_COMM]);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return ticks * US_PER_S / (double)sysconf(_SC_CLK_TCK);
}

static double
rss_kb(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *line = NULL;
	double kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		line = strstr(text, "VmRSS:");
	if (line != NULL)
		kb = atof(line + strlen("VmRSS:"));
	g_free(text);
	g_free(path);
	return kb;
}

double
metric_value(const char *text, const char *name)
{
	size_t len = strlen(name);
	const char *line = text;

	while (line != NULL) {
		if (strncmp(line, name, len) == 0 && line[len] == ' ')
			return atof(line + len);
		line = strchr(line, '\n');
		line = line != NULL ? line + 1 : NULL;
	}
	return 0;
}

static struct reading
read_process(pid_t pid, const char *text)
{
	struct reading r = {.cpu_us = cpu_us(pid), .rss_kb = rss_kb(pid)};

	r.at_s = (double)g_get_monotonic_time() / US_PER_S;
	r.bytes_out = metric_value(text, "sp_rpc_bytes_out_total");
	r.bytes = r.bytes_out + metric_value(text, "sp_rpc_bytes_in_total");
	r.records_out = metric_value(text, "sp_rpc_records_out_total");
	r.store_calls = metric_value(text, "sp_store_calls_total");
	r.starts = metric_value(text, "sp_starts_total");
	return r;
}

struct reading
read_entry(struct sys *sys, int entry)
{
	return read_process(hn_pid(sys->entry[entry].proc),
	    hn_http("GET", sys_url(sys, entry, "/metrics"), NULL)->body);
}

const char *
agent_metrics(struct sys *sys, int agent)
{
	return hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", sys->agent[agent].listen),
	    NULL)
	    ->body;
}

struct reading
read_agent(struct sys *sys, int agent)
{
	return read_process(
	    hn_pid(sys->agent[agent].proc), agent_metrics(sys, agent));
}

struct reading
reading_since(struct reading before, struct reading after)
{
	after.at_s -= before.at_s;
	after.cpu_us -= before.cpu_us;
	after.bytes -= before.bytes;
	after.bytes_out -= before.bytes_out;
	after.records_out -= before.records_out;
	after.store_calls -= before.store_calls;
	after.starts -= before.starts;
	return after;
}

struct pending_call {
	struct call public;
	SoupMessage *msg;
	call_fn on_done;
	void *ctx;
};

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pending_call *ex = data;
	GBytes *bytes = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);

	ex->public.ended_us = g_get_monotonic_time();
	if (bytes != NULL) {
		ex->public.status = (int)soup_message_get_status(ex->msg);
		ex->public.body = g_strndup(
		    g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
	}
	g_clear_object(&ex->msg);
	ex->public.done = true;
	if (ex->on_done != NULL)
		ex->on_done(&ex->public, ex->ctx);
}

struct call *
call_send(const char *method, const char *url, const char *body,
    call_fn on_done, void *ctx)
{
	struct pending_call *ex = g_new0(struct pending_call, 1);
	GBytes *bytes;

	if (session == NULL)
		session =
		    soup_session_new_with_options("timeout", CALL_TIMEOUT_S,
			"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
			MAX_CONNECTIONS, "proxy-resolver", NULL, NULL);
	ex->msg = soup_message_new(method, url);
	ex->on_done = on_done;
	ex->ctx = ctx;
	soup_message_headers_append(soup_message_get_request_headers(ex->msg),
	    "Sequoiaplank-Team", SYS_TEAM);
	soup_message_headers_append(soup_message_get_request_headers(ex->msg),
	    "Sequoiaplank-Task-Id", "direct/0");
	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    ex->msg, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	ex->public.sent_us = g_get_monotonic_time();
	soup_session_send_and_read_async(
	    session, ex->msg, G_PRIORITY_DEFAULT, NULL, on_answer, ex);
	return &ex->public;
}

void
call_free(struct call *call)
{
	g_free(call->body);
	g_free(call);
}
