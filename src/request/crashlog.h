#ifndef SP_CRASHLOG_H
#define SP_CRASHLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * An agent's record of the crashes of its worker: which runs each may have been
 * caused by, and how likely.  It outlives the worker and the entries, which
 * learn it again when they connect.  Holds no sockets and reads no clock.
 */
struct crl;

/* A run that was active when the worker fell silent; strings are copied. */
struct crl_run {
	const char *task;
	const char *queue;
	int64_t sent_ms;
	bool started; /* the worker has confirmed the start */
};

struct crl_suspect {
	char *task;
	char *queue;
	/*
	 * How likely its job is the cause, compared with what is usual for its
	 * queue: half for each moment closer to the crash at which others were
	 * started, since a run that did no harm for longer is less likely the
	 * cause; divided by the mean of that at moments without a crash.
	 */
	uint32_t weight_permille;
	/* False: the worker may have crashed before the start reached it. */
	bool started;
};

enum crl_state {
	CRL_PRESUMED,  /* the worker is silent, which may be a cut */
	CRL_CONFIRMED, /* another incarnation has taken its place */
	CRL_WITHDRAWN  /* the same incarnation answers again */
};

struct crl_crash {
	uint64_t id; /* unique for the agent, also after a restart */
	uint64_t incarnation;
	int64_t crashed_ms; /* about when the worker fell silent */
	enum crl_state state;
	struct crl_suspect *suspects; /* by falling weight */
	size_t n_suspects;
};

/* Ids of crashes are above first_id. */
struct crl *crl_new(uint64_t first_id);
void crl_free(struct crl *crl);

/*
 * Takes note of the runs that are active at a moment without a crash.  To be
 * called regularly.
 */
void crl_sample(
    struct crl *crl, int64_t now_ms, const struct crl_run *runs, size_t n_runs);
/*
 * Records a crash of the incarnation, last heard at heard_ms.  Returns NULL
 * when there is no run, since then no run caused it.
 */
const struct crl_crash *crl_add(struct crl *crl, uint64_t incarnation,
    int64_t heard_ms, const struct crl_run *runs, size_t n_runs);
/*
 * Settles the presumed crash of an incarnation once it answers again or another
 * one is seen.  Returns the crash when its state has changed, or NULL.
 */
const struct crl_crash *crl_settle(
    struct crl *crl, uint64_t current_incarnation, bool is_ready);
/* Forgets crashes before the given time. */
void crl_expire(struct crl *crl, int64_t before_ms);

size_t crl_count(const struct crl *crl);
const struct crl_crash *crl_get(const struct crl *crl, size_t i);

#endif
