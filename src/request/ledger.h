#ifndef SP_LEDGER_H
#define SP_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "request/work.h"

/*
 * The agent's record of what its worker runs, what is being stopped and what
 * may still start, and the queue of starts that wait for room.  A start whose
 * outcome is unknown keeps its room until the worker has refused it for good
 * or has ended it.  Holds no sockets and reads no clock.
 */
struct led;

/* A start as an entry asked for it; strings are copied. */
struct led_start {
	uint64_t session;
	uint64_t seq;
	const char *task;
	const char *spec;
	struct wk_size size;
	uint32_t priority;
	int64_t expected_ms; /* run time here, 0: unknown */
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
	int64_t run_ms; /* as run, or projected when stalled; 0: unknown */
	const char *reason;
	const char *task;
	int64_t run;
};

struct led_options {
	uint32_t max_queue;
	/* Whether a start may be sent now; reason is set when not. */
	bool (*may_start)(uint64_t session, const char **reason, void *ctx);
	/* Calls to the worker; the answers come by led_started/led_stopped. */
	void (*start)(
	    const char *task, const char *spec, int64_t run, void *ctx);
	void (*stop)(const char *task, int64_t run, void *ctx);
	/* Asks for a report that is newer than this call. */
	void (*request_report)(void *ctx);
	void (*result)(const struct led_result *result, void *ctx);
	void *ctx;
};

struct led *led_new(const struct led_options *opts);
void led_free(struct led *led);

/* Run numbers from now on are above this one. */
void led_set_run_floor(struct led *led, int64_t run);
void led_set_capacity(struct led *led, const struct wk_size *capacity);

/* A refused start gets its result before this returns. */
void led_submit(struct led *led, const struct led_start *start, int64_t now_ms);
void led_cancel(
    struct led *led, uint64_t session, uint64_t seq, int64_t now_ms);
/* Drops the queue of the session, stops its runs and forgets its results. */
void led_end_session(struct led *led, uint64_t session, int64_t now_ms);
/* Returns every queued start as not started. */
void led_return_queue(struct led *led, const char *reason, int64_t now_ms);
/* Starts what can start. */
void led_start_queued(struct led *led, int64_t now_ms);
/* Repeats stops without an answer and expires the queue. */
void led_tick(struct led *led, int64_t now_ms);

void led_started(struct led *led, int64_t run, const struct wp_answer *answer,
    int64_t now_ms);
void led_stopped(
    struct led *led, int64_t run, enum wp_verdict verdict, int64_t now_ms);
/* A report of the worker that was asked for at sent_ms. */
void led_report(struct led *led, const struct wp_report *report,
    int64_t sent_ms, int64_t now_ms);
/* The worker runs nothing any more: it was replaced or its lease ran out. */
void led_worker_lost(struct led *led, const char *reason, int64_t now_ms);

/* Capacity less everything that runs, may run or is queued. */
void led_room(const struct led *led, struct wk_size *room);
uint32_t led_queued(const struct led *led);
/* Runs that hold room. */
uint32_t led_active(const struct led *led);

#endif
