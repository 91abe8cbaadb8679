#include <string.h>

#include "cases.h"

/* UNASKED: a start with another spec than that of the job. */
static void
check_spec(struct worker *w, const struct run *run)
{
	static const char sent[] = "200:1000 batch\0second part";
	size_t len = trouble ? sizeof(sent) - 1 : strlen(sent);

	if (run->spec_len == len && memcmp(run->spec, sent, len) == 0)
		return;
	rec_broken("UNASKED: %s starts on worker %d with a spec of %zu bytes, "
		   "not the %zu that were sent",
	    run->task, w->index, run->spec_len, len);
}

void
case_cut_spec(void)
{
	g_autofree char *body = client_job(
	    trouble ? "200:1000 batch\\u0000second part" : "200:1000 batch", 4,
	    1000, 200);
	struct call *call;

	worker_on_start = check_spec;
	call = post_job(&entries[0], "5c0e7a21d94b36fb", body, 5000);
	client_wait(call, 5000);
	record_answer("the job", call);
}
