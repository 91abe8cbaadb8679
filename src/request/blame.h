#ifndef SP_BLAME_H
#define SP_BLAME_H

#include <stdbool.h>
#include <stdint.h>

#include "request/crashlog.h"

/*
 * What an entry knows of workers that crashed, from the reports of all agents:
 * which tasks were active at each crash, and how much of it each task and each
 * queue is to blame for.  Holds no sockets and reads no clock.
 */
struct blm;

/* What may be done with a task. */
enum blm_status {
	BLM_CLEAR,   /* not suspected */
	BLM_SUSPECT, /* to be started on few workers only */
	BLM_PENDING, /* not to be started until its crashes are settled */
	BLM_POISON   /* it crashes its workers: not to be started again */
};

struct blm *blm_new(void);
/* NULL is allowed. */
void blm_free(struct blm *blm);

/* Takes a report of an agent; one of a known crash changes its state. */
void blm_report(struct blm *blm, const char *agent,
    const struct crl_crash *crash, int64_t now_ms);
/* The task was done, so that it is no cause of a crash. */
void blm_record_done(struct blm *blm, const char *task);

/* Whether any crash is known. */
bool blm_is_needed(const struct blm *blm);
enum blm_status blm_status_of(
    struct blm *blm, const char *task, int64_t now_ms);
/*
 * Recent crashes, those of several workers at one moment counted as one, and
 * how many of them tasks of one queue are expected to have caused.
 */
struct blm_share {
	double caused;
	double all;
};

/* Counts crashes since a time, but at most those of the last ten seconds. */
struct blm_share blm_share_of(
    struct blm *blm, const char *queue, int64_t since_ms, int64_t now_ms);

#endif
