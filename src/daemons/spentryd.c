#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "process/entry.h"
#include "process/log.h"

const char *argp_program_version = "spentryd 0.1.0";

struct arguments {
	const char *settings;
	bool check;
};

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "Read the settings from FILE", 0},
    {"check", 'c', NULL, 0, "Check the settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 's':
		args->settings = arg;
		return 0;
	case 'c':
		args->check = true;
		return 0;
	case ARGP_KEY_END:
		if (args->settings == NULL)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Serves callers, owns their submissions and places tasks on "
	   "agents.",
};

/* Agents and callers need more descriptors than the usual soft limit. */
static void
raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int
serve(const struct set_entry *set)
{
	struct entry *entry;
	struct status st;
	bool clean;

	entry = entry_new(set, &st);
	if (entry == NULL) {
		log_line(LOG_ERR, "%s", st.message);
		return EXIT_FAILURE;
	}
	log_line(LOG_NOTICE, "entry %s in %s serves callers at %s", set->name,
	    set->failure_domain, set->listen);
	clean = entry_run(entry);
	entry_free(entry);
	return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arguments args = {0};
	struct set_entry *set;
	struct status st;
	int code = EXIT_SUCCESS;

	argp_parse(&parser, argc, argv, 0, NULL, &args);
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	log_open("spentryd", LOG_INFO);
	set = set_entry_load(args.settings, &st);
	if (set == NULL) {
		fprintf(stderr, "spentryd: %s\n", st.message);
		return EXIT_FAILURE;
	}
	log_open("spentryd", log_level_parse(set->log_level));
	if (!args.check)
		code = serve(set);
	set_entry_free(set);
	return code;
}
