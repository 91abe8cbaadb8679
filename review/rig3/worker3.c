/*
 * Stand-in for a worker: runs tasks under a lease, as the users' pages say.
 *
 * worker3 ID PORT CONTROL_PORT ZONE SERVICE LABELS CPU COMMAND_PORT
 *
 * The spec of a task is its run time in milliseconds, or "fail".  Datagrams to
 * the command port: "capacity MILLI", "drain", "leave", "late PERMILLE MIN MAX"
 * (calls to start and stop that get no answer and are executed later), "lost
 * PERMILLE" (executed at once, without an answer), "mute 0|1".
 */
#include <gio/gio.h>
#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <string.h>

#include "log3.h"

#define TICK_MS	     5
#define HEARTBEAT_MS 1500
#define MAX_HOLD_MS  1000
#define STOP_MS	     20
#define MAX_ENDS     500
#define MEM_MB	     262144

struct run {
	char *task;
	int64_t number;
	int64_t cpu;
	int64_t began_ms;
	int64_t total_ms;
	int64_t stop_at_ms;
	bool fails;
};

struct hold {
	SoupServerMessage *msg;
	int64_t until_ms;
};

static struct {
	const char *id;
	const char *zone;
	const char *service;
	char **labels;
	int port;
	int control_port;
	int64_t cpu;
	int64_t born_ms;
	int64_t began_ms;
	int64_t seq;
	int64_t token;
	int64_t deadline_ms;
	int64_t last_end;
	GPtrArray *runs;
	GPtrArray *holds;
	struct json_object *ended;
	GHashTable *closed;
	bool draining;
	bool mute;
	int late_permille, late_min_ms, late_max_ms;
	int lost_permille;
	SoupSession *session;
} w;

static int64_t
clock_now_ms(void)
{
	return steady_ms() - w.began_ms;
}

static const char *
text_of(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_string(value)
		   : "";
}

static int64_t
int_of(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_int64(value)
		   : 0;
}

static void
send_json(SoupServerMessage *msg, guint code, struct json_object *body)
{
	const char *text;

	json_object_object_add(
	    body, "clock_ms", json_object_new_int64(clock_now_ms()));
	json_object_object_add(body, "born", json_object_new_int64(w.born_ms));
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(body);
}

static struct run *
find_run(const char *task, int64_t number)
{
	guint i;

	for (i = 0; i < w.runs->len; i++) {
		struct run *run = w.runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->number == number)
			return run;
	}
	return NULL;
}

static int64_t
closed_run(const char *task)
{
	const int64_t *number = g_hash_table_lookup(w.closed, task);

	return number == NULL ? 0 : *number;
}

static void
close_run(const char *task, int64_t number)
{
	if (closed_run(task) < number)
		g_hash_table_replace(w.closed, g_strdup(task),
		    g_memdup2(&number, sizeof(number)));
}

static int64_t
cpu_in_use(void)
{
	int64_t sum = 0;
	guint i;

	for (i = 0; i < w.runs->len; i++)
		sum += ((struct run *)w.runs->pdata[i])->cpu;
	return sum;
}

static void
end_run(guint i, const char *how)
{
	struct run *run = w.runs->pdata[i];
	struct json_object *row = json_object_new_array();

	rec("worker %s end %s run %lld %s", w.id, run->task,
	    (long long)run->number, how);
	json_object_array_add(row, json_object_new_int64(++w.last_end));
	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int64(run->number));
	json_object_array_add(row, json_object_new_string(how));
	json_object_array_add(row, json_object_new_string(""));
	json_object_array_add(w.ended, row);
	close_run(run->task, run->number);
	g_ptr_array_remove_index(w.runs, i);
	g_free(run->task);
	g_free(run);
}

static struct json_object *
running_rows(void)
{
	struct json_object *rows = json_object_new_array();
	guint i;

	for (i = 0; i < w.runs->len; i++) {
		const struct run *run = w.runs->pdata[i];
		struct json_object *row = json_object_new_array();
		int64_t ms = steady_ms() - run->began_ms;

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int64(run->number));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(
		    row, json_object_new_int64(
			     MIN(100, ms * 100 / MAX(1, run->total_ms))));
		json_object_array_add(row, json_object_new_int64(run->cpu));
		json_object_array_add(rows, row);
	}
	return rows;
}

static void
answer_hold(struct hold *hold)
{
	struct json_object *body = json_object_new_object();
	struct json_object *ended = json_object_new_array();
	size_t i;

	for (i = 0; i < MIN(json_object_array_length(w.ended), MAX_ENDS); i++)
		json_object_array_add(ended,
		    json_object_get(json_object_array_get_idx(w.ended, i)));
	json_object_object_add(body, "running", running_rows());
	json_object_object_add(body, "ended", ended);
	send_json(hold->msg, 200, body);
	soup_server_message_unpause(hold->msg);
	g_object_unref(hold->msg);
	g_free(hold);
}

static void
check_holds(void)
{
	guint i = 0;

	while (i < w.holds->len) {
		struct hold *hold = w.holds->pdata[i];

		if (json_object_array_length(w.ended) == 0 &&
		    steady_ms() < hold->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(w.holds, i);
		answer_hold(hold);
	}
}

static void
extend(int64_t deadline_ms)
{
	w.deadline_ms =
	    MAX(w.deadline_ms, MIN(deadline_ms, clock_now_ms() + MAX_HOLD_MS));
}

/* Returns NULL, or the reason of a refusal. */
static const char *
start_run(struct json_object *body)
{
	const char *task = text_of(body, "task");
	int64_t number = int_of(body, "run");
	int64_t deadline_ms = int_of(body, "deadline_ms");
	struct run *run;

	if (int_of(body, "fencing_token") < w.token)
		return "fence";
	w.token = int_of(body, "fencing_token");
	if (deadline_ms <= clock_now_ms())
		return "late";
	extend(deadline_ms);
	if (find_run(task, number) != NULL)
		return NULL;
	if (closed_run(task) >= number)
		return "old";
	run = g_new0(struct run, 1);
	run->task = g_strdup(task);
	run->number = number;
	/* The size of a task stands in its spec: MS or MS/CPU. */
	run->cpu = strchr(text_of(body, "spec"), '/') == NULL
		       ? 1000
		       : atoll(strchr(text_of(body, "spec"), '/') + 1);
	run->fails = g_str_has_prefix(text_of(body, "spec"), "fail");
	run->total_ms = run->fails ? 5 : atoll(text_of(body, "spec"));
	run->began_ms = steady_ms();
	g_ptr_array_add(w.runs, run);
	rec("worker %s start %s run %lld token %lld cpu %lld of %lld labels %s "
	    "service %s zone %s%s spec %s",
	    w.id, task, (long long)number, (long long)w.token,
	    (long long)cpu_in_use(), (long long)w.cpu, w.labels[0], w.service,
	    w.zone, w.draining ? " draining" : "", text_of(body, "spec"));
	return NULL;
}

static const char *
stop_run(struct json_object *body)
{
	const char *task = text_of(body, "task");
	int64_t number = int_of(body, "run");
	guint i;

	if (int_of(body, "fencing_token") < w.token)
		return "fence";
	w.token = int_of(body, "fencing_token");
	close_run(task, number);
	for (i = 0; i < w.runs->len; i++) {
		struct run *run = w.runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->number <= number &&
		    run->stop_at_ms == 0)
			run->stop_at_ms = steady_ms() + STOP_MS;
	}
	return NULL;
}

static void
take_hold(SoupServerMessage *msg, struct json_object *body)
{
	int64_t last = int_of(body, "last_seen");
	struct hold *hold;

	if (int_of(body, "fencing_token") < w.token) {
		struct json_object *answer = json_object_new_object();

		json_object_object_add(
		    answer, "reason", json_object_new_string("fence"));
		send_json(msg, 409, answer);
		return;
	}
	w.token = int_of(body, "fencing_token");
	if (int_of(body, "deadline_ms") > 0)
		extend(int_of(body, "deadline_ms"));
	while (json_object_array_length(w.ended) > 0 &&
	       json_object_get_int64(json_object_array_get_idx(
		   json_object_array_get_idx(w.ended, 0), 0)) <= last)
		json_object_array_del_idx(w.ended, 0, 1);
	hold = g_new0(struct hold, 1);
	hold->msg = g_object_ref(msg);
	hold->until_ms = steady_ms() + int_of(body, "wait_ms");
	soup_server_message_pause(msg);
	g_ptr_array_add(w.holds, hold);
	check_holds();
}

struct late {
	bool starts;
	struct json_object *body;
};

static gboolean
on_late(gpointer data)
{
	struct late *late = data;
	const char *reason =
	    late->starts ? start_run(late->body) : stop_run(late->body);

	rec("worker %s late %s %s run %lld: %s", w.id,
	    late->starts ? "start" : "stop", text_of(late->body, "task"),
	    (long long)int_of(late->body, "run"),
	    reason == NULL ? "done" : reason);
	json_object_put(late->body);
	g_free(late);
	return G_SOURCE_REMOVE;
}

static void
answer_command(SoupServerMessage *msg, const char *reason)
{
	struct json_object *answer = json_object_new_object();

	if (reason != NULL)
		json_object_object_add(
		    answer, "reason", json_object_new_string(reason));
	send_json(msg, reason == NULL ? 200 : 409, answer);
}

static void
on_call(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageBody *from = soup_server_message_get_request_body(msg);
	const char *id = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg),
	    "X-Expected-Instance");
	struct json_object *body;
	bool starts = g_str_has_suffix(path, "run-start");

	(void)server;
	(void)query;
	(void)data;
	if (w.mute) {
		soup_server_message_pause(g_object_ref(msg));
		return;
	}
	if (id != NULL && strcmp(id, w.id) != 0) {
		send_json(msg, 421, json_object_new_object());
		return;
	}
	body = json_tokener_parse(from->length == 0 ? "" : from->data);
	if (body == NULL) {
		send_json(msg, 400, json_object_new_object());
		return;
	}
	if (g_str_has_suffix(path, "hold")) {
		take_hold(msg, body);
	} else if (g_random_int_range(0, 1000) < w.late_permille) {
		struct late *late = g_new0(struct late, 1);

		late->starts = starts;
		late->body = json_object_get(body);
		g_timeout_add(
		    (guint)g_random_int_range(w.late_min_ms, w.late_max_ms + 1),
		    on_late, late);
		soup_server_message_pause(g_object_ref(msg));
	} else if (g_random_int_range(0, 1000) < w.lost_permille) {
		starts ? start_run(body) : stop_run(body);
		soup_server_message_pause(g_object_ref(msg));
	} else {
		const char *reason = starts ? start_run(body) : stop_run(body);

		if (reason != NULL)
			rec("worker %s refuses %s of %s run %lld token %lld: "
			    "%s",
			    w.id, starts ? "start" : "stop",
			    text_of(body, "task"),
			    (long long)int_of(body, "run"),
			    (long long)int_of(body, "fencing_token"), reason);
		answer_command(msg, reason);
	}
	json_object_put(body);
}

static void
on_beaten(GObject *source, GAsyncResult *result, gpointer data)
{
	SoupMessage *msg = data;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	bool drains = g_object_get_data(G_OBJECT(msg), "drains") != NULL;

	if (body != NULL && drains && soup_message_get_status(msg) == 200)
		rec("worker %s drain acknowledged", w.id);
	if (body != NULL)
		g_bytes_unref(body);
	g_object_unref(msg);
}

static void
send_beat(const char *method)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%d/sequoiaplank/instances/%s",
		w.control_port, w.id);
	SoupMessage *msg = soup_message_new(method, url);
	struct json_object *body = json_object_new_object();
	struct json_object *capacity = json_object_new_object();
	struct json_object *labels = json_object_new_array();
	const char *text;
	GBytes *bytes;
	int i;

#define ADD(key, value) json_object_object_add(body, key, value)
	ADD("service", json_object_new_string(w.service));
	text = g_strdup_printf("127.0.0.1:%d", w.port);
	ADD("address", json_object_new_string(text));
	g_free((char *)text);
	ADD("zone", json_object_new_string(w.zone));
	ADD("version", json_object_new_string("v1"));
	ADD("slots", json_object_new_int(8));
	ADD("state", json_object_new_string(w.draining ? "draining" : "ready"));
	ADD("cold_remaining_ms", json_object_new_int(0));
	json_object_object_add(capacity, "cpu", json_object_new_int64(w.cpu));
	json_object_object_add(
	    capacity, "mem_mb", json_object_new_int64(MEM_MB));
	json_object_object_add(capacity, "gpu", json_object_new_int64(0));
	ADD("capacity", capacity);
	for (i = 0; w.labels[i] != NULL; i++)
		json_object_array_add(
		    labels, json_object_new_string(w.labels[i]));
	ADD("labels", labels);
	ADD("clock_ms", json_object_new_int64(clock_now_ms()));
	ADD("seq", json_object_new_int64(++w.seq));
	ADD("born", json_object_new_int64(w.born_ms));
	if (w.draining)
		ADD("drain_remaining_ms", json_object_new_int64(2000));
#undef ADD
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	bytes = g_bytes_new(text, strlen(text));
	soup_message_set_request_body_from_bytes(
	    msg, "application/json", bytes);
	g_bytes_unref(bytes);
	json_object_put(body);
	if (w.draining)
		g_object_set_data(G_OBJECT(msg), "drains", msg);
	soup_session_send_and_read_async(
	    w.session, msg, G_PRIORITY_DEFAULT, NULL, on_beaten, msg);
}

static gboolean
on_heartbeat(gpointer data)
{
	(void)data;
	if (!w.mute)
		send_beat("PUT");
	return G_SOURCE_CONTINUE;
}

static gboolean
on_tick(gpointer data)
{
	bool lapsed = clock_now_ms() > w.deadline_ms;
	guint i;

	(void)data;
	for (i = w.runs->len; i > 0; i--) {
		const struct run *run = w.runs->pdata[i - 1];
		int64_t ms = steady_ms() - run->began_ms;

		if (lapsed)
			end_run(i - 1, "lapsed");
		else if (run->stop_at_ms != 0 && steady_ms() >= run->stop_at_ms)
			end_run(i - 1, "stopped");
		else if (ms >= run->total_ms)
			end_run(i - 1, run->fails ? "failed" : "done");
	}
	check_holds();
	return G_SOURCE_CONTINUE;
}

static gboolean
on_command(GSocket *socket, GIOCondition condition, gpointer data)
{
	char text[200];
	gssize n = g_socket_receive(socket, text, sizeof(text) - 1, NULL, NULL);
	int a, b, c;

	(void)condition;
	(void)data;
	if (n <= 0)
		return G_SOURCE_CONTINUE;
	text[n] = '\0';
	rec("worker %s command %s", w.id, text);
	if (sscanf(text, "capacity %d", &a) == 1) {
		w.cpu = a;
		send_beat("PUT");
	} else if (sscanf(text, "late %d %d %d", &a, &b, &c) == 3) {
		w.late_permille = a;
		w.late_min_ms = b;
		w.late_max_ms = c;
	} else if (sscanf(text, "lost %d", &a) == 1) {
		w.lost_permille = a;
	} else if (sscanf(text, "mute %d", &a) == 1) {
		w.mute = a != 0;
	} else if (strcmp(text, "drain") == 0) {
		w.draining = true;
		send_beat("PUT");
	} else if (strcmp(text, "leave") == 0) {
		send_beat("DELETE");
	}
	return G_SOURCE_CONTINUE;
}

static void
open_commands(int port)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);
	GSource *source;

	if (!g_socket_bind(socket, address, TRUE, NULL))
		exit(2);
	source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(on_command), NULL, NULL);
	g_source_attach(source, NULL);
	g_object_unref(address);
}

int
main(int argc, char **argv)
{
	SoupServer *server = soup_server_new("server-header", NULL, NULL);
	GSocketAddress *address;
	GError *error = NULL;

	if (argc != 9)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	w.id = argv[1];
	w.port = atoi(argv[2]);
	w.control_port = atoi(argv[3]);
	w.zone = argv[4];
	w.service = argv[5];
	w.labels = g_strsplit(argv[6], ",", -1);
	w.cpu = atoll(argv[7]);
	w.born_ms = wall_ms();
	w.began_ms = steady_ms();
	w.runs = g_ptr_array_new();
	w.holds = g_ptr_array_new();
	w.ended = json_object_new_array();
	w.closed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w.session = soup_session_new_with_options(
	    "proxy-resolver", NULL, "timeout", 1, NULL);
	address =
	    g_inet_socket_address_new_from_string("127.0.0.1", (guint)w.port);
	soup_server_add_handler(server, NULL, on_call, NULL, NULL);
	if (!soup_server_listen(server, address, 0, &error)) {
		fprintf(stderr, "worker3: %s\n", error->message);
		return 2;
	}
	open_commands(atoi(argv[8]));
	rec("worker %s begins, born %lld, labels %s, cpu %lld", w.id,
	    (long long)w.born_ms, argv[6], (long long)w.cpu);
	g_timeout_add(TICK_MS, on_tick, NULL);
	g_timeout_add(HEARTBEAT_MS, on_heartbeat, NULL);
	on_heartbeat(NULL);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
