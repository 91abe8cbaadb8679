#include <math.h>
#include <string.h>

#include "connection/pairwire.h"

#define MICRO 1e6
/* An estimate with a larger variance carries no information. */
#define MAX_VARIANCE 4.0
#define MAX_AGE_MS   3600000
/*
 * Interval of messages whose number of rows has not changed.  The rows change
 * slowly, and an agent has up to some 24 connections.
 */
#define REPEAT_MS 5000
/*
 * The same when there may be more rows than a message holds: 256 rows take four
 * messages, and agents drop a row that they have not got again after 15 s.
 */
#define REPEAT_FULL_MS 2000

void
pwr_to_wire(const struct itf_row *row, run_pair *to)
{
	*to = (run_pair){
	    .queue = (char *)row->queue,
	    .other = (char *)row->other,
	    .weight = row->weight,
	    .mean_micro = (int32_t)lround(row->mean * MICRO),
	    .variance_micro = (uint32_t)lround(
		fmax(fmin(row->variance, MAX_VARIANCE) * MICRO, 1)),
	    .age_ms = row->age_ms,
	};
}

bool
pwr_from_wire(const run_pair *pair, struct itf_row *to)
{
	*to = (struct itf_row){
	    .queue = pair->queue,
	    .other = pair->other,
	    .weight = pair->weight,
	    .mean = pair->mean_micro / MICRO,
	    .variance = pair->variance_micro / MICRO,
	    .age_ms = pair->age_ms,
	};
	return *to->queue != '\0' && *to->other != '\0' &&
	       strcmp(to->queue, to->other) != 0 &&
	       fabs(to->mean) <= log(ITF_MAX_FACTOR) + 1 / MICRO &&
	       to->variance > 0 && to->variance <= MAX_VARIANCE &&
	       to->age_ms >= 0 && to->age_ms <= MAX_AGE_MS;
}

bool
pwr_is_due(const struct pwr_pace *pace, size_t n_rows, int64_t now_ms)
{
	int64_t repeat_ms = n_rows < RUN_PAIRS_MAX ? REPEAT_MS : REPEAT_FULL_MS;

	if (n_rows == 0)
		return false;
	return n_rows != pace->n_rows || now_ms - pace->sent_ms >= repeat_ms;
}

void
pwr_record_sent(struct pwr_pace *pace, size_t n_rows, int64_t now_ms)
{
	pace->n_rows = n_rows;
	pace->sent_ms = now_ms;
}
