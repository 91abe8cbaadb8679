/*
 * Small crowds of clients that send whole requests which become large in memory,
 * or do not read their answers, on every port of an entry and an agent whose
 * machines are small.  400 heads of 12,000 headers took an entry to 270 MB, 1,500
 * connections that read no answer to 183 MB, one job of 300 kB to 100 MB.
 *
 * The bounds are the resources that the settings name: all memory of the process
 * and of its connections in the kernel stays below memory_mb, and its sockets
 * leave FILE_FDS of max_fds.  Nothing depends on the speed of the machine.
 */
#include <rpc/rpc.h>

#include "connection/run_xdr.h"
#include "deployment.h"
#include "flood.h"
#include "runner.h"

#define MEMORY_KB (INT64_C(32) * 1024)
#define MAX_FDS	  640
#define FILE_FDS  200 /* descriptors that the platform keeps for files */
#define SETTINGS  "\"memory_mb\":32,\"max_fds\":640"

#define FLOOD_MS     10000
#define N_HEADERS    12000
#define N_VALUES     100000
#define LARGE_BODY   900000
#define UNREAD_BYTES 400000 /* that a connection sends without reading */
#define SHORT_READ   64
#define OVERLONG     3600000 /* letters of a header */
#define LATER_HEAD   90000   /* below the limit of libsoup */

#define JOB_START "{\"spec\":\"20000\",\"best_effort\":true,"
/* Three of these fill the workers, and the others wait. */
#define JOB_STEPS                                                              \
	"\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":1,"                   \
	"\"estimate_ms\":10000}]"
#define HOST " HTTP/1.1\r\nHost: 127.0.0.1\r\n"

enum port { CALLERS, READINESS, ENTRY_METRICS, WORKER, AGENT_METRICS, RPC };

struct row {
	const char *name;
	enum port port;
	struct fl_texts texts;
};

static void
add_headers(GString *text)
{
	int i;

	for (i = 0; i < N_HEADERS; i++)
		g_string_append(text, "a:b\r\n");
}

static void
add_body(GString *text, const char *body, size_t len)
{
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", len);
	g_string_append_len(text, body, (gssize)len);
}

static GString *
head_with_body_away(unsigned i)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "POST /q/%016x" HOST, 0xa00 + i);
	add_headers(text);
	g_string_append(text, "Content-Length: 10\r\n\r\n");
	return text;
}

static GString *
head_without_path(unsigned i)
{
	GString *text = g_string_new("GET /nowhere" HOST);

	(void)i;
	add_headers(text);
	g_string_append(text, "\r\n");
	return text;
}

static GString *
head_of_waiting_job(unsigned i)
{
	static const char job[] = JOB_START JOB_STEPS "}";
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "POST /q/%016x" HOST, 0xb00 + i);
	add_headers(text);
	add_body(text, job, strlen(job));
	return text;
}

/* A job, or what is no heartbeat, with LARGE_BODY bytes that say nothing. */
static GString *
large_body(const char *start)
{
	g_autofree char *spaces = g_strnfill(LARGE_BODY, ' ');
	g_autofree char *body =
	    g_strconcat(JOB_START, spaces, JOB_STEPS "}", NULL);
	GString *text = g_string_new(start);

	add_body(text, body, strlen(body));
	return text;
}

static GString *
large_job(unsigned i)
{
	return large_body(hn_str("POST /q/%016x" HOST, 0xc00 + i));
}

static GString *
large_heartbeat(unsigned i)
{
	return large_body(
	    hn_str("PUT /sequoiaplank/instances/w%u" HOST, 90 + i));
}

/* A body of N_VALUES values in a member that nobody knows. */
static GString *
body_of_values(const char *start, const char *value)
{
	GString *text = g_string_new(start);
	GString *body = g_string_new(JOB_START JOB_STEPS ",\"x\":[");
	int i;

	for (i = 0; i < N_VALUES; i++)
		g_string_append(body, value);
	g_string_append(body, "0]}");
	add_body(text, body->str, body->len);
	g_string_free(body, TRUE);
	return text;
}

static GString *
job_of_objects(unsigned i)
{
	return body_of_values(hn_str("POST /q/%016x" HOST, 0xd00 + i), "{},");
}

static GString *
job_of_lists(unsigned i)
{
	return body_of_values(hn_str("POST /q/%016x" HOST, 0xd00 + i), "[],");
}

static GString *
heartbeat_of_objects(unsigned i)
{
	return body_of_values(
	    hn_str("PUT /sequoiaplank/instances/w%u" HOST, 90 + i), "{},");
}

static GString *
count_request(unsigned i)
{
	(void)i;
	return g_string_new("GET /q/" HOST "\r\n");
}

static GString *
state_request(unsigned i)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "GET /q/%016x" HOST "\r\n", 0xe00 + i);
	return text;
}

static GString *
ready_request(unsigned i)
{
	(void)i;
	return g_string_new("GET /sequoiaplank/ready" HOST "\r\n");
}

static GString *
metrics_request(unsigned i)
{
	(void)i;
	return g_string_new("GET /metrics" HOST "\r\n");
}

static GString *
unknown_worker_request(unsigned i)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
	    text, "DELETE /sequoiaplank/instances/w%u" HOST "\r\n", 900 + i);
	return text;
}

/* A job that waits, and bytes behind it. */
static GString *
job_and_more(unsigned i)
{
	static const char job[] = JOB_START JOB_STEPS "}";
	g_autofree char *more = g_strnfill(UNREAD_BYTES, 'x');
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "POST /q/%016x" HOST, 0xf00 + i);
	add_body(text, job, strlen(job));
	g_string_append(text, more);
	return text;
}

/* A head far above the limit of libsoup. */
static GString *
head_over_limit(unsigned i)
{
	g_autofree char *letters = g_strnfill(OVERLONG, 'x');
	GString *text = g_string_new("GET /" HOST "X-Large: ");

	(void)i;
	g_string_append(text, letters);
	return text;
}

static GString *
head_without_end(unsigned i)
{
	GString *text = g_string_new("GET /" HOST);

	(void)i;
	add_headers(text);
	return text;
}

/* A whole request, and a head without end behind it. */
static GString *
later_head_without_end(unsigned i)
{
	g_autofree char *letters = g_strnfill(LATER_HEAD, 'x');
	GString *text = count_request(i);

	g_string_append(text, "GET /" HOST "X-Large: ");
	g_string_append(text, letters);
	return text;
}

static GString *
empty_lines(unsigned i)
{
	(void)i;
	return g_string_new("\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n");
}

static GString *
nothing(unsigned i)
{
	(void)i;
	return g_string_new("");
}

/* Opens a link as an entry does, and sends nothing more. */
static GString *
opened_link(unsigned i)
{
	run_open_args args = {.entry = (char *)"e9", .incarnation = i + 1};
	struct rpc_msg call = {.rm_direction = CALL,
	    .rm_call = {.cb_rpcvers = RPC_MSG_VERSION,
		.cb_prog = RUN_PROG,
		.cb_vers = RUN_V1,
		.cb_proc = RUN_OPEN}};
	char record[512];
	uint32_t mark;
	XDR xdrs;

	xdrmem_create(&xdrs, record + sizeof(mark),
	    sizeof(record) - sizeof(mark), XDR_ENCODE);
	ck_assert(xdr_callmsg(&xdrs, &call) && xdr_run_open_args(&xdrs, &args));
	mark = htonl(0x80000000U | xdr_getpos(&xdrs));
	memcpy(record, &mark, sizeof(mark));
	return g_string_new_len(record, sizeof(mark) + xdr_getpos(&xdrs));
}

/* A link, and the begin of a large message on it. */
static GString *
link_with_large_record(unsigned i)
{
	g_autofree char *letters = g_strnfill(LARGE_BODY, 'x');
	uint32_t mark = htonl(0x80000000U | (LARGE_BODY + 1000));
	GString *text = opened_link(i);

	g_string_append_len(text, (const char *)&mark, sizeof(mark));
	g_string_append(text, letters);
	return text;
}

#define HEADS	  100
#define BODIES	  60
#define TREES	  4
#define UNREADERS 400
#define ENDLESS	  400
#define SILENT	  1000

#define ONCE(n, make)                                                          \
	{                                                                      \
		n, make, 0, 0, false                                           \
	}
#define IN_TURN(n, make)                                                       \
	{                                                                      \
		n, make, 0, 0, true                                            \
	}
#define UNREAD(make)                                                           \
	{                                                                      \
		UNREADERS, make, UNREAD_BYTES, 1, false                        \
	}
#define HALF_READ(make)                                                        \
	{                                                                      \
		UNREADERS, make, UNREAD_BYTES, SHORT_READ, false               \
	}
#define ENDLESS_LINES(make)                                                    \
	{                                                                      \
		ENDLESS, make, UNREAD_BYTES, 0, false                          \
	}

/* clang-format off */
static const struct row rows[] = {
    {"whole heads, bodies away", CALLERS, ONCE(HEADS, head_with_body_away)},
    {"whole heads, bodies away", READINESS, ONCE(HEADS, head_with_body_away)},
    {"whole heads, bodies away", ENTRY_METRICS, ONCE(HEADS, head_with_body_away)},
    {"whole heads, bodies away", WORKER, ONCE(HEADS, head_with_body_away)},
    {"whole heads, bodies away", AGENT_METRICS, ONCE(HEADS, head_with_body_away)},
    {"whole heads, no such path", CALLERS, ONCE(HEADS, head_without_path)},
    {"whole heads, no such path", READINESS, ONCE(HEADS, head_without_path)},
    {"whole heads, no such path", ENTRY_METRICS, ONCE(HEADS, head_without_path)},
    {"whole heads, no such path", WORKER, ONCE(HEADS, head_without_path)},
    {"whole heads, no such path", AGENT_METRICS, ONCE(HEADS, head_without_path)},
    {"whole heads, waiting jobs", CALLERS, ONCE(HEADS, head_of_waiting_job)},
    {"whole large jobs", CALLERS, IN_TURN(BODIES, large_job)},
    {"whole large heartbeats", WORKER, IN_TURN(BODIES, large_heartbeat)},
    {"jobs of many objects", CALLERS, IN_TURN(TREES, job_of_objects)},
    {"jobs of many lists", CALLERS, IN_TURN(TREES, job_of_lists)},
    {"heartbeats of many objects", WORKER, IN_TURN(TREES, heartbeat_of_objects)},
    {"unread counts", CALLERS, UNREAD(count_request)},
    {"unread states", CALLERS, UNREAD(state_request)},
    {"half-read states", CALLERS, HALF_READ(state_request)},
    {"input behind a waiting job", CALLERS, ONCE(UNREADERS, job_and_more)},
    {"unread readiness", READINESS, UNREAD(ready_request)},
    {"unread metrics", ENTRY_METRICS, UNREAD(metrics_request)},
    {"half-read metrics", ENTRY_METRICS, HALF_READ(metrics_request)},
    {"unread answers", WORKER, UNREAD(unknown_worker_request)},
    {"unread metrics", AGENT_METRICS, UNREAD(metrics_request)},
    {"heads over the limit", CALLERS, ONCE(HEADS, head_over_limit)},
    {"heads over the limit", WORKER, ONCE(HEADS, head_over_limit)},
    {"heads without end", CALLERS, ENDLESS_LINES(head_without_end)},
    {"heads without end", AGENT_METRICS, ENDLESS_LINES(head_without_end)},
    {"later heads without end", CALLERS, ONCE(ENDLESS, later_head_without_end)},
    {"later heads without end", READINESS, ONCE(ENDLESS, later_head_without_end)},
    {"empty lines without end", CALLERS, ENDLESS_LINES(empty_lines)},
    {"empty lines without end", WORKER, ENDLESS_LINES(empty_lines)},
    {"silent connections", CALLERS, ONCE(SILENT, nothing)},
    {"silent connections", WORKER, ONCE(SILENT, nothing)},
    {"silent connections", RPC, ONCE(SILENT, nothing)},
    {"links that send no more", RPC, ONCE(SILENT, opened_link)},
    {"links with large records", RPC, ONCE(HEADS, link_with_large_record)},
};
/* clang-format on */

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

static struct hn_proc *
process(const struct dpl *dpl, enum port port)
{
	return port <= ENTRY_METRICS ? dpl->entry[0] : dpl->agent[0];
}

static struct fl *
start_crowd(const struct dpl *dpl, const struct row *row)
{
	return fl_start_texts(&row->texts, port_number(dpl, row->port),
	    hn_pid(process(dpl, row->port)));
}

static void
check_peak(const char *name, int port, struct fl_peak peak)
{
	printf("port %d, %s: %d kB, of these anonymous %d, unread %d, unsent "
	       "%d; %d descriptors\n",
	    port, name, (int)peak.total_kb, (int)peak.anon_kb,
	    (int)peak.unread_kb, (int)peak.unsent_kb, (int)peak.fds);
	fflush(stdout);
	ck_assert_msg(peak.total_kb < MEMORY_KB * FL_SANITIZER_FACTOR,
	    "port %d, %s: %d kB", port, name, (int)peak.total_kb);
	ck_assert_msg(peak.fds <= MAX_FDS - FILE_FDS,
	    "port %d, %s: %d descriptors", port, name, (int)peak.fds);
}

/* What an ordinary caller asks while the crowd is connected. */
static void
check_beside(const struct dpl *dpl)
{
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(dpl, 0, "/q/"), NULL)->status == 200,
	    HN_LIMIT_MS));
}

static void
check_afterwards(const struct dpl *dpl, struct hn_proc *proc, int64_t fds)
{
	ck_assert(hn_wait_until(dpl_completes_job(dpl, 0), HN_LIMIT_MS));
	ck_assert_int_eq(hn_wait_exit(proc, 0), -1);
	/* What the crowd took is released, but for a job's connections. */
	ck_assert(
	    hn_wait_until(fl_count_fds(hn_pid(proc)) <= fds + 16, HN_LIMIT_MS));
}

START_TEST(crowd_is_bounded)
{
	const struct row *row = &rows[_i];
	struct hn_proc *proc;
	struct dpl dpl;
	struct fl *fl;
	int64_t fds;

	limit_asan_quarantine();
	dpl_start(&dpl, &(struct dpl_options){.settings = SETTINGS});
	proc = process(&dpl, row->port);
	fds = fl_count_fds(hn_pid(proc));
	fl = start_crowd(&dpl, row);
	fl_run(fl, FLOOD_MS);
	fl_settle(&fl, 1, FLOOD_MS);
	check_peak(row->name, (int)row->port, fl_peak(fl));
	check_beside(&dpl);
	fl_free(fl);
	check_afterwards(&dpl, proc, fds);
	hn_finish();
}
END_TEST

/* Crowds of several kinds at once, on the ports of one process. */
START_TEST(mixed_crowds_are_bounded)
{
	static const struct row mix[] = {
	    {"", CALLERS, ONCE(HEADS, head_of_waiting_job)},
	    {"", CALLERS, IN_TURN(BODIES, large_job)},
	    {"", CALLERS, IN_TURN(TREES, job_of_objects)},
	    {"", CALLERS, ENDLESS_LINES(head_without_end)},
	    {"", READINESS, ONCE(HEADS, head_with_body_away)},
	    {"", ENTRY_METRICS, UNREAD(metrics_request)},
	};
	struct fl *fls[G_N_ELEMENTS(mix)];
	struct fl_peak peak;
	struct dpl dpl;
	int64_t fds;
	size_t i;

	limit_asan_quarantine();
	dpl_start(&dpl, &(struct dpl_options){.settings = SETTINGS});
	fds = fl_count_fds(hn_pid(dpl.entry[0]));
	for (i = 0; i < G_N_ELEMENTS(mix); i++)
		fls[i] = start_crowd(&dpl, &mix[i]);
	fl_run_all(fls, G_N_ELEMENTS(mix), FLOOD_MS);
	fl_settle(fls, G_N_ELEMENTS(mix), FLOOD_MS);
	peak = fl_peak(fls[0]);
	/* Of the ports, the sum of their peaks, which is more than at once. */
	peak.total_kb = peak.anon_kb;
	for (i = 3; i < G_N_ELEMENTS(mix); i++)
		peak.total_kb +=
		    fl_peak(fls[i]).unread_kb + fl_peak(fls[i]).unsent_kb;
	check_peak("mixed crowds", CALLERS, peak);
	check_beside(&dpl);
	for (i = 0; i < G_N_ELEMENTS(mix); i++)
		fl_free(fls[i]);
	check_afterwards(&dpl, dpl.entry[0], fds);
	hn_finish();
}
END_TEST

int
main(void)
{
	const char *row = getenv("SCENARIO");
	int first = row == NULL ? 0 : atoi(row);
	int end = row == NULL ? (int)G_N_ELEMENTS(rows) : first + 1;
	TCase *tc = tcase_create("flood_requests");

	tcase_add_loop_test(tc, crowd_is_bounded, first, end);
	if (row == NULL)
		tcase_add_test(tc, mixed_crowds_are_bounded);
	return run_tcase("flood_requests", tc, 4 * HN_LIMIT_MS / 1000.0);
}
