/*
 * Bodies of jobs as clients may send them, with real processes: each is served
 * or refused as a whole, and no process ends.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "deployment.h"
#include "rawhttp.h"
#include "runner.h"

#define JOB                                                                    \
	"{\"spec\":\"1\",\"best_effort\":true,\"steps\":["                     \
	"{\"count\":1,\"cpu\":1000,\"mem_mb\":1}]}"
#define CHUNK_BYTES 7
#define N_JOBS	    30
/* Above the default limit of a body. */
#define LARGE_BYTES ((size_t)3 * 1024 * 1024)

/* A spec as a JSON text, and the bytes that it stands for. */
struct spec_row {
	const char *json;
	const char *bytes;
	int len; /* -1: the job is refused */
};

static const struct spec_row spec_rows[] = {
    {"", "", 0},
    {"plain", "plain", 5},
    {"\\ud83d\\ude00\\uDBFF\\uDFFF", "\xf0\x9f\x98\x80\xf4\x8f\xbf\xbf", 8},
    {"\\ufffd\\\\ud800", "\xef\xbf\xbd\\ud800", 9},
    {"a\\u0000b", "a\0b", 3},
    {"\\u0000", "\0", 1},
    {"1\\u0000\\u0000", "1\0", 3},
    {"a\\ud800b", NULL, -1},
    {"a\\udc00b", NULL, -1},
    {"\\ud83d\\u0041", NULL, -1},
    {"\xed\xa0\x80", NULL, -1},
    {"x\",\"spec\\u0000z\":\"y", NULL, -1},
    {"x\",\"spec\":\"y", NULL, -1},
};

/* Sends a job in chunks of a size; the end may be left out. */
static int
send_chunked(uint16_t port, unsigned id, const char *body, size_t len,
    size_t chunk_bytes, bool complete)
{
	GString *text = g_string_new(NULL);
	int fd = rh_connect(port, HN_LIMIT_MS);
	size_t at, n;

	g_string_append_printf(text,
	    "POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
	    "Content-Type: application/json\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id);
	for (at = 0; at < len; at += n) {
		n = MIN(chunk_bytes, len - at);
		g_string_append_printf(text, "%zx\r\n", n);
		g_string_append_len(text, body + at, (gssize)n);
		g_string_append(text, "\r\n");
	}
	if (complete)
		g_string_append(text, "0\r\n\r\n");
	/* The entry may close the connection of a body that is too large. */
	if (send(fd, text->str, text->len, MSG_NOSIGNAL) < 0)
		perror("send");
	if (!complete)
		shutdown(fd, SHUT_WR);
	g_string_free(text, TRUE);
	return fd;
}

/* The status of the answer; 0: the connection ended without one. */
static int
read_status(int fd)
{
	char text[512] = "";
	int status = 0;

	if (recv(fd, text, sizeof(text) - 1, 0) > 0)
		status =
		    g_str_has_prefix(text, "HTTP/1.1 ") ? rh_status(text) : 0;
	close(fd);
	return status;
}

/*
 * A job whose body came in chunks ended the entry with SIGSEGV, depending on
 * what another job had left on the stack, or was refused with 400.
 */
START_TEST(chunked_jobs_served)
{
	struct hn_http *plain[N_JOBS];
	int fds[N_JOBS];
	struct dpl dpl;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < N_JOBS; i++) {
		plain[i] = hn_http_start("POST",
		    dpl_url(&dpl, 0, hn_str("/q/%016x", 0x100 + i)), NULL, JOB);
		fds[i] = send_chunked(dpl.entry_port[0], 0x200 + i, JOB,
		    strlen(JOB), CHUNK_BYTES, true);
	}
	for (i = 0; i < N_JOBS; i++) {
		ck_assert_int_eq(
		    hn_http_wait(plain[i], HN_LIMIT_MS)->status, 200);
		ck_assert_int_eq(read_status(fds[i]), 200);
	}
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], 0), -1);
	hn_finish();
}
END_TEST

START_TEST(large_bodies_refused)
{
	g_autofree char *body = g_strnfill(LARGE_BYTES, ' ');
	struct dpl dpl;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	fd = send_chunked(
	    dpl.entry_port[0], 0x300, body, LARGE_BYTES, 65536, true);
	ck_assert_int_eq(read_status(fd), 413);
	ck_assert_int_eq(
	    hn_http("POST", dpl_url(&dpl, 0, "/q/0000000000000301"), body)
		->status,
	    413);
	fd = send_chunked(
	    dpl.entry_port[0], 0x302, JOB, strlen(JOB) / 2, CHUNK_BYTES, false);
	ck_assert_int_ne(read_status(fd), 200);
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], 0), -1);
	ck_assert(dpl_completes_job(&dpl, 0));
	hn_finish();
}
END_TEST

/* A job whose spec is a JSON text. */
static char *
job_with_spec(const char *spec)
{
	return g_strdup_printf(
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":["
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":1}]}",
	    spec);
}

/* Checks that no task was started, or each with the spec that was sent. */
static void
check_starts(
    const struct dpl *dpl, unsigned id, int status, const struct spec_row *row)
{
	struct hn_http *starts =
	    dpl_control(dpl, "GET", hn_str("starts?job=%016x", id), NULL);
	struct json_object *spec = json_object_object_get(starts->json, "spec");

	ck_assert_msg(status == (row->len < 0 ? 400 : 200), "\"%s\": %d",
	    row->json, status);
	if (row->len < 0) {
		ck_assert_int_eq(hn_json_int(starts, "starts"), 0);
		return;
	}
	ck_assert_msg(json_object_get_string_len(spec) == row->len &&
			  memcmp(json_object_get_string(spec), row->bytes,
			      (size_t)row->len) == 0,
	    "\"%s\" was started as %s", row->json,
	    json_object_to_json_string(spec));
}

/* Tasks were started with another spec than the caller had sent. */
START_TEST(spec_reaches_worker_whole)
{
	struct hn_http *metrics;
	struct dpl dpl;
	int n_malformed = 0;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(spec_rows); i++) {
		const struct spec_row *row = &spec_rows[i];
		g_autofree char *body = job_with_spec(row->json);
		unsigned plain = 0x400 + i, chunked = 0x500 + i;

		n_malformed += row->len < 0;

		check_starts(&dpl, plain,
		    hn_http("POST", dpl_url(&dpl, 0, hn_str("/q/%016x", plain)),
			body)
			->status,
		    row);
		check_starts(&dpl, chunked,
		    read_status(send_chunked(dpl.entry_port[1], chunked, body,
			strlen(body), CHUNK_BYTES, true)),
		    row);
	}
	metrics = hn_http("GET",
	    hn_str("http://127.0.0.1:%u/metrics", dpl.entry_metrics_port),
	    NULL);
	ck_assert_ptr_nonnull(strstr(metrics->body,
	    hn_str("\nsp_messages_refused_total{source=\"job\"} %d\n",
		n_malformed)));
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], 0), -1);
	ck_assert_int_eq(hn_wait_exit(dpl.entry[1], 0), -1);
	hn_finish();
}
END_TEST

static int64_t
n_running(const struct dpl *dpl)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), "running");
}

/*
 * The entry reads a body in chunks by itself, and must still notice that the
 * client disconnects: it sends the job again, to another entry.
 */
START_TEST(job_in_chunks_ends_with_its_connection)
{
	g_autofree char *body = job_with_spec("8000");
	struct dpl dpl;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	fd = send_chunked(
	    dpl.entry_port[0], 0x700, body, strlen(body), CHUNK_BYTES, true);
	ck_assert(hn_wait_until(n_running(&dpl) == 2, HN_LIMIT_MS));
	close(fd);
	ck_assert(hn_wait_until(n_running(&dpl) == 0, 1000));
	hn_finish();
}
END_TEST

/*
 * Connections that are reset at any byte of a request in chunks, which the entry
 * takes from libsoup while it may notice the reset itself.
 */
START_TEST(reset_connections_harm_nobody)
{
	const char *request =
	    hn_str("POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
		0x900, strlen(JOB), JOB);
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct dpl dpl;
	size_t len;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (len = 1; len <= strlen(request); len++) {
		fd = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
		ck_assert_int_eq(
		    send(fd, request, len, MSG_NOSIGNAL), (ssize_t)len);
		if (len % 3 == 0)
			hn_sleep(1);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(fd);
	}
	ck_assert(dpl_completes_job(&dpl, 0));
	ck_assert_int_eq(hn_wait_exit(dpl.entry[0], 0), -1);
	hn_finish();
}
END_TEST

/* A client that waits for "100 Continue" before it sends chunks. */
START_TEST(client_that_expects_continue_is_served)
{
	static const char *const lines[] = {
	    "Transfer-Encoding: chunked", "Content-Length: 75"};
	char text[512];
	struct dpl dpl;
	size_t i;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		const char *head =
		    hn_str("POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s\r\n"
			   "Expect: 100-continue\r\n\r\n",
			0x800 + (unsigned)i, lines[i]);
		const char *rest =
		    i == 0 ? hn_str("%zx\r\n%s\r\n0\r\n\r\n", strlen(JOB), JOB)
			   : JOB;

		fd = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
		ck_assert_int_gt(send(fd, head, strlen(head), 0), 0);
		ck_assert_int_gt(recv(fd, text, sizeof(text), 0), 0);
		ck_assert(g_str_has_prefix(text, "HTTP/1.1 100 "));
		ck_assert_int_gt(send(fd, rest, strlen(rest), 0), 0);
		ck_assert_int_eq(read_status(fd), 200);
	}
	hn_finish();
}
END_TEST

/*
 * A job was known by the last 16 characters of its path alone, so that two names
 * met in one job, and a task was started under a name that nobody had sent.
 */
START_TEST(longer_path_is_another_name)
{
	static const char *const paths[] = {"/q/0%016x", "/q/x/%016x",
	    "/q/0000000000000001/%016x", "/q//%016x"};
	const unsigned id = 0x600;
	struct hn_http *starts;
	struct dpl dpl;
	unsigned i;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		const char *url = dpl_url(&dpl, 0, hn_str(paths[i], id));

		ck_assert_msg(
		    hn_http("POST", url, JOB)->status == 404, "%s", paths[i]);
		ck_assert_int_eq(hn_http("DELETE", url, NULL)->status, 404);
		ck_assert_int_eq(hn_http("GET", url, NULL)->status, 404);
	}
	ck_assert_int_eq(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/x"), NULL)->status, 404);
	ck_assert_int_eq(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status, 200);
	starts = dpl_control(&dpl, "GET", hn_str("starts?job=%016x", id), NULL);
	ck_assert_int_eq(hn_json_int(starts, "starts"), 0);
	ck_assert_int_eq(
	    hn_http("POST", dpl_url(&dpl, 0, hn_str("/q/%016x", id)), JOB)
		->status,
	    200);
	hn_finish();
}
END_TEST

/* A heartbeat that comes in chunks or is too large must not end the agent. */
START_TEST(large_heartbeat_refused)
{
	g_autofree char *body = g_strnfill(2 * LARGE_BYTES, ' ');
	struct dpl dpl;

	dpl_start(&dpl, &(struct dpl_options){0});
	ck_assert_int_eq(
	    hn_http("PUT",
		hn_str("http://127.0.0.1:%u/sequoiaplank/instances/w0",
		    dpl.control_port[0]),
		body)
		->status,
	    413);
	ck_assert_int_eq(hn_wait_exit(dpl.agent[0], 0), -1);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {chunked_jobs_served, large_bodies_refused,
	    spec_reaches_worker_whole, longer_path_is_another_name,
	    job_in_chunks_ends_with_its_connection,
	    client_that_expects_continue_is_served,
	    reset_connections_harm_nobody, large_heartbeat_refused};

	return run_tests(
	    "job_bodies", tests, G_N_ELEMENTS(tests), 2 * HN_LIMIT_MS / 1000.0);
}
