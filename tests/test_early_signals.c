/*
 * Signals in the first moments of a process, which found no handler: SIGTERM
 * ended it with status 143, and SIGHUP ended it too.
 */
#include <signal.h>

#include "deployment.h"
#include "runner.h"

#define TRIES 20

/* Delays after the start of the program. */
static const int rows_ms[] = {0, 1, 2, 5, 10, 30};

static struct hn_proc *
start_agent(void)
{
	const char *path = hn_write("agent.json",
	    hn_str("{\"name\":\"a\",\"failure_domain\":\"z\","
		   "\"listen\":\"127.0.0.1:%u\",\"worker_listen\":"
		   "\"127.0.0.1:%u\",\"store\":\"127.0.0.1:%u\"}",
		hn_port(), hn_port(), hn_port()));

	return hn_start("spjobd",
	    (const char *const[]){"spjobd", "agent", "--settings", path, NULL});
}

START_TEST(early_signals_are_handled)
{
	int i;

	for (i = 0; i < TRIES; i++) {
		struct hn_proc *proc = start_agent();

		hn_sleep(rows_ms[_i]);
		hn_signal(proc, SIGHUP);
		hn_sleep(rows_ms[_i]);
		hn_signal(proc, SIGTERM);
		ck_assert_msg(hn_wait_exit(proc, HN_LIMIT_MS) == 0,
		    "%d ms, try %d", rows_ms[_i], i);
	}
	hn_finish();
}
END_TEST

int
main(void)
{
	return run_table("early_signals", early_signals_are_handled,
	    sizeof(rows_ms) / sizeof(rows_ms[0]), 2 * HN_LIMIT_MS / 1000.0);
}
