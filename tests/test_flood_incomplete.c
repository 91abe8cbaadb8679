/*
 * Many connections that each send the begin of a request and no end, on every
 * port of entry and agent.  2,400 of them took an entry to 186 MB, more than the
 * smallest machine has (docs/design/hard-load.md).
 *
 * The memory is bounded by half of that of the smallest machines, the descriptors
 * by what leaves room for the links to 75 agents and for files.
 */
#include "deployment.h"
#include "flood.h"
#include "runner.h"

#define ENTRY_MEMORY_KB (120 * 1024 / 2)
#define AGENT_MEMORY_KB (128 * 1024 / 2)
#define MAX_FDS		1800
#define FLOOD_MS	20000
#define CROWD		1200

enum port { CALLERS, READINESS, ENTRY_METRICS, WORKER, AGENT_METRICS, RPC };

#define POST_CALLERS "POST /q/00000000000007a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
#define POST_SMALL   "POST /sequoiaplank/ready HTTP/1.1\r\nHost: 127.0.0.1\r\n"
#define PUT_WORKER                                                             \
	"PUT /sequoiaplank/instances/w9 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
/* A last fragment of 4,000,000 bytes, and the begin of a call. */
#define RECORD "\x80\x3d\x09\x00\0\0\0\1\0\0\0\0\0\0\0\2"

struct row {
	enum port port;
	struct fl_kind kind;
};

#define HEAD_KIND(start)                                                       \
	{                                                                      \
		"incomplete heads", start "X-Large: ", 0, 'x', 50000, CROWD    \
	}
#define LINE_KIND                                                              \
	{                                                                      \
		"incomplete request line", "GET /q/", 0, 'x', 50000, CROWD     \
	}
#define EMPTY_KIND                                                             \
	{                                                                      \
		"empty lines", "\r\n", 0, '\n', 200000, CROWD                  \
	}
#define BODY_KIND(start, length, sent)                                         \
	{                                                                      \
		"incomplete bodies",                                           \
		    start "Content-Length: " length "\r\n\r\n", 0, ' ', sent,  \
		    CROWD                                                      \
	}
#define OVER_KIND(start)                                                       \
	{                                                                      \
		"heads over the limit", start "X-Large: ", 0, 'x', 200000,     \
		    CROWD                                                      \
	}
#define SILENT_KIND                                                            \
	{                                                                      \
		"silent connections", "", 0, 0, 0, 2400                        \
	}
#define HTTP_ROWS(port, start, length, sent)                                   \
	{port, HEAD_KIND(start)}, {port, LINE_KIND}, {port, EMPTY_KIND},       \
	    {port, BODY_KIND(start, length, sent)}, {port, OVER_KIND(start)},  \
	{                                                                      \
		port, SILENT_KIND                                              \
	}

static const struct row rows[] = {
    HTTP_ROWS(CALLERS, POST_CALLERS, "100000", 90000),
    HTTP_ROWS(READINESS, POST_SMALL, "65000", 60000),
    HTTP_ROWS(ENTRY_METRICS, POST_SMALL, "65000", 60000),
    HTTP_ROWS(WORKER, PUT_WORKER, "100000", 90000),
    HTTP_ROWS(AGENT_METRICS, POST_SMALL, "65000", 60000),
    {RPC,
	{"incomplete records", RECORD, sizeof(RECORD) - 1, 'x', 100000, CROWD}},
    {RPC, SILENT_KIND},
};

static uint16_t
port_number(const struct dpl *dpl, enum port port)
{
	switch (port) {
	case CALLERS:
		return dpl->entry_port[0];
	case READINESS:
		return dpl->entry_ready_port;
	case ENTRY_METRICS:
		return dpl->entry_metrics_port;
	case WORKER:
		return dpl->control_port[0];
	case AGENT_METRICS:
		return dpl->agent_metrics_port;
	case RPC:
		break;
	}
	return dpl->agent_port[0];
}

static void
check_peak(const struct row *row, struct fl_peak peak)
{
	int64_t memory_kb =
	    row->port <= ENTRY_METRICS ? ENTRY_MEMORY_KB : AGENT_MEMORY_KB;

	printf("port %d, %s: %d kB, %d descriptors\n", (int)row->port,
	    row->kind.name, (int)peak.anon_kb, (int)peak.fds);
	ck_assert_msg(peak.anon_kb < memory_kb * FL_SANITIZER_FACTOR,
	    "port %d, %s: %d kB of memory", (int)row->port, row->kind.name,
	    (int)peak.anon_kb);
	ck_assert_msg(peak.fds < MAX_FDS, "port %d, %s: %d descriptors",
	    (int)row->port, row->kind.name, (int)peak.fds);
}

/*
 * As dpl_completes_job(), and shows why a job was not completed.  By its estimate
 * it may wait for 30 s, so that the result does not depend on the speed of a
 * machine that is busy with the flood.
 */
static void
check_job(const struct dpl *dpl, const struct hn_proc *proc, const char *when)
{
	static const char *const texts[] = {
	    "\"job_unserved\"", "\"refusal\"", "\"pause\"", NULL};
	static unsigned id = 0x7d0;
	struct hn_http *job =
	    hn_http("POST", dpl_url(dpl, 0, hn_str("/q/%016x", id++)),
		"{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":12,"
		"\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":10000}]}");

	if (job->status != 200) {
		hn_print_log(dpl->entry[0], texts);
		hn_print_log(proc, texts);
	}
	ck_assert_msg(job->status == 200,
	    "job %s the flood: %d %.200s after "
	    "%d ms",
	    when, job->status, job->body, (int)job->took_ms);
}

/*
 * Nothing bounded the incomplete requests of all connections together, so that
 * they took the memory of the process, and connections its descriptors.
 */
START_TEST(flood_is_bounded)
{
	const struct row *row = &rows[_i];
	struct hn_proc *proc;
	struct dpl dpl;
	struct fl *fl;
	int64_t fds;

	limit_asan_quarantine();
	dpl_start(&dpl, &(struct dpl_options){0});
	proc = row->port <= ENTRY_METRICS ? dpl.entry[0] : dpl.agent[0];
	fds = fl_count_fds(hn_pid(proc));
	fl = fl_start(&row->kind, port_number(&dpl, row->port), hn_pid(proc));
	fl_run(fl, FLOOD_MS);
	check_job(&dpl, proc, "beside");
	fl_run(fl, FLOOD_MS);
	check_peak(row, fl_peak(fl));
	fl_free(fl);
	check_job(&dpl, proc, "after");
	ck_assert_int_eq(hn_wait_exit(proc, 0), -1);
	/* What the flood took is released, but for a job's connections. */
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

	return run_rows("flood_incomplete", flood_is_bounded, first,
	    row == NULL ? (int)G_N_ELEMENTS(rows) : first + 1, 1,
	    4 * HN_LIMIT_MS / 1000.0);
}
