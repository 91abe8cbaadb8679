#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "sim/callers.h"
#include "sim/cancels.h"
#include "sim/check.h"
#include "sim/store.h"
#include "sim/worker.h"

#define RESEND_MS	 1300
#define MUTANT_RESEND_MS 100
#define MAX_LATENCY_MS	 3
#define MAX_PAUSE_MS	 400 /* between two jobs */
#define MAX_SUBMISSIONS	 5
#define MIN_DEADLINE_MS	 2000
#define MAX_DEADLINE_MS	 8000
#define MAX_TASKS	 4
/* With cancels, jobs of several steps that take longer. */
#define MAX_STEPS	      12
#define MAX_CHAIN_RUN_MS      1000
#define MAX_CHAIN_DEADLINE_MS 16000
#define MIN_CPU_MILLI	      100
#define MIN_RUN_MS	      50
/* Upper limits of these are drawn for each run of a fleet. */
#define MAX_CPU_MILLI	   2500
#define MAX_RUN_MS	   6000
#define MAX_LEAVES_PERCENT 60 /* callers that leave before their deadline */
/* Of the refused, those who try another entry. */
#define RETRY_REFUSED_PERCENT 30

struct door {
	struct slp_proc *proc; /* NULL: the entry is dead */
	struct je *je;
};

struct caller {
	uint32_t index;
	uint32_t n_jobs;
	char job[32];
	uint32_t n_submissions;
	uint32_t n_tasks;
	uint32_t n_steps;
	int64_t run_ms;
	int64_t cpu_milli;
	struct attempt *attempt; /* that waits for an answer */
};

/* One submission of a job. */
struct attempt {
	struct caller *caller;
	uint32_t entry;
	struct je *je; /* that took it */
	int64_t deadline_ms;
	uint64_t ticket; /* 0: not taken, or answered */
	bool over;	 /* for the caller */
	int64_t left_ms; /* when its connection ends at the entry, 0: open */
	bool answered;	 /* by the entry */
	enum je_result result;
};

static struct {
	struct sop opts;
	struct door *doors;
	struct caller *callers;
	GPtrArray *attempts; /* struct attempt */
	uint32_t n_jobs, n_completed;
	/* The load of this run. */
	uint32_t n_active;
	int64_t max_cpu_milli;
	int64_t max_run_ms;
	int leaves_percent;
} calls;

static int64_t
random_ms(int64_t min_ms, int64_t max_ms)
{
	return g_random_int_range((gint32)min_ms, (gint32)max_ms + 1);
}

static int64_t
arrival_ms(void)
{
	return slp_now_ms() + random_ms(1, MAX_LATENCY_MS);
}

static bool
happens(int percent)
{
	return g_random_int_range(0, 100) < percent;
}

void
scl_reset(const struct sop *opts)
{
	uint32_t i;

	calls.opts = *opts;
	scn_reset(opts);
	calls.n_jobs = calls.n_completed = 0;
	if (calls.attempts == NULL)
		calls.attempts = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_set_size(calls.attempts, 0);
	g_free(calls.doors);
	calls.doors = g_new0(struct door, opts->n_entries);
	g_free(calls.callers);
	calls.callers = g_new0(struct caller, opts->n_callers);
	for (i = 0; i < opts->n_callers; i++)
		calls.callers[i].index = i;
}

static void submit(void *data);

static void
next_job(void *data)
{
	struct caller *caller = data;

	caller->n_submissions = 0;
	g_snprintf(caller->job, sizeof(caller->job), "%08x%08x",
	    caller->index + 1, ++caller->n_jobs);
	calls.n_jobs++;
	caller->n_tasks = (uint32_t)random_ms(1, MAX_TASKS);
	caller->run_ms = random_ms(MIN_RUN_MS, calls.max_run_ms);
	caller->cpu_milli = random_ms(MIN_CPU_MILLI, calls.max_cpu_milli);
	caller->n_steps = 1;
	if (calls.opts.cancels) {
		caller->n_steps = (uint32_t)random_ms(1, MAX_STEPS);
		caller->run_ms = MIN(caller->run_ms, MAX_CHAIN_RUN_MS);
	}
	submit(caller);
}

static void
finish_job(struct caller *caller)
{
	sck_job_over(caller->job);
	slp_at(NULL, slp_now_ms() + random_ms(1, MAX_PAUSE_MS), next_job,
	    caller, NULL);
}

static void
send_again(struct caller *caller)
{
	int64_t wait_ms = calls.opts.mutant == SOP_EARLY_RESEND
			      ? MUTANT_RESEND_MS
			      : RESEND_MS;

	if (caller->n_submissions >= MAX_SUBMISSIONS)
		finish_job(caller);
	else
		slp_at(NULL, slp_now_ms() + wait_ms, submit, caller, NULL);
}

static void
end_attempt(struct attempt *attempt)
{
	attempt->over = true;
	attempt->caller->attempt = NULL;
}

static bool
is_refusal(enum je_result result)
{
	return result == JE_NOT_READY || result == JE_REFUSED ||
	       result == JE_OVERLOADED ||
	       (calls.opts.mutant == SOP_REFUSE_SENT && result == JE_ABORTED);
}

static void
on_response(void *data)
{
	struct attempt *attempt = data;
	struct caller *caller = attempt->caller;

	if (attempt->over)
		return;
	end_attempt(attempt);
	sck_note(caller->job, "caller has answer %d of entry %u",
	    attempt->result, attempt->entry);
	if (is_refusal(attempt->result)) {
		sck_refused(caller->job);
		if (happens(RETRY_REFUSED_PERCENT))
			send_again(caller);
		else
			finish_job(caller);
	} else if (attempt->result == JE_COMPLETED ||
		   attempt->result == JE_JOB_FAILED) {
		calls.n_completed++;
		finish_job(caller);
	} else if (attempt->result == JE_UNKNOWN_JOB) {
		finish_job(caller);
	} else {
		send_again(caller);
	}
}

/* The entry answers. */
static void
on_answer(const struct je_answer *answer, void *ctx)
{
	struct attempt *attempt = ctx;

	attempt->answered = true;
	attempt->ticket = 0;
	attempt->result = answer->result;
	slp_at(NULL, arrival_ms(), on_response, attempt, NULL);
}

static struct wk_job *
make_job(const struct caller *caller)
{
	struct wk_job *job = g_new0(struct wk_job, 1);
	char *spec = swk_spec(caller->run_ms, caller->cpu_milli);
	uint32_t i;

	job->id = g_strdup(caller->job);
	job->spec = g_bytes_new_take(spec, strlen(spec));
	job->n_steps = caller->n_steps;
	job->steps = g_new0(struct wk_step, job->n_steps);
	for (i = 0; i < job->n_steps; i++) {
		job->steps[i].count = caller->n_tasks;
		job->steps[i].size.cpu_milli = caller->cpu_milli;
		job->steps[i].estimate_ms = caller->run_ms;
		if (i == 0)
			continue;
		job->steps[i].after = g_new(uint32_t, 1);
		job->steps[i].after[0] = i - 1;
		job->steps[i].n_after = 1;
	}
	return job;
}

/* The submission has arrived at the entry. */
static void
on_submission(void *data)
{
	struct attempt *attempt = data;
	const struct caller *caller = attempt->caller;
	g_autofree char *path = g_strconcat(SST_PREFIX, caller->job, NULL);
	uint64_t ticket;

	if (attempt->left_ms != 0 && slp_now_ms() >= attempt->left_ms) {
		je_record_gone(calls.doors[attempt->entry].je, caller->job);
		return;
	}
	attempt->je = calls.doors[attempt->entry].je;
	sck_note(caller->job, "entry %u gets the job", attempt->entry);
	ticket = je_submit(attempt->je, SST_HOST, path, make_job(caller),
	    clk_now_ms() + attempt->deadline_ms, on_answer, attempt);
	if (!attempt->answered)
		attempt->ticket = ticket;
}

/* The caller's connection has ended. */
static void
on_abandoned(void *data)
{
	struct attempt *attempt = data;

	if (attempt->ticket == 0)
		return;
	sck_note(attempt->caller->job, "entry %u notices that the caller left",
	    attempt->entry);
	je_abandon(attempt->je, attempt->ticket);
	attempt->ticket = 0;
}

static void
leave(struct attempt *attempt)
{
	const struct door *door = &calls.doors[attempt->entry];

	end_attempt(attempt);
	sck_note(
	    attempt->caller->job, "caller leaves entry %u", attempt->entry);
	attempt->left_ms = arrival_ms();
	if (door->proc != NULL)
		slp_at(
		    door->proc, attempt->left_ms, on_abandoned, attempt, NULL);
	send_again(attempt->caller);
}

static void
on_patience_over(void *data)
{
	struct attempt *attempt = data;

	if (!attempt->over)
		leave(attempt);
}

static void
on_connection_broken(void *data)
{
	struct attempt *attempt = data;

	if (attempt->over)
		return;
	end_attempt(attempt);
	sck_note(attempt->caller->job, "connection to entry %u is broken",
	    attempt->entry);
	send_again(attempt->caller);
}

static void
submit(void *data)
{
	struct caller *caller = data;
	struct attempt *attempt = g_new0(struct attempt, 1);
	const struct door *door;
	int64_t patience_ms;

	attempt->caller = caller;
	attempt->entry =
	    (uint32_t)g_random_int_range(0, (gint32)calls.opts.n_entries);
	attempt->deadline_ms = random_ms(MIN_DEADLINE_MS,
	    calls.opts.cancels ? MAX_CHAIN_DEADLINE_MS : MAX_DEADLINE_MS);
	g_ptr_array_add(calls.attempts, attempt);
	caller->attempt = attempt;
	if (caller->n_submissions++ == 0)
		scn_submitted(caller->job, attempt->entry);
	sck_submitted(caller->job);
	door = &calls.doors[attempt->entry];
	if (door->proc == NULL) {
		slp_at(NULL, arrival_ms(), on_connection_broken, attempt, NULL);
		return;
	}
	patience_ms = happens(calls.leaves_percent)
			  ? random_ms(1, attempt->deadline_ms)
			  : attempt->deadline_ms;
	slp_at(door->proc, arrival_ms(), on_submission, attempt, NULL);
	slp_at(
	    NULL, slp_now_ms() + patience_ms, on_patience_over, attempt, NULL);
}

void
scl_start(int64_t at_ms)
{
	uint32_t i;

	calls.n_active = (uint32_t)random_ms(1, calls.opts.n_callers);
	calls.max_cpu_milli = random_ms(MIN_CPU_MILLI, MAX_CPU_MILLI);
	calls.max_run_ms = random_ms(MIN_RUN_MS, MAX_RUN_MS);
	calls.leaves_percent = g_random_int_range(0, MAX_LEAVES_PERCENT);
	for (i = 0; i < calls.n_active; i++)
		slp_at(NULL, at_ms + random_ms(0, MAX_PAUSE_MS), next_job,
		    &calls.callers[i], NULL);
}

void
scl_entry_started(uint32_t entry, struct slp_proc *proc, struct je *je)
{
	scn_entry_started(entry, proc, je);
	calls.doors[entry].proc = proc;
	calls.doors[entry].je = je;
}

void
scl_entry_died(uint32_t entry)
{
	uint32_t i;

	scn_entry_died(entry);
	calls.doors[entry].proc = NULL;
	for (i = 0; i < calls.opts.n_callers; i++) {
		struct attempt *attempt = calls.callers[i].attempt;

		if (attempt != NULL && attempt->entry == entry)
			slp_at(NULL, arrival_ms(), on_connection_broken,
			    attempt, NULL);
	}
}

void
scl_leave(uint32_t entry)
{
	uint32_t i;

	for (i = 0; i < calls.opts.n_callers; i++) {
		struct attempt *attempt = calls.callers[i].attempt;

		if (attempt != NULL && attempt->entry == entry)
			leave(attempt);
	}
}

void
scl_count(uint32_t *n_jobs, uint32_t *n_completed)
{
	*n_jobs = calls.n_jobs;
	*n_completed = calls.n_completed;
}
