#include <string.h>

#include "platform/config.h"
#include "process/clock.h"
#include "process/jobagent.h"
#include "process/jobentry.h"
#include "request/sched.h"
#include "sim/callers.h"
#include "sim/fleet.h"
#include "sim/loop.h"
#include "sim/net.h"
#include "sim/plan.h"
#include "sim/store.h"
#include "sim/worker.h"

/* As in deploy/entry.json.in and deploy/agent.json.in. */
#define LEASE_MS	  1000
#define DRAIN_MS	  4500
#define CROSS_RACK_FACTOR 1.5
#define AGENT_CONNECTIONS 64
/* The clocks of the machines differ by up to this. */
#define MAX_CLOCK_OFFSET_MS 100000
#define MAX_CLOCK_DRIFT	    0.001
#define MUTANT_DRIFT	    0.3
/* A process that has died is back after this, plus the length of the fault. */
#define RESTART_MS 100
/* Links delay by up to this in a fault; longer ones reset the connection. */
#define MAX_DELAY_MS   1500
#define MAX_STOP_MS    1500
#define MAX_LATE_MS    3000
#define FIRST_CALLS_MS 1000
/* A slow process pauses for up to this, and runs for up to that. */
#define MAX_SLOW_PAUSE_MS 500
#define MAX_SLOW_RUN_MS	  60
/* A worker shrinks to one, two or three of so many parts. */
#define MAX_SHRINKING	 4
#define SHRINKING_FACTOR 4

struct entry {
	uint32_t index;
	char *name;
	struct slp_clock clock;
	struct slp_proc *proc; /* NULL: dead */
	struct je *je;
	struct ks *ks;
	struct ctr_registry *counters;
	bool paused;
};

struct agent {
	uint32_t index;
	char *address;
	struct slp_clock clock;
	struct slp_proc *proc; /* NULL: dead */
	struct ja *ja;
	struct ks *ks;
	struct wp *worker;
	struct ctr_registry *counters;
	bool paused;
};

static struct {
	struct sop opts;
	struct entry *entries;
	struct agent *agents;
} fleet;

static void
ignore(void *ctx)
{
	(void)ctx;
}

/* Processes. */

static void
start_entry(void *data)
{
	struct entry *entry = data;
	struct je_options opts = {
	    .name = entry->name,
	    .failure_domain = "zone",
	    .layout = &pcfg_layout,
	    .cross_rack_factor = CROSS_RACK_FACTOR,
	    .agent_connections = AGENT_CONNECTIONS,
	    .cancelled_jobs = SOP_CANCELLED_JOBS,
	    .lease_ms = LEASE_MS,
	    .drain_ms = DRAIN_MS,
	    .configured = ignore,
	    .drained = ignore,
	};
	struct slp_proc *former;

	entry->proc = slp_proc_new(&entry->clock);
	entry->paused = false;
	snt_register(entry->proc, true, entry->index);
	entry->ks = sst_client_new(entry->proc);
	entry->counters = ctr_new();
	opts.ks = entry->ks;
	opts.counters = entry->counters;
	former = slp_enter(entry->proc);
	entry->je = je_new(&opts);
	slp_enter(former);
	scl_entry_started(entry->index, entry->proc, entry->je);
}

static void
kill_entry(struct entry *entry)
{
	struct slp_proc *former;

	if (entry->proc == NULL)
		return;
	scl_entry_died(entry->index);
	snt_close_all(entry->proc);
	former = slp_enter(entry->proc);
	sst_client_free(entry->ks);
	je_free(entry->je);
	slp_enter(former);
	slp_kill(entry->proc);
	ctr_free(entry->counters);
	entry->proc = NULL;
	entry->paused = false;
}

static void
start_agent(void *data)
{
	struct agent *agent = data;
	struct ja_options opts = {
	    .listen = agent->address,
	    .advertise = agent->address,
	    .failure_domain = "zone",
	    .layout = &pcfg_layout,
	    .lease_ms = LEASE_MS,
	    .drain_ms = DRAIN_MS,
	    .worker_heartbeat_ms = SWK_HEARTBEAT_MAX_MS,
	    .cancelled_jobs = SOP_CANCELLED_JOBS,
	    .drained = ignore,
	};
	struct slp_proc *former;
	struct status st;

	agent->proc = slp_proc_new(&agent->clock);
	agent->paused = false;
	snt_register(agent->proc, false, agent->index);
	agent->ks = sst_client_new(agent->proc);
	agent->worker = swk_port_new(agent->index, agent->proc);
	agent->counters = ctr_new();
	opts.ks = agent->ks;
	opts.wp = agent->worker;
	opts.counters = agent->counters;
	former = slp_enter(agent->proc);
	agent->ja = ja_new(&opts, &st);
	slp_enter(former);
}

static void
kill_agent(struct agent *agent)
{
	struct slp_proc *former;

	if (agent->proc == NULL)
		return;
	snt_close_all(agent->proc);
	former = slp_enter(agent->proc);
	ja_close(agent->ja);
	swk_port_free(agent->worker);
	sst_client_free(agent->ks);
	ja_free(agent->ja);
	slp_enter(former);
	slp_kill(agent->proc);
	ctr_free(agent->counters);
	agent->proc = NULL;
	agent->paused = false;
}

/* Heartbeats of the workers. */

struct heartbeat {
	struct agent *agent;
	struct wp_worker *worker;
};

static void
heartbeat_free(void *data)
{
	struct heartbeat *heartbeat = data;

	wp_worker_free(heartbeat->worker);
	g_free(heartbeat);
}

static void
on_heartbeat(void *data)
{
	const struct heartbeat *heartbeat = data;

	ja_heartbeat(heartbeat->agent->ja, heartbeat->worker);
}

static void
send_heartbeat(uint32_t index, const struct wp_worker *worker, int64_t delay_ms)
{
	struct agent *agent = &fleet.agents[index];
	struct heartbeat *heartbeat;

	if (agent->proc == NULL)
		return;
	heartbeat = g_new0(struct heartbeat, 1);
	heartbeat->agent = agent;
	heartbeat->worker = wp_worker_copy(worker);
	slp_at(agent->proc, slp_now_ms() + delay_ms, on_heartbeat, heartbeat,
	    heartbeat_free);
}

/* Faults. */

static void
on_entry_resumed(void *data)
{
	struct entry *entry = data;

	if (!entry->paused)
		return;
	entry->paused = false;
	slp_resume(entry->proc, (enum slp_order)g_random_int_range(0, 3));
	sck_note(NULL, "entry %u continues", entry->index);
}

static void
pause_entry(struct entry *entry, int64_t lasts_ms)
{
	if (entry->proc == NULL || entry->paused)
		return;
	entry->paused = true;
	slp_pause(entry->proc);
	slp_at(NULL, slp_now_ms() + lasts_ms, on_entry_resumed, entry, NULL);
}

static void
on_agent_resumed(void *data)
{
	struct agent *agent = data;

	if (!agent->paused)
		return;
	agent->paused = false;
	slp_resume(agent->proc, (enum slp_order)g_random_int_range(0, 3));
	sck_note(NULL, "agent %u continues", agent->index);
}

static void
pause_agent(struct agent *agent, int64_t lasts_ms)
{
	if (agent->proc == NULL || agent->paused)
		return;
	agent->paused = true;
	slp_pause(agent->proc);
	slp_at(NULL, slp_now_ms() + lasts_ms, on_agent_resumed, agent, NULL);
}

/* A process that gets little processor time: pauses that follow closely. */
struct slowness {
	struct entry *entry; /* NULL: agent is slow */
	struct agent *agent;
	int64_t until_ms;
	int64_t pause_ms;
};

static void
on_slowness(void *data)
{
	struct slowness *slowness = data;

	if (slp_now_ms() >= slowness->until_ms)
		return;
	if (slowness->entry != NULL)
		pause_entry(slowness->entry, slowness->pause_ms);
	else
		pause_agent(slowness->agent, slowness->pause_ms);
	slp_at(NULL,
	    slp_now_ms() + slowness->pause_ms +
		g_random_int_range(1, MAX_SLOW_RUN_MS),
	    on_slowness, g_memdup2(slowness, sizeof(*slowness)), g_free);
}

static void
slow_down(const struct spl_fault *f)
{
	struct slowness slowness = {
	    .entry =
		f->kind == SPL_SLOW_ENTRY ? &fleet.entries[f->entry] : NULL,
	    .agent = &fleet.agents[f->agent],
	    .until_ms = slp_now_ms() + f->lasts_ms,
	    .pause_ms = 1 + f->variant % MAX_SLOW_PAUSE_MS,
	};

	on_slowness(&slowness);
}

/* variant: to the agent, to the entry or both ways. */
static void
set_delay(const struct spl_fault *f, uint32_t agent, int64_t delay_ms)
{
	if (f->variant % 4 != 0)
		snt_set_delay(f->entry, agent, SNT_TO_AGENT, delay_ms);
	if (f->variant % 4 != 1)
		snt_set_delay(f->entry, agent, SNT_TO_ENTRY, delay_ms);
}

static void
set_delays(const struct spl_fault *f, int64_t delay_ms)
{
	uint32_t i;

	if (f->kind == SPL_DELAY_LINK) {
		set_delay(f, f->agent, delay_ms);
		return;
	}
	for (i = 0; i < fleet.opts.n_agents; i++)
		set_delay(f, i, delay_ms);
}

static void
on_delay_over(void *data)
{
	set_delays(data, 0);
}

static void
delay_links(const struct spl_fault *f)
{
	set_delays(f, f->variant / 4 % MAX_DELAY_MS);
	slp_at(
	    NULL, slp_now_ms() + f->lasts_ms, on_delay_over, (void *)f, NULL);
}

/* variant: to the agent, to the entry or both ways. */
static void
cut_link(const struct spl_fault *f, uint32_t entry, uint32_t agent)
{
	int64_t until_ms = slp_now_ms() + f->lasts_ms;

	if (f->variant % 3 != 0)
		snt_cut(entry, agent, SNT_TO_AGENT, until_ms);
	if (f->variant % 3 != 1)
		snt_cut(entry, agent, SNT_TO_ENTRY, until_ms);
}

static void
restart_entry(struct entry *entry, int64_t down_ms)
{
	if (entry->proc == NULL)
		return;
	kill_entry(entry);
	slp_at(NULL, slp_now_ms() + RESTART_MS + down_ms, start_entry, entry,
	    NULL);
}

static void
restart_agent(struct agent *agent, int64_t down_ms)
{
	if (agent->proc == NULL)
		return;
	kill_agent(agent);
	slp_at(NULL, slp_now_ms() + RESTART_MS + down_ms, start_agent, agent,
	    NULL);
}

static void
restart_all(int64_t down_ms)
{
	uint32_t i;

	for (i = 0; i < fleet.opts.n_entries; i++)
		restart_entry(&fleet.entries[i], down_ms);
	for (i = 0; i < fleet.opts.n_agents; i++)
		restart_agent(&fleet.agents[i], down_ms);
	if (fleet.opts.mutant == SOP_FORGOTTEN_CANCELS)
		sst_forget_cancels();
}

static void
on_shrinking_over(void *data)
{
	const struct spl_fault *f = data;

	swk_set_capacity(f->agent, SWK_CAPACITY_MILLI);
}

/* The worker grows again long after what else happens at that moment. */
static void
shrink_worker(const struct spl_fault *f)
{
	swk_set_capacity(f->agent,
	    SWK_CAPACITY_MILLI * (1 + f->variant % 3) / MAX_SHRINKING);
	slp_at(NULL, slp_now_ms() + f->lasts_ms * SHRINKING_FACTOR,
	    on_shrinking_over, (void *)f, NULL);
}

static void
apply_worker_fault(const struct spl_fault *f)
{
	static const int late_percents[] = {30, 60, 90, 100};
	int64_t until_ms = slp_now_ms() + f->lasts_ms;

	switch (f->kind) {
	case SPL_LATE_CALLS:
		swk_delay_calls(f->agent, until_ms,
		    1 + f->variant % MAX_LATE_MS,
		    late_percents[f->variant % G_N_ELEMENTS(late_percents)]);
		return;
	case SPL_LOST_ANSWERS:
		swk_lose_answers(f->agent, until_ms);
		return;
	case SPL_SLOW_STOPS:
		swk_slow_stops(f->agent, until_ms, f->variant % MAX_STOP_MS);
		return;
	case SPL_SILENT_WORKER:
		swk_silence(f->agent, until_ms);
		return;
	case SPL_CRASH_WORKER:
		swk_crash(f->agent, f->lasts_ms, f->variant % SWK_N_REBIRTHS);
		return;
	default:
		swk_repeat_heartbeat(f->agent, f->lasts_ms);
	}
}

static void
apply_fault(const struct spl_fault *f)
{
	uint32_t i;

	switch (f->kind) {
	case SPL_PAUSE_ENTRY:
		pause_entry(&fleet.entries[f->entry], f->lasts_ms);
		return;
	case SPL_PAUSE_AGENT:
		pause_agent(&fleet.agents[f->agent], f->lasts_ms);
		return;
	case SPL_KILL_ENTRY:
		restart_entry(&fleet.entries[f->entry], f->lasts_ms);
		return;
	case SPL_KILL_AGENT:
		restart_agent(&fleet.agents[f->agent], f->lasts_ms);
		return;
	case SPL_SLOW_ENTRY:
	case SPL_SLOW_AGENT:
		slow_down(f);
		return;
	case SPL_DELAY_LINK:
	case SPL_DELAY_ENTRY:
		delay_links(f);
		return;
	case SPL_CUT_LINK:
		cut_link(f, f->entry, f->agent);
		return;
	case SPL_RESET_LINK:
		snt_reset_link(f->entry, f->agent);
		return;
	case SPL_CUT_ENTRY:
		for (i = 0; i < fleet.opts.n_agents; i++)
			cut_link(f, f->entry, i);
		return;
	case SPL_CUT_AGENT:
		for (i = 0; i < fleet.opts.n_entries; i++)
			cut_link(f, i, f->agent);
		return;
	case SPL_CALLERS_LEAVE:
		scl_leave(f->entry);
		return;
	case SPL_SHRINK_WORKER:
		shrink_worker(f);
		return;
	case SPL_STORE_DOWN:
		sst_stop(slp_now_ms() + f->lasts_ms);
		return;
	case SPL_POWER_LOSS:
		restart_all(f->lasts_ms);
		return;
	default:
		apply_worker_fault(f);
	}
}

static void
on_fault(void *data)
{
	const struct spl_fault *fault = data;
	g_autofree char *text = spl_text(fault);

	sck_note(NULL, "%s", text);
	sck_disturbed(fault->lasts_ms);
	apply_fault(fault);
}

/* A whole run. */

static struct slp_clock
random_clock(void)
{
	return (struct slp_clock){
	    .offset_ms = g_random_int_range(0, MAX_CLOCK_OFFSET_MS),
	    .rate =
		1 + g_random_double_range(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT),
	};
}

static void
make_fleet(void)
{
	uint32_t i;

	fleet.entries = g_new0(struct entry, fleet.opts.n_entries);
	fleet.agents = g_new0(struct agent, fleet.opts.n_agents);
	for (i = 0; i < fleet.opts.n_agents; i++) {
		struct agent *agent = &fleet.agents[i];

		agent->index = i;
		agent->address = snt_agent_address(i);
		agent->clock = random_clock();
		if (fleet.opts.mutant == SOP_FAST_AGENTS)
			agent->clock.rate = 1 + MUTANT_DRIFT;
		start_agent(agent);
	}
	swk_start_all();
	for (i = 0; i < fleet.opts.n_entries; i++) {
		struct entry *entry = &fleet.entries[i];

		entry->index = i;
		entry->name = g_strdup_printf("entry%u", i);
		entry->clock = random_clock();
		start_entry(entry);
	}
}

static void
free_fleet(void)
{
	uint32_t i;

	for (i = 0; i < fleet.opts.n_entries; i++) {
		kill_entry(&fleet.entries[i]);
		g_free(fleet.entries[i].name);
	}
	for (i = 0; i < fleet.opts.n_agents; i++) {
		kill_agent(&fleet.agents[i]);
		g_free(fleet.agents[i].address);
	}
	g_clear_pointer(&fleet.entries, g_free);
	g_clear_pointer(&fleet.agents, g_free);
}

static bool
no_rule_is_broken(void *ctx)
{
	(void)ctx;
	return sck_violation()->rule == SCK_KEPT;
}

struct sfl_result
sfl_run(
    uint64_t seed, const struct sop *opts, const GArray *faults, bool recording)
{
	struct snt_options network = {
	    .n_entries = opts->n_entries,
	    .n_agents = opts->n_agents,
	    .no_catch_up = opts->mutant == SOP_NO_CATCH_UP,
	};
	struct sfl_result result = {0};
	guint i;

	g_random_set_seed((guint32)(seed ^ seed >> 32));
	fleet.opts = *opts;
	slp_reset();
	sck_reset(recording);
	snt_reset(&network);
	sst_reset(opts->mutant);
	swk_reset(opts, send_heartbeat);
	scl_reset(opts);
	make_fleet();
	for (i = 0; i < faults->len; i++) {
		struct spl_fault *fault =
		    &g_array_index(faults, struct spl_fault, i);

		slp_at(NULL, fault->at_ms, on_fault, fault, NULL);
	}
	scl_start(FIRST_CALLS_MS);
	slp_run(opts->duration_ms, no_rule_is_broken, NULL);
	result.violation = *sck_violation();
	result.n_events = slp_n_events();
	scl_count(&result.n_jobs, &result.n_completed);
	free_fleet();
	slp_reset();
	return result;
}

/* Replaces the library's by --wrap: the mutant without the entries' wait. */

struct sch *__real_sch_new(const struct sch_options *opts);
struct sch *__wrap_sch_new(const struct sch_options *opts);

struct sch *
__wrap_sch_new(const struct sch_options *opts)
{
	struct sch_options copy = *opts;

	if (fleet.opts.mutant == SOP_NO_WAIT)
		copy.lost_run_timeout_ms = 0;
	return __real_sch_new(&copy);
}
