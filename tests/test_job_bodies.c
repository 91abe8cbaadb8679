/*
 * Bodies of jobs as clients may send them, with real processes: each is served
 * or refused as a whole, and no process ends.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "deployment.h"
#include "runner.h"

#define JOB                                                                    \
	"{\"spec\":\"1\",\"best_effort\":true,\"steps\":["                     \
	"{\"count\":1,\"cpu\":1000,\"mem_mb\":1}]}"
#define CHUNK_BYTES 7
#define N_JOBS	    30
/* Above the default limit of a body. */
#define LARGE_BYTES ((size_t)3 * 1024 * 1024)

static int
connect_to(uint16_t port)
{
	struct timeval limit = {.tv_sec = HN_LIMIT_MS / 1000};
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(
	    connect(fd, (const struct sockaddr *)&to, sizeof(to)), 0);
	ck_assert_int_eq(
	    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)), 0);
	return fd;
}

/* Sends a job in chunks of a size; the end may be left out. */
static int
send_chunked(uint16_t port, unsigned id, const char *body, size_t len,
    size_t chunk_bytes, bool complete)
{
	GString *text = g_string_new(NULL);
	int fd = connect_to(port);
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
		sscanf(text, "HTTP/1.1 %d", &status);
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
	    400);
	ck_assert_int_eq(hn_wait_exit(dpl.agent[0], 0), -1);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    chunked_jobs_served, large_bodies_refused, large_heartbeat_refused};

	return run_tests(
	    "job_bodies", tests, G_N_ELEMENTS(tests), 2 * HN_LIMIT_MS / 1000.0);
}
