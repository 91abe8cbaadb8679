#ifndef SIM_LOOP_H
#define SIM_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Virtual main loop of all simulated processes, in place of GLib's and of the
 * clock: the programs are linked with --wrap for g_timeout_add() and its like.
 * Time advances from one event to the next.
 */

/* A simulated process, which owns timers, input and answers. */
struct slp_proc;

typedef void (*slp_fn)(void *data);

/* What happens first when a process continues after a pause. */
enum slp_order { SLP_BY_TIME, SLP_TIMERS_FIRST, SLP_INPUT_FIRST };

/* Drops all events and processes, and starts anew at time 0. */
void slp_reset(void);
int64_t slp_now_ms(void);
uint64_t slp_n_events(void);

/* The clock of a machine, against virtual time. */
struct slp_clock {
	int64_t offset_ms;
	double rate;
};

/* The process reads this clock, and its timers follow it. */
struct slp_proc *slp_proc_new(const struct slp_clock *clock);
/* Drops the events of the process; it must not be used afterwards. */
void slp_kill(struct slp_proc *proc);
void slp_pause(struct slp_proc *proc);
void slp_resume(struct slp_proc *proc, enum slp_order order);
/* The process whose code runs; NULL: the simulation's own. */
struct slp_proc *slp_current(void);
/* Makes a process current and returns the former one. */
struct slp_proc *slp_enter(struct slp_proc *proc);

/*
 * Runs fn in the process at this time, or when it continues after a pause.
 * proc may be NULL: an event outside all processes.  free_data, which may be
 * NULL, runs after fn or when the event is dropped.
 */
void slp_at(struct slp_proc *proc, int64_t at_ms, slp_fn fn, void *data,
    slp_fn free_data);
/* Runs events up to this time, as long as go_on() returns true. */
void slp_run(int64_t until_ms, bool (*go_on)(void *ctx), void *ctx);

#endif
