#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
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

void
evt_write(const char *event, const char *fields, ...)
{
	char line[EVENT_MAX_BYTES];
	int64_t now_ms = clk_now_ms();
	struct event_rate *rate;
	va_list ap;
	int n, fields_len;

	if (!log_state.open)
		return;
	rate = current_rate(event, now_ms);
	if (rate->lines >= log_state.opts.lines_per_s) {
		rate->n_suppressed++;
		log_state.suppressed++;
		return;
	}
	rate->lines++;
	n = snprintf(line, sizeof(line),
	    "{\"ms\":%" G_GINT64_FORMAT ",\"role\":\"%s\",\"node\":\"%s\","
	    "\"event\":\"%s\",\"left_out\":%" G_GUINT64_FORMAT ",",
	    clk_wall_ms(), log_state.opts.role, log_state.node, event,
	    rate->n_suppressed);
	rate->n_suppressed = 0;
	va_start(ap, fields);
	fields_len = vsnprintf(line + n, sizeof(line) - (size_t)n, fields, ap);
	va_end(ap);
	n += fields_len;
	if (fields_len < 0 || n + 3 > (int)sizeof(line)) {
		log_state.dropped++;
		return;
	}
	line[n++] = '}';
	line[n++] = '\n';
	write_line(line, (size_t)n);
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
