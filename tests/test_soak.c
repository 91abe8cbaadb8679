/*
 * Injects random faults, which may overlap, into entries and agents on the
 * stand-in platform: processes are stopped, killed, terminated and restarted;
 * connections are delayed, cut or frozen by a proxy; the store and the workers
 * misbehave; configurations change.  Messages arrive late or from another writer.
 * Meanwhile clients submit jobs, resubmit them as the platform's clients do, leave
 * them and cancel them.
 *
 * Checks that no worker is given more than its capacity, no task runs twice at
 * the same time, no task of a refused job has run, every job gets a final
 * answer, and all entries complete jobs again soon after the last fault.
 *
 * SOAK_SEED=FIRST and SOAK_SEEDS=COUNT select other seeds than those below.
 */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "deployment.h"
#include "oddheartbeat.h"
#include "runner.h"

#define RUN_MS		     7000
#define SETTLE_MS	     20000
#define LOOP_INTERVAL_MS     10
#define MAX_OPEN_JOBS	     12
#define MAX_TASKS	     6 /* of a job's first step */
#define MEAN_JOB_INTERVAL_MS 60
#define RESEND_MS	     1300
#define DEADLINE_MS	     6000
/* Range of a fault's duration and of the time between faults. */
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 1500
#define MAX_FAULTS   64

/*
 * Default seeds.  122, 126, 143, 145 and 147 are regression tests: a start sent
 * to a worker was carried out by the worker's next incarnation.  So are 7007 and
 * 7012: a lease outlived the silence of the entry whose runs it was for.
 */
static const uint32_t fixed_seeds[] = {
    1, 2, 3, 122, 126, 143, 145, 147, 1001, 1002, 4001, 4002, 7007, 7012};
/*
 * From this seed on, some jobs crash their workers and capacities change.
 * Earlier seeds stay as they are, since some are regression tests.
 */
#define WIDE_SEED 1000
/* And from this one on, crashed workers return under the id that they had. */
#define KEEP_ID_SEED 2000
#define CRASH_ONE_IN 25
/* And from this one on, specs hold odd characters, and bodies come in chunks. */
#define ODD_SPEC_SEED	4000
#define CHUNKED_ONE_IN	3
#define N_NARROW_FAULTS 15
#define N_WIDE_FAULTS	16
/*
 * And from this one on, calls, stops and deregistrations come late, heartbeats
 * come from others, callers leave and cancel, and some tasks run long enough to
 * be at work when their job is sent again.
 */
#define LATE_SEED	   7000
#define LATE_FAULT_ONE_IN  2
#define LONG_RUN_ONE_IN	   2
#define LONG_RUN_MIN_MS	   1500
#define LONG_RUN_MAX_MS	   3000
#define LONG_RUN_MAX_TASKS 2
#define LATE_STOP_STEP_MS  500
/* Faults whose effect takes longer than a session last this much longer. */
#define LONG_FAULT_FACTOR    3
#define DELAY_GROWTH_DIVISOR 2 /* a delay grows by 1 ms in this many ms */

struct job {
	struct job *next;
	struct hn_http *http;
	char id[17];
	char *body;
	char *spec; /* JSON of the spec; NULL: workers must not be told it */
	int tries;
	int entry; /* of the latest submission */
	bool cancelled;
	int64_t first_ms;
	int64_t resend_at_ms; /* 0: an answer is outstanding */
};

struct soak;

/* An active fault; end() undoes it at end_ms. */
struct fault {
	void (*end)(struct soak *soak, int target);
	/* NULL: nothing changes while the fault lasts. */
	void (*grow)(struct soak *soak, int target, int64_t elapsed_ms);
	int target;
	int64_t begin_ms;
	int64_t end_ms;
};

struct soak {
	struct dpl dpl;
	GRand *rand;
	struct job *open_jobs; /* jobs without a final answer */
	int n_open_jobs;
	uint32_t last_id;
	int completed, failed, refused, given_up, malformed, cancelled;
	bool wide;
	bool odd_specs;
	bool late;
	int version;
	int64_t start_ms;
	struct fault faults[MAX_FAULTS];
	int n_faults;
	/* By process number: stopped or not running. */
	bool unavailable[DPL_ENTRIES + DPL_AGENTS];
};

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

static bool
reload_settings(struct soak *soak, int target)
{
	if (!soak->unavailable[target])
		hn_signal(process(soak, target), SIGHUP);
	return true;
}

static void
set_mode(struct soak *soak, const char *mode, int value)
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
	set_mode(soak, "late", 0);
}

static bool
delay_worker_calls(struct soak *soak, int target)
{
	set_mode(soak, "late", 5 + target * 5);
	return true;
}

static void
clear_worker_failure(struct soak *soak, int target)
{
	(void)target;
	set_mode(soak, "fail", -1);
}

static bool
set_worker_failure(struct soak *soak, int target)
{
	set_mode(soak, "fail", target % DPL_AGENTS);
	return true;
}

static void
clear_worker_stall(struct soak *soak, int target)
{
	(void)target;
	set_mode(soak, "stall", -1);
}

static bool
set_worker_stall(struct soak *soak, int target)
{
	set_mode(soak, "stall", target % DPL_AGENTS);
	return true;
}

static void
clear_worker_silence(struct soak *soak, int target)
{
	(void)target;
	set_mode(soak, "mute", -1);
}

static bool
set_worker_silence(struct soak *soak, int target)
{
	set_mode(soak, "mute", target % DPL_AGENTS);
	return true;
}

static bool
crash_worker(struct soak *soak, int target)
{
	set_mode(soak, "crash", target % DPL_AGENTS);
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
	set_mode(soak, "capacity", 8000);
}

static bool
change_capacity(struct soak *soak, int target)
{
	set_mode(soak, "capacity", 1000 + 1500 * target);
	return true;
}

/* The callers of the entry's jobs leave, and send these again later. */
static bool
leave_jobs(struct soak *soak, int target)
{
	const struct job *job;

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
	struct job *job, *oldest = NULL;

	(void)target;
	for (job = soak->open_jobs; job != NULL; job = job->next) {
		if (job->resend_at_ms == 0 && !job->cancelled)
			oldest = job;
	}
	if (oldest == NULL)
		return false;
	oldest->cancelled = true;
	hn_http_start("DELETE",
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
	set_mode(soak, "late_stops", 0);
}

static bool
delay_stops(struct soak *soak, int target)
{
	set_mode(soak, "late_stops", LATE_STOP_STEP_MS * (2 + target));
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
};

static size_t
choose_fault_kind(struct soak *soak)
{
	int n_others = soak->wide ? N_WIDE_FAULTS : N_NARROW_FAULTS;

	if (soak->late &&
	    g_rand_int_range(soak->rand, 0, LATE_FAULT_ONE_IN) == 0)
		return (size_t)g_rand_int_range(
		    soak->rand, N_WIDE_FAULTS, (int)G_N_ELEMENTS(fault_kinds));
	return (size_t)g_rand_int_range(soak->rand, 0, n_others);
}

static void
begin_fault(struct soak *soak)
{
	size_t kind = choose_fault_kind(soak);
	int target = g_rand_int_range(soak->rand, 0, DPL_ENTRIES + DPL_AGENTS);
	int64_t lasts_ms =
	    g_rand_int_range(soak->rand, FAULT_MIN_MS, FAULT_MAX_MS);

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
	ck_assert_int_lt(soak->n_faults, MAX_FAULTS);
	soak->faults[soak->n_faults++] =
	    (struct fault){.end = fault_kinds[kind].end,
		.grow = fault_kinds[kind].grow,
		.target = target,
		.begin_ms = hn_now_ms(),
		.end_ms = hn_now_ms() + lasts_ms};
}

static void
grow_faults(struct soak *soak)
{
	int i;

	for (i = 0; i < soak->n_faults; i++) {
		const struct fault *fault = &soak->faults[i];

		if (fault->grow != NULL)
			fault->grow(
			    soak, fault->target, hn_now_ms() - fault->begin_ms);
	}
}

static void
end_faults(struct soak *soak, bool all)
{
	int i = 0;

	while (i < soak->n_faults) {
		struct fault fault = soak->faults[i];

		if (!all && hn_now_ms() < fault.end_ms) {
			i++;
			continue;
		}
		soak->faults[i] = soak->faults[--soak->n_faults];
		fault.end(soak, fault.target);
	}
}

/* Ends of specs, as JSON; the last ones are no Unicode. */
static const char *const odd_ends[] = {"", "\\u0000", " \\u0000\\u0000x",
    "\\ud83d\\ude00", "\xf0\x9f\x98\x80", "\\ufffd", "\\\\ud800",
    "\\\"\\/\\b\\f\\n\\r\\t", "\\u007f\x7f", "\\ud800", "\\udc00x"};
#define N_MALFORMED_ENDS 2

/* Returns the spec as JSON without quotation marks. */
static const char *
job_spec(struct soak *soak, int run_ms, bool *is_malformed)
{
	int end;

	*is_malformed = false;
	if (!soak->odd_specs)
		return hn_str("%d", run_ms);
	end = g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(odd_ends));
	*is_malformed = end >= (int)G_N_ELEMENTS(odd_ends) - N_MALFORMED_ENDS;
	return hn_str("%d%s", run_ms, odd_ends[end]);
}

static void
make_body(struct soak *soak, struct job *job)
{
	int steps = g_rand_int_range(soak->rand, 0, 4) == 0 ? 2 : 1;
	int run_ms = g_rand_int_range(soak->rand, 20, 500);
	bool crashes =
	    soak->wide && g_rand_int_range(soak->rand, 0, CRASH_ONE_IN) == 0;
	bool is_long =
	    soak->late && g_rand_int_range(soak->rand, 0, LONG_RUN_ONE_IN) == 0;
	int max_tasks = is_long ? LONG_RUN_MAX_TASKS : MAX_TASKS;
	bool is_malformed = false;
	const char *spec;

	if (is_long)
		run_ms = g_rand_int_range(
		    soak->rand, LONG_RUN_MIN_MS, LONG_RUN_MAX_MS);
	spec = crashes ? "crash" : job_spec(soak, run_ms, &is_malformed);
	job->spec = is_malformed ? NULL : g_strdup_printf("\"%s\"", spec);
	job->body = g_strdup_printf(
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":["
	    "{\"count\":%d,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":%d}%s]}",
	    spec, g_rand_int_range(soak->rand, 1, max_tasks + 1), run_ms,
	    steps == 1 ? ""
		       : ",{\"count\":1,\"cpu\":1000,\"mem_mb\":1,"
			 "\"estimate_ms\":100,\"after\":[0]}");
}

static void
send_job(struct soak *soak, struct job *job)
{
	static const char *const headers[] = {"Content-Type: application/json",
	    "X-Deadline-Ms: 6000", "Transfer-Encoding: chunked", NULL};
	static const char *const plain_headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 6000", NULL};
	int entry = g_rand_int_range(soak->rand, 0, DPL_ENTRIES);
	bool chunked = soak->odd_specs &&
		       g_rand_int_range(soak->rand, 0, CHUNKED_ONE_IN) == 0;

	/* As the platform's clients do: a retry reaches another entry. */
	if (soak->late && job->tries > 0)
		entry = (job->entry + 1) % DPL_ENTRIES;
	job->tries++;
	job->entry = entry;
	job->resend_at_ms = 0;
	job->http = hn_http_start("POST",
	    dpl_url(&soak->dpl, entry, hn_str("/q/%s", job->id)),
	    chunked ? headers : plain_headers, job->body);
}

static void
new_job(struct soak *soak)
{
	struct job *job = g_new0(struct job, 1);

	snprintf(job->id, sizeof(job->id), "%016x", ++soak->last_id);
	make_body(soak, job);
	job->first_ms = hn_now_ms();
	job->next = soak->open_jobs;
	soak->open_jobs = job;
	soak->n_open_jobs++;
	send_job(soak, job);
}

/* No task may have started when the first submission of a job is refused. */
static void
check_refusal(struct soak *soak, const struct job *job)
{
	struct hn_http *starts = dpl_control(
	    &soak->dpl, "GET", hn_str("starts?job=%s", job->id), NULL);

	if (job->tries == 1)
		ck_assert_msg(hn_json_int(starts, "starts") == 0,
		    "job %s was refused with %d, but a task started", job->id,
		    job->http->status);
}

/* Workers were told the spec that was sent, or nothing if it is malformed. */
static void
check_spec(struct soak *soak, const struct job *job)
{
	struct hn_http *starts = dpl_control(
	    &soak->dpl, "GET", hn_str("starts?job=%s", job->id), NULL);
	struct json_object *got = json_object_object_get(starts->json, "spec");
	struct json_object *sent =
	    job->spec == NULL ? NULL : json_tokener_parse(job->spec);

	ck_assert_msg(json_object_equal(got, sent),
	    "job %s: \"%s\" was started as %s", job->id, job->body,
	    json_object_to_json_string(got));
	json_object_put(sent);
}

/*
 * Handles the answer to a job's latest submission; returns true when the job
 * needs no further one.
 */
static bool
handle_answer(struct soak *soak, struct job *job)
{
	int status = job->http->status;

	if (soak->odd_specs && (status == 200 || status == 400))
		check_spec(soak, job);
	if (status == 400 && job->spec == NULL) {
		soak->malformed++;
		return true;
	}
	if (status == 200) {
		if (strcmp(hn_json_str(job->http, "state"), "completed") == 0)
			soak->completed++;
		else
			soak->failed++;
		return true;
	}
	if (status == 429 || status == 503) {
		check_refusal(soak, job);
		soak->refused++;
		return true;
	}
	if (job->cancelled) {
		ck_assert_msg(status == 0 || status == 410 || status == 502 ||
				  status == 504,
		    "cancelled job %s: status %d", job->id, status);
		soak->cancelled++;
		return true;
	}
	ck_assert_msg(status == 0 || status == 502 || status == 504,
	    "job %s: status %d", job->id, status);
	if (hn_now_ms() - job->first_ms > DEADLINE_MS) {
		soak->given_up++;
		return true;
	}
	job->resend_at_ms = hn_now_ms() + RESEND_MS;
	return false;
}

static bool
poll_job(struct soak *soak, struct job *job)
{
	if (job->resend_at_ms != 0) {
		if (hn_now_ms() >= job->resend_at_ms)
			send_job(soak, job);
		return false;
	}
	return job->http->done && handle_answer(soak, job);
}

static bool
poll_jobs(struct soak *soak)
{
	struct job **link = &soak->open_jobs;

	while (*link != NULL) {
		struct job *job = *link;

		if (!poll_job(soak, job)) {
			link = &job->next;
			continue;
		}
		*link = job->next;
		soak->n_open_jobs--;
		g_free(job->body);
		g_free(job->spec);
		g_free(job);
	}
	return soak->open_jobs == NULL;
}

static void
run_workload(struct soak *soak)
{
	int64_t end_ms = (soak->start_ms = hn_now_ms()) + RUN_MS;
	int64_t fault_ms = hn_now_ms() + FAULT_MIN_MS;
	int64_t job_ms = hn_now_ms();

	while (hn_now_ms() < end_ms) {
		if (hn_now_ms() >= fault_ms) {
			begin_fault(soak);
			fault_ms =
			    hn_now_ms() + g_rand_int_range(soak->rand,
					      FAULT_MIN_MS, FAULT_MAX_MS);
		}
		end_faults(soak, false);
		grow_faults(soak);
		if (hn_now_ms() >= job_ms &&
		    soak->n_open_jobs < MAX_OPEN_JOBS) {
			new_job(soak);
			job_ms = hn_now_ms() + g_rand_int_range(soak->rand, 0,
						   2 * MEAN_JOB_INTERVAL_MS);
		}
		poll_jobs(soak);
		hn_sleep(LOOP_INTERVAL_MS);
	}
}

static void
check_counts(struct soak *soak)
{
	struct hn_http *counts = dpl_control(&soak->dpl, "GET", "counts", NULL);

	ck_assert_msg(hn_json_int(counts, "limit") == 0 &&
			  hn_json_int(counts, "twice") == 0 &&
			  hn_json_int(counts, "malformed") == 0,
	    "%s", counts->body);
}

static void
run_seed(uint32_t seed)
{
	struct soak soak = {.version = 1,
	    .wide = seed >= WIDE_SEED,
	    .odd_specs = seed >= ODD_SPEC_SEED,
	    .late = seed >= LATE_SEED};
	int i;

	printf("soak seed %u\n", seed);
	fflush(stdout);
	soak.rand = g_rand_new_with_seed(seed);
	dpl_start(&soak.dpl, &(struct dpl_options){.proxied = true});
	set_mode(&soak, "keep_id", seed >= KEEP_ID_SEED);
	run_workload(&soak);
	end_faults(&soak, true);
	ck_assert_msg(hn_wait_until(poll_jobs(&soak), SETTLE_MS),
	    "seed %u: %d jobs without a final answer", seed, soak.n_open_jobs);
	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert_msg(
		    hn_wait_until(dpl_completes_job(&soak.dpl, i), SETTLE_MS),
		    "seed %u: entry %d completes no job after the last fault",
		    seed, i);
	check_counts(&soak);
	printf("soak seed %u: %d completed, %d failed, %d refused, %d given "
	       "up, %d malformed, %d cancelled\n",
	    seed, soak.completed, soak.failed, soak.refused, soak.given_up,
	    soak.malformed, soak.cancelled);
	ck_assert_int_gt(soak.completed, 0);
	g_rand_free(soak.rand);
	hn_finish();
}

START_TEST(random_faults)
{
	const char *first = getenv("SOAK_SEED");

	run_seed(first == NULL
		     ? fixed_seeds[_i]
		     : (uint32_t)strtoul(first, NULL, 10) + (uint32_t)_i);
}
END_TEST

int
main(void)
{
	const char *count = getenv("SOAK_SEEDS");

	return run_table("soak", random_faults,
	    count == NULL ? (int)G_N_ELEMENTS(fixed_seeds) : atoi(count), 120);
}
