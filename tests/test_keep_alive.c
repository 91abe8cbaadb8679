#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "deployment.h"
#include "flood.h"
#include "rawhttp.h"
#include "runner.h"

#define N_REQUESTS	3
#define N_CALLERS	40
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

/* Asks once on each of several connections and closes them all. */
static void
ask_and_leave(uint16_t port, int n)
{
	static const char request[] =
	    "GET /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
	char byte;
	int i, fd;

	for (i = 0; i < n; i++) {
		fd = rh_connect(port, HN_LIMIT_MS);
		ck_assert_int_gt(
		    send(fd, request, strlen(request), MSG_NOSIGNAL), 0);
		/* The others leave without having read the answer. */
		if (i % 2 == 0)
			ck_assert_int_eq(recv(fd, &byte, 1, 0), 1);
		close(fd);
	}
}

/*
 * A connection that had been answered kept its descriptor for good when the
 * caller closed it, so that each process ran out of them.
 */
START_TEST(ended_connections_are_released)
{
	uint16_t ports[5];
	struct dpl dpl;
	int64_t entry_fds, agent_fds;
	size_t i;

	dpl_start(&dpl, &(struct dpl_options){0});
	ports[0] = dpl.entry_port[0];
	ports[1] = dpl.entry_ready_port;
	ports[2] = dpl.entry_metrics_port;
	ports[3] = dpl.control_port[0];
	ports[4] = dpl.agent_metrics_port;
	entry_fds = fl_count_fds(hn_pid(dpl.entry[0]));
	agent_fds = fl_count_fds(hn_pid(dpl.agent[0]));
	for (i = 0; i < G_N_ELEMENTS(ports); i++)
		ask_and_leave(ports[i], N_CALLERS);
	ck_assert(hn_wait_until(
	    fl_count_fds(hn_pid(dpl.entry[0])) <= entry_fds + N_CALLERS / 2,
	    HN_LIMIT_MS));
	ck_assert(hn_wait_until(
	    fl_count_fds(hn_pid(dpl.agent[0])) <= agent_fds + N_CALLERS / 2,
	    HN_LIMIT_MS));
	hn_finish();
}
END_TEST

/* A request whose head the caller has not completed must not be served. */
START_TEST(cut_head_is_not_served)
{
	static const char request[] =
	    "GET /q/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Large: aaa\r\n";
	struct dpl dpl;
	size_t len;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (len = 1; len < sizeof(request); len += 5) {
		fd = rh_connect(dpl.entry_port[0], HN_LIMIT_MS);
		ck_assert_int_eq(send(fd, request, len, MSG_NOSIGNAL), len);
		shutdown(fd, SHUT_WR);
		ck_assert_int_ne(status_of(fd), 200);
		close(fd);
	}
	hn_finish();
}
END_TEST

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
    connection_serves_several_requests, ended_connections_are_released,
    idle_connections_make_room, cut_head_is_not_served)
