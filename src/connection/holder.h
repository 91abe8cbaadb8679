#ifndef SP_HOLDER_H
#define SP_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"
#include "process/status.h"

/*
 * Holds the lease under which one worker runs the agent's tasks: renews it,
 * polls the worker for runs that ended, and detects that the worker was
 * replaced, stopped answering or answers again.  The lease is renewed only
 * while this process runs, so the worker itself ends the runs of an agent
 * that crashed, was suspended or lost its network.
 */
struct hold;

/*
 * Upper limit of the lease, also when the worker grants a longer one: tasks on
 * a worker that stopped answering are restarted only after the lease expired.
 */
#define HOLD_MAX_LEASE_MS 500

/* Why no run is active on the worker any more. */
enum hold_loss {
	HOLD_SILENT,   /* it does not answer and its lease has ended */
	HOLD_REPLACED, /* another incarnation has taken its place */
	HOLD_LEFT      /* it was deregistered and has ended */
};

struct hold_lost {
	enum hold_loss why;
	uint64_t incarnation; /* that the runs were active on */
	int64_t heard_ms;     /* time of its last answer to any call */
};

struct hold_options {
	const struct wp *wp; /* borrowed */
	int64_t lease_ms;    /* longest lease that the worker grants */
	int64_t token; /* fencing token, above that of any earlier agent */
	int64_t
	    statement_ms; /* longest age of what the worker says of itself */
	/*
	 * What is to be done with the lease.  Polls renew it as long as a run
	 * needs it; starts do so too unless it is paused or withheld.
	 */
	enum wp_lease (*lease)(void *ctx);
	/*
	 * A report of the worker, for the request sent at sent_ms.  Reports may
	 * arrive in another order than they were requested.
	 */
	void (*report)(
	    const struct wp_report *report, int64_t sent_ms, void *ctx);
	/* None of the runs started so far is active; outcomes are unknown. */
	void (*runs_lost)(const struct hold_lost *lost, void *ctx);
	/*
	 * The worker has described itself; it may have taken the place of
	 * another one.  worker is valid during the call.
	 */
	void (*described)(const struct wp_worker *worker, void *ctx);
	/* The worker was deregistered and has ended. */
	void (*left)(const char *instance, void *ctx);
	/* The worker, or the value of hold_is_ready(), has changed. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct hold *hold_new(const struct hold_options *opts);
void hold_free(struct hold *hold);

/* Sends no call and ignores pending answers from then on. */
void hold_close(struct hold *hold);
/*
 * Processes a heartbeat.  It takes effect, which described() reports, once the
 * worker's answers bear it out; one older than the last one, or of a former
 * incarnation, does not.
 */
void hold_heartbeat(struct hold *hold, const struct wp_worker *worker);
/*
 * Processes an earlier statement from another source, unless another worker is
 * followed.  The worker's answers have to bear it out as well.
 */
void hold_suggest(struct hold *hold, const struct wp_worker *worker);
/*
 * Processes a deregistration.  The worker gets no starts until it is settled
 * whether it has ended, which is reported by left(), or whether the
 * deregistration was that of a former incarnation.  Returns false, without
 * effect, if this is not the current worker.
 */
bool hold_worker_left(struct hold *hold, const char *instance);
/* To be called periodically; detects timeouts and an expired lease. */
void hold_tick(struct hold *hold);
/* Requests a report at once, besides the long poll that is in progress. */
void hold_request_report(struct hold *hold);

/*
 * Whether starts may be sent: the worker answers, and no run of an earlier
 * agent process, or reported as lost, is left on it.
 */
bool hold_is_ready(const struct hold *hold);
/*
 * Whether the worker has described itself within statement_ms, by its own clock.
 * Its capacity, labels, service and state may have changed since an older
 * description, or since one of unknown age.
 */
bool hold_is_stated(const struct hold *hold);
/* The worker's clock at its last description, -1: unknown. */
int64_t hold_stated_ms(const struct hold *hold);
/*
 * Whether starts are to be sent, or sent again, at present.  They are not if a
 * call got no answer and none was answered lately: the worker may have crashed,
 * and its next incarnation would carry them out.  Nor are they while runs of a
 * former worker remain to be reported as lost.
 */
bool hold_is_answering(const struct hold *hold);
/* The worker's start time, which identifies its incarnation; 0: no worker. */
uint64_t hold_incarnation(const struct hold *hold);
void hold_start(struct hold *hold, const char *task, GBytes *spec, int64_t run,
    wp_answer_fn fn, void *ctx);
void hold_stop(struct hold *hold, const char *task, int64_t run,
    wp_answer_fn fn, void *ctx);

#endif
