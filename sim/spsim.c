#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "sim/plan.h"
#include "sim/search.h"

#define MAX_ENTRIES	 64
#define MAX_AGENTS	 256
#define MAX_CALLERS	 1024
#define MIN_DURATION_MS	 6000
#define MAX_DURATION_MS	 600000
#define MAX_SEEDS	 INT64_C(1000000000)
#define MAX_STORY_LINES	 100000
#define DEFAULT_SEEDS	 1000
#define DEFAULT_FINDINGS 3

static const char doc[] =
    "Searches for timing faults of a simulated fleet.\v"
    "search runs the fleets of the seeds FIRST to FIRST + N - 1, prints those "
    "that break a rule and exits with 1 if there are any; replay SEED prints "
    "what happened to one task.";
static const char args_doc[] = "search\nreplay SEED";

enum key {
	KEY_SEEDS = 's',
	KEY_FIRST = 'f',
	KEY_TASK = 't',
	KEY_ENTRIES = 'e',
	KEY_AGENTS = 'a',
	KEY_CALLERS = 'c',
	KEY_DURATION = 'd',
	KEY_MUTANT = 'm',
	KEY_ROOMS = 'R',
	KEY_CANCELS = 'C',
	KEY_ELSEWHERE = 'E',
	KEY_FINDINGS = 'x',
	KEY_SHORTEST = 'r'
};

static const struct argp_option options[] = {
    {"seeds", KEY_SEEDS, "N", 0, "number of seeds to search (1000)", 0},
    {"first", KEY_FIRST, "SEED", 0, "first seed of the search (1)", 0},
    {"findings", KEY_FINDINGS, "N", 0,
	"end the search after this many findings (3); 0: never", 0},
    {"task", KEY_TASK, "NAME", 0,
	"task whose story is printed; default: the one that breaks a rule", 0},
    {"shortest", KEY_SHORTEST, NULL, 0,
	"replay with the faults left that the broken rule needs", 0},
    {"entries", KEY_ENTRIES, "N", 0, "entries of a fleet (3)", 0},
    {"agents", KEY_AGENTS, "N", 0, "agents of a fleet, with a worker each (4)",
	0},
    {"callers", KEY_CALLERS, "N", 0, "callers of a fleet (8)", 0},
    {"duration", KEY_DURATION, "MS", 0, "simulated time of a fleet (12000)", 0},
    {"rooms", KEY_ROOMS, NULL, 0,
	"also faults that shrink workers and stop the store", 0},
    {"cancels", KEY_CANCELS, NULL, 0,
	"also callers that cancel jobs, and outages of the store", 0},
    {"elsewhere", KEY_ELSEWHERE, NULL, 0,
	"with --cancels, only at entries that the job was not submitted to", 0},
    {"mutant", KEY_MUTANT, "NAME", 0, "deliberate fault of the model", 0},
    {0},
};

struct command {
	struct srh_options search;
	bool is_replay;
	bool has_command;
	bool has_seed;
	bool shortest;
	uint64_t seed;
	const char *task;
};

static int64_t
parse_number(struct argp_state *state, const char *name, const char *text,
    int64_t min, int64_t max)
{
	char *end;
	int64_t number;

	errno = 0;
	number = strtoll(text, &end, 10);
	if (end == text || *end != '\0' || errno != 0 || number < min ||
	    number > max)
		argp_error(state,
		    "%s \"%s\" is not a number from %" PRId64 " to %" PRId64,
		    name, text, min, max);
	return number;
}

static enum sop_mutant
parse_mutant(struct argp_state *state, const char *text)
{
	g_autoptr(GString) known = g_string_new(NULL);
	int i;

	for (i = 0; i < SOP_N_MUTANTS; i++) {
		if (strcmp(sop_mutant_name(i), text) == 0)
			return (enum sop_mutant)i;
		g_string_append_printf(known, " %s", sop_mutant_name(i));
	}
	argp_error(state, "mutant \"%s\" is not one of:%s", text, known->str);
	return SOP_NO_MUTANT;
}

static void
parse_argument(struct command *command, char *arg, struct argp_state *state)
{
	if (!command->has_command) {
		command->has_command = true;
		command->is_replay = strcmp(arg, "replay") == 0;
		if (!command->is_replay && strcmp(arg, "search") != 0)
			argp_error(state,
			    "command \"%s\" is not search or "
			    "replay",
			    arg);
	} else if (command->is_replay && !command->has_seed) {
		command->has_seed = true;
		command->seed =
		    (uint64_t)parse_number(state, "seed", arg, 0, INT64_MAX);
	} else {
		argp_error(state, "unexpected argument \"%s\"", arg);
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct command *command = state->input;
	struct srh_options *search = &command->search;
	struct sop *fleet = &search->fleet;

	switch (key) {
	case KEY_SEEDS:
		search->n_seeds =
		    (uint64_t)parse_number(state, "--seeds", arg, 1, MAX_SEEDS);
		return 0;
	case KEY_FIRST:
		search->first_seed = (uint64_t)parse_number(
		    state, "--first", arg, 0, INT64_MAX - MAX_SEEDS);
		return 0;
	case KEY_FINDINGS:
		search->max_findings = (uint32_t)parse_number(
		    state, "--findings", arg, 0, MAX_SEEDS);
		return 0;
	case KEY_TASK:
		command->task = arg;
		return 0;
	case KEY_SHORTEST:
		command->shortest = true;
		return 0;
	case KEY_ENTRIES:
		fleet->n_entries = (uint32_t)parse_number(
		    state, "--entries", arg, 1, MAX_ENTRIES);
		return 0;
	case KEY_AGENTS:
		fleet->n_agents = (uint32_t)parse_number(
		    state, "--agents", arg, 1, MAX_AGENTS);
		return 0;
	case KEY_CALLERS:
		fleet->n_callers = (uint32_t)parse_number(
		    state, "--callers", arg, 1, MAX_CALLERS);
		return 0;
	case KEY_DURATION:
		fleet->duration_ms = parse_number(
		    state, "--duration", arg, MIN_DURATION_MS, MAX_DURATION_MS);
		return 0;
	case KEY_MUTANT:
		fleet->mutant = parse_mutant(state, arg);
		return 0;
	case KEY_ROOMS:
		fleet->rooms = true;
		return 0;
	case KEY_ELSEWHERE:
		fleet->elsewhere = true;
		return 0;
	case KEY_CANCELS:
		fleet->cancels = true;
		return 0;
	case ARGP_KEY_ARG:
		parse_argument(command, arg, state);
		return 0;
	case ARGP_KEY_END:
		if (!command->has_command)
			argp_error(state, "no command: search or replay");
		if (command->is_replay && !command->has_seed)
			argp_error(state, "replay needs a seed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
search(const struct srh_options *opts)
{
	int64_t start_us = g_get_monotonic_time();
	struct srh_result result = srh_search(opts);
	double seconds =
	    (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;

	printf("%" PRIu64 " seeds from %" PRIu64
	       ", %u broke a rule; %.1f s, %.0f fleets a minute\n"
	       "%" PRIu64 " jobs, %" PRIu64 " answered with 200; %" PRIu64
	       " events\n",
	    result.n_run, opts->first_seed, result.n_findings, seconds,
	    (double)result.n_run * 60 / seconds, result.n_jobs,
	    result.n_completed, result.n_events);
	return result.n_findings == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
replay(const struct command *command)
{
	const struct sop *opts = &command->search.fleet;
	g_autoptr(GArray) faults = spl_make(command->seed, opts);
	struct sfl_result result = sfl_run(command->seed, opts, faults, true);

	if (command->shortest && result.violation.rule != SCK_KEPT) {
		g_array_unref(faults);
		faults = srh_shrink(command->seed, opts, result.violation.rule);
		result = sfl_run(command->seed, opts, faults, true);
	}
	sck_print_story(stdout,
	    command->task != NULL ? command->task : result.violation.task,
	    MAX_STORY_LINES);
	printf("rule broken: %s\n", sck_rule_name(result.violation.rule));
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    options, parse_option, args_doc, doc, NULL, NULL, NULL};
	struct command command = {
	    .search =
		{
		    .fleet = SOP_DEFAULTS,
		    .first_seed = 1,
		    .n_seeds = DEFAULT_SEEDS,
		    .max_findings = DEFAULT_FINDINGS,
		    .out = stdout,
		},
	};

	argp_parse(&argp, argc, argv, 0, NULL, &command);
	return command.is_replay ? replay(&command) : search(&command.search);
}
