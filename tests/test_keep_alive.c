#include <string.h>
#include <sys/socket.h>

#include "deployment.h"
#include "rawhttp.h"
#include "runner.h"

#define N_REQUESTS 3

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

TEST_MAIN(
    "keep_alive", 2 * HN_LIMIT_MS / 1000.0, connection_serves_several_requests)
