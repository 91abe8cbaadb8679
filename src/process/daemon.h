#ifndef SP_DAEMON_H
#define SP_DAEMON_H

#include "sequoiaplank.h"

typedef enum sp_result (*dmn_fn)(const char *path, struct sp_error *error);

struct dmn_options {
	const char *name;
	const char *doc; /* one sentence for --help */
	dmn_fn check;
	dmn_fn run;
};

/* Parses the command line, runs one of the functions; the exit status. */
int dmn_main(const struct dmn_options *opts, int argc, char **argv);

#endif
