#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "connection/sockwatch.h"

/* Sockets served at one wakeup; then the loop's other sources have a turn. */
#define MAX_EVENTS 64

struct skw {
	struct skw_options opts;
	bool waits_writable;
};

struct set {
	GSource source;
	gpointer tag;
	int epoll_fd;
	guint n_watches;
	/* The events that are being served, if any. */
	struct epoll_event *events;
	int n_events;
};

static struct set *set; /* NULL while there is no watch */

static gboolean
check(GSource *source)
{
	struct set *s = (struct set *)source;

	return g_source_query_unix_fd(source, s->tag) != 0;
}

static void
serve(struct skw *skw, uint32_t events)
{
	struct skw_options opts = skw->opts;
	bool writable =
	    skw->waits_writable && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP));

	/* The watch may be freed by either callback. */
	if (writable)
		opts.writable(opts.ctx);
	else if (events & ~(uint32_t)EPOLLOUT)
		opts.readable(opts.ctx);
}

static gboolean
dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	struct set *s = (struct set *)source;
	struct epoll_event events[MAX_EVENTS];
	int i;

	(void)fn;
	(void)data;
	s->events = events;
	s->n_events = epoll_wait(s->epoll_fd, events, MAX_EVENTS, 0);
	for (i = 0; i < s->n_events; i++) {
		if (events[i].data.ptr != NULL)
			serve(events[i].data.ptr, events[i].events);
	}
	s->events = NULL;
	s->n_events = 0;
	return G_SOURCE_CONTINUE;
}

static void
finalize(GSource *source)
{
	close(((struct set *)source)->epoll_fd);
}

static GSourceFuncs set_funcs = {
    .check = check, .dispatch = dispatch, .finalize = finalize};

static bool
open_set(void)
{
	int epoll_fd = epoll_create1(EPOLL_CLOEXEC);

	if (epoll_fd < 0)
		return false;
	set = (struct set *)g_source_new(&set_funcs, sizeof(struct set));
	set->epoll_fd = epoll_fd;
	set->tag = g_source_add_unix_fd(&set->source, epoll_fd, G_IO_IN);
	g_source_attach(&set->source, g_main_context_get_thread_default());
	return true;
}

static void
close_set_if_empty(void)
{
	if (set->n_watches > 0)
		return;
	g_source_destroy(&set->source);
	g_source_unref(&set->source);
	set = NULL;
}

static int
control(struct skw *skw, int operation)
{
	struct epoll_event event = {
	    .events = EPOLLIN | (skw->waits_writable ? EPOLLOUT : 0),
	    .data.ptr = skw,
	};

	return epoll_ctl(set->epoll_fd, operation, skw->opts.fd, &event);
}

struct skw *
skw_new(const struct skw_options *opts)
{
	struct skw *skw;

	if (set == NULL && !open_set())
		return NULL;
	skw = g_new0(struct skw, 1);
	skw->opts = *opts;
	if (control(skw, EPOLL_CTL_ADD) != 0) {
		g_free(skw);
		close_set_if_empty();
		return NULL;
	}
	set->n_watches++;
	return skw;
}

/* Events of the watch that are still to be served would call freed memory. */
static void
forget_events(const struct skw *skw)
{
	int i;

	for (i = 0; i < set->n_events; i++) {
		if (set->events[i].data.ptr == skw)
			set->events[i].data.ptr = NULL;
	}
}

void
skw_free(struct skw *skw)
{
	if (skw == NULL)
		return;
	control(skw, EPOLL_CTL_DEL);
	forget_events(skw);
	g_free(skw);
	set->n_watches--;
	close_set_if_empty();
}

void
skw_wait_writable(struct skw *skw, bool wait)
{
	if (skw->waits_writable == wait)
		return;
	skw->waits_writable = wait;
	control(skw, EPOLL_CTL_MOD);
}
