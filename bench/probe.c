#include <libsoup/soup.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "probe.h"

#define MAX_CONNS     1000
#define CALL_LIMIT_S  120
#define STAT_UTIME    14 /* fields of /proc/<pid>/stat, from 1 */
#define STAT_NAME_END 2
#define US_PER_S      1000000.0

static struct json_object *collected; /* NULL: print lines */
static SoupSession *session;

/* Chooses lines or JSON. */
void
figures_begin(bool json)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (json)
		collected = json_object_new_array();
}

/* Reports one figure. */
void
figure(const char *unit, double value, const char *name, ...)
{
	struct json_object *item;
	va_list ap;
	char *text;

	va_start(ap, name);
	text = g_strdup_vprintf(name, ap);
	va_end(ap);
	if (collected == NULL) {
		printf("%s %.3f %s\n", text, value, unit);
	} else {
		item = json_object_new_object();
		json_object_object_add(
		    item, "name", json_object_new_string(text));
		json_object_object_add(
		    item, "value", json_object_new_double(value));
		json_object_object_add(
		    item, "unit", json_object_new_string(unit));
		json_object_array_add(collected, item);
	}
	g_free(text);
}

/* Prints what was collected for JSON. */
void
figures_end(void)
{
	if (collected != NULL)
		printf("%s\n", json_object_to_json_string_ext(
				   collected, JSON_C_TO_STRING_PRETTY));
	g_clear_pointer(&collected, json_object_put);
	g_clear_object(&session);
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Reports the distribution of values, which it sorts. */
void
figure_spread(const char *name, const char *unit, GArray *doubles)
{
	const double *v = (const double *)(void *)doubles->data;
	guint i, n = doubles->len;
	double sum = 0;

	figure("count", n, "%s.n", name);
	if (n == 0)
		return;
	g_array_sort(doubles, compare_doubles);
	for (i = 0; i < n; i++)
		sum += v[i];
	figure(unit, v[n / 2], "%s.median", name);
	figure(unit, sum / n, "%s.mean", name);
	figure(unit, v[MIN((guint)(0.99 * n), n - 1)], "%s.p99", name);
}

static double
cpu_us(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL, **fields;
	double ticks = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		/* The name, in brackets, may contain blanks. */
		fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
		ticks = atof(fields[STAT_UTIME - STAT_NAME_END - 1]) +
			atof(fields[STAT_UTIME - STAT_NAME_END]);
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

/* Returns a value of a text exposition. */
double
metric(const char *text, const char *name)
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
	r.bytes_out = metric(text, "sp_rpc_bytes_out_total");
	r.bytes = r.bytes_out + metric(text, "sp_rpc_bytes_in_total");
	r.records_out = metric(text, "sp_rpc_records_out_total");
	r.store_calls = metric(text, "sp_store_calls_total");
	r.starts = metric(text, "sp_starts_total");
	return r;
}

/* Reads an entry process. */
struct reading
read_entry(struct sys *sys, int entry)
{
	return read_process(hn_pid(sys->entry[entry].proc),
	    hn_http("GET", sys_url(sys, entry, "/metrics"), NULL)->body);
}

/* Returns the counters of an agent as text. */
const char *
agent_metrics(struct sys *sys, int agent)
{
	return hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", sys->agent[agent].listen),
	    NULL)
	    ->body;
}

/* Reads an agent process. */
struct reading
read_agent(struct sys *sys, int agent)
{
	return read_process(
	    hn_pid(sys->agent[agent].proc), agent_metrics(sys, agent));
}

/* Returns what was used between two readings. */
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

struct exchange {
	struct call public;
	SoupMessage *msg;
	call_fn on_done;
	void *ctx;
};

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *ex = data;
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

/* Sends a request on a kept connection. */
struct call *
call_send(const char *method, const char *url, const char *body,
    call_fn on_done, void *ctx)
{
	struct exchange *ex = g_new0(struct exchange, 1);
	GBytes *bytes;

	if (session == NULL)
		session = soup_session_new_with_options("timeout", CALL_LIMIT_S,
		    "max-conns", MAX_CONNS, "max-conns-per-host", MAX_CONNS,
		    "proxy-resolver", NULL, NULL);
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

/* Frees a call that is done. */
void
call_free(struct call *call)
{
	g_free(call->body);
	g_free(call);
}
