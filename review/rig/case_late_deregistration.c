#include "cases.h"

/*
 * A worker leaves during a cut, so that its last call is held up, and starts
 * again under its id.  The call arrives while the new life is at work.
 */
void
case_late_deregistration(void)
{
	struct worker *w = &workers[4];
	g_autofree char *body = client_job("4000:4000", 66, 4000, 4000);
	struct call *call;
	int64_t until_ms;

	worker_on_start = check_twice;
	worker_drain(w);
	until_ms = rec_now_ms() + 4000;
	while (w->drain_acked_ms == 0 && rec_now_ms() < until_ms)
		rig_sleep(10);
	if (w->drain_acked_ms == 0)
		rig_fail("draining is not acknowledged");
	rig_sleep(BOUND_DRAIN_MS);
	if (trouble) {
		proxy_cut(w->link);
		w->cut = true;
		rec_line("worker %d: cut off", w->index);
	}
	rig_sleep(200);
	worker_send_delete(w);
	if (trouble)
		rig_sleep(2000); /* waits for the acknowledgement */
	else
		rig_sleep(100);
	worker_end(w);
	rig_sleep(400);
	worker_boot(w);
	rig_sleep(1500);
	if (trouble) {
		proxy_heal(w->link, 2000);
		w->cut = false;
		rec_line("worker %d: the cut has ended", w->index);
	}
	rig_sleep(700);
	call = post_job(&entries[0], "5c0e7a21d94b36f8", body, 12000);
	rig_sleep(800);
	if (w->runs->len == 0)
		rig_fail("worker %d has no run", w->index);
	client_wait(call, 12000);
	record_answer("the job", call);
	if (call->status != 200)
		rig_fail("the job was not completed");
}
