#ifndef SP_STATEMENT_H
#define SP_STATEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "connection/workerport.h"

/*
 * What a worker has said of itself, in the messages between entries and agents.
 */

/* Fills to; strings and labels are borrowed from worker. */
void stm_to_wire(const struct wp_worker *worker, run_statement *to);
/*
 * Fills to; strings and labels are borrowed from statement.  Returns false if it
 * names no worker or if a value is out of range.
 */
bool stm_from_wire(const run_statement *statement, struct wp_worker *to);

#endif
