#ifndef SP_SIGNALS_H
#define SP_SIGNALS_H

/*
 * The signals with which an operator stops or reloads a process: SIGTERM,
 * SIGINT and SIGHUP.  A process holds them back from its first instructions
 * until its main loop can handle them; before, they would end it at once.
 */

/* To be called first in main(), before any thread is started. */
void sig_hold_back(void);
/* To be called by the same thread, once all three have handlers. */
void sig_deliver(void);

#endif
