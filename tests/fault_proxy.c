/*
 * TCP proxy that injects faults: fault_proxy CONTROL LISTEN=TARGET ...
 *
 * CONTROL, LISTEN and TARGET are ports of 127.0.0.1.  A rule is set by an HTTP
 * POST to the control port with these query parameters:
 *   pair       listening port of the pair; absent: all pairs
 *   action     cut, freeze, delay, drop, release or restore
 *   match      affects only connections whose first bytes from the client
 *              contain this text; drop instead waits until data of the
 *              connection's opposite direction contains it
 *   direction  up (from the client), down or both (default)
 *   scope      existing, or all (default), which includes later connections
 *   ms         delay in milliseconds
 * Actions:
 *   cut      closes the connections
 *   freeze   holds back data and end of stream until release; both sides still
 *            see an open connection
 *   delay    delays data by ms
 *   drop     discards the next data in the direction and closes its connection
 *   release  delivers the data that freeze held back
 *   restore  removes all delays and the rules for later connections; frozen
 *            connections stay frozen
 * GET returns the counters of a pair.
 */
#include <errno.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"

#define HEAD_MAX_BYTES	 1024
#define CHUNK_MAX_BYTES	 65536
#define QUEUE_MAX_BYTES	 (16 * 1024 * 1024)
#define FROZEN_MAX_BYTES (256 * 1024 * 1024)

enum action { ACT_CUT, ACT_FREEZE, ACT_DELAY, ACT_DROP };

struct rule {
	enum action action;
	bool up, down;
	char *match; /* empty: every connection */
	int64_t ms;  /* delay; drop: address of the link that matched */
};

struct pair {
	uint16_t listen, target;
	GPtrArray *rules;
	GPtrArray *links;
	uint64_t accepted, dropped;
};

struct chunk {
	GBytes *bytes;
	int64_t due_ms; /* earliest time of sending */
};

struct link;

/* One direction of a connection. */
struct flow {
	struct link *link;
	GSocket *from, *to;
	GSource *reader, *writer;
	guint timer;
	GQueue chunks;
	size_t held_bytes;
	int64_t delay_ms;
	bool frozen, at_eof, write_shut;
};

/* A client's connection and the proxy's connection to the target. */
struct link {
	struct pair *pair;
	GSocketConnection *client, *server;
	struct flow up, down;
	GByteArray *head; /* first bytes from the client, for match */
	bool closed;
};

static GPtrArray *pairs;

static void forward_chunks(struct flow *flow);
static void watch_input(struct flow *flow);

static void
clear_source(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

static void
chunk_free(gpointer data)
{
	struct chunk *chunk = data;

	g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

static void
flow_close(struct flow *flow)
{
	clear_source(&flow->reader);
	clear_source(&flow->writer);
	g_clear_handle_id(&flow->timer, g_source_remove);
	g_queue_clear_full(&flow->chunks, chunk_free);
	flow->held_bytes = 0;
}

static gboolean
link_free(gpointer data)
{
	struct link *link = data;

	g_object_unref(link->client);
	g_object_unref(link->server);
	g_byte_array_unref(link->head);
	g_free(link);
	return G_SOURCE_REMOVE;
}

/* Closes both sockets; the main loop frees the link, since callers use it. */
static void
link_close(struct link *link)
{
	if (link->closed)
		return;
	link->closed = true;
	flow_close(&link->up);
	flow_close(&link->down);
	g_io_stream_close(G_IO_STREAM(link->client), NULL, NULL);
	g_io_stream_close(G_IO_STREAM(link->server), NULL, NULL);
	g_ptr_array_remove_fast(link->pair->links, link);
	g_idle_add(link_free, link);
}

static bool
matches(const struct rule *rule, const GByteArray *head)
{
	return rule->match[0] == '\0' ||
	       (head->len > 0 && memmem(head->data, head->len, rule->match,
				     strlen(rule->match)) != NULL);
}

static void
apply_rule(struct link *link, const struct rule *rule)
{
	if (!matches(rule, link->head))
		return;
	switch (rule->action) {
	case ACT_CUT:
		link_close(link);
		break;
	case ACT_FREEZE:
		link->up.frozen |= rule->up;
		link->down.frozen |= rule->down;
		break;
	case ACT_DELAY:
		link->up.delay_ms = rule->up ? rule->ms : 0;
		link->down.delay_ms = rule->down ? rule->ms : 0;
		break;
	case ACT_DROP: /* checked for each chunk received */
		break;
	}
}

static void
apply_rules(struct link *link)
{
	guint i;

	for (i = 0; i < link->pair->rules->len && !link->closed; i++)
		apply_rule(link, link->pair->rules->pdata[i]);
}

/* Returns whether a drop rule discards this chunk, and removes that rule. */
static bool
consume_drop_rule(struct flow *flow, const char *data, size_t len)
{
	struct link *link = flow->link;
	GPtrArray *rules = link->pair->rules;
	guint i;

	for (i = 0; i < rules->len; i++) {
		struct rule *rule = rules->pdata[i];
		bool applies = flow == &link->up ? rule->up : rule->down;

		if (rule->action != ACT_DROP)
			continue;
		/* Matching data arms the rule for the opposite direction. */
		if (!applies && rule->match[0] != '\0' &&
		    memmem(data, len, rule->match, strlen(rule->match)) != NULL)
			rule->ms = (int64_t)(intptr_t)link;
		if (!applies || (rule->match[0] != '\0' &&
				    rule->ms != (int64_t)(intptr_t)link))
			continue;
		link->pair->dropped++;
		g_ptr_array_remove_index(rules, i);
		return true;
	}
	return false;
}

static void
enqueue(struct flow *flow, const char *data, gsize len)
{
	struct chunk *chunk = g_new0(struct chunk, 1);

	chunk->bytes = g_bytes_new(data, len);
	chunk->due_ms = clk_now_ms() + flow->delay_ms;
	g_queue_push_tail(&flow->chunks, chunk);
	flow->held_bytes += len;
}

static gboolean
on_readable(GSocket *socket, GIOCondition condition, gpointer user)
{
	static char data[CHUNK_MAX_BYTES];
	struct flow *flow = user;
	struct link *link = flow->link;
	gssize n;

	(void)condition;
	n = g_socket_receive_with_blocking(
	    socket, data, sizeof(data), FALSE, NULL, NULL);
	if (n <= 0) {
		clear_source(&flow->reader);
		flow->at_eof = true;
		forward_chunks(flow);
		return G_SOURCE_REMOVE;
	}
	if (flow == &link->up && link->head->len < HEAD_MAX_BYTES) {
		g_byte_array_append(link->head, (guint8 *)data,
		    MIN((size_t)n, HEAD_MAX_BYTES - link->head->len));
		apply_rules(link);
		if (link->closed)
			return G_SOURCE_REMOVE;
	}
	if (consume_drop_rule(flow, data, n)) {
		link_close(link);
		return G_SOURCE_REMOVE;
	}
	enqueue(flow, data, n);
	forward_chunks(flow);
	if (!link->closed &&
	    flow->held_bytes >
		(flow->frozen ? FROZEN_MAX_BYTES : QUEUE_MAX_BYTES))
		clear_source(&flow->reader);
	return G_SOURCE_CONTINUE;
}

static void
watch_input(struct flow *flow)
{
	flow->reader = g_socket_create_source(flow->from, G_IO_IN, NULL);
	g_source_set_callback(
	    flow->reader, G_SOURCE_FUNC(on_readable), flow, NULL);
	g_source_attach(flow->reader, NULL);
}

static gboolean
on_writable(GSocket *socket, GIOCondition condition, gpointer data)
{
	struct flow *flow = data;

	(void)socket;
	(void)condition;
	clear_source(&flow->writer);
	forward_chunks(flow);
	return G_SOURCE_REMOVE;
}

static gboolean
on_chunk_due(gpointer data)
{
	struct flow *flow = data;

	flow->timer = 0;
	forward_chunks(flow);
	return G_SOURCE_REMOVE;
}

/*
 * Sends data of the first chunk.  Returns false when it must wait, for its
 * delay or for the socket, or when the link was closed.
 */
static bool
send_chunk(struct flow *flow)
{
	struct chunk *chunk = g_queue_peek_head(&flow->chunks);
	int64_t wait_ms = chunk->due_ms - clk_now_ms();
	GError *error = NULL;
	GBytes *rest;
	gsize len;
	const char *data = g_bytes_get_data(chunk->bytes, &len);
	gssize n;

	if (wait_ms > 0) {
		flow->timer = g_timeout_add(wait_ms, on_chunk_due, flow);
		return false;
	}
	n = g_socket_send_with_blocking(
	    flow->to, data, len, FALSE, NULL, &error);
	if (n < 0) {
		if (g_error_matches(
			error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
			flow->writer =
			    g_socket_create_source(flow->to, G_IO_OUT, NULL);
			g_source_set_callback(flow->writer,
			    G_SOURCE_FUNC(on_writable), flow, NULL);
			g_source_attach(flow->writer, NULL);
		} else {
			link_close(flow->link);
		}
		g_error_free(error);
		return false;
	}
	flow->held_bytes -= n;
	rest = g_bytes_new_from_bytes(chunk->bytes, n, len - n);
	g_bytes_unref(chunk->bytes);
	chunk->bytes = rest;
	if ((gsize)n == len)
		chunk_free(g_queue_pop_head(&flow->chunks));
	return true;
}

static void
forward_chunks(struct flow *flow)
{
	struct link *link = flow->link;

	if (link->closed || flow->frozen || flow->writer != NULL ||
	    flow->timer != 0)
		return;
	while (!g_queue_is_empty(&flow->chunks)) {
		if (!send_chunk(flow))
			return;
	}
	if (flow->at_eof && !flow->write_shut) {
		flow->write_shut = true;
		g_socket_shutdown(flow->to, FALSE, TRUE, NULL);
		if (link->up.write_shut && link->down.write_shut)
			link_close(link);
	} else if (!flow->at_eof && flow->reader == NULL) {
		watch_input(flow);
	}
}

static void
flow_init(struct flow *flow, struct link *link, GSocketConnection *from,
    GSocketConnection *to)
{
	flow->link = link;
	flow->from = g_socket_connection_get_socket(from);
	flow->to = g_socket_connection_get_socket(to);
	g_socket_set_blocking(flow->from, FALSE);
	g_queue_init(&flow->chunks);
	watch_input(flow);
}

struct pending_connect {
	struct pair *pair;
	GSocketConnection *client;
};

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pending_connect *pending_connect = data;
	GSocketConnection *server = g_socket_client_connect_to_host_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	struct link *link;

	if (server != NULL) {
		link = g_new0(struct link, 1);
		link->pair = pending_connect->pair;
		link->client = g_object_ref(pending_connect->client);
		link->server = server;
		link->head = g_byte_array_new();
		flow_init(&link->up, link, pending_connect->client, server);
		flow_init(&link->down, link, server, pending_connect->client);
		g_ptr_array_add(pending_connect->pair->links, link);
		apply_rules(link);
	} else {
		g_io_stream_close(
		    G_IO_STREAM(pending_connect->client), NULL, NULL);
	}
	g_object_unref(pending_connect->client);
	g_free(pending_connect);
}

/*
 * Connects to the target asynchronously: once the backlog of a stopped target
 * is full, connecting blocks, which would stall all other connections.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *client, GObject *source,
    gpointer data)
{
	struct pending_connect *pending_connect =
	    g_new0(struct pending_connect, 1);
	GSocketClient *connector = g_socket_client_new();

	(void)service;
	(void)source;
	pending_connect->pair = data;
	pending_connect->pair->accepted++;
	pending_connect->client = g_object_ref(client);
	g_socket_client_connect_to_host_async(connector, "127.0.0.1",
	    pending_connect->pair->target, NULL, on_connected, pending_connect);
	g_object_unref(connector);
	return TRUE;
}

static void
flow_release(struct flow *flow)
{
	flow->frozen = false;
	forward_chunks(flow);
}

/* Applies an action to the open links, of which some may close meanwhile. */
static void
apply_to_links(struct pair *pair, const struct rule *rule, const char *action)
{
	GPtrArray *links = g_ptr_array_copy(pair->links, NULL, NULL);
	guint i;

	for (i = 0; i < links->len; i++) {
		struct link *link = links->pdata[i];

		if (strcmp(action, "restore") == 0) {
			link->up.delay_ms = link->down.delay_ms = 0;
		} else if (strcmp(action, "release") == 0) {
			if (rule->up && matches(rule, link->head))
				flow_release(&link->up);
			if (!link->closed && rule->down &&
			    matches(rule, link->head))
				flow_release(&link->down);
		} else {
			apply_rule(link, rule);
		}
	}
	g_ptr_array_unref(links);
}

static void
rule_free(gpointer data)
{
	struct rule *rule = data;

	g_free(rule->match);
	g_free(rule);
}

static const char *
param(GHashTable *query, const char *name, const char *missing)
{
	const char *value =
	    query != NULL ? g_hash_table_lookup(query, name) : NULL;

	return value != NULL ? value : missing;
}

static bool
set_rule(struct pair *pair, GHashTable *query)
{
	static const char *const actions[] = {"cut", "freeze", "delay", "drop"};
	const char *action = param(query, "action", "");
	const char *direction = param(query, "direction", "both");
	struct rule *rule = g_new0(struct rule, 1);
	bool persistent = strcmp(param(query, "scope", "all"), "existing") != 0;
	size_t i;

	rule->up = strcmp(direction, "down") != 0;
	rule->down = strcmp(direction, "up") != 0;
	rule->match = g_strdup(param(query, "match", ""));
	rule->ms = g_ascii_strtoll(param(query, "ms", "0"), NULL, 10);
	for (i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (strcmp(action, actions[i]) == 0)
			break;
	}
	if (i == G_N_ELEMENTS(actions)) {
		bool known = strcmp(action, "release") == 0 ||
			     strcmp(action, "restore") == 0;

		if (strcmp(action, "restore") == 0)
			g_ptr_array_set_size(pair->rules, 0);
		if (known)
			apply_to_links(pair, rule, action);
		rule_free(rule);
		return known;
	}
	rule->action = (enum action)i;
	apply_to_links(pair, rule, action);
	if (persistent)
		g_ptr_array_add(pair->rules, rule);
	else
		rule_free(rule);
	return true;
}

static char *
counters_json(uint16_t listen)
{
	uint64_t accepted = 0, dropped = 0, open = 0, held_bytes = 0;
	guint i, j;

	for (i = 0; i < pairs->len; i++) {
		struct pair *pair = pairs->pdata[i];

		if (listen != 0 && pair->listen != listen)
			continue;
		accepted += pair->accepted;
		dropped += pair->dropped;
		open += pair->links->len;
		for (j = 0; j < pair->links->len; j++) {
			struct link *link = pair->links->pdata[j];

			held_bytes +=
			    link->up.held_bytes + link->down.held_bytes;
		}
	}
	return g_strdup_printf("{\"accepted\":%" G_GUINT64_FORMAT
			       ",\"open\":%" G_GUINT64_FORMAT
			       ",\"dropped\":%" G_GUINT64_FORMAT
			       ",\"held\":%" G_GUINT64_FORMAT "}\n",
	    accepted, open, dropped, held_bytes);
}

static void
on_control(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	uint16_t listen =
	    (uint16_t)strtoul(param(query, "pair", "0"), NULL, 10);
	bool ok = true;
	char *text;
	guint i;

	(void)server;
	(void)path;
	(void)data;
	if (strcmp(soup_server_message_get_method(msg), "POST") == 0) {
		for (i = 0; i < pairs->len; i++) {
			struct pair *pair = pairs->pdata[i];

			if (listen == 0 || pair->listen == listen)
				ok = set_rule(pair, query) && ok;
		}
	}
	text = counters_json(listen);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_TAKE, text, strlen(text));
	soup_server_message_set_status(msg, ok ? 200 : 400, NULL);
}

static void
add_pair(const char *arg)
{
	struct pair *pair = g_new0(struct pair, 1);
	GSocketService *service = g_socket_service_new();
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address;
	GError *error = NULL;
	char *end;

	pair->listen = (uint16_t)strtoul(arg, &end, 10);
	pair->target = *end == '=' ? (uint16_t)strtoul(end + 1, NULL, 10) : 0;
	pair->rules = g_ptr_array_new_with_free_func(rule_free);
	pair->links = g_ptr_array_new();
	g_ptr_array_add(pairs, pair);
	address = g_inet_socket_address_new(loopback, pair->listen);
	if (pair->target == 0 ||
	    !g_socket_listener_add_address(G_SOCKET_LISTENER(service), address,
		G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
		&error)) {
		fprintf(stderr, "fault_proxy: %s: %s\n", arg,
		    error != NULL ? error->message : "expected LISTEN=TARGET");
		exit(1);
	}
	g_object_unref(address);
	g_object_unref(loopback);
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), pair);
	g_socket_service_start(service);
}

int
main(int argc, char *argv[])
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GError *error = NULL;
	int i;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 3) {
		fprintf(
		    stderr, "usage: fault_proxy CONTROL LISTEN=TARGET...\n");
		return 2;
	}
	pairs = g_ptr_array_new();
	for (i = 2; i < argc; i++)
		add_pair(argv[i]);
	soup_server_add_handler(server, NULL, on_control, NULL, NULL);
	if (!soup_server_listen_local(server, strtoul(argv[1], NULL, 10),
		SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		fprintf(stderr, "fault_proxy: control: %s\n", error->message);
		return 1;
	}
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
