/*
 * Requests that are malformed as HTTP, on the ports of real processes: each has
 * one answer that says what is wrong, and changes nothing.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "deployment.h"
#include "rawhttp.h"
#include "runner.h"

#define ANSWER_MAX     8192
#define ANSWER_WAIT_MS 500
#define BODY_LIMIT_MS  30000 /* for a body in chunks to arrive */
#define LARGE_BYTES    200000
#define PATH	       "/q/00000000000007a0"
#define JOB                                                                    \
	"{\"spec\":\"1\",\"best_effort\":true,\"steps\":["                     \
	"{\"count\":1,\"cpu\":1000,\"mem_mb\":1}]}" /* 75 bytes, 0x4b */
#define POST	  "$ HTTP/1.1\r\nHost: 127.0.0.1\r\n"
#define CHUNKED	  POST "Transfer-Encoding: chunked\r\n\r\n"
#define JOB_CHUNK "4b\r\n" JOB "\r\n"

/* Who answers a row, and on which ports. */
enum by {
	HANDLER, /* the clients' port only */
	FRAMING, /* every port, before the request is handled */
	LIBSOUP	 /* every port; the answer has no body */
};

struct row {
	const char *name;
	/* "$" stands for method and path, "@" for LARGE_BYTES letters. */
	const char *request;
	int status; /* 0: the connection is closed without an answer */
	enum by by;
	bool half_close; /* no more bytes follow */
};

static const struct row rows[] = {
    {"empty body", POST "Content-Length: 0\r\n\r\n", 400, HANDLER, false},
    {"cut JSON", POST "Content-Length: 10\r\n\r\n{\"spec\":\"1", 400, HANDLER,
	false},
    {"other method", "BREW " PATH " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 405,
	HANDLER, false},
    {"no job id",
	"POST /q/7 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
	"Content-Length: 75\r\n\r\n" JOB,
	400, HANDLER, false},
    {"no length", POST "\r\n", 411, FRAMING, false},
    {"negative length", POST "Content-Length: -1\r\n\r\n" JOB, 400, FRAMING,
	false},
    {"length beyond 64 bits",
	POST "Content-Length: 99999999999999999999\r\n\r\n" JOB, 400, FRAMING,
	false},
    {"two lengths", POST "Content-Length: 75\r\nContent-Length: 5\r\n\r\n" JOB,
	400, FRAMING, false},
    {"length and chunks",
	POST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" JOB_CHUNK
	     "0\r\n\r\n",
	400, FRAMING, false},
    {"chunk size of letters", CHUNKED "zz\r\n" JOB "\r\n0\r\n\r\n", 400,
	FRAMING, false},
    {"chunk size with a prefix", CHUNKED "0x4b\r\n" JOB "\r\n0\r\n\r\n", 400,
	FRAMING, false},
    {"negative chunk size", CHUNKED "-5\r\n" JOB "\r\n0\r\n\r\n", 400, FRAMING,
	false},
    {"huge chunk size", CHUNKED "ffffffffffffffffff\r\n" JOB "\r\n0\r\n\r\n",
	400, FRAMING, false},
    {"bad chunk after a whole job", CHUNKED JOB_CHUNK "zz\r\n\r\n", 400,
	FRAMING, false},
    {"end of the input after a whole job", CHUNKED JOB_CHUNK, 400, FRAMING,
	true},
    {"end of the input in a chunk", CHUNKED "4b\r\n{\"spec\"", 400, FRAMING,
	true},
    {"end of the input in a body", POST "Content-Length: 75\r\n\r\n{\"spec\"",
	0, LIBSOUP, true},
    {"length with letters", POST "Content-Length: 75x\r\n\r\n" JOB, 400,
	LIBSOUP, false},
    {"two lengths in one header", POST "Content-Length: 75, 5\r\n\r\n" JOB, 400,
	LIBSOUP, false},
    {"other coding", POST "Transfer-Encoding: gzip\r\n\r\n" JOB, 501, LIBSOUP,
	false},
    {"no request", "GARBAGE\r\n\r\n", 400, LIBSOUP, false},
    {"no host", "$ HTTP/1.1\r\nContent-Length: 75\r\n\r\n" JOB, 400, LIBSOUP,
	false},
    {"large header", POST "X-Large: @\r\nContent-Length: 75\r\n\r\n" JOB, 0,
	LIBSOUP, false},
    {"large path", "GET /q/@ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 0, LIBSOUP,
	false},
};

static char *
replace(const char *text, const char *sign, const char *by)
{
	char **parts = g_strsplit(text, sign, 2);
	char *replaced = g_strjoinv(by, parts);

	g_strfreev(parts);
	return replaced;
}

static char *
request_of(const struct row *row, const char *target)
{
	g_autofree char *large = g_strnfill(LARGE_BYTES, 'x');
	g_autofree char *text = replace(row->request, "$", target);

	return replace(text, "@", large);
}

/* Sends a request and reads what is answered within ANSWER_WAIT_MS. */
static char *
exchange(uint16_t port, const struct row *row, const char *target)
{
	g_autofree char *request = request_of(row, target);
	char *answer;
	int fd = rh_connect(port, ANSWER_WAIT_MS);

	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0)
		perror("send");
	if (row->half_close)
		shutdown(fd, SHUT_WR);
	answer = rh_receive(fd, ANSWER_MAX);
	close(fd);
	return answer;
}

static void
check_answer(const char *port_name, uint16_t port, const struct row *row,
    const char *target)
{
	g_autofree char *answer = exchange(port, row, target);
	int status = rh_status(answer);

	ck_assert_msg(
	    status == row->status && rh_count_answers(answer) == (status != 0),
	    "%s, %s: expected %d, got %d answers: \"%.300s\"", port_name,
	    row->name, row->status, rh_count_answers(answer), answer);
	ck_assert_msg(
	    row->by == LIBSOUP || g_str_has_prefix(answer, "HTTP/1.1 "),
	    "%s, %s: \"%.300s\"", port_name, row->name, answer);
	ck_assert_msg(
	    row->by == LIBSOUP || strstr(answer, "\"reason\":\"") != NULL,
	    "%s, %s: no reason in \"%.300s\"", port_name, row->name, answer);
}

/*
 * Requests had no answer, two, or one that did not say what was wrong; a job was
 * run although its request was malformed after it.
 */
/*
 * A body in chunks that did not arrive in time was closed without an answer, so
 * that its client could not tell this from a lost connection.
 */
START_TEST(late_body_answered)
{
	static const char request[] = "POST " PATH " HTTP/1.1\r\n"
				      "Host: 127.0.0.1\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "4b\r\n{\"spec\"";
	g_autofree char *answer = NULL;
	struct dpl dpl;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	fd = rh_connect(dpl.entry_port[0], BODY_LIMIT_MS + ANSWER_WAIT_MS);
	ck_assert_int_eq(
	    send(fd, request, strlen(request), MSG_NOSIGNAL), strlen(request));
	answer = rh_receive(fd, ANSWER_MAX);
	ck_assert_msg(rh_status(answer) == 408 && rh_count_answers(answer) == 1,
	    "answer: %s", answer);
	close(fd);
	ck_assert(dpl_completes_job(&dpl, 0));
	hn_finish();
}
END_TEST

START_TEST(one_answer_on_each_port)
{
	const struct row *row = &rows[_i];
	struct hn_http *starts;
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	check_answer("clients", dpl.entry_port[0], row, "POST " PATH);
	if (row->by != HANDLER) {
		check_answer("heartbeats", dpl.control_port[0], row,
		    "PUT /sequoiaplank/instances/w0");
		check_answer("ready", dpl.entry_ready_port, row,
		    "POST /sequoiaplank/ready");
		check_answer(
		    "metrics", dpl.agent_metrics_port, row, "POST /metrics");
	}
	starts = dpl_control(&dpl, "GET", "starts?job=00000000000007a0", NULL);
	ck_assert_int_eq(hn_json_int(starts, "starts"), 0);
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], 0), -1);
	ck_assert_int_eq(hn_wait_exit(dpl.agent[0], 0), -1);
	ck_assert(dpl_completes_job(&dpl, 0));
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {late_body_answered};
	int status = run_rows("odd_requests", one_answer_on_each_port, 0,
	    (int)G_N_ELEMENTS(rows), 1, 2 * HN_LIMIT_MS / 1000.0);

	return status |
	       run_tests("late_bodies", tests, 1, 2 * HN_LIMIT_MS / 1000.0);
}
