/*
 * Test endpoint: announces itself to the agent on its host, simulates tasks by
 * timers, and counts the starts of each task id.  The payload of a task is a
 * JSON object whose members are all optional:
 *   run_ms  run time at speed 1
 *   fail    true: answers with status 500
 *   hang    true: is not answered until /control/mode?hang=0
 *   die     true: the endpoint exits at once
 *   size    bytes of padding in the answer
 *
 * GET /control/starts[?summary=1]  counters, and starts by task id unless
 *                                  summary is given
 * GET /control/mode?...  changes the behaviour:
 *   fail=1    all tasks fail at once
 *   hang=1    no task is answered; hang=0 answers the tasks that hang
 *   speed=F   divides run times by F
 *   silent=1  sends no announcements
 *   late=1    runs tasks also after the time in Sequoiaplank-Start-By
 */
#include <argp.h>
#include <glib-unix.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "process/clock.h"

#define ANNOUNCE_TIMEOUT_S 2
#define ANNOUNCES_PER_TTL  3
#define DRAIN_LINGER_MS	   300 /* for calls already sent when draining began */
#define SIZE_MAX_BYTES	   (8 << 20)
#define RUN_MAX_MS	   3600000.0
#define DIE_EXIT_STATUS	   3

static struct {
	const char *listen;
	const char *agent; /* "http://ip:port"; NULL: no announcements */
	const char *service;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t ttl_ms;
	double speed;
} opts = {"127.0.0.1:0", NULL, "desk", 8, 64, 4, 4096, 3000, 1.0};

static GMainLoop *loop;
static SoupSession *session;
static GHashTable *starts; /* task id -> count */
static GPtrArray *hanging; /* struct run */
static struct {
	uint64_t total;
	uint64_t duplicates;
	uint64_t late;	     /* refused, as Sequoiaplank-Start-By had passed */
	uint64_t over_slots; /* starts while all slots were in use */
	uint32_t in_use;
	uint32_t most_in_use;
	bool fail;
	bool hang;
	bool silent;
	bool ignore_start_by;
	bool draining;
	bool drain_announced;
	int64_t idle_since_ms;
} state;

struct run {
	SoupServerMessage *msg;
	char *task_id;
	bool fail;
	uint32_t size;
	double run_ms;
};

static void
reply_json(SoupServerMessage *msg, guint status, GString *text)
{
	gsize len = text->len;

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json",
	    SOUP_MEMORY_TAKE, g_string_free(text, FALSE), len);
}

static void
answer_run(struct run *run)
{
	GString *text = g_string_new("{\"task\":");
	struct json_object *id = json_object_new_string(run->task_id);

	g_string_append(text, json_object_to_json_string(id));
	json_object_put(id);
	g_string_append_printf(text, ",\"ran_ms\":%.0f", run->run_ms);
	if (run->size > 0) {
		g_string_append(text, ",\"pad\":\"");
		while (run->size-- > 0)
			g_string_append_c(text, 'x');
		g_string_append_c(text, '"');
	}
	g_string_append_c(text, '}');
	reply_json(run->msg, run->fail ? 500 : 200, text);
	if (--state.in_use == 0)
		state.idle_since_ms = clk_now_ms();
	soup_server_message_unpause(run->msg);
	g_object_unref(run->msg);
	g_free(run->task_id);
	g_free(run);
}

static gboolean
on_run_ended(gpointer data)
{
	answer_run(data);
	return G_SOURCE_REMOVE;
}

static void
count_start(const char *task_id)
{
	gpointer count = g_hash_table_lookup(starts, task_id);

	g_hash_table_replace(starts, g_strdup(task_id),
	    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	state.total++;
	state.duplicates += count != NULL;
	state.over_slots += state.in_use >= opts.slots;
	state.in_use++;
	state.most_in_use = MAX(state.most_in_use, state.in_use);
}

static bool
start_by_passed(SoupMessageHeaders *headers)
{
	const char *value =
	    soup_message_headers_get_one(headers, "Sequoiaplank-Start-By");

	return value != NULL && !state.ignore_start_by &&
	       clk_now_ns() > g_ascii_strtoll(value, NULL, 10);
}

static bool
member_bool(struct json_object *root, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(root, name, &value) &&
	       json_object_get_boolean(value);
}

static double
member_number(struct json_object *root, const char *name, double max)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, name, &value))
		return 0;
	return CLAMP(json_object_get_double(value), 0, max);
}

static void
run_task(SoupServerMessage *msg, const char *task_id)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct json_object *root = NULL;
	struct run *run = g_new0(struct run, 1);
	bool hang;

	if (body->length > 0)
		root = json_tokener_parse(body->data);
	if (member_bool(root, "die"))
		_exit(DIE_EXIT_STATUS);
	run->msg = g_object_ref(msg);
	run->task_id = g_strdup(task_id);
	run->fail = state.fail || member_bool(root, "fail");
	run->size = (uint32_t)member_number(root, "size", SIZE_MAX_BYTES);
	run->run_ms = member_number(root, "run_ms", RUN_MAX_MS) / opts.speed;
	hang = state.hang || member_bool(root, "hang");
	json_object_put(root);
	soup_server_message_pause(msg);
	if (hang)
		g_ptr_array_add(hanging, run);
	else if (state.fail)
		g_timeout_add(0, on_run_ended, run);
	else
		g_timeout_add((guint)(run->run_ms + 0.5), on_run_ended, run);
}

static void
on_task(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(msg);
	const char *task_id =
	    soup_message_headers_get_one(headers, "Sequoiaplank-Task-Id");

	(void)server;
	(void)path;
	(void)query;
	(void)data;
	if (task_id == NULL) {
		reply_json(msg, 400, g_string_new("{\"error\":\"no id\"}"));
	} else if (start_by_passed(headers)) {
		state.late++;
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(msg),
		    "Sequoiaplank-Not-Run", "true");
		reply_json(msg, 412, g_string_new("{\"error\":\"late\"}"));
	} else {
		count_start(task_id);
		run_task(msg, task_id);
	}
}

static void
on_starts(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	GString *text = g_string_new(NULL);
	const char *separator = "";
	GHashTableIter iter;
	gpointer key, value;

	(void)server;
	(void)path;
	(void)data;
	g_string_append_printf(text,
	    "{\"total\":%" G_GUINT64_FORMAT ",\"duplicates\":%" G_GUINT64_FORMAT
	    ",\"late\":%" G_GUINT64_FORMAT ",\"over_slots\":%" G_GUINT64_FORMAT
	    ",\"in_use\":%u,\"most_in_use\":%u",
	    state.total, state.duplicates, state.late, state.over_slots,
	    state.in_use, state.most_in_use);
	if (query == NULL || !g_hash_table_contains(query, "summary")) {
		g_string_append(text, ",\"starts\":{");
		g_hash_table_iter_init(&iter, starts);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			/* Ids need no escaping: hex digits, '-' and '/'. */
			g_string_append_printf(text, "%s\"%s\":%u", separator,
			    (char *)key, GPOINTER_TO_UINT(value));
			separator = ",";
		}
		g_string_append_c(text, '}');
	}
	g_string_append_c(text, '}');
	reply_json(msg, 200, text);
}

static void
set_flag(GHashTable *query, const char *name, bool *flag)
{
	const char *value = g_hash_table_lookup(query, name);

	if (value != NULL)
		*flag = strcmp(value, "0") != 0;
}

static void
on_mode(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	const char *speed;

	(void)server;
	(void)path;
	(void)data;
	if (query != NULL) {
		set_flag(query, "fail", &state.fail);
		set_flag(query, "hang", &state.hang);
		set_flag(query, "silent", &state.silent);
		set_flag(query, "late", &state.ignore_start_by);
		speed = g_hash_table_lookup(query, "speed");
		if (speed != NULL && g_ascii_strtod(speed, NULL) > 0)
			opts.speed = g_ascii_strtod(speed, NULL);
	}
	while (query != NULL && g_hash_table_contains(query, "hang") &&
	       !state.hang && hanging->len > 0)
		answer_run(g_ptr_array_remove_index(hanging, 0));
	reply_json(msg, 200, g_string_new("{}"));
}

static void
on_announced(GObject *source, GAsyncResult *res, gpointer data)
{
	GBytes *bytes =
	    soup_session_send_and_read_finish(SOUP_SESSION(source), res, NULL);

	if (data != NULL)
		state.drain_announced = true;
	g_clear_pointer(&bytes, g_bytes_unref);
}

static void
announce(void)
{
	SoupMessage *msg;
	GBytes *body;
	char *url, *text;

	if (opts.agent == NULL || state.silent)
		return;
	url = g_strconcat(opts.agent, "/v1/announce", NULL);
	text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"http://%s\",\"slots\":%u,"
	    "\"connections\":%u,\"cores\":%u,\"memory_mb\":%u,\"ttl_ms\":%u,"
	    "\"slots_in_use\":%u,\"draining\":%s}",
	    opts.service, opts.listen, opts.slots, opts.connections, opts.cores,
	    opts.memory_mb, opts.ttl_ms, state.in_use,
	    state.draining ? "true" : "false");
	msg = soup_message_new("PUT", url);
	if (msg == NULL) {
		fprintf(stderr, "standin_endpoint: bad --agent %s\n", url);
		exit(EXIT_FAILURE);
	}
	body = g_bytes_new_take(text, strlen(text));
	soup_message_set_request_body_from_bytes(msg, "application/json", body);
	soup_session_send_and_read_async(session, msg, G_PRIORITY_DEFAULT, NULL,
	    on_announced, state.draining ? msg : NULL);
	g_bytes_unref(body);
	g_object_unref(msg);
	g_free(url);
}

static gboolean
on_announce_due(gpointer data)
{
	(void)data;
	announce();
	return G_SOURCE_CONTINUE;
}

static gboolean
on_drain_check(gpointer data)
{
	(void)data;
	if ((state.drain_announced || opts.agent == NULL) &&
	    state.in_use == 0 &&
	    clk_now_ms() - state.idle_since_ms > DRAIN_LINGER_MS)
		g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_term(gpointer data)
{
	(void)data;
	if (state.draining)
		return G_SOURCE_CONTINUE;
	state.draining = true;
	state.silent = false;
	state.idle_since_ms = clk_now_ms();
	announce();
	g_timeout_add(20, on_drain_check, NULL);
	return G_SOURCE_CONTINUE;
}

enum { OPT_CORES = 256, OPT_MEMORY, OPT_TTL };

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Serve HTTP on IP:PORT", 0},
    {"agent", 'a', "URL", 0, "Announce to the agent at URL", 0},
    {"service", 's', "NAME", 0, "Service", 0},
    {"slots", 'n', "N", 0, "Tasks at a time", 0},
    {"connections", 'c', "N", 0, "Connections at a time", 0},
    {"speed", 'x', "F", 0, "Divide run times by F", 0},
    {"cores", OPT_CORES, "N", 0, "Announced cores", 0},
    {"memory-mb", OPT_MEMORY, "N", 0, "Announced memory", 0},
    {"ttl-ms", OPT_TTL, "MS", 0, "Time to live of the announcement", 0},
    {0},
};

static uint32_t
number(const char *arg, struct argp_state *argp)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(arg, 10, 1, G_MAXINT32, &value, NULL))
		argp_error(argp, "\"%s\": expected a positive number", arg);
	return (uint32_t)value;
}

static error_t
parse_option(int key, char *arg, struct argp_state *argp)
{
	switch (key) {
	case 'l':
		opts.listen = arg;
		return 0;
	case 'a':
		opts.agent = arg;
		return 0;
	case 's':
		opts.service = arg;
		return 0;
	case 'n':
		opts.slots = number(arg, argp);
		return 0;
	case 'c':
		opts.connections = number(arg, argp);
		return 0;
	case 'x':
		opts.speed = g_ascii_strtod(arg, NULL);
		if (!(opts.speed > 0))
			argp_error(argp, "--speed must be positive");
		return 0;
	case OPT_CORES:
		opts.cores = number(arg, argp);
		return 0;
	case OPT_MEMORY:
		opts.memory_mb = number(arg, argp);
		return 0;
	case OPT_TTL:
		opts.ttl_ms = number(arg, argp);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {options, parse_option, 0, 0, 0, 0, 0};

static SoupServer *
serve(void)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	char **parts = g_strsplit(opts.listen, ":", 2);
	GSocketAddress *address = NULL;
	GError *error = NULL;

	if (parts[0] != NULL && parts[1] != NULL)
		address = g_inet_socket_address_new_from_string(
		    parts[0], (guint)g_ascii_strtoull(parts[1], NULL, 10));
	g_strfreev(parts);
	soup_server_add_handler(server, NULL, on_task, NULL, NULL);
	soup_server_add_handler(
	    server, "/control/starts", on_starts, NULL, NULL);
	soup_server_add_handler(server, "/control/mode", on_mode, NULL, NULL);
	if (address == NULL ||
	    !soup_server_listen(server, address, 0, &error)) {
		fprintf(stderr, "standin_endpoint: listen %s: %s\n",
		    opts.listen, error != NULL ? error->message : "invalid");
		exit(EXIT_FAILURE);
	}
	g_object_unref(address);
	return server;
}

int
main(int argc, char **argv)
{
	SoupServer *server;

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	loop = g_main_loop_new(NULL, FALSE);
	starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	hanging = g_ptr_array_new();
	session = soup_session_new_with_options(
	    "proxy-resolver", NULL, "timeout", ANNOUNCE_TIMEOUT_S, NULL);
	server = serve();
	announce();
	g_timeout_add(
	    MAX(opts.ttl_ms / ANNOUNCES_PER_TTL, 1), on_announce_due, NULL);
	g_unix_signal_add(SIGTERM, on_term, NULL);
	g_main_loop_run(loop);
	soup_server_disconnect(server);
	g_object_unref(server);
	g_object_unref(session);
	g_hash_table_unref(starts);
	g_ptr_array_unref(hanging);
	g_main_loop_unref(loop);
	return EXIT_SUCCESS;
}
