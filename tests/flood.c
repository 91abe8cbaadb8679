#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flood.h"
#include "harness.h"

#define PIECE_BYTES	8192
#define CONNECTS_A_PUMP 100
#define PUMPS_A_SAMPLE	4
#define HOLD_MS		1000 /* for the other end to read what was sent */

struct sender {
	int fd; /* -1: not connected yet, or closed by the other end */
	bool done;
	size_t sent;
};

struct fl {
	struct fl_kind kind;
	uint16_t port;
	pid_t pid;
	unsigned n_connected;
	struct sender *senders;
	bool again;
	struct fl_peak peak;
};

/* One descriptor for each connection, and those of the test. */
static void
raise_descriptor_limit(void)
{
	struct rlimit limit;

	g_assert(getrlimit(RLIMIT_NOFILE, &limit) == 0);
	limit.rlim_cur = limit.rlim_max;
	g_assert(setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

static int64_t
anonymous_kb(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "\nRssAnon:");
	return line == NULL ? 0 : g_ascii_strtoll(line + 9, NULL, 10);
}

int64_t
fl_count_fds(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	int64_t n = 0;

	while (dir != NULL && g_dir_read_name(dir) != NULL)
		n++;
	g_clear_pointer(&dir, g_dir_close);
	return n;
}

static void
sample(struct fl *fl)
{
	fl->peak.anon_kb = MAX(fl->peak.anon_kb, anonymous_kb(fl->pid));
	fl->peak.fds = MAX(fl->peak.fds, fl_count_fds(fl->pid));
}

struct fl *
fl_start(const struct fl_kind *kind, uint16_t port, pid_t pid)
{
	struct fl *fl = g_new0(struct fl, 1);
	unsigned i;

	raise_descriptor_limit();
	fl->kind = *kind;
	if (fl->kind.head_len == 0)
		fl->kind.head_len = strlen(kind->head);
	fl->port = port;
	fl->pid = pid;
	fl->senders = g_new0(struct sender, kind->n);
	for (i = 0; i < kind->n; i++)
		fl->senders[i].fd = -1;
	return fl;
}

static void
connect_sender(struct fl *fl, struct sender *s)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(fl->port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	g_assert(s->fd >= 0);
	if (connect(s->fd, (const struct sockaddr *)&to, sizeof(to)) != 0)
		g_assert(errno == EINPROGRESS || errno == ECONNREFUSED);
}

static void
end_sender(const struct fl *fl, struct sender *s)
{
	close(s->fd);
	s->fd = -1;
	s->sent = 0;
	s->done = !fl->again;
}

/* Sends one piece; an answer is read and dropped. */
static void
send_piece(struct fl *fl, struct sender *s)
{
	size_t total = fl->kind.head_len + fl->kind.fill_bytes;
	char piece[PIECE_BYTES];
	size_t len;
	ssize_t n;

	n = recv(s->fd, piece, sizeof(piece), 0);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) {
		end_sender(fl, s);
		return;
	}
	if (s->sent < fl->kind.head_len) {
		len = fl->kind.head_len - s->sent;
		n = send(s->fd, fl->kind.head + s->sent, len, MSG_NOSIGNAL);
	} else {
		len = MIN(sizeof(piece), total - s->sent);
		memset(piece, fl->kind.fill, len);
		n = len == 0 ? 0 : send(s->fd, piece, len, MSG_NOSIGNAL);
	}
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		end_sender(fl, s);
	else if (n > 0)
		s->sent += (size_t)n;
	if (s->sent == total && !fl->again)
		s->done = true;
}

unsigned
fl_pump(struct fl *fl)
{
	unsigned i, left = fl->kind.n - fl->n_connected;

	for (i = 0; i < CONNECTS_A_PUMP && fl->n_connected < fl->kind.n; i++)
		connect_sender(fl, &fl->senders[fl->n_connected++]);
	for (i = 0; i < fl->n_connected; i++) {
		if (fl->senders[i].fd < 0 && fl->again)
			connect_sender(fl, &fl->senders[i]);
		if (fl->senders[i].done)
			continue;
		send_piece(fl, &fl->senders[i]);
		left += !fl->senders[i].done;
	}
	return left;
}

void
fl_run(struct fl *fl, int64_t limit_ms)
{
	int64_t end_ms = hn_now_ms() + limit_ms;
	unsigned n = 0;

	while (fl_pump(fl) > 0 && hn_now_ms() < end_ms) {
		if (n++ % PUMPS_A_SAMPLE == 0)
			sample(fl);
		hn_sleep(1);
	}
	end_ms = hn_now_ms() + HOLD_MS;
	while (hn_now_ms() < end_ms) {
		sample(fl);
		hn_sleep(20);
	}
}

void
fl_repeat(struct fl *fl)
{
	fl->again = true;
}

void
fl_step(struct fl *fl)
{
	fl_pump(fl);
	sample(fl);
	hn_sleep(1);
}

struct fl_peak
fl_peak(const struct fl *fl)
{
	return fl->peak;
}

void
fl_free(struct fl *fl)
{
	unsigned i;

	for (i = 0; i < fl->kind.n; i++) {
		if (fl->senders[i].fd >= 0)
			close(fl->senders[i].fd);
	}
	g_free(fl->senders);
	g_free(fl);
}
