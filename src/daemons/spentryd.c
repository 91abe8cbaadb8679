#include "process/daemon.h"

int
main(int argc, char **argv)
{
	const struct dmn_options opts = {
	    .name = "spentryd",
	    .doc = "Serves callers, owns their submissions and places tasks "
		   "on agents.",
	    .check = sp_entry_check,
	    .run = sp_entry_run,
	};

	return dmn_main(&opts, argc, argv);
}
