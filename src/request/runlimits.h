#ifndef SP_RUNLIMITS_H
#define SP_RUNLIMITS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits on what an agent holds for its worker: runs, queued starts and calls.
 * Load condition: tasks so small that the worker's capacity admits thousands of
 * them.  Also keeps places for other sessions while one could take them all.
 * Holds no sockets and reads no clock.
 */
struct rlm;

struct rlm_options {
	uint32_t max_runs;	     /* that hold capacity */
	uint32_t max_calls;	     /* open starts, and as many open stops */
	uint32_t max_queued;	     /* starts, of all sessions */
	uint32_t max_session_queued; /* starts, of one session */
};

/* Why a start can't be sent to the worker now. */
enum rlm_verdict {
	RLM_MAY_START,
	RLM_SESSION_FULL, /* starts of other sessions may be sent */
	RLM_FULL
};

/* Those of an agent; 0: the default. */
struct rlm_options rlm_defaults(uint32_t max_runs, uint32_t max_queued);

struct rlm *rlm_new(const struct rlm_options *opts);
void rlm_free(struct rlm *rlm);

/* A start has arrived; returns whether it may be queued. */
bool rlm_receive(struct rlm *rlm, uint64_t session);
void rlm_queue(struct rlm *rlm, uint64_t session);
void rlm_unqueue(struct rlm *rlm, uint64_t session);
void rlm_begin_run(struct rlm *rlm, uint64_t session);
void rlm_end_run(struct rlm *rlm, uint64_t session);
/* The session's connection has ended; its runs may go on for a while. */
void rlm_end_session(struct rlm *rlm, uint64_t session);

/* Whether a queued start of the session may become a run now. */
enum rlm_verdict rlm_check_start(const struct rlm *rlm, uint64_t session);
/* Whether all places, or those of the session, are taken. */
bool rlm_lacks_place(const struct rlm *rlm, uint64_t session);
/*
 * How many starts the session's entry may have sent in all, if n_sessions share
 * the queue.
 */
uint64_t rlm_start_limit(
    const struct rlm *rlm, uint64_t session, uint32_t n_sessions);

bool rlm_may_call_start(const struct rlm *rlm);
void rlm_start_called(struct rlm *rlm);
void rlm_start_answered(struct rlm *rlm);
bool rlm_may_call_stop(const struct rlm *rlm);
void rlm_stop_called(struct rlm *rlm);
void rlm_stop_answered(struct rlm *rlm);

#endif
