#include <signal.h>
#include <stddef.h>

#include "process/signals.h"

static void
change_mask(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(how, &set, NULL);
}

void
sig_hold_back(void)
{
	change_mask(SIG_BLOCK);
}

void
sig_deliver(void)
{
	change_mask(SIG_UNBLOCK);
}
