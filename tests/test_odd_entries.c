/*
 * Entries of another writer among the registrations in the store, with real
 * processes: no process may end or stop using a worker, also after restarts.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "deployment.h"
#include "runner.h"

#define AGENTS_PREFIX "sequoiaplank/agents/"
/* Time for entries to read a change in the store. */
#define READ_MS	   1200
#define N_ODD_KEYS 300
/* Tasks that fill all workers. */
#define N_TASKS 24

struct row {
	const char *name;
	const char *address; /* that the key ends with; NULL: that of agent 0 */
	const char *value;
};

/* A registration with the given numbers, and the rest as an agent writes it. */
#define REGISTRATION(instance, born, address, cpu)                             \
	"{\"instance\":" instance ",\"born_ms\":" born                         \
	",\"service\":\"desk\",\"address\":" address                           \
	",\"failure_domain\":\"z0\",\"cpu_milli\":" cpu                        \
	",\"memory_mb\":4096,\"gpus\":0,\"labels\":[\"a\",\"r1\"]}"
#define NESTED_100 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10
#define NESTED_10  "[[[[[[[[[["

static const struct row rows[] = {
    {"empty value", "10.0.0.1:7", ""},
    {"empty value of an agent", NULL, ""},
    {"start beyond 64 bits", NULL,
	REGISTRATION(
	    "\"w0\"", "99999999999999999999", "\"127.0.0.1:1\"", "8000")},
    {"port out of range", NULL,
	REGISTRATION("\"x\"", "1764900000000", "\"127.0.0.1:99999\"", "8000")},
    {"address that no port listens on", NULL,
	REGISTRATION("\"x\"", "1999999999999", "\"127.0.0.1:1\"", "8000")},
    {"capacity beyond 64 bits", NULL,
	REGISTRATION("\"w0\"", "1764900000000", "\"127.0.0.1:1\"",
	    "99999999999999999999")},
    {"id with U+0000", NULL,
	REGISTRATION(
	    "\"w0\\u0000\"", "1764900000000", "\"127.0.0.1:1\"", "8000")},
    {"address that is a path", NULL,
	REGISTRATION("\"w0\"", "1764900000000", "\"127.0.0.1:80/x\"", "8000")},
    {"deep nesting", NULL, NESTED_100},
    {"key without a port", "nowhere", REGISTRATION("\"x\"", "1", "\"\"", "1")},
    {"key with a port out of range", "127.0.0.1:99999",
	REGISTRATION("\"x\"", "1", "\"127.0.0.1:1\"", "1")},
};

static void
write_entry(struct dpl *dpl, const struct row *row)
{
	const char *address = row->address;

	if (address == NULL)
		address = hn_str("127.0.0.1:%u", dpl->agent_port[0]);
	dpl_control(dpl, "PUT", hn_str("key?key=" AGENTS_PREFIX "%s", address),
	    row->value);
}

static void
check_processes(struct dpl *dpl, const char *name)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert_msg(hn_wait_exit(dpl->entry[i], 0) == -1,
		    "%s: entry %d has ended", name, i);
	for (i = 0; i < DPL_AGENTS; i++)
		ck_assert_msg(hn_wait_exit(dpl->agent[i], 0) == -1,
		    "%s: agent %d has ended", name, i);
}

/* Each entry must place a job on all workers at once. */
static void
check_all_workers(struct dpl *dpl, const char *name)
{
	int i;

	for (i = 0; i < DPL_ENTRIES; i++)
		ck_assert_msg(
		    hn_wait_until(dpl_count_running(dpl, i, N_TASKS) == N_TASKS,
			HN_LIMIT_MS),
		    "%s: entry %d does not use all workers", name, i);
}

/*
 * The key of an agent names the worker of another one.  The agent called that
 * worker for ever, since its own had begun earlier.
 */
START_TEST(registration_of_another_agent)
{
	struct hn_http *worker;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	worker = dpl_control(&dpl, "GET", "worker?index=1", NULL);
	dpl_control(&dpl, "PUT",
	    hn_str("key?key=" AGENTS_PREFIX "127.0.0.1:%u", dpl.agent_port[0]),
	    hn_str("{\"instance\":\"%s\",\"born_ms\":%" G_GINT64_FORMAT
		   ",\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		   "\"failure_domain\":\"z1\",\"cpu_milli\":8000,"
		   "\"memory_mb\":4096,\"gpus\":0,\"labels\":[]}",
		hn_json_str(worker, "id"), hn_json_int(worker, "born"),
		(int)hn_json_int(worker, "app_port")));
	dpl_restart_all(&dpl);
	hn_sleep(READ_MS);
	check_processes(&dpl, "registration of another agent");
	check_all_workers(&dpl, "registration of another agent");
	hn_finish();
}
END_TEST

/*
 * They counted as agents, and each entry tried them all again at each choice,
 * five times a second.
 */
START_TEST(many_keys_without_address)
{
	struct hn_http *metrics;
	struct dpl dpl;
	int i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < N_ODD_KEYS; i++)
		dpl_control(&dpl, "PUT",
		    hn_str("key?key=" AGENTS_PREFIX "nowhere-%d", i), "{}");
	dpl_restart_all(&dpl);
	hn_sleep(READ_MS);
	check_processes(&dpl, "many keys");
	check_all_workers(&dpl, "many keys");
	metrics = hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", dpl.entry_metrics_port),
	    NULL);
	ck_assert_msg(strstr(metrics->body, hn_str("sp_agents_registered %d\n",
						DPL_AGENTS)) != NULL,
	    "%s", metrics->body);
	ck_assert_msg(
	    strstr(metrics->body,
		hn_str("sp_messages_refused_total{source=\"registration\"} "
		       "%d\n",
		    N_ODD_KEYS)) != NULL,
	    "%s", metrics->body);
	hn_finish();
}
END_TEST

START_TEST(odd_entry_harms_nobody)
{
	const struct row *row = &rows[_i];
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	write_entry(&dpl, row);
	hn_sleep(READ_MS);
	check_processes(&dpl, row->name);
	check_all_workers(&dpl, row->name);
	write_entry(&dpl, row);
	dpl_restart_all(&dpl);
	hn_sleep(READ_MS);
	check_processes(&dpl, row->name);
	check_all_workers(&dpl, row->name);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    many_keys_without_address, registration_of_another_agent};
	int red = run_table("odd_entries", odd_entry_harms_nobody,
	    G_N_ELEMENTS(rows), 2 * HN_LIMIT_MS / 1000.0);

	if (getenv("SCENARIO") != NULL)
		return red;
	return red | run_tests("odd_entries", tests, G_N_ELEMENTS(tests),
			 2 * HN_LIMIT_MS / 1000.0);
}
