#include <glib.h>

#include "process/events.h"
#include "process/runstates.h"

struct rst {
	int64_t *queued, *starting, *unanswered;
	int64_t *running, *stopping, *stopped;
	int64_t *places_taken;
	bool taken; /* all places, as last logged */
};

static int64_t *
state_gauge(struct ctr_registry *counters, const char *state)
{
	g_autofree char *name = g_strdup_printf("sp_runs{state=\"%s\"}", state);

	return ctr_gauge(counters, name,
	    "Starts in each state; all but queued ones hold capacity.");
}

struct rst *
rst_new(struct ctr_registry *counters)
{
	struct rst *rst = g_new0(struct rst, 1);

	rst->queued = state_gauge(counters, "queued");
	rst->starting = state_gauge(counters, "starting");
	rst->unanswered = state_gauge(counters, "unanswered");
	rst->running = state_gauge(counters, "running");
	rst->stopping = state_gauge(counters, "stopping");
	rst->stopped = state_gauge(counters, "stopped");
	rst->places_taken = ctr_counter(counters, "sp_places_taken_total",
	    "Times that starts came to wait since max_runs, or a session's "
	    "share of it, was reached.");
	return rst;
}

void
rst_free(struct rst *rst)
{
	g_free(rst);
}

static void
check_places(struct rst *rst, const struct led *led)
{
	bool taken = led_waits_for_place(led);

	if (taken == rst->taken)
		return;
	rst->taken = taken;
	if (taken)
		++*rst->places_taken;
	evt_write("places", evt_bool("taken", taken),
	    evt_uint("runs", led_active(led)),
	    evt_uint("queued", led_queued(led)));
}

void
rst_tick(struct rst *rst, const struct led *led)
{
	struct led_states states;

	led_count_states(led, &states);
	*rst->queued = states.queued;
	*rst->starting = states.starting;
	*rst->unanswered = states.unanswered;
	*rst->running = states.running;
	*rst->stopping = states.stopping;
	*rst->stopped = states.stopped;
	check_places(rst, led);
}
