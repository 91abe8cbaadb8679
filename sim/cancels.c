#include <glib.h>
#include <string.h>

#include "sim/cancels.h"
#include "sim/check.h"
#include "sim/store.h"

#define CANCELLED_PERCENT 50
#define OWN_ENTRY_PERCENT 40
#define REPEATED_PERCENT  30 /* also after the acknowledgement */
#define MAX_FIRST_MS	  4000
#define MIN_RETRY_MS	  200
#define MAX_RETRY_MS	  800
#define MAX_REPEAT_MS	  4000
#define MAX_TRIES	  8
#define ANSWER_TIMEOUT_MS 4000
#define MAX_CANCEL_WAY_MS 3

struct door {
	struct slp_proc *proc; /* NULL: the entry is dead */
	struct je *je;
};

/* The cancelling of one job. */
struct cancel {
	char job[32];
	uint32_t home; /* entry that the job was submitted to first */
	uint32_t n_tries;
	bool acknowledged;
};

/* One DELETE. */
struct
try {
	struct cancel *cancel;
	uint32_t entry;
	bool over; /* for the caller */
	enum je_result result;
};

static struct {
	struct sop opts;
	struct door *doors;
	GPtrArray *cancels; /* struct cancel */
	GPtrArray *tries;   /* struct try */
} scn;

static int64_t
in_ms(int64_t min_ms, int64_t max_ms)
{
	return slp_now_ms() +
	       g_random_int_range((gint32)min_ms, (gint32)max_ms + 1);
}

static bool
happens(int percent)
{
	return g_random_int_range(0, 100) < percent;
}

void
scn_reset(const struct sop *opts)
{
	scn.opts = *opts;
	g_free(scn.doors);
	scn.doors = g_new0(struct door, opts->n_entries);
	if (scn.cancels == NULL) {
		scn.cancels = g_ptr_array_new_with_free_func(g_free);
		scn.tries = g_ptr_array_new_with_free_func(g_free);
	}
	g_ptr_array_set_size(scn.cancels, 0);
	g_ptr_array_set_size(scn.tries, 0);
}

void
scn_entry_started(uint32_t entry, struct slp_proc *proc, struct je *je)
{
	scn.doors[entry].proc = proc;
	scn.doors[entry].je = je;
}

void
scn_entry_died(uint32_t entry)
{
	scn.doors[entry].proc = NULL;
}

static void send_cancel(void *data);

static void
try_again(struct cancel *cancel, int64_t at_ms)
{
	if (cancel->n_tries < MAX_TRIES)
		slp_at(NULL, at_ms, send_cancel, cancel, NULL);
}

static void
on_response(void *data)
{
	struct try *try = data;
	struct cancel *cancel = try->cancel;

	if (try->over)
		return;
	try->over = true;
	sck_note(cancel->job, "cancel has answer %d of entry %u", try->result,
	    try->entry);
	if (try->result != JE_RUNNING && try->result != JE_UNKNOWN_JOB) {
		try_again(cancel, in_ms(MIN_RETRY_MS, MAX_RETRY_MS));
		return;
	}
	sck_cancel_acknowledged(cancel->job);
	if (!cancel->acknowledged && happens(REPEATED_PERCENT))
		try_again(cancel, in_ms(MIN_RETRY_MS, MAX_REPEAT_MS));
	cancel->acknowledged = true;
}

static void
on_answer(const struct je_answer *answer, void *ctx)
{
	struct try *try = ctx;

	try->result = answer->result;
	slp_at(NULL, in_ms(1, MAX_CANCEL_WAY_MS), on_response, try, NULL);
}

static void
on_arrival(void *data)
{
	struct try *try = data;
	g_autofree char *path = g_strconcat(SST_PREFIX, try->cancel->job, NULL);

	sck_note(try->cancel->job, "entry %u gets the cancel", try->entry);
	je_cancel(scn.doors[try->entry].je, SST_HOST, path, try->cancel->job,
	    on_answer, try);
}

static void
on_no_answer(void *data)
{
	struct try *try = data;

	if (try->over)
		return;
	try->over = true;
	try_again(try->cancel, slp_now_ms());
}

static uint32_t
choose_entry(const struct cancel *cancel)
{
	gint32 n = (gint32)scn.opts.n_entries;

	if (scn.opts.elsewhere && n > 1)
		return (cancel->home + (uint32_t)g_random_int_range(1, n)) %
		       scn.opts.n_entries;
	if (happens(OWN_ENTRY_PERCENT))
		return cancel->home;
	return (uint32_t)g_random_int_range(0, n);
}

static void
send_cancel(void *data)
{
	struct cancel *cancel = data;
	struct try *try = g_new0(struct try, 1);
	struct slp_proc *proc;

	try->cancel = cancel;
	try->entry = choose_entry(cancel);
	g_ptr_array_add(scn.tries, try);
	cancel->n_tries++;
	proc = scn.doors[try->entry].proc;
	if (proc != NULL)
		slp_at(
		    proc, in_ms(1, MAX_CANCEL_WAY_MS), on_arrival, try, NULL);
	slp_at(NULL,
	    proc == NULL ? in_ms(MIN_RETRY_MS, MAX_RETRY_MS)
			 : slp_now_ms() + ANSWER_TIMEOUT_MS,
	    on_no_answer, try, NULL);
}

void
scn_submitted(const char *job, uint32_t entry)
{
	struct cancel *cancel;

	if (!scn.opts.cancels || !happens(CANCELLED_PERCENT))
		return;
	cancel = g_new0(struct cancel, 1);
	g_strlcpy(cancel->job, job, sizeof(cancel->job));
	cancel->home = entry;
	g_ptr_array_add(scn.cancels, cancel);
	slp_at(NULL, in_ms(1, MAX_FIRST_MS), send_cancel, cancel, NULL);
}
