#include "process/events.h"
#include "process/fields.h"
#include "process/refusals.h"

static void
count(const struct rfl *rfl, const char *reason)
{
	g_autofree char *name = g_strdup_printf(
	    "sp_messages_refused_total{source=\"%s\",reason=\"%s\"}",
	    rfl->source, reason);

	++*ctr_counter(rfl->counters, name,
	    "Messages from outside that are malformed or out of range.");
}

void
rfl_add(const struct rfl *rfl, const struct status *st)
{
	if (rfl->counters != NULL)
		count(rfl, fld_reason(st));
	evt_write("refused", evt_text("source", rfl->source),
	    evt_text("reason", st->message));
}
