#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "deployment.h"
#include "rawhttp.h"
#include "runner.h"

#define N_REQUESTS	3
#define MAX_CONNECTIONS 32

/* Sends a job and returns the status of its answer, 0 if there is none. */
static int
answer_of_job(int fd, int number)
{
	static const char body[] =
	    "{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":1,"
	    "\"cpu\":100,\"mem_mb\":1,\"estimate_ms\":10000}]}";
	g_autofree char *request =
	    g_strdup_printf("POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
		0xabc0 + number, strlen(body), body);
	g_autoptr(GString) answer = g_string_new("");
	char buffer[4096];
	ssize_t n = 0;

	send(fd, request, strlen(request), MSG_NOSIGNAL);
	while (strchr(answer->str, '}') == NULL &&
	       (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(answer, buffer, n);
	return rh_status(answer->str);
}

/*
 * Guards against an entry that closes a caller's connection after each answer:
 * each request then costs a connection, and callers see broken ones.
 */
START_TEST(connection_serves_several_requests)
{
	struct dpl dpl;
	int fd, i;

	dpl_start(&dpl, &(struct dpl_options){0});
	fd = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
	for (i = 0; i < N_REQUESTS; i++)
		ck_assert_int_eq(answer_of_job(fd, i), 200);
	close(fd);
	hn_finish();
}
END_TEST

/* Reads the begin of an answer. */
static int
status_of(int fd)
{
	g_autofree char *answer = rh_receive(fd, 12);

	return rh_status(answer);
}

/*
 * Callers that ask once and keep their connections must not keep out others.
 * After an answer no connection was idle again, so that none was ever closed for
 * a new one, or for its time without a request.
 */
START_TEST(idle_connections_make_room)
{
	static const char request[] =
	    "GET /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
	int fds[MAX_CONNECTIONS], fd, i;
	struct dpl dpl;

	dpl_start(&dpl,
	    &(struct dpl_options){.settings = "\"max_connections\":32,"
					      "\"idle_timeout_ms\":1000"});
	for (i = 0; i < MAX_CONNECTIONS; i++) {
		fds[i] = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
		ck_assert_int_gt(
		    send(fds[i], request, strlen(request), MSG_NOSIGNAL), 0);
		ck_assert_int_eq(status_of(fds[i]), 404);
	}
	ck_assert(hn_wait_until(
	    hn_http("GET", dpl_url(&dpl, 0, "/q/"), NULL)->status == 200,
	    HN_LIMIT_MS));
	/* All others end by their time without a request. */
	for (i = 0; i < MAX_CONNECTIONS; i++) {
		fd = fds[i];
		errno = 0;
		while (recv(fd, (char[64]){0}, 64, 0) > 0)
			continue;
		ck_assert_int_ne(errno, EAGAIN);
		close(fd);
	}
	hn_finish();
}
END_TEST

TEST_MAIN("keep_alive", 4 * HN_LIMIT_MS / 1000.0,
    connection_serves_several_requests, idle_connections_make_room)
