#include "cases.h"

#define DEADLINE_MS 1500
/* Other jobs run for this time before the one that is watched. */
#define TRAFFIC_MS 2000
#define PERIOD_MS  40
/* Largest share of the orders to all workers that may come late. */
#define MAX_LATE_SHARE 0.055

static void
send_traffic(void)
{
	g_autofree char *body = client_job("60:500", RIG_WORKERS, 500, 60);
	int64_t until_ms = rec_now_ms() + TRAFFIC_MS;
	unsigned n;

	for (n = 0; rec_now_ms() < until_ms; n++) {
		g_autofree char *path =
		    g_strdup_printf(RIG_PREFIX "%016x", 0xc0000000U + n);

		client_send_raw(
		    entries[n % RIG_ENTRIES].front_port, path, body, false);
		rig_sleep(PERIOD_MS);
	}
}

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

/* What is carried out late is counted from here on. */
static void
reset_counts(void)
{
	int i;

	for (i = 0; i < RIG_WORKERS; i++)
		workers[i].n_orders = workers[i].n_late = 0;
}

static void
check_share(void)
{
	int64_t n_orders = 0, n_late = 0;
	int i;

	for (i = 0; i < RIG_WORKERS; i++) {
		n_orders += workers[i].n_orders;
		n_late += workers[i].n_late;
	}
	rec_line("%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		 " orders to the workers came late",
	    n_late, n_orders);
	if ((double)n_late > (double)n_orders * MAX_LATE_SHARE)
		rig_fail("too many orders came late");
}

/*
 * A worker carries out stops late while a job reaches its deadline, and the
 * client sends the job again.
 */
void
case_late_stop(void)
{
	static const char id[] = "5c0e7a21d94b36fa";
	g_autofree char *body = client_job("3600:4000", 22, 4000, 3000);
	struct worker *w;
	struct call *call;

	worker_on_start = check_twice;
	reset_counts();
	send_traffic();
	call = post_job(&entries[0], id, body, DEADLINE_MS);
	rig_sleep(1000);
	w = busiest_worker();
	if (w->runs->len == 0)
		rig_fail("no task has started");
	w->stops_are_late = trouble;
	client_wait(call, DEADLINE_MS);
	record_answer("the job", call);
	rig_sleep(call->sent_ms + DEADLINE_MS + BOUND_RESEND_MS - rec_now_ms());
	call = post_job(&entries[1], id, body, DEADLINE_MS);
	rig_sleep(1200);
	w->stops_are_late = false;
	check_share();
	client_wait(call, DEADLINE_MS);
	record_answer("the job", call);
}
