#ifndef SP_WORKERPORT_H
#define SP_WORKERPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/work.h"

/*
 * Interface to the worker beside an agent: start and stop a run, and "hold",
 * which renews the lease of all runs and waits for a report.  Every call runs
 * its callback exactly once from the main loop.
 */
enum wp_verdict {
	WP_DONE,      /* executed */
	WP_STALE_RUN, /* refused: run number not above those of past runs */
	WP_DEADLINE_PASSED, /* refused: the deadline of the call has passed */
	WP_FENCED,   /* refused: the worker has seen a higher fencing token */
	WP_REFUSED,  /* refused for another reason */
	WP_REPLACED, /* refused by another incarnation of the worker */
	WP_NO_ANSWER /* may have been executed, or may still be */
};

struct wp_answer {
	enum wp_verdict verdict;
	int64_t clock_ms; /* the worker's clock, 0: not in the answer */
	const char *reason;
};

/* The worker incarnation that a call is addressed to. */
struct wp_target {
	const char *address; /* "ip:port" */
	const char *instance;
	int64_t token;	    /* fencing token */
	int64_t timeout_ms; /* of the answer, in addition to wp_hold.wait_ms */
};

struct wp_start {
	const char *task;
	GBytes *spec;
	int64_t run; /* number, increases with every start */
	/* Worker's clock; latest time of the start, new end of the lease. */
	int64_t deadline_ms;
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
	int64_t percent; /* progress */
};

struct wp_ended {
	int64_t number; /* sequence number, assigned by the worker */
	const char *task;
	int64_t run;
	enum wp_end_kind end_kind;
};

/* Arrays are valid during the callback only. */
struct wp_report {
	struct wp_answer answer;
	uint64_t born_ms; /* start of the incarnation, 0: not in the answer */
	const struct wp_running *running;
	size_t n_running;
	const struct wp_ended *ended;
	size_t n_ended;
};

/*
 * What is to be done with the lease, which applies to all runs.  Where runs
 * differ, the last of these values that one asks for counts.
 */
enum wp_lease {
	WP_LEASE_UNNEEDED, /* no run needs it */
	WP_LEASE_RENEW,
	WP_LEASE_PAUSE,	  /* not to be renewed now; its time goes on */
	WP_LEASE_WITHHOLD /* it must expire, also under runs that need it */
};

struct wp_hold {
	int64_t deadline_ms; /* new lease, worker's clock; 0: unchanged */
	int64_t last_end;    /* ends up to this number are not reported again */
	int64_t wait_ms;     /* longest wait for the end of a run */
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

/*
 * Limits of what a worker says of itself.  Sums of sizes and of times below
 * them do not overflow.
 */
#define WP_ID_MAX_BYTES	  128
#define WP_NAME_MAX_BYTES 256
#define WP_LABELS_MAX	  64
#define WP_SIZE_MAX	  INT64_C(1000000000)
#define WP_BORN_MAX_MS	  INT64_C(4102444800000) /* the year 2100 */
#define WP_COUNT_MAX	  (INT64_C(1) << 53)

/* The worker's description of itself in its heartbeats. */
struct wp_worker {
	const char *instance;
	uint64_t born_ms; /* start of the incarnation */
	int64_t
	    clock_ms; /* the worker's clock at this heartbeat, -1: unknown */
	int64_t seq;  /* of the heartbeat */
	const char *service;
	const char *address;
	const char *failure_domain;
	bool draining;
	struct wk_size capacity;
	const char *const *labels;
	size_t n_labels;
};

/*
 * Whether text may be the id of a worker.  Its characters are restricted, since
 * ids are copied into headers and logs.
 */
bool wp_id_is_valid(const char *text);
/*
 * Whether both descriptions are the same for those who start tasks: service,
 * failure domain, capacity, labels and draining.
 */
bool wp_worker_serves_as(
    const struct wp_worker *worker, const struct wp_worker *other);
/* A copy that owns its strings. */
struct wp_worker *wp_worker_copy(const struct wp_worker *worker);
/* NULL is allowed. */
void wp_worker_free(struct wp_worker *worker);

#endif
