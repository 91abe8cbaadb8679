#include "cases.h"

#define UNHEALTHY_MS 5000

/* The worker with the most runs. */
static struct worker *
busiest_worker(void)
{
	struct worker *busiest = &workers[0];
	int i;

	for (i = 1; i < RIG_WORKERS; i++) {
		if (workers[i].runs->len > busiest->runs->len)
			busiest = &workers[i];
	}
	return busiest;
}

/*
 * An unhealthy worker refuses orders, and what runs there stands still.  The
 * job reaches its deadline, and the client sends it again.
 */
void
case_refused_stop(void)
{
	static const char id[] = "5c0e7a21d94b36fa";
	g_autofree char *body = client_job("900:4000", 22, 4000, 900);
	struct worker *w;
	struct call *call;
	int64_t unhealthy_ms;

	worker_on_start = check_twice;
	call = post_job(&entries[0], id, body, 1500);
	rig_sleep(300);
	w = busiest_worker();
	if (w->runs->len == 0)
		rig_fail("no task has started");
	unhealthy_ms = rec_now_ms();
	w->unhealthy = trouble;
	if (trouble)
		rec_line("worker %d: unhealthy from now on", w->index);
	client_wait(call, 1700);
	record_answer("the job", call);
	if (trouble) {
		if (call->done && call->status != 502 && call->status != 504)
			rig_fail("the job did not fail");
		rig_sleep(BOUND_RESEND_MS);
		call = post_job(&entries[1], id, body, 1500);
		client_wait(call, 1700);
		record_answer("the job", call);
		rig_sleep(unhealthy_ms + UNHEALTHY_MS - rec_now_ms());
		w->unhealthy = false;
		rec_line("worker %d: healthy", w->index);
	}
	rig_sleep(1500);
	if (call->status != 200)
		rig_fail("the job was not completed");
}
