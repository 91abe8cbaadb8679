#ifndef SP_DAEMON_H
#define SP_DAEMON_H

#include "sequoiaplank.h"

typedef enum sp_result (*dmn_fn)(const char *path, struct sp_error *error);

struct dmn_options {
	const char *name;
	const char *doc; /* description in --help */
	dmn_fn check;
	dmn_fn run;
};

/*
 * Parses the command line, calls check() or run() with the settings file and
 * returns the exit status for main().
 */
int dmn_main(const struct dmn_options *opts, int argc, char **argv);

#endif
