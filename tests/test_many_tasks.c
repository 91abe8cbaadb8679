/*
 * Jobs of very many small tasks beside small jobs of another caller at the other
 * entry, with real processes.
 */
#include <glib.h>
#include <stdio.h>

#include "deployment.h"
#include "runner.h"

#define N_TASKS	     12000
#define N_SMALL_JOBS 60
/* Half of the memory of an agent's machine. */
#define MAX_AGENT_KB 65536L
/* The sanitizers keep freed memory and add to each block. */
#ifdef __SANITIZE_ADDRESS__
#define MEMORY_FACTOR 4L
#else
#define MEMORY_FACTOR 1L
#endif

/* Anonymous memory of a process; files that it maps are shared. */
static long
memory_kb(pid_t pid)
{
	char line[256];
	FILE *f = fopen(hn_str("/proc/%d/status", (int)pid), "r");
	long kb = -1;

	ck_assert_ptr_nonnull(f);
	while (kb < 0 && fgets(line, sizeof(line), f) != NULL)
		sscanf(line, "RssAnon: %ld kB", &kb);
	fclose(f);
	return kb;
}

static long most_kb;

static void
check_memory(struct dpl *dpl)
{
	int i;

	for (i = 0; i < DPL_AGENTS; i++) {
		long kb = memory_kb(hn_pid(dpl->agent[i]));

		most_kb = MAX(most_kb, kb);
		ck_assert_msg(kb >= 0 && kb < MAX_AGENT_KB * MEMORY_FACTOR,
		    "agent %d has %ld kB", i, kb);
	}
}

static struct hn_http *
post(struct dpl *dpl, int entry, unsigned id, const char *body)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 25000", NULL};

	return hn_http_start(
	    "POST", dpl_url(dpl, entry, hn_str("/q/%016x", id)), headers, body);
}

/*
 * Guards against agents that keep or open something for each task of a job: they
 * took more memory than their machines have, and the small jobs of another
 * caller waited until their deadline.
 */
START_TEST(many_small_tasks)
{
	struct hn_http *large, *small;
	struct dpl dpl;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){0});
	large = post(&dpl, 0, 0xc000,
	    hn_str("{\"spec\":\"800\",\"best_effort\":true,\"steps\":[{"
		   "\"count\":%d,\"cpu\":2,\"mem_mb\":1,\"estimate_ms\":800}]}",
		N_TASKS));
	for (i = 0; i < N_SMALL_JOBS; i++) {
		small = post(&dpl, 1, 0xc100 + i,
		    "{\"spec\":\"60\",\"best_effort\":true,\"steps\":[{"
		    "\"count\":2,\"cpu\":100,\"mem_mb\":1,"
		    "\"estimate_ms\":60}]}");
		while (!small->done) {
			check_memory(&dpl);
			hn_sleep(20);
		}
		ck_assert_msg(small->status == 200, "small job %u: %d %s", i,
		    small->status, small->body);
	}
	hn_wait_until(large->done, HN_LIMIT_MS);
	printf(
	    "agents had at most %ld kB; large job: %d after %d ms, %d starts\n",
	    most_kb, large->status, (int)large->took_ms,
	    (int)dpl_count(&dpl, "starts"));
	/* The stand-in counts each run as a whole core, so "limit" says nothing. */
	ck_assert_int_eq(dpl_count(&dpl, "twice"), 0);
	hn_finish();
}
END_TEST

/* Guards against tasks that are sent to nobody and wait for their deadline. */
START_TEST(what_cannot_be_sent_is_refused)
{
	g_autofree char *name = g_strnfill(300, 'q');
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	dpl_control(&dpl, "PUT", "key?key=op/config",
	    hn_str("{\"version\":9,\"routes\":[{\"name\":\"%s\",\"host\":"
		   "\"127.0.0.1\",\"prefix\":\"/long/\",\"service\":\"desk\","
		   "\"priority\":0,\"max_attempts\":4,\"stretch\":1.5,"
		   "\"target_completion_ms\":60}],\"services\":[],"
		   "\"limits\":{}}",
		name));
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(&dpl, 0, "/long/"), NULL)->status == 200,
	    HN_LIMIT_MS));
	job = hn_http("POST", dpl_url(&dpl, 0, "/long/000000000000c200"),
	    "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":1,"
	    "\"cpu\":1,\"mem_mb\":1,\"estimate_ms\":1}]}");
	ck_assert_msg(job->status == 503, "%d %s", job->status, job->body);
	hn_finish();
}
END_TEST

/* Guards against jobs that hold places until their deadline, for nothing. */
START_TEST(job_beyond_the_workers_is_refused)
{
	struct hn_http *job;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	job = hn_http_wait(
	    post(&dpl, 0, 0xc300,
		"{\"spec\":\"60000\",\"best_effort\":true,\"steps\":"
		"[{\"count\":20000,\"cpu\":1000,\"mem_mb\":1,"
		"\"estimate_ms\":60000}]}"),
	    HN_LIMIT_MS);
	ck_assert_msg(job->status == 503, "%d %s", job->status, job->body);
	hn_finish();
}
END_TEST

TEST_MAIN("many_tasks", 4 * HN_LIMIT_MS / 1000.0, many_small_tasks,
    what_cannot_be_sent_is_refused, job_beyond_the_workers_is_refused)
