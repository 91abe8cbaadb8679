/*
 * Small crowds on every port of spentryd and spagentd, which had no limit on what
 * all of their clients take together.  The bounds are the resources that the
 * settings name, as in test_flood_requests.
 */
#include "flood.h"
#include "runner.h"
#include "system.h"

#define MEMORY_KB (INT64_C(64) * 1024)
#define MAX_FDS	  640
#define FILE_FDS  200 /* descriptors that are kept for files */
#define SETTINGS  ",\"memory_mb\":64,\"max_fds\":640"

#define FLOOD_MS     10000
#define N_HEADERS    12000
#define PART_OF_BODY 2000000
#define UNREAD_BYTES 400000

#define HOST " HTTP/1.1\r\nHost: 127.0.0.1\r\n"

enum port { CALLERS, OPERATORS, RPC, LOCAL };

struct row {
	const char *name;
	enum port port;
	struct fl_texts texts;
};

static GString *
head_with_body_away(unsigned i)
{
	GString *text = g_string_new("POST /v1/ids" HOST);

	(void)i;
	for (i = 0; i < N_HEADERS; i++)
		g_string_append(text, "a:b\r\n");
	g_string_append(text, "Content-Length: 10\r\n\r\n");
	return text;
}

static GString *
part_of_body(unsigned i)
{
	g_autofree char *spaces = g_strnfill(PART_OF_BODY, ' ');
	GString *text = g_string_new(
	    "POST /v1/ids" HOST "Content-Length: 10000000\r\n\r\n");

	(void)i;
	g_string_append(text, spaces);
	return text;
}

static GString *
metrics_request(unsigned i)
{
	(void)i;
	return g_string_new("GET /metrics" HOST "\r\n");
}

static GString *
nothing(unsigned i)
{
	(void)i;
	return g_string_new("");
}

/* clang-format off */
static const struct row rows[] = {
    {"heads with bodies away", CALLERS, {100, head_with_body_away, 0, 0, false}},
    {"heads with bodies away", OPERATORS, {100, head_with_body_away, 0, 0, false}},
    {"heads with bodies away", LOCAL, {100, head_with_body_away, 0, 0, false}},
    {"parts of bodies", CALLERS, {60, part_of_body, 0, 0, false}},
    {"unread metrics", CALLERS, {400, metrics_request, UNREAD_BYTES, 1, false}},
    {"unread metrics", OPERATORS, {400, metrics_request, UNREAD_BYTES, 1, false}},
    {"unread metrics", LOCAL, {400, metrics_request, UNREAD_BYTES, 1, false}},
    {"silent connections", CALLERS, {1000, nothing, 0, 0, false}},
    {"silent connections", LOCAL, {1000, nothing, 0, 0, false}},
    {"silent connections", RPC, {1000, nothing, 0, 0, false}},
};
/* clang-format on */

static uint16_t
port_number(const struct sys *sys, enum port port)
{
	switch (port) {
	case CALLERS:
		return sys->entry[0].listen;
	case OPERATORS:
		return sys->entry[0].operators;
	case RPC:
		return sys->entry[0].rpc;
	case LOCAL:
		break;
	}
	return sys->agent[0].listen;
}

START_TEST(crowd_is_bounded)
{
	const struct row *row = &rows[_i];
	struct sys sys;
	struct hn_proc *proc;
	struct fl_peak peak;
	struct fl *fl;
	int64_t fds;

	limit_asan_quarantine();
	sys_start(&sys, &(struct sys_options){.entries = 1,
			    .agents = 1,
			    .domains = 1,
			    .direct = true,
			    .entry_settings = SETTINGS,
			    .agent_settings = SETTINGS});
	proc = row->port == LOCAL ? sys.agent[0].proc : sys.entry[0].proc;
	fds = fl_count_fds(hn_pid(proc));
	fl = fl_start_texts(
	    &row->texts, port_number(&sys, row->port), hn_pid(proc));
	fl_run(fl, FLOOD_MS);
	fl_settle(&fl, 1, FLOOD_MS);
	peak = fl_peak(fl);
	printf("port %d, %s: %d kB, of these anonymous %d, unread %d, unsent "
	       "%d; %d descriptors\n",
	    (int)row->port, row->name, (int)peak.total_kb, (int)peak.anon_kb,
	    (int)peak.unread_kb, (int)peak.unsent_kb, (int)peak.fds);
	fflush(stdout);
	ck_assert_int_lt(peak.total_kb, MEMORY_KB * FL_SANITIZER_FACTOR);
	ck_assert_int_le(peak.fds, MAX_FDS - FILE_FDS);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	fl_free(fl);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	ck_assert_int_eq(hn_wait_exit(proc, 0), -1);
	/* What the crowd took is released, but for jobs' connections. */
	ck_assert(
	    hn_wait_until(fl_count_fds(hn_pid(proc)) <= fds + 16, HN_LIMIT_MS));
	hn_finish();
}
END_TEST

int
main(void)
{
	const char *row = getenv("SCENARIO");
	int first = row == NULL ? 0 : atoi(row);

	return run_rows("flood_daemons", crowd_is_bounded, first,
	    row == NULL ? (int)G_N_ELEMENTS(rows) : first + 1, 1,
	    4 * HN_LIMIT_MS / 1000.0);
}
