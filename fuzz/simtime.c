#include <glib.h>

#include "fuzz/check.h"
#include "fuzz/simtime.h"
#include "process/clock.h"

#define MAX_TIMERS 16

struct timer {
	guint id; /* 0: unused */
	int64_t due_ms;
	int64_t interval_ms;
	GSourceFunc fn;
	gpointer data;
};

static struct timer timers[MAX_TIMERS];
static guint last_id;
static int64_t now_ms;

int64_t
clk_now_ms(void)
{
	return now_ms;
}

int64_t
clk_now_ns(void)
{
	return now_ms * 1000000;
}

int64_t
clk_wall_ms(void)
{
	return now_ms;
}

/* These replace functions of GLib, by --wrap. */

guint __wrap_g_timeout_add(guint interval, GSourceFunc fn, gpointer data);
gboolean __wrap_g_source_remove(guint id);

static struct timer *
find_timer(guint id)
{
	size_t i;

	for (i = 0; i < MAX_TIMERS; i++) {
		if (timers[i].id == id)
			return &timers[i];
	}
	return NULL;
}

guint
__wrap_g_timeout_add(guint interval, GSourceFunc fn, gpointer data)
{
	struct timer *timer = find_timer(0);

	fz_check(timer != NULL);
	*timer = (struct timer){
	    .id = ++last_id,
	    .due_ms = now_ms + interval,
	    .interval_ms = interval,
	    .fn = fn,
	    .data = data,
	};
	return timer->id;
}

gboolean
__wrap_g_source_remove(guint id)
{
	struct timer *timer = find_timer(id);

	fz_check(id != 0 && timer != NULL);
	timer->id = 0;
	return TRUE;
}

/* Of timers that are due at one time, the one that was added first. */
static struct timer *
next_timer(void)
{
	struct timer *next = NULL;
	size_t i;

	for (i = 0; i < MAX_TIMERS; i++) {
		if (timers[i].id == 0)
			continue;
		if (next == NULL || timers[i].due_ms < next->due_ms ||
		    (timers[i].due_ms == next->due_ms &&
			timers[i].id < next->id))
			next = &timers[i];
	}
	return next;
}

static void
run_timer(struct timer *timer)
{
	guint id = timer->id;

	now_ms = MAX(now_ms, timer->due_ms);
	timer->due_ms = now_ms + timer->interval_ms;
	if (timer->fn(timer->data) == G_SOURCE_REMOVE && timer->id == id)
		timer->id = 0;
}

void
sim_reset(int64_t start_ms)
{
	size_t i;

	for (i = 0; i < MAX_TIMERS; i++)
		timers[i].id = 0;
	last_id = 0;
	now_ms = start_ms;
}

void
sim_advance(int64_t ms)
{
	int64_t end_ms = now_ms + ms;
	struct timer *timer = next_timer();

	while (timer != NULL && timer->due_ms <= end_ms) {
		run_timer(timer);
		timer = next_timer();
	}
	now_ms = MAX(now_ms, end_ms);
}

void
sim_skip(int64_t ms)
{
	now_ms += ms;
}

bool
sim_run_next(void)
{
	struct timer *timer = next_timer();

	if (timer == NULL)
		return false;
	run_timer(timer);
	return true;
}

bool
sim_has_timer(void)
{
	return next_timer() != NULL;
}
