#ifndef SP_LEDGER_H
#define SP_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "request/runlimits.h"
#include "request/work.h"

/*
 * An agent's record of its worker's runs, which are starting, running or being
 * stopped, and the queue of starts that wait for free capacity.  A start whose
 * outcome is unknown keeps its capacity until the worker has reported its end,
 * or has confirmed its stop and no longer reports it as running.  Holds no
 * sockets and reads no clock.
 */
struct led;

/* A start requested by an entry; strings are copied, the spec is shared. */
struct led_start {
	uint64_t session; /* connection of the entry */
	uint64_t seq;
	const char *task;
	const char *queue;
	GBytes *spec; /* NULL: none came with the start, which is refused */
	struct wk_size size;
	uint32_t priority;
	int64_t expected_ms; /* run time on this worker, 0: unknown */
	int64_t nominal_ms;  /* run time on any worker of its kind, likewise */
	int64_t start_by_ms;
};

enum led_outcome {
	LED_DONE,
	LED_FAILED,
	LED_NOT_STARTED,
	LED_LOST,
	LED_STALLED /* stopped: no progress, or far too slow */
};

struct led_result {
	uint64_t session;
	uint64_t seq;
	enum led_outcome outcome;
	int64_t run_ms; /* measured, or projected when stalled; 0: unknown */
	int64_t nominal_ms;
	const char *reason;
	const char *task;
	const char *queue;
	int64_t run;
};

/* A run that holds capacity; strings are valid during the call. */
struct led_active_run {
	const char *task;
	const char *queue;
	int64_t sent_ms;
	bool started; /* the worker has confirmed the start */
};

/* Number of starts in each state.  All but the queued ones hold capacity. */
struct led_states {
	uint32_t queued;
	uint32_t starting;   /* sent, may still be answered in time */
	uint32_t unanswered; /* start timed out, a report is awaited */
	uint32_t running;
	uint32_t stopping; /* stop not yet confirmed */
	uint32_t stopped;  /* stop confirmed, end not yet reported */
};

struct led_options {
	struct rlm_options limits;
	/* Whether a start may be sent now; sets reason when it may not. */
	bool (*may_start)(uint64_t session, const char **reason, void *ctx);
	/* Whether the worker has answered calls lately; if not, no start is sent. */
	bool (*worker_answers)(void *ctx);
	/* When the session's entry sent the last message that has arrived. */
	int64_t (*last_sent_ms)(uint64_t session, void *ctx);
	/*
	 * Calls to the worker.  The answer to each goes to led_started() or
	 * led_stopped(), also when there is none in time.
	 */
	void (*start)(const char *task, GBytes *spec, int64_t run, void *ctx);
	void (*stop)(const char *task, int64_t run, void *ctx);
	/* Asks the worker for a report made after this call. */
	void (*request_report)(void *ctx);
	void (*result)(const struct led_result *result, void *ctx);
	void *ctx;
};

struct led *led_new(const struct led_options *opts);
void led_free(struct led *led);

/* Run numbers assigned from now on are above this one. */
void led_set_run_floor(struct led *led, int64_t run);
void led_set_capacity(
    struct led *led, const struct wk_size *capacity, int64_t now_ms);

/* Queues starts.  A refused one gets its result during the call. */
void led_submit(struct led *led, const struct led_start *starts,
    size_t n_starts, int64_t now_ms);
/*
 * How many starts the session's entry may have sent in all, if n_sessions share
 * the queue; see rlm_start_limit().
 */
uint64_t led_start_limit(
    const struct led *led, uint64_t session, uint32_t n_sessions);
/*
 * given_up_ms is the earliest time at which the entry may have given up the
 * start: its job may be sent again 1.3 s later.
 */
void led_cancel(struct led *led, uint64_t session, uint64_t seq,
    int64_t given_up_ms, int64_t now_ms);
/*
 * Returns the session's queued starts as not started and stops its runs.
 * given_up_ms is as for led_cancel().
 */
void led_end_session(
    struct led *led, uint64_t session, int64_t given_up_ms, int64_t now_ms);
/* Returns every queued start as not started. */
void led_return_queue(struct led *led, const char *reason, int64_t now_ms);
/* Starts queued tasks that fit the free capacity, by priority. */
void led_start_queued(struct led *led, int64_t now_ms);
/* Repeats unconfirmed stops and returns queued starts whose time has passed. */
void led_tick(struct led *led, int64_t now_ms);

void led_started(struct led *led, int64_t run, const struct wp_answer *answer,
    int64_t now_ms);
void led_stopped(
    struct led *led, int64_t run, enum wp_verdict verdict, int64_t now_ms);
/* Processes a report that was requested from the worker at sent_ms. */
void led_report(struct led *led, const struct wp_report *report,
    int64_t sent_ms, int64_t now_ms);
/*
 * Ends every run as lost and returns the queue: the worker was replaced or its
 * lease has expired.
 */
void led_worker_lost(struct led *led, const char *reason, int64_t now_ms);

/*
 * Whether the worker's lease is to be renewed.  It is withheld while a run does
 * not end that its entry has given up: the job may be sent again soon, and the
 * end of the lease is the only way left to end the run.  It is paused while the
 * entry of a run is silent, since that may have given up the run.
 */
enum wp_lease led_lease(const struct led *led, int64_t now_ms);

/* Capacity less that of active runs and queued starts; may be negative. */
void led_room(const struct led *led, struct wk_size *room);
uint32_t led_queued(const struct led *led);
/* Whether a queued start waits although the capacity would do. */
bool led_waits_for_place(const struct led *led);
/* Number of runs that hold capacity. */
uint32_t led_active(const struct led *led);
void led_count_states(const struct led *led, struct led_states *states);
/* The queue of an active run, NULL if there is none with the number. */
const char *led_queue_of(const struct led *led, int64_t number);
/* Calls fn for each active run, in no order. */
void led_each_active(const struct led *led,
    void (*fn)(const struct led_active_run *run, void *ctx), void *ctx);

#endif
