#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define TICK_MS 5
/* The clock of a worker starts there with each life. */
#define CLOCK_START_MS 1000
#define INSTANCES      "/sequoiaplank/instances/"

/* A hold call that waits for an end. */
struct hold {
	SoupServerMessage *msg;
	int64_t last_seen, until_ms;
};

struct worker workers[RIG_WORKERS];
void (*worker_on_start)(struct worker *w, const struct run *run);

static int64_t
steady_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int64_t
clock_ms(const struct worker *w)
{
	return steady_ms() - w->clock_base_ms + CLOCK_START_MS;
}

static void
add_int(struct json_object *to, const char *key, int64_t value)
{
	json_object_object_add(to, key, json_object_new_int64(value));
}

static int64_t
get_int(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_int64(value)
		   : 0;
}

static const char *
get_string(struct json_object *from, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(from, key, &value)
		   ? json_object_get_string(value)
		   : "";
}

static void
run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run->spec);
	g_free(run);
}

const struct run *
worker_find_task(const struct worker *w, const char *task)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void
reply(SoupServerMessage *msg, const struct worker *w, guint code,
    struct json_object *body)
{
	const char *text;

	add_int(body, "clock_ms", clock_ms(w));
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	soup_server_message_set_status(msg, code, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(body);
}

static void
refuse(SoupServerMessage *msg, const struct worker *w, guint code,
    const char *reason)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "reason", json_object_new_string(reason));
	reply(msg, w, code, body);
}

static void
seal(struct worker *w, const char *task, int64_t number)
{
	int64_t *highest = g_hash_table_lookup(w->sealed, task);

	if (highest == NULL || *highest < number)
		g_hash_table_replace(w->sealed, g_strdup(task),
		    g_memdup2(&number, sizeof(number)));
}

static void
end_run(struct worker *w, guint index, const char *how)
{
	struct run *run = w->runs->pdata[index];
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_int64(++w->n_ends));
	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int64(run->number));
	json_object_array_add(row, json_object_new_string(how));
	json_object_array_add(row, json_object_new_string(""));
	json_object_array_add(w->ended, row);
	seal(w, run->task, run->number);
	rec_line("worker %d: end %s %s run %" G_GINT64_FORMAT, w->index, how,
	    run->task, run->number);
	g_ptr_array_remove_index(w->runs, index);
}

static void
answer_hold(struct worker *w, struct hold *hold)
{
	struct json_object *body = json_object_new_object();
	struct json_object *running = json_object_new_array();
	struct json_object *ended = json_object_new_array();
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];
		struct json_object *row = json_object_new_array();
		int64_t percent = run->worked_ms * 100 / MAX(run->length_ms, 1);

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int64(run->number));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(
		    row, json_object_new_int64(MIN(percent, 99)));
		json_object_array_add(row, json_object_new_int64(run->cpu));
		json_object_array_add(running, row);
	}
	for (i = 0; i < json_object_array_length(w->ended); i++) {
		struct json_object *row =
		    json_object_array_get_idx(w->ended, i);

		if (json_object_get_int64(json_object_array_get_idx(row, 0)) >
		    hold->last_seen)
			json_object_array_add(ended, json_object_get(row));
	}
	json_object_object_add(body, "running", running);
	json_object_object_add(body, "ended", ended);
	add_int(body, "born", w->born_ms);
	reply(hold->msg, w, 200, body);
	soup_server_message_unpause(hold->msg);
	g_object_unref(hold->msg);
	g_free(hold);
}

static void
check_holds(struct worker *w)
{
	guint i = 0;

	while (i < w->holds->len) {
		struct hold *hold = w->holds->pdata[i];

		if (w->n_ends <= hold->last_seen &&
		    rec_now_ms() < hold->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(w->holds, i);
		answer_hold(w, hold);
	}
}

/* The longest lease that one call grants is BOUND_MAX_HOLD_MS. */
static void
extend(struct worker *w, int64_t deadline_ms)
{
	w->deadline_ms = MAX(
	    w->deadline_ms, MIN(deadline_ms, clock_ms(w) + BOUND_MAX_HOLD_MS));
}

static void
take_hold(struct worker *w, SoupServerMessage *msg, struct json_object *body)
{
	struct hold *hold = g_new0(struct hold, 1);

	hold->msg = g_object_ref(msg);
	hold->last_seen = get_int(body, "last_seen");
	hold->until_ms = rec_now_ms() + get_int(body, "wait_ms");
	w->fence = MAX(w->fence, get_int(body, "fencing_token"));
	if (get_int(body, "deadline_ms") > 0)
		extend(w, get_int(body, "deadline_ms"));
	soup_server_message_pause(msg);
	g_ptr_array_add(w->holds, hold);
	check_holds(w);
}

static bool
is_running(const struct worker *w, const char *task, int64_t number)
{
	const struct run *run = worker_find_task(w, task);

	return run != NULL && run->number == number;
}

/* CPU of a task, which the clients of the cases give behind a colon. */
static int64_t
cpu_of(const char *spec)
{
	const char *colon = strchr(spec, ':');

	return colon == NULL ? 0 : atoll(colon + 1);
}

static void
add_run(struct worker *w, struct json_object *body)
{
	struct run *run = g_new0(struct run, 1);
	struct json_object *spec;

	json_object_object_get_ex(body, "spec", &spec);
	run->task = g_strdup(get_string(body, "task"));
	run->number = get_int(body, "run");
	run->spec_len = (size_t)json_object_get_string_len(spec);
	run->spec = g_memdup2(json_object_get_string(spec), run->spec_len + 1);
	run->length_ms = atoll(run->spec);
	run->cpu = cpu_of(run->spec);
	run->started_ms = rec_now_ms();
	run->worker = w;
	w->n_starts++;
	rec_line("worker %d: start %s run %" G_GINT64_FORMAT, w->index,
	    run->task, run->number);
	if (worker_on_start != NULL)
		worker_on_start(w, run);
	g_ptr_array_add(w->runs, run);
}

static void
take_start(struct worker *w, SoupServerMessage *msg, struct json_object *body)
{
	const char *task = get_string(body, "task");
	int64_t number = get_int(body, "run");
	int64_t deadline_ms = get_int(body, "deadline_ms");
	const int64_t *highest = g_hash_table_lookup(w->sealed, task);

	if (get_int(body, "fencing_token") < w->fence) {
		refuse(msg, w, 409, "fence");
		return;
	}
	w->fence = get_int(body, "fencing_token");
	if (deadline_ms <= clock_ms(w)) {
		refuse(msg, w, 409, "late");
		return;
	}
	extend(w, deadline_ms);
	if (highest != NULL && *highest >= number) {
		refuse(msg, w, 409, "old");
		return;
	}
	if (!is_running(w, task, number))
		add_run(w, body);
	reply(msg, w, 200, json_object_new_object());
}

/* Returns false if a higher fencing token was seen before. */
static bool
stop(struct worker *w, struct json_object *body)
{
	const char *task = get_string(body, "task");
	int64_t number = get_int(body, "run");
	guint i;

	if (get_int(body, "fencing_token") < w->fence)
		return false;
	w->fence = get_int(body, "fencing_token");
	seal(w, task, number);
	for (i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->number <= number &&
		    run->stop_at_ms == 0)
			run->stop_at_ms =
			    rec_now_ms() + BOUND_STOP_TIMEOUT_MS / 2;
	}
	return true;
}

static void
take_stop(struct worker *w, SoupServerMessage *msg, struct json_object *body)
{
	if (stop(w, body))
		reply(msg, w, 200, json_object_new_object());
	else
		refuse(msg, w, 409, "fence");
}

/* An order that is carried out late. */
struct late_order {
	struct worker *w;
	int64_t born_ms; /* of the life that it was sent to */
	struct json_object *body;
};

static gboolean
on_late_order(gpointer data)
{
	struct late_order *order = data;

	if (order->w->up && order->w->born_ms == order->born_ms) {
		rec_line("worker %d: carries out a late stop of %s",
		    order->w->index, get_string(order->body, "task"));
		stop(order->w, order->body);
	}
	json_object_put(order->body);
	g_free(order);
	return G_SOURCE_REMOVE;
}

/* Takes ownership of body.  The call gets no answer. */
static void
defer_stop(struct worker *w, SoupServerMessage *msg, struct json_object *body)
{
	struct late_order *order = g_new0(struct late_order, 1);

	order->w = w;
	order->born_ms = w->born_ms;
	order->body = body;
	w->n_late++;
	rec_line("worker %d: leaves a stop of %s unanswered", w->index,
	    get_string(body, "task"));
	soup_server_message_pause(msg);
	g_timeout_add(WORKER_LATE_MS, on_late_order, order);
}

static void
handle(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	SoupMessageBody *raw = soup_server_message_get_request_body(msg);
	const char *expected = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(msg),
	    "X-Expected-Instance");
	bool is_hold = g_str_has_suffix(path, "/hold");
	struct worker *w = data;
	struct json_object *body;

	(void)server;
	(void)query;
	if (!w->up || w->cut) {
		soup_server_message_pause(msg); /* no answer */
		return;
	}
	if (expected != NULL && strcmp(expected, w->id) != 0) {
		refuse(msg, w, 421, "instance");
		return;
	}
	body = raw->length > 0 ? json_tokener_parse(raw->data) : NULL;
	w->n_orders += !is_hold;
	if (body == NULL)
		refuse(msg, w, 400, "malformed");
	else if (is_hold)
		take_hold(w, msg, body);
	else if (g_str_has_suffix(path, "/run-start"))
		take_start(w, msg, body);
	else if (g_str_has_suffix(path, "/run-stop") && w->stops_are_late)
		defer_stop(w, msg, json_object_get(body));
	else if (g_str_has_suffix(path, "/run-stop"))
		take_stop(w, msg, body);
	else
		refuse(msg, w, 400, "unknown call");
	json_object_put(body);
}

static void
advance(struct worker *w, int64_t elapsed_ms)
{
	bool lapsed = clock_ms(w) > w->deadline_ms;
	int64_t now_ms = rec_now_ms();
	guint i;

	for (i = w->runs->len; i > 0; i--) {
		struct run *run = w->runs->pdata[i - 1];

		run->worked_ms += elapsed_ms;
		if (lapsed)
			end_run(w, i - 1, "lapsed");
		else if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms)
			end_run(w, i - 1, "stopped");
		else if (run->worked_ms >= run->length_ms)
			end_run(w, i - 1, "done");
	}
	check_holds(w);
}

static gboolean
on_tick(gpointer data)
{
	static int64_t last_ms;
	int64_t now_ms = rec_now_ms();
	int64_t elapsed_ms = now_ms - last_ms;
	int i;

	(void)data;
	last_ms = now_ms;
	for (i = 0; i < RIG_WORKERS; i++) {
		if (workers[i].up)
			advance(&workers[i], elapsed_ms);
	}
	return G_SOURCE_CONTINUE;
}

static char *
control_url(const struct worker *w)
{
	uint16_t port = w->link == NULL ? w->control_port : proxy_port(w->link);

	return g_strdup_printf(
	    "http://127.0.0.1:%u" INSTANCES "%s", port, w->id);
}

/* Tells a call that an earlier life sent from one of the current life. */
struct control_call {
	struct worker *w;
	SoupMessage *msg;
	int64_t born_ms;
	bool is_delete, says_draining;
};

static void
on_control_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	g_autofree struct control_call *call = data;
	GBytes *bytes = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	guint status = soup_message_get_status(call->msg);
	struct worker *w = call->w;

	if (bytes != NULL && status / 100 == 2 && w->up &&
	    call->born_ms == w->born_ms) {
		if (call->is_delete)
			w->delete_acked = true;
		if (call->says_draining && w->drain_acked_ms == 0) {
			w->drain_acked_ms = rec_now_ms();
			rec_line(
			    "worker %d: draining is acknowledged", w->index);
		}
	}
	g_clear_pointer(&bytes, g_bytes_unref);
	g_object_unref(call->msg);
}

static void
send_control(struct worker *w, const char *method, const char *text)
{
	g_autofree char *url = control_url(w);
	struct control_call *call = g_new0(struct control_call, 1);
	GBytes *body;

	call->w = w;
	call->msg = soup_message_new(method, url);
	call->born_ms = w->born_ms;
	call->is_delete = text == NULL;
	call->says_draining = w->draining && text != NULL;
	if (text != NULL) {
		body = g_bytes_new(text, strlen(text));
		soup_message_set_request_body_from_bytes(
		    call->msg, "application/json", body);
		g_bytes_unref(body);
	}
	soup_session_send_and_read_async(w->session, call->msg,
	    G_PRIORITY_DEFAULT, NULL, on_control_answer, call);
}

static gboolean
beat(gpointer data)
{
	struct worker *w = data;
	g_autofree char *text = g_strdup_printf(
	    "{\"service\":\"" RIG_SERVICE "\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
	    "\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r%d-%d\"],"
	    "\"clock_ms\":%" G_GINT64_FORMAT ",\"seq\":%" G_GINT64_FORMAT
	    ",\"born\":%" G_GINT64_FORMAT "}",
	    w->app_port, w->index % 3, w->draining ? "draining" : "ready",
	    RIG_WORKER_CPU, w->index % 3, w->index / 9, clock_ms(w), ++w->seq,
	    w->born_ms);

	send_control(w, "PUT", text);
	return G_SOURCE_CONTINUE;
}

void
worker_init(int index, uint16_t control_port)
{
	struct worker *w = &workers[index];
	SoupServer *server = soup_server_new(NULL, NULL);
	GSocketAddress *address;
	GError *error = NULL;

	w->index = index;
	g_snprintf(w->id, sizeof(w->id), "i-%07x", 0x7f3a910 + index);
	w->app_port = rig_free_port();
	w->control_port = control_port;
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->holds = g_ptr_array_new();
	w->sealed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->ended = json_object_new_array();
	address =
	    g_inet_socket_address_new_from_string("127.0.0.1", w->app_port);
	soup_server_add_handler(server, NULL, handle, w, NULL);
	if (!soup_server_listen(server, address, 0, &error))
		rig_fail("worker %d: %s", index, error->message);
	g_object_unref(address);
	if (index == 0)
		g_timeout_add(TICK_MS, on_tick, NULL);
}

void
worker_boot(struct worker *w)
{
	w->up = true;
	w->draining = w->delete_acked = false;
	w->drain_acked_ms = 0;
	w->born_ms = g_get_real_time() / 1000;
	w->clock_base_ms = steady_ms();
	w->seq = w->fence = w->deadline_ms = w->n_ends = 0;
	g_hash_table_remove_all(w->sealed);
	json_object_put(w->ended);
	w->ended = json_object_new_array();
	w->session =
	    soup_session_new_with_options("proxy-resolver", NULL, NULL);
	rec_line("worker %d: begins as %s, born %" G_GINT64_FORMAT, w->index,
	    w->id, w->born_ms);
	w->beat_id = g_timeout_add(BOUND_HEARTBEAT_MS, beat, w);
	beat(w);
}

void
worker_end(struct worker *w)
{
	w->up = false;
	g_clear_handle_id(&w->beat_id, g_source_remove);
	rec_line("worker %d: ends with %u runs", w->index, w->runs->len);
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->holds, 0); /* get no answer */
	soup_session_abort(w->session);
	g_clear_object(&w->session);
}

void
worker_drain(struct worker *w)
{
	w->draining = true;
	rec_line("worker %d: says that it is draining", w->index);
	beat(w);
}

void
worker_send_delete(struct worker *w)
{
	rec_line("worker %d: deregisters", w->index);
	send_control(w, "DELETE", NULL);
}
