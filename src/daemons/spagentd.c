#include "process/daemon.h"

int
main(int argc, char **argv)
{
	const struct dmn_options opts = {
	    .name = "spagentd",
	    .doc = "Authorises and performs every start of a task at the "
		   "endpoint beside it.",
	    .check = sp_agent_check,
	    .run = sp_agent_run,
	};

	return dmn_main(&opts, argc, argv);
}
