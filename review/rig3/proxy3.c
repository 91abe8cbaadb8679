#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy3.h"

#define MAX_LINKS    256
#define BUFFER_BYTES 65536
#define TICK_MS	     2
/* Pause after each message, so that the callee reads them in their order. */
#define ORDER_US 2000

struct link {
	int from, to;	  /* -1: closed, or not open yet */
	bool used, ended; /* the caller sends no more */
	char *data;	  /* of the caller, not sent yet */
	size_t n;
	unsigned long order; /* of the first byte of data, among all links */
};

struct prx {
	int listener;
	int to_port;
	atomic_bool hold;
	struct link links[MAX_LINKS]; /* in the order of their opening */
	int n_links;
	unsigned long last_order;
};

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	return a;
}

static void
close_link(struct link *l)
{
	if (l->from >= 0)
		close(l->from);
	if (l->to >= 0)
		close(l->to);
	free(l->data);
	memset(l, 0, sizeof(*l));
	l->from = l->to = -1;
}

static void
remove_closed(struct prx *prx)
{
	int i, n = 0;

	for (i = 0; i < prx->n_links; i++)
		if (prx->links[i].used)
			prx->links[n++] = prx->links[i];
	prx->n_links = n;
}

static void
accept_links(struct prx *prx)
{
	int fd;

	while (prx->n_links < MAX_LINKS &&
	       (fd = accept4(prx->listener, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct link *l = &prx->links[prx->n_links++];

		memset(l, 0, sizeof(*l));
		l->from = fd;
		l->to = -1;
		l->used = true;
		l->data = malloc(BUFFER_BYTES);
	}
}

static void
read_caller(struct prx *prx, struct link *l)
{
	bool was_empty = l->n == 0;
	ssize_t n;

	while (!l->ended && l->n < BUFFER_BYTES) {
		n = recv(l->from, l->data + l->n, BUFFER_BYTES - l->n, 0);
		if (n > 0) {
			l->n += (size_t)n;
			if (was_empty)
				l->order = ++prx->last_order;
			was_empty = false;
		}
		if (n < 0 && errno == EAGAIN)
			return;
		if (n <= 0)
			l->ended = true;
	}
}

/* The connection was idle, and the callee has gone: another one is opened. */
static void
drop_dead_callee(struct link *l)
{
	char c;
	ssize_t n;

	if (l->to < 0)
		return;
	n = recv(l->to, &c, 1, MSG_PEEK);
	if (n > 0 || (n < 0 && errno == EAGAIN))
		return;
	close(l->to);
	l->to = -1;
}

static void
pass_on(struct prx *prx, struct link *l)
{
	struct sockaddr_in a = loopback(prx->to_port);
	ssize_t n;

	if (!l->used)
		return;
	if (l->n > 0)
		drop_dead_callee(l);
	if (l->to < 0 && l->n > 0) {
		l->to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(l->to, (struct sockaddr *)&a, sizeof(a)) < 0) {
			close_link(l);
			return;
		}
		fcntl(l->to, F_SETFL, O_NONBLOCK);
	}
	if (l->n > 0) {
		n = send(l->to, l->data, l->n, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN) {
			close_link(l);
			return;
		}
		if (n > 0) {
			memmove(l->data, l->data + n, l->n - (size_t)n);
			l->n -= (size_t)n;
		}
	}
	if (l->ended && l->n == 0)
		close_link(l);
}

static void
read_callee(struct link *l)
{
	char data[4096];
	ssize_t n;

	while (l->used && l->to >= 0) {
		n = recv(l->to, data, sizeof(data), 0);
		if (n < 0 && errno == EAGAIN)
			return;
		/* Answers are short: they fit the socket's buffer. */
		if (n <= 0 || send(l->from, data, (size_t)n, MSG_NOSIGNAL) < n)
			close_link(l);
	}
}

/* The caller's data that came first goes first. */
static void
pass_on_all(struct prx *prx)
{
	struct link *first;
	int i;

	do {
		first = NULL;
		for (i = 0; i < prx->n_links; i++) {
			struct link *l = &prx->links[i];

			if (l->used && l->n > 0 &&
			    (first == NULL || l->order < first->order))
				first = l;
		}
		if (first == NULL)
			break;
		pass_on(prx, first);
		usleep(ORDER_US);
	} while (!first->used || first->n == 0);
	for (i = 0; i < prx->n_links; i++) {
		pass_on(prx, &prx->links[i]);
		read_callee(&prx->links[i]);
	}
}

static void *
run(void *data)
{
	struct prx *prx = data;

	for (;;) {
		struct pollfd fds[2 * MAX_LINKS + 1];
		nfds_t n = 0;
		int i;

		fds[n++] =
		    (struct pollfd){.fd = prx->listener, .events = POLLIN};
		for (i = 0; i < prx->n_links; i++) {
			if (!prx->links[i].ended)
				fds[n++] = (struct pollfd){
				    .fd = prx->links[i].from, .events = POLLIN};
			if (prx->links[i].to >= 0)
				fds[n++] = (struct pollfd){
				    .fd = prx->links[i].to, .events = POLLIN};
		}
		poll(fds, n, TICK_MS);
		accept_links(prx);
		for (i = 0; i < prx->n_links; i++)
			read_caller(prx, &prx->links[i]);
		if (!prx->hold)
			pass_on_all(prx);
		remove_closed(prx);
	}
	return NULL;
}

struct prx *
prx_new(int port, int to_port)
{
	struct sockaddr_in a = loopback(port);
	struct prx *prx = calloc(1, sizeof(*prx));
	pthread_t thread;
	int on = 1;

	prx->to_port = to_port;
	prx->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(prx->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(prx->listener, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(prx->listener, 128) < 0 ||
	    pthread_create(&thread, NULL, run, prx) != 0) {
		close(prx->listener);
		free(prx);
		return NULL;
	}
	pthread_detach(thread);
	return prx;
}

void
prx_hold(struct prx *prx, bool hold)
{
	prx->hold = hold;
}
