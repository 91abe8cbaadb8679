/*
 * What callers inside the limits get while others flood the entry, and the
 * operators' limits on heads and times, with real processes.
 */
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "deployment.h"
#include "flood.h"
#include "rawhttp.h"
#include "runner.h"

#define FLOOD_MS     20000
#define CROWD	     1200
#define ANSWER_MAX   4096
#define N_JOBS	     20
#define PADDING	     200000 /* a whole body under the limit of 256 KB */
#define LARGE_BODY   20000000
#define HEAD_LIMIT   ((size_t)2048)
#define TIMEOUT_MS   300
#define SLOW_PIECES  10
#define SLOW_STEP_MS 100

#define MEMORY_KB INT64_C(61440) /* half of 120 MB */

#define JOB                                                                    \
	"{\"spec\":\"1\",\"best_effort\":true,\"steps\":["                     \
	"{\"count\":1,\"cpu\":1000,\"mem_mb\":1}]}"

static const struct fl_kind heads = {"incomplete heads",
    "GET /q/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Large: ", 0, 'x', 50000, CROWD};

static const char *
request(unsigned id, size_t padding)
{
	g_autofree char *spaces = g_strnfill(padding, ' ');

	return hn_str("POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		      "Content-Length: %zu\r\n\r\n" JOB "%s",
	    id, sizeof(JOB) - 1 + padding, spaces);
}

static void
send_text(int fd, const char *text, size_t len)
{
	ck_assert_int_eq(send(fd, text, len, MSG_NOSIGNAL), len);
}

/* Closes the connection. */
static int
status_of(int fd)
{
	g_autofree char *answer = rh_receive(fd, 12);

	close(fd);
	return rh_status(answer);
}

/*
 * A caller that sends its request in small pieces must not be taken for one of
 * the flood; one that sends a whole request must be served beside it.
 */
START_TEST(callers_inside_limits_are_served)
{
	const char *slow_text = request(0x7b1, 0);
	size_t step = strlen(slow_text) / SLOW_PIECES + 1, sent = 0, len;
	const char *large_text = request(0x7b2, PADDING);
	struct dpl dpl;
	struct fl *fl;
	int slow, large;

	dpl_start(&dpl, &(struct dpl_options){0});
	slow = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
	send_text(slow, slow_text, step);
	sent = step;
	fl = fl_start(&heads, dpl.entry_port[0], hn_pid(dpl.entry[0]));
	fl_run(fl, FLOOD_MS);
	large = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
	send_text(large, large_text, strlen(large_text));
	ck_assert_int_eq(status_of(large), 200);
	for (; sent < strlen(slow_text); sent += len) {
		hn_sleep(SLOW_STEP_MS);
		len = MIN(step, strlen(slow_text) - sent);
		send_text(slow, slow_text + sent, len);
	}
	ck_assert_int_eq(status_of(slow), 200);
	fl_free(fl);
	hn_finish();
}
END_TEST

/*
 * A body above the limit is answered 413, also one above the bound on incomplete
 * input of all connections.
 */
START_TEST(large_body_is_answered)
{
	const char *text = request(0x7b3, LARGE_BODY);
	struct dpl dpl;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	fd = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
	send_text(fd, text, strlen(text));
	ck_assert_int_eq(status_of(fd), 413);
	hn_finish();
}
END_TEST

/*
 * A flood whose connections come again as soon as they are closed must neither
 * grow nor keep out callers.
 */
START_TEST(callers_are_served_beside_lasting_flood)
{
	struct hn_http *job;
	struct dpl dpl;
	struct fl *fl;
	int i;

	limit_asan_quarantine();
	dpl_start(&dpl, &(struct dpl_options){0});
	fl = fl_start(&heads, dpl.entry_port[0], hn_pid(dpl.entry[0]));
	fl_repeat(fl);
	for (i = 0; i < N_JOBS; i++) {
		job = hn_http_start("POST",
		    dpl_url(&dpl, 0, hn_str("/q/%016x", 0x7c0 + i)), NULL, JOB);
		while (!job->done)
			fl_step(fl);
		ck_assert_int_eq(job->status, 200);
	}
	printf("lasting flood: %d kB, %d descriptors\n",
	    (int)fl_peak(fl).anon_kb, (int)fl_peak(fl).fds);
	ck_assert_int_lt(fl_peak(fl).anon_kb, MEMORY_KB * FL_SANITIZER_FACTOR);
	fl_free(fl);
	hn_finish();
}
END_TEST

static void
configure(const struct dpl *dpl, const char *limits)
{
	dpl_control(dpl, "PUT", "key?key=op/config",
	    hn_str("{\"version\":5,\"routes\":[{\"name\":\"q\",\"host\":"
		   "\"127.0.0.1\",\"prefix\":\"/r/\",\"service\":\"desk\","
		   "\"priority\":0,\"max_attempts\":4,\"stretch\":1.5,"
		   "\"target_completion_ms\":60}],\"services\":[],"
		   "\"limits\":{%s}}",
		limits));
	/* The routes come into force together with the limits. */
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(dpl, 0, "/r/"), NULL)->status == 200,
	    HN_LIMIT_MS));
}

static int
status_of_head(uint16_t port, size_t padding)
{
	g_autofree char *letters = g_strnfill(padding, 'x');
	const char *text = hn_str("GET /r/ HTTP/1.1\r\nHost: 127.0.0.1\r\n"
				  "Connection: close\r\nX-Large: %s\r\n\r\n",
	    letters);
	int fd = rh_connect(port, HN_LIMIT_MS);

	send_text(fd, text, strlen(text));
	return status_of(fd);
}

static int64_t
refused_heads(const struct dpl *dpl)
{
	static const char name[] =
	    "\nsp_intake_closed_total{reason=\"head_bytes\"} ";
	struct hn_http *metrics = hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", dpl->entry_metrics_port),
	    NULL);
	const char *line = strstr(metrics->body, name);

	ck_assert_ptr_nonnull(line);
	return g_ascii_strtoll(line + strlen(name), NULL, 10);
}

/* max_header_bytes of the operators' configuration had no effect. */
START_TEST(head_limit_applies)
{
	struct dpl dpl;
	int status;

	dpl_start(&dpl, &(struct dpl_options){0});
	configure(&dpl, hn_str("\"max_header_bytes\":%zu", HEAD_LIMIT));
	ck_assert_int_eq(
	    status_of_head(dpl.entry_port[0], HEAD_LIMIT / 2), 200);
	status = status_of_head(dpl.entry_port[0], 16 * HEAD_LIMIT);
	ck_assert_msg(status == 431 || status == 0, "status %d", status);
	ck_assert(hn_wait_until(refused_heads(&dpl) == 1, HN_LIMIT_MS));
	hn_finish();
}
END_TEST

/* The connection must end without an answer. */
static void
check_closed(uint16_t port, const char *text)
{
	int fd = rh_connect(port, HN_LIMIT_MS);
	char byte;

	send_text(fd, text, strlen(text));
	ck_assert_int_le(recv(fd, &byte, 1, 0), 0);
	ck_assert_int_ne(errno, EAGAIN);
	close(fd);
}

/* header_timeout_ms and idle_timeout_ms of the operators had no effect. */
START_TEST(time_limits_apply)
{
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	configure(
	    &dpl, hn_str("\"header_timeout_ms\":%d,\"idle_timeout_ms\":%d",
		      TIMEOUT_MS, TIMEOUT_MS));
	errno = 0;
	check_closed(dpl.entry_port[0], "GET /r/ HTTP/1.1\r\nHost: ");
	check_closed(dpl.entry_port[0], "");
	check_closed(dpl.entry_ready_port, "GET /");
	hn_finish();
}
END_TEST

TEST_MAIN("flood_limits", 4 * HN_LIMIT_MS / 1000.0,
    callers_inside_limits_are_served, callers_are_served_beside_lasting_flood,
    large_body_is_answered, head_limit_applies, time_limits_apply)
