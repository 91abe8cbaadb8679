#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cases.h"

/* A case takes less than 120 s. */
#define MAX_S 112

static void
on_alarm(int signal)
{
	(void)signal;
	_exit(RIG_NOT_RUN); /* the processes end with their parent */
}

static const struct {
	const char *name;
	void (*run)(void);
	int64_t (*delay_ms)(void); /* of the first entry's link, or NULL */
} cases[] = {
    {"chunked-body", case_chunked_body, NULL},
    {"late-deregistration", case_late_deregistration, NULL},
    {"cancelled-elsewhere", case_cancelled_elsewhere, NULL},
    {"late-stop", case_late_stop, NULL},
    {"foreign-heartbeat", case_foreign_heartbeat, NULL},
    {"cut-spec", case_cut_spec, NULL},
    {"slow-link", case_slow_link, slow_link_delay_ms},
};

/* rig CASE FOLDER, in the root of the repository */
int
main(int argc, char **argv)
{
	const char *value = getenv("TROUBLE");
	enum rig_exit code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (argc == 3 && strcmp(argv[1], cases[i].name) == 0)
			break;
	}
	if (i == G_N_ELEMENTS(cases)) {
		fprintf(stderr, "usage: rig CASE FOLDER\n");
		return RIG_NOT_RUN;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(MAX_S);
	trouble = value == NULL || strcmp(value, "0") != 0;
	rec_open(argv[2]);
	rec_line("case %s, %s the disruption", cases[i].name,
	    trouble ? "with" : "without");
	nodes_delay_ms = cases[i].delay_ms;
	nodes_start();
	cases[i].run();
	code = rec_n_broken() > 0 ? RIG_BROKEN : RIG_HELD;
	rec_close(code);
	nodes_end();
	return code;
}
