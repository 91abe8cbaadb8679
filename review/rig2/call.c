/*
 * Client and helper of the scripts in review/6 and later; needs libc only.
 *
 * call now
 *	prints the time of the steady clock in ms, as all times below are.
 * call ports N
 *	prints N ports of 127.0.0.1 that are free.
 * call METHOD PORT PATH DEADLINE_MS [BODY]
 *	sends one request, waits DEADLINE_MS for the answer and prints
 *	"SENT ENDED STATUS BODY"; STATUS is 0 if there was none.
 * call watch PORT JOB FOR_MS
 *	asks standin_platform at PORT for the starts of the job every 15 ms and
 *	prints "TIME start N of JOB" for each change.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WATCH_MS      15
#define CONTROL_MS    1000
#define MAX_PORTS     64
#define REQUEST_BYTES 65536
#define ANSWER_BYTES  65536

struct answer {
	int status;
	char text[ANSWER_BYTES];
	size_t len;
	const char *body;
};

static int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_port = htons((uint16_t)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Returns true once the answer is complete; sets its status and body. */
static int
is_complete(struct answer *answer)
{
	const char *end, *length;

	answer->text[answer->len] = '\0';
	end = strstr(answer->text, "\r\n\r\n");
	if (end == NULL)
		return 0;
	length = strcasestr(answer->text, "\r\nContent-Length:");
	if (length == NULL || length > end)
		return 0;
	answer->body = end + 4;
	if (strlen(answer->body) < (size_t)atoi(length + 17))
		return 0;
	answer->status = atoi(answer->text + strlen("HTTP/1.1 "));
	return 1;
}

static void
receive(int fd, int64_t until_ms, struct answer *answer)
{
	while (!is_complete(answer) && answer->len < ANSWER_BYTES - 1) {
		struct pollfd wait = {.fd = fd, .events = POLLIN};
		int64_t left_ms = until_ms - now_ms();
		ssize_t n;

		if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0)
			return;
		n = read(fd, answer->text + answer->len,
		    ANSWER_BYTES - 1 - answer->len);
		if (n <= 0)
			return;
		answer->len += (size_t)n;
	}
}

static void
request(const char *method, int port, const char *path, int64_t deadline_ms,
    const char *body, struct answer *answer)
{
	static char text[REQUEST_BYTES];
	struct sockaddr_in address = loopback(port);
	int64_t until_ms = now_ms() + deadline_ms;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int len;

	memset(answer, 0, sizeof(*answer));
	answer->body = "";
	len = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Deadline-Ms: %lld\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, (long long)deadline_ms, strlen(body), body);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    write(fd, text, (size_t)len) == len)
		receive(fd, until_ms, answer);
	close(fd);
}

static int
print_ports(int n)
{
	int fds[MAX_PORTS], i;

	for (i = 0; i < n && i < MAX_PORTS; i++) {
		struct sockaddr_in address = loopback(0);
		socklen_t len = sizeof(address);

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (bind(fds[i], (struct sockaddr *)&address, len) < 0 ||
		    getsockname(fds[i], (struct sockaddr *)&address, &len) <
			0) {
			perror("call: bind");
			return 2;
		}
		printf("%d ", ntohs(address.sin_port));
	}
	printf("\n");
	return 0;
}

static long long
number(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at == NULL ? -1 : atoll(at + strlen(name));
}

static int
watch(int port, const char *job, int64_t for_ms)
{
	static struct answer answer;
	int64_t until_ms = now_ms() + for_ms;
	long long n, seen = 0;
	char path[256];

	snprintf(path, sizeof(path), "/control/starts?job=%s", job);
	while (now_ms() < until_ms) {
		request("GET", port, path, CONTROL_MS, "", &answer);
		n = number(answer.body, "\"starts\":");
		if (answer.status == 200 && n > seen) {
			printf("%lld start %lld of %s\n",
			    number(answer.body, "\"last_ms\":"), n, job);
			fflush(stdout);
			seen = n;
		}
		usleep(WATCH_MS * 1000);
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static struct answer answer;
	int64_t sent_ms;

	if (argc == 2 && strcmp(argv[1], "now") == 0) {
		printf("%lld\n", (long long)now_ms());
		return 0;
	}
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(atoi(argv[2]));
	if (argc == 5 && strcmp(argv[1], "watch") == 0)
		return watch(atoi(argv[2]), argv[3], atoll(argv[4]));
	if (argc < 5) {
		fprintf(stderr, "usage: call METHOD PORT PATH MS [BODY]\n");
		return 2;
	}
	sent_ms = now_ms();
	request(argv[1], atoi(argv[2]), argv[3], atoll(argv[4]),
	    argc > 5 ? argv[5] : "", &answer);
	printf("%lld %lld %d %s\n", (long long)sent_ms, (long long)now_ms(),
	    answer.status, answer.body);
	return 0;
}
