#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "rawhttp.h"

int
rh_connect(uint16_t port, int64_t receive_ms)
{
	struct timeval limit = {
	    .tv_sec = receive_ms / 1000, .tv_usec = receive_ms % 1000 * 1000};
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

char *
rh_receive(int fd, size_t max_bytes)
{
	char *text = g_malloc0(max_bytes + 1);
	size_t len = 0;
	ssize_t n;

	while (len < max_bytes &&
	       (n = recv(fd, text + len, max_bytes - len, 0)) > 0)
		len += (size_t)n;
	return text;
}

int
rh_count_answers(const char *text)
{
	int n = 0;

	while ((text = strstr(text, "HTTP/1.")) != NULL) {
		n++;
		text++;
	}
	return n;
}

int
rh_status(const char *text)
{
	int status = 0;

	sscanf(text, "HTTP/1.%*d %d", &status);
	return status;
}
