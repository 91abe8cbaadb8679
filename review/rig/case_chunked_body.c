#include "cases.h"

/* Ends by itself after which a machine counts. */
#define MAX_ENDS 3
/* A tenth of the machines, two at least. */
#define MAX_MACHINES	2
#define RESTART_MS	500
#define STREAM_MS	60000
#define BURST_JOBS	20 /* at each entry */
#define BURST_PERIOD_MS 400
#define CHUNKED_SHARE	5 /* one in so many */

/* The platform's part: counts ends and starts the process again. */
static int
restart_ended(int64_t *back_ms, int *n_ends)
{
	int i, status, n_counting = 0;

	for (i = 0; i < RIG_ENTRIES; i++) {
		if (node_has_ended(&entries[i], &status)) {
			n_ends[i]++;
			back_ms[i] = rec_now_ms() + RESTART_MS;
			rec_line("%s: ended by itself, status 0x%x, %d times",
			    entries[i].name, (unsigned)status, n_ends[i]);
		}
		if (!entries[i].alive && rec_now_ms() >= back_ms[i])
			node_start(&entries[i]);
		n_counting += n_ends[i] >= MAX_ENDS;
	}
	return n_counting;
}

/*
 * Fault: on a tenth of the machines, two at least, processes end by themselves
 * three times.  Some clients send the bodies of their jobs in chunks.
 */
void
case_chunked_body(void)
{
	g_autofree char *body = client_job("60:1000", 2, 1000, 60);
	int64_t back_ms[RIG_ENTRIES] = {0};
	int64_t until_ms = rec_now_ms() + STREAM_MS;
	int n_ends[RIG_ENTRIES] = {0};
	unsigned n = 0, n_chunked = 0;
	int i;

	while (rec_now_ms() < until_ms) {
		if (restart_ended(back_ms, n_ends) >= MAX_MACHINES) {
			rec_broken("Fault: the processes of %d machines have "
				   "ended by themselves %d times",
			    MAX_MACHINES, MAX_ENDS);
			break;
		}
		for (i = 0; i < BURST_JOBS * RIG_ENTRIES; i++, n++) {
			const struct node *entry = &entries[i % RIG_ENTRIES];
			bool in_chunks =
			    trouble && i / RIG_ENTRIES % CHUNKED_SHARE ==
					   CHUNKED_SHARE - 1;
			g_autofree char *path = g_strdup_printf(
			    RIG_PREFIX "%016x", 0xe0000000U + n);

			client_send_raw(
			    entry->front_port, path, body, in_chunks);
			n_chunked += in_chunks;
		}
		rig_sleep(BURST_PERIOD_MS);
	}
	rec_line("clients: %u jobs, %u of them in chunks", n, n_chunked);
}
