#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flood.h"
#include "harness.h"

#define PIECE_BYTES	8192
#define CONNECTS_A_PUMP 100
#define PUMPS_A_SAMPLE	4
#define LISTENING	0x0a /* state of a socket in /proc/net/tcp */
#define HOLD_MS		1000 /* for the other end to read what was sent */

/* Of a connection that does not read: the other end's answers stay there. */
static const int small_buffer_bytes = 4096;

struct sender {
	int fd; /* -1: not connected yet, or closed by the other end */
	bool done;
	size_t sent;
	size_t read;
	GString *text; /* of make() */
};

struct fl {
	struct fl_kind kind;
	struct fl_texts texts;
	unsigned n;
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

/* Returns a value of /proc/PID/status, 0 if it is not there. */
static int64_t
status_kb(const char *text, const char *name)
{
	const char *line = strstr(text, name);

	return line == NULL ? 0
			    : g_ascii_strtoll(line + strlen(name), NULL, 10);
}

/* Returns the anonymous memory, or with peak its highest so far. */
static int64_t
anonymous_kb(pid_t pid, bool peak)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	int64_t now_kb, peak_kb;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	now_kb = status_kb(text, "\nRssAnon:");
	peak_kb = status_kb(text, "\nVmHWM:") - status_kb(text, "\nRssFile:") -
		  status_kb(text, "\nRssShmem:");
	return peak ? MAX(now_kb, peak_kb) : now_kb;
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

/* Bytes that the kernel holds for the connections that a port has accepted. */
static void
count_queues(uint16_t port, int64_t *unread_kb, int64_t *unsent_kb)
{
	g_autofree char *text = NULL;
	unsigned local, state, sending, receiving;
	int64_t unread = 0, unsent = 0;
	const char *line;

	if (!g_file_get_contents("/proc/net/tcp", &text, NULL, NULL))
		return;
	for (line = strchr(text, '\n'); line != NULL && line[1] != '\0';
	     line = strchr(line + 1, '\n')) {
		if (sscanf(line, " %*d: %*x:%x %*x:%*x %x %x:%x", &local,
			&state, &sending, &receiving) != 4 ||
		    local != port || state == LISTENING)
			continue;
		unread += receiving;
		unsent += sending;
	}
	*unread_kb = unread / 1024;
	*unsent_kb = unsent / 1024;
}

static void
sample(struct fl *fl)
{
	int64_t anon_kb = anonymous_kb(fl->pid, fl->texts.make != NULL);
	int64_t unread_kb = 0, unsent_kb = 0;

	/* Reading all sockets takes time, and the older crowds do not ask. */
	if (fl->texts.make != NULL)
		count_queues(fl->port, &unread_kb, &unsent_kb);
	fl->peak.anon_kb = MAX(fl->peak.anon_kb, anon_kb);
	fl->peak.unread_kb = MAX(fl->peak.unread_kb, unread_kb);
	fl->peak.unsent_kb = MAX(fl->peak.unsent_kb, unsent_kb);
	fl->peak.total_kb =
	    MAX(fl->peak.total_kb, anon_kb + unread_kb + unsent_kb);
	fl->peak.fds = MAX(fl->peak.fds, fl_count_fds(fl->pid));
}

static struct fl *
new_flood(unsigned n, uint16_t port, pid_t pid)
{
	struct fl *fl = g_new0(struct fl, 1);
	unsigned i;

	raise_descriptor_limit();
	fl->n = n;
	fl->port = port;
	fl->pid = pid;
	fl->senders = g_new0(struct sender, n);
	for (i = 0; i < n; i++)
		fl->senders[i].fd = -1;
	return fl;
}

struct fl *
fl_start(const struct fl_kind *kind, uint16_t port, pid_t pid)
{
	struct fl *fl = new_flood(kind->n, port, pid);

	fl->kind = *kind;
	if (fl->kind.head_len == 0)
		fl->kind.head_len = strlen(kind->head);
	return fl;
}

struct fl *
fl_start_texts(const struct fl_texts *texts, uint16_t port, pid_t pid)
{
	struct fl *fl = new_flood(texts->n, port, pid);
	unsigned i;

	fl->texts = *texts;
	for (i = 0; i < fl->n; i++)
		fl->senders[i].text = texts->make(i);
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
	if (fl->texts.read_bytes > 0)
		g_assert(
		    setsockopt(s->fd, SOL_SOCKET, SO_RCVBUF,
			&small_buffer_bytes, sizeof(small_buffer_bytes)) == 0);
	if (connect(s->fd, (const struct sockaddr *)&to, sizeof(to)) != 0)
		g_assert(errno == EINPROGRESS || errno == ECONNREFUSED);
}

static void
end_sender(const struct fl *fl, struct sender *s)
{
	close(s->fd);
	s->fd = -1;
	s->sent = s->read = 0;
	s->done = !fl->again;
}

static size_t
total_bytes(const struct fl *fl, const struct sender *s)
{
	return s->text == NULL ? fl->kind.head_len + fl->kind.fill_bytes
			       : MAX(s->text->len, fl->texts.repeat_bytes);
}

/* Writes the next piece that a connection sends; returns its length. */
static size_t
next_piece(const struct fl *fl, const struct sender *s, char *piece)
{
	size_t len, at;

	if (s->text != NULL) {
		at = s->sent % s->text->len;
		len = MIN(PIECE_BYTES, s->text->len - at);
		memcpy(piece, s->text->str + at, len);
	} else if (s->sent < fl->kind.head_len) {
		len = MIN(PIECE_BYTES, fl->kind.head_len - s->sent);
		memcpy(piece, fl->kind.head + s->sent, len);
	} else {
		len = MIN(PIECE_BYTES, total_bytes(fl, s) - s->sent);
		memset(piece, fl->kind.fill, len);
	}
	return len;
}

/* Reads and drops a part of an answer.  Returns false at the end. */
static bool
read_answer(const struct fl *fl, struct sender *s, char *piece)
{
	size_t len = PIECE_BYTES;
	ssize_t n;

	if (fl->texts.read_bytes > 0)
		len = MIN(len, fl->texts.read_bytes - s->read);
	if (len == 0)
		return true;
	n = recv(s->fd, piece, len, 0);
	if (n > 0)
		s->read += (size_t)n;
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

/* Sends one piece; an answer is read and dropped. */
static void
send_piece(struct fl *fl, struct sender *s)
{
	size_t total = total_bytes(fl, s), len;
	char piece[PIECE_BYTES];
	ssize_t n;

	if (!read_answer(fl, s, piece)) {
		end_sender(fl, s);
		return;
	}
	len = s->sent < total ? next_piece(fl, s, piece) : 0;
	n = len == 0 ? 0 : send(s->fd, piece, len, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		end_sender(fl, s);
	else if (n > 0)
		s->sent += (size_t)n;
	if (s->sent >= total && !fl->again)
		s->done = true;
}

/* Sends until the other end takes no more. */
static void
send_pieces(struct fl *fl, struct sender *s)
{
	size_t before;

	do {
		before = s->sent;
		send_piece(fl, s);
	} while (!s->done && s->sent > before);
}

unsigned
fl_pump(struct fl *fl)
{
	unsigned i, left = fl->n - fl->n_connected;

	for (i = 0; i < CONNECTS_A_PUMP && fl->n_connected < fl->n; i++)
		connect_sender(fl, &fl->senders[fl->n_connected++]);
	for (i = 0; i < fl->n_connected; i++) {
		if (fl->senders[i].fd < 0 && fl->again)
			connect_sender(fl, &fl->senders[i]);
		if (fl->senders[i].done)
			continue;
		if (fl->texts.in_turn)
			send_pieces(fl, &fl->senders[i]);
		else
			send_piece(fl, &fl->senders[i]);
		left += !fl->senders[i].done;
		if (fl->texts.in_turn && !fl->senders[i].done)
			break;
	}
	return left;
}

/* Returns the bytes in the kernel, in KB. */
static int64_t
sample_queues(struct fl *const *fls, unsigned n)
{
	int64_t unread_kb, unsent_kb, sum_kb = 0;
	unsigned i;

	for (i = 0; i < n; i++) {
		unread_kb = unsent_kb = 0;
		sample(fls[i]);
		count_queues(fls[i]->port, &unread_kb, &unsent_kb);
		sum_kb += unread_kb + unsent_kb;
	}
	return sum_kb;
}

void
fl_settle(struct fl *const *fls, unsigned n, int64_t limit_ms)
{
	int64_t now_ms = hn_now_ms(), end_ms = now_ms + limit_ms;
	int64_t changed_ms = now_ms, before_kb = -1, kb;

	while (now_ms < end_ms && now_ms - changed_ms < HOLD_MS) {
		kb = sample_queues(fls, n);
		if (kb != before_kb)
			changed_ms = now_ms;
		before_kb = kb;
		hn_sleep(20);
		now_ms = hn_now_ms();
	}
}

static void
sample_all(struct fl *const *fls, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		sample(fls[i]);
}

static unsigned
pump_all(struct fl *const *fls, unsigned n)
{
	unsigned i, left = 0;

	for (i = 0; i < n; i++)
		left += fl_pump(fls[i]);
	return left;
}

void
fl_run_all(struct fl *const *fls, unsigned n, int64_t limit_ms)
{
	int64_t end_ms = hn_now_ms() + limit_ms;
	unsigned turn = 0;

	while (pump_all(fls, n) > 0 && hn_now_ms() < end_ms) {
		if (turn++ % PUMPS_A_SAMPLE == 0)
			sample_all(fls, n);
		hn_sleep(1);
	}
	end_ms = hn_now_ms() + HOLD_MS;
	while (hn_now_ms() < end_ms) {
		sample_all(fls, n);
		hn_sleep(20);
	}
}

void
fl_run(struct fl *fl, int64_t limit_ms)
{
	fl_run_all(&fl, 1, limit_ms);
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

	for (i = 0; i < fl->n; i++) {
		if (fl->senders[i].fd >= 0)
			close(fl->senders[i].fd);
		if (fl->senders[i].text != NULL)
			g_string_free(fl->senders[i].text, TRUE);
	}
	g_free(fl->senders);
	g_free(fl);
}
