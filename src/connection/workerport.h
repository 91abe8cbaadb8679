#ifndef SP_WORKERPORT_H
#define SP_WORKERPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/work.h"

/*
 * What an agent asks of the worker beside it.  Every call runs its callback
 * exactly once from the main loop.
 */
enum wp_verdict {
	WP_DONE,      /* carried out */
	WP_STALE_RUN, /* refused: the run number is not higher than a past one */
	WP_DEADLINE_PASSED, /* refused: the deadline of the call has passed */
	WP_FENCED,	    /* refused: another agent has a higher token */
	WP_REFUSED,	    /* refused for another reason; nothing was done */
	WP_REPLACED,	    /* another incarnation answered; nothing was done */
	WP_NO_ANSWER	    /* may have been carried out, now or later */
};

struct wp_answer {
	enum wp_verdict verdict;
	int64_t clock_ms; /* of the worker, 0: not told */
	const char *reason;
};

/* A call names the incarnation that it is meant for. */
struct wp_target {
	const char *address; /* "ip:port" */
	const char *instance;
	int64_t token;
	int64_t timeout_ms; /* of the answer, beyond the wait of a hold */
};

struct wp_start {
	const char *task;
	const char *spec;
	int64_t run;
	int64_t deadline_ms; /* worker's clock; also extends its lease */
};

enum wp_end_kind {
	WP_ENDED_DONE,
	WP_ENDED_FAILED,
	WP_ENDED_STOPPED,
	WP_ENDED_LEASE_EXPIRED
};

struct wp_running {
	const char *task;
	int64_t run;
	int64_t percent;
};

struct wp_ended {
	int64_t number;
	const char *task;
	int64_t run;
	enum wp_end_kind end_kind;
};

/* Arrays are valid during the callback only. */
struct wp_report {
	struct wp_answer answer;
	uint64_t born_ms; /* 0: not told */
	const struct wp_running *running;
	size_t n_running;
	const struct wp_ended *ended;
	size_t n_ended;
};

struct wp_hold {
	int64_t deadline_ms; /* worker's clock, 0: no extension */
	int64_t last_end;    /* ends up to this number were processed */
	int64_t wait_ms;     /* for an end */
};

typedef void (*wp_answer_fn)(const struct wp_answer *answer, void *ctx);
typedef void (*wp_report_fn)(const struct wp_report *report, void *ctx);

struct wp {
	void *port;
	void (*start)(void *port, const struct wp_target *target,
	    const struct wp_start *start, wp_answer_fn fn, void *ctx);
	void (*stop)(void *port, const struct wp_target *target,
	    const char *task, int64_t run, wp_answer_fn fn, void *ctx);
	void (*hold)(void *port, const struct wp_target *target,
	    const struct wp_hold *hold, wp_report_fn fn, void *ctx);
};

/* The worker as it describes itself in its heartbeats. */
struct wp_worker {
	const char *instance;
	uint64_t born_ms;
	int64_t seq;
	const char *service;
	const char *address;
	const char *failure_domain;
	bool draining;
	struct wk_size capacity;
	const char *const *labels;
	size_t n_labels;
};

#endif
