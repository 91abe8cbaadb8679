#include <check.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "oddheartbeat.h"
#include "soak.h"

#define N_NARROW_FAULTS	   15
#define N_WIDE_FAULTS	   16
#define N_LATE_FAULTS	   24
#define N_ROOM_FAULTS	   27
#define LATE_FAULT_ONE_IN  2
#define ROOM_FAULT_ONE_IN  4
#define POWER_FAULT_ONE_IN 3
#define SMALL_MILLI	   1000
#define LATE_STOP_STEP_MS  500
/* Faults whose effect takes longer than a session last this much longer. */
#define LONG_FAULT_FACTOR    3
#define DELAY_GROWTH_DIVISOR 2 /* a delay grows by 1 ms in this many ms */

/* Processes are numbered from 0, entries before agents. */
static struct hn_proc *
process(struct soak *soak, int i)
{
	return i < DPL_ENTRIES ? soak->dpl.entry[i]
			       : soak->dpl.agent[i - DPL_ENTRIES];
}

static void
continue_process(struct soak *soak, int target)
{
	hn_signal(process(soak, target), SIGCONT);
	soak->unavailable[target] = false;
}

static bool
pause_process(struct soak *soak, int target)
{
	if (soak->unavailable[target])
		return false;
	soak->unavailable[target] = true;
	hn_signal(process(soak, target), SIGSTOP);
	return true;
}

static void
restart_process(struct soak *soak, int target)
{
	hn_restart(process(soak, target));
	soak->unavailable[target] = false;
}

static bool
kill_process(struct soak *soak, int target)
{
	if (soak->unavailable[target])
		return false;
	soak->unavailable[target] = true;
	hn_kill(process(soak, target));
	return true;
}

static void
restart_terminated(struct soak *soak, int target)
{
	ck_assert_int_eq(hn_wait_exit(process(soak, target), HN_LIMIT_MS), 0);
	restart_process(soak, target);
}

static bool
terminate_process(struct soak *soak, int target)
{
	if (soak->unavailable[target])
		return false;
	soak->unavailable[target] = true;
	hn_signal(process(soak, target), SIGTERM);
	return true;
}

static void
restore_power(struct soak *soak, int target)
{
	int i;

	(void)target;
	for (i = 0; i < DPL_ENTRIES + DPL_AGENTS; i++) {
		if (soak->without_power[i])
			restart_process(soak, i);
		soak->without_power[i] = false;
	}
}

/* All entries and agents end at once. */
static bool
lose_power(struct soak *soak, int target)
{
	bool any = false;
	int i;

	(void)target;
	for (i = 0; i < DPL_ENTRIES + DPL_AGENTS; i++) {
		if (kill_process(soak, i))
			any = soak->without_power[i] = true;
	}
	return any;
}

static bool
reload_settings(struct soak *soak, int target)
{
	if (!soak->unavailable[target])
		hn_signal(process(soak, target), SIGHUP);
	return true;
}

void
soak_set_mode(struct soak *soak, const char *mode, int value)
{
	dpl_control(&soak->dpl, "GET", hn_str("mode?%s=%d", mode, value), NULL);
}

static void
restore_store(struct soak *soak, int target)
{
	(void)target;
	dpl_control(&soak->dpl, "GET", "mode?store=up", NULL);
}

static bool
stop_store(struct soak *soak, int target)
{
	(void)target;
	dpl_control(&soak->dpl, "GET", "mode?store=down", NULL);
	return true;
}

static void
clear_call_delay(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "late", 0);
}

static bool
delay_worker_calls(struct soak *soak, int target)
{
	soak_set_mode(soak, "late", 5 + target * 5);
	return true;
}

static void
clear_worker_failure(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "fail", -1);
}

static bool
set_worker_failure(struct soak *soak, int target)
{
	soak_set_mode(soak, "fail", target % DPL_AGENTS);
	return true;
}

static void
clear_worker_stall(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "stall", -1);
}

static bool
set_worker_stall(struct soak *soak, int target)
{
	soak_set_mode(soak, "stall", target % DPL_AGENTS);
	return true;
}

static void
clear_worker_silence(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "mute", -1);
}

static bool
set_worker_silence(struct soak *soak, int target)
{
	soak_set_mode(soak, "mute", target % DPL_AGENTS);
	return true;
}

static bool
crash_worker(struct soak *soak, int target)
{
	soak_set_mode(soak, "crash", target % DPL_AGENTS);
	return true;
}

static bool
configure(struct soak *soak, int target)
{
	soak->version += 1 + target;
	dpl_configure(&soak->dpl, soak->version, "/q/");
	return true;
}

static void
restore_domain(struct soak *soak, int target)
{
	dpl_control(&soak->dpl, "DELETE",
	    hn_str("key?key=op/evacuate/z%d", target % DPL_AGENTS), NULL);
}

static bool
take_domain_out(struct soak *soak, int target)
{
	dpl_control(&soak->dpl, "PUT",
	    hn_str("key?key=op/evacuate/z%d", target % DPL_AGENTS), "{}");
	return true;
}

/* A target number maps to a path and to an entry or agent on it. */
static enum dpl_path
path_of(int target)
{
	return (enum dpl_path)(target % DPL_N_PATHS);
}

static int
path_index(int target)
{
	return path_of(target) == DPL_CLIENTS_ENTRY ||
		       path_of(target) == DPL_ENTRY_STORE
		   ? target % DPL_ENTRIES
		   : target % DPL_AGENTS;
}

static void
restore_path(struct soak *soak, int target)
{
	dpl_set_fault(
	    &soak->dpl, path_of(target), path_index(target), "", "restore", 0);
	dpl_set_fault(
	    &soak->dpl, path_of(target), path_index(target), "", "release", 0);
}

static bool
cut_path(struct soak *soak, int target)
{
	dpl_set_fault(
	    &soak->dpl, path_of(target), path_index(target), "", "cut", 0);
	return true;
}

static bool
delay_path(struct soak *soak, int target)
{
	dpl_set_fault(&soak->dpl, path_of(target), path_index(target), "",
	    "delay", 20 * (1 + target));
	return true;
}

static bool
freeze_path(struct soak *soak, int target)
{
	static const char *const directions[] = {"both", "up", "down"};

	dpl_set_fault(&soak->dpl, path_of(target), path_index(target),
	    directions[target % 3], "freeze", 0);
	return true;
}

static void
restore_capacity(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "capacity", 8000);
}

static bool
change_capacity(struct soak *soak, int target)
{
	soak_set_mode(soak, "capacity", 1000 + 1500 * target);
	return true;
}

/* The callers of the entry's jobs leave, and send these again later. */
static bool
leave_jobs(struct soak *soak, int target)
{
	const struct soak_job *job;

	for (job = soak->open_jobs; job != NULL; job = job->next) {
		if (job->resend_at_ms == 0 &&
		    job->entry == target % DPL_ENTRIES)
			hn_http_cancel(job->http);
	}
	return true;
}

/* Cancels the oldest job that has an open call, at another entry. */
static bool
cancel_elsewhere(struct soak *soak, int target)
{
	struct soak_job *job, *oldest = NULL;

	(void)target;
	for (job = soak->open_jobs; job != NULL; job = job->next) {
		if (job->resend_at_ms == 0 && !job->cancelled)
			oldest = job;
	}
	if (oldest == NULL)
		return false;
	oldest->cancelled = true;
	oldest->cancel = hn_http_start("DELETE",
	    dpl_url(&soak->dpl, (oldest->entry + 1) % DPL_ENTRIES,
		hn_str("/q/%s", oldest->id)),
	    NULL, NULL);
	return true;
}

static void
send_deregistration(struct soak *soak, int target)
{
	int i = target % DPL_AGENTS;

	hn_http_start("DELETE",
	    hn_str("http://127.0.0.1:%u" OHB_INSTANCES_PATH "w%d",
		soak->dpl.control_port[i], i),
	    NULL, NULL);
}

static bool
send_odd_heartbeat(struct soak *soak, int target)
{
	int row = g_rand_int_range(soak->rand, 0, ohb_n_rows);

	ohb_send(&soak->dpl, target % DPL_AGENTS, &ohb_rows[row]);
	return true;
}

static void
restore_stops(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "late_stops", 0);
}

static bool
delay_stops(struct soak *soak, int target)
{
	soak_set_mode(soak, "late_stops", LATE_STOP_STEP_MS * (2 + target));
	return true;
}

static void
continue_entry(struct soak *soak, int target)
{
	continue_process(soak, target % DPL_ENTRIES);
	restore_stops(soak, target);
}

/* The callers leave an entry that can't notice it, and stops come late. */
static bool
pause_entry_and_delay_stops(struct soak *soak, int target)
{
	if (!pause_process(soak, target % DPL_ENTRIES))
		return false;
	leave_jobs(soak, target);
	return delay_stops(soak, target);
}

static void
restore_entry_links(struct soak *soak, int target)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++)
		dpl_set_fault(
		    &soak->dpl, DPL_ENTRIES_AGENT, i, "", "restore", 0);
	dpl_set_entry_fault(
	    &soak->dpl, target % DPL_ENTRIES, "both", "release");
	restore_stops(soak, target);
}

static bool
freeze_entry_links(struct soak *soak, int target)
{
	static const char *const directions[] = {"up", "down"};

	dpl_set_entry_fault(&soak->dpl, target % DPL_ENTRIES,
	    directions[target / DPL_ENTRIES % 2], "freeze");
	leave_jobs(soak, target);
	return delay_stops(soak, target);
}

static void
restore_agent_links(struct soak *soak, int target)
{
	dpl_set_fault(&soak->dpl, DPL_ENTRIES_AGENT, target % DPL_AGENTS, "",
	    "restore", 0);
}

/* Without a gap that is long enough to end the sessions. */
static void
grow_delay(struct soak *soak, int target, int64_t elapsed_ms)
{
	dpl_set_fault(&soak->dpl, DPL_ENTRIES_AGENT, target % DPL_AGENTS, "up",
	    "delay", (int)(elapsed_ms / DELAY_GROWTH_DIVISOR));
}

static bool
begin_growing_delay(struct soak *soak, int target)
{
	grow_delay(soak, target, 0);
	return true;
}

/* Lasts until the next change, so that starts beyond it come to count. */
static bool
shrink_for_good(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "capacity", SMALL_MILLI);
	return true;
}

static void
restore_heartbeats(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "beats", 1);
}

static bool
stop_heartbeats(struct soak *soak, int target)
{
	(void)target;
	soak_set_mode(soak, "beats", 0);
	return true;
}

/* An agent comes back as the store does, before its worker's heartbeat. */
static void
restart_agent_with_store(struct soak *soak, int target)
{
	int agent = DPL_ENTRIES + target % DPL_AGENTS;

	soak_set_mode(soak, "beats", 0);
	if (kill_process(soak, agent)) {
		restore_store(soak, target);
		restart_process(soak, agent);
	}
	restore_store(soak, target);
}

static bool
shrink_during_outage(struct soak *soak, int target)
{
	stop_store(soak, target);
	return shrink_for_good(soak, target);
}

/*
 * begin() returns false when the fault cannot be injected into the target.
 * end() is NULL for faults without a duration; grow() runs while one lasts.
 */
static const struct {
	const char *name;
	bool (*begin)(struct soak *soak, int target);
	void (*end)(struct soak *soak, int target);
	void (*grow)(struct soak *soak, int target, int64_t elapsed_ms);
	bool is_long;
} fault_kinds[] = {
    {"process paused", pause_process, continue_process, NULL, false},
    {"process killed", kill_process, restart_process, NULL, false},
    {"process terminated", terminate_process, restart_terminated, NULL, false},
    {"reload", reload_settings, NULL, NULL, false},
    {"store down", stop_store, restore_store, NULL, false},
    {"worker calls delayed", delay_worker_calls, clear_call_delay, NULL, false},
    {"worker fails", set_worker_failure, clear_worker_failure, NULL, false},
    {"worker stalls", set_worker_stall, clear_worker_stall, NULL, false},
    {"worker silent", set_worker_silence, clear_worker_silence, NULL, false},
    {"worker crashes", crash_worker, NULL, NULL, false},
    {"new configuration", configure, NULL, NULL, false},
    {"domain out", take_domain_out, restore_domain, NULL, false},
    {"connections cut", cut_path, restore_path, NULL, false},
    {"path delayed", delay_path, restore_path, NULL, false},
    {"path frozen", freeze_path, restore_path, NULL, false},
    {"capacity changed", change_capacity, restore_capacity, NULL, false},
    {"callers leave", leave_jobs, NULL, NULL, false},
    {"cancel elsewhere", cancel_elsewhere, NULL, NULL, false},
    {"late deregistration", crash_worker, send_deregistration, NULL, false},
    {"odd heartbeat", send_odd_heartbeat, NULL, NULL, false},
    {"stops late", delay_stops, restore_stops, NULL, true},
    {"entry paused, stops late", pause_entry_and_delay_stops, continue_entry,
	NULL, true},
    {"entry's links frozen one way, stops late", freeze_entry_links,
	restore_entry_links, NULL, true},
    {"starts held up", begin_growing_delay, restore_agent_links, grow_delay,
	true},
    {"capacity changed for good", shrink_for_good, NULL, NULL, false},
    {"no heartbeats", stop_heartbeats, restore_heartbeats, NULL, true},
    {"capacity changed during an outage", shrink_during_outage,
	restart_agent_with_store, NULL, true},
    {"all lose power", lose_power, restore_power, NULL, false},
    /* Twice, so that cancels come more often than losses of power. */
    {"cancel", cancel_elsewhere, NULL, NULL, false},
    {"another cancel", cancel_elsewhere, NULL, NULL, false},
};

static size_t
choose_fault_kind(struct soak *soak)
{
	int n_others = soak->wide ? N_WIDE_FAULTS : N_NARROW_FAULTS;

	if (soak->power &&
	    g_rand_int_range(soak->rand, 0, POWER_FAULT_ONE_IN) == 0)
		return (size_t)g_rand_int_range(
		    soak->rand, N_ROOM_FAULTS, (int)G_N_ELEMENTS(fault_kinds));
	if (soak->rooms &&
	    g_rand_int_range(soak->rand, 0, ROOM_FAULT_ONE_IN) == 0)
		return (size_t)g_rand_int_range(
		    soak->rand, N_LATE_FAULTS, N_ROOM_FAULTS);
	if (soak->late &&
	    g_rand_int_range(soak->rand, 0, LATE_FAULT_ONE_IN) == 0)
		return (size_t)g_rand_int_range(
		    soak->rand, N_WIDE_FAULTS, N_LATE_FAULTS);
	return (size_t)g_rand_int_range(soak->rand, 0, n_others);
}

void
soak_begin_fault(struct soak *soak)
{
	size_t kind = choose_fault_kind(soak);
	int target = g_rand_int_range(soak->rand, 0, DPL_ENTRIES + DPL_AGENTS);
	int64_t lasts_ms =
	    g_rand_int_range(soak->rand, SOAK_FAULT_MIN_MS, SOAK_FAULT_MAX_MS);

	if (fault_kinds[kind].is_long)
		lasts_ms *= LONG_FAULT_FACTOR;
	if (!fault_kinds[kind].begin(soak, target))
		return;
	printf("%8" PRId64 " ms %s, target %d, for %" PRId64 " ms\n",
	    hn_now_ms() - soak->start_ms, fault_kinds[kind].name, target,
	    lasts_ms);
	fflush(stdout); /* a failed check ends this process */
	if (fault_kinds[kind].end == NULL)
		return;
	ck_assert_int_lt(soak->n_faults, SOAK_MAX_FAULTS);
	soak->faults[soak->n_faults++] =
	    (struct soak_fault){.end = fault_kinds[kind].end,
		.grow = fault_kinds[kind].grow,
		.target = target,
		.begin_ms = hn_now_ms(),
		.end_ms = hn_now_ms() + lasts_ms};
}

void
soak_grow_faults(struct soak *soak)
{
	int i;

	for (i = 0; i < soak->n_faults; i++) {
		const struct soak_fault *fault = &soak->faults[i];

		if (fault->grow != NULL)
			fault->grow(
			    soak, fault->target, hn_now_ms() - fault->begin_ms);
	}
}

void
soak_end_faults(struct soak *soak, bool all)
{
	int i = 0;

	while (i < soak->n_faults) {
		struct soak_fault fault = soak->faults[i];

		if (!all && hn_now_ms() < fault.end_ms) {
			i++;
			continue;
		}
		soak->faults[i] = soak->faults[--soak->n_faults];
		fault.end(soak, fault.target);
	}
}
