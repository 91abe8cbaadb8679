#ifndef SP_PAIRWIRE_H
#define SP_PAIRWIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "request/interference.h"

/* Estimates of interference in messages, and when such a message is due. */

/* Names are borrowed from row. */
void pwr_to_wire(const struct itf_row *row, run_pair *to);
/* Returns false for a row out of range.  Names are borrowed from pair. */
bool pwr_from_wire(const run_pair *pair, struct itf_row *to);

/* What was sent last on a connection. */
struct pwr_pace {
	int64_t sent_ms;
	size_t n_rows;
	size_t next; /* first pair of the next message */
};

/*
 * Whether a message with n_rows rows is due: at once if their number has changed,
 * else after a while.  To be asked once a second.
 */
bool pwr_is_due(const struct pwr_pace *pace, size_t n_rows, int64_t now_ms);
void pwr_record_sent(struct pwr_pace *pace, size_t n_rows, int64_t now_ms);

#endif
