#include <glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "connection/httplisten.h"
#include "process/events.h"
#include "process/metrics.h"

struct met {
	SoupServer *server;
	struct ctr_registry *counters;
	int64_t *suppressed;
	int64_t *dropped;
};

static void
serve_metrics(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, gpointer data)
{
	struct met *met = data;
	char *text;

	(void)server;
	(void)path;
	(void)query;
	*met->suppressed = (int64_t)evt_suppressed();
	*met->dropped = (int64_t)evt_dropped();
	text = ctr_text(met->counters);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(
	    msg, "text/plain", SOUP_MEMORY_TAKE, text, strlen(text));
}

struct met *
met_new(const char *listen, struct ctr_registry *counters, struct status *st)
{
	struct met *met = g_new0(struct met, 1);

	met->counters = counters;
	met->suppressed = ctr_counter(counters, "sp_log_suppressed_total",
	    "Log lines suppressed by the limit on lines per second.");
	met->dropped = ctr_counter(counters, "sp_log_dropped_total",
	    "Log lines that could not be written.");
	met->server = soup_server_new("server-header", NULL, NULL);
	hl_limit_bodies(met->server, HL_SMALL_BODY_BYTES);
	hl_add_handler(met->server, "/metrics", serve_metrics, met);
	if (!hl_listen(met->server, listen, st)) {
		met_free(met);
		return NULL;
	}
	return met;
}

void
met_free(struct met *met)
{
	if (met == NULL)
		return;
	hl_disconnect(met->server);
	g_object_unref(met->server);
	g_free(met);
}
