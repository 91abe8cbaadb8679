#ifndef SP_CHOICE_H
#define SP_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "request/jobtask.h"
#include "request/workerset.h"

/*
 * Chooses a worker for a task, by the time at which it is expected to finish
 * there.  Holds no sockets and reads no clock.
 */
struct chc;

struct chc_options {
	double cross_rack_factor; /* on run times outside a preferred rack */
	/*
	 * Where the search for a worker begins, so that entries with the same
	 * reports do not choose the same of several equal workers.
	 */
	uint32_t scan_offset;
	/*
	 * Tasks wait for a faster kind of worker when their job would be late
	 * on the others, and leave scarce fast workers to them.
	 */
	bool by_kind;
};

/* workers is borrowed. */
struct chc *chc_new(const struct wks *workers, const struct chc_options *opts);
void chc_free(struct chc *chc);

/* To be called before the first choice of a placement pass. */
void chc_begin_pass(struct chc *chc);
/*
 * Returns NULL when no worker can take the task now.  *held is then set to
 * whether the task waits for a faster kind of worker, as will all ready tasks of
 * its job.
 */
struct wks_worker *chc_choose(
    struct chc *chc, const struct jt_task *task, int64_t now_ms, bool *held);
/* The task was sent to the worker. */
void chc_record_sent(struct chc *chc, const struct jt_task *task,
    const struct wks_worker *worker);
/*
 * Run time expected on the worker; the agent stops a run that needs
 * PGR_SLOW_FACTOR times as long.
 */
int64_t chc_expected_ms(const struct jt_task *task, const struct wks_worker *w);
/* Run time that any worker of this one's kind should need. */
int64_t chc_nominal_ms(const struct chc *chc, const struct jt_task *task,
    const struct wks_worker *w);

#endif
