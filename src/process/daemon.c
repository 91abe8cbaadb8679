#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/daemon.h"
#include "process/signals.h"

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

int
dmn_main(const struct dmn_options *opts, int argc, char **argv)
{
	const struct argp parser = {
	    .options = options,
	    .parser = parse_option,
	    .doc = opts->doc,
	};
	struct arguments args = {0};
	struct sp_error error;
	enum sp_result result;
	char version[64];

	sig_hold_back();
	signal(SIGHUP, SIG_IGN); /* settings are read at the start only */
	snprintf(version, sizeof(version), "%s %s", opts->name, sp_version());
	argp_program_version = version;
	argp_parse(&parser, argc, argv, 0, NULL, &args);
	result = args.check ? opts->check(args.settings, &error)
			    : opts->run(args.settings, &error);
	if (result == SP_OK)
		return EXIT_SUCCESS;
	fprintf(stderr, "%s: %s\n", opts->name, error.message);
	return EXIT_FAILURE;
}
