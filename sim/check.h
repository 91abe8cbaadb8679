#ifndef SIM_CHECK_H
#define SIM_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * The rules that every run must keep, and the record of what happened to each
 * task.
 */
enum sck_rule {
	SCK_KEPT,
	SCK_TWICE,   /* two runs of one task at once, on workers that are up */
	SCK_LIMIT,   /* a start over the capacity of its worker */
	SCK_REFUSED, /* a task started although its job was always refused */
	SCK_UNASKED  /* a task started long after its job's cancel */
};

/*
 * SCK_UNASKED counts starts later than SCK_CANCEL_MS after the acknowledgement,
 * when nothing in the fleet was disturbed for SCK_IN_TOUCH_MS.
 */
#define SCK_CANCEL_MS	3000
#define SCK_IN_TOUCH_MS 3000

/* The first rule that was broken. */
struct sck_violation {
	enum sck_rule rule;
	int64_t at_ms;
	char task[64];
	char text[128];
};

/* With recording, notes are kept for sck_print_story(). */
void sck_reset(bool recording);
const char *sck_rule_name(enum sck_rule rule);
const struct sck_violation *sck_violation(void);

/* Records an event of a task or job, or of the whole fleet if name is NULL. */
void sck_note(const char *name, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Prints the last events of the task, of its job and of the fleet. */
void sck_print_story(FILE *to, const char *task, uint32_t max_lines);

/* A submission of the job was sent, or was refused with 429 or 503. */
void sck_submitted(const char *job);
void sck_refused(const char *job);
/* A cancel of the job was acknowledged. */
void sck_cancel_acknowledged(const char *job);
/* Some machine, path or the store is disturbed for this time from now on. */
void sck_disturbed(int64_t lasts_ms);
/* The caller has finished with the job. */
void sck_job_over(const char *job);

/* A run has begun on, or is gone from, a worker that is up. */
void sck_run_started(
    const char *task, uint32_t worker, int64_t used, int64_t capacity);
void sck_run_ended(const char *task);

#endif
