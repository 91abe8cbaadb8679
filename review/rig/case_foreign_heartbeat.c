#include "cases.h"

static struct worker *draining_worker;

/* DRAIN: a start later than drain_ms after the agent acknowledged draining. */
static void
check_draining(struct worker *w, const struct run *run)
{
	if (w == draining_worker && w->drain_acked_ms != 0 &&
	    rec_now_ms() > w->drain_acked_ms + BOUND_DRAIN_MS)
		rec_broken("DRAIN: %s starts on worker %d, %" G_GINT64_FORMAT
			   " ms after it was acknowledged as draining",
		    run->task, w->index, rec_now_ms() - w->drain_acked_ms);
}

/* Fields are missing: it names no worker to use. */
static void
send_foreign_heartbeat(const struct worker *w)
{
	g_autofree char *url =
	    g_strdup_printf("/sequoiaplank/instances/%s", w->id);
	g_autofree char *body = g_strdup_printf(
	    "{\"service\":\"" RIG_SERVICE "\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"z%d\",\"state\":\"ready\",\"capacity\":{\"cpu\":%d,"
	    "\"mem_mb\":131072},\"seq\":%" G_GINT64_FORMAT
	    ",\"born\":%" G_GINT64_FORMAT "}",
	    w->app_port, w->index % 3, RIG_WORKER_CPU, g_get_real_time() / 1000,
	    w->born_ms);
	struct call *call;

	rec_line("another writer: PUT %s to agent %d: %s", url, w->index, body);
	call = client_send(w->control_port, "PUT", url, body, 1000);
	client_wait(call, 1000);
	rec_line("another writer: is answered %d", call->status);
}

void
case_foreign_heartbeat(void)
{
	struct worker *w = &workers[4];
	int i;

	worker_on_start = check_draining;
	draining_worker = w;
	if (trouble)
		send_foreign_heartbeat(w);
	rig_sleep(2000);
	worker_drain(w);
	for (i = 0; i < 60; i++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xd00 + i);
		g_autofree char *body = client_job("300:9000", 33, 9000, 300);

		post_job(&entries[i % RIG_ENTRIES], id, body, 1500);
		rig_sleep(100);
	}
	if (w->drain_acked_ms == 0)
		rig_fail("draining is not acknowledged");
	worker_send_delete(w);
	rig_sleep(20);
	worker_end(w);
	rig_sleep(2000);
}
