/*
 * Malformed and hostile input on every port of real processes: it must not
 * crash them, fill their memory or harm the requests of others.
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

#define RSS_MORE_KB (64L * 1024)
#define CONNECTIONS 300 /* on each port */
#define SEED	    20261204

static const struct sys_options one = {.entries = 1, .agents = 1, .domains = 1};

static int
dial(uint16_t port)
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
put(int fd, const void *data, size_t len)
{
	if (send(fd, data, len, MSG_NOSIGNAL) < 0)
		return; /* closed by the peer, as it may be */
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

/* A record mark, an RPC call header and random bytes, cut and altered. */
static void
rpc_garbage(GRand *rand, int fd)
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
	case 1: /* a HELLO of random content */
		memcpy(buf, head, sizeof(head));
		break;
	case 2: /* another program */
		head[4] = htonl(100000);
		memcpy(buf, head, sizeof(head));
		break;
	case 3: /* a record of 2 GB */
		head[0] = 0xffffffffU;
		memcpy(buf, head, sizeof(head));
		break;
	default: /* a valid header, altered in one byte */
		memcpy(buf, head, sizeof(head));
		buf[g_rand_int_range(rand, 0, sizeof(head))] ^= 0x41;
	}
	put(fd, buf, g_rand_int_range(rand, 1, sizeof(buf)));
}

static const char *const http_garbage[] = {
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

/* Hostile connections on all ports while a normal caller's jobs go on. */
START_TEST(garbage)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	int fds[4 * CONNECTIONS], n = 0, i, j;
	struct sys_load_counts counts;
	struct sys_load *load;
	uint16_t http[3];
	long before[2];
	struct sys sys;

	sys_start(&sys, &one);
	http[0] = sys.entry[0].listen;
	http[1] = sys.entry[0].operators;
	http[2] = sys.agent[0].listen;
	before[0] = rss_kb(hn_pid(sys.entry[0].proc));
	before[1] = rss_kb(hn_pid(sys.agent[0].proc));
	load = sys_load_start(&sys, 0, 4, 2, "{\"run_ms\":20}");
	for (i = 0; i < CONNECTIONS; i++) {
		fds[n] = dial(sys.entry[0].rpc);
		rpc_garbage(rand, fds[n++]);
		for (j = 0; j < 3; j++) {
			const char *text = http_garbage[g_rand_int_range(
			    rand, 0, G_N_ELEMENTS(http_garbage))];

			fds[n] = dial(http[j]);
			put(fds[n++], text, strlen(text));
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
	    rss_kb(hn_pid(sys.entry[0].proc)) - before[0], RSS_MORE_KB);
	ck_assert_int_lt(
	    rss_kb(hn_pid(sys.agent[0].proc)) - before[1], RSS_MORE_KB);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	g_rand_free(rand);
	hn_finish();
}
END_TEST

/*
 * A body that is sent on and on is not stored: the operators' and the agent's
 * listener took any length.
 */
START_TEST(endless_body)
{
	static const char endless[] = "PUT /v1/announce HTTP/1.1\r\nHost: a\r\n"
				      "Content-Length: 2000000000\r\n\r\n";
	static char chunk[65536];
	struct sys sys;
	uint16_t port;
	pid_t pid;
	long before;
	int fd, i;

	sys_start(&sys, &one);
	port = _i == 0	 ? sys.entry[0].listen
	       : _i == 1 ? sys.entry[0].operators
			 : sys.agent[0].listen;
	pid = hn_pid(_i < 2 ? sys.entry[0].proc : sys.agent[0].proc);
	before = rss_kb(pid);
	fd = dial(port);
	fcntl(fd, F_SETFL, 0);
	put(fd, endless, strlen(endless));
	for (i = 0; i < 4096; i++) {
		if (send(fd, chunk, sizeof(chunk), MSG_NOSIGNAL) < 0)
			break;
	}
	ck_assert_int_lt(rss_kb(pid) - before, RSS_MORE_KB);
	ck_assert(sys_wait_job_completes(&sys, 0, HN_LIMIT_MS));
	close(fd);
	hn_finish();
}
END_TEST

/* Bytes that never become a HELLO hold a connection for a bounded time. */
START_TEST(no_hello)
{
	struct sys sys;
	int silent, busy;

	sys_start(&sys, &one);
	silent = dial(sys.entry[0].rpc);
	busy = dial(sys.entry[0].rpc);
	put(busy, "\x80\x00\x40\x00", 4);
	/* The busy one is fed from the start, so that it is never silent. */
	ck_assert(hn_wait_until(
	    (put(busy, "x", 1), is_closed(busy) && is_closed(silent)),
	    HN_LIMIT_MS));
	close(silent);
	close(busy);
	hn_finish();
}
END_TEST

/* An agent with a wrong key gets no work and disturbs nobody. */
START_TEST(wrong_key)
{
	const char *path;
	struct hn_proc *proc;
	struct sys sys;

	sys_start(&sys, &one);
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
 * An agent ends after drain_timeout_ms although its entry can't answer.  The
 * limit is below the default of the setting, 30 s.
 */
START_TEST(drain_without_entry)
{
	struct sys_options opts = one;
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
	const TTest *const tests[] = {garbage, no_hello, wrong_key};
	int red;

	limit_asan_quarantine();
	red = run_tests("bad input", tests, 3, 240);
	red |= run_table("endless body", endless_body, 3, 240);
	return red |
	       run_table("drain without entry", drain_without_entry, 3, 240);
}
