#include "cases.h"

/* The delay grows by half a second each second, up to the largest. */
#define MAX_DELAY_MS 2000
#define RAMP_MS	     4000
#define DEADLINE_MS  1500

static int64_t slow_since_ms; /* 0: not yet */

int64_t
slow_link_delay_ms(void)
{
	int64_t passed_ms = rec_now_ms() - slow_since_ms;

	return slow_since_ms == 0
		   ? 0
		   : MIN(passed_ms * MAX_DELAY_MS / RAMP_MS, MAX_DELAY_MS);
}

/*
 * What one entry sends to the agents is held up in its link.  The client of its
 * job gets no answer in time, and sends the job to another entry.
 */
void
case_slow_link(void)
{
	static const char id[] = "5c0e7a21d94b36fc";
	g_autofree char *body = client_job("1200:4000", 22, 4000, 1200);
	struct call *call;

	worker_on_start = check_twice;
	if (trouble) {
		slow_since_ms = rec_now_ms();
		rec_line("entry-0: its link becomes slow");
	}
	rig_sleep(RAMP_MS + 1000);
	call = post_job(&entries[0], id, body, DEADLINE_MS);
	client_wait(call, DEADLINE_MS);
	record_answer("the job", call);
	if (!trouble)
		return;
	if (call->done && call->status == 200)
		rig_fail("the job was completed in time");
	rig_sleep(call->sent_ms + DEADLINE_MS + BOUND_RESEND_MS - rec_now_ms());
	call = post_job(&entries[1], id, body, DEADLINE_MS);
	client_wait(call, DEADLINE_MS + 200);
	record_answer("the job", call);
}
