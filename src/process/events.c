#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "process/clock.h"
#include "process/events.h"

#define EVENT_MAX_BYTES 2048
#define MS_PER_S	1000

/* Rate limit of one event type. */
struct event_rate {
	int64_t second;
	uint32_t lines;	       /* written in this second */
	uint64_t n_suppressed; /* suppressed since the last line written */
};

static struct {
	struct evt_options opts;
	char *node;
	GHashTable *rates; /* event type to struct event_rate */
	bool open;
	uint64_t suppressed;
	uint64_t dropped;
} log_state;

void
evt_open(const struct evt_options *opts)
{
	int flags = fcntl(opts->fd, F_GETFL);

	evt_close();
	if (flags >= 0)
		fcntl(opts->fd, F_SETFL, flags | O_NONBLOCK);
	log_state.opts = *opts;
	log_state.node = g_strdup(opts->node);
	log_state.rates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	log_state.suppressed = 0;
	log_state.dropped = 0;
	log_state.open = true;
}

void
evt_close(void)
{
	if (!log_state.open)
		return;
	log_state.open = false;
	g_clear_pointer(&log_state.rates, g_hash_table_unref);
	g_clear_pointer(&log_state.node, g_free);
}

static struct event_rate *
current_rate(const char *event, int64_t now_ms)
{
	struct event_rate *rate = g_hash_table_lookup(log_state.rates, event);

	if (rate == NULL) {
		rate = g_new0(struct event_rate, 1);
		g_hash_table_insert(log_state.rates, g_strdup(event), rate);
	}
	if (rate->second != now_ms / MS_PER_S) {
		rate->second = now_ms / MS_PER_S;
		rate->lines = 0;
	}
	return rate;
}

/*
 * If only a part of the line could be written, adds a line break, so that the
 * next line is valid JSON.
 */
static void
write_line(const char *line, size_t len)
{
	ssize_t n = write(log_state.opts.fd, line, len);

	if (n == (ssize_t)len)
		return;
	log_state.dropped++;
	if (n > 0 && write(log_state.opts.fd, "\n", 1) < 0)
		log_state.dropped++;
}

/* Bytes that are not UTF-8 are replaced, since JSON can't hold them. */
static struct json_object *
text_value(const char *text)
{
	g_autofree char *valid =
	    g_utf8_make_valid(text == NULL ? "" : text, -1);

	return json_object_new_string(valid);
}

static struct json_object *
value_of(const struct evt_field *field)
{
	switch (field->type) {
	case EVT_TEXT:
		return text_value(field->text);
	case EVT_INT:
		return json_object_new_int64(field->number);
	case EVT_UINT:
		return json_object_new_uint64(field->unsigned_number);
	case EVT_BOOL:
		return json_object_new_boolean(field->flag);
	}
	return NULL;
}

static struct json_object *
make_line(const char *event, uint64_t n_suppressed,
    const struct evt_field *fields, size_t n_fields)
{
	struct json_object *line = json_object_new_object();
	size_t i;

	json_object_object_add(
	    line, "ms", json_object_new_int64(clk_wall_ms()));
	json_object_object_add(line, "role", text_value(log_state.opts.role));
	json_object_object_add(line, "node", text_value(log_state.node));
	json_object_object_add(line, "event", text_value(event));
	json_object_object_add(
	    line, "left_out", json_object_new_uint64(n_suppressed));
	for (i = 0; i < n_fields; i++)
		json_object_object_add(
		    line, fields[i].name, value_of(&fields[i]));
	return line;
}

void
evt_write_fields(
    const char *event, const struct evt_field *fields, size_t n_fields)
{
	struct json_object *line;
	struct event_rate *rate;
	g_autofree char *text = NULL;
	size_t len;

	if (!log_state.open)
		return;
	rate = current_rate(event, clk_now_ms());
	if (rate->lines >= log_state.opts.lines_per_s) {
		rate->n_suppressed++;
		log_state.suppressed++;
		return;
	}
	rate->lines++;
	line = make_line(event, rate->n_suppressed, fields, n_fields);
	rate->n_suppressed = 0;
	text = g_strconcat(
	    json_object_to_json_string_ext(
		line, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE),
	    "\n", NULL);
	json_object_put(line);
	len = strlen(text);
	if (len > EVENT_MAX_BYTES)
		log_state.dropped++;
	else
		write_line(text, len);
}

uint64_t
evt_suppressed(void)
{
	return log_state.suppressed;
}

uint64_t
evt_dropped(void)
{
	return log_state.dropped;
}
