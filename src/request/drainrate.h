#ifndef SP_DRAINRATE_H
#define SP_DRAINRATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How much work of a service an entry can place in a time, measured while tasks
 * wait.  Addresses sustained overload: how long a new job will wait is told by
 * the work before it and this rate, not by how long others have waited.  Work
 * is in thousandths of a core times milliseconds.  Plain data,
 * zero-initialised; reads no clock.
 */
struct drt {
	double sent;	  /* since the last pass */
	double work;	  /* placed while tasks waited, decaying */
	double waited_ms; /* likewise */
	int64_t last_ms;
	bool unplaced; /* a task has found no worker in this pass */
	bool waiting;  /* the same of the last pass */
};

void drt_record_sent(struct drt *drt, double work);
void drt_record_unplaced(struct drt *drt);
/* At the end of each placement pass. */
void drt_end_pass(struct drt *drt, int64_t now_ms);
/* Work in a millisecond; 0: unknown. */
double drt_rate(const struct drt *drt);

#endif
