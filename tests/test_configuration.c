/*
 * Guarantees 3 and 9: no task starts in a failure domain more than 5 s after it
 * was taken out of service, and an accepted configuration is in force at all
 * entries within seconds and never reverts.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "system.h"

#define CALLERS 12

struct run {
	struct sys sys;
	struct sys_load *load[3];
	struct hn_http *change;
	int64_t version; /* created by the change */
};

typedef void (*step_fn)(struct run *run);

/* The tests take domain-0 out of service, which contains worker-0. */
static void
cut_agent_connections(struct run *run)
{
	sys_set_proxy_rule(&run->sys, 0, "action=cut&match=worker-0");
}

static void
freeze_agent_connections(struct run *run)
{
	sys_set_proxy_rule(&run->sys, 0, "action=freeze&match=worker-0");
}

static void
delay_agent_messages(struct run *run)
{
	sys_set_proxy_rule(
	    &run->sys, 0, "action=delay&match=worker-0&ms=1200&direction=down");
}

static void
restore_connections(struct run *run)
{
	sys_set_proxy_rule(&run->sys, 0, "action=restore");
	sys_set_proxy_rule(&run->sys, 0, "action=release");
}

static void
stop_agent(struct run *run)
{
	hn_signal(run->sys.agent[0].proc, SIGSTOP);
}

static void
resume_agent(struct run *run)
{
	hn_signal(run->sys.agent[0].proc, SIGCONT);
}

static void
stop_entry(struct run *run)
{
	hn_signal(run->sys.entry[0].proc, SIGSTOP);
}

static void
resume_entry(struct run *run)
{
	hn_signal(run->sys.entry[0].proc, SIGCONT);
}

static void
stop_both(struct run *run)
{
	stop_agent(run);
	stop_entry(run);
}

static void
resume_both(struct run *run)
{
	resume_entry(run);
	resume_agent(run);
}

static void
store_down(struct run *run)
{
	sys_store_control(&run->sys, "outage?mode=refuse");
}

static void
store_hangs(struct run *run)
{
	sys_store_control(&run->sys, "outage?mode=hang");
}

static void
store_up(struct run *run)
{
	sys_store_control(&run->sys, "outage?mode=off");
}

static void
lose_store_reply(struct run *run)
{
	sys_store_control(&run->sys, "drop?writes=1");
}

static void
cut_store_connection(struct run *run)
{
	sys_set_proxy_rule(
	    &run->sys, run->sys.entry[0].proxied_store, "action=cut");
}

static void
freeze_store_connection(struct run *run)
{
	sys_set_proxy_rule(
	    &run->sys, run->sys.entry[0].proxied_store, "action=freeze");
}

/*
 * Delays the answers to reads; the age of the configuration must count from
 * when the reads were sent.
 */
static void
delay_store_replies(struct run *run)
{
	sys_set_proxy_rule(&run->sys, run->sys.entry[0].proxied_store,
	    "action=delay&ms=900&direction=down");
}

static void
kill_entry(struct run *run)
{
	hn_kill(run->sys.entry[0].proc);
}

static void
restart_entry(struct run *run)
{
	hn_restart(run->sys.entry[0].proc);
}

static const struct {
	const char *name;
	/* Called before the change, after it and after the checks, if set. */
	step_fn before, after, restore;
	int run_ms;
} rows[] = {
    {"short tasks", NULL, NULL, NULL, 50},
    {"tasks queued at the agent", NULL, NULL, NULL, 900},
    {"agent cut off", cut_agent_connections, NULL, restore_connections, 200},
    {"agent's connections silent", freeze_agent_connections, NULL,
	restore_connections, 200},
    {"slow agent link", delay_agent_messages, NULL, restore_connections, 200},
    {"agent paused", stop_agent, NULL, resume_agent, 900},
    {"entry paused", stop_entry, NULL, resume_entry, 900},
    {"entry and agent paused", stop_both, NULL, resume_both, 900},
    {"store down after the write", NULL, store_down, store_up, 200},
    {"store hangs after the write", NULL, store_hangs, store_up, 200},
    {"store reply lost", lose_store_reply, NULL, NULL, 200},
    {"entry cut off from the store", cut_store_connection, NULL,
	restore_connections, 200},
    {"entry's store connection silent", freeze_store_connection, NULL,
	restore_connections, 200},
    {"slow store link", delay_store_replies, NULL, restore_connections, 200},
    {"entry killed before, restarted after", kill_entry, restart_entry, NULL,
	200},
};

static void
start(struct run *run, int run_ms, const char *entry_settings)
{
	const char *payload = hn_str("{\"run_ms\":%d}", run_ms);
	int i;

	sys_start(&run->sys, &(struct sys_options){.entries = 3,
				 .agents = 3,
				 .domains = 3,
				 .slots = 2,
				 .entry_settings = entry_settings});
	for (i = 0; i < 3; i++)
		run->load[i] =
		    sys_load_start(&run->sys, i, CALLERS / 3, 3, payload);
	ck_assert(
	    hn_wait_until(sys_endpoint_starts(&run->sys, 0) > 2, HN_LIMIT_MS));
}

static int
completed(const struct run *run)
{
	int i, n = 0;

	for (i = 0; i < 3; i++)
		n += sys_load_counts(run->load[i]).complete;
	return n;
}

static void
stop(struct run *run)
{
	int i;

	for (i = 0; i < 3; i++)
		sys_load_stop(run->load[i]);
	hn_finish();
}

/*
 * Guards against task starts in a failure domain later than SYS_CONFIG_BOUND_MS
 * after it was taken out of service, also after the fault was repaired.
 */
START_TEST(out_within_bound)
{
	struct run run = {0};
	int64_t old, at_bound, later;
	int done;

	start(&run, rows[_i].run_ms, NULL);
	old = sys_version(&run.sys, 1);
	if (rows[_i].before != NULL)
		rows[_i].before(&run);
	run.change = sys_set_domain_out(&run.sys, 1, "domain-0", true);
	if (rows[_i].after != NULL)
		rows[_i].after(&run);
	ck_assert_msg(run.change->status == 200 || run.change->status == 202,
	    "%s: %d %s", rows[_i].name, run.change->status, run.change->body);
	ck_assert_int_eq(hn_json_int(run.change, "version"), old + 1);
	hn_sleep(SYS_CONFIG_BOUND_MS);
	at_bound = sys_endpoint_starts(&run.sys, 0);
	done = completed(&run);
	hn_sleep(4000);
	later = sys_endpoint_starts(&run.sys, 0);
	ck_assert_msg(later == at_bound,
	    "%s: %d starts in the domain after the bound", rows[_i].name,
	    (int)(later - at_bound));
	/* The other domains still complete tasks. */
	ck_assert_msg(hn_wait_until(completed(&run) > done, HN_LIMIT_MS),
	    "%s: no task completed in the other domains", rows[_i].name);
	if (rows[_i].restore != NULL)
		rows[_i].restore(&run);
	ck_assert(
	    hn_wait_until(sys_in_force(&run.sys, 1, old + 1), HN_LIMIT_MS));
	hn_sleep(2000);
	ck_assert_msg(sys_endpoint_starts(&run.sys, 0) == at_bound,
	    "%s: starts in the domain after the fault was repaired",
	    rows[_i].name);
	/*
	 * The change of a voter creates a version of its own, in which the
	 * domain must stay out of service.
	 */
	ck_assert_int_ge(sys_version(&run.sys, 1), old + 1);
	ck_assert_msg(sys_is_out(&run.sys, 1, "domain-0"),
	    "%s: the domain is no longer out", rows[_i].name);

	/* Back in service, the domain gets tasks again. */
	ck_assert(hn_wait_until(
	    sys_set_domain_out(&run.sys, 2, "domain-0", false)->status / 100 ==
		2,
	    HN_LIMIT_MS));
	ck_assert_msg(hn_wait_until(sys_endpoint_starts(&run.sys, 0) > at_bound,
			  HN_LIMIT_MS),
	    "%s: no start in the domain after its return to service",
	    rows[_i].name);
	stop(&run);
}
END_TEST

/*
 * Guards against a change that is reported as in force while tasks still start
 * in the domain, even within the bound.
 */
START_TEST(in_force_is_true)
{
	struct run run = {0};
	int64_t version, total;

	start(&run, 50, NULL);
	version = hn_json_int(
	    sys_set_domain_out(&run.sys, 0, "domain-0", true), "version");
	ck_assert(
	    hn_wait_until(sys_in_force(&run.sys, 0, version), HN_LIMIT_MS));
	total = sys_endpoint_starts(&run.sys, 0);
	hn_sleep(2000);
	ck_assert_int_eq(sys_endpoint_starts(&run.sys, 0), total);
	stop(&run);
}
END_TEST

/*
 * Guards against concurrent changes at different entries that overwrite each
 * other.
 */
START_TEST(operators_race)
{
	enum { ROUNDS = 5 };
	struct sys sys;
	struct hn_http *http[3];
	int64_t version;
	int round, i;

	sys_start(&sys,
	    &(struct sys_options){.entries = 3, .agents = 3, .domains = 3});
	version = sys_version(&sys, 0);
	for (round = 0; round < ROUNDS; round++) {
		bool out = round % 2 == 0;

		for (i = 0; i < 3; i++)
			http[i] = hn_http_start("POST",
			    sys_ops_url(&sys, i, "/v1/out"), NULL,
			    hn_str("{\"kind\":\"failure_domain\",\"name\":"
				   "\"domain-%d\",\"out\":%s,"
				   "\"change_id\":\"race-%d-%d\"}",
				i, out ? "true" : "false", round, i));
		for (i = 0; i < 3; i++) {
			hn_http_wait(http[i], HN_LIMIT_MS);
			ck_assert_msg(http[i]->status / 100 == 2,
			    "round %d: %d %s", round, http[i]->status,
			    http[i]->body);
		}
		version += 3;
		for (i = 0; i < 3; i++)
			ck_assert(hn_wait_until(sys_version(&sys, i) == version,
			    SYS_CONFIG_BOUND_MS));
		for (i = 0; i < 3; i++)
			ck_assert_msg(sys_is_out(&sys, round % 3,
					  hn_str("domain-%d", i)) == out,
			    "round %d: domain %d", round, i);
	}
	/* A text edited from an older version is refused. */
	http[0] = hn_http("PUT", sys_ops_url(&sys, 1, "/v1/config"),
	    hn_str("{\"expected_version\":%d,\"change_id\":\"old\","
		   "\"text\":\"{}\"}",
		(int)version - 1));
	ck_assert_msg(http[0]->status >= 400 && http[0]->status < 500, "%d %s",
	    http[0]->status, http[0]->body);
	ck_assert_int_eq(sys_version(&sys, 1), version);
	hn_finish();
}
END_TEST

/*
 * While no entry reaches the store, a change must be refused and must not take
 * effect later.
 */
START_TEST(no_change_without_store)
{
	struct sys sys;
	struct hn_http *http;
	int64_t version;

	sys_start(&sys,
	    &(struct sys_options){.entries = 3, .agents = 3, .domains = 3});
	version = sys_version(&sys, 0);
	sys_store_control(&sys, "outage?mode=refuse");
	http = sys_set_domain_out(&sys, 0, "domain-0", true);
	ck_assert_int_eq(http->status, 503);
	ck_assert_str_eq(hn_json_str(http, "error"), "store_unavailable");
	sys_store_control(&sys, "outage?mode=off");
	hn_sleep(2000);
	ck_assert_int_eq(sys_version(&sys, 0), version);
	ck_assert(hn_wait_until(
	    sys_set_domain_out(&sys, 0, "domain-0", true)->status / 100 == 2,
	    HN_LIMIT_MS));
	ck_assert(hn_wait_until(
	    sys_version(&sys, 2) == version + 1, SYS_CONFIG_BOUND_MS));
	hn_finish();
}
END_TEST

static void
check_entry_0_reaches(struct run *run, int64_t version)
{
	static const char *const any[] = {"", NULL};

	if (hn_wait_until(sys_version(&run->sys, 0) == version, HN_LIMIT_MS))
		return;
	hn_print_log(run->sys.entry[0].proc, any);
	ck_abort_msg("entry 0 holds version %d, not %d, after %d ms",
	    (int)sys_version(&run->sys, 0), (int)version, (int)HN_LIMIT_MS);
}

/*
 * Guards against an entry that restarts during a store outage and adopts an
 * older version, or starts tasks in a domain that is out of service.
 */
START_TEST(restart_during_outage)
{
	struct run run = {0};
	int64_t version, seen;
	int i, total;

	start(&run, 100, NULL);
	version = hn_json_int(
	    sys_set_domain_out(&run.sys, 1, "domain-0", true), "version");
	ck_assert(
	    hn_wait_until(sys_in_force(&run.sys, 1, version), HN_LIMIT_MS));
	total = (int)sys_endpoint_starts(&run.sys, 0);
	store_down(&run);
	kill_entry(&run);
	hn_sleep(2000);
	restart_entry(&run);
	for (i = 0; i < 40; i++) {
		hn_sleep(200);
		seen = sys_version(&run.sys, 0);
		ck_assert_msg(seen <= 0 || seen >= version,
		    "restarted entry holds version %d, older than %d",
		    (int)seen, (int)version);
		ck_assert_int_eq(sys_version(&run.sys, 1), version);
	}
	ck_assert_int_eq(sys_endpoint_starts(&run.sys, 0), total);
	store_up(&run);
	check_entry_0_reaches(&run, version);
	ck_assert(sys_wait_job_completes(&run.sys, 0, HN_LIMIT_MS));
	ck_assert_int_eq(sys_endpoint_starts(&run.sys, 0), total);
	stop(&run);
}
END_TEST

static const struct {
	const char *name;
	step_fn fault, repair;
	int seconds;
} outages[] = {
    {"store down for all", store_down, store_up, 30},
    {"store hangs for all", store_hangs, store_up, 30},
    {"one entry cut off", cut_store_connection, restore_connections, 12},
    {"one entry's store silent", freeze_store_connection, restore_connections,
	12},
};

/*
 * Guards against an entry that completes no tasks while the store is
 * unreachable for some or all entries.
 */
START_TEST(outage_does_not_stop_work)
{
	struct run run = {0};
	struct sys_load_counts last[3], now;
	int i, t;

	start(&run, 100, NULL);
	outages[_i].fault(&run);
	for (i = 0; i < 3; i++)
		last[i] = sys_load_counts(run.load[i]);
	for (t = 0; t < outages[_i].seconds; t += 6) {
		hn_sleep(6000);
		for (i = 0; i < 3; i++) {
			now = sys_load_counts(run.load[i]);
			ck_assert_msg(now.complete > last[i].complete &&
					  now.failed + now.unknown == 0,
			    "%s: entry %d at %d s: %d complete, then %d; %d "
			    "failed, %d unknown, %d not run; %s",
			    outages[_i].name, i, t + 6, last[i].complete,
			    now.complete, now.failed, now.unknown, now.not_run,
			    hn_http("GET",
				sys_ops_url(&run.sys, i, "/v1/status"), NULL)
				->body);
			last[i] = now;
		}
	}
	outages[_i].repair(&run);
	hn_sleep(3000);
	for (i = 0; i < 3; i++)
		ck_assert(hn_wait_until(
		    sys_load_counts(run.load[i]).complete > last[i].complete,
		    HN_LIMIT_MS));
	stop(&run);
}
END_TEST

/*
 * Entries whose lists of registered entries differ must not make agents close
 * and open connections in a loop.
 */
START_TEST(members_disagree)
{
	struct run run = {0};
	int64_t before, after;
	const char *counts;
	int i;

	start(&run, 100, NULL);
	cut_store_connection(&run);
	sys_store_control(&run.sys, "expire");
	counts = hn_str("http://127.0.0.1:%u/", run.sys.proxy_control);
	before = hn_json_int(hn_http("GET", counts, NULL), "accepted");
	hn_sleep(4000);
	after = hn_json_int(hn_http("GET", counts, NULL), "accepted");
	/*
	 * The limit includes the connections of each entry for its few store
	 * polls per second.
	 */
	ck_assert_msg(after - before < 300, "%d connections in 4 s",
	    (int)(after - before));
	restore_connections(&run);
	for (i = 0; i < 3; i++)
		ck_assert(sys_wait_job_completes(&run.sys, i, HN_LIMIT_MS));
	stop(&run);
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {in_force_is_true, operators_race,
	    no_change_without_store, restart_during_outage, members_disagree};
	int red = 0;

	red |= run_table("configuration out", out_within_bound,
	    sizeof(rows) / sizeof(rows[0]), 240);
	red |= run_table("configuration outage", outage_does_not_stop_work,
	    sizeof(outages) / sizeof(outages[0]), 240);
	red |= run_tests(
	    "configuration", tests, sizeof(tests) / sizeof(tests[0]), 240);
	return red;
}
