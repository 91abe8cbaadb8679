#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define FIRST_PORT 12000
#define N_STARTS   100
#define PORT_STEP  150

static FILE *file;
static int64_t first_ms;
static int n_broken;

int64_t
rec_now_ms(void)
{
	return g_get_monotonic_time() / 1000 - first_ms;
}

void
rec_open(const char *folder)
{
	g_autofree char *path = g_build_filename(folder, "record.txt", NULL);

	first_ms = g_get_monotonic_time() / 1000;
	file = fopen(path, "w");
	if (file == NULL) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		exit(RIG_NOT_RUN);
	}
}

static void
write_line(const char *kind, const char *format, va_list args)
{
	fprintf(file, "%7" G_GINT64_FORMAT " %s", rec_now_ms(), kind);
	vfprintf(file, format, args);
	fputc('\n', file);
	fflush(file);
}

void
rec_line(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("", format, args);
	va_end(args);
}

void
rec_broken(const char *format, ...)
{
	va_list args;

	n_broken++;
	va_start(args, format);
	write_line("BROKEN ", format, args);
	va_end(args);
}

int
rec_n_broken(void)
{
	return n_broken;
}

void
rec_close(enum rig_exit code)
{
	static const char *const names[] = {"held", "broken", "not run"};

	rec_line("end: %s", names[code]);
	printf("%s\n", names[code]);
	fclose(file);
}

static gboolean
on_slept(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

void
rig_sleep(int64_t ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add((guint)MAX(ms, 1), on_slept, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

void
rig_fail(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("NOT RUN ", format, args);
	va_end(args);
	rec_close(RIG_NOT_RUN);
	nodes_end();
	exit(RIG_NOT_RUN);
}

static bool
can_bind(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = fd >= 0 && bind(fd, (const struct sockaddr *)&address,
				 sizeof(address)) == 0;

	if (fd >= 0)
		close(fd);
	return ok;
}

/*
 * Below the ports that the kernel gives to outgoing connections, which could
 * otherwise take one before its listener does.
 */
uint16_t
rig_free_port(void)
{
	static uint16_t next;
	int i;

	if (next == 0)
		next = (uint16_t)(FIRST_PORT + getpid() % N_STARTS * PORT_STEP);
	for (i = 0; i < N_STARTS * PORT_STEP; i++) {
		uint16_t port = next;

		next = next + 1 < FIRST_PORT + N_STARTS * PORT_STEP
			   ? next + 1
			   : FIRST_PORT;
		if (can_bind(port))
			return port;
	}
	rig_fail("no free port");
}
