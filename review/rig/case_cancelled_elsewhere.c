#include "cases.h"

#define CANCELLED_JOB "5c0e7a21d94b36f9"
static int64_t cancel_acked_ms;

/*
 * UNASKED: a start later than cancel_ms after the cancelling was acknowledged.
 */
static void
check_cancelled(struct worker *w, const struct run *run)
{
	if (cancel_acked_ms != 0 &&
	    g_str_has_prefix(run->task, CANCELLED_JOB) &&
	    rec_now_ms() > cancel_acked_ms + BOUND_CANCEL_MS)
		rec_broken("UNASKED: %s starts on worker %d, %" G_GINT64_FORMAT
			   " ms after its job's cancelling was acknowledged",
		    run->task, w->index, rec_now_ms() - cancel_acked_ms);
}

/* UNASKED: a task that runs on stop_timeout_ms after that. */
static void
check_runs_on(void)
{
	guint k;
	int i;

	for (i = 0; i < RIG_WORKERS; i++) {
		for (k = 0; k < workers[i].runs->len; k++) {
			const struct run *run = workers[i].runs->pdata[k];

			if (g_str_has_prefix(run->task, CANCELLED_JOB))
				rec_broken("UNASKED: %s runs on on worker %d, "
					   "%" G_GINT64_FORMAT
					   " ms after its job's cancelling was "
					   "acknowledged",
				    run->task, i,
				    rec_now_ms() - cancel_acked_ms);
		}
	}
}

/*
 * A client cancels its job.  The connection of the first attempt is reset, so
 * that it tries again, which reaches another node.
 */
void
case_cancelled_elsewhere(void)
{
	static const char body[] =
	    "{\"spec\":\"6000:3000\",\"best_effort\":true,\"steps\":["
	    "{\"count\":4,\"cpu\":3000,\"mem_mb\":64,\"estimate_ms\":6000},"
	    "{\"count\":4,\"cpu\":3000,\"mem_mb\":64,\"estimate_ms\":6000,"
	    "\"after\":[0]}]}";
	static const char path[] = RIG_PREFIX CANCELLED_JOB;
	struct proxy *front = proxy_new(entries[0].front_port);
	struct call *job, *cancel;

	worker_on_start = check_cancelled;
	job = post_job(&entries[0], CANCELLED_JOB, body, 20000);
	rig_sleep(500);
	proxy_reset_new(front, trouble);
	rec_line("client: DELETE %s to %s", path, entries[0].name);
	cancel = client_send(proxy_port(front), "DELETE", path, NULL, 1500);
	client_wait(cancel, 1500);
	record_answer("DELETE", cancel);
	if (trouble) {
		if (cancel->status != -1)
			rig_fail("the connection was not reset");
		rec_line("client: DELETE %s to %s", path, entries[1].name);
		cancel = client_send(
		    entries[1].front_port, "DELETE", path, NULL, 1500);
		client_wait(cancel, 1500);
		record_answer("DELETE", cancel);
	}
	if (cancel->status / 100 != 2 && cancel->status != 410)
		rig_fail("the cancelling was not acknowledged");
	cancel_acked_ms = rec_now_ms();
	rig_sleep(BOUND_CANCEL_MS + 2 * BOUND_STOP_TIMEOUT_MS);
	check_runs_on();
	client_wait(job, 15000);
	record_answer("the job", job);
}
