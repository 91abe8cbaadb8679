#ifndef SP_CRASHWATCH_H
#define SP_CRASHWATCH_H

#include <stdint.h>

#include "connection/holder.h"
#include "connection/sessions.h"
#include "request/ledger.h"

/*
 * Tells the entries of an agent which runs were active when its worker crashed.
 * Entries must know a crash before they get the results of its runs.
 */
struct crw;

struct crw_options {
	/* Borrowed; must outlive the struct crw. */
	const struct led *led;
	const struct hold *hold;
};

struct crw *crw_new(const struct crw_options *opts);
/* NULL is allowed. */
void crw_free(struct crw *crw);

/* The sessions that crashes are sent to; NULL: none. */
void crw_set_sessions(struct crw *crw, struct ses *ses);
/* Sends the crashes that are remembered to a new session. */
void crw_send_all(struct crw *crw, uint64_t session);
/*
 * The runs on the worker are lost.  To be called before the ledger ends them.
 */
void crw_record(struct crw *crw, const struct hold_lost *lost);
/* The worker, or whether it is ready, has changed. */
void crw_settle(struct crw *crw);
/* To be called regularly. */
void crw_tick(struct crw *crw);

#endif
