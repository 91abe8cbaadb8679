/*
 * Malformed and hostile input on every port of real processes must not crash
 * them, exhaust their memory or make other callers' requests fail.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runner.h"
#include "system.h"

#define RSS_GROWTH_MAX_KB    (64L * 1024)
#define CONNECTIONS_PER_PORT 300
#define SEED		     20261204

static const struct sys_options one_of_each = {
    .entries = 1, .agents = 1, .domains = 1};

static int
connect_to(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void
send_bytes(int fd, const void *data, size_t len)
{
	if (send(fd, data, len, MSG_NOSIGNAL) < 0)
		return; /* the peer may close the connection at any time */
}

static bool
is_closed(int fd)
{
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		continue;
	return n == 0 || (errno != EAGAIN && errno != EINTR);
}

static long
rss_kb(pid_t pid)
{
	char line[256];
	long kb = 0;
	FILE *f = fopen(hn_str("/proc/%d/status", (int)pid), "r");

	while (f != NULL && kb == 0 && fgets(line, sizeof(line), f) != NULL)
		sscanf(line, "VmRSS: %ld", &kb);
	if (f != NULL)
		fclose(f);
	return kb;
}

/* Sends an RPC record malformed in one of 5 ways, cut to a random length. */
static void
send_malformed_rpc(GRand *rand, int fd)
{
	uint32_t head[11] = {0x80000000U + 40 + 400, 7, 0, 2,
	    g_rand_boolean(rand) ? 0x20005350 : 0x20005351, 1, 1, 0, 0, 0, 0};
	char buf[444];
	size_t i;

	for (i = 0; i < sizeof(buf); i++)
		buf[i] = (char)g_rand_int(rand);
	for (i = 0; i < 11; i++)
		head[i] = htonl(head[i]);
	switch (g_rand_int_range(rand, 0, 5)) {
	case 0: /* random bytes */
		break;
	case 1: /* a HELLO with random arguments */
		memcpy(buf, head, sizeof(head));
		break;
	case 2: /* an unknown program number */
		head[4] = htonl(100000);
		memcpy(buf, head, sizeof(head));
		break;
	case 3: /* a record mark that announces 2 GB */
		head[0] = 0xffffffffU;
		memcpy(buf, head, sizeof(head));
		break;
	default: /* a valid header with one byte altered */
		memcpy(buf, head, sizeof(head));
		buf[g_rand_int_range(rand, 0, sizeof(head))] ^= 0x41;
	}
	send_bytes(fd, buf, g_rand_int_range(rand, 1, sizeof(buf)));
}

static const char *const malformed_http[] = {
    "\r\n\r\n\r\n",
    "GET\r\n\r\n",
    "GET / HTTP/9.9\r\n\r\n",
    "PUT /v1/jobs/x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    "PUT /v1/jobs/x HTTP/1.1\r\nHost: a\r\nContent-Length: "
    "99999999999\r\n\r\n{",
    "PUT /v1/config HTTP/1.1\r\nHost: a\r\nContent-Length: "
    "99999999999\r\n\r\n{",
    "PUT /v1/announce HTTP/1.1\r\nHost: a\r\nContent-Length: "
    "99999999999\r\n\r\n{",
    "PUT /v1/jobs/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 6\r\n\r\n{}{}{}",
    "PUT /v1/jobs/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
    "chunked\r\n\r\nzz\r\n",
    "PUT /v1/announce HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n[[[[[[[[",
    "POST /v1/out HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n{\"a\":1,}",
    "POST /v1/ids HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n\xff\xfe",
    "GET /v1/jobs/../../etc%00 HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /v1/services/desk/ HTTP/1.1\r\nX: \x01\x02\r\n\r\n",
};

/* Malformed input on all ports while ordinary callers' jobs must complete. */
START_TEST(malformed_input)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	int fds[4 * CONNECTIONS_PER_PORT], n = 0, i, j;
	struct sys_load_counts counts;
	struct sys_load *load;
	uint16_t http[3];
	long before[2];
	struct sys sys;

	sys_start(&sys, &one_of_each);
	http[0] = sys.entry[0].listen;
	http[1] = sys.entry[0].operators;
	http[2] = sys.agent[0].listen;
	before[0] = rss_kb(hn_pid(sys.entry[0].proc));
	before[1] = rss_kb(hn_pid(sys.agent[0].proc));
	load = sys_load_start(&sys, 0, 4, 2, "{\"run_ms\":20}");
	for (i = 0; i < CONNECTIONS_PER_PORT; i++) {
		fds[n] = connect_to(sys.entry[0].rpc);
		send_malformed_rpc(rand, fds[n++]);
		for (j = 0; j < 3; j++) {
			const char *text = malformed_http[g_rand_int_range(
			    rand, 0, G_N_ELEMENTS(malformed_http))];

			fds[n] = connect_to(http[j]);
			send_bytes(fds[n++], text, strlen(text));
		}
		hn_sleep(2);
	}
	j = sys_load_counts(load).complete;
	ck_assert(hn_wait_until(
	    sys_load_counts(load).complete > j + 20, HN_LIMIT_MS));
	for (i = 0; i < n; i++)
		close(fds[i]);
	counts = sys_load_stop(load);
	ck_assert_int_eq(
	    counts.failed + counts.unknown + counts.not_run + counts.none, 0);
	ck_assert_int_ne(hn_pid(sys.entry[0].proc), 0);
	ck_assert_int_ne(hn_pid(sys.agent[0].proc), 0);
	ck_assert_int_lt(
	    rss_kb(hn_pid(sys.entry[0].proc)) - before[0], RSS_GROWTH_MAX_KB);
	ck_assert_int_lt(
	    rss_kb(hn_pid(sys.agent[0].proc)) - before[1], RSS_GROWTH_MAX_KB);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	g_rand_free(rand);
	hn_finish();
}
END_TEST

/*
 * A request body announced as 2 GB is not buffered in memory.  Guards against
 * listeners without a limit: the operators' and the agent's listeners accepted
 * bodies of any length.
 */
START_TEST(endless_body)
{
	static const char header[] = "PUT /v1/announce HTTP/1.1\r\nHost: a\r\n"
				     "Content-Length: 2000000000\r\n\r\n";
	static char chunk[65536];
	struct sys sys;
	uint16_t port;
	pid_t pid;
	long before;
	int fd, i;

	sys_start(&sys, &one_of_each);
	port = _i == 0	 ? sys.entry[0].listen
	       : _i == 1 ? sys.entry[0].operators
			 : sys.agent[0].listen;
	pid = hn_pid(_i < 2 ? sys.entry[0].proc : sys.agent[0].proc);
	before = rss_kb(pid);
	fd = connect_to(port);
	fcntl(fd, F_SETFL, 0);
	send_bytes(fd, header, strlen(header));
	for (i = 0; i < 4096; i++) {
		if (send(fd, chunk, sizeof(chunk), MSG_NOSIGNAL) < 0)
			break;
	}
	ck_assert_int_lt(rss_kb(pid) - before, RSS_GROWTH_MAX_KB);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	close(fd);
	hn_finish();
}
END_TEST

/* An RPC connection without a complete HELLO is closed after a time-out. */
START_TEST(hello_timeout)
{
	struct sys sys;
	int silent, busy;

	sys_start(&sys, &one_of_each);
	silent = connect_to(sys.entry[0].rpc);
	busy = connect_to(sys.entry[0].rpc);
	send_bytes(busy, "\x80\x00\x40\x00", 4);
	/*
	 * The busy connection gets a byte at each poll, so that an idle
	 * time-out alone would not close it.
	 */
	ck_assert(hn_wait_until(
	    (send_bytes(busy, "x", 1), is_closed(busy) && is_closed(silent)),
	    HN_LIMIT_MS));
	close(silent);
	close(busy);
	hn_finish();
}
END_TEST

/*
 * An agent with a wrong cluster key is refused, also when it uses the name of a
 * connected worker, and jobs still complete.
 */
START_TEST(wrong_key)
{
	const char *path;
	struct hn_proc *proc;
	struct sys sys;

	sys_start(&sys, &one_of_each);
	path = hn_write("intruder.json",
	    hn_str("{\"worker\":\"worker-0\",\"failure_domain\":\"domain-0\","
		   "\"listen\":\"127.0.0.1:%u\",\"entries\":[\"127.0.0.1:%u\"]"
		   ",\"cluster_key\":\"another-cluster-key\"}",
		hn_port(), sys.entry[0].rpc));
	proc = hn_start(
	    "intruder", (const char *[]){"spagentd", "--settings", path, NULL});
	ck_assert(hn_wait_until(
	    strstr(hn_http("GET", sys_url(&sys, 0, "/metrics"), NULL)->body,
		"\nsp_agents_refused_total 0\n") == NULL,
	    HN_LIMIT_MS));
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	hn_kill(proc);
	hn_finish();
}
END_TEST

/*
 * An agent exits after drain_timeout_ms even when its entry cannot answer.  The
 * time-out of 15 s is below the setting's default of 30 s, so that an ignored
 * setting fails the test.
 */
START_TEST(agent_drain_timeout)
{
	struct sys_options opts = one_of_each;
	struct hn_http *http;
	struct sys sys;

	opts.agent_settings = ",\"drain_timeout_ms\":2000";
	sys_start(&sys, &opts);
	http = sys_submit(
	    &sys, 0, sys_new_job_id(&sys, 0), sys_body(4, "{\"run_ms\":500}"));
	hn_sleep(100);
	if (_i == 0)
		hn_kill(sys.entry[0].proc);
	else if (_i == 1)
		sys_set_proxy_rule(&sys, sys.entry[0].proxied_rpc,
		    "action=freeze&scope=existing&direction=both");
	else
		hn_signal(sys.entry[0].proc, SIGSTOP);
	hn_signal(sys.agent[0].proc, SIGTERM);
	ck_assert_int_ge(hn_wait_exit(sys.agent[0].proc, 15000), 0);
	if (_i == 2)
		hn_signal(sys.entry[0].proc, SIGCONT);
	hn_http_cancel(http);
	hn_finish();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    malformed_input, hello_timeout, wrong_key};
	int exit_code;

	limit_asan_quarantine();
	exit_code = run_tests("bad input", tests, 3, 240);
	exit_code |= run_table("endless body", endless_body, 3, 240);
	return exit_code |
	       run_table("drain without entry", agent_drain_timeout, 3, 240);
}
