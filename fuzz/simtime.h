#ifndef FUZZ_SIMTIME_H
#define FUZZ_SIMTIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Simulated time: replaces the library's clock, and the timers of GLib by means
 * of the linker's --wrap.
 */

/* Drops all timers and sets the clock. */
void sim_reset(int64_t now_ms);
/* Runs the timers that are due in the next ms milliseconds. */
void sim_advance(int64_t ms);
/* Moves the clock only, as if the process were stopped. */
void sim_skip(int64_t ms);
/* Advances to the next timer and runs it; false if there is none. */
bool sim_run_next(void);
bool sim_has_timer(void);

#endif
