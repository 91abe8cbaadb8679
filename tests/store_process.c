#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>

#include "store_process.h"

struct store_process {
	GSubprocess *process;
	char *url;
	char *control;
	SoupSession *session;
};

/* Starts the stand-in of the build directory on free ports. */
struct store_process *
store_process_start(void)
{
	struct store_process *sp = g_new0(struct store_process, 1);
	const char *build = g_getenv("BUILD_DIR");
	char *path = g_strdup_printf(
	    "%s/standin_store", build != NULL ? build : "build");
	GDataInputStream *out;
	unsigned port = 0, control = 0;
	char *line;

	sp->process =
	    g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, path, NULL);
	if (sp->process == NULL)
		g_error("cannot start %s", path);
	g_free(path);
	out =
	    g_data_input_stream_new(g_subprocess_get_stdout_pipe(sp->process));
	line = g_data_input_stream_read_line(out, NULL, NULL, NULL);
	if (line == NULL ||
	    sscanf(line, "port %u control %u", &port, &control) != 2)
		g_error("standin_store printed no ports");
	g_free(line);
	g_object_unref(out);
	sp->url = g_strdup_printf("http://127.0.0.1:%u", port);
	sp->control = g_strdup_printf("http://127.0.0.1:%u/control/", control);
	sp->session = soup_session_new();
	return sp;
}

void
store_process_stop(struct store_process *sp)
{
	g_subprocess_force_exit(sp->process);
	g_subprocess_wait(sp->process, NULL, NULL);
	g_object_unref(sp->process);
	g_object_unref(sp->session);
	g_free(sp->url);
	g_free(sp->control);
	g_free(sp);
}

const char *
store_process_url(const struct store_process *sp)
{
	return sp->url;
}

void
store_process_control(struct store_process *sp, const char *request)
{
	char *uri = g_strconcat(sp->control, request, NULL);
	SoupMessage *msg = soup_message_new(SOUP_METHOD_POST, uri);
	GBytes *body;

	body = soup_session_send_and_read(sp->session, msg, NULL, NULL);
	if (body == NULL || soup_message_get_status(msg) != 200)
		g_error("control request %s failed", uri);
	g_bytes_unref(body);
	g_object_unref(msg);
	g_free(uri);
}

static gboolean
on_tick(gpointer ctx)
{
	(void)ctx;
	return G_SOURCE_CONTINUE;
}

bool
run_until(condition_fn fn, void *ctx, int timeout_ms)
{
	gint64 end =
	    g_get_monotonic_time() + timeout_ms * G_GINT64_CONSTANT(1000);
	guint tick = g_timeout_add(5, on_tick, NULL);
	bool met;

	while (!(met = fn(ctx)) && g_get_monotonic_time() < end)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(tick);
	return met;
}

static bool
never(void *ctx)
{
	(void)ctx;
	return false;
}

void
run_for(int ms)
{
	run_until(never, NULL, ms);
}
