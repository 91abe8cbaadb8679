#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/agent.h"
#include "process/log.h"

const char *argp_program_version = "spagentd 0.1.0";

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
    .doc = "Authorises and performs every start of a task at the endpoint "
	   "beside it.",
};

static int
serve(const struct set_agent *set)
{
	struct agent *agent;
	struct status st;
	bool clean;

	agent = agent_new(set, &st);
	if (agent == NULL) {
		log_line(LOG_ERR, "%s", st.message);
		return EXIT_FAILURE;
	}
	log_line(LOG_NOTICE, "worker %s in %s serves at %s", set->worker,
	    set->failure_domain, set->listen);
	clean = agent_run(agent);
	agent_free(agent);
	return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct arguments args = {0};
	struct set_agent *set;
	struct status st;
	int code = EXIT_SUCCESS;

	argp_parse(&parser, argc, argv, 0, NULL, &args);
	signal(SIGPIPE, SIG_IGN);
	log_open("spagentd", LOG_INFO);
	set = set_agent_load(args.settings, &st);
	if (set == NULL) {
		fprintf(stderr, "spagentd: %s\n", st.message);
		return EXIT_FAILURE;
	}
	log_open("spagentd", log_level_parse(set->log_level));
	if (!args.check)
		code = serve(set);
	set_agent_free(set);
	return code;
}
