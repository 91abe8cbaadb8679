#include <math.h>
#include <string.h>
#include <sys/types.h>

#include "process/clock.h"
#include "sim/loop.h"

/* Start of the clocks of machines; values of 0 mean "never" in the product. */
#define BOOT_MS 1000000
#define WALL_MS INT64_C(1700000000000)

struct slp_proc {
	struct slp_clock clock;
	bool paused; /* until the held events have run */
	bool dead;
	enum slp_order order; /* of the held events */
	GPtrArray *held;      /* struct event that became due during a pause */
};

struct event {
	int64_t at_ms;
	uint64_t order;
	struct slp_proc *proc;
	slp_fn fn;
	void *data;
	slp_fn free_data;
	guint timer_id; /* 0: not a timer of GLib's interface */
	GSourceFunc source;
	guint interval_ms;
	bool repeats;
	bool cancelled;
};

static struct {
	GPtrArray *heap; /* struct event, the next one first */
	GPtrArray *procs;
	GHashTable *timers; /* id to struct event */
	struct slp_proc *current;
	int64_t now_ms;
	uint64_t next_order;
	uint64_t n_events;
	guint next_timer;
} loop;

static bool
is_before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
swap(GPtrArray *heap, guint i, guint j)
{
	gpointer held = heap->pdata[i];

	heap->pdata[i] = heap->pdata[j];
	heap->pdata[j] = held;
}

static void
push(struct event *event)
{
	GPtrArray *heap = loop.heap;
	guint i = heap->len;

	event->order = loop.next_order++;
	g_ptr_array_add(heap, event);
	while (i > 0 && is_before(heap->pdata[i], heap->pdata[(i - 1) / 2])) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event *
pop(void)
{
	GPtrArray *heap = loop.heap;
	struct event *first = heap->pdata[0];
	guint i = 0, child;

	swap(heap, 0, heap->len - 1);
	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	for (child = 1; child < heap->len; child = 2 * i + 1) {
		if (child + 1 < heap->len &&
		    is_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!is_before(heap->pdata[child], heap->pdata[i]))
			break;
		swap(heap, i, child);
		i = child;
	}
	return first;
}

static void
event_free(struct event *event)
{
	if (event->timer_id != 0)
		g_hash_table_remove(
		    loop.timers, GUINT_TO_POINTER(event->timer_id));
	if (event->free_data != NULL)
		event->free_data(event->data);
	g_free(event);
}

static void
drop_all(GPtrArray *events)
{
	while (events->len > 0)
		event_free(
		    g_ptr_array_steal_index_fast(events, events->len - 1));
}

static void
proc_free(gpointer data)
{
	struct slp_proc *proc = data;

	drop_all(proc->held);
	g_ptr_array_unref(proc->held);
	g_free(proc);
}

void
slp_reset(void)
{
	if (loop.heap == NULL) {
		loop.heap = g_ptr_array_new();
		loop.procs = g_ptr_array_new_with_free_func(proc_free);
		loop.timers = g_hash_table_new(NULL, NULL);
	}
	drop_all(loop.heap);
	g_ptr_array_set_size(loop.procs, 0);
	loop.current = NULL;
	loop.now_ms = 0;
	loop.next_order = 0;
	loop.n_events = 0;
	loop.next_timer = 0;
}

int64_t
slp_now_ms(void)
{
	return loop.now_ms;
}

uint64_t
slp_n_events(void)
{
	return loop.n_events;
}

struct slp_proc *
slp_proc_new(const struct slp_clock *clock)
{
	struct slp_proc *proc = g_new0(struct slp_proc, 1);

	proc->clock = *clock;
	proc->held = g_ptr_array_new();
	g_ptr_array_add(loop.procs, proc);
	return proc;
}

/* Its events are dropped when they become due. */
void
slp_kill(struct slp_proc *proc)
{
	proc->dead = true;
	drop_all(proc->held);
}

void
slp_pause(struct slp_proc *proc)
{
	proc->paused = true;
}

struct slp_proc *
slp_current(void)
{
	return loop.current;
}

struct slp_proc *
slp_enter(struct slp_proc *proc)
{
	struct slp_proc *former = loop.current;

	loop.current = proc;
	return former;
}

static struct event *
add_event(struct slp_proc *proc, int64_t at_ms)
{
	struct event *event = g_new0(struct event, 1);

	event->proc = proc;
	event->at_ms = MAX(at_ms, loop.now_ms);
	push(event);
	return event;
}

void
slp_at(struct slp_proc *proc, int64_t at_ms, slp_fn fn, void *data,
    slp_fn free_data)
{
	struct event *event = add_event(proc, at_ms);

	event->fn = fn;
	event->data = data;
	event->free_data = free_data;
}

/*
 * Virtual time in which the process's clock advances by an interval.  GLib's
 * timers never end early, so it is rounded up.
 */
static int64_t
virtual_ms(const struct slp_proc *proc, guint interval_ms)
{
	if (proc == NULL)
		return interval_ms;
	return (int64_t)ceil(interval_ms / proc->clock.rate);
}

static void
run_event(struct event *event)
{
	struct slp_proc *former = slp_enter(event->proc);
	bool again = false;

	loop.n_events++;
	if (event->source != NULL)
		again = event->source(event->data) && event->repeats;
	else
		event->fn(event->data);
	slp_enter(former);
	if (again && !event->cancelled) {
		event->at_ms =
		    loop.now_ms + virtual_ms(event->proc, event->interval_ms);
		push(event);
		return;
	}
	event_free(event);
}

static int
compare_held(gconstpointer a, gconstpointer b)
{
	const struct event *left = *(struct event *const *)a;
	const struct event *right = *(struct event *const *)b;
	enum slp_order order = left->proc->order;
	bool left_is_timer = left->timer_id != 0;

	if (order != SLP_BY_TIME && left_is_timer != (right->timer_id != 0))
		return left_is_timer == (order == SLP_TIMERS_FIRST) ? -1 : 1;
	return is_before(left, right) ? -1 : 1;
}

/* Input that arrives now comes after earlier input, which was held. */
static void
on_resumed(void *data)
{
	struct slp_proc *proc = data;
	guint i;

	proc->paused = false;
	g_ptr_array_sort(proc->held, compare_held);
	for (i = 0; i < proc->held->len; i++) {
		struct event *event = proc->held->pdata[i];

		if (event->cancelled)
			event_free(event);
		else
			run_event(event);
	}
	g_ptr_array_set_size(proc->held, 0);
}

void
slp_resume(struct slp_proc *proc, enum slp_order order)
{
	proc->order = order;
	slp_at(NULL, loop.now_ms, on_resumed, proc, NULL);
}

static void
take_event(struct event *event)
{
	loop.now_ms = event->at_ms;
	if (event->cancelled || (event->proc != NULL && event->proc->dead))
		event_free(event);
	else if (event->proc != NULL && event->proc->paused)
		g_ptr_array_add(event->proc->held, event);
	else
		run_event(event);
}

void
slp_run(int64_t until_ms, bool (*go_on)(void *ctx), void *ctx)
{
	while (loop.heap->len > 0 && go_on(ctx)) {
		const struct event *next = loop.heap->pdata[0];

		if (next->at_ms > until_ms)
			break;
		take_event(pop());
	}
}

/* These replace the library's clock. */

int64_t
clk_now_ms(void)
{
	const struct slp_proc *proc = loop.current;

	if (proc == NULL)
		return BOOT_MS + loop.now_ms;
	return BOOT_MS + proc->clock.offset_ms +
	       (int64_t)((double)loop.now_ms * proc->clock.rate);
}

int64_t
clk_now_ns(void)
{
	return clk_now_ms() * 1000000;
}

int64_t
clk_wall_ms(void)
{
	return WALL_MS + clk_now_ms();
}

/* These replace functions of GLib and libc, by --wrap. */

guint __wrap_g_timeout_add(guint interval, GSourceFunc fn, gpointer data);
guint __wrap_g_idle_add(GSourceFunc fn, gpointer data);
guint __wrap_g_idle_add_full(
    gint priority, GSourceFunc fn, gpointer data, GDestroyNotify notify);
gboolean __wrap_g_source_remove(guint id);
ssize_t __wrap_getrandom(void *to, size_t len, unsigned int flags);

guint
__wrap_g_timeout_add(guint interval, GSourceFunc fn, gpointer data)
{
	struct event *event = add_event(
	    loop.current, loop.now_ms + virtual_ms(loop.current, interval));

	event->source = fn;
	event->data = data;
	event->interval_ms = interval;
	event->repeats = true;
	event->timer_id = ++loop.next_timer;
	g_hash_table_insert(
	    loop.timers, GUINT_TO_POINTER(event->timer_id), event);
	return event->timer_id;
}

guint
__wrap_g_idle_add(GSourceFunc fn, gpointer data)
{
	return __wrap_g_timeout_add(0, fn, data);
}

guint
__wrap_g_idle_add_full(
    gint priority, GSourceFunc fn, gpointer data, GDestroyNotify notify)
{
	(void)priority;
	(void)notify;
	return __wrap_g_timeout_add(0, fn, data);
}

gboolean
__wrap_g_source_remove(guint id)
{
	struct event *event =
	    g_hash_table_lookup(loop.timers, GUINT_TO_POINTER(id));

	if (event == NULL)
		return FALSE;
	event->cancelled = true;
	return TRUE;
}

/* Values from GLib's generator, which is seeded for each run. */
ssize_t
__wrap_getrandom(void *to, size_t len, unsigned int flags)
{
	size_t i;

	(void)flags;
	for (i = 0; i < len; i++)
		((uint8_t *)to)[i] = (uint8_t)g_random_int_range(0, 256);
	return (ssize_t)len;
}
