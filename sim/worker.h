#ifndef SIM_WORKER_H
#define SIM_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "sim/loop.h"
#include "sim/options.h"

/*
 * The workers, as PROTOCOL.md describes them: leases on a clock up to 2% slow,
 * run numbers that a stop or an end seals, a fencing token, ends that are
 * listed until they are acknowledged.  A call may be executed late, or get no
 * answer.  There is one worker beside each agent.
 */

#define SWK_SERVICE "service"
/* Thousandths of a core. */
#define SWK_CAPACITY_MILLI 4000
/* Longest interval of a worker's heartbeats. */
#define SWK_HEARTBEAT_MAX_MS 500

/* How a crashed worker returns. */
enum swk_rebirth {
	SWK_SAME_ID,
	SWK_OTHER_ID,
	SWK_OTHER_ADDRESS, /* and another id */
	SWK_N_REBIRTHS
};

/* Sends a heartbeat to the agent of the worker. */
typedef void (*swk_heartbeat_fn)(
    uint32_t index, const struct wp_worker *worker, int64_t delay_ms);

void swk_reset(const struct sop *opts, swk_heartbeat_fn heartbeat);
void swk_start_all(void);

/* The worker as one agent process calls it. */
struct wp *swk_port_new(uint32_t index, struct slp_proc *agent);
/* Leaves every call unanswered, and frees the port. */
void swk_port_free(struct wp *port);

/* Text of the spec of a task that runs for this time on this much. */
char *swk_spec(int64_t run_ms, int64_t cpu_milli);

/* Faults; until_ms is their end. */
void swk_crash(uint32_t index, int64_t back_ms, enum swk_rebirth rebirth);
/* Executes this share of the calls late, by up to max_delay_ms. */
void swk_delay_calls(
    uint32_t index, int64_t until_ms, int64_t max_delay_ms, int percent);
void swk_lose_answers(uint32_t index, int64_t until_ms);
/* Executes no call until then, and heartbeats stop. */
void swk_silence(uint32_t index, int64_t until_ms);
/* The capacity from now on. */
void swk_set_capacity(uint32_t index, int64_t cpu_milli);
/* Stops take this long. */
void swk_slow_stops(uint32_t index, int64_t until_ms, int64_t stop_ms);
/* Repeats the present heartbeat after this time. */
void swk_repeat_heartbeat(uint32_t index, int64_t delay_ms);

#endif
