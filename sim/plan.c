#include <stdbool.h>

#include "sim/plan.h"

#define MIN_FAULTS 2
#define MAX_FAULTS 14
#define MIN_KINDS  2
#define MAX_KINDS  5
/* Runs with faults of most kinds. */
#define MIXED_PERCENT 30
/* Moments around which the faults of a run begin. */
#define MAX_MOMENTS 3
/* The fleet is connected by then. */
#define FIRST_FAULT_MS 1500
#define LAST_MS	       3500 /* before the end of the run */
#define CLOSE_MS       1600
/* Faults on the machines that the run has most faults on. */
#define SAME_TARGET_PERCENT 75
#define MIN_LASTS_MS	    50
#define MAX_LASTS_MS	    2500

/* What the faults of one run have in common. */
struct theme {
	enum spl_kind kinds[SPL_N_KINDS];
	uint32_t n_kinds;
	int64_t moments_ms[MAX_MOMENTS];
	uint32_t n_moments;
	uint32_t entry;
	uint32_t agent;
};

static uint32_t
pick(GRand *rand, uint32_t n)
{
	return (uint32_t)g_rand_int_range(rand, 0, (gint32)n);
}

static bool
happens(GRand *rand, uint32_t percent)
{
	return pick(rand, 100) < percent;
}

/* Without the later kinds seeds mean the same faults as before these existed. */
static uint32_t
n_kinds(const struct sop *opts)
{
	if (opts->cancels)
		return SPL_N_KINDS;
	return opts->rooms ? SPL_POWER_LOSS : SPL_SHRINK_WORKER;
}

static struct theme
make_theme(GRand *rand, const struct sop *opts)
{
	struct theme theme = {
	    .n_kinds = MIN_KINDS + pick(rand, MAX_KINDS - MIN_KINDS + 1),
	    .n_moments = 1 + pick(rand, MAX_MOMENTS),
	    .entry = pick(rand, opts->n_entries),
	    .agent = pick(rand, opts->n_agents),
	};
	uint32_t i;

	if (happens(rand, MIXED_PERCENT))
		theme.n_kinds = n_kinds(opts);
	for (i = 0; i < theme.n_kinds; i++)
		theme.kinds[i] = pick(rand, n_kinds(opts));
	for (i = 0; i < theme.n_moments; i++)
		theme.moments_ms[i] = g_rand_int_range(rand, FIRST_FAULT_MS,
		    (gint32)(opts->duration_ms - LAST_MS));
	return theme;
}

static struct spl_fault
make_fault(GRand *rand, const struct sop *opts, const struct theme *theme)
{
	struct spl_fault fault = {
	    .kind = theme->kinds[pick(rand, theme->n_kinds)],
	    .at_ms = theme->moments_ms[pick(rand, theme->n_moments)] +
		     pick(rand, CLOSE_MS),
	    .lasts_ms = g_rand_int_range(rand, MIN_LASTS_MS, MAX_LASTS_MS),
	    .entry = theme->entry,
	    .agent = theme->agent,
	    .variant = pick(rand, 1U << 16),
	};

	if (!happens(rand, SAME_TARGET_PERCENT))
		fault.entry = pick(rand, opts->n_entries);
	if (!happens(rand, SAME_TARGET_PERCENT))
		fault.agent = pick(rand, opts->n_agents);
	return fault;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	const struct spl_fault *left = a, *right = b;

	return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

GArray *
spl_make(uint64_t seed, const struct sop *opts)
{
	guint32 words[2] = {(guint32)seed, (guint32)(seed >> 32)};
	GRand *rand = g_rand_new_with_seed_array(words, G_N_ELEMENTS(words));
	GArray *faults = g_array_new(FALSE, FALSE, sizeof(struct spl_fault));
	struct theme theme = make_theme(rand, opts);
	uint32_t i, n = MIN_FAULTS + pick(rand, MAX_FAULTS - MIN_FAULTS + 1);

	for (i = 0; i < n; i++) {
		struct spl_fault fault = make_fault(rand, opts, &theme);

		g_array_append_val(faults, fault);
	}
	g_array_sort(faults, compare_times);
	g_rand_free(rand);
	return faults;
}

char *
spl_text(const struct spl_fault *f)
{
	static const char *const names[SPL_N_KINDS] = {
	    [SPL_PAUSE_ENTRY] = "pause of entry",
	    [SPL_PAUSE_AGENT] = "pause of agent",
	    [SPL_SLOW_ENTRY] = "slowness of entry",
	    [SPL_SLOW_AGENT] = "slowness of agent",
	    [SPL_KILL_ENTRY] = "death of entry",
	    [SPL_KILL_AGENT] = "death of agent",
	    [SPL_DELAY_LINK] = "delay of a link",
	    [SPL_CUT_LINK] = "cut of a link",
	    [SPL_RESET_LINK] = "reset of a link",
	    [SPL_CUT_ENTRY] = "cut of all links of entry",
	    [SPL_CUT_AGENT] = "cut of all links of agent",
	    [SPL_DELAY_ENTRY] = "delay of all links of entry",
	    [SPL_LATE_CALLS] = "late calls to worker",
	    [SPL_LOST_ANSWERS] = "lost answers of worker",
	    [SPL_SLOW_STOPS] = "slow stops at worker",
	    [SPL_SILENT_WORKER] = "silence of worker",
	    [SPL_CRASH_WORKER] = "crash of worker",
	    [SPL_LATE_HEARTBEAT] = "late heartbeat of worker",
	    [SPL_CALLERS_LEAVE] = "callers leave entry",
	    [SPL_SHRINK_WORKER] = "shrinking of worker",
	    [SPL_STORE_DOWN] = "outage of the store",
	    [SPL_POWER_LOSS] = "loss of power of all",
	};

	return g_strdup_printf("%s (entry %u, agent %u, for %d ms, variant %u)",
	    names[f->kind], f->entry, f->agent, (int)f->lasts_ms, f->variant);
}
