#include "sim/plan.h"
#include "sim/search.h"

#define STORY_LINES 30

/* Whether the rule breaks without the fault at this index. */
static bool
breaks_without(uint64_t seed, const struct sop *opts, GArray *faults, guint i,
    enum sck_rule rule)
{
	struct spl_fault left_out = g_array_index(faults, struct spl_fault, i);
	bool breaks;

	g_array_remove_index(faults, i);
	breaks = sfl_run(seed, opts, faults, false).violation.rule == rule;
	if (!breaks)
		g_array_insert_val(faults, i, left_out);
	return breaks;
}

GArray *
srh_shrink(uint64_t seed, const struct sop *opts, enum sck_rule rule)
{
	GArray *faults = spl_make(seed, opts);
	bool again = true;
	guint i;

	while (again) {
		again = false;
		for (i = faults->len; i > 0; i--)
			again |=
			    breaks_without(seed, opts, faults, i - 1, rule);
	}
	return faults;
}

static void
print_finding(FILE *out, uint64_t seed, const struct sop *opts,
    const struct sck_violation *found)
{
	g_autoptr(GArray) faults = srh_shrink(seed, opts, found->rule);
	struct sfl_result result = sfl_run(seed, opts, faults, true);
	const struct sck_violation *v = &result.violation;
	guint i;

	fprintf(out, "seed %" G_GUINT64_FORMAT ": %s broken by %s at %d ms\n",
	    seed, sck_rule_name(found->rule), found->task, (int)found->at_ms);
	fprintf(out, "shortest: %u faults; %s broken by %s at %d ms: %s\n",
	    faults->len, sck_rule_name(v->rule), v->task, (int)v->at_ms,
	    v->text);
	for (i = 0; i < faults->len; i++) {
		const struct spl_fault *f =
		    &g_array_index(faults, struct spl_fault, i);
		g_autofree char *text = spl_text(f);

		fprintf(out, "  fault at %d: %s\n", (int)f->at_ms, text);
	}
	sck_print_story(out, v->task, STORY_LINES);
	fflush(out); /* a search may be ended by a signal */
}

struct srh_result
srh_search(const struct srh_options *opts)
{
	struct srh_result result = {0};
	uint64_t seed;

	for (seed = opts->first_seed; seed < opts->first_seed + opts->n_seeds;
	     seed++) {
		g_autoptr(GArray) faults = spl_make(seed, &opts->fleet);
		struct sfl_result run =
		    sfl_run(seed, &opts->fleet, faults, false);

		result.n_run++;
		result.n_jobs += run.n_jobs;
		result.n_completed += run.n_completed;
		result.n_events += run.n_events;
		if (run.violation.rule == SCK_KEPT)
			continue;
		if (result.n_findings++ == 0)
			result.first_finding = seed;
		if (opts->out != NULL)
			print_finding(
			    opts->out, seed, &opts->fleet, &run.violation);
		if (result.n_findings == opts->max_findings)
			break;
	}
	return result;
}
